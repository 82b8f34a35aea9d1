"""A whole fleet in simulated time: real gateways, backends that queue, traffic that is uneven and bursts."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from quota_ingress.policy.actions import SendAttempt, SetTimer
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.events import AttemptEnded, Event, Outcome, TimerFired
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Plan, Safety
from tests.helpers import SECOND, arrival, backend, listed, settings

CORES, PLACES, START = 3, 63, 8 * SECOND  # of a backend; when the cold ones start
SAFETY = Safety(
    8000,
    500_000,
    initial_capacity_fraction=0.15,
    warmup_time=12 * SECOND,
    overload_multiple=2.0,
    overload_window=SECOND,
)
Got = list[tuple[int, float]]  # by a backend: when (us from the start of the cold ones), share of mean work


def present(age: int) -> float:  # the part of its capacity that the settings promise of a cold backend
    return min(
        1.0,
        SAFETY.initial_capacity_fraction + (1 - SAFETY.initial_capacity_fraction) * age / SAFETY.warmup_time,
    )


@dataclass
class Box:  # a backend, first come, first served; a cold one's cores are slower
    started: int = 0
    free: list[int] = field(default_factory=lambda: [0] * CORES)
    done: list[int] = field(default_factory=list)
    got: Got = field(default_factory=list)

    def take(self, now: int, work: float) -> int:
        """Time until `work` (us of a warm core) is done in microseconds, or -1 where it is full."""
        while self.done and self.done[0] <= now:
            heapq.heappop(self.done)
        if len(self.done) >= PLACES:
            return -1
        speed = present(now - self.started) if self.started else 1.0
        end = max(now, heapq.heappop(self.free)) + int(work / speed)
        heapq.heappush(self.free, end)
        heapq.heappush(self.done, end)
        return end - now


@dataclass
class Day:
    """`load`: of what the warm can do, `burst` times that in `span` (us from the start of the cold); `skew`:
    deviation of the logarithm of the gateways' traffic; `late`: us at most until a gateway has the list;
    `work`: us of a core for a mean request; `even`: all alike, else drawn; `restart`: us until a third of the
    gateways starts anew."""

    size: int
    seed: int = 0
    load: float = 0.6
    burst: float = 1.5
    span: tuple[int, int] = (0, 6 * SECOND)
    warm: int = 8
    cold: int = 4
    skew: float = 0.8
    late: int = SECOND
    work: int = 160_000
    even: bool = False
    restart: int = -1

    def __post_init__(self) -> None:
        self.chance, self.turns = random.Random(self.seed), itertools.count()
        self.heap: list[tuple[int, int, Callable[[int], None]]] = []
        self.works: list[float] = []
        self.tries: dict[tuple[int, int], int] = {}
        self.capacity = CORES * SECOND / self.work  # requests a second that a warm backend can do
        self.served = 0.0  # part of the requests

    def at(self, when: int, what: Callable[[int], None]) -> None:
        heapq.heappush(self.heap, (when, next(self.turns), what))

    def gateway(self, me: int) -> Gateway:
        free, seed = (Plan("free", rate=0.0, burst=0.0),), self.chance.getrandbits(30)
        return Gateway(settings(gateway_index=me, fleet_size=self.size, plans=free, safety=SAFETY), seed)

    def play(self) -> Day:
        cold = [backend(100 + n, started_at=START) for n in range(self.cold)]
        every = [*(backend(n) for n in range(self.warm)), *cold]
        self.boxes = {info.id: Box(info.started_at) for info in every}
        self.fleet: list[Gateway] = []
        for me in range(self.size):
            self.fleet.append(self.gateway(me))
            self.handle(me, 0, listed(*every[: self.warm]))
            news = partial(self.handle, me, event=listed(*cold, kind=ListKind.DELTA))
            self.at(START + self.chance.randrange(1, self.late), news)
        weights = [math.exp(self.chance.gauss(0, self.skew)) for _ in self.fleet]

        def arrive(now: int) -> None:
            self.works.append(self.work if self.even else self.chance.expovariate(1 / self.work))
            self.handle(self.chance.choices(range(self.size), weights)[0], now, arrival(len(self.works) - 1))
            strength = self.burst if self.span[0] <= now - START < self.span[1] else 1.0
            rate = self.load * strength * self.warm * self.capacity / SECOND
            self.at(now + 1 + int(self.chance.expovariate(rate)), arrive)

        def restart(now: int) -> None:
            for me in range(0, self.size, 3):
                self.fleet[me] = self.gateway(me)
                self.handle(me, now, listed(*every))

        self.at(1, arrive)
        if self.restart >= 0:
            self.at(START + self.restart, restart)
        while self.heap[0][0] < START + SAFETY.warmup_time:
            now, _, what = heapq.heappop(self.heap)
            what(now)
        self.served /= len(self.works)
        return self

    def handle(self, me: int, now: int, event: Event) -> None:
        gateway = self.fleet[me]
        for action in gateway.handle(now, event):
            if isinstance(action, SetTimer):
                fired = partial(self.handle, me, event=TimerFired(action.token))
                self.at(max(now + 1, action.at), fired)
            elif isinstance(action, SendAttempt):
                self.send(me, gateway, now, action)

    def send(self, me: int, gateway: Gateway, now: int, sent: SendAttempt) -> None:
        number = self.tries[me, sent.request] = self.tries.get((me, sent.request), -1) + 1
        box, work = self.boxes[sent.endpoint], self.works[sent.request]
        box.got.append((now - START, work / self.work))
        took = box.take(now, work)
        outcome = Outcome.OK if took <= sent.timeout else Outcome.TIMEOUT
        outcome = Outcome.REJECTED if took < 0 else outcome
        took, fine = min(max(took, 1000), sent.timeout), outcome is Outcome.OK
        ended = AttemptEnded(sent.request, number, sent.endpoint, outcome, took, fine)

        def end(now: int) -> None:
            self.served += fine
            if self.fleet[me] is gateway:  # has not been restarted
                self.handle(me, now, ended)

        self.at(now + took, end)

    def excess(self) -> list[float]:
        """By cold backend: the most mean requests beyond N + 2 root N + 2 in a span of `fall`."""
        return [max(map(self.over, spans(self.boxes[100 + n].got)), default=0.0) for n in range(self.cold)]

    def over(self, span: tuple[int, float]) -> float:
        budget = (
            SAFETY.overload_multiple * present(span[0]) * self.capacity * SAFETY.overload_window / SECOND
        )  # N
        return span[1] - budget - 2 * math.sqrt(budget) - 2

    def part(self, begin: int, until: int) -> float:
        """What a cold backend got of what a warm one did, in a time counted from the start."""
        got = [sum(units for when, units in b.got if begin <= when < until) for b in self.boxes.values()]
        return sum(got[self.warm :]) / self.cold / (sum(got[: self.warm]) / self.warm)


def spans(got: Got) -> list[tuple[int, float]]:  # the end of each, and the work that came in it
    found, work, first = [], 0.0, 0
    for when, units in got:
        work += units
        while got[first][0] <= when - SAFETY.overload_window:
            work, first = work - got[first][1], first + 1
        found.append((when, work))
    return found
