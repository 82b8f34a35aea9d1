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

UNKNOWN_USE_BURST_FRACTION = 1 / 8  # units unknown to the counter are reported from this part of a burst on


class LeasedQuota(QuotaState):
    """Leases by windows: the counter holds what all gateways have leased since the window began."""

    __slots__ = ("unreported_units",)

    def __init__(self, plan: Plan, gateway_count: int, slot_duration: int, now: int) -> None:
        super().__init__(plan, gateway_count, slot_duration, now)
        self.unreported_units = 0.0  # spent without the counter and not yet added to it

    def request_lease(self, now: int, congestion: float) -> CounterCall:
        """Returns the call for what the first waiting request lacks, and recent demand of a second."""
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
            self,
            counter_name(request.customer, window_number),
            window_start=window_number * self.window,
            amount=leased + unreported,
            ttl=self._counter_ttl(),
            leased_units=leased,
            unreported_units=unreported,
            is_lease=True,
        )

    def on_call_ended(self, call: CounterCall, now: int, was_added: bool) -> None:
        """Takes back what a call was to report, if the counter added nothing."""
        if not was_added:
            self.unreported_units += call.unreported_units

    def on_lease_answer(
        self, call: CounterCall, event: CounterAnswered, now: int, rng: random.Random
    ) -> list[CounterCall]:
        """Takes the leased units that the bucket covers; what is past it is added back."""
        refilled = self.plan.rate * (now - call.window_start) / SECOND
        remaining_by_counter = self.plan.burst + refilled - event.total
        remaining_here = self.bucket.remaining(now) - call.leased_units
        remaining = min(remaining_by_counter, remaining_here)
        excess = min(call.leased_units, max(0.0, -remaining))
        granted = call.leased_units - excess
        unknown = self._units_unknown_to_counter(remaining_by_counter - remaining_here)
        self.bucket.set_remaining(min(self.plan.burst, remaining + excess), now)
        self.bucket.leased_units += granted
        self.local_allowance.spend(granted)  # both are parts of one bucket
        self.refill_rate = min(self.plan.rate, granted / LEASE_DURATION_S)
        return [self._correction(call, unknown - excess)] if unknown != excess else []

    def _units_unknown_to_counter(self, difference: float) -> float:
        """Returns how much of the `difference` to what is known here the counter has to be told.

        The counter does not know of burst spent before the window, time spent full, use without it, and what
        it lost. That matters only where demand exceeds the rate. Two gateways that tell it at once tell too
        much.
        """
        in_demand = self.demand.rate * self.gateway_count > self.plan.rate
        unknown = difference if in_demand else 0.0
        return unknown if unknown > self.plan.burst * UNKNOWN_USE_BURST_FRACTION else 0.0

    def _correction(self, call: CounterCall, units: float) -> CounterCall:
        return CounterCall(
            self,
            call.counter_name,
            call.window_start,
            amount=units,
            ttl=self._counter_ttl(),
            leased_units=units,
        )

    def _counter_ttl(self) -> int:
        return min(MAX_COUNTER_TTL, 2 * self.window)

    def spend_without_counter(self, now: int, units: float) -> None:
        """Takes the units off the local allowance; the next call reports them."""
        super().spend_without_counter(now, units)
        self.unreported_units = min(self.plan.burst, self.unreported_units + units)

    def hand_over(self, customer: int, plan: int) -> CustomerQuotaSnapshot:
        """Returns the state of `customer`, whose plan is number `plan`; leases and allowances end here."""
        snapshot = replace(super().hand_over(customer, plan), unreported_units=self.unreported_units)
        self.unreported_units = 0.0
        return snapshot

    def restore(self, snapshot: CustomerQuotaSnapshot) -> None:
        """Takes over the state that another process handed over."""
        super().restore(snapshot)
        self.unreported_units = snapshot.unreported_units
