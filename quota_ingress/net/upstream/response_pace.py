"""Tells from its pace whether a response of unknown length may become long.

Of a long response, over BODY_BUFFER_BYTES, only the first bytes are due in the client's time; a short one is
due as a whole.
"""

from __future__ import annotations

MAX_SILENCE_S = 2.0  # of a backend that is still at work when the time of its attempt is up
LATE_MAX_SILENCE_S = 1.0  # instead, in a body, once the client's time is over
LATE_MIN_BYTES_PER_S = 16_000  # then, on the average since the first byte
PACE_SPAN_S = 0.5  # from the first byte; a shorter one tells little about the pace


class ResponsePace:
    """The progress of one response. Times are s of the event loop's clock."""

    __slots__ = ("_body_began_at", "last_progress_at")

    def __init__(self, now: float) -> None:
        self.last_progress_at = now
        self._body_began_at: float | None = None

    def record(self, now: float, received: int) -> None:
        """Records that more has come: the head, or the body up to `received` bytes."""
        self.last_progress_at = now
        if received and self._body_began_at is None:
            self._body_began_at = now

    def is_at_work(self, now: float) -> bool:
        """Whether the backend still gives the response when the time of its attempt is up."""
        return now - self.last_progress_at <= MAX_SILENCE_S

    def may_become_long(self, now: float, received: int) -> bool:
        """Whether the response, of which `received` bytes have come, may be long after the client's time."""
        if self._body_began_at is None:
            return self.is_at_work(now)
        if now - self.last_progress_at > LATE_MAX_SILENCE_S:
            return False
        elapsed_s = now - self._body_began_at
        return elapsed_s < PACE_SPAN_S or received >= LATE_MIN_BYTES_PER_S * elapsed_s
