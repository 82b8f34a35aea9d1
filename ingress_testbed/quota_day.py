"""Quotas of a whole fleet in simulated time: real modules, a counter with a capacity, uneven customers.

Nothing here waits: events go through one queue in the order of their moments (microseconds), every draw comes
from one seed, and the same seed gives the same day. Each gateway is the real `Gateway`; backends answer well
within the aims, so that what is refused or sent beyond a quota is the quota's own doing.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import random
from collections import Counter as Tally
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from quota_ingress.policy.actions import AddToCounter, Reject, SendAttempt, SetTimer
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    CounterAnswered,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import (
    CounterLimits,
    Idempotency,
    Limits,
    Plan,
    RequestClass,
    Safety,
    Settings,
)

SECOND = 1_000_000
EPOCH = 1_700_000_000 * SECOND  # the module names quota windows by Unix time
ONE_WAY = (500, 2500)  # us from a gateway to the counter, with its own part of the work
AIM, DEADLINE = 3 * SECOND, 9 * SECOND
PLANS = (  # what it lets a customer have, and customers of each in a fleet of 200
    (Plan("small", 0.6, 2.0, price=0.9, over_quota_cost=0.8), 750),
    (Plan("middle", 1.8, 8.0, price=1.2, over_quota_cost=1.2), 390),
    (Plan("large", 7.0, 10.0, price=1.4, over_quota_cost=1.2), 60),
)
# Customers by what they ask of their quota: part of all, from, to, and times that in a spike (0: none).
KINDS = ((0.48, 0.3, 0.5, 0), (0.27, 0.9, 1.0, 0), (0.1, 1.9, 3.5, 0), (0.15, 0.3, 0.5, 12))
SPIKE, SPIKES_EVERY = (1.5, 4.5), 20.0  # s
SKEW = 1.35  # of a customer's traffic over its gateways: the n-th gets 1 / n ** SKEW
SHIFT = 6.0  # s after which another gateway of its set is the first
RETRIES, BACK_OFF = 2, 0.22  # of clients: how often, and after how many s
TRY_AGAIN, HEED = 0.8, 0.63  # the part of them that does, and that waits as long as it is told


@dataclass
class Customer:
    number: int
    plan: int
    asked: float  # units a second
    spikes: list[tuple[float, float, float]]  # from, until (s), times what is asked
    first: int
    spread: int
    shifted: float  # s
    level: float  # units in the store that sees all sends
    level_at: float = 0.0
    offered: float = 0.0  # the same for one gateway that saw all first tries
    offered_at: float = 0.0

    def rate(self, at: float) -> float:
        return self.asked * next((times for since, until, times in self.spikes if since <= at < until), 1.0)


@dataclass
class Counter:
    """Parts that serve calls in turn, `capacity` a second in all; a call that would wait longer than `line`
    us is turned away. Names never end within a day.
    """

    capacity: float
    line: int
    parts: int = 1
    totals: dict[int, float] = field(default_factory=dict)
    free_at: list[float] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.free_at = [0.0] * self.parts

    def call(self, name: int, amount: float, now: int) -> tuple[int, Outcome, float]:
        """When the answer is ready, and what it says."""
        part = name % self.parts
        if self.free_at[part] - now > self.line:
            return now, Outcome.REJECTED, 0.0
        self.free_at[part] = max(now, self.free_at[part]) + self.parts * SECOND / self.capacity
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return int(self.free_at[part]), Outcome.OK, self.totals[name]


@dataclass
class Day:
    """`calls_per_s`: the counter's capacity; `timeout`, `line`: us, of a call and of the counter's queue."""

    fleet_size: int = 200
    seconds: float = 20.0
    calls_per_s: float = 1200.0
    timeout: int = 50_000
    line: int = 80_000
    seed: int = 1
    counts: Tally[str] = field(default_factory=Tally)
    worth: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))

    def __post_init__(self) -> None:
        self._chance, self._order = random.Random(self.seed), itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._now = 0
        self._numbers = itertools.count(1)
        self._requests: dict[int, tuple[Customer, int]] = {}  # and which try of it this is
        self._sent: set[int] = set()
        self._counter = Counter(self.calls_per_s, self.line)
        self._weights = [0.0]
        for n in range(self.fleet_size):
            self._weights.append(self._weights[-1] + (n + 1) ** -SKEW)
        self._fleet = [Gateway(self._settings(me), self.seed * 10_000 + me) for me in range(self.fleet_size)]

    def _settings(self, me: int) -> Settings:
        return Settings(
            gateway_index=me,
            fleet_size=self.fleet_size,
            zone=0,
            tick=1000,
            classes=(RequestClass("read", AIM, DEADLINE, Idempotency.IDEMPOTENT),),
            plans=tuple(plan for plan, _ in PLANS),
            limits=Limits(max_attempts=6, may_cancel=True, max_retry_after=2 * SECOND),
            safety=Safety(8_000, 500_000, 0.15, 17 * SECOND, 2.0, SECOND),
            counter=CounterLimits(True, self.timeout, 0.005),
        )

    def play(self) -> dict[str, float]:
        """Shares of what one gateway that saw all would let in, by worth; rates are a second."""
        for me in range(self.fleet_size):
            boxes = [ListedEndpoint(n, EndpointState.READY, 0, 0, 0, 1.0, 0) for n in range(1, 201)]
            self._handle(me, EndpointsListed(ListKind.FULL, 1, tuple(boxes)))
        for customer in self._customers():
            self._ask_next(customer, 0.0)
        while self._events and self._events[0][0] < (self.seconds + 4) * SECOND:
            self._now, _, what = heapq.heappop(self._events)
            what()
        offered, count = max(1e-9, self.worth["offered"]), self.counts
        return {
            "inside_part": self.worth["inside"] / offered,
            "over_quota_part": self.worth["over"] / offered,
            "beyond_part": count["beyond"] / max(1, count["sent"]),
            "unheard_part": 1 - count["asks"] / max(1, count["tries"]),
            "tries_per_s_n": count["tries"] / self.seconds,
            "calls_per_s_n": count["calls"] / self.seconds,
            "turned_away_per_s_n": count["turned away"] / self.seconds,
            "given_back_per_s_n": count["given back"] / self.seconds,
        }

    def _customers(self) -> list[Customer]:
        found, draw = [], self._chance
        for plan, (what, many) in enumerate(PLANS):
            for _ in range(round(many * self.fleet_size / 200)):
                _, low, high, spike = draw.choices(KINDS, [k[0] for k in KINDS])[0]
                at, spikes = draw.uniform(-3, SPIKES_EVERY), []
                while spike and at < self.seconds:
                    until = at + draw.uniform(*SPIKE)
                    spikes.append((at, until, float(spike)))
                    at = until + draw.expovariate(1 / SPIKES_EVERY)
                spread = max(2, round(self.fleet_size * draw.uniform(0.5, 1.0)))
                first, number = draw.randrange(self.fleet_size), draw.getrandbits(33)
                asked, shifted = what.rate * draw.uniform(low, high), draw.uniform(0, SHIFT)
                one = Customer(number, plan, asked, spikes, first, spread, shifted, what.burst)
                one.offered = what.burst
                found.append(one)
        return found

    def _at(self, when: float, what: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(self._now + 1, int(when)), next(self._order), what))

    def _ask_next(self, customer: Customer, at: float) -> None:
        """The next first try, by thinning: drawn at the highest rate, kept as likely as the rate then is."""
        highest = customer.asked * max((times for _, _, times in customer.spikes), default=1.0)
        while (at := at + self._chance.expovariate(highest)) < self.seconds:
            if self._chance.random() * highest < customer.rate(at):
                self._at(at * SECOND, partial(self._arrive, customer, 0))
                self._at(at * SECOND, partial(self._ask_next, customer, at))
                return

    def _arrive(self, customer: Customer, tried: int) -> None:
        plan, at = PLANS[customer.plan][0], self._now / SECOND
        if tried == 0:
            filled = customer.offered + plan.rate * (at - customer.offered_at)
            customer.offered, customer.offered_at = min(plan.burst, filled), at
            if customer.offered >= 1:
                customer.offered -= 1
                self.worth["offered"] += plan.price
        which = bisect.bisect(self._weights, self._chance.random() * self._weights[customer.spread]) - 1
        shifts = int((at + customer.shifted) / SHIFT) * 31
        gateway = (customer.first + (which + shifts) % customer.spread) % self.fleet_size
        number = next(self._numbers)
        self._requests[number] = customer, tried
        self.counts["tries"] += 1
        wish = RequestArrived(
            number, 0, customer.plan, customer.number, 1.0, DEADLINE, customer.first, customer.spread
        )
        self._handle(gateway, wish)

    def _handle(self, gateway: int, event: Event) -> None:
        for action in self._fleet[gateway].handle(EPOCH + self._now, event):
            match action:
                case SendAttempt(number, box):
                    self._send(gateway, number, box)
                case Reject(number, wait):
                    self._refused(number, wait)
                case SetTimer(token, at):
                    self._at(at - EPOCH, partial(self._handle, gateway, TimerFired(token)))
                case AddToCounter(name, amount):
                    self.counts["calls"] += 1
                    self.counts["asks" if amount > 0 else "given back"] += 1
                    arrives = self._now + self._chance.randint(*ONE_WAY)
                    self._at(arrives, partial(self._called, gateway, name, amount, self._now))

    def _called(self, gateway: int, name: int, amount: float, began: int) -> None:
        ready, outcome, total = self._counter.call(name, amount, self._now)
        self.counts["turned away"] += outcome is Outcome.REJECTED
        back = ready + self._chance.randint(*ONE_WAY)
        told = CounterAnswered(name, outcome, total, back - began)
        self._at(back, partial(self._handle, gateway, told))

    def _send(self, gateway: int, number: int, box: int) -> None:
        customer, _ = self._requests[number]
        plan, at = PLANS[customer.plan][0], self._now / SECOND
        if number not in self._sent:
            self._sent.add(number)
            filled = customer.level + plan.rate * (at - customer.level_at)
            customer.level, customer.level_at = min(plan.burst, filled), at
            inside = customer.level >= 1
            customer.level -= inside
            self.counts["sent"] += 1
            self.counts["beyond"] += not inside
            self.worth["inside" if inside else "over"] += plan.price * (1 if inside else plan.over_quota_cost)
        took = int(AIM * self._chance.uniform(0.06, 0.14))
        ended = AttemptEnded(number, 0, box, Outcome.OK, took, True)
        self._at(self._now + took, partial(self._handle, gateway, ended))

    def _refused(self, number: int, wait: int) -> None:
        customer, tried = self._requests.pop(number)
        if tried < RETRIES and self._chance.random() < TRY_AGAIN:
            heeds = wait and self._chance.random() < HEED
            back = (wait / SECOND if heeds else BACK_OFF) * self._chance.uniform(0.9, 1.1)
            self._at(self._now + back * SECOND, partial(self._arrive, customer, tried + 1))


class Host:
    """Plays days in a process of its own, with the program that is to be measured."""

    def play(self, fleet_size: int, seconds: float, calls_per_s: float, seed: int) -> dict[str, float]:
        return Day(fleet_size, seconds, calls_per_s, seed=seed).play()
