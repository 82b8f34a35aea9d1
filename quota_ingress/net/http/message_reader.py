"""Reads HTTP/1.1 messages from the bytes of a connection, without I/O.

A message is delivered once its head is complete, and again whenever more of its body has been received.
Limits hold for heads, trailers and the bodies of requests; responses are streamed, so their bodies have none.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import ClassVar, NoReturn

import httptools

from quota_ingress.net.http.body import Body
from quota_ingress.net.http.memory_budget import MemoryBudget

MAX_HEAD_BYTES = 16 * 1024
MAX_TRAILER_BYTES = 16 * 1024
MAX_REQUEST_BODY_BYTES = 48 * 1024 * 1024
FIELD_OVERHEAD_BYTES = 4  # of a header field beside its name and value: a colon, a space, CRLF
BODYLESS_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200


class FramingError(Exception):
    """The bytes are not HTTP, or exceed a limit: nothing behind them can be read.

    `status` is the response status that tells a client so.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def _do_nothing() -> None:
    pass


class Message:
    """A request (`method`, `target`) or a response (`status`): its head, and its body as it is received."""

    __slots__ = (
        "body",
        "completed_at",
        "headers",
        "is_http_1_0",
        "keep_alive",
        "method",
        "status",
        "target",
    )

    def __init__(self, budget: MemoryBudget) -> None:
        self.completed_at = 0  # us: when its last byte arrived at this machine; 0 until then
        self.method = b""
        self.target = b""
        self.status = 0
        self.headers: dict[bytes, bytes] = {}  # by lower-case name; values of a repeated field are joined
        self.body = Body(budget)
        self.keep_alive = True
        self.is_http_1_0 = False


class MessageReader(ABC):
    """Reads one direction of a connection; a subclass for each kind of message.

    Its `on_...` methods are httptools' callbacks.
    """

    max_body_bytes: ClassVar[float] = math.inf

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = self._new_parser()
        self._updated: list[Message] = []  # by the bytes that are being read
        self._in_head = True
        self._head_bytes = 0  # received since the message began, while its head is incomplete
        self._field_bytes = 0  # of the head's fields, then of the trailer's
        self._rejection_status = 0  # of the error that a callback raised: httptools wraps what these raise
        self._replaying_head = False
        self._body_after_upgrade = False
        self.message = Message(budget)  # the one that is being read, or the last one
        self.in_message = False  # a message has begun and is incomplete
        self.framing_lost = False
        self.received_at = 0  # us: when the bytes being read arrived; set by the owner
        self.on_message_started: Callable[[], None] = _do_nothing

    def feed(self, data: bytes) -> None:
        """Reads further bytes of the connection.

        Raises:
            FramingError: They cannot be read; messages that were read before the error are kept.
        """
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parse(data)
            if self._in_head and self._head_bytes > MAX_HEAD_BYTES:
                raise FramingError(431, "the head is too large")
        except httptools.HttpParserError as error:
            self.framing_lost = True
            raise FramingError(self._rejection_status or 400, str(error.__context__ or error)) from None
        except FramingError:
            self.framing_lost = True
            raise

    def take_updated(self) -> list[Message]:
        """Returns the messages that have been read or extended since the last call, in order."""
        updated = self._updated
        self._updated = []
        return updated

    def read_eof(self) -> None:
        """Reads the orderly end of the connection, which completes a body with neither length nor chunks."""
        headers = self.message.headers
        if not (self._in_head or b"content-length" in headers or b"transfer-encoding" in headers):
            self.message.keep_alive = False
            self._complete()

    def close(self) -> None:
        """Drops the parser, which refers back to this reader.

        Left in that circle, a closed connection would wait, buffers and all, for the garbage collector.
        """
        self._parser = None
        self.on_message_started = _do_nothing

    @abstractmethod
    def _new_parser(self) -> httptools.HttpRequestParser | httptools.HttpResponseParser:
        """Returns httptools' parser for this kind of message, with this reader for its callbacks."""

    @abstractmethod
    def _read_start_line(self, message: Message) -> None:
        """Fills in what is particular to a request or a response, and the length of the body."""

    @abstractmethod
    def _continue_after_upgrade(self) -> None:
        """Goes on reading HTTP after a message that asked for another protocol."""

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                assert self._parser is not None
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
            self._continue_after_upgrade()

    def _note_update(self) -> None:
        if not self._updated or self._updated[-1] is not self.message:
            self._updated.append(self.message)

    def _complete(self) -> None:
        self._in_head = True
        self._head_bytes = 0
        self.in_message = False
        self.message.body.complete = True
        self.message.completed_at = self.received_at
        self._note_update()

    def _reject(self, status: int, reason: str) -> NoReturn:
        self._rejection_status = status
        raise FramingError(status, reason)

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Starts a message."""
        if self._replaying_head:
            return
        self.message = Message(self._budget)
        self._field_bytes = 0
        self._in_head = True
        self.in_message = True
        self.on_message_started()

    def on_url(self, part: bytes) -> None:
        """Adds to a request's target."""
        if self._replaying_head:
            return
        self.message.target += part
        if len(self.message.target) > MAX_HEAD_BYTES:
            self._reject(431, "the target is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a field of the head; one of the trailer only counts, as it must not pass for a header."""
        if self._replaying_head:
            return
        self._field_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if not self._in_head:
            if self._field_bytes > MAX_TRAILER_BYTES:
                self._reject(431, "the trailer is too large")
            return
        if self._field_bytes > MAX_HEAD_BYTES:
            self._reject(431, "the head is too large")
        headers = self.message.headers
        name = name.lower()
        value = value.rstrip(b" \t")  # httptools leaves this to its caller
        before = headers.get(name)
        headers[name] = value if before is None else before + b", " + value

    def on_headers_complete(self) -> None:
        """Completes the head."""
        if self._replaying_head:
            return
        assert self._parser is not None
        self._in_head = False
        self._head_bytes = 0
        self._field_bytes = 0
        message = self.message
        message.is_http_1_0 = self._parser.get_http_version() == "1.0"
        coding = message.headers.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            self._reject(501, f"Transfer-Encoding {coding!r} is not supported")
        message.keep_alive = self._parser.should_keep_alive()
        self._read_start_line(message)
        self._note_update()

    def on_body(self, part: bytes) -> None:
        """Adds to the body."""
        body = self.message.body
        body.append(part)
        if body.received > self.max_body_bytes:
            self._reject(413, "the body is too large")
        self._note_update()

    def on_message_complete(self) -> None:
        """Completes the message."""
        if not self._body_after_upgrade:
            self._complete()


class RequestReader(MessageReader):
    """Reads requests."""

    max_body_bytes: ClassVar[float] = MAX_REQUEST_BODY_BYTES
    _parser: httptools.HttpRequestParser | None

    def _new_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def _read_start_line(self, message: Message) -> None:
        assert self._parser is not None
        message.method = self._parser.get_method()
        length = message.headers.get(b"content-length")
        coding = message.headers.get(b"transfer-encoding")
        if coding is not None and message.is_http_1_0:
            self._reject(400, "HTTP/1.0 knows no chunks, so where the body ends is uncertain")
        message.body.declared_length = None if coding else int(length or 0)
        if (message.body.declared_length or 0) > self.max_body_bytes:
            self._reject(413, "the body is too large")
        has_body = message.body.declared_length != 0
        self._body_after_upgrade = bool(self._parser.should_upgrade() and has_body)

    def _continue_after_upgrade(self) -> None:
        """Goes on with a new parser, as no other protocol is spoken here.

        The old parser takes a head that asks for an upgrade for the last of HTTP, so the new one is given a
        head that announces the same body.
        """
        self._parser = self._new_parser()
        if not self._body_after_upgrade:
            return
        self._body_after_upgrade = False
        length = self.message.body.declared_length
        framing = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        self._replaying_head = True
        self._parser.feed_data(b"POST / HTTP/1.1\r\n%b\r\n\r\n" % framing)
        self._replaying_head = False


class ResponseReader(MessageReader):
    """Reads responses. `expects_no_body`: the next one answers HEAD, whose response has a head alone."""

    _parser: httptools.HttpResponseParser | None

    def __init__(self, budget: MemoryBudget) -> None:
        super().__init__(budget)
        self.expects_no_body = False

    def _new_parser(self) -> httptools.HttpResponseParser:
        return httptools.HttpResponseParser(self)

    def _read_start_line(self, message: Message) -> None:
        assert self._parser is not None
        message.status = self._parser.get_status_code()
        length = message.headers.get(b"content-length")
        if message.status < FIRST_FINAL_STATUS or message.status in BODYLESS_STATUSES or self.expects_no_body:
            message.body.declared_length = 0
        else:
            message.body.declared_length = None if length is None else int(length)
        if self.expects_no_body:  # the parser would wait for the body, so the connection cannot be reused
            message.keep_alive = False
            if message.status >= FIRST_FINAL_STATUS:
                self._complete()

    def _continue_after_upgrade(self) -> None:
        raise FramingError(400, "the backend switches protocols, though nobody asked it to")
