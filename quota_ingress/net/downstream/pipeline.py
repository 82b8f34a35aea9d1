"""The pipelined requests of one client connection, in order."""

from __future__ import annotations

from collections import deque

from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.http import BODY_BUFFER_BYTES, Body, Message

MAX_PIPELINED_REQUESTS = 8  # waiting behind the current one; with more, reading pauses
MAX_PIPELINED_BYTES = BODY_BUFFER_BYTES  # in the heads and bodies of those requests; likewise
MAX_BUFFERED_REQUEST_BYTES = 1024 * 1024  # longer bodies are streamed


class RequestPipeline:
    """The current request of a connection, and the requests waiting behind it.

    Attributes:
        waiting: Requests with a complete head that wait for the current one to be answered.
        current: The request being handled; its body may be incomplete.
        parsed: The current request as parsed from a valid head; None before that.
        engine_request_id: The id of the current request while the engine handles it.
    """

    __slots__ = ("current", "engine_request_id", "parsed", "waiting")

    def __init__(self) -> None:
        self.waiting: deque[Message] = deque()
        self.current: Message | None = None
        self.parsed: ParsedRequest | None = None
        self.engine_request_id: bytes | None = None

    @property
    def has_current(self) -> bool:
        """Whether a request is being handled, by this connection or by the engine."""
        return self.current is not None or self.engine_request_id is not None

    @property
    def current_is_complete(self) -> bool:
        """Whether there is no current request, or its body is complete."""
        return self.current is None or self.current.body.complete

    @property
    def engine_has_complete_request(self) -> bool:
        """Whether the engine is handling a request whose body is complete."""
        return self.engine_request_id is not None and self.current_is_complete

    @property
    def has_complete_waiting(self) -> bool:
        """Whether a request waits that has been received whole."""
        return any(message.body.complete for message in self.waiting)

    def is_full(self) -> bool:
        """Whether reading should pause.

        It should if too many requests wait, if one of them has a long body, if all of them together are too
        large, or if too much of the body that is being streamed is buffered. While the memory budget is
        exhausted, nothing is read behind a waiting request.
        """
        return self._exceeds(MAX_PIPELINED_REQUESTS, 1.0)

    def is_drained(self) -> bool:
        """Whether reading should resume after a pause: at most half of the limits is in use."""
        return not self._exceeds(MAX_PIPELINED_REQUESTS // 2, 0.5)

    def take_next(self) -> Message:
        """Makes the first waiting request the current one and returns it."""
        self.current = self.waiting.popleft()
        self.parsed = None
        return self.current

    def finish_current(self) -> None:
        """Frees the current request after its response."""
        if self.current:
            self.current.body.release()
        self.current = None
        self.parsed = None

    def drop_incomplete(self) -> None:
        """Drops the last waiting request if its body is incomplete, as the rest will not be read."""
        if self.waiting and not self.waiting[-1].body.complete:
            self.waiting.pop().body.release()

    def release_all(self) -> None:
        """Frees the current and all waiting requests, which will not be answered."""
        for message in self.waiting:
            message.body.release()
        self.waiting.clear()
        self.finish_current()

    def count_unanswered(self) -> int:
        """Returns the number of complete requests without a response."""
        return int(self.engine_has_complete_request) + sum(m.body.complete for m in self.waiting)

    def _exceeds(self, max_requests: int, limit_fraction: float) -> bool:
        if len(self.waiting) > max_requests or self._waiting_bytes_exceed(limit_fraction):
            return True
        if self.current is None or self.engine_request_id is None:
            return False
        body = self.current.body
        return not body.complete and body.buffered > limit_fraction * body.stream_limit

    def _waiting_bytes_exceed(self, limit_fraction: float) -> bool:
        if not self.waiting:
            return False
        bodies = [message.body for message in self.waiting]
        if bodies[0].budget.is_exhausted or any(body.is_long for body in bodies):
            return True
        return sum(body.held for body in bodies) > limit_fraction * MAX_PIPELINED_BYTES


def must_be_streamed(body: Body) -> bool:
    """Returns whether a request body is too long to be buffered.

    It is if it exceeds MAX_BUFFERED_REQUEST_BYTES, or BODY_BUFFER_BYTES while the memory budget is exhausted.
    """
    if body.received <= BODY_BUFFER_BYTES:
        return False
    return body.received > MAX_BUFFERED_REQUEST_BYTES or body.budget.is_exhausted
