"""HTTP/1.1 messages off a connection, within limits: what the client side and the backend side share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

import httptools

MAX_HEAD = 16 * 1024
MAX_TRAILERS = 16 * 1024
MAX_BODY = 48 * 1024 * 1024  # of a request; answers have no bound, as they are passed on
BUFFERED = 64 * 1024  # bytes of a body that are held whole; of a longer one, as many are held on its way
KEPT_WHOLE = 1024 * 1024  # while there is room, a request's body up to this is held until it has all come
SLICE = 64 * 1024  # passed on at a time
KERNEL_BUFFER = 128 * 1024  # asked for, each way: the kernel's own buffers count as memory, too
ROOM_PART = 0.25  # of the memory beyond what the process itself needs: bodies on their way
PROCESS_MB = 20
ROOM_MB = (2, 16)


class MemoryBudget:
    """The bytes that all bodies together hold."""

    def __init__(self, memory_mb: float = 1024.0) -> None:
        least, most = ROOM_MB
        self.capacity = int(1e6 * min(most, max(least, ROOM_PART * (memory_mb - PROCESS_MB))))
        self.used = 0

    @property
    def is_exhausted(self) -> bool:
        return self.used >= self.capacity


def _nothing() -> None:
    pass


class Body:
    """A body on its way through: the bytes that have come, but for those that are gone."""

    __slots__ = (
        "budget",
        "chunked",
        "complete",
        "data",
        "declared_length",
        "discarded",
        "on_drained",
        "on_update",
        "received",
        "released",
        "truncated",
    )

    def __init__(self, room: MemoryBudget) -> None:
        self.budget, self.data = room, bytearray()
        self.declared_length: int | None = (
            0  # as the head says; None: told by chunks, or by the connection's end
        )
        self.received = self.discarded = 0  # bytes from the start
        self.complete = self.truncated = self.released = False
        self.chunked = False  # it goes on in chunks
        self.on_update: Callable[[], object] = (
            _nothing  # for who reads: there is more, or there will be no more
        )
        self.on_drained: Callable[[], object] = _nothing  # for who fills: some has gone

    @property
    def buffered(self) -> int:
        return len(self.data)

    @property
    def is_long(self) -> bool:
        return self.received > BUFFERED or (self.declared_length or 0) > BUFFERED

    def append(self, part: bytes) -> None:
        self.received += len(part)
        if not self.released:
            self.data += part
            self.budget.used += len(part)

    def read(self, at: int, most: int = SLICE) -> bytes:
        return bytes(memoryview(self.data)[at - self.discarded : at - self.discarded + most])

    def discard(self, before: int) -> None:
        """What lies before is not needed again."""
        if before > self.discarded and not self.released:
            self.budget.used -= before - self.discarded
            del self.data[: before - self.discarded]
            self.discarded = before
            self.on_drained()

    def release(self) -> None:
        """Nobody reads on: what still comes is not held."""
        if not self.released:
            self.released = True
            self.budget.used -= len(self.data)
            self.discarded += len(self.data)
            self.data = bytearray()
            self.on_drained()
        self.on_update = self.on_drained = _nothing

    def truncate(self) -> None:
        """Its end will never come."""
        if not self.complete:
            self.truncated = True
            self.on_update()

    def detach_reader(self) -> None:
        """Whoever read it reads no more; another may."""
        self.on_update = _nothing

    def encode(self, at: int) -> tuple[bytes, int]:
        """What to write of it next, and how far that goes: a slice, and behind the last one what ends it."""
        part = self.read(at)
        at += len(part)
        data = b"%x\r\n%b\r\n" % (len(part), part) if self.chunked and part else part
        if self.chunked and self.complete and at == self.received:
            data += b"0\r\n\r\n"
        return data, at


class Message:
    """A request (method, target) or an answer (status); its head is whole, its body may still be coming."""

    __slots__ = ("body", "completed_at", "headers", "is_http_1_0", "keep_alive", "method", "status", "target")

    def __init__(self, room: MemoryBudget) -> None:
        self.completed_at = 0  # us: when its last byte came to this machine; 0 until then
        self.method = b""
        self.target = b""
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.body = Body(room)
        self.keep_alive = True
        self.is_http_1_0 = False  # HTTP/1.0: it knows no chunks


class HttpConnection(asyncio.Protocol):
    """Reads messages and hands each to `came` once the parser has returned, so that an error in handling one
    is never mistaken for an error in parsing it.
    """

    transport: asyncio.Transport

    def __init__(self, parser: type[Any], room: MemoryBudget) -> None:
        self._parser_type, self._budget = parser, room
        self._parser: Any = parser(self)
        self._message = Message(room)
        self._touched: list[Message] = []  # of what is being parsed now
        self._fed = 0  # bytes since the message began, while its head is open
        self._size = 0  # of the head, then of the trailers
        self._in_head = True
        self._in_message = False  # some of the next message has come
        self._more_messages = False  # further messages came in the same read as the one that is handed on
        self.error_text = ""  # what is, for the log
        self._bad = 0  # the status that says what is wrong with it
        self._framing_lost = False
        self._switching = self._silent = False  # see `_go_on`
        self.expects_no_body = False  # an answer that is awaited has a head alone, whatever it says
        self.received_at = 0  # us: when the data that is being parsed came; for the side that needs it to set

    # For the two sides to fill in.

    def message_received(self, message: Message) -> None:
        """Its head has come, more of its body, or its end."""
        raise NotImplementedError

    def protocol_error(self, status: int) -> None:
        """What came is not HTTP, or too large: nothing after it can be read."""
        raise NotImplementedError

    def message_started(self) -> None:
        """The first byte of a message has come."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass

    def connection_lost(self, exc: Exception | None) -> None:
        """The parser holds this connection by its callbacks. Left in that circle, what is closed would wait,
        buffers and all, for the garbage collector, which seldom looks at what has lived for a while.
        """
        self._parser = None

    def data_received(self, data: bytes) -> None:
        if self._framing_lost:
            return
        if self._in_head:
            self._fed += len(data)
        bad = 0
        try:
            self._feed(data)
        except httptools.HttpParserError as error:
            bad, self.error_text = (
                self._bad or 400,
                str(error.__context__ or error),
            )  # a callback's own, if any
        if self._in_head and self._fed > MAX_HEAD:  # a head that never ends
            bad = bad or 431
        self._framing_lost = bad > 0
        self._hand_on()
        if bad:
            self.protocol_error(bad)

    def _feed(self, data: bytes) -> None:
        while True:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as ended:
                data = data[ended.args[0] :]
                self._go_on()

    def _go_on(self) -> None:
        """No other protocol is spoken here, so a wish to switch is passed over; the parser takes the head for
        the last of HTTP, though. Another one goes on, told of the body that the head has announced.
        """
        if self._parser_type is not httptools.HttpRequestParser:
            raise httptools.HttpParserError("nobody asked to switch protocols")
        self._parser = self._parser_type(self)
        if self._switching:
            self._switching, length = False, self._message.body.declared_length
            told = b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
            self._silent = True
            self._parser.feed_data(b"POST / HTTP/1.1\r\n%b\r\n\r\n" % told)
            self._silent = False

    def _hand_on(self) -> None:
        touched, self._touched = self._touched, []
        for left, message in enumerate(touched, 1 - len(touched)):
            self._more_messages = left < 0
            self.message_received(message)

    def _touch(self) -> None:
        if not self._touched or self._touched[-1] is not self._message:
            self._touched.append(self._message)

    def complete_at_eof(self) -> None:
        """At the sender's orderly end: a body with neither length nor chunks is whole now."""
        headers = self._message.headers
        if not (self._in_head or b"content-length" in headers or b"transfer-encoding" in headers):
            self._message.keep_alive = False
            self._complete()
            self._hand_on()

    # httptools' callbacks. It wraps what they raise, so what is wrong is noted in `_bad`.

    def on_message_begin(self) -> None:
        if not self._silent:
            self._message, self._size, self._in_head = Message(self._budget), 0, True
            self._in_message = True
            self.message_started()

    def on_url(self, part: bytes) -> None:
        if not self._silent:
            self._message.target += part
            self._limit(len(self._message.target), MAX_HEAD, 431)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._silent:
            return
        self._size += len(name) + len(value) + 4
        if not self._in_head:  # trailers say nothing that is needed here, and must not pass for headers
            self._limit(self._size, MAX_TRAILERS, 431)
            return
        self._limit(self._size, MAX_HEAD, 431)
        headers, name = self._message.headers, name.lower()
        value = value.rstrip(b" \t")  # the parser leaves this to its caller
        before = headers.get(name)
        headers[name] = value if before is None else before + b", " + value

    def on_headers_complete(self) -> None:
        if self._silent:
            return
        message, parser = self._message, self._parser
        self._in_head, self._fed, self._size = False, 0, 0
        message.is_http_1_0 = parser.get_http_version() == "1.0"
        length, coded = message.headers.get(b"content-length"), message.headers.get(b"transfer-encoding")
        if coded is not None and coded.lower() != b"chunked":
            self._refuse(501, f"Transfer-Encoding {coded!r} is not known here")
        if self._parser_type is httptools.HttpRequestParser:
            message.method = parser.get_method()
            if coded is not None and message.is_http_1_0:
                self._refuse(400, "HTTP/1.0 has no chunks: whoever sent them may mean another end")
            message.body.declared_length = None if coded else int(length or 0)
            self._limit(message.body.declared_length or 0, MAX_BODY, 413)  # before any of it has come
            self._switching = bool(parser.should_upgrade() and message.body.declared_length != 0)
        else:
            message.status = parser.get_status_code()
            none = message.status < 200 or message.status in (204, 304) or self.expects_no_body
            message.body.declared_length = 0 if none else None if length is None else int(length)
        message.keep_alive = parser.should_keep_alive() and not self.expects_no_body
        self._touch()
        if self.expects_no_body and message.status >= 200:
            self._complete()

    def on_body(self, part: bytes) -> None:
        body = self._message.body
        body.append(part)
        if self._parser_type is httptools.HttpRequestParser:
            self._limit(body.received, MAX_BODY, 413)
        self._touch()

    def on_message_complete(self) -> None:
        if not self._switching:
            self._complete()

    def _complete(self) -> None:
        self._in_head, self._fed, self._in_message = True, 0, False
        self._message.body.complete = True
        self._message.completed_at = self.received_at
        self._touch()

    def _refuse(self, status: int, why: str) -> None:
        self._bad = status
        raise ValueError(why)

    def _limit(self, size: int, most: int, status: int) -> None:
        if size > most:
            self._refuse(status, "too large")
