"""Adaptive concurrency: how many attempts may be in flight at an endpoint, and at all endpoints together.

Limits rise while they are used and latency stays well within the objective, and fall otherwise (additive
increase, bounded decrease). This handles overloaded, slow and thrashing endpoints. Its drawback: an endpoint
whose service time alone exceeds the target gets few requests even when idle.
"""

from __future__ import annotations

from collections.abc import Sequence

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.outlier import SlowdownTracker

INITIAL_FLEET_LIMIT = 16.0  # attempts in flight at an endpoint, from all gateways together
TARGET_LATENCY_FRACTION = 0.32  # of the latency objective; an endpoint that takes longer is at capacity
MAX_DECREASE = 1.0  # attempts per answer
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
        self.fleet_headroom = 0.0  # attempts above the initial limit that have proved to be possible
        self._slowdowns = slowdowns

    def pooled_limit(self, ready: Sequence[Endpoint], ready_total: int) -> float:
        """Returns how many attempts this gateway may have in flight at all endpoints together.

        A gateway of a large fleet gets less than one attempt for each endpoint, since one from every gateway
        would overload the endpoints, and fewer still while requests of all classes fail.

        Args:
            ready: The ready endpoints among this gateway's candidates.
            ready_total: The number of all ready endpoints.
        """
        if self.initial_limit >= 1:
            return sum(endpoint.concurrency_limit for endpoint in ready) * ready_total / max(1, len(ready))
        initial = 1 + self.initial_limit * ready_total / 2
        return initial / self._slowdowns.lowest_mean_slowdown + self.fleet_headroom

    def adjust(self, endpoint: Endpoint, step: float) -> None:
        """Changes an endpoint's limit by `step` attempts."""
        endpoint.concurrency_limit = max(self.minimum, endpoint.concurrency_limit + step)

    def adjust_headroom(self, step: float) -> None:
        """Changes `fleet_headroom` by `step` attempts, down to 0."""
        self.fleet_headroom = max(0.0, self.fleet_headroom + step)
