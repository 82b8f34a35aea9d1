"""The one place that decides whether an attempt may begin now.

It is asked twice: when the policy wants an attempt, and again in the moment in which its first byte would be
written, as a connection may take a second to come up and the process may be held up in between. The policy
decides by the same rules on what it knows; a denial that it should have foreseen is counted as a violation.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from quota_ingress.policy.settings import Idempotency, Limits, RequestClass

WRITE_DELAY = 150_000  # us that may pass between reading the clock and the write, as the platform allows


class Denial(Enum):
    """Why an attempt may not begin."""

    REQUEST_ANSWERED = "request answered"
    CLIENT_DISCONNECTED = "client disconnected"
    OUT_OF_TIME = "out of time"
    TOO_MANY_ATTEMPTS = "too many attempts"
    HEDGED = "hedging not allowed"
    BODY_FORWARDED = "body forwarded"
    MAY_HAVE_RUN = "may have run"
    WINDOW_OVER = "deduplication window over"


# The policy is told all that these depend on, so it has to foresee them.
FORESEEABLE = frozenset({Denial.TOO_MANY_ATTEMPTS, Denial.MAY_HAVE_RUN})


class AttemptState(Protocol):
    """What the rules need to know of one attempt of a request."""

    sent_at: int  # us, when it was asked for
    ended: bool

    @property
    def may_have_run(self) -> bool:
        """Its last byte may have been written, and no outcome has shown that it never ran."""


class RequestState(Protocol):
    """What the rules need to know of a request."""

    answered: bool

    @property
    def body_forwarded(self) -> bool:
        """Some of its body has gone to an endpoint and is not held any more."""

    @property
    def body_coming(self) -> bool:
        """Its last byte has not come."""

    @property
    def attempts(self) -> Sequence[AttemptState]:
        """All so far, the one that is asked for included."""


def denial(
    request: RequestState,
    attempt: AttemptState,
    request_class: RequestClass,
    limits: Limits,
    now: int,
    useful_until: int,
) -> Denial | None:
    """Returns why `attempt`, one of the request's own, may not begin at `now` (us); None if it may.

    `useful_until` is the moment (us) up to which a response could still be of use.
    """
    if request.answered:
        return Denial.REQUEST_ANSWERED
    if len(request.attempts) > limits.max_attempts:
        return Denial.TOO_MANY_ATTEMPTS
    others = [other for other in request.attempts if other is not attempt]
    in_flight = any(not other.ended for other in others)
    if in_flight and (request.body_coming or not limits.may_hedge):
        return Denial.HEDGED
    if request.body_forwarded:
        return Denial.BODY_FORWARDED
    if reason := _retry_denial(others, request_class, now):
        return reason
    return Denial.OUT_OF_TIME if useful_until <= now else None


def _retry_denial(others: Sequence[AttemptState], request_class: RequestClass, now: int) -> Denial | None:
    """Returns why a further run could take effect again; None if it can't."""
    may_have_run_since = [other.sent_at for other in others if other.may_have_run]
    if not may_have_run_since or request_class.idempotency is Idempotency.IDEMPOTENT:
        return None
    if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
        return Denial.MAY_HAVE_RUN
    window_end = min(may_have_run_since) + request_class.deduplication_window
    return Denial.WINDOW_OVER if now + WRITE_DELAY >= window_end else None
