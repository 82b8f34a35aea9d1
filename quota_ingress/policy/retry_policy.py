"""What may be sent again, where to and when; hedging.

An attempt that may have run is repeated only where a second execution does no harm: the request is
idempotent, or it carries an idempotency key that the other endpoint still remembers.
"""

from __future__ import annotations

from typing import NamedTuple

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.outlier import SlowdownTracker
from quota_ingress.policy.request_state import Request
from quota_ingress.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

MIN_RETRY_TIME_FRACTION = 0.5  # of the baseline latency: a retry with less time left is not worth its work
SLOW_ATTEMPT_BASELINES = 6  # times the baseline latency: an attempt that takes longer is stuck ...
SLOW_ATTEMPT_OBJECTIVE_FRACTION = 0.5  # ... unless this part of the latency objective has not yet passed
EARLY_TIMEOUT_FACTOR = 1.5  # times an early timeout has to be left, so that a retry has time as well


class AttemptTiming(NamedTuple):
    """How long an attempt is waited for."""

    timeout: int  # us
    hedge_after: int | None  # us from the attempt's start to a hedged request; None: no hedging


class RetryPolicy:
    """The rules of one gateway for further attempts of a request."""

    def __init__(self, settings: Settings, slowdowns: SlowdownTracker) -> None:
        self._max_attempts = settings.limits.max_attempts
        self._may_hedge = settings.limits.may_hedge
        self._clock_tolerance = settings.tick  # us
        self._slowdowns = slowdowns

    def has_attempt_left(self, request: Request, now: int) -> bool:
        """Returns whether the request has an attempt left and time for it."""
        if len(request.attempts) >= self._max_attempts:
            return False
        needed = 0
        if request.attempts:
            baseline = self._slowdowns.baseline_latencies[request.event.request_class]
            needed = int(MIN_RETRY_TIME_FRACTION * baseline)
        return now + needed < request.useful_until

    def may_send_to(self, endpoint: Endpoint, request: Request, now: int) -> bool:
        """Returns whether the request's next attempt may go to that endpoint."""
        for attempt in request.attempts:
            if attempt.in_flight and (attempt.endpoint is endpoint or not self._may_hedge):
                return False
        first_run = request.first_run()
        request_class = request.request_class
        if first_run is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        remembered_until = first_run.sent_at + request_class.deduplication_window
        if now + self._clock_tolerance >= remembered_until:
            return False
        return _shares_keys(request_class.deduplication_scope, endpoint, first_run.endpoint)

    def timing(self, request: Request, now: int) -> AttemptTiming:
        """Returns how long an attempt that begins now is waited for.

        An attempt that takes unusually long is hedged or, without hedging, cut off for a retry, where the
        request may be sent once more.
        """
        time_left = request.useful_until - now
        may_retry = len(request.attempts) + 1 < self._max_attempts
        if not may_retry or request.request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return AttemptTiming(time_left, hedge_after=None)
        slow_after = self._slow_after(request)
        if self._may_hedge and slow_after < time_left:
            return AttemptTiming(time_left, hedge_after=slow_after)
        if time_left > EARLY_TIMEOUT_FACTOR * slow_after:
            return AttemptTiming(slow_after, hedge_after=None)
        return AttemptTiming(time_left, hedge_after=None)

    def _slow_after(self, request: Request) -> int:
        """Returns the microseconds after which an attempt is slow."""
        objective = request.request_class.latency_objective
        baseline = self._slowdowns.baseline_latencies[request.event.request_class]
        expected = baseline or objective / SLOW_ATTEMPT_BASELINES
        return int(max(SLOW_ATTEMPT_BASELINES * expected, SLOW_ATTEMPT_OBJECTIVE_FRACTION * objective))


def is_harmless_to_repeat(request: Request) -> bool:
    """Returns whether the client may send the request anew, to whatever endpoint, without a second effect."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT or request.first_run() is None:
        return True
    return _has_global_key(request_class)


def _has_global_key(request_class: RequestClass) -> bool:
    """Returns whether all endpoints recognize the requests' idempotency keys."""
    return (
        request_class.idempotency is Idempotency.WITH_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )


def _shares_keys(scope: DeduplicationScope, endpoint: Endpoint, other: Endpoint) -> bool:
    """Returns whether two endpoints share one memory of idempotency keys."""
    if scope is DeduplicationScope.ZONE:
        return endpoint.entry.zone == other.entry.zone
    if scope is DeduplicationScope.CELL:
        return endpoint.entry.cell == other.entry.cell
    return True
