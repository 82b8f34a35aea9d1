"""Outlier detection: how slow an endpoint is relative to the others; failures count as slow answers.

No endpoint is ejected: the load balancer sends fewer requests to a slow or failing one, and its slowdown
decays to the mean with time.
"""

from __future__ import annotations

import math

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.events import Outcome

FAILURE_SLOWDOWN = 4.0  # times the baseline latency: the slowdown of a failure, and the maximum of an answer
UNREACHABLE_SLOWDOWN = 3 * FAILURE_SLOWDOWN  # for all classes, if connecting failed or a connection was reset
SLOWDOWN_MEMORY = 5.0  # s; time constant with which an endpoint's slowdown decays to the mean
MAX_MEMORY_STRETCH = 4.0  # maximum factor on SLOWDOWN_MEMORY for a gateway that sends rarely
SLOWDOWN_WEIGHT = 0.2  # of the last outcome in the endpoint's moving average
BASELINE_WEIGHT = 0.05  # of the last outcome in the averages over all endpoints
MAX_BASELINE_STEP = 4  # times the baseline; longer latencies are clamped to this in the baseline
FAILURES = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)
COUNTED_OUTCOMES = (Outcome.OK, *FAILURES)


class SlowdownTracker:
    """Moving averages of latency by request class, over all endpoints and for each endpoint."""

    def __init__(self, class_count: int, initial_limit: float) -> None:
        """Starts without any outcomes.

        `initial_limit` is an endpoint's initial concurrency limit at this gateway. If it is low, the gateway
        sends rarely to each endpoint, and slowdowns decay more slowly.
        """
        self.baseline_latencies = [0.0] * class_count  # us, mean over all endpoints; 0: no answer yet
        self.mean_slowdowns = [1.0] * class_count  # over all endpoints
        self.lowest_mean_slowdown = 1.0  # among the classes that have a baseline
        self._memory_stretch = min(MAX_MEMORY_STRETCH, 1 + 1 / initial_limit)

    def slowdown(self, endpoint: Endpoint, request_class: int, now: int) -> float:
        """Returns the endpoint's expected latency at `now`, in baseline latencies of the class."""
        mean = self.mean_slowdowns[request_class]
        decay = math.exp((endpoint.last_outcome_at - now) / SECOND / SLOWDOWN_MEMORY / self._memory_stretch)
        return mean + (endpoint.slowdown_by_class[request_class] - mean) * decay

    def record(
        self, endpoint: Endpoint, now: int, request_class: int, outcome: Outcome, latency: int
    ) -> None:
        """Updates the averages with the outcome of an attempt; latency in microseconds."""
        slowdown = FAILURE_SLOWDOWN
        if outcome is Outcome.OK:
            baseline = self.baseline_latencies[request_class] or max(1.0, latency)
            slowdown = min(latency / baseline, FAILURE_SLOWDOWN)
            self.baseline_latencies[request_class] = baseline + BASELINE_WEIGHT * (
                min(latency, MAX_BASELINE_STEP * baseline) - baseline
            )
        if outcome in COUNTED_OUTCOMES:
            average = self.slowdown(endpoint, request_class, now)
            endpoint.slowdown_by_class[request_class] = (
                average * (1 - SLOWDOWN_WEIGHT) + slowdown * SLOWDOWN_WEIGHT
            )
            endpoint.last_outcome_at = now
            mean = self.mean_slowdowns[request_class]
            self.mean_slowdowns[request_class] = mean + BASELINE_WEIGHT * (slowdown - mean)
            self._update_lowest()
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            endpoint.slowdown_by_class = [UNREACHABLE_SLOWDOWN] * len(endpoint.slowdown_by_class)

    def restore(self, baseline_latencies: tuple[float, ...], mean_slowdowns: tuple[float, ...]) -> None:
        """Adopts the averages that another process handed over; both have one value per request class."""
        self.baseline_latencies = list(baseline_latencies)
        self.mean_slowdowns = list(mean_slowdowns)
        self._update_lowest()

    def _update_lowest(self) -> None:
        averages = zip(self.mean_slowdowns, self.baseline_latencies, strict=True)
        self.lowest_mean_slowdown = min((mean for mean, baseline in averages if baseline), default=1.0)
