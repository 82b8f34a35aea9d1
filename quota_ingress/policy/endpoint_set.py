"""The endpoints of this gateway's subset: what has been learned of each, and the choice among them."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.settings import Settings
from quota_ingress.policy.subsetting import deal

FIRST_LIMIT = 16.0  # attempts out at a backend by all gateways to begin with: a few a core
TARGET = 0.32  # latency, as a share of the aim, at which a backend counts as full: tails run three times that
COLD_PART = 0.8  # of the cold budget that is used: requests differ in work, and lists come at different times
SLOWER = 2.0  # times the usual latency: a cold backend takes longer; one that takes more than this gets less
TURNED_AWAY = 0.5  # of a request, for the cold: at twice what the warm can do, all is their whole budget
FAILED = 4.0  # times the usual latency: what an error or no answer is taken for
MEMORY = 5.0  # s that a backend's slowness is remembered: some tens of answers; longer if few come
LOOK = 16  # backends looked at for a request: all of a small fleet, of a large one enough to find a good one
BROKEN = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


@dataclass(slots=True)
class Endpoint:
    info: ListedEndpoint
    limit: float = 0.0  # attempts out at once
    slow: list[float] = field(default_factory=list)  # by class: latency over the usual; FAILED if none came
    out: int = 0
    seen_at: int = 0  # its last answer, or the lack of one
    turn: float = 0.0  # of a cold one: the part of a request that has fallen to it
    load: float = 0.0  # the last report of how busy it is
    load_at: int = -SECOND


class Candidates:
    """Backends to choose among: one joins or leaves at the same cost whatever their number."""

    def __init__(self) -> None:
        self.members: list[Endpoint] = []
        self.places: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.members)

    def put(self, backend: Endpoint, inside: bool) -> None:
        number = backend.info.id
        if inside and number not in self.places:
            self.places[number] = len(self.members)
            self.members.append(backend)
        elif not inside and (place := self.places.pop(number, None)) is not None:
            last = self.members.pop()
            if last is not backend:
                self.members[place], self.places[last.info.id] = last, place


class EndpointSet:
    """The list as told; of the backends in this gateway's subset, what has been learned of each."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng, self.first = settings, rng, FIRST_LIMIT / settings.fleet_size
        self.told: dict[int, ListedEndpoint] = {}
        self.told_ready = 0  # of these
        self.total = 0  # ready ones in all, also where the list told is but a part
        self.subset = deal(settings.gateway_index, settings.fleet_size, 0)
        self.backends: dict[int, Endpoint] = {}  # those held
        self.ready = Candidates()
        self.own = Candidates()  # of these, the ones that this gateway keeps to while they have room
        self.usual = [0.0] * len(settings.classes)  # usual latency of an answer, by class
        self.typical = [1.0] * len(settings.classes)  # what `slow` is on average
        self.out, self.more = 0, 0.0
        self.missed = 0.0  # requests a backend that were turned away since the last that was not

    def used(self) -> float:  # the part out of what may be out at all backends: one at each jams them
        fails = min((t for t, u in zip(self.typical, self.usual, strict=True) if u), default=1.0)
        pooled = (1 + self.first * self.total / 2) / fails + self.more  # less if every class fails
        if self.first >= 1:
            pooled = sum(b.limit for b in self.ready.members) * self.total / max(1, len(self.ready))
        return self.out / max(1.0, pooled)

    def listed(self, event: EndpointsListed) -> None:
        """A change costs as much as it changes, and a pass over all where they are told or dealt anew."""
        whole = event.kind in (ListKind.FULL, ListKind.CACHED)
        named = dict.fromkeys(info.id for info in event.endpoints)
        gone = [n for n in self.told if n not in named] if whole else []
        for number in gone:
            self.tell(number, None)
        for info in event.endpoints:
            self.tell(info.id, info)
        self.total, before = event.ready_total or self.told_ready, self.subset
        self.subset = deal(self.settings.gateway_index, self.settings.fleet_size, self.total, before)
        for number in gone:
            self.settle(number)
        for number in named if self.subset == before else named | dict.fromkeys(self.told):
            self.settle(number)

    def tell(self, number: int, info: ListedEndpoint | None) -> None:
        was = self.told.get(number)
        self.told_ready -= was is not None and was.state is EndpointState.READY
        if info and info.state is not EndpointState.REMOVED:
            self.told[number] = info
            self.told_ready += info.state is EndpointState.READY
        elif was:
            del self.told[number]

    def settle(self, number: int) -> None:
        info, known = self.told.get(number), self.backends.get(number)
        mark = info.hash_key or number if info else 0
        if info is None or not self.subset.holds(mark):
            if known:
                self.ready.put(known, False)
                self.own.put(known, False)
                del self.backends[number]
            return
        if known is None:
            known = self.backends[number] = Endpoint(info)
        if known.limit == 0 or info.started_at > known.info.started_at:
            known.limit, known.slow = self.first, self.typical[:]
            known.turn, self.missed = self.rng.random(), 0.0  # what came before was not asked of it
        known.info, ready = info, info.state is EndpointState.READY
        self.ready.put(known, ready)
        self.own.put(known, ready and self.subset.owns(mark))

    def warmth(self, backend: Endpoint, now: int) -> float:  # the part of its capacity it has for sure
        safety, started = self.settings.safety, backend.info.started_at
        grown = (now - started) / max(1, safety.warmup_time) if started > 0 else 1.0
        return min(
            1.0, safety.initial_capacity_fraction + (1 - safety.initial_capacity_fraction) * max(0.0, grown)
        )

    def slowness(self, backend: Endpoint, cls: int, now: int) -> float:
        fading = math.exp((backend.seen_at - now) / SECOND / MEMORY / min(4.0, 1 + 1 / self.first))
        return self.typical[cls] + (backend.slow[cls] - self.typical[cls]) * fading

    def due(self, some: list[Endpoint], now: int, cls: int, most: float) -> Endpoint | None:
        """Slow start: the cold one of these, if any, that a request falls to. Each gets `most` times the warm
        part of what a backend of its weight is asked for, out of step at each gateway. A turn that cannot be
        taken is lost: turns saved up by many gateways could all be taken at one stroke.
        """
        found, mean = None, sum(b.info.weight for b in some) / len(some)
        for backend in some:
            if (warmth := self.warmth(backend, now)) < 1:
                part = warmth * min(1.0, SLOWER * self.typical[cls] / self.slowness(backend, cls, now))
                part *= max(0.0, min(1.0, backend.info.weight / mean)) if mean > 0 else 1.0
                backend.turn = min(1.0, backend.turn + part * self.missed) + most * part / len(some)
                if backend.turn >= (found.turn if found else 1.0):
                    found = backend
        if found:
            found.turn -= 1
            full = found.out >= max(1.0, found.limit * self.warmth(found, now))
        return found if found and not full else None

    def pick(self, now: int, cls: int, allowed: Callable[[Endpoint], bool]) -> Endpoint | None:
        if self.used() >= 1:  # jammed, as by backends that died: the cold ones are asked for all the more
            self.missed += TURNED_AWAY / max(1, len(self.own))
            return None
        best, self.missed = self.pick_of(self.own, now, cls, allowed), 0.0
        if best is None and len(self.own) < len(self.ready):
            best = self.pick_of(self.ready, now, cls, allowed)
        if best:
            best.out, self.out = best.out + 1, self.out + 1
        return best

    def pick_of(
        self, among: Candidates, now: int, cls: int, allowed: Callable[[Endpoint], bool]
    ) -> Endpoint | None:
        best, best_cost, far = None, math.inf, self.settings.cross_zone_price > 0
        some = self.rng.sample(among.members, min(LOOK, len(among)))
        fresh = {b.info.id: b.load for b in some if now - b.load_at < SECOND}  # older reports tell nothing
        mean = sum(fresh.values()) / max(1, len(fresh)) or 1.0
        warm = [b for b in some if self.warmth(b, now) >= 1]
        if len(warm) < len(some):
            most = COLD_PART * self.settings.safety.overload_multiple
            room = any(b.out < max(1.0, b.limit) for b in warm)
            due = self.due(some, now, cls, min(1.0, most) if room else most)
            if due and allowed(due):
                return due
        for backend in warm:
            if backend.out >= max(1.0, backend.limit) or not allowed(backend):
                continue
            slow = self.slowness(backend, cls, now)
            load = backend.out + self.rng.expovariate(1.0) + fresh.get(backend.info.id, mean) / mean
            cost = max(0.0, load - 1) * slow / max(backend.info.weight, 1e-3) + slow  # idle ones: by weight
            cost *= 1.1 if far and backend.info.zone != self.settings.zone else 1.0  # breaks ties
            if cost < best_cost:
                best, best_cost = backend, cost
        return best

    def ended(self, backend: Endpoint, now: int, cls: int, outcome: Outcome, latency: int) -> None:
        backend.out, self.out = max(0, backend.out - 1), self.out - 1
        usual, took = self.usual[cls] or max(1.0, latency), FAILED
        if outcome is Outcome.OK:
            took = min(latency / usual, FAILED)
            self.usual[cls] = usual + 0.05 * (min(latency, 4 * usual) - usual)
        if outcome in BROKEN or outcome is Outcome.OK:
            backend.slow[cls] = self.slowness(backend, cls, now) * 0.8 + took * 0.2
            self.typical[cls] += 0.05 * (took - self.typical[cls])
            backend.seen_at = now
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            backend.slow = [3 * FAILED for _ in backend.slow]  # down, whatever the class
        # The bound follows latency: up while used and answers come well within the aim, else down.
        # Covers overload, slow and thrashing backends; starves one whose own work exceeds the target.
        step = 0.5 * max(-2.0, 1 - latency / (TARGET * self.settings.classes[cls].latency_objective))
        step = -1.0 if outcome in (Outcome.TIMEOUT, Outcome.REJECTED) else step
        used = backend.out + 1 >= 0.7 * backend.limit * self.warmth(backend, now)
        if step < 0 or (outcome is Outcome.OK and used):
            backend.limit = max(min(1.0, self.first / 4), backend.limit + step)
            self.more = max(0.0, self.more + step) if self.used() > 0.5 or step < 0 else self.more
