"""The client of the shared counter: spreads calls over a few connections and reconnects them."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from quota_ingress.net.backoff import Backoff, BackoffRange
from quota_ingress.net.counter.connection import CallSequence, CounterConnection
from quota_ingress.net.counter.protocol import encode_add
from quota_ingress.net.dial import dial
from quota_ingress.policy.events import Outcome

MAX_CONNECTIONS = 3  # the counter accepts 32 per ingress
MIN_CONNECTIONS = 2  # a stalled connection is detected by comparison with another one
MAX_FLEET_CONNECTIONS = 24  # of all ingresses together, unless MIN_CONNECTIONS for each are more
TIMEOUT_FACTOR = 3  # times the configured timeout: a slightly late answer is better than none
DRAIN_TIMEOUT = 2.0  # s
RECONNECT_BACKOFF = BackoffRange(0.05, 1.0)
CONNECT_TIMEOUT = 1.0  # s

OnAnswer = Callable[[Outcome, float], None]
_US_PER_SECOND = 1e6
_OUTCOME_OF_FAILED_READ = {Outcome.REJECTED: Outcome.TIMEOUT, Outcome.CONNECT_FAILED: Outcome.RESET}


class CounterClient:
    """Adds to named totals at the counter over a few connections.

    A malformed answer or a stall fails only the calls on that connection. While a call for a name is
    unanswered, further calls for that name use the same connection, so that they keep their order.

    Attributes:
        connected: Set once the first connection is established.
    """

    def __init__(self, address: tuple[str, int], timeout_us: int, fleet_size: int = 1) -> None:
        """Opens no connection before `start`.

        Args:
            address: Host and port of the counter.
            timeout_us: The configured timeout of a call, in microseconds.
            fleet_size: The number of ingresses that share the counter.
        """
        self.connected = asyncio.Event()
        self._address = address
        self._timeout = TIMEOUT_FACTOR * timeout_us / _US_PER_SECOND
        fleet_share = MAX_FLEET_CONNECTIONS // fleet_size
        self._connection_count = min(MAX_CONNECTIONS, max(MIN_CONNECTIONS, fleet_share))
        self._connections: list[CounterConnection] = []
        self._sequence = CallSequence()
        self._last_addition: dict[int, _Addition] = {}  # the last unanswered addition, by name
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Starts background tasks that connect and reconnect."""
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(self._keep_connected()) for _ in range(self._connection_count)]

    def stop(self) -> None:
        """Closes all connections; unanswered calls end with Outcome.RESET."""
        for task in self._tasks:
            task.cancel()
        for connection in self._connections:
            connection.transport.abort()

    async def drain(self) -> None:
        """Waits up to DRAIN_TIMEOUT for pending calls, then stops; called once a new client is in use."""
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(DRAIN_TIMEOUT):
                for connection in self._connections[:]:
                    await connection.drain()
        self.stop()

    def add(self, name: int, amount: float, ttl_us: int, on_answer: OnAnswer) -> None:
        """Adds `amount` to the total of `name`, which expires after `ttl_us` microseconds if it is new.

        `on_answer` is called with the outcome and, for Outcome.OK, the total.
        """
        previous = self._last_addition.get(name)
        connection = previous.connection if previous else None
        if connection is None or connection.transport.is_closing():
            connection = self._best_connection()
        if connection is None:
            on_answer(Outcome.CONNECT_FAILED, 0.0)  # nothing was written
            return
        addition = _Addition(self, connection, name, amount, ttl_us, on_answer)
        connection.call(encode_add(name, amount, ttl_us), addition)
        self._last_addition[name] = addition

    def is_last(self, addition: _Addition) -> bool:
        """Returns whether this is the last unanswered addition to its name."""
        return self._last_addition.get(addition.name) is addition

    def forget(self, addition: _Addition) -> None:
        """Removes an addition that has ended."""
        if self.is_last(addition):
            del self._last_addition[addition.name]

    def _best_connection(self) -> CounterConnection | None:
        """Returns the connection with the fewest pending calls; overdue ones are used only if all are."""
        now = asyncio.get_running_loop().time()
        return min(
            (connection for connection in self._connections if not connection.transport.is_closing()),
            key=lambda connection: (connection.is_overdue(now), connection.pending_count),
            default=None,
        )

    async def _keep_connected(self) -> None:
        backoff = Backoff(*RECONNECT_BACKOFF)
        while True:
            connection = CounterConnection(self._timeout, self._sequence)
            if await self._run_connection(connection):
                backoff.on_success()  # the counter has answered: reconnect at once
            else:
                await asyncio.sleep(backoff.next_wait())

    async def _run_connection(self, connection: CounterConnection) -> bool:
        """Connects, waits until the connection closes, and returns whether any call on it was answered."""
        try:
            await dial(connection, self._address, CONNECT_TIMEOUT)
        except OSError:
            return False
        self._connections.append(connection)
        self.connected.set()
        await connection.closed.wait()
        self._connections.remove(connection)
        return connection.has_answered


class _Addition:
    """An addition to a name whose outcome is not yet known."""

    __slots__ = ("_amount", "_client", "_on_answer", "_ttl_us", "connection", "name")

    def __init__(
        self,
        client: CounterClient,
        connection: CounterConnection,
        name: int,
        amount: float,
        ttl_us: int,
        on_answer: OnAnswer,
    ) -> None:
        self.connection = connection
        self.name = name
        self._client = client
        self._amount = amount
        self._ttl_us = ttl_us
        self._on_answer = on_answer

    def finish(self, outcome: Outcome, total: float) -> None:
        """Reports the outcome of the call to the caller."""
        self._client.forget(self)
        self._on_answer(outcome, total)

    def recover_total(self) -> bool:
        """Reads the total by adding 0, as the amount has already been added.

        Answers for one name keep their order: if a later call for the same name is unanswered, no read is
        sent and the addition ends with Outcome.RESET. A failed read is not repeated.
        """
        if not self._amount:
            return False
        if self._client.is_last(self):
            self._client.forget(self)
            self._client.add(self.name, 0.0, self._ttl_us, self._finish_read)
        else:
            self.finish(Outcome.RESET, 0.0)
        return True

    def _finish_read(self, outcome: Outcome, total: float) -> None:
        """Reports the outcome of the read. Even if the read never ran, the amount has been added."""
        self._on_answer(_OUTCOME_OF_FAILED_READ.get(outcome, outcome), total)
