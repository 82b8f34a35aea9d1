"""The writing side of a client connection: writes responses in order, and ends it after the last one."""

from __future__ import annotations

import asyncio

from quota_ingress.net.downstream import response
from quota_ingress.net.downstream.client_input import ClientInput
from quota_ingress.net.downstream.close_reason import UNANSWERED_ALLOWED, CloseReason
from quota_ingress.net.downstream.drain_stage import DrainStage
from quota_ingress.net.downstream.host import ConnectionHost
from quota_ingress.net.downstream.response_writer import ResponseWriter, StreamState
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.socket_state import reset_on_close, unread_bytes


class ClientOutput(ClientInput):
    """Writes the responses of the requests that `ClientInput` reads. Subclasses handle the requests."""

    def __init__(self, host: ConnectionHost, queued_since: int | None) -> None:
        """Starts with nothing written; `queued_since` as in `ReadFlow`."""
        super().__init__(host, queued_since)
        self._writer = ResponseWriter()
        self._close_reason: CloseReason | None = None  # None until this side closes the connection
        self._keep_alive = True

    def _resume(self) -> None:
        """Starts the next waiting request, unless a request is open or the client does not read."""
        raise NotImplementedError

    def _release_requests(self) -> None:
        """Frees all requests and the input behind them, which will not be answered."""
        raise NotImplementedError

    def respond(self, answer: AttemptResult) -> None:
        """Sends a backend's complete response."""
        headers = response.content_type_field(answer.content_type)
        self._write_response(200, headers, answer.body, answer.declared_length)

    def stream_response(self, answer: AttemptResult) -> None:
        """Starts forwarding a response that is too long to be buffered, at the pace of the client."""
        body = answer.stream
        assert body is not None
        current = self._pipeline.current
        is_http_1_0 = current is not None and current.is_http_1_0
        body.chunked = body.declared_length is None and not is_http_1_0
        if is_http_1_0 and body.declared_length is None:
            self._keep_alive = False  # in HTTP/1.0 such a body is delimited by the end of the connection
        self._decide_keep_alive()
        self._writer.start_stream(body, self._host.now())
        head = response.encode_stream_head(answer.content_type, body, self._keep_alive)
        self._writer.write(self.transport, head)
        body.on_update = self._forward_response_body
        self._forward_response_body()

    def reject(self, retry_after: int, status: int = 429) -> None:
        """Sends a rejection. `retry_after` is in us; 0 omits Retry-After."""
        self._write_response(status, response.retry_after_field(retry_after), b"refused\n")

    def fail(self, timed_out: bool) -> None:
        """Sends 504 if the request timed out, else 502. The request may or may not have run."""
        self._write_response(504 if timed_out else 502, b"", b"failed\n")

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection at once and discards unwritten data."""
        self._record_close(reason)
        self.transport.abort()

    def _decide_keep_alive(self) -> None:
        """Decides whether this response is the last one. If requests are read no more, that begins here."""
        if not self._may_read():
            self._pause_reading()
        self._keep_alive = self._can_keep_alive()

    def _can_keep_alive(self) -> bool:
        if not (self._keep_alive and self._pipeline.current_is_complete):
            return False
        if self.reader.framing_lost and not self._pipeline.waiting:
            return False
        match self._drain_stage:
            case DrainStage.SERVING:
                return True
            case DrainStage.READING:
                return self._has_more_input()
            case _:
                return self._pipeline.has_complete_waiting or self._more_messages or bool(self._unparsed)

    def _write_response(self, status: int, headers: bytes, body: bytes, declared_length: bytes = b"") -> None:
        """Writes a complete response.

        `declared_length` is the Content-Length of a 200 response to HEAD, which has no body.
        """
        self._pipeline.engine_request_id = None
        self._decide_keep_alive()
        length = b"%d" % len(body)
        if self._pipeline.current and self._pipeline.current.method == b"HEAD":
            length = declared_length if status == 200 else length
            body = b""
        data = response.encode_response(status, headers, length, body, self._keep_alive)
        self._writer.write(self.transport, data)
        self._finish_response()

    def _forward_response_body(self) -> None:
        state = self._writer.forward(self.transport)
        if state is StreamState.TRUNCATED:  # the client detects the missing last byte or chunk, or the reset
            if self._writer.is_delimited_by_close:
                reset_on_close(self.transport.get_extra_info("socket"))
            self.abort(CloseReason.RESPONSE_TRUNCATED)
        elif state is StreamState.COMPLETE:
            self._pipeline.engine_request_id = None
            self._finish_response()

    def _finish_response(self) -> None:
        """Continues with the next request, or ends the connection."""
        if not self._keep_alive:
            self._end_after_last_response()
            return
        self._pipeline.finish_current()
        if self._pipeline.waiting:
            asyncio.get_running_loop().call_soon(self._resume)
        else:
            now = self._host.now()
            if self.reader.in_message:
                self._stages.continue_head(self, now)
            else:
                self._read_flow.write_time.restart(now)
                self._stages.park_idle(self, now, self._host.max_idle)
        self._resume_reading_if_drained()

    def _end_after_last_response(self) -> None:
        """Closes the connection, or lets it linger if the client is still sending.

        Closing a socket with unread bytes resets the connection, and the client could lose the response.
        """
        in_message = self.reader.framing_lost or self.reader.in_message
        still_sending = in_message or not self._pipeline.current_is_complete
        if self.transport.is_closing() or not (still_sending or unread_bytes(self.transport)):
            self._close(CloseReason.LAST_RESPONSE)
            self._release_requests()
            return
        self._record_close(CloseReason.LAST_RESPONSE)
        self._release_requests()
        self._stages.start_lingering(self, self._host.now())
        self.transport.write_eof()
        if self._read_flow.paused:
            self._read_flow.resume(self.transport)

    def _close(self, reason: CloseReason) -> None:
        """Closes the connection when all pending data has been written."""
        self._record_close(reason)
        self.transport.close()

    def _record_close(self, reason: CloseReason) -> None:
        if self._close_reason is not None or self.transport.is_closing():
            return
        self._close_reason = reason
        unanswered = self._pipeline.count_unanswered()
        if reason not in UNANSWERED_ALLOWED and unanswered:
            self._engine.event_log.violation(
                "request closed unanswered", reason=reason.value, requests=unanswered
            )
