"""The backends of a run in one worker process: many addresses, each with its own way to behave."""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools
import msgspec

from ingress_testbed.soak.records import Arrival
from ingress_testbed.soak.setup import WITH_KEY, expected_answer, idempotency_key
from ingress_testbed.standins.sockets import Connection, Server, reset

WORK = 0.03  # s for an answer, in the mean
SLOW = 0.4
PIECE = 20_000  # bytes of a long answer at a time
LOOK = 0.05  # s between looks how late this process is

TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
GARBAGE = b"HTTP/1.1 2x0 \x00\r\nContent-Length: banana\r\n\r\n"


@dataclass(slots=True)
class Mode:
    """How one backend behaves; `part` of its answers come by `kind`, the others as they should."""

    kind: str = "sound"
    part: float = 1.0


class Backends(Server):
    def __init__(self, seed: int, idle: float) -> None:
        self.rng, self.idle = random.Random(seed), idle
        self.modes: dict[str, Mode] = {}  # by address
        self.links: set[Link] = set()
        self.arrivals: list[Arrival] = []
        self.lag = 0.0
        self._look_at = time.monotonic()

    async def start(self) -> None:
        await self.serve(lambda: Link(self))
        self.every(LOOK, self._sweep)

    def mode(self, address: str) -> Mode:
        return self.modes.get(address, Mode())

    def _sweep(self) -> None:
        now = time.monotonic()
        self.lag, self._look_at = max(self.lag, now - self._look_at), now + LOOK
        for link in [x for x in self.links if x.rests_since and now - x.rests_since > self.idle]:
            link.end(by_reset=self.rng.random() < 0.3)


class Link(Connection):
    def __init__(self, backends: Backends) -> None:
        self._of, self._parser = backends, httptools.HttpRequestParser(self)
        self.rests_since = time.monotonic()
        self._began_at = 0.0
        self._arrival: Arrival | None = None
        self._url, self._headers, self._body = b"", dict[bytes, bytes](), bytearray()
        self._again = b""  # a second copy of the last answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.address = self.transport.get_extra_info("sockname")[0]
        self._of.links.add(self)
        if self._of.mode(self.address).kind == "down":
            reset(self.transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self._of.links.discard(self)
        if self._arrival and not self._arrival.ended_at:
            self._arrival.ended_at = time.monotonic()

    def data_received(self, data: bytes) -> None:
        if not self._began_at:
            self._began_at, self.rests_since = time.monotonic(), 0.0
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self._url, self._headers, self._body = b"", {}, bytearray()

    def on_url(self, part: bytes) -> None:
        self._url += part

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.lower()] = value

    def on_body(self, part: bytes) -> None:
        self._body += part

    def on_message_complete(self) -> None:
        if self._url == b"/metrics/load" or self._url == b"/alive":
            self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            self._began_at = 0.0
            return
        body, headers, target = bytes(self._body), self._headers, urlsplit(self._url.decode())
        told = headers.get(b"request-timeout", b"0m").decode()
        cls, asked = target.path.split("/")[1], parse_qs(target.query)
        request_id = headers.get(b"request-id", b"").decode()
        sound = asked.get("id") == [request_id] and asked.get("body") == [str(len(body))]
        if cls == WITH_KEY:
            sound = sound and headers.get(b"idempotency-key", b"").decode() == idempotency_key(request_id)
        seconds = int(told[:-1]) / (1000 if told.endswith("m") else 1e6)
        self._arrival = Arrival(
            request_id, self.address, self._began_at, time.monotonic(), seconds, sound=sound
        )
        self._of.arrivals.append(self._arrival)
        self._begin(expected_answer(request_id, body, int(asked.get("size", ["0"])[0])))

    def _begin(self, answer: bytes) -> None:
        rng, mode = self._of.rng, self._of.mode(self.address)
        kind = mode.kind if rng.random() < mode.part else "sound"
        work = min(rng.expovariate(1 / WORK), 10 * WORK) + (SLOW * rng.random() if kind == "slow" else 0.0)
        if kind == "hang":
            return
        if kind == "full" and self._arrival:
            self._arrival.never_ran = True
            work = 0.001
        asyncio.get_running_loop().call_later(work, self._answer, kind, answer)

    def _answer(self, kind: str, answer: bytes) -> None:
        if self.transport.is_closing():
            return
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer)
        match kind:
            case "reset":
                self.end(by_reset=True)
            case "error":
                self._write(ERROR)
            case "full":
                self._write(TURNED_AWAY)
            case "garbage":
                self._write(GARBAGE)
            case "broken":  # on the way
                self.transport.write(head + answer[: len(answer) // 2])
                asyncio.get_running_loop().call_later(0.01, self.end, self._of.rng.random() < 0.5)
            case "no length":
                self.transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + answer)
                self._finish()
                self.end(by_reset=False)
            case "no length reset":
                self.transport.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + answer[:-1])
                asyncio.get_running_loop().call_later(0.01, self.end, True)
            case "twice":
                self._write(head + answer)
                asyncio.get_running_loop().call_later(0.005, self._copy, head + answer)
            case _:
                asyncio.get_running_loop().create_task(self._pieces(head + answer))

    async def _pieces(self, data: bytes) -> None:
        for at in range(0, len(data), PIECE):
            if at:
                await asyncio.sleep(0.01)
            if self.transport.is_closing():
                return
            self.transport.write(data[at : at + PIECE])
        self._finish()

    def _copy(self, data: bytes) -> None:
        if not self.transport.is_closing() and self._arrival is None:
            self.transport.write(data)

    def _write(self, data: bytes) -> None:
        self.transport.write(data)
        self._finish()

    def _finish(self) -> None:
        if self._arrival:
            self._arrival.ended_at = time.monotonic()
        self._arrival, self._began_at, self.rests_since = None, 0.0, time.monotonic()

    def end(self, by_reset: bool) -> None:
        if by_reset:
            reset(self.transport)
        else:
            self.transport.close()


class Host:
    """The worker's host."""

    async def start(self, seed: int, idle: float) -> int:
        self._backends = Backends(seed, idle)
        await self._backends.start()
        return self._backends.port

    def behave(self, address: str, kind: str, part: float) -> None:
        self._backends.modes[address] = Mode(kind, part)
        if kind == "down":
            for link in [x for x in self._backends.links if x.address == address]:
                link.end(by_reset=True)

    def told(self) -> dict[str, Any]:
        return {"arrivals": msgspec.to_builtins(self._backends.arrivals), "lag": self._backends.lag}
