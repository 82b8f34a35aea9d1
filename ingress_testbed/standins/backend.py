"""Backends: HTTP/1.1 on every loopback address at one port, as many backends as addresses."""

from __future__ import annotations

import asyncio
import math
from collections import Counter as Tally

from ingress_testbed.standins.sockets import Connection, Server

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwarm"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
TURNED_AWAY = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"


class Backends(Server):
    """`work`: s from a request's last byte to its answer. `room`: requests that one address has under way at
    most, 0 for any number; a further one is turned away as not started. `idle`: s after which a connection
    that stands idle is closed.
    """

    def __init__(self, work: float = 0.0, room: int = 0, idle: float = 10.0) -> None:
        self.work, self.room, self.idle = work, room, idle
        self.served = self.opened = self.turned_away = 0
        self.open: Tally[str] = Tally()  # connections, by address
        self.most_open = 0
        self.under_way: Tally[str] = Tally()
        self.links: set[Link] = set()

    async def start(self) -> None:
        await self.serve(lambda: Link(self))
        self.every(1.0, self._sweep)

    def stop(self) -> None:
        self.end(self.links)

    def _sweep(self) -> None:
        oldest = asyncio.get_running_loop().time() - self.idle
        for link in [x for x in self.links if x.idle_since < oldest]:
            link.transport.close()


class Link(Connection):
    def __init__(self, backends: Backends) -> None:
        self._of, self._data, self._waits = backends, b"", False
        self.address, self.idle_since = "", asyncio.get_running_loop().time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.address = self.transport.get_extra_info("sockname")[0]
        self._of.opened += 1
        self._of.open[self.address] += 1
        self._of.most_open = max(self._of.most_open, self._of.open[self.address])
        self._of.links.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self._of.open[self.address] -= 1
        self._of.under_way[self.address] -= self._waits
        self._of.links.discard(self)

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if not end or self._waits:
            return
        lowered = head.lower()
        length = int(lowered.partition(b"\r\ncontent-length:")[2].partition(b"\r\n")[0] or 0)
        if len(rest) < length:
            return
        self._data = rest[length:]
        if head.startswith(b"GET /alive "):
            self.transport.write(ANSWER)
        elif b"\r\nrequest-id:" not in lowered:
            self.transport.write(NOT_FOUND)
        elif 0 < self._of.room <= self._of.under_way[self.address]:
            self._of.turned_away += 1
            self.transport.write(TURNED_AWAY)
        elif self._of.work:
            self._waits, self.idle_since = True, math.inf
            self._of.under_way[self.address] += 1
            asyncio.get_running_loop().call_later(self._of.work, self._answer)
        else:
            self._serve()

    def _answer(self) -> None:
        if not self.transport.is_closing():
            self._waits = False
            self._of.under_way[self.address] -= 1
            self._serve()

    def _serve(self) -> None:
        self._of.served += 1
        self.idle_since = asyncio.get_running_loop().time()
        self.transport.write(ANSWER)
