"""State and decisions shared by both kinds of customer quota."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quota_ingress.policy.borrowing_ring import BorrowingRing
from quota_ingress.policy.call_pacing import CallPacing
from quota_ingress.policy.customer_quota import Decision
from quota_ingress.policy.demand_rate import DemandRate
from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.local_allowance import LocalAllowance
from quota_ingress.policy.settings import Plan
from quota_ingress.policy.snapshot import NO_LEASE_REQUESTED, CustomerQuotaSnapshot
from quota_ingress.policy.token_bucket import TokenBucket

if TYPE_CHECKING:
    from quota_ingress.policy.request_state import Request

NEVER_ANSWERED = -60 * SECOND  # us; a last answer before any event of the process


class QuotaState:
    """The base class of customer quotas: decides by the leased units and the bound of the shared bucket."""

    __slots__ = (
        "bucket",
        "ceiling",
        "demand",
        "gateway_count",
        "in_flight",
        "lease_requested",
        "local_allowance",
        "plan",
        "refill_rate",
        "retention",
        "ring",
        "waiting",
        "window",
    )

    def __init__(self, plan: Plan, gateway_count: int, slot_duration: int, now: int) -> None:
        """Creates the quota of a customer not seen before.

        Args:
            plan: The customer's plan.
            gateway_count: How many gateways the customer's requests come through.
            slot_duration: Length of a slot of the borrowing ring, in us.
            now: The current time, in us.
        """
        self.plan = plan
        self.gateway_count = gateway_count
        self.window = SECOND  # us in which an unused bucket fills up
        if plan.rate:
            self.window = max(SECOND, int(plan.burst / plan.rate * SECOND))
        self.retention = 3 * self.window  # us after the last request for which the state is kept
        self.bucket = TokenBucket(plan.rate, plan.burst, now)
        self.local_allowance = LocalAllowance(plan.rate, plan.burst, gateway_count, units=plan.burst)
        # Starts empty: the gateway may have spent its share just before a restart.
        self.ceiling = LocalAllowance(plan.ceiling_rate, plan.ceiling_burst, gateway_count, units=0.0)
        self.demand = DemandRate(self.window, now)
        self.ring = BorrowingRing(slot_duration)
        self.refill_rate = 0.0  # units a second: the last lease divided by its expected duration
        self.in_flight = 0  # attempts
        self.waiting: list[Request] = []  # for the answer to the requested lease
        self.lease_requested = False

    def record_arrival(self, now: int, units: float, is_retry: bool) -> None:
        """Counts a request towards the demand; refills the local allowance and the ceiling."""
        elapsed_s = self.demand.record(now, units, is_retry)
        self.local_allowance.refill_to_fit(elapsed_s, units)
        self.ceiling.refill(elapsed_s)

    def book_retry(self, now: int, units: float) -> int:
        """Returns the wait before a rejected request's retry in us; 0: no capacity in the borrowing ring."""
        return self.ring.book(now, units, self.refill_rate, self.demand.rate)

    def settle(self, settled_units: float, estimated_units: float) -> None:
        """Replaces a request's estimated units by the true ones, which are known only with its response."""
        self.bucket.leased_units -= settled_units - estimated_units

    def take_waiting(self) -> list[Request]:
        """Returns the requests that waited for a lease, and marks no lease as requested."""
        waiting = self.waiting
        self.waiting = []
        self.lease_requested = False
        return waiting

    def assess(self, request: Request, now: int, pacing: CallPacing, answered: bool) -> Decision:
        """Decides how to proceed with a request, by the leased units and the bound of the shared bucket.

        Args:
            request: The request.
            now: The current time, in us.
            pacing: Tells whether and when the counter may be called.
            answered: The counter has just answered, so a request not covered now is over the quota.
        """
        units = request.event.units
        bucket = self.bucket
        if not self.plan.rate or (bucket.leased_units >= units and not self.waiting):
            bucket.advance_to(now)
            return Decision.ADMIT
        if answered or bucket.remaining(now) + bucket.leased_units < units:
            return Decision.OVER_QUOTA
        if pacing.answer_would_be_late(now, request.useful_until):
            return Decision.WITHOUT_COUNTER
        if self.lease_requested:
            return Decision.AWAIT_LEASE
        return Decision.REQUEST_LEASE if pacing.may_call(now) else Decision.WITHOUT_COUNTER

    def spend(self, units: float) -> None:
        """Deducts the units of an admitted request from the lease."""
        self.bucket.leased_units -= units

    def admitted_fraction_without_counter(self, now: int, units: float, is_retry: bool) -> float:
        """Returns the probability of admitting a request of `units` while the counter cannot be called.

        A local allowance smaller than the request gives a probability below 1, so that all gateways together
        admit about the quota.
        """
        remaining = self.bucket.remaining(now)
        even_share = self.plan.burst / self.gateway_count if is_retry else remaining
        covered_fraction = min(self.local_allowance.units, remaining, even_share) / units if units else 1.0
        if self.plan.burst >= units * self.gateway_count:
            covered_fraction = covered_fraction // 1  # a share covers a request: no admission by chance
        return covered_fraction

    def spend_without_counter(self, now: int, units: float) -> None:
        """Deducts the units of a request admitted without the counter from the local allowance."""
        self.local_allowance.spend(units)
        self.bucket.set_remaining(self.bucket.remaining(now) - units, now)

    def hand_over(self, customer: int, plan: int) -> CustomerQuotaSnapshot:
        """Returns the state of `customer`, whose plan is number `plan`; clears leases and allowances here."""
        snapshot = self._snapshot(customer, plan)
        self.bucket.leased_units = 0.0
        self.local_allowance.units = 0.0
        self.ceiling.units = 0.0
        return snapshot

    def restore(self, snapshot: CustomerQuotaSnapshot) -> None:
        """Adopts the state that another process handed over."""
        self.bucket.set_remaining(snapshot.remaining_upper_bound, snapshot.remaining_at)
        self.bucket.leased_units = snapshot.leased_units
        self.local_allowance.units = snapshot.local_allowance
        self.ceiling.units = snapshot.ceiling_allowance
        self.refill_rate = snapshot.refill_rate
        self.demand.rate = snapshot.demand_rate
        self.demand.updated_at = snapshot.demand_at

    def _snapshot(self, customer: int, plan: int) -> CustomerQuotaSnapshot:
        """Returns the common state; the fields of one kind alone have the values of a new customer."""
        return CustomerQuotaSnapshot(
            customer=customer,
            plan=plan,
            gateway_count=self.gateway_count,
            remaining_upper_bound=self.bucket.remaining_upper_bound,
            remaining_at=self.bucket.remaining_at,
            local_allowance=self.local_allowance.units,
            unreported_units=0.0,
            leased_units=self.bucket.leased_units,
            refill_rate=self.refill_rate,
            last_answer_at=NEVER_ANSWERED,
            demand_rate=self.demand.rate,
            demand_at=self.demand.updated_at,
            ceiling_allowance=self.ceiling.units,
            counted_usage=0.0,
            counted_lease=0.0,
            decayed_at=0,
            lease_success_rate=NO_LEASE_REQUESTED,
        )
