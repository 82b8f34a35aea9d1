"""Open-loop clients: arrival times are drawn independently of the responses to earlier requests."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from dataclasses import dataclass

from ingress_testbed.standins.sockets import Connection

LEAD_TIME = 0.05  # s between the start of a run and the earliest arrival
ANSWER_TIMEOUT = 5.0  # s to wait for responses after the last request
POLL_INTERVAL = 0.02  # s
MAX_IDLE_TIME = 1.5  # s after which a connection is not reused: the server closes idle ones after 2 s
NO_ANSWER = 0  # status code that counts requests without a complete response
RUN_NUMBER_SHIFT = 16  # low bits of a request number that count the requests of one run
HOST_HEADER = "app.svc"


def build_request(number: int, customer: int, spread: int, route: int) -> bytes:
    """Returns the bytes of a GET request with the headers of the published protocol."""
    return (
        f"GET /route-{route}/x HTTP/1.1\r\nHost: {HOST_HEADER}\r\nRequest-Id: {number:016x}\r\n"
        f"X-Plan: plan-0\r\nCookie: customer={customer:016x}\r\nRequest-Timeout: 3000m\r\n"
        f"X-Quota: units=1,spread={spread},first=0\r\n\r\n"
    ).encode()


@dataclass(frozen=True, slots=True)
class PendingRequest:
    """A request that has been sent, or is about to be, and has no response yet.

    Attributes:
        due: Its scheduled arrival time, in seconds of the loop's clock.
        data: The encoded request.
    """

    due: float
    data: bytes


class LoadConnection(Connection):
    """A client connection to the ingress that carries one request at a time.

    Attributes:
        pending: The request that waits for its response.
        idle_since: When the last response was complete, in seconds of the loop's clock.
    """

    def __init__(self, generator: LoadGenerator) -> None:
        """Reports responses and disconnects to `generator`."""
        self.pending: PendingRequest | None = None
        self.idle_since = 0.0
        self._generator = generator
        self._unread = b""

    def send(self, request: PendingRequest) -> None:
        """Sends a request on an idle connection."""
        self.pending = request
        self.transport.write(request.data)

    def data_received(self, data: bytes) -> None:
        """Buffers bytes, and reports the response once it is complete."""
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
        """Reports the pending request, if any, as not answered."""
        if self in self._generator.idle:
            self._generator.idle.remove(self)
        if self.pending:
            self._generator.on_disconnect(self.pending, has_begun=bool(self._unread))


class LoadGenerator:
    """The clients of one run.

    Attributes:
        idle: Connections that may be reused.
        latencies: Seconds from a request's scheduled arrival to its response's last byte, for status 200.
        statuses: Number of responses by status code, or by NO_ANSWER.
        opened: Number of connection attempts.
    """

    def __init__(self, host: str, port: int) -> None:
        """Sends to the server at `host` and `port`; `run` opens the connections."""
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
        """Sends requests, and waits for their responses for at most ANSWER_TIMEOUT after the last one.

        Args:
            rate: Mean requests per second.
            seconds: How long requests are sent.
            seed: Seed of the arrival times, customers and routes.
            customers: Number of customers, drawn uniformly.
            spread: Number of ingresses that each customer's requests come through.
            routes: Number of routes, drawn uniformly; each has its own request class.

        Returns:
            Figures by name, with the unit as the last word: latencies, and counts of responses by kind.
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
        """Sends all requests at their arrival times, and returns their number."""
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        due = loop.time() + LEAD_TIME
        end = due + seconds
        first_number = rng.getrandbits(48) << RUN_NUMBER_SHIFT
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
        """Counts a response with `status` to the request that was scheduled for `due`."""
        self.statuses[status] += 1
        if status == 200:
            self.latencies.append(asyncio.get_running_loop().time() - due)

    def on_disconnect(self, request: PendingRequest, has_begun: bool) -> None:
        """Sends a request once more, on a new connection, in case the server's close crossed it on the wire.

        Args:
            request: The request that was not answered.
            has_begun: Whether a part of its response was received; if so, the request is not sent again.
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
    """Runs the clients in a worker process."""

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
        """Runs the clients once; see `LoadGenerator.run` for the arguments and the figures."""
        return await LoadGenerator(host, port).run(rate, seconds, seed, customers, spread, routes)
