"""A connection to a backend, which carries one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import (
    Body,
    FramingError,
    HttpConnection,
    MemoryBudget,
    Message,
    ResponseReader,
)
from quota_ingress.net.socket_state import reset_on_close, unacknowledged_bytes
from quota_ingress.net.upstream.close_reason import UpstreamCloseReason
from quota_ingress.net.upstream.exchange import Exchange, ResultCallback
from quota_ingress.net.upstream.response_pace import ResponsePace
from quota_ingress.policy.events import Outcome

FIELDS = frozenset({b"content-type", b"not-started", b"server-load"})  # of a response that are used
UNBUFFERED_BYTES = 4 * 1024  # of a response; beyond them it is streamed while no memory is left
MAX_HOLD_BACK_S = 1.5  # for which a response of unknown length is buffered; clients are owed it within 2 s

log = logging.getLogger(__name__)


class ConnectionOwner(Protocol):
    """The pool that a connection belongs to, as the connection sees it."""

    name: str
    address: tuple[str, int]
    now: Callable[[], float]
    budget: MemoryBudget
    event_log: EventLog

    def park_idle(self, connection: UpstreamConnection) -> None:
        """Keeps the connection for reuse, or closes it."""

    def remove(self, connection: UpstreamConnection) -> None:
        """Removes a closed connection."""

    def record_reuse(self, failed: bool) -> None:
        """Records whether a reused connection ended before any byte of a response."""


class UpstreamConnection(HttpConnection):
    """One connection to a backend, which carries one request at a time.

    Besides the transport, it uses the socket directly: `send` returns how much was written, a peek shows
    whether the connection is alive, and a shutdown takes effect before anything else is sent.
    """

    reader: ResponseReader

    def __init__(self, owner: ConnectionOwner, sock: socket.socket) -> None:
        super().__init__(ResponseReader(owner.budget, FIELDS))
        self.owner = owner
        self.sock = sock
        self.address = owner.address
        self.exchange: Exchange | None = None
        self.stream: Body | None = None  # the response body while it is being streamed
        self.idle_since = 0.0  # s of the loop's clock
        self.reused = False  # has carried a request before the current one
        self.closed = False
        self._pace = ResponsePace(0.0)  # of the current response
        self._hold_back_timer: asyncio.TimerHandle | None = None  # of a response of unknown length
        self._write_paused = False
        self._read_paused = False

    def send(self, exchange: Exchange) -> None:
        """Writes the request if `exchange.authorize` allows it; else closes the connection.

        The attempt fails if the connection has been closed since it was opened.
        """
        if self.closed:
            exchange.fail()
            return
        after_head = exchange.authorize()
        if after_head is None or exchange.ended:
            self.close(UpstreamCloseReason.NOT_AUTHORIZED)
            exchange.finish(AttemptResult(Outcome.NOT_SENT))
            return
        data = exchange.head + after_head
        self.exchange = exchange
        exchange.connection = self
        self.reader.expects_no_body = exchange.head.startswith(b"HEAD ")
        exchange.last_progress_at = self.owner.now()
        self._pace = ResponsePace(exchange.last_progress_at)
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.close(UpstreamCloseReason.WRITE_FAILED)
            exchange.fail()
            return
        if sent < len(data):  # from here on, the transport may write the last byte at any time
            self.transport.write(data[sent:])
        if exchange.body is None:
            exchange.written = True
        else:
            exchange.body.on_update = self.forward_body
            self.forward_body()

    def forward_body(self) -> None:
        """Writes the request body as far as it has been received and the backend accepts it.

        A body that was complete when the attempt began is kept for further attempts.
        """
        exchange = self.exchange
        body = exchange.body if exchange else None
        if self.closed or exchange is None or body is None:
            return
        if exchange.body_offset < body.discarded:
            self.fail_exchange(UpstreamCloseReason.BODY_DISCARDED)
            return
        while not (self._write_paused or exchange.written or body.released):
            if exchange.body_offset == body.received and not body.complete:
                return
            part = body.encode(exchange.body_offset)
            exchange.body_offset = part.end
            exchange.written = body.complete and part.end == body.received
            exchange.last_progress_at = self.owner.now()
            self.transport.write(part.data)
            if not exchange.keeps_body:
                body.discard(part.end)

    def pause_writing(self) -> None:
        """Pauses writing the request body, as the backend does not read."""
        super().pause_writing()
        self._write_paused = True

    def resume_writing(self) -> None:
        """Resumes writing the request body."""
        super().resume_writing()
        self._write_paused = False
        self.forward_body()

    def is_alive(self) -> bool:
        """Returns whether the backend has neither closed the connection nor sent unsolicited data."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.closed
        except OSError:
            pass
        return False

    def is_delivered(self) -> bool:
        """Returns whether the backend's machine has acknowledged the whole request."""
        exchange = self.exchange
        if exchange is None or not exchange.written or self.transport.is_closing():
            return False
        return not (self.transport.get_write_buffer_size() or unacknowledged_bytes(self.transport))

    def response_bytes(self) -> int | None:
        """Returns the number of body bytes of the response so far; None before the end of its head."""
        return self.reader.message.body.received if self.reader.is_in_body else None

    def close(self, reason: UpstreamCloseReason) -> None:
        """Closes the connection in both directions at once; pending data is not sent.

        The kernel would go on to send its part of the request, so it resets the connection instead: a request
        that has been given up must not arrive whole later.
        """
        if self.closed:
            return
        if self.exchange and not self.transport.is_closing() and not self.is_delivered():
            reset_on_close(self.sock)
        self.closed = True
        self._stop_holding_back()
        self.owner.event_log.event("backend connection closed", reason.value, backend=self.owner.name)
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.transport.abort()
        body = self.reader.message.body
        if not body.complete and body is not self.stream:
            body.release()
        self.owner.remove(self)

    def fail_exchange(self, reason: UpstreamCloseReason, result: AttemptResult | None = None) -> None:
        """Closes the connection, truncates a response being streamed, and ends the attempt.

        Without a `result`, the outcome depends on whether the last byte of the request was written.
        """
        exchange = self.exchange
        self.close(reason)
        self.exchange = None
        stream = self.stream
        self.stream = None
        if stream:
            stream.truncate()
        if exchange and result:
            exchange.finish(result)
        elif exchange:
            exchange.fail()

    def is_stalled(self, request_since: float, response_since: float) -> bool:
        """Returns whether the backend has made no progress on a body after a time (s of the loop's clock).

        Time during which this side does not read the response does not count.

        Args:
            request_since: The time for a request body that the backend does not accept.
            response_since: The time for a response that is being streamed.
        """
        exchange = self.exchange
        if exchange is None or self._read_paused:
            return False
        if self.stream is not None:
            return exchange.last_progress_at < response_since
        is_blocked = exchange.body is not None and not exchange.written and self._write_paused
        return is_blocked and exchange.last_progress_at < request_since

    def data_received(self, data: bytes) -> None:
        """Parses the response. Without a request to respond to, closes the connection.

        Data received on an idle connection may be the start of a second response to the last request, whose
        rest would be taken for the response to the next one.
        """
        if self.exchange is None:
            self.close(UpstreamCloseReason.UNSOLICITED_DATA)
        else:
            super().data_received(data)

    def message_received(self, message: Message) -> None:
        """Handles a response whose head is complete, or more of whose body has been received."""
        exchange = self.exchange
        body = message.body
        if exchange:
            exchange.last_progress_at = self.owner.now()
            self._pace.record(exchange.last_progress_at, body.received)
        if 100 <= message.status < 200 and exchange:
            return
        if self.stream is body and exchange:
            self._continue_stream(message, exchange)
        elif body.complete:
            self._finish_response(message, exchange, _result_of(message))
            body.release()
        elif self._must_stream(message) and exchange and exchange.on_stream_started:
            if body.received:
                self._start_stream(message, exchange, exchange.on_stream_started)
        elif body.is_long:  # a long response that is not to be streamed
            result = AttemptResult(Outcome.ERROR) if message.status == 200 else _result_of(message)
            self.fail_exchange(UpstreamCloseReason.UNWANTED, result)
        elif body.received and self._hold_back_timer is None and self._may_be_long(message):
            loop = asyncio.get_running_loop()
            self._hold_back_timer = loop.call_later(MAX_HOLD_BACK_S, self.stream_response)

    def protocol_error(self, error: FramingError) -> None:
        """Fails the attempt with ERROR: the backend is up and may have run the request."""
        log.warning("backend %s: malformed response: %s", self.owner.name, error)
        self.fail_exchange(UpstreamCloseReason.PROTOCOL_ERROR, AttemptResult(Outcome.ERROR))

    def eof_received(self) -> None:
        """Handles the backend's end of stream, which may complete a response of unknown length."""
        self.complete_at_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the attempt that the connection carries, if any."""
        super().connection_lost(exc)
        unanswered = not (self.reader.in_message or self.reader.framing_lost)
        if self.reused and self.exchange and unanswered:
            self.owner.record_reuse(failed=True)
        self.fail_exchange(UpstreamCloseReason.BY_BACKEND)

    def stream_response(self) -> bool:
        """Streams a response that has begun and may be long. Returns whether it is being streamed.

        To be called when the time of the attempt is up: only the first bytes of a long response are due then.
        """
        exchange = self.exchange
        if self.stream is not None or exchange is None or exchange.on_stream_started is None:
            return self.stream is not None
        if not (self._may_be_long(self.reader.message) and self._pace.is_at_work(self.owner.now())):
            return False
        self._start_stream(self.reader.message, exchange, exchange.on_stream_started)
        return True

    def end_if_short(self) -> bool:
        """Truncates a streamed response that is short, as it is late. Returns whether that is still open."""
        body = self.stream
        if body is None or body.is_long:
            return False
        has_short_length = body.declared_length is not None
        may_become_long = not has_short_length and self._pace.may_become_long(self.owner.now(), body.received)
        if self._read_paused or may_become_long:
            return True
        self.fail_exchange(UpstreamCloseReason.STALLED)
        return False

    def _must_stream(self, message: Message) -> bool:
        """Returns whether a good response is too long to be buffered, as far as there is memory."""
        body = message.body
        short_of_memory = self.owner.budget.is_overcommitted and body.received > UNBUFFERED_BYTES
        return message.status == 200 and (body.is_long or short_of_memory)

    def _may_be_long(self, message: Message) -> bool:
        """Returns whether `message` is a good response that has begun, and is long or of unknown length."""
        body = message.body
        return (
            self.reader.is_in_body
            and message.status == 200
            and (body.declared_length is None or body.is_long)
        )

    def _stop_holding_back(self) -> None:
        if self._hold_back_timer:
            self._hold_back_timer.cancel()
            self._hold_back_timer = None

    def _start_stream(self, message: Message, exchange: Exchange, on_started: ResultCallback) -> None:
        self._stop_holding_back()
        self.stream = message.body
        message.body.on_drained = self._apply_back_pressure
        result = _result_of(message)
        result.stream = message.body
        on_started(result)
        self._apply_back_pressure()

    def _continue_stream(self, message: Message, exchange: Exchange) -> None:
        if message.body.complete:
            self._finish_response(message, exchange, AttemptResult(Outcome.OK))
        message.body.on_update()
        self._apply_back_pressure()

    def _finish_response(self, message: Message, exchange: Exchange | None, result: AttemptResult) -> None:
        self.exchange = None
        self.stream = None
        self._stop_holding_back()
        if self._read_paused:
            self._read_paused = False
            self.transport.resume_reading()
        if self.reused and exchange:
            self.owner.record_reuse(failed=False)
        if exchange is None or not self._is_reusable_after(message, exchange):
            self.close(UpstreamCloseReason.NOT_REUSABLE)
        elif not self.closed:
            self.owner.park_idle(self)
        if exchange:
            exchange.finish(result)

    def _is_reusable_after(self, message: Message, exchange: Exchange) -> bool:
        """Returns whether the next response can be told apart from this one.

        It cannot if the backend answered before it had read the whole request, or if it sent more than one
        response: a duplicate of this response would be taken for the response to the next request.
        """
        reader = self.reader
        sent_more = self._more_messages or reader.in_message or reader.framing_lost
        unread_by_backend = self.transport.get_write_buffer_size() > 0 or not exchange.written
        return message.keep_alive and not sent_more and not unread_by_backend

    def _apply_back_pressure(self) -> None:
        """Pauses or resumes reading, so that the response is read no faster than the client reads it."""
        body = self.stream
        if body is None or self.closed:
            return
        high = body.stream_limit
        if body.buffered > high and not self._read_paused:
            self._read_paused = True
            self.transport.pause_reading()
        elif body.buffered <= high // 2 and self._read_paused:
            self._read_paused = False
            if self.exchange:
                self.exchange.last_progress_at = self.owner.now()
            self.transport.resume_reading()


def _result_of(message: Message) -> AttemptResult:
    """Maps a response to the attempt's outcome, as in the protocol page's table of responses."""
    headers = message.headers
    load = headers.get(b"server-load", b"")
    if message.status == 200:
        return AttemptResult(
            Outcome.OK,
            body=bytes(message.body.data) if message.body.complete else b"",
            content_type=headers.get(b"content-type", b""),
            load=load,
            declared_length=headers.get(b"content-length", b""),
        )
    if message.status in (503, 504) and headers.get(b"not-started") == b"1":
        return AttemptResult(Outcome.REJECTED, load=load)
    return AttemptResult(Outcome.ERROR, load=load)  # the request may have run
