"""An exchange: one attempt at a backend, with its request and response on one connection."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.http import Body
from quota_ingress.net.upstream.close_reason import UpstreamCloseReason
from quota_ingress.policy.events import Outcome

ResultCallback = Callable[[AttemptResult], None]
Authorize = Callable[[], bytes | None]
"""Called at the time of the write. Returns the data after the head, or None if the attempt may not begin."""


def always_authorized() -> bytes:
    """Allows the attempt and adds no data to the head."""
    return b""


class ExchangeConnection(Protocol):
    """The connection that carries an exchange."""

    def forward_body(self) -> None:
        """Writes more of the request body."""

    def response_bytes(self) -> int | None:
        """Returns the number of body bytes of the response so far; None before the end of its head."""

    def is_delivered(self) -> bool:
        """Returns whether the backend's machine has acknowledged the whole request."""

    def stream_response(self) -> bool:
        """Streams a response that has begun and may be long. Returns whether it is being streamed."""

    def end_if_short(self) -> bool:
        """Truncates a streamed response that is short, as it is late. Returns whether that is still open."""

    def close(self, reason: UpstreamCloseReason) -> None:
        """Closes the connection at once; pending data is not sent."""


class Exchange:
    """An attempt: it waits for a connection, its request is written, and its response is read.

    The request consists of `head`, the data returned by `authorize`, and `body` as it is received. `body` is
    None if there is none or if that data includes all of it. `on_ended` is called at most once, with the
    result; it is not called after `abort`. `on_stream_started` is called once with a response too long to be
    buffered; without it, such a response fails the attempt.
    """

    __slots__ = (
        "_on_ended",
        "authorize",
        "body",
        "body_offset",
        "connection",
        "dial",
        "ended",
        "head",
        "keeps_body",
        "last_progress_at",
        "on_stream_started",
        "written",
    )

    def __init__(
        self,
        head: bytes,
        on_ended: ResultCallback,
        body: Body | None = None,
        on_stream_started: ResultCallback | None = None,
        authorize: Authorize = always_authorized,
    ) -> None:
        self.head = head
        self.body = body
        self.on_stream_started = on_stream_started
        self.authorize = authorize
        self._on_ended = on_ended
        self.body_offset = 0  # body offset up to which the body has been written
        self.keeps_body = body is not None and body.complete  # the body is kept for further attempts
        self.dial: asyncio.Task[None] | None = None
        self.connection: ExchangeConnection | None = None
        self.written = False  # the last byte of the request may have been written
        self.ended = False
        self.last_progress_at = 0.0  # s of the loop's clock: last write or read of a part

    @property
    def delivered(self) -> bool:
        """Whether the backend's machine has acknowledged the whole request."""
        return self.connection is not None and self.connection.is_delivered()

    @property
    def response_bytes(self) -> int | None:
        """The number of body bytes of the response so far; None before the end of its head."""
        return None if self.connection is None else self.connection.response_bytes()

    def stream_response(self) -> bool:
        """Streams a response that has begun and may be long. Returns whether it is being streamed."""
        return self.connection is not None and self.connection.stream_response()

    def end_if_short(self) -> bool:
        """Truncates a streamed response that is short, as it is late. Returns whether that is still open."""
        return self.connection is not None and self.connection.end_if_short()

    def finish(self, result: AttemptResult) -> None:
        """Ends the attempt with `result`, unless it has ended."""
        if not self.ended:
            self.ended = True
            self._detach_body()
            self._on_ended(result)

    def fail(self) -> None:
        """Ends the attempt without a response.

        The outcome is RESET if the last byte may have been written, so that the request may have run, and
        CONNECT_FAILED otherwise.
        """
        self.finish(AttemptResult(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def abort(self) -> bool:
        """Aborts the attempt and closes its connection. Returns whether the request may have run."""
        self.ended = True
        self._detach_body()
        if self.dial:
            self.dial.cancel()
        if self.connection:
            self.connection.close(UpstreamCloseReason.ABORTED)
        return self.written

    def withdraw(self) -> bool:
        """Aborts the attempt unless its last byte may have been written. Returns whether it was aborted."""
        if not self.written:
            self.abort()
        return not self.written

    def _detach_body(self) -> None:
        if self.body and self.connection and self.body.on_update == self.connection.forward_body:
            self.body.detach_sender()
