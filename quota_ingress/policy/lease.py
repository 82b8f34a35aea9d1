"""Leases: units that a gateway reserves at the shared counter in advance, and the calls that reserve them.

A lease adds its size to the customer's counter, so that other gateways see the units as used. If the total in
the counter's answer is over the quota, the excess is subtracted with a second call, a correction.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.subsetting import mix

if TYPE_CHECKING:
    from quota_ingress.policy.settings import Plan

LEASE_DURATION_S = 1.0  # of expected demand per lease; less costs more calls, more leaves units unused
MAX_COUNTER_TTL = 60 * SECOND  # us
ANSWERED_SMOOTHING = 0.03  # weight of the last lease or request in the answered fraction
PLAN_SUCCESS_SMOOTHING = 0.1  # weight of the last new customer in its plan's success rate


def counter_name(customer: int, period_number: int) -> int:
    """Returns the counter name for a customer in a window or epoch, equal at every gateway."""
    return mix(customer, period_number)


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the counter on behalf of one customer; the caller keeps whose it is."""

    counter_name: int
    period_start: int  # us; start of the window or epoch with that name
    amount: float  # that the counter adds; for a counted quota, the units times their weight
    ttl: int  # us
    leased_units: float  # units of the call that are a lease or a correction
    unreported_units: float = 0.0  # units of the call that were spent earlier without the counter
    is_lease: bool = False  # False: a correction, whose answer is ignored


class PlanLeases:
    """The results of the first leases of new customers of one plan."""

    __slots__ = ("success_rate",)

    def __init__(self) -> None:
        self.success_rate = 1.0  # moving average of the fraction that were granted units

    def record_first_lease(self, was_granted: bool) -> None:
        """Counts a customer's first lease; `was_granted`: at least a part of it was granted."""
        self.success_rate += PLAN_SUCCESS_SMOOTHING * (float(was_granted) - self.success_rate)


class LeaseStatistics:
    """Results of leases over all customers with a counted quota, and by their plans."""

    def __init__(self, plans: tuple[Plan, ...]) -> None:
        self.answered_fraction = 1.0  # moving average; 1: an answered lease, 0: a request without an answer
        self.by_plan = {plan: PlanLeases() for plan in plans}

    def record_answer(self) -> None:
        """Counts a lease that the counter answered."""
        self.answered_fraction += ANSWERED_SMOOTHING * (1 - self.answered_fraction)

    def record_unanswered_request(self) -> None:
        """Counts a request admitted without the counter's answer."""
        self.answered_fraction -= ANSWERED_SMOOTHING * self.answered_fraction
