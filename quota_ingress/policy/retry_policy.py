"""Retries and hedging: whether, where and when a request may be sent again.

A request that may have run is repeated only if a second execution does no harm: the request is idempotent,
or it carries an idempotency key that the other endpoint still remembers.
"""

from __future__ import annotations

from typing import NamedTuple

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.outlier import SlowdownTracker
from quota_ingress.policy.request_state import Request
from quota_ingress.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

MIN_RETRY_TIME_FRACTION = 0.5  # of the baseline latency; a retry with less time left is not worth the work
SLOW_ATTEMPT_BASELINES = 6  # baseline latencies after which an attempt is taken to be stuck ...
SLOW_ATTEMPT_OBJECTIVE_FRACTION = 0.5  # ... but not before this fraction of the latency objective
EARLY_TIMEOUT_FACTOR = 1.5  # early timeouts that must fit into the time left, to leave time for a retry


class AttemptTiming(NamedTuple):
    """The timeout of an attempt, and when to hedge it."""

    timeout: int  # us
    hedge_after: int | None  # us from the attempt's start to a hedged request; None: no hedging


class RetryPolicy:
    """One gateway's rules for the attempts of a request."""

    def __init__(self, settings: Settings, slowdowns: SlowdownTracker) -> None:
        self._max_attempts = settings.limits.max_attempts
        self._may_hedge = settings.limits.may_hedge
        self._clock_tolerance = settings.tick  # us
        self._slowdowns = slowdowns

    def has_attempt_left(self, request: Request, now: int) -> bool:
        """Returns whether the request has attempts left and enough time for the next one."""
        if len(request.attempts) >= self._max_attempts:
            return False
        needed = 0
        if request.attempts:
            baseline = self._slowdowns.baseline_latencies[request.event.request_class]
            needed = int(MIN_RETRY_TIME_FRACTION * baseline)
        return now + needed < request.useful_until

    def may_send_to(self, endpoint: Endpoint, request: Request, now: int) -> bool:
        """Returns whether the request's next attempt may be sent to that endpoint."""
        for attempt in request.attempts:
            if attempt.in_flight and (attempt.endpoint is endpoint or not self._may_hedge):
                return False
        first_possible_run = request.first_possible_run()
        request_class = request.request_class
        if first_possible_run is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency is Idempotency.NOT_IDEMPOTENT:
            return False
        remembered_until = first_possible_run.sent_at + request_class.deduplication_window
        if now + self._clock_tolerance >= remembered_until:
            return False
        return _shares_keys(request_class.deduplication_scope, endpoint, first_possible_run.endpoint)

    def timing(self, request: Request, now: int) -> AttemptTiming:
        """Returns the timeout of an attempt that begins now, and when to hedge it.

        If the request may be sent once more, an unusually slow attempt is hedged or, without hedging, given
        an early timeout that leaves time for a retry.
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
        """Returns the us after which an attempt counts as slow."""
        objective = request.request_class.latency_objective
        baseline = self._slowdowns.baseline_latencies[request.event.request_class]
        expected = baseline or objective / SLOW_ATTEMPT_BASELINES
        return int(max(SLOW_ATTEMPT_BASELINES * expected, SLOW_ATTEMPT_OBJECTIVE_FRACTION * objective))


def is_harmless_to_repeat(request: Request) -> bool:
    """Returns whether the client may repeat the request, at any endpoint, without a second effect."""
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT or request.first_possible_run() is None:
        return True
    return _has_global_key(request_class)


def _has_global_key(request_class: RequestClass) -> bool:
    """Returns whether all endpoints recognize the requests' idempotency keys."""
    return (
        request_class.idempotency is Idempotency.WITH_KEY
        and request_class.deduplication_scope is DeduplicationScope.ALL
    )


def _shares_keys(scope: DeduplicationScope, endpoint: Endpoint, other: Endpoint) -> bool:
    """Returns whether two endpoints recognize each other's idempotency keys."""
    if scope is DeduplicationScope.ZONE:
        return endpoint.entry.zone == other.entry.zone
    if scope is DeduplicationScope.CELL:
        return endpoint.entry.cell == other.entry.cell
    return True
