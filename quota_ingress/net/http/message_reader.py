"""Parses HTTP/1.1 messages from the bytes of a connection, without I/O.

A message is delivered when its head is complete, and again whenever more of its body has been received.
Heads, trailers and request bodies are limited in size. Response bodies are streamed, so they have no limit.
"""

from __future__ import annotations

import math
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from typing import ClassVar, NoReturn

import httptools

from quota_ingress.net.http.body import Body
from quota_ingress.net.http.memory_budget import MemoryBudget

MAX_HEAD_BYTES = 16 * 1024
MAX_TRAILER_BYTES = 16 * 1024
MAX_REQUEST_BODY_BYTES = 48 * 1024 * 1024
FIELD_OVERHEAD_BYTES = 4  # per header field, beside its name and value: colon, space, CRLF
MESSAGE_OVERHEAD_BYTES = 2048  # of the objects that hold a request, beside its head and body
HEAD_COPIES = 2  # of a request: as received and as forwarded
FRAMING_FIELDS = frozenset({b"content-length", b"transfer-encoding"})
BODYLESS_STATUSES = frozenset({204, 304})
FIRST_FINAL_STATUS = 200


class FramingError(Exception):
    """The bytes are not valid HTTP or exceed a limit, so nothing after them can be parsed.

    `status` is the status code of the response that reports the error to a client.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


def _do_nothing() -> None:
    pass


class Message:
    """A request (`method`, `target`) or a response (`status`), whose body may still be incomplete."""

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
        self.completed_at = 0  # us: when the last byte arrived at this machine; 0 while incomplete
        self.method = b""
        self.target = b""
        self.status = 0
        self.headers: dict[
            bytes, bytes
        ] = {}  # fields that are kept, by lower-case name; repeated ones joined
        self.body = Body(budget)
        self.keep_alive = True
        self.is_http_1_0 = False

    @property
    def head_bytes(self) -> int:
        """Number of bytes in the target and in the fields that are kept."""
        return len(self.target) + sum(len(name) + len(value) for name, value in self.headers.items())


class MessageReader(ABC):
    """Parses the messages of one direction of a connection. Subclasses read requests or responses.

    Of the fields of a head only those that the program uses are kept: many short fields need far more memory
    than their bytes. The `on_...` methods are httptools callbacks.
    """

    max_body_bytes: ClassVar[float] = math.inf

    def __init__(self, budget: MemoryBudget, fields: Collection[bytes] = ()) -> None:
        """Starts before the first message. `fields` are the lower-case names of the fields to keep."""
        self.budget = budget
        self._kept_fields = FRAMING_FIELDS.union(fields)
        self._parser: httptools.HttpRequestParser | httptools.HttpResponseParser | None = self._new_parser()
        self._updated: list[Message] = []  # not yet returned by `take_updated`
        self._in_head = True  # or before the first byte of the next message
        self._head_bytes = 0  # received since the message began, while its head is incomplete
        self._counted_head_bytes = 0  # in the memory budget
        self._field_bytes = 0  # size of the head's fields, then of the trailer's
        self._rejection_status = 0  # status of an error raised in a callback, as httptools wraps the error
        self._replaying_head = False  # the parser reads a generated head; see `_continue_after_upgrade`
        self._body_after_upgrade = False  # the head requested an upgrade, and its body is still to be read
        self.message = Message(budget)  # the message being read, or the last one
        self.in_message = False  # a message has begun and is incomplete
        self.framing_lost = False  # a framing error occurred; later bytes cannot be parsed
        self.received_at = 0  # us: when the bytes being read arrived; set by the connection
        self.on_message_started: Callable[[], None] = _do_nothing

    @property
    def is_in_body(self) -> bool:
        """Whether the head of the message being read is complete, and its body is not."""
        return self.in_message and not self._in_head

    @property
    def incomplete_head_bytes(self) -> int:
        """Number of bytes of a head that is not complete."""
        return self._counted_head_bytes

    def feed(self, data: bytes) -> None:
        """Parses further bytes of the connection.

        Raises:
            FramingError: The bytes cannot be parsed. Messages read before the error are kept.
        """
        if self._in_head:
            self._head_bytes += len(data)
            self._count_head(self._head_bytes)
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
        """Returns, in order, the messages whose head or further body was read since the last call."""
        updated = self._updated
        self._updated = []
        return updated

    def read_eof(self) -> None:
        """Handles end of stream, which completes a body with neither Content-Length nor chunked coding."""
        headers = self.message.headers
        if not (self._in_head or b"content-length" in headers or b"transfer-encoding" in headers):
            self.message.keep_alive = False
            self._complete()

    def close(self) -> None:
        """Drops the parser, which holds a reference back to this reader.

        The reference cycle would keep a closed connection and its buffers in memory until the garbage
        collector runs.
        """
        self._parser = None
        self._count_head(0)
        self.on_message_started = _do_nothing

    def _count_head(self, size: int) -> None:
        """Counts `size` bytes of an incomplete head in the memory budget."""
        self.budget.used += size - self._counted_head_bytes
        self._counted_head_bytes = size

    @abstractmethod
    def _new_parser(self) -> httptools.HttpRequestParser | httptools.HttpResponseParser:
        """Returns an httptools parser for this kind of message that calls back this reader."""

    @abstractmethod
    def _read_start_line(self, message: Message) -> None:
        """Sets the method or the status of the message, and the declared length of its body."""

    @abstractmethod
    def _continue_after_upgrade(self) -> None:
        """Prepares for parsing HTTP after a message that requested a protocol upgrade."""

    def _parse(self, data: bytes) -> None:
        while True:
            try:
                assert self._parser is not None
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
            self._continue_after_upgrade()

    def _mark_updated(self) -> None:
        if not self._updated or self._updated[-1] is not self.message:
            self._updated.append(self.message)

    def _complete(self) -> None:
        self._in_head = True
        self._head_bytes = 0
        self.in_message = False
        self.message.body.complete = True
        self.message.completed_at = self.received_at
        self._mark_updated()

    def _reject(self, status: int, reason: str) -> NoReturn:
        self._rejection_status = status
        raise FramingError(status, reason)

    # httptools callbacks.

    def on_message_begin(self) -> None:
        """Starts a new message and calls `on_message_started`."""
        if self._replaying_head:
            return
        self.message = Message(self.budget)
        self._field_bytes = 0
        self._in_head = True
        self.in_message = True
        self.on_message_started()

    def on_url(self, part: bytes) -> None:
        """Appends to the request target, which may arrive in parts."""
        if self._replaying_head:
            return
        self.message.target += part
        if len(self.message.target) > MAX_HEAD_BYTES:
            self._reject(431, "the target is too large")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a field that is kept. A trailer field counts towards its limit and is never a header."""
        if self._replaying_head:
            return
        self._field_bytes += len(name) + len(value) + FIELD_OVERHEAD_BYTES
        if not self._in_head:
            if self._field_bytes > MAX_TRAILER_BYTES:
                self._reject(431, "the trailer is too large")
            return
        if self._field_bytes > MAX_HEAD_BYTES:
            self._reject(431, "the head is too large")
        name = name.lower()
        if name not in self._kept_fields:
            return
        headers = self.message.headers
        value = value.rstrip(b" \t")  # httptools does not strip trailing whitespace
        previous = headers.get(name)
        headers[name] = value if previous is None else previous + b", " + value

    def on_headers_complete(self) -> None:
        """Completes the head: checks the transfer coding and determines the length of the body."""
        if self._replaying_head:
            return
        assert self._parser is not None
        self._in_head = False
        self._head_bytes = 0
        self._count_head(0)
        self._field_bytes = 0
        message = self.message
        message.is_http_1_0 = self._parser.get_http_version() == "1.0"
        coding = message.headers.get(b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            self._reject(501, f"Transfer-Encoding {coding!r} is not supported")
        message.keep_alive = self._parser.should_keep_alive()
        self._read_start_line(message)
        self._mark_updated()

    def on_body(self, part: bytes) -> None:
        """Appends to the body, and rejects one that exceeds `max_body_bytes`."""
        body = self.message.body
        body.append(part)
        if body.received > self.max_body_bytes:
            self._reject(413, "the body is too large")
        self._mark_updated()

    def on_message_complete(self) -> None:
        """Completes the message, unless its body is to be read after an upgrade request."""
        if not self._body_after_upgrade:
            self._complete()


class RequestReader(MessageReader):
    """Parses requests, whose bodies are limited to MAX_REQUEST_BODY_BYTES."""

    max_body_bytes: ClassVar[float] = MAX_REQUEST_BODY_BYTES
    _parser: httptools.HttpRequestParser | None

    def _new_parser(self) -> httptools.HttpRequestParser:
        return httptools.HttpRequestParser(self)

    def _read_start_line(self, message: Message) -> None:
        assert self._parser is not None
        message.method = self._parser.get_method()
        message.body.reserve(MESSAGE_OVERHEAD_BYTES + HEAD_COPIES * message.head_bytes)
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
        """Ignores the upgrade request, as no other protocol is supported, and continues with a new parser.

        The old parser stops after a head that requests an upgrade. So that the new one reads the body, it is
        fed a head with the same body framing.
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
    """Parses responses. `expects_no_body`: the next response is to a HEAD request, so it has no body."""

    _parser: httptools.HttpResponseParser | None

    def __init__(self, budget: MemoryBudget, fields: Collection[bytes] = ()) -> None:
        """Starts before the first response. `fields` are the lower-case names of the fields to keep."""
        super().__init__(budget, fields)
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
        if self.expects_no_body:  # the parser still expects a body, so the connection cannot be reused
            message.keep_alive = False
            if message.status >= FIRST_FINAL_STATUS:
                self._complete()

    def _continue_after_upgrade(self) -> None:
        raise FramingError(400, "unsolicited protocol upgrade in a backend's response")
