"""Adaptive concurrency: how many attempts may be in flight at an endpoint, and at all endpoints together.

Limits rise while they are used and latency stays well within the objective, and fall with every slow
attempt, rejection and timeout (additive increase, bounded decrease). A limit that is not used stays as it is
while answers are fast. This handles overloaded, slow and thrashing endpoints. Its drawback: an endpoint whose
service time alone exceeds the target gets few requests even when idle.
"""

from __future__ import annotations

from collections.abc import Sequence

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.outlier import SlowdownTracker

INITIAL_FLEET_LIMIT = 16.0  # attempts in flight at an endpoint, from all gateways together
TARGET_LATENCY_FRACTION = 0.32  # of the latency objective; a slower endpoint is taken to be at capacity
MAX_DECREASE = 1.0  # attempts per outcome
INCREASE = 0.5  # attempts per answer, for a latency of 0


def limit_step(outcome: Outcome, latency: int, latency_objective: int) -> float:
    """Returns the change of the limits, in attempts, for one outcome; times in microseconds."""
    if outcome in (Outcome.TIMEOUT, Outcome.REJECTED):
        return -MAX_DECREASE
    return INCREASE * max(
        -MAX_DECREASE / INCREASE, 1 - latency / (TARGET_LATENCY_FRACTION * latency_objective)
    )


class ConcurrencyLimits:
    """One gateway's limit for all endpoints together; an endpoint's own limit is kept in its `Endpoint`."""

    def __init__(self, initial_limit: float, slowdowns: SlowdownTracker) -> None:
        """Starts from `initial_limit`, this gateway's share of INITIAL_FLEET_LIMIT, in attempts."""
        self.initial_limit = initial_limit
        self.minimum = min(1.0, initial_limit / 4)  # of an endpoint's limit
        self.pooled_headroom = 0.0  # attempts above the initial pooled limit that fast answers have allowed
        self._slowdowns = slowdowns

    def pooled_limit(self, ready: Sequence[Endpoint], ready_total: int) -> float:
        """Returns how many attempts this gateway may have in flight at all endpoints together.

        With an initial limit of at least 1, this is the mean limit of `ready` times `ready_total`.

        In a larger fleet, one attempt per endpoint from every gateway would overload the endpoints. A gateway
        then gets one attempt, plus half its initial limit for each ready endpoint. This is divided by the
        lowest mean slowdown of a request class, which rises only if requests of all classes are slow or fail.
        The headroom is added to the result.

        Args:
            ready: The ready endpoints among this gateway's candidates.
            ready_total: The number of all ready endpoints.
        """
        if self.initial_limit >= 1:
            return sum(endpoint.concurrency_limit for endpoint in ready) * ready_total / max(1, len(ready))
        initial = 1 + self.initial_limit * ready_total / 2
        return initial / self._slowdowns.lowest_mean_slowdown + self.pooled_headroom

    def adjust(self, endpoint: Endpoint, step: float) -> None:
        """Changes an endpoint's limit by `step` attempts."""
        endpoint.concurrency_limit = max(self.minimum, endpoint.concurrency_limit + step)

    def adjust_headroom(self, step: float) -> None:
        """Changes `pooled_headroom` by `step` attempts, down to 0."""
        self.pooled_headroom = max(0.0, self.pooled_headroom + step)
