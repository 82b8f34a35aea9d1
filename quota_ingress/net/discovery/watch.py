"""The watch on the list of backends: opened from the version held, and anew when it ends or falls silent."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import cast

import httptools

from quota_ingress.net.dial import dial
from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint_list import Document, EndpointList, Line
from quota_ingress.net.discovery.retry import CONNECT_TIMEOUT, IN_FORCE, SILENT, Ended, RetryPolicy
from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import MAX_HEAD_BYTES

log = logging.getLogger(__name__)


class Discovery:
    """`index` is the version held; with none, the whole list is asked for first."""

    def __init__(
        self,
        address: tuple[str, int],
        index: int | None,
        changed: Callable[[EndpointList], None],
        fleet_size: int = 1,
        within: float = IN_FORCE,
        directory: EndpointDirectory | None = None,
        trace: EventLog | None = None,
    ) -> None:
        """`within`: s in which the first list has to be told, where discovery has it and can be reached;
        `directory`: the list held, if it may be long.
        """
        self.address, self.index, self._changed = address, index, changed
        self.directory = directory
        self._trace = trace or EventLog()
        self._elsewhere = 0  # the version that the other process of an upgrade was told last, if it counts
        self.heard = asyncio.Event()  # set once a list has been told
        self.retry = RetryPolicy(fleet_size, within)
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        self._task = asyncio.get_running_loop().create_task(self._keep_watching())

    def stop(self) -> None:
        if self._task:
            self._task.cancel()

    def told_elsewhere(self, listing: EndpointList, after: int | None) -> None:
        """The other process of an upgrade has been told this by the same discovery, a change on top of the
        version `after`. One that is not on top of what is held here would hide what lies between. The watch
        that is open here may yet tell it, and those before it: they are passed over then.
        """
        if self.index is None or listing.index <= self.index:
            return
        if listing.is_snapshot or (after is not None and after <= self.index):
            self.told(listing)
            self._elsewhere = listing.index

    def told(self, listing: EndpointList) -> None:
        if not listing.is_snapshot and listing.index <= self._elsewhere:
            return
        self._elsewhere = 0
        kind = "whole list" if listing.is_snapshot else "change"
        self._trace.event("discovery told", kind, index=listing.index, entries=len(listing.packed))
        self.index = listing.index
        self._changed(listing)
        self.heard.set()

    async def _keep_watching(self) -> None:
        loop, retry, whole = asyncio.get_running_loop(), self.retry, self.index is None
        while True:
            ended = Ended.CUT
            retry.calls(loop.time())
            watch = Watch(self, whole)
            try:
                await dial(watch, self.address, CONNECT_TIMEOUT)
            except OSError:
                pass
            else:
                try:
                    await watch.closed.wait()
                finally:
                    watch.transport.abort()
                ended = watch.ended
                if watch.heard:
                    retry.well(ended)
            self._trace.event("discovery call ended", ended.name.lower().replace("_", " "), index=self.index)
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
        self._head, self._last, self._silence = 0, 0.0, SILENT
        self._body: list[bytes] = []  # what has come of it and was not read yet
        self._document = Document(discovery.directory.packed if discovery.directory is not None else None)
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
            if self._head > MAX_HEAD_BYTES:
                raise ValueError("too long")
            body, self._body = self._body, []
            for part in body:
                *ends, begun = part.split(b"\n")
                for end in ends:
                    self._line(end)
                self._document.part(begun)
            if self._whole:
                self._line(b"")  # a list need not end its line
                self._whole, self._watching = False, True
                if self._document.begun or not self._told:
                    raise ValueError("no whole list")
                self._ask()
            elif self._ended:
                self.ended = Ended.CUT if self._told else Ended.UNTOLD
                self.transport.close()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError, RecursionError) as error:
            self._end(Ended.UNREADABLE, str(error))

    def _line(self, end: bytes) -> None:
        """A line has come to its end."""
        read = self._document.end(end)
        if read is Line.MORE or (read is Line.BEAT and not self._watching):
            return
        if isinstance(read, EndpointList):
            self._discovery.told(read)
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
        self._body.append(part)

    def on_message_complete(self) -> None:
        if self._watching:
            self._ended = True
            return
        self._whole = True
