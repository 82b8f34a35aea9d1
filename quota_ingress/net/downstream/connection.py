"""One client connection: requests in, answers out in their order, `/up`."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from quota_ingress.net.descriptors import left, quiet_for, unread, unsent
from quota_ingress.net.downstream.request_parser import BadRequest, head_of
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.http import (
    BODY_BUFFER_BYTES,
    WRITE_BUFFER_BYTES,
    Body,
    FramingError,
    HttpConnection,
    Message,
    RequestReader,
    limit_socket_buffers,
)

if TYPE_CHECKING:
    from quota_ingress.net.downstream.listener import Listener

HALF_SENT = 2.5  # s from connecting, or from a later request's first byte, for a head to come whole, and ...
BODY_RATE = 32_000  # ... a second more for every so many bytes of its body: half of what a slow client sends
STOPPED = 2.0  # s without a byte of a body, however fast it came until then
MAX_BUFFERED_REQUEST_BYTES = (
    1024 * 1024
)  # a request's body up to this is buffered whole while the memory budget allows
LEFT_LOOK = 0.1  # s between looks whether a client that is not being read has left
QUEUED = 8  # requests on one connection that wait for the answer to the one before; no more is read meanwhile
REASONS = {
    200: b"OK",
    417: b"Expectation Failed",
    501: b"Not Implemented",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class CloseReason(Enum):
    """Why a client's connection ended."""

    LAST_ANSWER = "last answer"  # it was announced with the answer
    IDLE = "idle"
    EVICTED = "evicted"  # its descriptor was needed
    LINGERED = "lingered"  # answered early, and it went on sending
    ANSWER_UNREAD = "answer unread"
    ANSWER_BROKEN = "answer broken"  # by its backend: the client has to see that it is not whole
    CLIENT_LEFT = "client left"
    PROCESS_END = "process end"


LOSES_NOTHING = frozenset({CloseReason.CLIENT_LEFT, CloseReason.ANSWER_UNREAD, CloseReason.ANSWER_BROKEN})


class ClientConnection(HttpConnection):
    """One client connection; answers one request at a time, in order."""

    def __init__(self, listener: Listener, waited_since: int | None = None) -> None:
        """`waited_since`: us, since when it may have waited to be accepted; None: it has not."""
        super().__init__(RequestReader(listener.memory_budget))
        self._listener, self._engine = listener, listener.engine
        self._waited_since = waited_since
        self._closed_by: CloseReason | None = None  # this side, once it has
        self._crowded = self._paused = self._full = False
        self._message_started_at = self._last_data_at = 0
        self._waiting: deque[Message] = deque()  # behind the one in hand
        self._taken: Message | None = None  # in hand: its head is sound, its body may still be coming
        self._wanted: ParsedRequest | None = None
        self._current: bytes | None = None  # id of the request that the engine has
        self._answer: Body | None = None  # that is being passed on
        self._at = 0  # how far
        self._keep = True
        self._held_up = 0  # when reading stopped for want of room: that time is not the client's
        self._catching_up = False  # reading has gone on, and what had come meanwhile is not all read yet
        self._written = self._read = 0  # bytes, and of these the ones that the client's machine has taken

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts it, and notes whether there is room for its requests."""
        super().connection_made(transport)
        listener = self._listener
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        with contextlib.suppress(OSError):  # larger ones than asked for harm nobody
            limit_socket_buffers(transport.get_extra_info("socket"))
        self._crowded = not listener.descriptors.has_capacity()
        listener.descriptors.acquire()
        listener.connections.add(self)
        self._message_started_at = listener.awaiting_first_request[self] = listener.now()

    def connection_lost(self, exc: Exception | None) -> None:
        """The client has gone with what it had open."""
        super().connection_lost(exc)
        listener = self._listener
        by_client = "reset by client" if exc else "closed by client"
        reason = self._closed_by.value if self._closed_by else by_client
        self._engine.event_log.event("client connection closed", reason)
        listener.connections.discard(self)
        listener.receiving_body.discard(self)
        for held in (
            listener.awaiting_first_request,
            listener.receiving_head,
            listener.idle,
            listener.write_blocked,
            listener.lingering,
        ):
            held.pop(self, None)
        listener.descriptors.release()
        self._let_go()
        self.reader.message.body.release()
        if self._answer:
            self._answer.release()
            self._answer = None
        if self._current is not None:
            current, self._current = self._current, None
            self._engine.on_disconnect(current)

    def _let_go(self) -> None:
        """Of all that came: nobody will read it."""
        for message in (*self._waiting, *([self._taken] if self._taken else [])):
            message.body.release()
        self._waiting.clear()
        self._taken = self._wanted = None
        self._listener.receiving_body.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parses what came, unless the last answer has been given."""
        if self not in self._listener.lingering:
            self.reader.received_at = self._arrival()
            super().data_received(data)
            if self.reader.in_message:
                self._last_data_at = self._listener.now()

    def _arrival(self) -> int:
        """When the data that has just been read came to this machine, at the earliest (us): it may have
        waited while nothing was read, or for the connection to be accepted.
        """
        now = self._listener.now()
        if self._catching_up:
            self._catching_up = unread(self.transport) > 0
            return self._held_up
        if self._waited_since is None:
            return now
        earliest, self._waited_since = self._waited_since, None
        age = quiet_for(self.transport)
        return earliest if age is None else max(earliest, now - age)

    def message_started(self) -> None:
        """The first byte of a request: it has its time to come whole."""
        self._message_started_at = self._listener.now()
        if self._listener.idle.pop(self, None) is not None:
            self._listener.receiving_head[self] = self._message_started_at

    def message_received(self, message: Message) -> None:
        """A request's head, more of its body, or its end."""
        if self.transport.is_closing() or self in self._listener.lingering:  # behind the last answer
            message.body.release()
        elif message is self._taken:
            self._advance(message)
        elif message not in self._waiting:
            self._waiting.append(message)
            if self._free and len(self._waiting) == 1:
                self._next()
        self._hold()

    @property
    def _free(self) -> bool:
        busy = self._taken is not None or self._current is not None or self._answer is not None
        return not busy and self not in self._listener.write_blocked

    def _hold(self) -> None:
        """Reads no more while enough waits: requests behind the one in hand, or a body on its way."""
        body = self._taken.body if self._taken else None
        many = len(self._waiting) > QUEUED or any(m.body.is_long for m in self._waiting)
        much = (
            body is not None
            and self._current is not None
            and not body.complete
            and body.buffered > BODY_BUFFER_BYTES
        )
        if (many or much) and not self._paused and not self.transport.is_closing():
            self._paused, self._held_up = True, self._listener.now()
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(LEFT_LOOK, self._look, self._held_up)

    def _look(self, since: int) -> None:
        """While nothing is read, neither is the client's end, behind what it has sent."""
        if self._paused and self._held_up == since and not self.transport.is_closing():
            if left(self.transport):
                self.abort(CloseReason.CLIENT_LEFT)
            else:
                asyncio.get_running_loop().call_later(LEFT_LOOK, self._look, since)

    def _ease(self) -> None:
        body = self._taken.body if self._taken else None
        many = len(self._waiting) > QUEUED // 2 or any(m.body.is_long for m in self._waiting)
        much = (
            body is not None
            and self._current is not None
            and not body.complete
            and body.buffered > BODY_BUFFER_BYTES // 2
        )
        if self._paused and not (many or much) and not self.transport.is_closing():
            self._paused = False
            self._last_data_at = self._listener.now()
            self._message_started_at += self._last_data_at - self._held_up
            self._catching_up = True
            self.transport.resume_reading()

    def is_too_slow(self, now: int) -> bool:
        """Its body comes more slowly than any client sends that means it, or comes no more: what it sent fast
        buys it no time to say nothing.
        """
        body = self._taken.body if self._taken else None
        if body is None or self._paused:
            return False
        stopped = now - self._last_data_at > 1e6 * STOPPED
        return stopped or now - self._message_started_at > 1e6 * (HALF_SENT + body.received / BODY_RATE)

    def note_read_progress(self, now: int) -> None:
        """Notes whether the client has read on since the last look."""
        if self.transport.is_closing():  # its descriptor may be another's already
            return
        read = self._written - self.transport.get_write_buffer_size() - unsent(self.transport)
        if read > self._read:
            self._read = read
            self._listener.write_blocked[self] = now

    def protocol_error(self, error: FramingError) -> None:
        self.reject_unreadable(error.status)

    def reject_unreadable(self, status: int) -> None:
        """What came whole before is answered first, and of what is under way, the answer stands for this."""
        self.reader.framing_lost = True
        if self._waiting and not self._waiting[-1].body.complete:
            self._waiting.pop().body.release()
        if self._answer is not None or self._waiting or (self._current is not None and self._whole):
            return
        if self._current is not None:  # its body was being passed on
            current, self._current = self._current, None
            self._engine.on_disconnect(current)
        if not self.transport.is_closing() and self not in self._listener.lingering:
            self._write(status, b"", b"not understood\n")

    @property
    def _whole(self) -> bool:
        return self._taken is None or self._taken.body.complete

    @property
    def is_busy(self) -> bool:
        """Some of a request has come that is not answered."""
        doing = self._taken is not None or self._current is not None or self._answer is not None
        return (
            doing or bool(self._waiting) or self.reader.in_message
        ) and self not in self._listener.lingering

    def is_stalled(self, before: int) -> bool:
        """It began a head, and has not gone on since."""
        half = self.reader.in_message and self._taken is None and self._current is None and not self._waiting
        half = half and not self.transport.is_closing()
        return half and self._last_data_at < before and not unread(self.transport)

    def evict_incomplete(self) -> None:
        """Ends it in the middle of a head, to make room."""
        for held in (self._listener.awaiting_first_request, self._listener.receiving_head):
            held.pop(self, None)
        self._close(CloseReason.EVICTED)

    def close_if_idle(self, reason: CloseReason = CloseReason.IDLE) -> bool:
        """Closes it between requests; not if one waits unread in the socket, which would lose it."""
        if self.is_busy or self.transport.is_closing() or unread(self.transport):
            return False
        self._listener.idle.pop(self, None)
        self._listener.awaiting_first_request.pop(self, None)
        self._close(reason)
        return True

    def abort(self, reason: CloseReason) -> None:
        """Ends it at once, with what is still to be written."""
        self._closing(reason)
        self.transport.abort()

    def _close(self, reason: CloseReason) -> None:
        """Ends it once all has been written."""
        self._closing(reason)
        self.transport.close()

    def _closing(self, reason: CloseReason) -> None:
        if self._closed_by is None and not self.transport.is_closing():
            self._closed_by = reason
            if reason not in LOSES_NOTHING and (lost := self._unanswered()):
                self._engine.event_log.violation(
                    "request closed unanswered", reason=reason.value, requests=lost
                )

    def _unanswered(self) -> int:
        """Requests that came whole and have no answer."""
        return (self._current is not None and self._whole) + sum(m.body.complete for m in self._waiting)

    def _more_has_come(self) -> bool:
        """Behind the request in hand: parsed, about to be handed on, or unread in the socket."""
        if self._waiting or self._more_messages:
            return True
        return not self.transport.is_closing() and unread(self.transport) > 0

    def _next(self) -> None:
        self._taken = message = self._waiting.popleft()
        self._wanted = None
        self._keep = message.keep_alive and (not self._crowded or self._more_has_come())
        for held in (self._listener.receiving_head, self._listener.idle):
            held.pop(self, None)
        if message.target.partition(b"?")[0] == b"/up":
            up = self._listener.in_service
            self._write(200 if up else 503, b"", b"up\n" if up else b"leaving\n")
            return
        if self._crowded:
            self.reject(self._engine.settings.limits.max_retry_after, status=503)
            return
        try:
            self._wanted = self._listener.requests.read(message)
        except BadRequest as error:
            self._keep = self._keep and self._more_has_come()  # what has come already is answered, too
            self._write(error.status, b"", str(error).encode() + b"\n")
            return
        self._listener.awaiting_first_request.pop(self, None)
        if not message.body.complete:
            self._listener.receiving_body.add(self)
            if b"expect" in message.headers and not message.body.received and not message.is_http_1_0:
                self._send(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._advance(message)

    def _advance(self, message: Message) -> None:
        """Hands the request on: once it is whole, or too long to wait for that."""
        body, wanted, now = message.body, self._wanted, self._listener.now()
        late = body.complete and self in self._listener.receiving_body
        self._listener.receiving_body -= {self} if late else set()
        if self._current is not None:
            body.on_update()
            if body.complete:
                self._engine.on_body_complete(self._current, message.completed_at)
            return
        kept = body.received <= BODY_BUFFER_BYTES or (
            body.received <= MAX_BUFFERED_REQUEST_BYTES and not body.budget.is_exhausted
        )
        if wanted is None or (not body.complete and kept):
            return
        if left(self.transport):  # while this waited: in the listener's line, or behind another request
            self.abort(CloseReason.CLIENT_LEFT)
            return
        wanted.received_at = message.completed_at if body.complete else now
        if late:  # its length is known now
            wanted.head = head_of(message, wanted.id)
        elif not body.complete:
            body.on_drained = self._ease
        self._current = wanted.id
        if not self._engine.on_request(wanted, self):
            self._write(409, b"", b"a request with this Request-Id is under way\n")

    def eof_received(self) -> None:
        """It is gone now: the connection's own end may have to wait for what the client does not read."""
        if self._current is not None:
            current, self._current = self._current, None
            self._engine.on_disconnect(current)

    # The engine's answers.

    def disconnected(self) -> bool:
        """Whether the client has left, by what the socket tells now."""
        return self.transport.is_closing() or left(self.transport)

    def respond(self, answer: AttemptResult) -> None:
        """A backend's answer, held whole."""
        kind = b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
        self._write(200, kind, answer.body, answer.declared_length)

    def stream_response(self, answer: AttemptResult) -> None:
        """An answer too long to be held: passed on as it comes, and as the client reads it."""
        assert answer.stream is not None
        self._answer, self._at = answer.stream, 0
        old = self._taken is not None and self._taken.is_http_1_0
        self._answer.chunked = self._answer.declared_length is None and not old
        if old and self._answer.declared_length is None:
            self._keep = False  # only the connection's end tells HTTP/1.0 where it ends
        headers = b"Content-Type: %b\r\n" % answer.content_type if answer.content_type else b""
        if self._answer.chunked:
            headers += b"Transfer-Encoding: chunked\r\n"
        elif self._answer.declared_length is not None:
            headers += b"Content-Length: %d\r\n" % self._answer.declared_length
        if not self._keeps():
            self._keep = False
            headers += b"Connection: close\r\n"
        self._send(b"HTTP/1.1 200 OK\r\n%b\r\n" % headers)
        self._answer.on_update = self._pass_on
        self._pass_on()

    def _pass_on(self) -> None:
        while (body := self._answer) and not self._full and not self.transport.is_closing():
            if body.truncated:  # cut short: without its last byte or chunk, the client can tell
                self.abort(CloseReason.ANSWER_BROKEN)
                return
            if self._at == body.received and not body.complete:
                return
            data, self._at = body.encode(self._at)
            self._send(data)
            body.discard(self._at)
            if body.complete and self._at == body.received:
                self._answer = self._current = None
                body.release()
                self._end()

    def reject(self, retry_after: int, status: int = 429) -> None:
        """`retry_after`: us, 0 for no advice."""
        advice = b"Retry-After: %.3f\r\n" % (retry_after / 1e6) if retry_after else b""
        self._write(status, advice, b"refused\n")

    def fail(self, timed_out: bool) -> None:
        """A failure: nothing is said of effects."""
        self._write(504 if timed_out else 502, b"", b"failed\n")

    def _keeps(self) -> bool:
        if not (self._keep and self._whole):
            return False
        if self.reader.framing_lost and not self._waiting:
            return False
        return not self._listener.is_draining or self._more_has_come()  # which is answered first

    def _send(self, data: bytes) -> None:
        self._written += len(data)
        self.transport.write(data)

    def _write(self, status: int, headers: bytes, body: bytes, told_length: bytes = b"") -> None:
        """`told_length`: of the body that an answer to HEAD does not have."""
        self._current = None
        self._keep = self._keeps()
        length = b"%d" % len(body)
        if self._taken and self._taken.method == b"HEAD":
            length, body = told_length if status == 200 else length, b""
        self._send(
            b"HTTP/1.1 %d %b\r\n%b%b%b\r\n%b"
            % (
                status,
                REASONS[status],
                headers,
                b"" if self._keep else b"Connection: close\r\n",
                b"Content-Length: %b\r\n" % length if length else b"",
                body,
            )
        )
        self._end()

    def _end(self) -> None:
        """An answer has been written whole."""
        listener = self._listener
        if self._keep:
            if self._taken:
                self._taken.body.release()
            self._taken = self._wanted = None
            if self._waiting:
                asyncio.get_running_loop().call_soon(self._resume)
            else:
                self._rest()
            self._ease()
            return
        sending = not self._whole or self.reader.framing_lost or self.reader.in_message
        if not self.transport.is_closing() and (sending or unread(self.transport)):
            # Closing now would reset what the client may not have read yet, as it is still sending.
            self._closing(CloseReason.LAST_ANSWER)
            self._let_go()
            for held in (listener.awaiting_first_request, listener.receiving_head, listener.idle):
                held.pop(self, None)
            listener.lingering[self] = listener.now()
            self.transport.write_eof()
            if self._paused:
                self._paused = False
                self.transport.resume_reading()
        else:
            self._close(CloseReason.LAST_ANSWER)
            self._let_go()

    def _rest(self) -> None:
        listener, now = self._listener, self._listener.now()
        if self.reader.in_message:
            listener.receiving_head[self] = now
        else:
            listener.idle[self] = now
            if len(listener.idle) > listener.max_idle:
                next(iter(listener.idle)).close_if_idle()
        listener.awaiting_first_request.pop(self, None)

    def pause_writing(self) -> None:
        """The client does not read on: nothing more is answered meanwhile."""
        self._full = True
        self._listener.write_blocked[self] = self._listener.now()

    def resume_writing(self) -> None:
        """The client has read on."""
        self._full = False
        self._listener.write_blocked.pop(self, None)
        self._pass_on()
        self._resume()

    def _resume(self) -> None:
        """Goes on with what has come, but not while the client leaves its answers unread."""
        if self.transport.is_closing() or self in self._listener.lingering or not self._free:
            return
        if self._waiting:
            self._next()
        self._ease()
