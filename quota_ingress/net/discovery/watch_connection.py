"""Connection of one call to discovery: fetches a snapshot if one is needed, then watches for changes."""

from __future__ import annotations

import asyncio
import logging
from enum import Enum, auto
from typing import Protocol, cast

import httptools

from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint_codec import EndpointListError, list_target
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.list_parser import EndpointListParser, LineResult
from quota_ingress.net.discovery.packed_entry import pack_entry
from quota_ingress.net.discovery.watch_retry import HEARTBEAT_TIMEOUT, CallEnd, WatchRetryPolicy
from quota_ingress.net.http import MAX_HEAD_BYTES

FIRST_ERROR_STATUS = 300  # lists are sent with lower statuses

log = logging.getLogger(__name__)


class WatchOwner(Protocol):
    """Interface to the watch that opened the connection."""

    retry: WatchRetryPolicy

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the discovery service."""

    @property
    def version(self) -> int | None:
        """The current version of the list, or None without one."""

    @property
    def directory(self) -> EndpointDirectory | None:
        """The current list, if it may be long."""

    def receive(self, endpoint_list: EndpointList) -> None:
        """Applies a snapshot or a delta."""


class CallPhase(Enum):
    """Type of the current request of a call."""

    SNAPSHOT = auto()
    WATCH = auto()


class WatchConnection(asyncio.Protocol):
    """One call to discovery.

    Attributes:
        transport: The connection, once it is established.
        closed: Set once the connection has ended.
        end: How the call ended.
        has_message: Whether a list or a heartbeat has been received.
    """

    transport: asyncio.Transport

    def __init__(self, owner: WatchOwner, needs_snapshot: bool) -> None:
        """Passes lists to `owner`; with `needs_snapshot`, fetches a snapshot before it opens the watch."""
        self.closed = asyncio.Event()
        self.end = CallEnd.DISCONNECTED
        self.has_message = False
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._phase = CallPhase.SNAPSHOT if needs_snapshot else CallPhase.WATCH
        self._http_parser = httptools.HttpResponseParser(self)
        directory = owner.directory
        self._list_parser = EndpointListParser(pack_entry if directory is None else directory.pack_shared)
        self._head_bytes = 0
        self._is_head_complete = False
        self._is_response_complete = False
        self._response_has_message = False
        self._unread_body: list[bytes] = []
        self._silence_timer: asyncio.TimerHandle | None = None
        self._silence_timeout = HEARTBEAT_TIMEOUT  # s
        self._last_byte_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sends the first request."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self._last_byte_at = self._loop.time()
        self._silence_timeout = self._owner.retry.first_byte_timeout(self._last_byte_at)
        self._send_request()
        self._check_silence()

    def data_received(self, data: bytes) -> None:
        """Parses a part of a response; aborts the call if the response is an error or malformed."""
        self._last_byte_at = self._loop.time()
        self._silence_timeout = HEARTBEAT_TIMEOUT
        try:
            self._http_parser.feed_data(data)
            if self._http_parser.get_status_code() >= FIRST_ERROR_STATUS:
                self._abort(
                    CallEnd.REJECTED, f"call rejected with status {self._http_parser.get_status_code()}"
                )
                return
            self._check_head_size(len(data))
            self._read_body()
            if self._is_response_complete:
                self._finish_response()
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError, RecursionError) as error:
            self._abort(CallEnd.MALFORMED, str(error))

    def connection_lost(self, exc: Exception | None) -> None:
        """Marks the call as ended."""
        if self._silence_timer:
            self._silence_timer.cancel()
        self.closed.set()

    def on_headers_complete(self) -> None:
        """Called by the HTTP parser at the end of a response's header section."""
        self._is_head_complete = True

    def on_body(self, part: bytes) -> None:
        """Called by the HTTP parser with a part of a response's body."""
        self._unread_body.append(part)

    def on_message_complete(self) -> None:
        """Called by the HTTP parser at the end of a response."""
        self._is_response_complete = True

    def _send_request(self) -> None:
        host, port = self._owner.address
        target = list_target(self._owner.version, is_watch=self._phase is CallPhase.WATCH)
        self._head_bytes = 0
        self._is_head_complete = False
        self._is_response_complete = False
        self._response_has_message = False
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: {host}:{port}\r\n\r\n".encode())

    def _check_head_size(self, received_bytes: int) -> None:
        if not self._is_head_complete:
            self._head_bytes += received_bytes
        if self._head_bytes > MAX_HEAD_BYTES:
            raise EndpointListError(f"response header section exceeds {MAX_HEAD_BYTES} bytes")

    def _read_body(self) -> None:
        parts = self._unread_body
        self._unread_body = []
        for part in parts:
            *line_ends, partial_line = part.split(b"\n")
            for line_end in line_ends:
                self._end_line(line_end)
            self._list_parser.feed(partial_line)

    def _end_line(self, line_end: bytes) -> None:
        result = self._list_parser.end_line(line_end)
        if result is LineResult.INCOMPLETE:
            return
        if result is LineResult.HEARTBEAT and self._phase is CallPhase.SNAPSHOT:
            return
        if isinstance(result, EndpointList):
            self._owner.receive(result)
        self.has_message = True
        self._response_has_message = True
        self._owner.retry.on_message(self._last_byte_at)

    def _finish_response(self) -> None:
        if self._phase is CallPhase.WATCH:
            self.end = CallEnd.DISCONNECTED if self._response_has_message else CallEnd.EMPTY
            self.transport.close()
            return
        self._end_line(b"")  # a snapshot may lack the final newline
        self._phase = CallPhase.WATCH
        if self._list_parser.has_partial_list or not self._response_has_message:
            raise EndpointListError("endpoint list: response ended without a complete snapshot")
        self._send_request()

    def _check_silence(self) -> None:
        """Aborts a call on which no data has arrived for the timeout.

        If discovery becomes unreachable, the connection stays open: missing heartbeats are the only sign.
        """
        time_left = self._last_byte_at + self._silence_timeout - self._loop.time()
        if time_left <= 0:
            self._abort(CallEnd.SILENT, f"silent for {self._silence_timeout:.1f} s, reopening the watch")
            return
        self._silence_timer = self._loop.call_later(time_left, self._check_silence)

    def _abort(self, end: CallEnd, reason: str) -> None:
        log.warning("discovery: %s", reason)
        self.end = end
        self.transport.abort()
