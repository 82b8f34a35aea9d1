"""One client connection: pipelined requests in, responses out in their order.

Reading pauses while enough waits here, and responding pauses while the client does not read (back-pressure).
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from typing import Protocol

from quota_ingress.net.descriptors import DescriptorShare
from quota_ingress.net.downstream.close_reason import CLIENTS_OWN_REASONS, CloseReason
from quota_ingress.net.downstream.request_parser import (
    InvalidRequestError,
    RequestParser,
    encode_forwarded_head,
)
from quota_ingress.net.downstream.response import (
    CONTINUE,
    content_type_field,
    encode_response,
    encode_stream_head,
    retry_after_field,
)
from quota_ingress.net.downstream.socket_state import (
    peer_has_left,
    time_since_last_data_us,
    unacknowledged_bytes,
    unread_bytes,
)
from quota_ingress.net.downstream.stages import ConnectionStages
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.http import (
    BODY_BUFFER_BYTES,
    WRITE_BUFFER_BYTES,
    Body,
    FramingError,
    HttpConnection,
    MemoryBudget,
    Message,
    RequestReader,
    limit_socket_buffers,
)

HEAD_TIMEOUT_S = 2.5  # from connecting, or from a later request's first byte, until its head is complete
MIN_BODY_BYTES_PER_S = 32_000  # a body has a second more for every so many bytes
BODY_STALL_TIMEOUT_S = 2.0  # without a byte of a body, however fast it came until then
CLIENT_LEFT_CHECK_INTERVAL_S = 0.1  # while reading is paused
MAX_PIPELINED_REQUESTS = 8  # waiting behind the one in hand; reading pauses above it
MAX_BUFFERED_REQUEST_BYTES = 1024 * 1024  # a longer body is streamed; so is one above the memory budget
HEALTH_CHECK_PATH = b"/up"
US_PER_S = 1_000_000


class ConnectionHost(Protocol):
    """What all client connections share."""

    engine: Engine
    memory_budget: MemoryBudget
    descriptors: DescriptorShare
    request_parser: RequestParser
    stages: ConnectionStages[ClientConnection]
    max_idle: int  # connections
    now: Callable[[], int]  # us

    @property
    def in_service(self) -> bool:
        """Whether health checks are answered with 200."""

    @property
    def is_draining(self) -> bool:
        """Whether connections end with their responses."""


class ClientConnection(HttpConnection):
    """One client connection; answers one request at a time, in order.

    A request is read (`_waiting`), in hand (`_request`), and from a whole or long body on with the engine
    (`_engine_request_id`), which calls back with the response.
    """

    def __init__(self, host: ConnectionHost, queued_since: int | None = None) -> None:
        """Makes a connection of `host`.

        `queued_since`: us, since when it may have waited to be accepted; None: it has not.
        """
        super().__init__(RequestReader(host.memory_budget))
        self._host = host
        self._engine = host.engine
        self._stages = host.stages
        self._queued_since = queued_since
        self._closed_by: CloseReason | None = None  # this side, once it has
        self._over_limit = False  # of the descriptors for requests: it is only told to come again
        self._message_started_at = 0
        self._last_data_at = 0
        self._waiting: deque[Message] = deque()  # behind the one in hand
        self._request: Message | None = None  # in hand: its body may still be coming
        self._parsed: ParsedRequest | None = None
        self._engine_request_id: bytes | None = None
        self._response_body: Body | None = None  # that is being forwarded
        self._response_offset = 0
        self._keep_alive = True
        self._write_paused = False
        self._read_paused = False
        self._read_paused_at = 0  # that time is not counted as the client's
        self._catching_up = False  # reading goes on, and what came during the pause is not all read yet
        self._bytes_written = 0
        self._bytes_acknowledged = 0  # of these, by the client's machine

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection, and notes whether there is capacity for its requests."""
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        with contextlib.suppress(OSError):  # larger ones than asked for harm nobody
            limit_socket_buffers(transport.get_extra_info("socket"))
        self._over_limit = not self._host.descriptors.has_capacity()
        self._host.descriptors.acquire()
        self._message_started_at = self._host.now()
        self._stages.add(self, self._message_started_at)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what the client had open."""
        super().connection_lost(exc)
        by_client = "reset by client" if exc else "closed by client"
        reason = self._closed_by.value if self._closed_by else by_client
        self._engine.event_log.event("client connection closed", reason)
        self._stages.remove(self)
        self._host.descriptors.release()
        self._release_requests()
        self.reader.message.body.release()
        if self._response_body:
            self._response_body.release()
            self._response_body = None
        self._leave_engine()

    def data_received(self, data: bytes) -> None:
        """Reads what came, unless the last response has been given."""
        if self in self._stages.lingering:
            return
        self.reader.received_at = self._arrival_time()
        super().data_received(data)
        if self.reader.in_message:
            self._last_data_at = self._host.now()

    def message_started(self) -> None:
        """The first byte of a request has come, and its time begins."""
        self._message_started_at = self._host.now()
        self._stages.start_head(self, self._message_started_at)

    def message_received(self, message: Message) -> None:
        """A request's head has come, more of its body, or its end."""
        if self.transport.is_closing() or self in self._stages.lingering:  # behind the last response
            message.body.release()
        elif message is self._request:
            self._advance(message)
        elif message not in self._waiting:
            self._waiting.append(message)
            if len(self._waiting) == 1 and self._is_free:
                self._start_next_request()
        self._pause_reading_if_full()

    def protocol_error(self, error: FramingError) -> None:
        """The client sent what cannot be read."""
        self.reject_unreadable(error.status)

    def reject_unreadable(self, status: int) -> None:
        """Ends the connection over a request that cannot be read, or does not come whole.

        Requests that came whole before it are answered first.
        """
        self.reader.framing_lost = True
        if self._waiting and not self._waiting[-1].body.complete:
            self._waiting.pop().body.release()
        in_hand = self._engine_request_id is not None and self._request_is_complete
        if self._response_body is not None or self._waiting or in_hand:
            return
        self._leave_engine()
        if not self.transport.is_closing() and self not in self._stages.lingering:
            self._write_response(status, b"", b"not understood\n")

    def eof_received(self) -> None:
        """The client has left; the connection's own end may have to wait for what it does not read."""
        self._leave_engine()

    def pause_writing(self) -> None:
        """The client does not read on: nothing more is answered meanwhile."""
        self._write_paused = True
        self._stages.write_blocked[self] = self._host.now()

    def resume_writing(self) -> None:
        """The client has read on."""
        self._write_paused = False
        self._stages.write_blocked.pop(self, None)
        self._forward_response_body()
        self._resume()

    # For the host: timeouts, eviction, shutdown.

    @property
    def is_busy(self) -> bool:
        """Whether some of a request has come that is not answered."""
        open_request = bool(self._waiting) or self.reader.in_message or self._has_request_in_hand
        return open_request and self not in self._stages.lingering

    def is_too_slow(self, now: int) -> bool:
        """Whether a body comes more slowly than any client sends, or comes no more."""
        body = self._request.body if self._request else None
        if body is None or self._read_paused:
            return False
        allowed_s = HEAD_TIMEOUT_S + body.received / MIN_BODY_BYTES_PER_S
        stopped = now - self._last_data_at > US_PER_S * BODY_STALL_TIMEOUT_S
        return stopped or now - self._message_started_at > US_PER_S * allowed_s

    def is_stalled(self, before: int) -> bool:
        """Whether it began a head, and has sent nothing more since before that moment (us)."""
        in_head = self.reader.in_message and not self._waiting
        in_head = in_head and self._request is None and self._engine_request_id is None
        if not in_head or self.transport.is_closing():
            return False
        return self._last_data_at < before and not unread_bytes(self.transport)

    def note_read_progress(self, now: int) -> None:
        """Notes whether the client has read on since the last call."""
        if self.transport.is_closing():  # its descriptor may be another connection's already
            return
        unsent = self.transport.get_write_buffer_size() + unacknowledged_bytes(self.transport)
        acknowledged = self._bytes_written - unsent
        if acknowledged > self._bytes_acknowledged:
            self._bytes_acknowledged = acknowledged
            self._stages.write_blocked[self] = now

    def close_if_idle(self, reason: CloseReason = CloseReason.IDLE) -> bool:
        """Closes it between requests, but not if one waits unread. Returns whether it did."""
        if self.is_busy or self.transport.is_closing() or unread_bytes(self.transport):
            return False
        self._stages.leave_quiet_stages(self)
        self._close(reason)
        return True

    def evict_incomplete(self) -> None:
        """Closes it in the middle of a head."""
        self._stages.leave_quiet_stages(self)
        self._close(CloseReason.EVICTED)

    def abort(self, reason: CloseReason) -> None:
        """Closes it at once, with what is still to be written."""
        self._note_close(reason)
        self.transport.abort()

    # For the engine: the response.

    def disconnected(self) -> bool:
        """Whether the client has left, by what the socket tells now."""
        return self.transport.is_closing() or peer_has_left(self.transport)

    def respond(self, answer: AttemptResult) -> None:
        """Sends a backend's whole response."""
        self._write_response(
            200, content_type_field(answer.content_type), answer.body, answer.declared_length
        )

    def stream_response(self, answer: AttemptResult) -> None:
        """Forwards a response too long to be buffered, as it comes and as the client reads it."""
        body = answer.stream
        assert body is not None
        is_http_1_0 = self._request is not None and self._request.is_http_1_0
        body.chunked = body.declared_length is None and not is_http_1_0
        if is_http_1_0 and body.declared_length is None:
            self._keep_alive = False  # only the connection's end tells HTTP/1.0 where it ends
        self._keep_alive = self._can_keep_alive()
        self._response_body = body
        self._response_offset = 0
        self._send(encode_stream_head(answer.content_type, body, self._keep_alive))
        body.on_update = self._forward_response_body
        self._forward_response_body()

    def reject(self, retry_after: int, status: int = 429) -> None:
        """Sends a rejection; `retry_after`: us, 0 for no advice."""
        self._write_response(status, retry_after_field(retry_after), b"refused\n")

    def fail(self, timed_out: bool) -> None:
        """Sends a failure, which says nothing of effects."""
        self._write_response(504 if timed_out else 502, b"", b"failed\n")

    # Reading.

    def _arrival_time(self) -> int:
        """Returns when the data that has just been read came to this machine, at the earliest (us).

        It may have waited while reading was paused, or for the connection to be accepted.
        """
        now = self._host.now()
        if self._catching_up:
            self._catching_up = unread_bytes(self.transport) > 0
            return self._read_paused_at
        if self._queued_since is None:
            return now
        earliest = self._queued_since
        self._queued_since = None
        age = time_since_last_data_us(self.transport)
        return earliest if age is None else max(earliest, now - age)

    def _pause_reading_if_full(self) -> None:
        if self._read_paused or self.transport.is_closing():
            return
        if self._backlog_exceeds(MAX_PIPELINED_REQUESTS, BODY_BUFFER_BYTES):
            self._read_paused = True
            self._read_paused_at = self._host.now()
            self.transport.pause_reading()
            self._schedule_client_left_check()

    def _resume_reading_if_drained(self) -> None:
        if not self._read_paused or self.transport.is_closing():
            return
        if not self._backlog_exceeds(MAX_PIPELINED_REQUESTS // 2, BODY_BUFFER_BYTES // 2):
            self._read_paused = False
            self._last_data_at = self._host.now()
            self._message_started_at += self._last_data_at - self._read_paused_at
            self._catching_up = True
            self.transport.resume_reading()

    def _backlog_exceeds(self, max_requests: int, max_body_bytes: int) -> bool:
        """Whether more waits than that: requests behind the one in hand, or a body that is streamed."""
        if len(self._waiting) > max_requests or any(m.body.is_long for m in self._waiting):
            return True
        if self._request is None or self._engine_request_id is None:
            return False
        body = self._request.body
        return not body.complete and body.buffered > max_body_bytes

    def _schedule_client_left_check(self) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(CLIENT_LEFT_CHECK_INTERVAL_S, self._check_client_left, self._read_paused_at)

    def _check_client_left(self, paused_at: int) -> None:
        """Looks for the client's end, which is not read during a pause either."""
        if not self._read_paused or self._read_paused_at != paused_at or self.transport.is_closing():
            return
        if peer_has_left(self.transport):
            self.abort(CloseReason.CLIENT_LEFT)
        else:
            self._schedule_client_left_check()

    # Requests in their order.

    @property
    def _has_request_in_hand(self) -> bool:
        return (
            self._request is not None
            or self._engine_request_id is not None
            or self._response_body is not None
        )

    @property
    def _is_free(self) -> bool:
        return not self._has_request_in_hand and self not in self._stages.write_blocked

    @property
    def _request_is_complete(self) -> bool:
        return self._request is None or self._request.body.complete

    def _more_has_come(self) -> bool:
        """Whether anything came behind the request in hand: read, about to be told, or still unread."""
        if self._waiting or self._more_messages:
            return True
        return not self.transport.is_closing() and unread_bytes(self.transport) > 0

    def _start_next_request(self) -> None:
        message = self._waiting.popleft()
        self._request = message
        self._parsed = None
        self._keep_alive = message.keep_alive and (not self._over_limit or self._more_has_come())
        self._stages.start_request(self)
        if message.target.partition(b"?")[0] == HEALTH_CHECK_PATH:
            up = self._host.in_service
            self._write_response(200 if up else 503, b"", b"up\n" if up else b"leaving\n")
        elif self._over_limit:
            self.reject(self._engine.settings.limits.max_retry_after, status=503)
        elif self._parse(message):
            self._advance(message)

    def _parse(self, message: Message) -> bool:
        """Reads the head; rejects the request where it is invalid. Returns whether it is valid."""
        try:
            self._parsed = self._host.request_parser.parse(message)
        except InvalidRequestError as error:
            self._keep_alive = self._keep_alive and self._more_has_come()  # that is answered, too
            self._write_response(error.status, b"", str(error).encode() + b"\n")
            return False
        self._stages.accept_first_request(self)
        if not message.body.complete:
            self._stages.receiving_body.add(self)
            if b"expect" in message.headers and not message.body.received and not message.is_http_1_0:
                self._send(CONTINUE)
        return True

    def _advance(self, message: Message) -> None:
        """Hands the request to the engine, once its body is complete or too long to wait for."""
        body = message.body
        length_became_known = body.complete and self in self._stages.receiving_body
        if length_became_known:
            self._stages.receiving_body.discard(self)
        if self._engine_request_id is not None:
            body.on_update()
            if body.complete:
                self._engine.on_body_complete(self._engine_request_id, message.completed_at)
            return
        parsed = self._parsed
        if parsed is None or not (body.complete or _must_be_streamed(body)):
            return
        if peer_has_left(self.transport):  # while this waited: to be accepted, or behind another request
            self.abort(CloseReason.CLIENT_LEFT)
            return
        parsed.received_at = message.completed_at if body.complete else self._host.now()
        if length_became_known:
            parsed.head = encode_forwarded_head(message, parsed.id)
        elif not body.complete:
            body.on_drained = self._resume_reading_if_drained
        self._engine_request_id = parsed.id
        if not self._engine.on_request(parsed, self):
            self._write_response(409, b"", b"a request with this Request-Id is under way\n")

    def _leave_engine(self) -> None:
        """Tells the engine that the client of its request has left."""
        if self._engine_request_id is not None:
            request_id = self._engine_request_id
            self._engine_request_id = None
            self._engine.on_disconnect(request_id)

    def _release_requests(self) -> None:
        """Frees all that came: nobody will read it."""
        for message in self._waiting:
            message.body.release()
        self._waiting.clear()
        if self._request:
            self._request.body.release()
        self._request = None
        self._parsed = None
        self._stages.receiving_body.discard(self)

    def _resume(self) -> None:
        """Goes on with what has come, but not while the client leaves its responses unread."""
        if self.transport.is_closing() or self in self._stages.lingering or not self._is_free:
            return
        if self._waiting:
            self._start_next_request()
        self._resume_reading_if_drained()

    # Responding.

    def _can_keep_alive(self) -> bool:
        if not (self._keep_alive and self._request_is_complete):
            return False
        if self.reader.framing_lost and not self._waiting:
            return False
        return not self._host.is_draining or self._more_has_come()  # which is answered first

    def _send(self, data: bytes) -> None:
        self._bytes_written += len(data)
        self.transport.write(data)

    def _write_response(self, status: int, headers: bytes, body: bytes, declared_length: bytes = b"") -> None:
        """Writes a whole response. `declared_length`: of the body that a response to HEAD does not have."""
        self._engine_request_id = None
        self._keep_alive = self._can_keep_alive()
        length = b"%d" % len(body)
        if self._request and self._request.method == b"HEAD":
            length = declared_length if status == 200 else length
            body = b""
        self._send(encode_response(status, headers, length, body, self._keep_alive))
        self._finish_response()

    def _forward_response_body(self) -> None:
        while (body := self._response_body) and not self._write_paused and not self.transport.is_closing():
            if body.truncated:  # without its last byte or chunk, the client can tell
                self.abort(CloseReason.RESPONSE_TRUNCATED)
                return
            if self._response_offset == body.received and not body.complete:
                return
            part = body.encode(self._response_offset)
            self._response_offset = part.end
            self._send(part.data)
            body.discard(part.end)
            if body.complete and part.end == body.received:
                self._response_body = None
                self._engine_request_id = None
                body.release()
                self._finish_response()

    def _finish_response(self) -> None:
        """Goes on with the next request, or ends the connection."""
        if not self._keep_alive:
            self._end_after_last_response()
            return
        if self._request:
            self._request.body.release()
        self._request = None
        self._parsed = None
        if self._waiting:
            asyncio.get_running_loop().call_soon(self._resume)
        else:
            self._stages.finish_request(self, self._host.now(), next_begun=self.reader.in_message)
            if not self.reader.in_message and len(self._stages.idle) > self._host.max_idle:
                next(iter(self._stages.idle)).close_if_idle()
        self._resume_reading_if_drained()

    def _end_after_last_response(self) -> None:
        """Closes the connection, after a while if the client is still sending.

        Closing over unread bytes would reset the connection, and with it a response that is not read yet.
        """
        still_sending = not self._request_is_complete or self.reader.framing_lost or self.reader.in_message
        if self.transport.is_closing() or not (still_sending or unread_bytes(self.transport)):
            self._close(CloseReason.LAST_RESPONSE)
            self._release_requests()
            return
        self._note_close(CloseReason.LAST_RESPONSE)
        self._release_requests()
        self._stages.start_lingering(self, self._host.now())
        self.transport.write_eof()
        if self._read_paused:
            self._read_paused = False
            self.transport.resume_reading()

    def _close(self, reason: CloseReason) -> None:
        """Closes it once all has been written."""
        self._note_close(reason)
        self.transport.close()

    def _note_close(self, reason: CloseReason) -> None:
        if self._closed_by is not None or self.transport.is_closing():
            return
        self._closed_by = reason
        unanswered = self._count_unanswered()
        if reason not in CLIENTS_OWN_REASONS and unanswered:
            self._engine.event_log.violation(
                "request closed unanswered", reason=reason.value, requests=unanswered
            )

    def _count_unanswered(self) -> int:
        """Counts the requests that came whole and have no response."""
        in_hand = self._engine_request_id is not None and self._request_is_complete
        return int(in_hand) + sum(message.body.complete for message in self._waiting)


def _must_be_streamed(body: Body) -> bool:
    """Whether a body has grown too long to be buffered whole."""
    if body.received <= BODY_BUFFER_BYTES:
        return False
    return body.received > MAX_BUFFERED_REQUEST_BYTES or body.budget.is_exhausted
