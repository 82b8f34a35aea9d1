"""The quotas of a whole fleet on a quiet day, beside a policy that sees the true buckets, but late."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace

import pytest

from quota_ingress.policy.actions import AddToCounter, SendAttempt, SetTimer
from quota_ingress.policy.events import (
    AttemptEnded,
    CounterAnswered,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Plan
from tests.helpers import SECOND, endpoint_entry, endpoints_listed, settings

CALL_LATENCY = SECOND // 100  # us, of the counter
ANSWER_LATENCY = SECOND // 10  # us, of the endpoints
VIEW_AGE = SECOND // 5  # us, of the true state that the other policy sees
PLANS = (Plan("small", 0.8, burst=3.0), Plan("mid", 2.0, burst=8.0), Plan("big", 8.0, burst=12.0))
# Demand as a fraction of the quota, by customer: most use little of it.
DEMAND = (0.3, 0.3, 0.3, 0.3, 0.95, 0.3, 0.95, 0.3, 0.3, 2.7)


@dataclass
class TrueBucket:
    """A customer's bucket as it is, and what was sent by it and beyond it."""

    plan: Plan
    units: float = 0.0
    updated_at: int = 0
    within_quota: int = 0
    beyond_quota: int = 0
    history: list[tuple[int, float]] = field(default_factory=list)  # moments, and the units then

    def remaining(self, now: int) -> float:
        return min(self.plan.burst, self.units + (now - self.updated_at) / SECOND * self.plan.rate)

    def send(self, now: int) -> None:
        remaining = self.remaining(now)
        self.within_quota += remaining >= 1
        self.beyond_quota += remaining < 1
        self.units = remaining - (remaining >= 1)
        self.updated_at = now
        self.history.append((now, self.units))

    def remaining_seen_late(self, now: int) -> float:
        then = now - VIEW_AGE
        earlier = ((at, units) for at, units in reversed(self.history) if at <= then)
        at, units = next(earlier, (then, self.plan.burst))
        return min(self.plan.burst, units + (then - at) / SECOND * self.plan.rate)


def arrivals(size: int, seconds: int) -> list[tuple[int, int, int]]:
    """Returns moments, gateways and customers: at random moments, unevenly over a customer's gateways."""
    rng = random.Random(7)
    found = []
    for customer, demand in enumerate(DEMAND * 5):
        rate = PLANS[customer % len(PLANS)].rate * demand
        gateway_count = rng.randint(size // 2, size)
        now = float(SECOND)
        while (now := now + rng.expovariate(rate / SECOND)) < (1 + seconds) * SECOND:
            gateway = (customer + int(gateway_count * rng.random() ** 2)) % size
            found.append((int(now), gateway, customer))
    return sorted(found)


def full_buckets() -> list[TrueBucket]:
    return [TrueBucket(PLANS[n % 3], PLANS[n % 3].burst) for n in range(len(DEMAND) * 5)]


def fleet_sends(size: int, arrived: list[tuple[int, int, int]], buckets: list[TrueBucket]) -> None:
    """Runs a fleet of gateways with a counter and endpoints that have a latency."""
    made = settings(fleet_size=size, plans=PLANS)
    fleet = [Gateway(replace(made, gateway_index=n), n) for n in range(size)]
    totals: dict[int, float] = {}
    order = itertools.count()
    customers = [customer for _, _, customer in arrived]
    events: list[tuple[int, int, int, Event]] = []

    def schedule(at: int, gateway: int, event: Event) -> None:
        heapq.heappush(events, (at, next(order), gateway, event))

    for number, (at, gateway, customer) in enumerate(arrived):
        plan = customer % len(PLANS)
        request = RequestArrived(number, 0, plan, customer, 1.0, 3 * SECOND, customer % size, size)
        schedule(at, gateway, request)
    for gateway in range(size):
        schedule(0, gateway, endpoints_listed(*(endpoint_entry(n) for n in range(1, 25))))
    sent: set[int] = set()
    while events:
        now, _, gateway, event = heapq.heappop(events)
        for action in fleet[gateway].handle(now, event):
            match action:
                case AddToCounter(name, amount):
                    totals[name] = totals.get(name, 0.0) + amount
                    total = CounterAnswered(name, Outcome.OK, totals[name], CALL_LATENCY)
                    schedule(now + CALL_LATENCY, gateway, total)
                case SetTimer(token, at):
                    schedule(max(now, at), gateway, TimerFired(token))
                case SendAttempt(number, endpoint) if number not in sent:
                    sent.add(number)
                    buckets[customers[number]].send(now)
                    answer = AttemptEnded(number, 0, endpoint, Outcome.OK, ANSWER_LATENCY, True)
                    schedule(now + ANSWER_LATENCY, gateway, answer)


@pytest.mark.parametrize("size", [3, 30])
def test_on_a_quiet_day_the_fleet_sends_hardly_more_beyond_quotas_than_one_that_sees_the_buckets_late(
    size: int,
) -> None:
    arrived = arrivals(size, 20)
    ours = full_buckets()
    late = full_buckets()
    fleet_sends(size, arrived, ours)
    for now, _, customer in arrived:
        if late[customer].remaining_seen_late(now) >= 1:
            late[customer].send(now)
    offered = len(arrived) - sum(max(0.0, DEMAND[n % 10] - 1) * s.plan.rate * 20 for n, s in enumerate(ours))
    cost = [sum(bucket.beyond_quota for bucket in buckets) / offered for buckets in (ours, late)]
    served = [sum(bucket.within_quota for bucket in buckets) / offered for buckets in (ours, late)]
    assert cost[0] <= cost[1] + 0.1
    assert served[0] > 0.8 * served[1]  # and not by sending nothing
