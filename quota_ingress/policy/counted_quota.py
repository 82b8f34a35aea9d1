"""The quota of a customer whose requests come through many gateways.

Each gateway sees few of the requests and knows the state of the shared bucket almost only from the counter.
Decisions therefore use the decaying count of the units used by all gateways.
"""

from __future__ import annotations

import math
import random
from dataclasses import replace
from typing import TYPE_CHECKING

from quota_ingress.policy.call_pacing import CallPacing
from quota_ingress.policy.customer_quota import Decision
from quota_ingress.policy.decaying_count import EPOCH_WINDOWS, DecayingCount
from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.events import CounterAnswered
from quota_ingress.policy.lease import (
    LEASE_DURATION_S,
    MAX_COUNTER_TTL,
    CounterCall,
    LeaseStatistics,
    counter_name,
)
from quota_ingress.policy.quota_state import NEVER_ANSWERED, QuotaState
from quota_ingress.policy.settings import Plan
from quota_ingress.policy.snapshot import NO_LEASE_ANSWERED, CustomerQuotaSnapshot

if TYPE_CHECKING:
    from quota_ingress.policy.request_state import Request

MAX_LEASED_QUOTA_GATEWAYS = 12  # customers with more gateways have a counted quota
MIN_RETENTION = 60 * SECOND  # us
MAX_LEASE_FRACTION = 0.25  # of the available units; a lease contains at most this for further requests
MAX_DEFER_FRACTION = 0.1  # of the latency objective: the longest wait for a call to the counter
LIKELY_SUCCESS_RATE = 0.5  # of leases; above it, a request is deferred until the counter may be called
SUCCESS_SMOOTHING = 0.6  # weight of the last lease in the success rate
MIN_COUNTED_FRACTION = 0.99  # of what a call has just added; a lower total means that units were lost


class CountedQuota(QuotaState):
    """Leases units as long as the decaying count of the units used by all gateways is under its limit."""

    __slots__ = (
        "_plan_leases",
        "_statistics",
        "_uses_count",
        "count",
        "last_answer_at",
        "lease_success_rate",
    )

    def __init__(
        self,
        plan: Plan,
        gateway_count: int,
        slot_duration: int,
        now: int,
        *,
        counter_allowed: bool,
        statistics: LeaseStatistics,
    ) -> None:
        super().__init__(plan, gateway_count, slot_duration, now)
        self.retention = max(MIN_RETENTION, self.retention)  # each gateway sees few of the requests
        self._uses_count = counter_allowed and plan.rate > 0
        self._statistics = statistics
        self._plan_leases = statistics.by_plan[plan]
        self.count = DecayingCount(plan.burst, self.window)
        self.last_answer_at = NEVER_ANSWERED
        self.lease_success_rate: float | None = None  # fraction of leases that were granted units

    def assess(self, request: Request, now: int, pacing: CallPacing, answered: bool) -> Decision:
        """Decides how to proceed with a request, by the leased units and the decaying count."""
        if not self._uses_count:
            return super().assess(request, now, pacing, answered)
        units = request.event.units
        self.count.decay_to(now)
        available = self.count.available(units)
        if self.count.leased_units >= units and not self.waiting:
            return Decision.ADMIT
        if answered or (available < units and not self.lease_requested):
            return Decision.OVER_QUOTA  # other gateways have probably used units since the last answer
        if self.lease_requested:
            return Decision.AWAIT_LEASE
        success_rate = self._expected_success_rate()
        # The less likely a lease is to be granted, the more calls must be unused: the rest is left for
        # likelier leases.
        if pacing.unused_fraction(now) >= 1 - success_rate:
            return Decision.REQUEST_LEASE
        if self._is_lightly_used(now, units, available):
            return Decision.ADMIT  # the next call reports the units
        may_wait_until = request.arrived_at + MAX_DEFER_FRACTION * request.request_class.latency_objective
        if success_rate > LIKELY_SUCCESS_RATE and now < may_wait_until:
            return Decision.DEFER
        return Decision.WITHOUT_COUNTER

    def _expected_success_rate(self) -> float:
        if self.lease_success_rate is None:
            return self._plan_leases.success_rate
        return self.lease_success_rate

    def _is_lightly_used(self, now: int, units: float, available: float) -> bool:
        """Returns whether the last count is recent and, with this request, under half of its limit."""
        is_recent = now - self.last_answer_at < self.window
        return is_recent and available - units > self.count.limit(units) / 2

    def spend(self, units: float) -> None:
        """Deducts the units of an admitted request from the lease."""
        if self._uses_count:
            self.count.leased_units -= units
        else:
            super().spend(units)

    def admitted_fraction_without_counter(self, now: int, units: float, is_retry: bool) -> float:
        """Returns the probability of admitting a request of `units` while the counter cannot be called.

        For a customer without leases yet, it is scaled by the success rate of other customers of its plan.
        """
        fraction = super().admitted_fraction_without_counter(now, units, is_retry)
        if self.lease_success_rate is None:
            fraction *= self._plan_leases.success_rate
        return fraction

    def spend_without_counter(self, now: int, units: float) -> None:
        """Deducts the units from the local allowance; the next call reports them to the counter."""
        super().spend_without_counter(now, units)
        self._statistics.record_unanswered_request()
        self.count.decay_to(now)
        self.count.leased_units -= units

    def request_lease(self, now: int, congestion: float) -> CounterCall:
        """Returns the call for a lease of the first waiting request and of further requests of its size.

        Further requests are leased as far as they are expected within the lease's duration and fit into
        MAX_LEASE_FRACTION. The size of the lease does not depend on `congestion`.
        """
        request = self.waiting[0].event
        units = request.units
        available = self.count.available(units) - units
        extra = min(self.demand.rate * LEASE_DURATION_S, MAX_LEASE_FRACTION * available)
        extra = extra // units * units if units else 0.0
        unreported = self.count.take_unreported()
        self.lease_requested = True
        name = counter_name(request.customer, self.count.epoch_number(now))
        return self._call(name, self.count.epoch_start(now), now, units + extra, unreported, is_lease=True)

    def on_call_ended(self, call: CounterCall, now: int, was_added: bool) -> None:
        """Leaves a call's `unreported_units` to the next call if the counter did not add them."""
        self.count.decay_to(now)
        if not was_added:
            self.count.leased_units -= call.unreported_units

    def on_lease_answer(
        self, call: CounterCall, event: CounterAnswered, now: int, rng: random.Random
    ) -> list[CounterCall]:
        """Grants the leased units that fit under the count's limit; a correction returns the excess.

        Units spent without the counter are missing from the count until the next call reports them. An excess
        left in the count makes up for such units, and saves calls when the counter has no capacity for all of
        them. Both affect the customers at their limit. The excess is therefore returned only with a
        probability, the square of the fraction of answered leases. With a lower probability, a customer that
        requests several times its quota would starve.
        """
        self._statistics.record_answer()
        corrections: list[CounterCall] = []
        decay = math.exp(-event.latency / self.window)  # of the call's units, since the call was made
        total = event.total / self.count.weight(now, call.period_start)
        leased = call.leased_units * decay
        added = (call.leased_units + call.unreported_units) * decay
        if self._lacks_units(total, added):
            missing = max(0.0, self.count.usage + added - max(total, 0.0))
            corrections.append(self._correction(call, now, missing))
            total = max(total, 0.0) + missing
        excess = self._excess(leased, total, decay)
        if excess > 0 and rng.random() < self._statistics.answered_fraction**2:
            corrections.append(self._correction(call, now, -excess))
        self.count.usage = total - excess
        self.count.leased_units += (leased - excess) / decay
        self.last_answer_at = now
        self._record_lease(leased - excess, was_granted=excess < leased)
        return corrections

    def _lacks_units(self, total: float, added: float) -> bool:
        """Returns whether the counter lacks units known here: an epoch began, or the counter restarted."""
        if total < MIN_COUNTED_FRACTION * added:
            return True
        return self.count.usage + added - total > self.plan.burst / 2

    def _excess(self, leased: float, total: float, decay: float) -> float:
        """Returns the leased units over the count's limit.

        If the rest does not cover the first waiting request, these are all leased units.
        """
        units = self.waiting[0].event.units if self.waiting else 0.0
        excess = min(leased, max(0.0, total - self.count.limit(units)))
        if self.count.leased_units + leased - excess < units * decay:
            return leased
        return excess

    def _record_lease(self, granted: float, was_granted: bool) -> None:
        """Updates refill rate, local allowance and success rates after a lease of `granted` units."""
        self.refill_rate = min(self.plan.rate, granted / LEASE_DURATION_S)
        if was_granted:
            self.local_allowance.spend(granted)
        else:
            self.local_allowance.units = 0.0
        if self.lease_success_rate is None:
            self.lease_success_rate = self._plan_leases.success_rate
            self._plan_leases.record_first_lease(was_granted)
        self.lease_success_rate += SUCCESS_SMOOTHING * (float(was_granted) - self.lease_success_rate)

    def _correction(self, call: CounterCall, now: int, units: float) -> CounterCall:
        return self._call(call.counter_name, call.period_start, now, units)

    def _call(
        self,
        name: int,
        epoch_start: int,
        now: int,
        units: float,
        unreported: float = 0.0,
        is_lease: bool = False,
    ) -> CounterCall:
        return CounterCall(
            name,
            period_start=epoch_start,
            amount=(units + unreported) * self.count.weight(now, epoch_start),
            ttl=min(MAX_COUNTER_TTL, 2 * EPOCH_WINDOWS * self.window),
            leased_units=units,
            unreported_units=unreported,
            is_lease=is_lease,
        )

    def hand_over(self, customer: int, plan: int) -> CustomerQuotaSnapshot:
        """Returns the state of `customer`, whose plan has index `plan`; clears leases and allowances here."""
        success_rate = self.lease_success_rate
        snapshot = replace(
            super().hand_over(customer, plan),
            last_answer_at=self.last_answer_at,
            counted_usage=self.count.usage,
            counted_lease=self.count.leased_units,
            decayed_at=self.count.decayed_at,
            lease_success_rate=NO_LEASE_ANSWERED if success_rate is None else success_rate,
        )
        self.count.leased_units = 0.0
        return snapshot

    def restore(self, snapshot: CustomerQuotaSnapshot) -> None:
        """Adopts the state that another process handed over."""
        super().restore(snapshot)
        self.count.usage = snapshot.counted_usage
        self.count.leased_units = snapshot.counted_lease
        self.count.decayed_at = snapshot.decayed_at
        self.last_answer_at = snapshot.last_answer_at
        if snapshot.lease_success_rate >= 0:
            self.lease_success_rate = snapshot.lease_success_rate
