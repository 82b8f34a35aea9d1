"""The watch on the list of backends: opened from the version held, and anew when it ends or falls silent."""

from __future__ import annotations

import asyncio
import copy
import json
import logging
import math
import re
from collections.abc import Callable
from functools import partial
from typing import Any, cast

import httptools

from ironledge.net.http import MAX_HEAD
from ironledge.net.retry import CONNECT_TIMEOUT, IN_FORCE, SILENT, Ended, RetryPolicy

MAX_PORT = 65535
MAX_LINE = 8 * 1024 * 1024
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')

log = logging.getLogger(__name__)


class Entry:
    """A backend as discovery names it."""

    __slots__ = ("address", "group", "kind", "name", "since_us", "status", "weight", "zone")

    def __init__(self, raw: dict[str, Any]) -> None:
        self.name, self.status = str(raw["name"]), str(raw["status"])
        if self.status not in ("up", "draining", "removed"):
            raise ValueError(f"status {self.status!r} is unknown")
        # A removed backend needs no more than its name.
        address = str(raw["address"] if self.status != "removed" else raw.get("address", ":0"))
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        if not 0 <= self.address[1] <= MAX_PORT:
            raise ValueError(f"port {port} is none")
        self.zone, self.kind = str(raw.get("zone", "")), str(raw.get("type", ""))
        self.group, self.weight = int(raw.get("group", 0)), float(raw.get("weight", 1.0))
        self.since_us = round(float(raw.get("since_ms", 0)) * 1000)
        if not math.isfinite(self.weight):
            raise ValueError(f"weight {self.weight} is none")

    def told(self) -> dict[str, Any]:
        """As discovery would tell it."""
        host, port = self.address
        return {
            "name": self.name, "status": self.status, "address": f"{host}:{port}", "zone": self.zone,
            "type": self.kind, "group": self.group, "weight": self.weight, "since_ms": self.since_us / 1000,
        }  # fmt: skip

    def but(self, status: str | None = None, since_us: int | None = None) -> Entry:
        """The same backend, in another state or started at another moment."""
        other = copy.copy(self)
        other.status = self.status if status is None else status
        other.since_us = self.since_us if since_us is None else since_us
        return other


class Listing:
    """The whole list, or the entries that changed."""

    __slots__ = ("entries", "index", "whole")

    def __init__(self, raw: Any) -> None:
        try:
            self.index, self.whole = int(raw["index"]), bool(raw["snapshot"])
            self.entries = [Entry(e) for e in raw["endpoints"]]
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"list of backends: {error!r}") from None

    @classmethod
    def of(cls, index: int, whole: bool, entries: list[Entry]) -> Listing:
        made = cls({"index": index, "snapshot": whole, "endpoints": []})
        made.entries = entries
        return made


class Document:
    """JSON that comes in lines: mostly one to each, but an indented one has many."""

    def __init__(self) -> None:
        self._lines: list[bytes] = []
        self._size = self._depth = 0

    @property
    def begun(self) -> bool:
        return bool(self._lines)

    def add(self, line: bytes) -> Any:
        """What the line completes, or None where more is to come; ValueError where that can be nothing."""
        if not self._lines:
            try:
                return json.loads(line)
            except ValueError:
                if self._deeper(line) <= 0:
                    raise
        self._lines.append(line)
        self._size += len(line)
        self._depth += self._deeper(line)
        if self._depth > 0 and line.strip() and self._size <= MAX_LINE:
            return None
        text, self._lines, self._size, self._depth = b"\n".join(self._lines), [], 0, 0
        return json.loads(text)

    @staticmethod
    def _deeper(line: bytes) -> int:
        bare = STRING.sub(b"", line)  # a string never goes over the end of a line
        return sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))


class Discovery:
    """`index` is the version held; with none, the whole list is asked for first."""

    def __init__(
        self,
        address: tuple[str, int],
        index: int | None,
        changed: Callable[[Listing], None],
        fleet_size: int = 1,
        within: float = IN_FORCE,
    ) -> None:
        """`within`: s in which the first list has to be told, where discovery has it and can be reached."""
        self.address, self.index, self._changed = address, index, changed
        self.heard = asyncio.Event()  # set once a list has been told
        self.retry = RetryPolicy(fleet_size, within)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._keep_watching())

    def stop(self) -> None:
        if self._task:
            self._task.cancel()

    def told(self, raw: Any) -> None:
        listing = Listing(raw)
        self.index = listing.index
        self._changed(listing)
        self.heard.set()

    async def _keep_watching(self) -> None:
        loop, retry, whole = asyncio.get_running_loop(), self.retry, self.index is None
        while True:
            ended = Ended.CUT
            retry.calls(loop.time())
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    made = loop.create_connection(partial(Watch, self, whole), *self.address)
                    transport, watch = await made
            except OSError:  # TimeoutError is one
                pass
            else:
                try:
                    await watch.closed.wait()
                finally:
                    transport.abort()
                ended = watch.ended
                if watch.heard:
                    retry.well(ended)
            whole = ended is Ended.UNTOLD or self.index is None  # the next watch may say nothing, either
            if wait := retry.wait(ended, loop.time()):
                await asyncio.sleep(wait)


class Watch(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, discovery: Discovery, whole: bool) -> None:
        """`whole`: the whole list is asked for first, and the watch goes on from its version."""
        self.heard, self.closed, self.ended = False, asyncio.Event(), Ended.CUT
        self._discovery, self._loop = discovery, asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._rest, self._head, self._last, self._silence = b"", 0, 0.0, SILENT
        self._lines: list[bytes] = []
        self._document = Document()
        self._watching, self._whole, self._told = not whole, False, False  # by this answer
        self._ended = False  # in order

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._last = self._loop.time()
        self._silence = self._discovery.retry.silence(self._last)
        self._ask()
        self._check()

    def _ask(self) -> None:
        (host, port), index = self._discovery.address, self._discovery.index
        target = "/discovery/hosts" + (f"?watch=1&from={index}" if self._watching else "")
        self._head, self._told = 0, False
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self._last, self._silence = self._loop.time(), SILENT
        try:
            self._parser.feed_data(data)
            if self._parser.get_status_code() >= 300:
                self._end(Ended.TURNED_AWAY, "not a list")
                return
            if self._head >= 0:
                self._head += len(data)
            if len(self._rest) > MAX_LINE or self._head > MAX_HEAD:
                raise ValueError("too long")
            lines, self._lines = self._lines, []
            for line in lines:
                self._line(line)
            if self._whole:
                self._whole, self._watching = False, True
                if self._document.begun or not self._told:
                    raise ValueError("no whole list")
                self._ask()
            elif self._ended:
                self.ended = Ended.CUT if self._told else Ended.UNTOLD
                self.transport.close()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError, RecursionError) as error:
            self._end(Ended.UNREADABLE, str(error))

    def _line(self, line: bytes) -> None:
        if line.strip() or self._document.begun:
            if (raw := self._document.add(line)) is None:
                return
            self._discovery.told(raw)
        elif not self._watching:
            return
        self.heard = self._told = True
        self._discovery.retry.heard(self._last)

    def _end(self, how: Ended, why: str) -> None:
        log.warning("discovery: %s", why)
        self.ended = how
        self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timer:
            self._timer.cancel()
        self.closed.set()

    def _check(self) -> None:
        """A cut-off discovery says nothing and the connection stays open: missing beats are the only sign."""
        left = self._last + self._silence - self._loop.time()
        if left <= 0:
            self._end(Ended.SILENT, f"silent for {round(self._silence, 1):g} s, watching anew")
            return
        self._timer = self._loop.call_later(left, self._check)

    def on_headers_complete(self) -> None:
        self._head = -1

    def on_body(self, part: bytes) -> None:
        *lines, self._rest = (self._rest + part).split(b"\n")
        self._lines += lines

    def on_message_complete(self) -> None:
        if self._watching:
            self._ended = True
            return
        self._whole = True
        self._lines.append(self._rest)  # a list need not end its line
        self._rest = b""
