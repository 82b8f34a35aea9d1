"""Slow start: a warming endpoint gets requests in proportion to its guaranteed capacity.

Each warming endpoint gains credit with every request of this gateway, and gets a request once it has a credit
of 1. Initial credits are random, so that the gateways of a fleet do not send to it at the same time.
"""

from __future__ import annotations

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.outlier import SlowdownTracker
from quota_ingress.policy.settings import Safety

SLOW_START_BUDGET_FRACTION = 0.8  # of the overload budget: work varies by request, list delays by gateway
TOLERATED_SLOWDOWN = 2.0  # times the mean; warming endpoints are slower, and get fewer requests beyond this
DEFERRED_REQUEST_WEIGHT = 0.5  # of a sent one: at twice the capacity, a weight of 1 would use up the budget


class SlowStart:
    """Decides which requests of this gateway go to warming endpoints."""

    def __init__(self, safety: Safety, slowdowns: SlowdownTracker) -> None:
        self.deferred_requests = 0.0  # per endpoint; rejected in an overload since the last one that was sent
        self._initial_fraction = safety.initial_capacity_fraction
        self._warmup_time = max(1, safety.warmup_time)
        self._budget = SLOW_START_BUDGET_FRACTION * safety.overload_multiple
        self._slowdowns = slowdowns

    def warmup_fraction(self, endpoint: Endpoint, now: int) -> float:
        """Returns the endpoint's guaranteed capacity as a fraction of its full one; 1: it is warm."""
        started_at = endpoint.entry.started_at
        warmed_up = (now - started_at) / self._warmup_time if started_at > 0 else 1.0
        return min(1.0, self._initial_fraction + (1 - self._initial_fraction) * max(0.0, warmed_up))

    def defer(self, endpoint_count: int) -> None:
        """Counts a request rejected in an overload, which raises the warming endpoints' next credits."""
        self.deferred_requests += DEFERRED_REQUEST_WEIGHT / max(1, endpoint_count)

    def next_warming_endpoint(
        self, sample: list[Endpoint], warm: list[Endpoint], now: int, request_class: int
    ) -> Endpoint | None:
        """Returns the warming endpoint of the sample that is due for a request, if any; deducts its credit.

        `warm` are the sample's other endpoints. While they have capacity, a warming endpoint gets at most as
        many requests as they do; otherwise, as many as it can take without failing. Credit that cannot be
        used is lost: if many gateways saved it up, they could use it all at once.
        """
        warm_have_capacity = any(e.in_flight < max(1.0, e.concurrency_limit) for e in warm)
        budget = min(1.0, self._budget) if warm_have_capacity else self._budget
        mean_weight = sum(endpoint.entry.weight for endpoint in sample) / len(sample)
        chosen: Endpoint | None = None
        for endpoint in sample:
            fraction = self.warmup_fraction(endpoint, now)
            if fraction >= 1:
                continue
            share = self._share(endpoint, fraction, mean_weight, now, request_class)
            credit = min(1.0, endpoint.slow_start_credit + share * self.deferred_requests)
            endpoint.slow_start_credit = credit + budget * share / len(sample)
            if endpoint.slow_start_credit >= (chosen.slow_start_credit if chosen else 1.0):
                chosen = endpoint
        if chosen is None:
            return None
        chosen.slow_start_credit -= 1
        has_capacity = chosen.in_flight < max(
            1.0, chosen.concurrency_limit * self.warmup_fraction(chosen, now)
        )
        return chosen if has_capacity else None

    def _share(
        self, endpoint: Endpoint, fraction: float, mean_weight: float, now: int, request_class: int
    ) -> float:
        """Returns the endpoint's requests as a fraction of those of a warm endpoint of mean weight."""
        tolerated = TOLERATED_SLOWDOWN * self._slowdowns.mean_slowdowns[request_class]
        share = fraction * min(1.0, tolerated / self._slowdowns.slowdown(endpoint, request_class, now))
        if mean_weight > 0:
            share *= max(0.0, min(1.0, endpoint.entry.weight / mean_weight))
        return share
