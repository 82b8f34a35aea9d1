"""The endpoints of a run in one worker process: many addresses, each with its own behaviour."""

from __future__ import annotations

import asyncio
import random
import time
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from ingress_testbed.soak.backend_behaviour import (
    ERROR,
    GARBAGE,
    NO_LENGTH_HEAD,
    PROBE_ANSWER,
    PROBE_TARGETS,
    REJECTED,
    Behaviour,
    head_for,
)
from ingress_testbed.soak.records import Arrival
from ingress_testbed.soak.setup import WITH_KEY, expected_answer, idempotency_key
from ingress_testbed.standins.sockets import Connection, Server, reset

MEAN_WORK_TIME = 0.03  # s from a request to its answer
MAX_WORK_TIME = 10 * MEAN_WORK_TIME
MAX_SLOW_TIME = 0.4  # s that a slow endpoint adds at the most
REJECTION_TIME = 0.001  # s
PIECE_SIZE = 20_000  # bytes of a long answer that are written at a time
PIECE_INTERVAL = 0.01  # s
SWEEP_INTERVAL = 0.05  # s
IDLE_RESET_FRACTION = 0.3  # of expired idle connections that are reset; the others are closed in order


class Backends(Server):
    """All endpoints of a run.

    Attributes:
        lag: The longest delay of this process's event loop, in s.
    """

    def __init__(self, seed: int, idle: float) -> None:
        """Closes connections that have been idle for `idle` s."""
        self.rng = random.Random(seed)
        self.idle = idle
        self.behaviours: dict[str, Behaviour] = {}  # by address
        self.connections: set[BackendConnection] = set()
        self.arrivals: list[Arrival] = []
        self.lag = 0.0
        self._sweep_due = time.monotonic()

    async def start(self) -> None:
        """Listens at every loopback address."""
        await self.serve(lambda: BackendConnection(self))
        self.every(SWEEP_INTERVAL, self._sweep)

    def behaviour(self, address: str) -> Behaviour:
        """Returns how the endpoint at that address answers."""
        return self.behaviours.get(address, Behaviour())

    def behave(self, address: str, behaviour: Behaviour) -> None:
        """Sets how the endpoint at that address answers. Going down resets its connections."""
        self.behaviours[address] = behaviour
        if behaviour.kind == "down":
            for connection in [c for c in self.connections if c.address == address]:
                connection.end(by_reset=True)

    def _sweep(self) -> None:
        now = time.monotonic()
        self.lag = max(self.lag, now - self._sweep_due)
        self._sweep_due = now + SWEEP_INTERVAL
        for connection in [c for c in self.connections if c.has_been_idle_for(self.idle, now)]:
            connection.end(by_reset=self.rng.random() < IDLE_RESET_FRACTION)


class BackendConnection(Connection):
    """One connection of an ingress to an endpoint."""

    def __init__(self, backends: Backends) -> None:
        self.address = ""
        self._backends = backends
        self._parser = httptools.HttpRequestParser(self)
        self._idle_since = time.monotonic()
        self._began_at = 0.0  # when the first byte of the current request arrived; 0: none has
        self._arrival: Arrival | None = None
        self._url = b""
        self._headers: dict[bytes, bytes] = {}
        self._body = bytearray()
        self._writing: asyncio.Task[None] | None = None

    def has_been_idle_for(self, seconds: float, now: float) -> bool:
        """Returns whether no request has been open for `seconds`."""
        return bool(self._idle_since) and now - self._idle_since > seconds

    def end(self, by_reset: bool) -> None:
        """Closes the connection in order, or resets it."""
        if by_reset:
            reset(self.transport)
        else:
            self.transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection; an endpoint that is down resets it at once."""
        super().connection_made(transport)
        self.address = self.transport.get_extra_info("sockname")[0]
        self._backends.connections.add(self)
        if self._backends.behaviour(self.address).kind == "down":
            reset(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Records the end of the current request."""
        self._backends.connections.discard(self)
        if self._arrival and not self._arrival.ended_at:
            self._arrival.ended_at = time.monotonic()

    def data_received(self, data: bytes) -> None:
        """Parses requests; aborts the connection if one is invalid."""
        if not self._began_at:
            self._began_at = time.monotonic()
            self._idle_since = 0.0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Parser callback: a request begins."""
        self._url = b""
        self._headers = {}
        self._body = bytearray()

    def on_url(self, part: bytes) -> None:
        """Parser callback: a part of the request target."""
        self._url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: a header field."""
        self._headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        """Parser callback: a part of the body."""
        self._body += part

    def on_message_complete(self) -> None:
        """Parser callback: the request is complete. Records it, and answers after a drawn work time."""
        if self._url in PROBE_TARGETS:
            self.transport.write(PROBE_ANSWER)
            self._began_at = 0.0
            return
        target = urlsplit(self._url.decode())
        query = parse_qs(target.query)
        request_id = self._headers.get(b"request-id", b"").decode()
        self._arrival = Arrival(
            request_id,
            self.address,
            self._began_at,
            time.monotonic(),
            self._forwarded_timeout(),
            is_unchanged=self._is_unchanged(request_id, target.path.split("/")[1], query),
        )
        self._backends.arrivals.append(self._arrival)
        answer_size = int(query.get("size", ["0"])[0])
        self._begin_work(expected_answer(request_id, bytes(self._body), answer_size))

    def _forwarded_timeout(self) -> float:
        """Returns the timeout in s that the ingress forwarded with the request."""
        header = self._headers.get(b"request-timeout", b"0m").decode()
        return int(header[:-1]) / (1000 if header.endswith("m") else 1e6)

    def _is_unchanged(self, request_id: str, request_class: str, query: dict[str, list[str]]) -> bool:
        """Returns whether id, body size and key are as the client sent them."""
        if query.get("id") != [request_id] or query.get("body") != [str(len(self._body))]:
            return False
        key = self._headers.get(b"idempotency-key", b"").decode()
        return request_class != WITH_KEY or key == idempotency_key(request_id)

    def _begin_work(self, answer: bytes) -> None:
        rng = self._backends.rng
        behaviour = self._backends.behaviour(self.address)
        kind = behaviour.kind if rng.random() < behaviour.fraction else "sound"
        work_time = min(rng.expovariate(1 / MEAN_WORK_TIME), MAX_WORK_TIME)
        if kind == "slow":
            work_time += MAX_SLOW_TIME * rng.random()
        if kind == "hang":
            return
        if kind == "full" and self._arrival:
            self._arrival.never_ran = True
            work_time = REJECTION_TIME
        asyncio.get_running_loop().call_later(work_time, self._answer, kind, answer)

    def _answer(self, kind: str, answer: bytes) -> None:
        if self.transport.is_closing():
            return
        loop = asyncio.get_running_loop()
        match kind:
            case "reset":
                self.end(by_reset=True)
            case "error":
                self._write_last(ERROR)
            case "full":
                self._write_last(REJECTED)
            case "garbage":
                self._write_last(GARBAGE)
            case "broken":  # cut off in the middle of the body
                self.transport.write(head_for(answer) + answer[: len(answer) // 2])
                loop.call_later(0.01, self.end, self._backends.rng.random() < 0.5)
            case "no length":
                self._write_last(NO_LENGTH_HEAD + answer)
                self.end(by_reset=False)
            case "no length reset":
                self.transport.write(NO_LENGTH_HEAD + answer[:-1])
                loop.call_later(0.01, self.end, True)
            case "twice":
                self._write_last(head_for(answer) + answer)
                loop.call_later(0.005, self._write_if_idle, head_for(answer) + answer)
            case _:
                self._writing = loop.create_task(self._write_in_pieces(head_for(answer) + answer))

    async def _write_in_pieces(self, data: bytes) -> None:
        for offset in range(0, len(data), PIECE_SIZE):
            if offset:
                await asyncio.sleep(PIECE_INTERVAL)
            if self.transport.is_closing():
                return
            self.transport.write(data[offset : offset + PIECE_SIZE])
        self._finish()

    def _write_if_idle(self, data: bytes) -> None:
        if not self.transport.is_closing() and self._arrival is None:
            self.transport.write(data)

    def _write_last(self, data: bytes) -> None:
        self.transport.write(data)
        self._finish()

    def _finish(self) -> None:
        if self._arrival:
            self._arrival.ended_at = time.monotonic()
        self._arrival = None
        self._began_at = 0.0
        self._idle_since = time.monotonic()


class Host:
    """The endpoints as a worker's host; its public methods are called from the run's process."""

    async def start(self, seed: int, idle: float) -> int:
        """Starts the endpoints, which close connections that are idle for `idle` s. Returns their port."""
        self._backends = Backends(seed, idle)
        await self._backends.start()
        return self._backends.port

    def behave(self, address: str, kind: str, fraction: float) -> None:
        """Sets the fault `kind` of an endpoint, and the fraction of its answers that have it."""
        self._backends.behave(address, Behaviour(kind, fraction))

    def result(self) -> dict[str, Any]:
        """Returns the arrivals and this process's longest delay, as JSON values."""
        return {"arrivals": msgspec.to_builtins(self._backends.arrivals), "lag": self._backends.lag}
