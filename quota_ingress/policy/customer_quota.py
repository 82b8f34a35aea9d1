"""A customer's quota at this gateway, as admission control sees it.

A customer whose requests come through few gateways has a `LeasedQuota`, one of many gateways a
`CountedQuota`. The kind is chosen once, when the customer is first seen.
"""

from __future__ import annotations

import random
from enum import Enum, auto
from typing import TYPE_CHECKING, Protocol

from quota_ingress.policy.call_pacing import CallPacing
from quota_ingress.policy.demand_rate import DemandRate
from quota_ingress.policy.events import CounterAnswered
from quota_ingress.policy.local_allowance import LocalAllowance
from quota_ingress.policy.settings import Plan
from quota_ingress.policy.snapshot import CustomerQuotaSnapshot
from quota_ingress.policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from quota_ingress.policy.lease import CounterCall
    from quota_ingress.policy.request_state import Request


class Decision(Enum):
    """What a quota decides on a request."""

    ADMIT = auto()  # it is covered
    OVER_QUOTA = auto()
    AWAIT_LEASE = auto()  # a lease has been requested; its answer decides
    REQUEST_LEASE = auto()  # the counter has to be called
    DEFER = auto()  # ask again once the counter may be called
    WITHOUT_COUNTER = auto()  # the counter cannot be asked; the local allowance decides


class CustomerQuota(Protocol):
    """A customer's plan, what is left of it as far as is known here, and the requests that wait for more."""

    plan: Plan
    bucket: TokenBucket
    local_allowance: LocalAllowance  # this gateway's part of the quota, spent only without the counter
    ceiling: LocalAllowance  # this gateway's part of the plan's hard ceiling
    demand: DemandRate
    in_flight: int  # attempts
    waiting: list[Request]  # for the counter's answer
    lease_requested: bool
    retention: int  # us after the last request during which the state is of use

    def record_arrival(self, now: int, units: float, is_retry: bool) -> None:
        """Counts a request as demand, and refills the local parts."""

    def assess(self, request: Request, now: int, pacing: CallPacing, answered: bool) -> Decision:
        """Decides on a request.

        Args:
            request: The request.
            now: The moment, in us.
            pacing: Whether and when the counter may be called.
            answered: The counter has just answered: what is not covered now is over the quota.
        """

    def spend(self, units: float) -> None:
        """Takes the units of an admitted request off the lease."""

    def admitted_fraction_without_counter(self, now: int, units: float, is_retry: bool) -> float:
        """Returns the chance that a request of `units` is admitted while the counter cannot be asked."""

    def spend_without_counter(self, now: int, units: float) -> None:
        """Takes the units of a request that was admitted without the counter off the local allowance."""

    def settle(self, settled_units: float, estimated_units: float) -> None:
        """Corrects the units of an answered request, which are known only with its response."""

    def book_retry(self, now: int, units: float) -> int:
        """Returns the wait before a rejected request's retry in us; 0: there is no capacity in sight."""

    def request_lease(self, now: int, congestion: float) -> CounterCall:
        """Returns the call for a lease that covers the first waiting request and some demand ahead.

        Units spent without the counter are reported with it. `congestion` is that of the calls to the
        counter: the rarer they are, the more a call may take.
        """

    def on_call_ended(self, call: CounterCall, now: int, was_added: bool) -> None:
        """Takes back what a call was to report, if the counter added nothing."""

    def on_lease_answer(
        self, call: CounterCall, event: CounterAnswered, now: int, rng: random.Random
    ) -> list[CounterCall]:
        """Takes the leased units as far as the counter's total allows; returns the corrections to call."""

    def take_waiting(self) -> list[Request]:
        """Returns the requests that waited for a lease, which is no longer requested."""

    def hand_over(self, customer: int, plan: int) -> CustomerQuotaSnapshot:
        """Returns the state of `customer`, whose plan is number `plan`; leases and allowances end here."""

    def restore(self, snapshot: CustomerQuotaSnapshot) -> None:
        """Takes over the state that another process handed over."""
