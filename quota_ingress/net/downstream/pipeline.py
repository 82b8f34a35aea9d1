"""The requests of one client connection, in their order."""

from __future__ import annotations

from collections import deque

from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.http import BODY_BUFFER_BYTES, Body, Message

MAX_PIPELINED_REQUESTS = 8  # behind the one in hand; reading pauses above it
MAX_BUFFERED_REQUEST_BYTES = 1024 * 1024  # a longer body is streamed; so is one above the memory budget


class RequestPipeline:
    """One request in hand, and those that wait behind it.

    Attributes:
        waiting: Requests with a complete head, behind the one in hand.
        current: The request in hand; its body may be incomplete.
        parsed: What has been read of its head, once that has been found valid.
        engine_request_id: Its id, while the engine works on it.
    """

    __slots__ = ("current", "engine_request_id", "parsed", "waiting")

    def __init__(self) -> None:
        self.waiting: deque[Message] = deque()
        self.current: Message | None = None
        self.parsed: ParsedRequest | None = None
        self.engine_request_id: bytes | None = None

    @property
    def has_current(self) -> bool:
        """Whether a request is in hand, here or with the engine."""
        return self.current is not None or self.engine_request_id is not None

    @property
    def current_is_complete(self) -> bool:
        """Whether the request in hand, if there is one, is complete."""
        return self.current is None or self.current.body.complete

    @property
    def engine_has_complete_request(self) -> bool:
        """Whether the engine works on a complete request."""
        return self.engine_request_id is not None and self.current_is_complete

    def is_full(self) -> bool:
        """Whether reading should pause: many requests wait, or much of a body that is streamed."""
        return self._exceeds(MAX_PIPELINED_REQUESTS, BODY_BUFFER_BYTES)

    def is_drained(self) -> bool:
        """Whether reading should go on after a pause."""
        return not self._exceeds(MAX_PIPELINED_REQUESTS // 2, BODY_BUFFER_BYTES // 2)

    def take_next(self) -> Message:
        """Takes the first request that waits in hand."""
        self.current = self.waiting.popleft()
        self.parsed = None
        return self.current

    def finish_current(self) -> None:
        """Frees the request in hand, which has its response."""
        if self.current:
            self.current.body.release()
        self.current = None
        self.parsed = None

    def drop_incomplete(self) -> None:
        """Drops the last request that waits, if it is incomplete and will stay so."""
        if self.waiting and not self.waiting[-1].body.complete:
            self.waiting.pop().body.release()

    def release_all(self) -> None:
        """Frees all requests: nobody will read them."""
        for message in self.waiting:
            message.body.release()
        self.waiting.clear()
        self.finish_current()

    def count_unanswered(self) -> int:
        """Counts the complete requests that have no response."""
        return int(self.engine_has_complete_request) + sum(m.body.complete for m in self.waiting)

    def _exceeds(self, max_requests: int, max_body_bytes: int) -> bool:
        if len(self.waiting) > max_requests or any(m.body.is_long for m in self.waiting):
            return True
        if self.current is None or self.engine_request_id is None:
            return False
        body = self.current.body
        return not body.complete and body.buffered > max_body_bytes


def must_be_streamed(body: Body) -> bool:
    """Returns whether a request's body has grown too long to be buffered whole."""
    if body.received <= BODY_BUFFER_BYTES:
        return False
    return body.received > MAX_BUFFERED_REQUEST_BYTES or body.budget.is_exhausted
