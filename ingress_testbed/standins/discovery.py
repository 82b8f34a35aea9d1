"""Discovery: the whole list, watches with a line a change and a beat, a capacity, silence."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Any
from urllib.parse import parse_qs, urlsplit

from ingress_testbed.standins.sockets import Connection, Server

BEAT = 2.0  # s without a change after which a watch gets an empty line
KEPT = 1000  # changes from which a watch may go on; older versions get the whole list


def compact(value: Any) -> bytes:
    return json.dumps(value, separators=(",", ":")).encode()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Discovery(Server):
    """`capacity`: calls answered a second, 0 for any number; a further one is turned away with 503."""

    def __init__(self, entries: list[dict[str, Any]], index: int = 1, capacity: float = 0.0) -> None:
        self.entries = {e["name"]: e for e in entries}
        self.index, self.capacity = index, capacity
        self.watches: set[Caller] = set()
        self.silent = False  # answers nothing, and open watches get no line
        self.sent = self.told = self.turned_away = self.lists = self.calls = 0  # sent: bytes
        self._allowance, self._at = 0.0, 0.0
        self._changes: deque[tuple[int, bytes]] = deque(maxlen=KEPT)  # the version, and its line
        self._whole: bytes | None = None  # kept encoded: callers are many, changes few
        self._missed: list[bytes] = []  # lines of the silence

    async def start(self) -> None:
        await self.serve(lambda: Caller(self))
        self.every(BEAT, self._beat)

    def stop(self) -> None:
        self.end(self.watches)

    def whole(self) -> bytes:
        if self._whole is None:
            listing = {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
            self._whole = compact(listing)
        return self._whole

    def change(self, entries: list[dict[str, Any]]) -> int:
        """Takes the entries in and tells every watch, in one line. The new version."""
        self.index += 1
        for e in entries:
            if e["status"] == "removed":
                self.entries.pop(e["name"], None)
            else:
                self.entries[e["name"]] = e
        line = compact({"index": self.index, "snapshot": False, "endpoints": entries}) + b"\n"
        self._changes.append((self.index, line))
        self._whole = None
        if not self.silent:
            self._tell(line)
        else:
            self._missed.append(line)
        return self.index

    def fall_silent(self) -> None:
        self.silent = True

    def speak(self) -> None:
        """Back after a silence: open watches get what they missed."""
        self.silent = False
        for line in self._missed:
            self._tell(line)
        self._missed.clear()

    def cut(self) -> None:
        """All watches end at once, as after a restart of discovery."""
        for watch in list(self.watches):
            watch.transport.abort()

    def since(self, version: int) -> bytes:
        """The lines after that version, or else the whole list as one."""
        if version == self.index:
            return b""
        lines = [line for index, line in self._changes if index > version]
        if 0 < self.index - version == len(lines):
            return b"".join(lines)
        return self.whole() + b"\n"

    def admits(self) -> bool:
        if not self.capacity:
            return True
        now = asyncio.get_running_loop().time()
        grown = self._allowance + (now - self._at) * self.capacity
        self._allowance, self._at = min(max(1.0, self.capacity / 10), grown), now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _tell(self, line: bytes) -> None:
        data = chunk(line)
        for watch in self.watches:
            watch.transport.write(data)
        self.told += len(self.watches)
        self.sent += len(data) * len(self.watches)

    def _beat(self) -> None:
        if not self.silent:
            self._tell(b"\n")
            self.told -= len(self.watches)


class Caller(Connection):
    def __init__(self, discovery: Discovery) -> None:
        self._discovery, self._data = discovery, b""

    def data_received(self, data: bytes) -> None:
        self._data += data
        while b"\r\n\r\n" in self._data:
            head, _, self._data = self._data.partition(b"\r\n\r\n")
            if not self._discovery.silent:
                self._answer(head.split(b" ")[1].decode())

    def connection_lost(self, exc: Exception | None) -> None:
        self._discovery.watches.discard(self)

    def _answer(self, target: str) -> None:
        at, discovery = urlsplit(target), self._discovery
        asked = parse_qs(at.query)
        discovery.calls += 1
        if at.path != "/discovery/hosts":
            self._write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
        elif not discovery.admits():
            discovery.turned_away += 1
            self._write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
        elif asked.get("watch") != ["1"]:
            discovery.lists += 1
            body = discovery.whole()
            self._write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
            self._write(body)
        else:
            lines = discovery.since(int(asked.get("from", ["-1"])[0]))
            discovery.lists += b'"snapshot":true' in lines[:100]
            self._write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            self._write(chunk(lines or b"\n"))
            discovery.watches.add(self)

    def _write(self, data: bytes) -> None:
        self._discovery.sent += len(data)
        self.transport.write(data)
