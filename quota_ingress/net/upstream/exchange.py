"""One attempt at a backend: a request and its response on one connection."""

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
"""Asked at the moment of the write: what follows the head, or None if the attempt may not begin any more."""


def always_authorized() -> bytes:
    """Allows an attempt, and adds nothing to its head."""
    return b""


class Carrier(Protocol):
    """The connection that carries an exchange."""

    def forward_body(self) -> None:
        """Writes on the request's body."""

    def close(self, reason: UpstreamCloseReason) -> None:
        """Closes the connection at once."""


class Exchange:
    """An attempt: waits for its connection, is written, is answered. Ends once.

    `head` is written first, then what `authorize` returns, then `body` as it is received, if it is not part
    of that. `on_stream_started` is called once with a response too long to be buffered; without it such a
    response fails.
    """

    __slots__ = (
        "_on_ended",
        "authorize",
        "body",
        "body_offset",
        "connection",
        "dial",
        "head",
        "keeps_body",
        "last_progress_at",
        "on_stream_started",
        "over",
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
        self.body_offset = 0  # how far the body has been written
        self.keeps_body = body is not None and body.complete  # for another attempt
        self.dial: asyncio.Task[None] | None = None
        self.connection: Carrier | None = None
        self.written = False  # its last byte may have been
        self.over = False
        self.last_progress_at = 0.0  # s of the loop's clock: when some of it was last written or read

    def finish(self, result: AttemptResult) -> None:
        """Ends the attempt, unless it has ended."""
        if not self.over:
            self.over = True
            self._detach_body()
            self._on_ended(result)

    def fail(self) -> None:
        """Ends it without a response: it may have run if its last byte was written."""
        self.finish(AttemptResult(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def abort(self) -> bool:
        """Gives it up, with its connection. Returns whether it may have run."""
        self.over = True
        self._detach_body()
        if self.dial:
            self.dial.cancel()
        if self.connection:
            self.connection.close(UpstreamCloseReason.ABORTED)
        return self.written

    def withdraw(self) -> bool:
        """Gives it up unless its last byte has been written. Returns whether it did."""
        if not self.written:
            self.abort()
        return not self.written

    def _detach_body(self) -> None:
        if self.body and self.connection and self.body.on_update == self.connection.forward_body:
            self.body.detach_reader()
