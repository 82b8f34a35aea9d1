"""The one place that decides whether an attempt may begin now.

It is asked twice: when the module wants an attempt, and again in the moment in which its first byte would be
written, as a connection may take a second to come up and the process may be held up in between. The module
decides by the same rules on what it knows; a denial that it should have foreseen is counted as a violation.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import Enum
from typing import Protocol

from quota_ingress.policy.settings import Idempotency, Limits, RequestClass

HELD_UP = 150_000  # us that may pass between a look at the clock and the write: the standing test's figure


class Denial(Enum):
    """Why an attempt may not begin."""

    REQUEST_OVER = "request over"
    CLIENT_GONE = "client gone"
    OUT_OF_TIME = "out of time"
    TOO_MANY_ATTEMPTS = "too many attempts"
    SECOND_COPY = "second copy"
    BODY_PASSED_ON = "body passed on"
    MAY_HAVE_RUN = "may have run"
    WINDOW_OVER = "window over"


# The module is told all that these depend on, so it has to foresee them.
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
        """Some of its body has gone to a backend and is not held any more."""

    @property
    def body_coming(self) -> bool:
        """Its last byte has not come."""

    @property
    def attempts(self) -> Sequence[AttemptState]:
        """All so far, the one that is asked for included."""


def denial(
    request: RequestState, attempt: AttemptState, cls: RequestClass, limits: Limits, now: int, until: int
) -> Denial | None:
    """Why `attempt`, one of the request's own, may not begin at `now`; None if it may.

    `until`: the moment in us up to which an answer could still be of use.
    """
    others = [a for a in request.attempts if a is not attempt]
    if request.answered:
        return Denial.REQUEST_OVER
    if len(request.attempts) > limits.max_attempts:
        return Denial.TOO_MANY_ATTEMPTS
    out = any(not a.ended for a in others)
    if out and (request.body_coming or not limits.may_hedge):
        return Denial.SECOND_COPY
    if request.body_forwarded:
        return Denial.BODY_PASSED_ON
    if repeat := _repeat_denial(others, cls, now):
        return repeat
    return Denial.OUT_OF_TIME if until <= now else None


def _repeat_denial(others: Sequence[AttemptState], cls: RequestClass, now: int) -> Denial | None:
    """Whether a further run could take effect again."""
    ran = [a.sent_at for a in others if a.may_have_run]
    if not ran or cls.idempotency is Idempotency.IDEMPOTENT:
        return None
    if cls.idempotency is Idempotency.NOT_IDEMPOTENT:
        return Denial.MAY_HAVE_RUN
    return Denial.WINDOW_OVER if now + HELD_UP >= min(ran) + cls.deduplication_window else None
