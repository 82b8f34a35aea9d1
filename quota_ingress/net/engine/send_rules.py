"""The one place that decides whether an attempt may begin now.

The rules are checked twice: when the policy requests an attempt, and again immediately before its first byte
is written, because connecting may take a second and the process may be suspended in between. The policy
applies the same rules to what it knows; a denial that it should have predicted is counted as a violation.

A request is written at the backend's pace, so a third rule, `delivery_deadline`, applies until its last byte
has arrived.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from quota_ingress.policy.settings import Idempotency, Limits, RequestClass

WRITE_DELAY = 150_000  # us that the platform may suspend the process between reading the clock and the write

DISCONNECT_GRACE = 100_000  # us after a disconnect in which an attempt may still begin


class Denial(Enum):
    """Why an attempt may not begin."""

    REQUEST_ANSWERED = "request answered"
    CLIENT_DISCONNECTED = "client disconnected"
    CLIENT_UNCERTAIN = "client may have disconnected"
    OUT_OF_TIME = "out of time"
    TOO_MANY_ATTEMPTS = "too many attempts"
    HEDGED = "hedging not allowed"
    BODY_FORWARDED = "body forwarded"
    MAY_HAVE_RUN = "may have run"
    WINDOW_OVER = "deduplication window over"


# The policy knows everything that these depend on, so it has to predict them.
PREDICTABLE_DENIALS = frozenset({Denial.TOO_MANY_ATTEMPTS, Denial.MAY_HAVE_RUN})


class AttemptState(Protocol):
    """The part of an attempt's state that the rules use."""

    sent_at: int  # us, when the policy requested it
    ended: bool

    @property
    def may_have_run(self) -> bool:
        """Whether its last byte may have been written and no outcome has shown that it never ran."""


class RequestState(Protocol):
    """The part of a request's state that the rules use."""

    answered: bool

    @property
    def body_forwarded(self) -> bool:
        """Whether part of its body has been sent to an endpoint and is no longer buffered."""

    @property
    def receiving_body(self) -> bool:
        """Whether its body is incomplete."""

    @property
    def attempts(self) -> Sequence[AttemptState]:
        """All attempts so far, including the requested one."""


def denial(
    request: RequestState,
    attempt: AttemptState,
    request_class: RequestClass,
    limits: Limits,
    now: int,
    response_deadline: int,
) -> Denial | None:
    """Returns why `attempt`, one of `request.attempts`, may not begin at `now` (us); None if it may.

    `response_deadline` is the time (us) until which a response can still be used.
    """
    if request.answered:
        return Denial.REQUEST_ANSWERED
    if len(request.attempts) > limits.max_attempts:
        return Denial.TOO_MANY_ATTEMPTS
    others = [other for other in request.attempts if other is not attempt]
    in_flight = any(not other.ended for other in others)
    if in_flight and (request.receiving_body or not limits.may_hedge):
        return Denial.HEDGED
    if request.body_forwarded:
        return Denial.BODY_FORWARDED
    if reason := _retry_denial(others, request_class, now):
        return reason
    return Denial.OUT_OF_TIME if response_deadline <= now else None


def delivery_deadline(
    request: RequestState, attempt: AttemptState, request_class: RequestClass
) -> int | None:
    """Returns the time (us) by which the last byte of `attempt` must have arrived; None if there is no limit.

    A backend executes a request once its last byte has arrived, which may be long after the attempt began.
    With an idempotency key that must be within the deduplication window of every other attempt that may run.
    """
    if request_class.idempotency is not Idempotency.WITH_KEY:
        return None
    others = [other for other in request.attempts if other is not attempt]
    sent_at = [other.sent_at for other in others if other.may_have_run or not other.ended]
    return _last_write_in_window(sent_at, request_class) if sent_at else None


def _retry_denial(others: Sequence[AttemptState], request_class: RequestClass, now: int) -> Denial | None:
    """Returns why a retry could execute the request a second time; None if that is impossible or harmless."""
    may_have_run_since = [other.sent_at for other in others if other.may_have_run]
    if not may_have_run_since or request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return Denial.MAY_HAVE_RUN
    return Denial.WINDOW_OVER if now >= _last_write_in_window(may_have_run_since, request_class) else None


def _last_write_in_window(sent_at: Sequence[int], request_class: RequestClass) -> int:
    """Returns when (us) the deduplication window of attempts sent at these times is over for a write."""
    return min(sent_at) + request_class.deduplication_window - WRITE_DELAY
