"""A customer's admission state at this gateway."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.request_state import Request
from quota_ingress.policy.settings import Plan
from quota_ingress.policy.snapshot import CustomerQuotaSnapshot
from quota_ingress.policy.subsetting import mix

OFFSETS = (1, 3, 7)  # slots looked at: d_0, then doubling; N = 3 retries, a client's usual most; S = the last
WIDE = 12  # gateways a customer: with more, each knows next to nothing of the store but from the counter
REMEMBERED = 60 * SECOND  # for which a wide customer's part is kept: each gateway sees few of its requests


def counter_name(customer: int, window: int) -> int:  # the counter's name, the same at every gateway
    return mix(customer, window)


@dataclass(slots=True)
class CustomerQuota:
    """Bucket of leased units, ring of slots, and what is known of the shared bucket."""

    plan: Plan
    gateway_count: int
    slot_duration: int  # T0, and d_0: one slot
    remaining_at: int
    remaining_upper_bound: float = 0.0  # the most the shared store can hold, as far as this gateway has seen
    local_allowance: float = 0.0  # this gateway's part, spent only without the counter
    unreported_units: float = 0.0  # spent of it, and not yet told to the counter
    leased_units: float = 0.0  # W: leased units left
    refill_rate: float = 0.0  # r_t: size of the last lease over its expected life
    last_answer_at: int = -60 * SECOND
    demand_rate: float = 0.0  # lambda: units newly asked a second, averaged over the store's time to fill
    demand_at: int = 0
    ceiling_allowance: float = (
        0.0  # part of the hard ceiling; empty at first, as this gateway may have been restarted
    )
    window: int = SECOND
    current_slot: int = 0
    ring: deque[list[float]] = field(default_factory=deque)  # slots, present first: A spare, B booked over
    lease_requested: bool = False
    # Of a wide customer, in units that fade as a store fills (by e in a window), so that no window's start
    # forgets what was used just before, and no clock has to tell when the store was full:
    counted_usage: float = 0.0  # by all gateways, as the counter last told
    counted_lease: float = 0.0  # of these, leased here and not spent; below nothing: spent here and not told
    decayed_at: int = 0
    lease_success_rate: float = (
        -1.0
    )  # part of the calls for it that brought units; below nothing: none was made
    in_flight: int = 0  # attempts out
    waiting: list[Request] = field(default_factory=list)  # for the counter's answer

    def __post_init__(self) -> None:
        self.remaining_upper_bound, self.local_allowance, self.demand_at = (
            self.plan.burst,
            self.plan.burst,
            self.remaining_at,
        )
        if self.plan.rate:  # a store left alone for a window is full: nothing need be carried further
            self.window = max(SECOND, int(self.plan.burst / self.plan.rate * SECOND))

    def record_arrival(self, now: int, units: float, again: bool) -> None:  # shares refill, the average fades
        gone, self.demand_at, plan, part = (
            (now - self.demand_at) / SECOND,
            now,
            self.plan,
            1 / self.gateway_count,
        )
        fill = self.window / SECOND
        self.demand_rate = self.demand_rate * math.exp(-gone / fill) + (0.0 if again else units / fill)
        self.local_allowance = min(
            max(units, plan.burst * part), self.local_allowance + plan.rate * part * gone
        )  # one fits
        self.ceiling_allowance = min(
            plan.ceiling_burst * part, self.ceiling_allowance + plan.ceiling_rate * part * gone
        )

    def decay(self, now: int) -> None:
        left = math.exp(min(0, self.decayed_at - now) / self.window)
        self.counted_usage, self.counted_lease, self.decayed_at = (
            self.counted_usage * left,
            self.counted_lease * left,
            now,
        )

    def retention(self) -> int:  # how long it is of use after the last request
        return 3 * self.window if self.gateway_count <= WIDE else max(REMEMBERED, 3 * self.window)

    def usage_limit(self, units: float) -> float:
        """Of a fading count: asked without a pause, it grants just the rate; half a request over the burst,
        as what fades between two grants is less than what a store gains.
        """
        return self.plan.burst + units / 2

    def remaining(self, now: int) -> float:  # the most the shared store can hold; unspent leases count
        grown = self.remaining_upper_bound + self.plan.rate * (now - self.remaining_at) / SECOND
        return min(self.plan.burst - self.leased_units, grown)

    def book(self, now: int, units: float) -> int:
        """Second stage: the wait before the retry in microseconds, or 0 for a firm refusal."""
        spare = max(0.0, (self.refill_rate - self.demand_rate) * self.slot_duration / SECOND)  # W_a
        for _ in range(min(len(self.ring), now // self.slot_duration - self.current_slot)):
            self.ring.popleft()
        self.current_slot = now // self.slot_duration
        self.ring.extend([spare, 0] for _ in range(1 + OFFSETS[-1] - len(self.ring)))
        if self.ring[0][1] > 0:
            self.ring[0][1] -= 1
            return self.slot_duration
        for tried, ahead in enumerate(OFFSETS):
            if self.ring[ahead][0] > 0:
                self.ring[ahead][0] -= units
                for empty in OFFSETS[:tried]:
                    self.ring[empty][1] += 1
                return self.slot_duration
        return 0

    def hand_over(self, customer: int, plan: int) -> CustomerQuotaSnapshot:
        """Returns the state of `customer`, whose plan is number `plan`; leases and allowances end here."""
        snapshot = CustomerQuotaSnapshot(
            customer=customer,
            plan=plan,
            gateway_count=self.gateway_count,
            remaining_upper_bound=self.remaining_upper_bound,
            remaining_at=self.remaining_at,
            local_allowance=self.local_allowance,
            unreported_units=self.unreported_units,
            leased_units=self.leased_units,
            refill_rate=self.refill_rate,
            last_answer_at=self.last_answer_at,
            demand_rate=self.demand_rate,
            demand_at=self.demand_at,
            ceiling_allowance=self.ceiling_allowance,
            counted_usage=self.counted_usage,
            counted_lease=self.counted_lease,
            decayed_at=self.decayed_at,
            lease_success_rate=self.lease_success_rate,
        )
        self.leased_units = 0.0
        self.unreported_units = 0.0
        self.counted_lease = 0.0
        self.local_allowance = 0.0
        self.ceiling_allowance = 0.0
        return snapshot

    @classmethod
    def restore(cls, snapshot: CustomerQuotaSnapshot, plan: Plan, slot_duration: int) -> CustomerQuota:
        """Returns the quota that another process handed over."""
        quota = cls(plan, snapshot.gateway_count, slot_duration, snapshot.remaining_at)
        quota.remaining_upper_bound = snapshot.remaining_upper_bound
        quota.remaining_at = snapshot.remaining_at
        quota.local_allowance = snapshot.local_allowance
        quota.unreported_units = snapshot.unreported_units
        quota.leased_units = snapshot.leased_units
        quota.refill_rate = snapshot.refill_rate
        quota.last_answer_at = snapshot.last_answer_at
        quota.demand_rate = snapshot.demand_rate
        quota.demand_at = snapshot.demand_at
        quota.ceiling_allowance = snapshot.ceiling_allowance
        quota.counted_usage = snapshot.counted_usage
        quota.counted_lease = snapshot.counted_lease
        quota.decayed_at = snapshot.decayed_at
        quota.lease_success_rate = snapshot.lease_success_rate
        return quota
