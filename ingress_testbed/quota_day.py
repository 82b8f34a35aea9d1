"""A discrete-event simulation of a fleet's quotas, with a counter of limited capacity and uneven customers.

Events are handled in the order of their simulated times (microseconds) from one queue, and every draw comes
from one seed, so that the same seed gives the same figures. Each gateway is the real `Gateway`. Backends
answer well within the latency objective, so that only the quotas cause rejections and requests beyond them.
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
from typing import NamedTuple

from quota_ingress.policy.actions import AddToCounter, Reject, SendAttempt, SetTimer
from quota_ingress.policy.durations import SECOND
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

START = 1_700_000_000 * SECOND  # us; quota windows are named by Unix time
COUNTER_DELAY = (500, 2500)  # us in each direction between a gateway and the counter, with the gateway's work
LATENCY_OBJECTIVE = 3 * SECOND
DEADLINE = 9 * SECOND
LATENCY_FRACTION = (0.06, 0.14)  # range of backend latencies, as fractions of LATENCY_OBJECTIVE
ENDPOINTS = 200
DRAIN_SECONDS = 4  # simulated after the last arrival, for pending requests and calls
REFERENCE_FLEET = 200  # gateways of the fleet for which PLANS gives the numbers of customers


class PlanShare(NamedTuple):
    """A plan, and its number of customers in a fleet of REFERENCE_FLEET gateways."""

    plan: Plan
    customers: int


PLANS = (
    PlanShare(Plan("small", 0.6, 2.0, price=0.9, over_quota_cost=0.8), 750),
    PlanShare(Plan("middle", 1.8, 8.0, price=1.2, over_quota_cost=1.2), 390),
    PlanShare(Plan("large", 7.0, 10.0, price=1.4, over_quota_cost=1.2), 60),
)


class CustomerKind(NamedTuple):
    """A kind of customer; its demand is drawn as a multiple of the rate of its quota."""

    weight: float  # fraction of all customers
    lowest_demand: float
    highest_demand: float
    spike_factor: float  # multiplies the demand during a spike; 0: no spikes


CUSTOMER_KINDS = (
    CustomerKind(0.48, 0.3, 0.5, 0),
    CustomerKind(0.27, 0.9, 1.0, 0),
    CustomerKind(0.1, 1.9, 3.5, 0),
    CustomerKind(0.15, 0.3, 0.5, 12),
)
SPIKE_SECONDS = (1.5, 4.5)  # range of durations
MEAN_SPIKE_INTERVAL = 20.0  # s
TRAFFIC_SKEW = 1.35  # the n-th gateway of a customer has a weight of 1 / n ** TRAFFIC_SKEW in its traffic
SHIFT_INTERVAL = 6.0  # s after which another gateway of a customer's set gets the most traffic
SHIFT_STEP = 31  # positions in the set by which that gateway moves
CLIENT_RETRIES = 2
CLIENT_BACKOFF = 0.22  # s, of clients that ignore Retry-After
RETRYING_FRACTION = 0.8  # of rejected clients that have retries left
RETRY_AFTER_FRACTION = 0.63  # of retrying clients, which wait for the time that Retry-After gives


class Spike(NamedTuple):
    """A period in which a customer's demand is multiplied."""

    since: float  # s
    until: float  # s
    factor: float  # of the demand


@dataclass
class ExactBucket:
    """A token bucket that sees every unit at once, as reference for what a quota allows."""

    plan: Plan
    level: float  # units
    updated_at: float = 0.0  # s

    def take(self, at: float) -> bool:
        """Takes a unit at time `at` (s) if one is available; returns whether it was."""
        filled = self.level + self.plan.rate * (at - self.updated_at)
        self.level = min(self.plan.burst, filled)
        self.updated_at = at
        is_available = self.level >= 1
        self.level -= is_available
        return is_available


@dataclass
class Customer:
    """A customer with its demand, its gateways, and exact buckets of its quota."""

    number: int
    plan: int  # index into PLANS
    demand_rate: float  # units per second outside of spikes
    spikes: list[Spike]
    first_gateway: int
    gateway_count: int
    shift_offset: float  # s by which its shifts precede multiples of SHIFT_INTERVAL
    sent: ExactBucket  # counts all requests that the fleet sends to backends
    offered: ExactBucket  # counts all first requests, as a single gateway for the customer would

    def rate(self, at: float) -> float:
        """Returns the demand at time `at` (s), in units per second."""
        factors = (spike.factor for spike in self.spikes if spike.since <= at < spike.until)
        return self.demand_rate * next(factors, 1.0)

    def highest_rate(self) -> float:
        """Returns the highest demand at any time, in units per second."""
        return self.demand_rate * max((spike.factor for spike in self.spikes), default=1.0)


@dataclass
class Counter:
    """A counter whose partitions each serve calls one at a time, together `capacity` calls per second.

    A call that would wait longer than `max_wait` us is rejected. Names do not expire within a simulated day.
    """

    capacity: float
    max_wait: int
    partition_count: int = 1
    totals: dict[int, float] = field(default_factory=dict)
    free_at: list[float] = field(default_factory=list)  # us, by partition

    def __post_init__(self) -> None:
        self.free_at = [0.0] * self.partition_count

    def call(self, name: int, amount: float, now: int) -> tuple[int, Outcome, float]:
        """Adds `amount` to `name`; returns when the answer is ready (us), its outcome and the new total."""
        partition = name % self.partition_count
        if self.free_at[partition] - now > self.max_wait:
            return now, Outcome.REJECTED, 0.0
        self.free_at[partition] = (
            max(now, self.free_at[partition]) + self.partition_count * SECOND / self.capacity
        )
        self.totals[name] = self.totals.get(name, 0.0) + amount
        return int(self.free_at[partition]), Outcome.OK, self.totals[name]


@dataclass
class Day:
    """A simulated day of a fleet.

    Attributes:
        fleet_size: Number of gateways.
        seconds: Simulated time in which customers send requests.
        calls_per_s: Capacity of the counter.
        timeout: Timeout of a call to the counter, in us.
        max_wait: Longest queueing time at the counter, in us; a call that would wait longer is rejected.
        seed: Seed of all random draws.
        counts: Number of requests and counter calls, by kind. `tries` are requests that reached a gateway,
            `asks` counter calls that add units and `given back` those that return units.
        priced_totals: Prices of the first requests that an exact bucket admits (`offered`) and of those
            that the fleet sent inside the quotas (`inside`); cost of those sent beyond them (`over`).
    """

    fleet_size: int = 200
    seconds: float = 20.0
    calls_per_s: float = 1200.0
    timeout: int = 50_000
    max_wait: int = 80_000
    seed: int = 1
    counts: Tally[str] = field(default_factory=Tally)
    priced_totals: defaultdict[str, float] = field(default_factory=lambda: defaultdict(float))

    def __post_init__(self) -> None:
        self._rng = random.Random(self.seed)
        self._order = itertools.count()
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._now = 0
        self._request_numbers = itertools.count(1)
        self._requests: dict[int, tuple[Customer, int]] = {}  # with the retries so far
        self._sent_requests: set[int] = set()
        self._counter = Counter(self.calls_per_s, self.max_wait)
        self._weights = [0.0]
        for n in range(self.fleet_size):
            self._weights.append(self._weights[-1] + (n + 1) ** -TRAFFIC_SKEW)
        self._fleet = [
            Gateway(self._settings(index), self.seed * 10_000 + index) for index in range(self.fleet_size)
        ]

    def _settings(self, gateway: int) -> Settings:
        return Settings(
            gateway_index=gateway,
            fleet_size=self.fleet_size,
            zone=0,
            tick=1000,
            classes=(RequestClass("read", LATENCY_OBJECTIVE, DEADLINE, Idempotency.IDEMPOTENT),),
            plans=tuple(share.plan for share in PLANS),
            limits=Limits(max_attempts=6, may_cancel=True, max_retry_after=2 * SECOND),
            safety=Safety(8_000, 500_000, 0.15, 17 * SECOND, 2.0, SECOND),
            counter=CounterLimits(True, self.timeout, 0.005),
        )

    def play(self) -> dict[str, float]:
        """Runs the simulation and returns its figures.

        The parts inside and over quota are by price, as fractions of what one gateway that sees all requests
        would admit; rates are per second.
        """
        endpoints = tuple(
            ListedEndpoint(n, EndpointState.READY, 0, 0, 0, 1.0, 0) for n in range(1, ENDPOINTS + 1)
        )
        for gateway in range(self.fleet_size):
            self._handle(gateway, EndpointsListed(ListKind.FULL, 1, endpoints))
        for customer in self._customers():
            self._schedule_next_request(customer, 0.0)
        while self._events and self._events[0][0] < (self.seconds + DRAIN_SECONDS) * SECOND:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        return self._figures()

    def _figures(self) -> dict[str, float]:
        offered = max(1e-9, self.priced_totals["offered"])
        count = self.counts
        return {
            "inside_part": self.priced_totals["inside"] / offered,
            "over_quota_part": self.priced_totals["over"] / offered,
            "beyond_part": count["beyond"] / max(1, count["sent"]),
            "unheard_part": 1 - count["asks"] / max(1, count["tries"]),
            "tries_per_s_n": count["tries"] / self.seconds,
            "calls_per_s_n": count["calls"] / self.seconds,
            "turned_away_per_s_n": count["rejected calls"] / self.seconds,
            "given_back_per_s_n": count["given back"] / self.seconds,
        }

    def _customers(self) -> list[Customer]:
        return [
            self._draw_customer(plan)
            for plan, share in enumerate(PLANS)
            for _ in range(round(share.customers * self.fleet_size / REFERENCE_FLEET))
        ]

    def _draw_customer(self, plan_index: int) -> Customer:
        rng = self._rng
        plan = PLANS[plan_index].plan
        kind = rng.choices(CUSTOMER_KINDS, [k.weight for k in CUSTOMER_KINDS])[0]
        spikes = self._draw_spikes(kind)
        gateway_count = max(2, round(self.fleet_size * rng.uniform(0.5, 1.0)))
        first_gateway = rng.randrange(self.fleet_size)
        number = rng.getrandbits(33)
        demand_rate = plan.rate * rng.uniform(kind.lowest_demand, kind.highest_demand)
        return Customer(
            number=number,
            plan=plan_index,
            demand_rate=demand_rate,
            spikes=spikes,
            first_gateway=first_gateway,
            gateway_count=gateway_count,
            shift_offset=rng.uniform(0, SHIFT_INTERVAL),
            sent=ExactBucket(plan, plan.burst),
            offered=ExactBucket(plan, plan.burst),
        )

    def _draw_spikes(self, kind: CustomerKind) -> list[Spike]:
        rng = self._rng
        spikes = []
        at = rng.uniform(-3, MEAN_SPIKE_INTERVAL)
        while kind.spike_factor and at < self.seconds:
            until = at + rng.uniform(*SPIKE_SECONDS)
            spikes.append(Spike(at, until, float(kind.spike_factor)))
            at = until + rng.expovariate(1 / MEAN_SPIKE_INTERVAL)
        return spikes

    def _schedule(self, at: float, callback: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(self._now + 1, int(at)), next(self._order), callback))

    def _schedule_next_request(self, customer: Customer, at: float) -> None:
        """Schedules a customer's next first request after `at` (s), drawn by thinning.

        Candidates are drawn at the highest rate; each is kept with a probability of the rate at its time over
        the highest rate.
        """
        highest = customer.highest_rate()
        while (at := at + self._rng.expovariate(highest)) < self.seconds:
            if self._rng.random() * highest < customer.rate(at):
                self._schedule(at * SECOND, partial(self._send_to_gateway, customer, 0))
                self._schedule(at * SECOND, partial(self._schedule_next_request, customer, at))
                return

    def _send_to_gateway(self, customer: Customer, retries: int) -> None:
        at = self._now / SECOND
        if retries == 0 and customer.offered.take(at):
            self.priced_totals["offered"] += PLANS[customer.plan].plan.price
        gateway = self._draw_gateway(customer, at)
        number = next(self._request_numbers)
        self._requests[number] = customer, retries
        self.counts["tries"] += 1
        request = RequestArrived(
            request=number,
            request_class=0,
            plan=customer.plan,
            customer=customer.number,
            units=1.0,
            time_left=DEADLINE,
            first_gateway=customer.first_gateway,
            gateway_count=customer.gateway_count,
        )
        self._handle(gateway, request)

    def _draw_gateway(self, customer: Customer, at: float) -> int:
        drawn = self._rng.random() * self._weights[customer.gateway_count]
        position = bisect.bisect(self._weights, drawn) - 1
        shifts = int((at + customer.shift_offset) / SHIFT_INTERVAL) * SHIFT_STEP
        position = (position + shifts) % customer.gateway_count
        return (customer.first_gateway + position) % self.fleet_size

    def _handle(self, gateway: int, event: Event) -> None:
        for action in self._fleet[gateway].handle(START + self._now, event):
            match action:
                case SendAttempt(number, endpoint):
                    self._start_attempt(gateway, number, endpoint)
                case Reject(number, retry_after):
                    self._on_rejected(number, retry_after)
                case SetTimer(token, at):
                    self._schedule(at - START, partial(self._handle, gateway, TimerFired(token)))
                case AddToCounter(name, amount):
                    self.counts["calls"] += 1
                    self.counts["asks" if amount > 0 else "given back"] += 1
                    arrives_at = self._now + self._rng.randint(*COUNTER_DELAY)
                    self._schedule(arrives_at, partial(self._call_counter, gateway, name, amount, self._now))

    def _call_counter(self, gateway: int, name: int, amount: float, called_at: int) -> None:
        ready_at, outcome, total = self._counter.call(name, amount, self._now)
        self.counts["rejected calls"] += outcome is Outcome.REJECTED
        answered_at = ready_at + self._rng.randint(*COUNTER_DELAY)
        answer = CounterAnswered(name, outcome, total, answered_at - called_at)
        self._schedule(answered_at, partial(self._handle, gateway, answer))

    def _start_attempt(self, gateway: int, number: int, endpoint: int) -> None:
        customer, _ = self._requests[number]
        if number not in self._sent_requests:
            self._sent_requests.add(number)
            self._count_sent(customer)
        latency = int(LATENCY_OBJECTIVE * self._rng.uniform(*LATENCY_FRACTION))
        ended = AttemptEnded(number, 0, endpoint, Outcome.OK, latency, request_ended=True)
        self._schedule(self._now + latency, partial(self._handle, gateway, ended))

    def _count_sent(self, customer: Customer) -> None:
        plan = PLANS[customer.plan].plan
        is_within_quota = customer.sent.take(self._now / SECOND)
        self.counts["sent"] += 1
        if is_within_quota:
            self.priced_totals["inside"] += plan.price
        else:
            self.counts["beyond"] += 1
            self.priced_totals["over"] += plan.price * plan.over_quota_cost

    def _on_rejected(self, number: int, retry_after: int) -> None:
        customer, retries = self._requests.pop(number)
        if retries < CLIENT_RETRIES and self._rng.random() < RETRYING_FRACTION:
            is_honored = retry_after and self._rng.random() < RETRY_AFTER_FRACTION
            wait = (retry_after / SECOND if is_honored else CLIENT_BACKOFF) * self._rng.uniform(0.9, 1.1)
            self._schedule(self._now + wait * SECOND, partial(self._send_to_gateway, customer, retries + 1))


class Host:
    """Runs simulated days in a worker process, with the policy of the ingress under test."""

    def play(self, fleet_size: int, seconds: float, calls_per_s: float, seed: int) -> dict[str, float]:
        """Simulates one day and returns its figures; see `Day` for the arguments."""
        return Day(fleet_size, seconds, calls_per_s, seed=seed).play()
