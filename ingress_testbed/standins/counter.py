"""The counter: totals by name that expire, parts with a capacity each, a queue, silence."""

from __future__ import annotations

import asyncio
import math
import random
import zlib
from collections import Counter as Tally
from collections import deque

from ingress_testbed.standins.sockets import Connection, Server

LINES = 32  # connections of one address (to one of the counter's own): further ones are reset
IDLE = 10.0  # s after which a connection is closed
LONGEST_LIFE = 60_000  # ms
MOST = 1e9
LONGEST_NAME = 64


class Part:
    """Some of the names, with a capacity of its own."""

    def __init__(self) -> None:
        self.totals: dict[bytes, tuple[float, float]] = {}  # the total, and when the name ends
        self.free_at = 0.0

    def add(self, name: bytes, amount: float, life: float, now: float) -> float:
        """A name lives from the call that made it; an ended one begins anew."""
        total, ends = self.totals.get(name, (0.0, 0.0))
        if now >= ends:
            total, ends = 0.0, now + life
        self.totals[name] = (total + amount, ends)
        return total + amount

    def sweep(self, now: float) -> None:
        self.totals = {n: kept for n, kept in self.totals.items() if now < kept[1]}


class Counter(Server):
    """`capacity`: calls a second that one part can answer, 0 for any number. A call has its turn in order;
    one that would wait longer than `queue` s is turned away with `busy`.
    """

    def __init__(self, parts: int = 1, capacity: float = 0.0, queue: float = 0.1) -> None:
        self.parts = [Part() for _ in range(parts)]
        self.capacity, self.queue = capacity, queue
        self.callers: set[Line] = set()
        self.silent = False
        self.spoilt = 0.0  # the part of the answers that hold no number
        self.rng = random.Random(1)
        self.adds = self.pings = self.busy = self.reset = self.received = 0  # received: bytes
        self.by_address: Tally[tuple[str, str]] = Tally()

    async def start(self) -> None:
        await self.serve(lambda: Line(self))
        self.every(1.0, self._sweep)

    def stop(self) -> None:
        self.end(self.callers)

    def call(self, words: list[bytes], now: float) -> tuple[bytes, float]:
        """The answer, and the moment when it is due."""
        try:
            (word, name, amount_text, life_text) = words
            amount, life = float(amount_text), int(life_text)
            if word != b"add" or not 0 < len(name) <= LONGEST_NAME or life < 1 or not abs(amount) <= MOST:
                raise ValueError
        except ValueError:
            return b"error\r\n", now
        part, due = self.parts[zlib.crc32(name) % len(self.parts)], now
        if self.capacity:
            due = max(now, part.free_at) + 1 / self.capacity
            if due - now > self.queue:
                self.busy += 1
                return b"busy\r\n", now
            part.free_at = due
        self.adds += 1
        total = part.add(name, amount, min(life, LONGEST_LIFE) / 1000, now)
        if self.spoilt and self.rng.random() < self.spoilt:
            return b"ok ?\r\n", due
        return b"ok %.7g\r\n" % total if math.isfinite(total) else b"error\r\n", due

    def _sweep(self) -> None:
        now = asyncio.get_running_loop().time()
        for part in self.parts:
            part.sweep(now)
        for caller in [c for c in self.callers if now - c.heard_at > IDLE]:
            caller.transport.close()


class Line(Connection):
    def __init__(self, counter: Counter) -> None:
        self._counter, self._rest, self._last_due = counter, b"", 0.0
        self._loop = asyncio.get_running_loop()
        self.heard_at, self._held = self._loop.time(), False
        self._late: deque[bytes] = deque()  # answers not due yet: timers of one moment fire in any order
        self._address = ("", "")

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        peer, own = (self.transport.get_extra_info(side)[0] for side in ("peername", "sockname"))
        self._address = (peer, own)
        if self._counter.by_address[self._address] >= LINES:
            self._counter.reset += 1
            self.transport.abort()
            return
        self._held = True
        self._counter.by_address[self._address] += 1
        self._counter.callers.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self._held:
            self._counter.by_address[self._address] -= 1
            self._counter.callers.discard(self)

    def data_received(self, data: bytes) -> None:
        self._counter.received += len(data)
        *lines, self._rest = (self._rest + data).split(b"\r\n")
        self.heard_at = now = self._loop.time()
        if self._counter.silent:
            return
        answers = b""
        for line in lines:
            answer, due = b"pong\r\n", now
            if line != b"ping":
                answer, due = self._counter.call(line.split(), now)
            else:
                self._counter.pings += 1
            due = self._last_due = max(due, self._last_due)  # answers keep the calls' order
            if due <= now:
                answers += answer
            else:
                self._late.append(answer)
                self._loop.call_at(due, self._later)
        if answers:
            self.transport.write(answers)

    def _later(self) -> None:
        answer = self._late.popleft()
        if not self.transport.is_closing():
            self.transport.write(answer)
