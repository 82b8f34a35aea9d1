"""A fleet in simulated time: real gateways, endpoints with queues, uneven traffic with bursts."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import NamedTuple

from quota_ingress.policy.actions import SendAttempt, SetTimer
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.events import AttemptEnded, Event, Outcome, TimerFired
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Safety
from tests.helpers import SECOND, UNLIMITED_PLANS, arrival, endpoint_entry, endpoints_listed, settings

CORES = 3  # per endpoint
MAX_REQUESTS = 63  # per endpoint, queued or in service
WARMING_START = 8 * SECOND  # us; when the warming endpoints start
FIRST_WARMING_ID = 100
MIN_LATENCY = 1000  # us
SAFETY = Safety(
    8000,
    500_000,
    initial_capacity_fraction=0.15,
    warmup_time=12 * SECOND,
    overload_multiple=2.0,
    overload_window=SECOND,
)


class ReceivedWork(NamedTuple):
    """The work of one request that an endpoint received, or the total in a window."""

    at: int  # us from WARMING_START
    requests: float  # work, in multiples of the mean request


def capacity_fraction(age: int) -> float:
    """Returns the fraction of full capacity that SAFETY assumes `age` us after an endpoint's start."""
    initial = SAFETY.initial_capacity_fraction
    return min(1.0, initial + (1 - initial) * age / SAFETY.warmup_time)


@dataclass
class SimulatedEndpoint:
    """Serves requests in order of arrival; its cores are slower while it warms up."""

    started_at: int = 0  # us; 0: warm from the beginning
    cores_free_at: list[int] = field(default_factory=lambda: [0] * CORES)
    ends: list[int] = field(default_factory=list)  # us; of the requests queued or in service, a heap
    received: list[ReceivedWork] = field(default_factory=list)

    def serve(self, now: int, work: float) -> int:
        """Returns the us until `work` (us on a warm core) is done, or -1 if the queue is full."""
        while self.ends and self.ends[0] <= now:
            heapq.heappop(self.ends)
        if len(self.ends) >= MAX_REQUESTS:
            return -1
        speed = capacity_fraction(now - self.started_at) if self.started_at else 1.0
        end = max(now, heapq.heappop(self.cores_free_at)) + int(work / speed)
        heapq.heappush(self.cores_free_at, end)
        heapq.heappush(self.ends, end)
        return end - now


@dataclass
class FleetSimulation:
    """Simulates a fleet from time 0 to the end of the warm-up."""

    gateway_count: int
    seed: int = 0
    load: float = 0.6  # fraction of the capacity of the warm endpoints
    burst: float = 1.5  # factor on the load within `burst_span`
    burst_span: tuple[int, int] = (0, 6 * SECOND)  # us from WARMING_START: begin, end
    warm_count: int = 8
    warming_count: int = 4
    traffic_skew: float = 0.8  # standard deviation of the logarithm of the traffic per gateway
    max_list_delay: int = SECOND  # us from WARMING_START until the last gateway has received the new list
    mean_work: int = 160_000  # us on a warm core
    equal_work: bool = False  # every request has the mean work; otherwise work is exponentially distributed
    restart_after: int = (
        -1
    )  # us from WARMING_START until a third of the gateways restarts; negative: no restart

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.sequence = itertools.count()
        self.schedule: list[tuple[int, int, Callable[[int], None]]] = []
        self.works: list[float] = []  # us on a warm core, by request
        self.last_attempts: dict[tuple[int, int], int] = {}  # attempt number by gateway and request
        self.capacity = CORES * SECOND / self.mean_work  # requests per second of a warm endpoint
        self.served = 0.0  # fraction of the requests

    def play(self) -> FleetSimulation:
        warming = [
            endpoint_entry(FIRST_WARMING_ID + n, started_at=WARMING_START) for n in range(self.warming_count)
        ]
        warm = [endpoint_entry(n) for n in range(self.warm_count)]
        self.endpoints = {entry.id: SimulatedEndpoint(entry.started_at) for entry in [*warm, *warming]}
        self.gateways: list[Gateway] = []
        for index in range(self.gateway_count):
            self.gateways.append(self._make_gateway(index))
            self._handle(index, 0, endpoints_listed(*warm))
            change = partial(self._handle, index, event=endpoints_listed(*warming, kind=ListKind.DELTA))
            self._at(WARMING_START + self.rng.randrange(1, self.max_list_delay), change)
        weights = [math.exp(self.rng.gauss(0, self.traffic_skew)) for _ in self.gateways]

        def restart(now: int) -> None:
            for index in range(0, self.gateway_count, 3):
                self.gateways[index] = self._make_gateway(index)
                self._handle(index, now, endpoints_listed(*warm, *warming))

        self._at(1, partial(self._arrive, weights))
        if self.restart_after >= 0:
            self._at(WARMING_START + self.restart_after, restart)
        while self.schedule[0][0] < WARMING_START + SAFETY.warmup_time:
            now, _, callback = heapq.heappop(self.schedule)
            callback(now)
        self.served /= len(self.works)
        return self

    def _at(self, when: int, callback: Callable[[int], None]) -> None:
        heapq.heappush(self.schedule, (when, next(self.sequence), callback))

    def _make_gateway(self, index: int) -> Gateway:
        seed = self.rng.getrandbits(30)
        gateway_settings = settings(
            gateway_index=index, fleet_size=self.gateway_count, plans=UNLIMITED_PLANS, safety=SAFETY
        )
        return Gateway(gateway_settings, seed)

    def _arrive(self, weights: list[float], now: int) -> None:
        work = self.mean_work if self.equal_work else self.rng.expovariate(1 / self.mean_work)
        self.works.append(work)
        (gateway,) = self.rng.choices(range(self.gateway_count), weights)
        self._handle(gateway, now, arrival(len(self.works) - 1))
        begin, end = self.burst_span
        factor = self.burst if begin <= now - WARMING_START < end else 1.0
        rate = self.load * factor * self.warm_count * self.capacity / SECOND
        self._at(now + 1 + int(self.rng.expovariate(rate)), partial(self._arrive, weights))

    def _handle(self, index: int, now: int, event: Event) -> None:
        gateway = self.gateways[index]
        for action in gateway.handle(now, event):
            if isinstance(action, SetTimer):
                fired = partial(self._handle, index, event=TimerFired(action.token))
                self._at(max(now + 1, action.at), fired)
            elif isinstance(action, SendAttempt):
                self._send(index, gateway, now, action)

    def _send(self, index: int, gateway: Gateway, now: int, sent: SendAttempt) -> None:
        number = self.last_attempts.get((index, sent.request), -1) + 1
        self.last_attempts[index, sent.request] = number
        endpoint = self.endpoints[sent.endpoint]
        work = self.works[sent.request]
        endpoint.received.append(ReceivedWork(now - WARMING_START, work / self.mean_work))
        latency = endpoint.serve(now, work)
        outcome = Outcome.OK if latency <= sent.timeout else Outcome.TIMEOUT
        outcome = Outcome.REJECTED if latency < 0 else outcome
        latency = min(max(latency, MIN_LATENCY), sent.timeout)
        is_ok = outcome is Outcome.OK
        ended = AttemptEnded(sent.request, number, sent.endpoint, outcome, latency, is_ok)

        def end(now: int) -> None:
            self.served += is_ok
            if self.gateways[index] is gateway:  # the gateway has not been restarted
                self._handle(index, now, ended)

        self._at(now + latency, end)

    def overloads(self) -> list[float]:
        """Returns, by warming endpoint, the largest excess over N + 2 sqrt(N) + 2 in an overload window.

        N is the number of mean requests that the settings allow in the window. The margin of 2 sqrt(N) + 2
        allows for random arrivals.
        """
        return [
            max(
                map(self._overload, overload_windows(self.endpoints[FIRST_WARMING_ID + n].received)),
                default=0.0,
            )
            for n in range(self.warming_count)
        ]

    def _overload(self, window: ReceivedWork) -> float:
        max_load = SAFETY.overload_multiple * capacity_fraction(window.at)
        budget = max_load * self.capacity * SAFETY.overload_window / SECOND  # N
        return window.requests - budget - 2 * math.sqrt(budget) - 2

    def warming_share(self, begin: int, end: int) -> float:
        """Returns the work per warming endpoint relative to a warm one; times in us from WARMING_START."""
        received = [
            sum(work.requests for work in endpoint.received if begin <= work.at < end)
            for endpoint in self.endpoints.values()
        ]
        warming = sum(received[self.warm_count :]) / self.warming_count
        return warming / (sum(received[: self.warm_count]) / self.warm_count)


def overload_windows(received: list[ReceivedWork]) -> list[ReceivedWork]:
    """Returns, for each request, the end and the total work of the overload window that ends with it."""
    totals: list[ReceivedWork] = []
    total = 0.0
    first = 0
    for work in received:
        total += work.requests
        while received[first].at <= work.at - SAFETY.overload_window:
            total -= received[first].requests
            first += 1
        totals.append(ReceivedWork(work.at, total))
    return totals
