"""A client connection: reads pipelined requests and writes responses in order, with back-pressure."""

from __future__ import annotations

import asyncio
import contextlib

from quota_ingress.net.downstream import response
from quota_ingress.net.downstream.body_arrival import BLOCKED_BYTES, BodyArrival
from quota_ingress.net.downstream.client_input import SMALL_REQUEST_BYTES
from quota_ingress.net.downstream.client_output import ClientOutput
from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.drain_stage import DrainStage
from quota_ingress.net.downstream.host import ConnectionHost
from quota_ingress.net.downstream.pipeline import must_be_streamed
from quota_ingress.net.downstream.request_parser import (
    InvalidRequestError,
    check_body,
    encode_forwarded_head,
)
from quota_ingress.net.downstream.timeouts import unread_timeout_us
from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.http import (
    FramingError,
    Message,
    limit_socket_buffers,
)
from quota_ingress.net.socket_state import peer_has_closed, unread_bytes

HEALTH_CHECK_PATH = b"/up"


class ClientConnection(ClientOutput):
    """One client connection, which answers one request at a time, in order.

    A request waits in the pipeline until it becomes the current one. When its body is complete, or has become
    too long to buffer, it is passed to the engine, which calls back with the response.
    """

    def __init__(self, host: ConnectionHost, queued_since: int | None = None) -> None:
        """Creates the protocol of a connection that is being accepted.

        `queued_since` (us) is the earliest time at which the connection may have entered the accept queue.
        None: it has not waited there.
        """
        super().__init__(host, queued_since)
        self._over_limit = False  # accepted above the descriptor limit, so its requests are rejected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Acquires a descriptor. Above the clients' share of descriptors, its requests are rejected."""
        super().connection_made(transport)
        with contextlib.suppress(OSError):  # larger buffers than requested are acceptable
            limit_socket_buffers(transport.get_extra_info("socket"))
        self._over_limit = not self._host.descriptors.ensure_capacity()
        self._host.descriptors.acquire()
        self._accepted_at = self._host.now()
        self._message_started_at = self._accepted_at
        self._writer.measured_since = self._accepted_at
        self._stages.add(self, self._accepted_at)

    def connection_lost(self, exc: Exception | None) -> None:
        """Releases the descriptor and all requests, and reports the disconnect to the engine."""
        super().connection_lost(exc)
        by_client = "reset by client" if exc else "closed by client"
        reason = self._close_reason.value if self._close_reason else by_client
        self._engine.event_log.event("client connection closed", reason)
        self._stages.remove(self)
        self._host.descriptors.release()
        self._release_requests()
        self.reader.message.body.release()
        self._writer.release_body()
        self._report_disconnect()

    def message_received(self, message: Message) -> None:
        """Handles a request whose head is complete, or more of whose body has been received."""
        if self.transport.is_closing() or self in self._stages.lingering:  # after the last response
            message.body.release()
        elif message is self._pipeline.current:
            self._advance(message)
        elif message not in self._pipeline.waiting:
            self._pipeline.waiting.append(message)
            if len(self._pipeline.waiting) == 1 and self._can_start_request:
                self._start_next_request()
        self._pause_reading_if_full()

    def protocol_error(self, error: FramingError) -> None:
        """Rejects a malformed request with the status of the error."""
        self.reject_unreadable(error.status)

    def reject_unreadable(self, status: int) -> None:
        """Rejects a malformed or incomplete request with `status` and ends the connection.

        Complete requests before it are answered first.
        """
        self.reader.framing_lost = True
        self._unparsed.clear()
        self._pipeline.drop_incomplete()
        has_complete_request = self._pipeline.engine_has_complete_request
        if self._writer.body is not None or self._pipeline.waiting or has_complete_request:
            return
        self._report_disconnect()
        if not self.transport.is_closing() and self not in self._stages.lingering:
            self._write_response(status, b"", b"not understood\n")

    def eof_received(self) -> None:
        """Reports a disconnect at once, as responses that the client has not read may delay the close."""
        self._report_disconnect()

    def pause_writing(self) -> None:
        """Pauses writing responses, as the client does not read."""
        super().pause_writing()
        self._writer.paused = True
        self._stages.write_blocked[self] = self._host.now()

    def resume_writing(self) -> None:
        """Resumes writing responses and handling requests."""
        super().resume_writing()
        self._writer.paused = False
        self._stages.write_blocked.pop(self, None)
        self._forward_response_body()
        self._resume()

    # Called for timeouts, eviction and shutdown.

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun and has not been answered."""
        if self in self._stages.lingering:
            return False
        has_request = bool(self._pipeline.waiting) or self._has_current_request
        return has_request or self.reader.in_message or bool(self._unparsed)

    @property
    def is_responding(self) -> bool:
        """Whether a response is owed or is being written: ending the connection would cut it off."""
        if self._unparsed or self._pipeline.count_unanswered():
            return True
        return self._writer.body is not None or self.transport.get_write_buffer_size() > 0

    def update_read_progress(self, now: int) -> None:
        """Restarts the unread-response timeout if the client has read more since the last call."""
        closing = self.transport.is_closing()  # its descriptor may then belong to another connection
        if not closing and self._writer.client_has_read_more(self.transport):
            self._stages.write_blocked[self] = now

    def unread_timeout(self, now: int) -> int:
        """Returns how long, in us, the client's kernel may acknowledge nothing while a response waits."""
        writer = self._writer
        return unread_timeout_us(writer.bytes_read, now - writer.measured_since, writer.largest_window)

    def close_if_idle(self, reason: CloseReason = CloseReason.IDLE) -> bool:
        """Closes the connection unless a request is open or unread. Returns whether it was closed."""
        if self.is_busy or self.transport.is_closing() or unread_bytes(self.transport):
            return False
        self._stages.stop_awaiting_request(self)
        self._close(reason)
        return True

    def evict_incomplete(self) -> None:
        """Closes the connection in the middle of a request."""
        self._stages.stop_awaiting_request(self)
        self._close(CloseReason.EVICTED)

    # Called by the engine.

    def disconnected(self) -> bool:
        """Returns whether the client has disconnected, according to the current state of the socket."""
        return self.transport.is_closing() or peer_has_closed(self.transport)

    def may_have_disconnected(self) -> bool:
        """Returns whether so much is unread that the client's machine may hold back the end of the stream."""
        return self.disconnected() or unread_bytes(self.transport) >= BLOCKED_BYTES

    def reject_out_of_time(self) -> None:
        """Rejects a request whose time is over before its body has been read."""
        self._engine.event_log.event("rejected", "no time left")
        self.reject(0)

    def client_left(self) -> None:
        """Ends the connection, as the client has closed it while reading was paused."""
        self.abort(CloseReason.CLIENT_LEFT)

    # Requests, in order.

    @property
    def _has_current_request(self) -> bool:
        return self._pipeline.has_current or self._writer.body is not None

    @property
    def _can_start_request(self) -> bool:
        return not self._has_current_request and self not in self._stages.write_blocked

    def _start_next_request(self) -> None:
        message = self._pipeline.take_next()
        self._body_arrival = None
        self._body_written_at = None
        self._keep_alive = message.keep_alive and (not self._over_limit or self._has_more_input())
        self._stages.start_request(self)
        if message.target.partition(b"?")[0] == HEALTH_CHECK_PATH:
            up = self._host.in_service
            self._write_response(200 if up else 503, b"", b"up\n" if up else b"leaving\n")
        elif self._over_limit:
            self.reject(self._engine.settings.limits.max_retry_after, status=503)
        elif self._drain_stage is DrainStage.REJECTING:
            self._engine.event_log.event("rejected", "connection draining")
            self.reject(0)
        elif self._parse(message):
            self._advance(message)
        self._resume_reading_if_drained()  # its body may be incomplete

    def _parse(self, message: Message) -> bool:
        """Parses the head, and rejects an invalid request. Returns whether the request is valid."""
        try:
            self._pipeline.parsed = self._host.request_parser.parse(message)
        except InvalidRequestError as error:
            self._reject_invalid(error)
            return False
        self._stages.accept_first_request(self)
        if not message.body.complete:
            self._stages.receiving_body.add(self)
            self._body_arrival = BodyArrival(message.body, self.reader.received_at)
            if b"expect" in message.headers and not message.body.received and not message.is_http_1_0:
                self._writer.write(self.transport, response.CONTINUE)
        return True

    def _reject_invalid(self, error: InvalidRequestError) -> None:
        self._keep_alive = self._keep_alive and self._has_more_input()  # to answer requests already sent
        self._write_response(error.status, b"", str(error).encode() + b"\n")

    def _advance(self, message: Message) -> None:
        """Passes the request to the engine when its body is complete or has become too long to buffer."""
        body = message.body
        length_became_known = body.complete and self in self._stages.receiving_body
        if length_became_known:
            self._stages.receiving_body.discard(self)
        if self._pipeline.engine_request_id is not None:
            body.on_update()
            if body.complete and self._body_arrival:
                written_at = self._body_arrival.written_at
                self._engine.on_body_complete(self._pipeline.engine_request_id, written_at)
        elif parsed := self._pipeline.parsed:
            self._advance_parsed(message, parsed, length_became_known)

    def _advance_parsed(self, message: Message, parsed: ParsedRequest, length_became_known: bool) -> None:
        body = message.body
        try:
            check_body(message)
        except InvalidRequestError as error:
            self._reject_invalid(error)
            return
        if self._host.memory_budget.is_overcommitted and (
            not body.complete or body.held > SMALL_REQUEST_BYTES
        ):
            self._engine.event_log.event("rejected", "no memory left", id=parsed.id)
            self.reject(self._engine.settings.limits.max_retry_after, status=503)
            return
        if not (body.complete or must_be_streamed(body)):
            return
        if peer_has_closed(self.transport):  # while the request waited in the accept queue or the pipeline
            self.client_left()
            return
        parsed.received_at = message.completed_at if body.complete else self._host.now()
        if length_became_known:
            parsed.head = encode_forwarded_head(message, parsed.id)
        elif not body.complete:
            body.on_drained = self._resume_reading_if_drained
        self._pipeline.engine_request_id = parsed.id
        if not self._engine.on_request(parsed, self):
            self._write_response(409, b"", b"a request with this Request-Id is under way\n")

    def _report_disconnect(self) -> None:
        """Reports to the engine that the client of its request, if any, has disconnected."""
        if self._pipeline.engine_request_id is not None:
            request_id = self._pipeline.engine_request_id
            self._pipeline.engine_request_id = None
            self._engine.on_disconnect(request_id)

    def _release_requests(self) -> None:
        """Frees all requests and the input behind them, which will not be answered."""
        self._unparsed.clear()
        self._pipeline.release_all()
        self._stages.receiving_body.discard(self)

    def _resume(self) -> None:
        """Starts the next waiting request, unless a request is open or the client does not read."""
        if self.transport.is_closing() or self in self._stages.lingering or not self._can_start_request:
            return
        if self._pipeline.waiting:
            self._start_next_request()
        else:
            self._resume_reading_if_drained()
