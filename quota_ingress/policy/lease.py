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
    from quota_ingress.policy.customer_quota import CustomerQuota
    from quota_ingress.policy.settings import Plan

LEASE_DURATION_S = 1.0  # of expected demand per lease; shorter ones cost more calls, longer ones strand units
MAX_COUNTER_TTL = 60 * SECOND  # us
ANSWERED_SMOOTHING = 0.03  # weight of the last lease or request in the answered fraction
PLAN_SUCCESS_SMOOTHING = 0.1  # weight of the last new customer in its plan's success rate


def counter_name(customer: int, window_number: int) -> int:
    """Returns the counter name for a customer and window, equal at every gateway."""
    return mix(customer, window_number)


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the counter on behalf of one customer."""

    quota: CustomerQuota
    counter_name: int
    window_start: int  # us; when that name came into use
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

    def record_first_lease(self, has_units: bool) -> None:
        """Counts a customer's first lease; `has_units`: it was granted units."""
        self.success_rate += PLAN_SUCCESS_SMOOTHING * (float(has_units) - self.success_rate)


class LeaseStatistics:
    """Results of leases over all customers with a counted quota, and by their plans."""

    def __init__(self, plans: tuple[Plan, ...]) -> None:
        self.answered_fraction = 1.0  # moving average: answered leases 1, requests admitted without one 0
        self.by_plan = {plan: PlanLeases() for plan in plans}

    def record_answer(self) -> None:
        """Counts a lease that the counter answered."""
        self.answered_fraction += ANSWERED_SMOOTHING * (1 - self.answered_fraction)

    def record_unanswered_request(self) -> None:
        """Counts a request admitted without the counter's answer."""
        self.answered_fraction -= ANSWERED_SMOOTHING * self.answered_fraction
