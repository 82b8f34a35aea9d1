"""The quota of a customer whose requests come through few gateways."""

from __future__ import annotations

import random
from dataclasses import replace

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.events import CounterAnswered
from quota_ingress.policy.lease import LEASE_DURATION_S, MAX_COUNTER_TTL, CounterCall, counter_name
from quota_ingress.policy.quota_state import QuotaState
from quota_ingress.policy.settings import Plan
from quota_ingress.policy.snapshot import CustomerQuotaSnapshot

MIN_UNKNOWN_BURST_FRACTION = 1 / 8  # of a burst; if the counter lacks fewer units, none are added to it


class LeasedQuota(QuotaState):
    """Leases units per window: the counter holds what all gateways have leased since the window began."""

    __slots__ = ("unreported_units",)

    def __init__(self, plan: Plan, gateway_count: int, slot_duration: int, now: int) -> None:
        super().__init__(plan, gateway_count, slot_duration, now)
        self.unreported_units = 0.0  # spent without the counter and not yet added to it

    def request_lease(self, now: int, congestion: float) -> CounterCall:
        """Returns the call for the units the first waiting request lacks and a second of expected demand.

        The extra units are at most half of this gateway's even share of the rest, more under congestion.
        """
        request = self.waiting[0].event
        remaining = self.bucket.remaining(now)
        needed = max(0.0, min(request.units - self.bucket.leased_units, remaining))
        demand = max(self.demand.rate * LEASE_DURATION_S, request.units)
        extra = min(demand, (remaining - needed) / (2 * self.gateway_count))
        extra *= max(1.0, congestion)
        leased = needed + max(0.0, min(extra, remaining - needed))
        unreported = self.unreported_units
        self.unreported_units = 0.0
        self.lease_requested = True
        window_number = now // self.window
        return CounterCall(
            counter_name(request.customer, window_number),
            period_start=window_number * self.window,
            amount=leased + unreported,
            ttl=self._counter_ttl(),
            leased_units=leased,
            unreported_units=unreported,
            is_lease=True,
        )

    def on_call_ended(self, call: CounterCall, now: int, was_added: bool) -> None:
        """Leaves a call's `unreported_units` to the next call if the counter did not add them."""
        if not was_added:
            self.unreported_units += call.unreported_units

    def on_lease_answer(
        self, call: CounterCall, event: CounterAnswered, now: int, rng: random.Random
    ) -> list[CounterCall]:
        """Grants the leased units that the bucket covers; a correction returns the excess to the counter."""
        refilled = self.plan.rate * (now - call.period_start) / SECOND
        remaining_by_counter = self.plan.burst + refilled - event.total
        remaining_here = self.bucket.remaining(now) - call.leased_units
        remaining = min(remaining_by_counter, remaining_here)
        excess = min(call.leased_units, max(0.0, -remaining))
        granted = call.leased_units - excess
        unknown = self._units_unknown_to_counter(remaining_by_counter - remaining_here)
        self.bucket.set_remaining(min(self.plan.burst, remaining + excess), now)
        self.bucket.leased_units += granted
        self.local_allowance.spend(granted)  # leases and the local allowance draw on the same bucket
        self.refill_rate = min(self.plan.rate, granted / LEASE_DURATION_S)
        return [self._correction(call, unknown - excess)] if unknown != excess else []

    def _units_unknown_to_counter(self, difference: float) -> float:
        """Returns how many of the units by which the counter's figure differs have to be added to it.

        The counter does not know of units spent before the window began, refill lost while the bucket was
        full, units spent without calling it, and counts that it lost. That matters only if the demand exceeds
        the rate. Two gateways that report the same units at once report too many.

        Args:
            difference: The units left by the counter's total, less those left by this gateway's bound.
        """
        in_demand = self.demand.rate * self.gateway_count > self.plan.rate
        unknown = difference if in_demand else 0.0
        return unknown if unknown > self.plan.burst * MIN_UNKNOWN_BURST_FRACTION else 0.0

    def _correction(self, call: CounterCall, units: float) -> CounterCall:
        return CounterCall(
            call.counter_name,
            call.period_start,
            amount=units,
            ttl=self._counter_ttl(),
            leased_units=units,
        )

    def _counter_ttl(self) -> int:
        return min(MAX_COUNTER_TTL, 2 * self.window)

    def spend_without_counter(self, now: int, units: float) -> None:
        """Deducts the units from the local allowance; the next call reports them to the counter."""
        super().spend_without_counter(now, units)
        self.unreported_units = min(self.plan.burst, self.unreported_units + units)

    def hand_over(self, customer: int, plan: int) -> CustomerQuotaSnapshot:
        """Returns the state of `customer`, whose plan has index `plan`; clears leases and allowances here."""
        snapshot = replace(super().hand_over(customer, plan), unreported_units=self.unreported_units)
        self.unreported_units = 0.0
        return snapshot

    def restore(self, snapshot: CustomerQuotaSnapshot) -> None:
        """Adopts the state that another process handed over."""
        super().restore(snapshot)
        self.unreported_units = snapshot.unreported_units
