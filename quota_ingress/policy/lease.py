"""Leases: units that a gateway takes ahead from the shared counter, and the calls that take them.

A lease adds its size to the customer's counter, so that other gateways see the units as used. What exceeds
the allowance, by the total that the counter answers, is added back with a second call.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.subsetting import mix

if TYPE_CHECKING:
    from quota_ingress.policy.customer_quota import CustomerQuota
    from quota_ingress.policy.settings import Plan

LEASE_DURATION_S = 1.0  # of demand taken ahead: long enough to save calls, short enough not to strand units
MAX_COUNTER_TTL = 60 * SECOND  # us
ANSWERED_SMOOTHING = 0.03  # weight of the last request in the answered fraction
PLAN_SUCCESS_SMOOTHING = 0.1  # weight of the last new customer in its plan's success rate


def counter_name(customer: int, window_number: int) -> int:
    """Returns the counter's name for a customer and window, the same at every gateway."""
    return mix(customer, window_number)


@dataclass(frozen=True, slots=True)
class CounterCall:
    """A call to the counter on behalf of one customer."""

    quota: CustomerQuota
    counter_name: int
    window_start: int  # us, when that name came into use
    amount: float  # what the counter adds, in its own measure
    ttl: int  # us
    leased_units: float  # units of the call that are a lease or a correction
    unreported_units: float = 0.0  # units of it that were spent earlier without the counter
    is_lease: bool = False  # otherwise a correction: its answer changes nothing


class PlanLeases:
    """How the first leases for new customers of one plan ended."""

    __slots__ = ("success_rate",)

    def __init__(self) -> None:
        self.success_rate = 1.0  # of those that brought units

    def record_first_lease(self, has_units: bool) -> None:
        """Counts a customer's first lease, which brought units or not."""
        self.success_rate += PLAN_SUCCESS_SMOOTHING * (float(has_units) - self.success_rate)


class LeaseStatistics:
    """What became of the calls for customers of many gateways, over all of these customers."""

    def __init__(self, plans: tuple[Plan, ...]) -> None:
        self.answered_fraction = 1.0  # of requests: those not admitted without the counter's answer
        self.by_plan = {plan: PlanLeases() for plan in plans}

    def record_answer(self) -> None:
        """Counts a lease that the counter answered."""
        self.answered_fraction += ANSWERED_SMOOTHING * (1 - self.answered_fraction)

    def record_unanswered_request(self) -> None:
        """Counts a request admitted without the counter."""
        self.answered_fraction -= ANSWERED_SMOOTHING * self.answered_fraction
