"""The counter: expiring totals by name, in partitions of limited capacity, with a queue and faults."""

from __future__ import annotations

import asyncio
import math
import random
import zlib
from collections import Counter, deque
from typing import NamedTuple

from ingress_testbed.standins.sockets import Connection, Server

MAX_CONNECTIONS = 32  # from one caller's address to one address of the counter; more are reset
IDLE_TIMEOUT = 10.0  # s
SWEEP_INTERVAL = 1.0  # s
MAX_TTL_MS = 60_000
MAX_AMOUNT = 1e9
MAX_NAME_LENGTH = 64  # bytes
RANDOM_SEED = 1

PONG = b"pong\r\n"
BUSY = b"busy\r\n"
ERROR = b"error\r\n"
MALFORMED = b"ok ?\r\n"


class InvalidCallError(ValueError):
    """A line is not a valid call of the protocol."""


class AddCall(NamedTuple):
    """A call that adds to a name."""

    name: bytes
    amount: float
    ttl: float  # s


class Answer(NamedTuple):
    """An answer, and the time of the event loop's clock at which it is due."""

    line: bytes
    due: float


class Total(NamedTuple):
    """A name's total, and the time of the event loop's clock at which the name expires."""

    value: float
    expires_at: float


class Partition:
    """A part of the names, with a separate capacity.

    Attributes:
        totals: Totals by name.
        free_at: When the last accepted call will have been answered.
    """

    def __init__(self) -> None:
        self.totals: dict[bytes, Total] = {}
        self.free_at = 0.0

    def add(self, call: AddCall, now: float) -> float:
        """Returns the new total. The TTL runs from the call that made the name; an expired one restarts."""
        total = self.totals.get(call.name)
        if total is None or now >= total.expires_at:
            total = Total(0.0, now + call.ttl)
        total = Total(total.value + call.amount, total.expires_at)
        self.totals[call.name] = total
        return total.value

    def sweep(self, now: float) -> None:
        """Drops the names that have expired."""
        self.totals = {name: total for name, total in self.totals.items() if now < total.expires_at}


class CounterServer(Server):
    """The counter's server.

    Attributes:
        partitions: The partitions of the names.
        capacity: Calls a second that one partition answers; 0 for any number.
        max_queue_time: Seconds; a call that would wait longer for its turn is rejected with `busy`.
        connections: Open connections.
        connections_by_address: Number of open connections by the caller's and the counter's address.
        is_silent: Whether the counter reads calls but answers none.
        malformed_fraction: Fraction of the answers that hold no number.
        add_count: Additions carried out.
        ping_count: Pings answered.
        busy_count: Calls rejected with `busy`.
        reset_count: Connections reset because the caller had too many.
        bytes_received: Bytes of all calls.
    """

    def __init__(self, partitions: int = 1, capacity: float = 0.0, max_queue_time: float = 0.1) -> None:
        """Creates a server that listens once `start` has been called."""
        self.partitions = [Partition() for _ in range(partitions)]
        self.capacity = capacity
        self.max_queue_time = max_queue_time
        self.connections: set[CounterConnection] = set()
        self.connections_by_address: Counter[tuple[str, str]] = Counter()
        self.is_silent = False
        self.malformed_fraction = 0.0
        self.add_count = 0
        self.ping_count = 0
        self.busy_count = 0
        self.reset_count = 0
        self.bytes_received = 0
        self._rng = random.Random(RANDOM_SEED)

    async def start(self) -> None:
        """Starts to listen, to drop expired names and to close idle connections."""
        await self.serve(lambda: CounterConnection(self))
        self.every(SWEEP_INTERVAL, self._sweep)

    def stop(self) -> None:
        """Stops listening, and aborts all connections."""
        self.end(self.connections)

    def answer(self, line: bytes, now: float) -> Answer:
        """Carries out one call, given as a line without its CRLF."""
        if line == b"ping":
            self.ping_count += 1
            return Answer(PONG, now)
        try:
            call = _parse_add(line)
        except InvalidCallError:
            return Answer(ERROR, now)
        partition = self.partitions[zlib.crc32(call.name) % len(self.partitions)]
        due = now
        if self.capacity:
            due = max(now, partition.free_at) + 1 / self.capacity
            if due - now > self.max_queue_time:
                self.busy_count += 1
                return Answer(BUSY, now)
            partition.free_at = due
        self.add_count += 1
        total = partition.add(call, now)
        if self.malformed_fraction and self._rng.random() < self.malformed_fraction:
            return Answer(MALFORMED, due)
        return Answer(b"ok %.7g\r\n" % total if math.isfinite(total) else ERROR, due)

    def _sweep(self) -> None:
        now = asyncio.get_running_loop().time()
        for partition in self.partitions:
            partition.sweep(now)
        for connection in list(self.connections):
            if now - connection.last_read_at > IDLE_TIMEOUT:
                connection.transport.close()


def _parse_add(line: bytes) -> AddCall:
    try:
        verb, name, amount_text, ttl_text = line.split()
        amount = float(amount_text)
        ttl_ms = int(ttl_text)
    except ValueError as error:
        raise InvalidCallError(str(error)) from None
    is_valid_name = 0 < len(name) <= MAX_NAME_LENGTH
    if verb != b"add" or not is_valid_name or ttl_ms < 1 or not abs(amount) <= MAX_AMOUNT:
        raise InvalidCallError("not an `add` call with name, amount and TTL in their ranges")
    return AddCall(name, amount, min(ttl_ms, MAX_TTL_MS) / 1000)


class CounterConnection(Connection):
    """A connection of one caller, whose calls are answered in their order.

    Attributes:
        last_read_at: When data last arrived, in seconds of the event loop's clock.
    """

    def __init__(self, server: CounterServer) -> None:
        """Passes the calls to `server`."""
        self._server = server
        self._loop = asyncio.get_running_loop()
        self.last_read_at = self._loop.time()
        self._is_counted = False
        self._addresses = ("", "")
        self._partial_line = b""
        self._last_due = 0.0
        self._delayed: deque[bytes] = deque()  # in call order: timers due together fire in any

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection, or resets it if the caller has too many."""
        super().connection_made(transport)
        peer_address = self.transport.get_extra_info("peername")[0]
        local_address = self.transport.get_extra_info("sockname")[0]
        self._addresses = (peer_address, local_address)
        if self._server.connections_by_address[self._addresses] >= MAX_CONNECTIONS:
            self._server.reset_count += 1
            self.transport.abort()
            return
        self._is_counted = True
        self._server.connections_by_address[self._addresses] += 1
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts the connection's end."""
        if self._is_counted:
            self._server.connections_by_address[self._addresses] -= 1
            self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Answers the complete calls, at once or when the answers are due."""
        self._server.bytes_received += len(data)
        *lines, self._partial_line = (self._partial_line + data).split(b"\r\n")
        now = self._loop.time()
        self.last_read_at = now
        if self._server.is_silent:
            return
        due_now: list[bytes] = []
        for line in lines:
            answer, due = self._server.answer(line, now)
            self._last_due = max(due, self._last_due)  # answers keep the calls' order
            if self._last_due <= now:
                due_now.append(answer)
            else:
                self._delayed.append(answer)
                self._loop.call_at(self._last_due, self._write_delayed)
        if due_now:
            self.transport.write(b"".join(due_now))

    def _write_delayed(self) -> None:
        answer = self._delayed.popleft()
        if not self.transport.is_closing():
            self.transport.write(answer)
