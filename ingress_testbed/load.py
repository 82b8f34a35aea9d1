"""Open-loop clients: requests at moments drawn ahead, whatever became of the earlier ones."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass

from ingress_testbed.standins.sockets import Connection

LEAD_TIME = 0.05  # s before the first request may be due
ANSWER_TIMEOUT = 5.0  # s after the last request in which answers may come
POLL_INTERVAL = 0.02  # s
MAX_IDLE_TIME = 1.5  # s after which a connection is not reused: the other side closes it after 2
NO_ANSWER = 0  # stands for the status where no complete answer came
FIRST_NUMBER_SHIFT = 16  # bits of a request's number that count the requests of one run
HOST_HEADER = "app.svc"


def build_request(number: int, customer: int, spread: int, route: int) -> bytes:
    """Returns a request as the protocol page has it."""
    return (
        f"GET /route-{route}/x HTTP/1.1\r\nHost: {HOST_HEADER}\r\nRequest-Id: {number:016x}\r\n"
        f"X-Plan: plan-0\r\nCookie: customer={customer:016x}\r\nRequest-Timeout: 3000m\r\n"
        f"X-Quota: units=1,spread={spread},first=0\r\n\r\n"
    ).encode()


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that has been sent and not answered.

    Attributes:
        due: When it was to be sent, in seconds of the loop's clock.
        data: Its bytes.
    """

    due: float
    data: bytes


class LoadConnection(Connection):
    """A connection to the ingress, with one request at a time.

    Attributes:
        pending: The request whose answer is to come.
        idle_since: Seconds of the loop's clock.
    """

    def __init__(self, generator: LoadGenerator) -> None:
        """Reports answers to `generator`."""
        self.pending: PendingRequest | None = None
        self.idle_since = 0.0
        self._generator = generator
        self._unread = b""

    def send(self, request: PendingRequest) -> None:
        """Sends a request on an idle connection."""
        self.pending = request
        self.transport.write(request.data)

    def data_received(self, data: bytes) -> None:
        """Takes an answer once it is complete."""
        self._unread += data
        head, separator, rest = self._unread.partition(b"\r\n\r\n")
        if not separator:
            return
        lowercase_head = head.lower()
        length = _content_length(lowercase_head)
        request = self.pending
        if len(rest) < length or not request:
            return
        self._unread = rest[length:]
        self.pending = None
        self._generator.on_answer(_status(head), request.due)
        self.idle_since = asyncio.get_running_loop().time()
        if b"\r\nconnection: close" in lowercase_head:
            self.transport.close()
        else:
            self._generator.idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports a request that was not answered."""
        if self in self._generator.idle:
            self._generator.idle.remove(self)
        if self.pending:
            self._generator.on_disconnect(self.pending, has_begun=bool(self._unread))


class LoadGenerator:
    """The clients of one run.

    Attributes:
        idle: Connections that may be reused.
        latencies: Seconds from the moment a request was due to its answer's last byte, of those served.
        statuses: Answers by their status, or NO_ANSWER.
        opened: Connections that were made.
    """

    def __init__(self, host: str, port: int) -> None:
        """Sends to that address."""
        self.idle: list[LoadConnection] = []
        self.latencies: list[float] = []
        self.statuses: Counter[int] = Counter()
        self.opened = 0
        self._address = (host, port)
        self._resent: set[bytes] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, rate: float, seconds: float, seed: int, customers: int, spread: int, routes: int
    ) -> dict[str, float]:
        """Sends requests and waits for their answers.

        Args:
            rate: Requests a second, in the mean.
            seconds: How long requests are sent.
            seed: Of the draws of moments, customers and routes.
            customers: Their number; each is as likely as the others.
            spread: Ingresses that a customer comes through.
            routes: Number of the request's classes.

        Returns:
            Figures: latencies in ms, counts of answers by kind.
        """
        cpu_before = time.process_time()
        sent = await self._send_requests(rate, seconds, seed, customers, spread, routes)
        await self._wait_for_answers(sent)
        for connection in self.idle[:]:
            connection.transport.close()
        cpu = time.process_time() - cpu_before
        return self._figures(sent, cpu)

    async def _send_requests(
        self, rate: float, seconds: float, seed: int, customers: int, spread: int, routes: int
    ) -> int:
        """Sends all requests at their moments, and returns their number."""
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        due = loop.time() + LEAD_TIME
        end = due + seconds
        first_number = rng.getrandbits(48) << FIRST_NUMBER_SHIFT
        sent = 0
        while (due := due + rng.expovariate(rate)) < end:
            sent += 1
            data = build_request(first_number + sent, rng.randrange(customers), spread, rng.randrange(routes))
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            self._send(PendingRequest(due, data))
        return sent

    async def _wait_for_answers(self, sent: int) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + ANSWER_TIMEOUT
        while sum(self.statuses.values()) < sent and loop.time() < end:
            await asyncio.sleep(POLL_INTERVAL)

    def _figures(self, sent: int, cpu_seconds: float) -> dict[str, float]:
        ordered = sorted(self.latencies) or [0.0]
        p99_index = min(len(ordered) - 1, len(ordered) * 99 // 100)
        return {
            "sent_n": float(sent),
            "served_n": float(self.statuses[200]),
            "refused_n": float(self.statuses[429] + self.statuses[503]),
            "unanswered_n": float(self.statuses[NO_ANSWER]),
            "opened_n": float(self.opened),
            "p50_ms": ordered[len(ordered) // 2] * 1e3,
            "p99_ms": ordered[p99_index] * 1e3,
            "client_cpu_us": cpu_seconds / max(1, sent) * 1e6,
        }

    def on_answer(self, status: int, due: float) -> None:
        """Counts an answer to the request that was due then."""
        self.statuses[status] += 1
        if status == 200:
            self.latencies.append(asyncio.get_running_loop().time() - due)

    def on_disconnect(self, request: PendingRequest, has_begun: bool) -> None:
        """Sends a request once more, on a new connection, if a close has crossed it.

        Args:
            request: The request that was not answered.
            has_begun: Whether some of its answer had come: then it is not sent again.
        """
        if has_begun or request.data in self._resent:
            self.statuses[NO_ANSWER] += 1
            return
        self._resent.add(request.data)
        self._send_on_new_connection(request)

    def _send(self, request: PendingRequest) -> None:
        oldest = asyncio.get_running_loop().time() - MAX_IDLE_TIME
        while self.idle:
            connection = self.idle.pop()
            if connection.idle_since > oldest and not connection.transport.is_closing():
                connection.send(request)
                return
            connection.transport.close()
        self._send_on_new_connection(request)

    def _send_on_new_connection(self, request: PendingRequest) -> None:
        task = asyncio.get_running_loop().create_task(self._connect_and_send(request))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect_and_send(self, request: PendingRequest) -> None:
        self.opened += 1
        loop = asyncio.get_running_loop()
        try:
            _, connection = await loop.create_connection(lambda: LoadConnection(self), *self._address)
        except OSError:
            self.statuses[NO_ANSWER] += 1
            return
        connection.send(request)


def _content_length(lowercase_head: bytes) -> int:
    _, _, rest = lowercase_head.partition(b"\r\ncontent-length:")
    value, _, _ = rest.partition(b"\r\n")
    return int(value or 0)


def _status(head: bytes) -> int:
    return int(head.split(b" ", 2)[1])


class LoadHost:
    """The clients in a worker."""

    async def run(
        self,
        port: int,
        rate: float,
        seconds: float,
        seed: int,
        host: str = "127.0.0.1",
        customers: int = 50,
        spread: int = 1,
        routes: int = 3,
    ) -> dict[str, float]:
        """Plays one run; see `LoadGenerator.run`."""
        return await LoadGenerator(host, port).run(rate, seconds, seed, customers, spread, routes)
