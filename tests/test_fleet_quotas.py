"""A simulated fleet at low load, compared with a policy that sees exact token buckets with a delay."""

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
VIEW_DELAY = SECOND // 5  # us after which the reference policy sees the state of a bucket
PLANS = (Plan("small", 0.8, burst=3.0), Plan("mid", 2.0, burst=8.0), Plan("big", 8.0, burst=12.0))
# Demand as a fraction of the quota's rate, by customer; most customers use a small part of their quota.
DEMAND = (0.3, 0.3, 0.3, 0.3, 0.95, 0.3, 0.95, 0.3, 0.3, 2.7)


@dataclass
class TrueBucket:
    """A customer's exact token bucket, with the numbers of requests sent within and beyond the quota."""

    plan: Plan
    units: float = 0.0
    updated_at: int = 0
    within_quota: int = 0
    beyond_quota: int = 0
    history: list[tuple[int, float]] = field(default_factory=list)  # times (us), and the units left at them

    def remaining(self, now: int) -> float:
        return min(self.plan.burst, self.units + (now - self.updated_at) / SECOND * self.plan.rate)

    def send(self, now: int) -> None:
        remaining = self.remaining(now)
        self.within_quota += remaining >= 1
        self.beyond_quota += remaining < 1
        self.units = remaining - (remaining >= 1)
        self.updated_at = now
        self.history.append((now, self.units))

    def delayed_remaining(self, now: int) -> float:
        seen_at = now - VIEW_DELAY
        visible_history = ((at, units) for at, units in reversed(self.history) if at <= seen_at)
        at, units = next(visible_history, (seen_at, self.plan.burst))
        return min(self.plan.burst, units + (seen_at - at) / SECOND * self.plan.rate)


def arrivals(size: int, seconds: int) -> list[tuple[int, int, int]]:
    """Returns the time (us), gateway and customer of each request, in order of time.

    Times are drawn at random; a customer's requests are spread unevenly over its gateways.
    """
    rng = random.Random(7)
    requests = []
    for customer, demand in enumerate(DEMAND * 5):
        rate = PLANS[customer % len(PLANS)].rate * demand
        gateway_count = rng.randint(size // 2, size)
        now = float(SECOND)
        while (now := now + rng.expovariate(rate / SECOND)) < (1 + seconds) * SECOND:
            gateway = (customer + int(gateway_count * rng.random() ** 2)) % size
            requests.append((int(now), gateway, customer))
    return sorted(requests)


def full_buckets() -> list[TrueBucket]:
    return [TrueBucket(PLANS[n % 3], PLANS[n % 3].burst) for n in range(len(DEMAND) * 5)]


def run_fleet(size: int, requests: list[tuple[int, int, int]], buckets: list[TrueBucket]) -> None:
    """Plays the requests through a fleet of gateways; the counter and the endpoints answer with a latency."""
    base_settings = settings(fleet_size=size, plans=PLANS)
    fleet = [Gateway(replace(base_settings, gateway_index=n), n) for n in range(size)]
    totals: dict[int, float] = {}
    order = itertools.count()
    customers = [customer for _, _, customer in requests]
    events: list[tuple[int, int, int, Event]] = []

    def schedule(at: int, gateway: int, event: Event) -> None:
        heapq.heappush(events, (at, next(order), gateway, event))

    for number, (at, gateway, customer) in enumerate(requests):
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
def test_at_low_load_the_fleet_exceeds_quotas_hardly_more_than_a_policy_with_delayed_exact_buckets(
    size: int,
) -> None:
    requests = arrivals(size, 20)
    fleet_buckets = full_buckets()
    reference_buckets = full_buckets()
    run_fleet(size, requests, fleet_buckets)
    for now, _, customer in requests:
        if reference_buckets[customer].delayed_remaining(now) >= 1:
            reference_buckets[customer].send(now)
    offered = len(requests) - sum(
        max(0.0, DEMAND[n % 10] - 1) * bucket.plan.rate * 20 for n, bucket in enumerate(fleet_buckets)
    )
    beyond_part = [
        sum(bucket.beyond_quota for bucket in buckets) / offered
        for buckets in (fleet_buckets, reference_buckets)
    ]
    within_part = [
        sum(bucket.within_quota for bucket in buckets) / offered
        for buckets in (fleet_buckets, reference_buckets)
    ]
    assert beyond_part[0] <= beyond_part[1] + 0.1
    assert within_part[0] > 0.8 * within_part[1]  # few requests beyond quotas must not come from sending few
