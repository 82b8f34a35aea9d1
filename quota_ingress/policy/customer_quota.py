"""The interface between admission control and a customer's quota at this gateway.

A customer whose requests come through few gateways has a `LeasedQuota`; a customer whose requests come
through many has a `CountedQuota`. The kind is chosen once, when the customer is first seen.
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
    """How to proceed with a request."""

    ADMIT = auto()  # the quota covers the request
    OVER_QUOTA = auto()
    AWAIT_LEASE = auto()  # wait for the answer to a lease that has been requested already
    REQUEST_LEASE = auto()  # call the counter for a lease and wait for its answer
    DEFER = auto()  # assess the request again once the counter may be called
    WITHOUT_COUNTER = auto()  # the counter cannot be called; the local allowance decides


class CustomerQuota(Protocol):
    """A customer's plan, this gateway's knowledge of the quota left, and the requests waiting for a lease."""

    plan: Plan
    bucket: TokenBucket
    local_allowance: LocalAllowance  # this gateway's share of the quota, spent only without the counter
    ceiling: LocalAllowance  # this gateway's share of the plan's hard ceiling
    demand: DemandRate
    in_flight: int  # attempts
    waiting: list[Request]  # for the answer to the requested lease
    lease_requested: bool
    retention: int  # us after the last request for which the state is kept

    def record_arrival(self, now: int, units: float, is_retry: bool) -> None:
        """Counts a request towards the demand; refills the local allowance and the ceiling."""

    def assess(self, request: Request, now: int, pacing: CallPacing, answered: bool) -> Decision:
        """Decides how to proceed with a request.

        Args:
            request: The request.
            now: The current time, in us.
            pacing: Tells whether and when the counter may be called.
            answered: The counter has just answered, so a request not covered now is over the quota.
        """

    def spend(self, units: float) -> None:
        """Deducts the units of an admitted request from the lease."""

    def admitted_fraction_without_counter(self, now: int, units: float, is_retry: bool) -> float:
        """Returns the probability of admitting a request of `units` while the counter cannot be called."""

    def spend_without_counter(self, now: int, units: float) -> None:
        """Deducts the units of a request admitted without the counter from the local allowance."""

    def settle(self, settled_units: float, estimated_units: float) -> None:
        """Replaces a request's estimated units by the true ones, which are known only with its response."""

    def book_retry(self, now: int, units: float) -> int:
        """Returns the wait before a rejected request's retry in us; 0: no capacity in the borrowing ring."""

    def request_lease(self, now: int, congestion: float) -> CounterCall:
        """Returns the call for a lease that covers the first waiting request and some expected demand.

        The call also reports units spent without the counter. `congestion` is that of the call pacing: the
        rarer the calls, the larger the lease.
        """

    def on_call_ended(self, call: CounterCall, now: int, was_added: bool) -> None:
        """Restores the units that a call was to report if the counter did not add them (`was_added`)."""

    def on_lease_answer(
        self, call: CounterCall, event: CounterAnswered, now: int, rng: random.Random
    ) -> list[CounterCall]:
        """Grants as many of the leased units as the counter's total allows.

        Returns:
            The calls that correct the counter: for leased units not granted, and for units it does not know.
        """

    def take_waiting(self) -> list[Request]:
        """Returns the requests that waited for a lease, and marks no lease as requested."""

    def hand_over(self, customer: int, plan: int) -> CustomerQuotaSnapshot:
        """Returns the state of `customer`, whose plan is number `plan`; clears leases and allowances here."""

    def restore(self, snapshot: CustomerQuotaSnapshot) -> None:
        """Adopts the state that another process handed over."""
