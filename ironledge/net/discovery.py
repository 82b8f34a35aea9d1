"""The watch on the list of backends: opened from the version held, and anew when it ends or falls silent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from enum import Enum, auto
from typing import cast

import httptools

from ironledge.net.directory import Directory
from ironledge.net.http import MAX_HEAD
from ironledge.net.listing import Document, Line, Listing
from ironledge.net.sockets import BackOff

SILENT = 3.0  # s with no line: a beat is due every 2 s, and what a silent watch misses counts as told in 6 s
CUT = (0.02, 0.1)  # s between tries where no answer came: the first, the longest. The agent is on this
# machine: a try costs nobody anything, and what the agent has counts as told, watched or not
UNREADABLE = (0.1, 1.5)  # ... where one came that is no list: it may be the same again
TURNED_AWAY = (0.1, 1.5)  # ... where discovery has more callers than it can answer; in a large fleet longer:
FLEET_TRIES = 4.0  # a second by all ingresses, at the longest waits: where more ask than it can answer, each
# call has waited too long by its turn, and nobody is answered
FIRST_PART = 0.25  # of the longest wait, in a fleet for which that is longer: the first; with a tenth of it,
# a second round of tries after a release came before discovery had got through the first
CONNECT_TIMEOUT = 1.0

log = logging.getLogger(__name__)


class Ended(Enum):
    """How a watch came to its end."""

    CUT = auto()
    SILENT = auto()
    UNREADABLE = auto()
    TURNED_AWAY = auto()


class Discovery:
    """`index` is the version held; with none, the whole list is asked for first."""

    def __init__(
        self,
        address: tuple[str, int],
        index: int | None,
        changed: Callable[[Listing], None],
        fleet_size: int = 1,
        directory: Directory | None = None,
    ) -> None:
        """`directory`: the list held, if it may be long."""
        self.address, self.index, self._changed = address, index, changed
        self.directory = directory
        self.heard = asyncio.Event()  # set once a list has been told
        first, longest = TURNED_AWAY
        longer = fleet_size / FLEET_TRIES  # s between one ingress's tries
        if longer > longest:
            first, longest = FIRST_PART * longer, longer
        self._tries = {
            Ended.CUT: BackOff(*CUT),
            Ended.UNREADABLE: BackOff(*UNREADABLE),
            Ended.TURNED_AWAY: BackOff(first, longest),
        }
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._keep_watching())

    def stop(self) -> None:
        if self._task:
            self._task.cancel()

    def told(self, listing: Listing) -> None:
        self.index = listing.index
        self._changed(listing)
        self.heard.set()

    async def _keep_watching(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            ended, heard = Ended.CUT, False
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT):
                    transport, watch = await loop.create_connection(lambda: Watch(self), *self.address)
            except OSError:  # TimeoutError is one
                pass
            else:
                try:
                    await watch.closed.wait()
                finally:
                    transport.abort()
                ended, heard = watch.ended, watch.heard
            if heard:
                for why in self._tries.keys() - {ended}:
                    self._tries[why].well()
                if ended is Ended.CUT:
                    self._tries[ended].well()
            if ended is not Ended.SILENT:  # that was a wait: what comes next must find an open watch
                await asyncio.sleep(self._tries[ended].wait())


class Watch(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self, discovery: Discovery) -> None:
        self.heard, self.closed, self.ended = False, asyncio.Event(), Ended.CUT
        self._discovery, self._loop = discovery, asyncio.get_running_loop()
        self._parser = httptools.HttpResponseParser(self)
        self._timer: asyncio.TimerHandle | None = None
        self._head, self._last = 0, 0.0
        self._body: list[bytes] = []  # what has come of it and was not read yet
        self._document = Document(discovery.directory.packed if discovery.directory is not None else None)
        self._watching = self._whole = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._last = self._loop.time()
        self._ask()
        self._check()

    def _ask(self) -> None:
        (host, port), index = self._discovery.address, self._discovery.index
        target = "/discovery/hosts" + ("" if index is None else f"?watch=1&from={index}")
        self._watching, self._head = index is not None, 0
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        self._last = self._loop.time()
        try:
            self._parser.feed_data(data)
            if self._parser.get_status_code() >= 300:
                self._end(Ended.TURNED_AWAY, "not a list")
                return
            if self._head >= 0:
                self._head += len(data)
            if self._head > MAX_HEAD:
                raise ValueError("too long")
            body, self._body = self._body, []
            for part in body:
                *ends, begun = part.split(b"\n")
                for end in ends:
                    self._line(end)
                self._document.part(begun)
            if self._whole:  # the list that was asked for first; the watch goes on from its version
                self._whole = False
                self._line(b"")  # a list need not end its line
                if self._document.begun or self._discovery.index is None:
                    raise ValueError("no whole list")
                self._ask()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError, RecursionError) as error:
            self._end(Ended.UNREADABLE, str(error))

    def _line(self, end: bytes) -> None:
        """A line has come to its end."""
        read = self._document.end(end)
        if read is Line.MORE:
            return
        if isinstance(read, Listing):
            self._discovery.told(read)
        self.heard = True

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
        left = self._last + SILENT - self._loop.time()
        if left <= 0:
            self._end(Ended.SILENT, f"silent for {SILENT:.0f} s, watching anew")
            return
        self._timer = self._loop.call_later(left, self._check)

    def on_headers_complete(self) -> None:
        self._head = -1

    def on_body(self, part: bytes) -> None:
        self._body.append(part)

    def on_message_complete(self) -> None:
        if self._watching:
            self.transport.close()
            return
        self._whole = True
