"""The quotas of a whole fleet on a quiet day, beside a policy that sees the true stores, but late."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field, replace
from typing import Any

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
from tests.helpers import SECOND, backend, listed, settings

CALL = SECOND // 100  # a call to the counter takes this long
ANSWER = SECOND // 10  # a backend's answer takes this long
LATE = SECOND // 5  # how old the true state is that the other policy sees
PLANS = (Plan("small", 0.8, burst=3.0), Plan("mid", 2.0, burst=8.0), Plan("big", 8.0, burst=12.0))
# Of the quota, by customer: most use little of it.
ASKED = (0.3, 0.3, 0.3, 0.3, 0.95, 0.3, 0.95, 0.3, 0.3, 2.7)


@dataclass
class Store:
    """What the quota itself says, whoever sends."""

    plan: Plan
    level: float = 0.0
    at: int = 0
    inside: int = 0
    beyond: int = 0
    seen: list[tuple[int, float]] = field(default_factory=list)  # when, and what it held then

    def room(self, now: int) -> float:
        return min(self.plan.burst, self.level + (now - self.at) / SECOND * self.plan.rate)

    def send(self, now: int) -> None:
        room = self.room(now)
        self.inside, self.beyond = self.inside + (room >= 1), self.beyond + (room < 1)
        self.level, self.at = room - (room >= 1), now
        self.seen.append((now, self.level))

    def seen_late(self, now: int) -> float:
        then = now - LATE
        before = ((at, level) for at, level in reversed(self.seen) if at <= then)
        at, level = next(before, (then, self.plan.burst))
        return min(self.plan.burst, level + (then - at) / SECOND * self.plan.rate)


def arrivals(size: int, seconds: int) -> list[tuple[int, int, int]]:
    """When, through which gateway and of which customer: at chance moments, unevenly over its gateways."""
    chance, found = random.Random(7), []
    for customer, asked in enumerate(ASKED * 5):
        rate = PLANS[customer % len(PLANS)].rate * asked
        spread, now = chance.randint(size // 2, size), float(SECOND)
        while (now := now + chance.expovariate(rate / SECOND)) < (1 + seconds) * SECOND:
            at = (customer + int(spread * chance.random() ** 2)) % size
            found.append((int(now), at, customer))
    return sorted(found)


def fleet_sends(size: int, asked: list[tuple[int, int, int]], stores: list[Store]) -> None:
    """Real modules, with a counter and backends that take their time."""
    made = settings(fleet_size=size, plans=PLANS)
    fleet = [Gateway(replace(made, gateway_index=n), n) for n in range(size)]
    totals: dict[int, float] = {}
    order, whose = itertools.count(), [customer for _, _, customer in asked]
    events: list[tuple[int, int, int, Event]] = []

    def later(at: int, gateway: int, event: Event) -> None:
        heapq.heappush(events, (at, next(order), gateway, event))

    for number, (at, gateway, customer) in enumerate(asked):
        plan = customer % len(PLANS)
        wish = RequestArrived(number, 0, plan, customer, 1.0, 3 * SECOND, customer % size, size)
        later(at, gateway, wish)
    for gateway in range(size):
        later(0, gateway, listed(*(backend(n) for n in range(1, 25))))
    tried: set[int] = set()
    while events:
        now, _, gateway, event = heapq.heappop(events)
        for action in fleet[gateway].handle(now, event):
            match action:
                case AddToCounter(name, amount):
                    totals[name] = totals.get(name, 0.0) + amount
                    later(now + CALL, gateway, CounterAnswered(name, Outcome.OK, totals[name], CALL))
                case SetTimer(token, at):
                    later(max(now, at), gateway, TimerFired(token))
                case SendAttempt(request, server) if request not in tried:
                    tried.add(request)
                    stores[whose[request]].send(now)
                    answer: Any = AttemptEnded(request, 0, server, Outcome.OK, ANSWER, True)
                    later(now + ANSWER, gateway, answer)


@pytest.mark.parametrize("size", [3, 30])
def test_on_a_quiet_day_the_fleet_passes_hardly_more_beyond_quotas_than_one_that_sees_them_late(
    size: int,
) -> None:
    asked = arrivals(size, 20)
    ours, late = ([Store(PLANS[n % 3], PLANS[n % 3].burst) for n in range(len(ASKED) * 5)] for _ in range(2))
    fleet_sends(size, asked, ours)
    for now, _, customer in asked:
        if late[customer].seen_late(now) >= 1:
            late[customer].send(now)
    offered = len(asked) - sum(max(0.0, ASKED[n % 10] - 1) * s.plan.rate * 20 for n, s in enumerate(ours))
    cost = [sum(store.beyond for store in stores) / offered for stores in (ours, late)]
    served = [sum(store.inside for store in stores) / offered for stores in (ours, late)]
    assert cost[0] <= cost[1] + 0.1
    assert served[0] > 0.8 * served[1]  # and not by sending nothing
