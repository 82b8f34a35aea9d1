"""Slow start: a warming endpoint gets requests in proportion to the capacity that it has for sure.

Each endpoint gathers credit with every request of this gateway and is due for one at a whole credit. Credits
start at random values, so that the gateways of a fleet are out of step.
"""

from __future__ import annotations

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.outlier import SlowdownTracker
from quota_ingress.policy.settings import Safety

SLOW_START_BUDGET_FRACTION = (
    0.8  # of the overload budget: requests differ in work, lists come at different times
)
TOLERATED_SLOWDOWN = 2.0  # times the mean: a warming endpoint takes longer, and gets less beyond this
DEFERRED_REQUEST_WEIGHT = 0.5  # of a request: at twice the fleet's capacity, all are their whole budget


class SlowStart:
    """The warming endpoints' part of this gateway's requests."""

    def __init__(self, safety: Safety, slowdowns: SlowdownTracker) -> None:
        self.deferred_requests = 0.0  # for each endpoint, rejected in a jam since the last one that was sent
        self._initial_fraction = safety.initial_capacity_fraction
        self._warmup_time = max(1, safety.warmup_time)
        self._budget = SLOW_START_BUDGET_FRACTION * safety.overload_multiple
        self._slowdowns = slowdowns

    def warmup_fraction(self, endpoint: Endpoint, now: int) -> float:
        """Returns the part of its capacity that the endpoint has for sure; 1: it is warm."""
        started_at = endpoint.entry.started_at
        warmed_up = (now - started_at) / self._warmup_time if started_at > 0 else 1.0
        return min(1.0, self._initial_fraction + (1 - self._initial_fraction) * max(0.0, warmed_up))

    def defer(self, endpoint_count: int) -> None:
        """Counts a request that was rejected in a jam: warming endpoints are asked for all the more."""
        self.deferred_requests += DEFERRED_REQUEST_WEIGHT / max(1, endpoint_count)

    def next_warming_endpoint(
        self, sample: list[Endpoint], warm: list[Endpoint], now: int, request_class: int
    ) -> Endpoint | None:
        """Returns the warming endpoint of the sample that a request falls to, if any, and takes its credit.

        `warm` are the sample's other endpoints. While these have capacity, a warming endpoint gets at most
        what they get; otherwise what it can take without failing. Credit that cannot be used is lost: saved
        up at many gateways, it could all be used at once.
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
        """Returns the endpoint's part of what a warm endpoint of the mean weight gets."""
        tolerated = TOLERATED_SLOWDOWN * self._slowdowns.mean_slowdowns[request_class]
        share = fraction * min(1.0, tolerated / self._slowdowns.slowdown(endpoint, request_class, now))
        if mean_weight > 0:
            share *= max(0.0, min(1.0, endpoint.entry.weight / mean_weight))
        return share
