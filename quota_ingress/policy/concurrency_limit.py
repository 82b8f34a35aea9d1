"""Adaptive concurrency: how many attempts may be in flight at an endpoint, and at the fleet as a whole.

Limits rise while they are used and latency stays well within the objective, and fall otherwise (additive
increase, bounded decrease). That covers overloaded, slow and thrashing endpoints; it starves an endpoint
whose own work takes longer than the target.
"""

from __future__ import annotations

from collections.abc import Sequence

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.outlier import SlowdownTracker

INITIAL_FLEET_LIMIT = 16.0  # attempts in flight at an endpoint, of all gateways together
TARGET_LATENCY_FRACTION = 0.32  # of the latency objective: an endpoint that takes longer is at its capacity
MAX_DECREASE = 1.0  # attempts, for one answer
INCREASE = 0.5  # attempts, for an answer without latency


def limit_step(outcome: Outcome, latency: int, latency_objective: int) -> float:
    """Returns by how many attempts an outcome would move the limits; the times in microseconds."""
    if outcome in (Outcome.TIMEOUT, Outcome.REJECTED):
        return -MAX_DECREASE
    return INCREASE * max(
        -MAX_DECREASE / INCREASE, 1 - latency / (TARGET_LATENCY_FRACTION * latency_objective)
    )


class ConcurrencyLimits:
    """The limits of one gateway; the endpoints carry their own."""

    def __init__(self, initial_limit: float, slowdowns: SlowdownTracker) -> None:
        """`initial_limit` is this gateway's part of INITIAL_FLEET_LIMIT."""
        self.initial_limit = initial_limit
        self.minimum = min(1.0, initial_limit / 4)  # of an endpoint's limit
        self.fleet_headroom = 0.0  # attempts that the fleet has been found to take beyond the initial ones
        self._slowdowns = slowdowns

    def pooled_limit(self, ready: Sequence[Endpoint], ready_total: int) -> float:
        """Returns how many attempts this gateway may have in flight at all `ready_total` ready endpoints.

        `ready` are those of them that are candidates of this gateway. A gateway of many may have less than
        one attempt at each endpoint in flight, as one at each of all gateways would jam the fleet; the fewer
        where every class fails.
        """
        if self.initial_limit >= 1:
            return sum(endpoint.concurrency_limit for endpoint in ready) * ready_total / max(1, len(ready))
        initial = 1 + self.initial_limit * ready_total / 2
        return initial / self._slowdowns.lowest_mean_slowdown + self.fleet_headroom

    def adjust(self, endpoint: Endpoint, step: float) -> None:
        """Moves an endpoint's limit by `step` attempts."""
        endpoint.concurrency_limit = max(self.minimum, endpoint.concurrency_limit + step)

    def adjust_headroom(self, step: float) -> None:
        """Moves the headroom of the fleet by `step` attempts."""
        self.fleet_headroom = max(0.0, self.fleet_headroom + step)
