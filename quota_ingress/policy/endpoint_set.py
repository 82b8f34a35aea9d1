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
from quota_ingress.policy.subsetting import assign_subset

INITIAL_FLEET_LIMIT = 16.0  # attempts out at a backend by all gateways to begin with: a few a core
TARGET = 0.32  # latency, as a share of the aim, at which a backend counts as full: tails run three times that
SLOW_START_BUDGET_FRACTION = (
    0.8  # of the cold budget that is used: requests differ in work, and lists come at different times
)
SLOWER = 2.0  # times the usual latency: a cold backend takes longer; one that takes more than this gets less
TURNED_AWAY = 0.5  # of a request, for the cold: at twice what the warm can do, all is their whole budget
FAILED = 4.0  # times the usual latency: what an error or no answer is taken for
MEMORY = 5.0  # s that a backend's slowness is remembered: some tens of answers; longer if few come
LOOK = 16  # backends looked at for a request: all of a small fleet, of a large one enough to find a good one
BROKEN = (Outcome.ERROR, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT)


@dataclass(slots=True)
class Endpoint:
    info: ListedEndpoint
    concurrency_limit: float = 0.0  # attempts out at once
    slowdown_by_class: list[float] = field(
        default_factory=list
    )  # by class: latency over the usual; FAILED if none came
    in_flight: int = 0
    last_outcome_at: int = 0  # its last answer, or the lack of one
    slow_start_credit: float = 0.0  # of a cold one: the part of a request that has fallen to it
    reported_load: float = 0.0  # the last report of how busy it is
    reported_at: int = -SECOND


class CandidateSet:
    """Backends to choose among: one joins or leaves at the same cost whatever their number."""

    def __init__(self) -> None:
        self.members: list[Endpoint] = []
        self.positions: dict[int, int] = {}

    def __len__(self) -> int:
        return len(self.members)

    def put(self, backend: Endpoint, inside: bool) -> None:
        number = backend.info.id
        if inside and number not in self.positions:
            self.positions[number] = len(self.members)
            self.members.append(backend)
        elif not inside and (place := self.positions.pop(number, None)) is not None:
            last = self.members.pop()
            if last is not backend:
                self.members[place], self.positions[last.info.id] = last, place


class EndpointSet:
    """The list as told; of the backends in this gateway's subset, what has been learned of each."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings, self.rng, self.initial_limit = settings, rng, INITIAL_FLEET_LIMIT / settings.fleet_size
        self.listed_endpoints: dict[int, ListedEndpoint] = {}
        self.listed_ready = 0  # of these
        self.ready_total = 0  # ready ones in all, also where the list told is but a part
        self.subset = assign_subset(settings.gateway_index, settings.fleet_size, 0)
        self.candidates: dict[int, Endpoint] = {}  # those held
        self.ready = CandidateSet()
        self.preferred = CandidateSet()  # of these, the ones that this gateway keeps to while they have room
        self.baseline_latencies = [0.0] * len(settings.classes)  # usual latency of an answer, by class
        self.mean_slowdowns = [1.0] * len(settings.classes)  # what `slow` is on average
        self.in_flight, self.fleet_headroom = 0, 0.0
        self.deferred_requests = 0.0  # requests a backend that were turned away since the last that was not

    def utilization(self) -> float:  # the part out of what may be out at all backends: one at each jams them
        fails = min(
            (t for t, u in zip(self.mean_slowdowns, self.baseline_latencies, strict=True) if u), default=1.0
        )
        pooled = (
            1 + self.initial_limit * self.ready_total / 2
        ) / fails + self.fleet_headroom  # less if every class fails
        if self.initial_limit >= 1:
            pooled = (
                sum(b.concurrency_limit for b in self.ready.members)
                * self.ready_total
                / max(1, len(self.ready))
            )
        return self.in_flight / max(1.0, pooled)

    def on_endpoints_listed(self, event: EndpointsListed) -> None:
        """A change costs as much as it changes, and a pass over all where they are told or dealt anew."""
        whole = event.kind in (ListKind.FULL, ListKind.CACHED)
        named = dict.fromkeys(info.id for info in event.endpoints)
        gone = [n for n in self.listed_endpoints if n not in named] if whole else []
        for number in gone:
            self.register(number, None)
        for info in event.endpoints:
            self.register(info.id, info)
        self.ready_total, before = event.ready_total or self.listed_ready, self.subset
        self.subset = assign_subset(
            self.settings.gateway_index, self.settings.fleet_size, self.ready_total, before
        )
        for number in gone:
            self.reconcile(number)
        for number in named if self.subset == before else named | dict.fromkeys(self.listed_endpoints):
            self.reconcile(number)

    def register(self, number: int, info: ListedEndpoint | None) -> None:
        was = self.listed_endpoints.get(number)
        self.listed_ready -= was is not None and was.state is EndpointState.READY
        if info and info.state is not EndpointState.REMOVED:
            self.listed_endpoints[number] = info
            self.listed_ready += info.state is EndpointState.READY
        elif was:
            del self.listed_endpoints[number]

    def reconcile(self, number: int) -> None:
        info, known = self.listed_endpoints.get(number), self.candidates.get(number)
        hash_key = info.hash_key or number if info else 0
        if info is None or not self.subset.is_candidate(hash_key):
            if known:
                self.ready.put(known, False)
                self.preferred.put(known, False)
                del self.candidates[number]
            return
        if known is None:
            known = self.candidates[number] = Endpoint(info)
        if known.concurrency_limit == 0 or info.started_at > known.info.started_at:
            known.concurrency_limit, known.slowdown_by_class = self.initial_limit, self.mean_slowdowns[:]
            known.slow_start_credit, self.deferred_requests = (
                self.rng.random(),
                0.0,
            )  # what came before was not asked of it
        known.info, ready = info, info.state is EndpointState.READY
        self.ready.put(known, ready)
        self.preferred.put(known, ready and self.subset.is_preferred(hash_key))

    def warmup_fraction(
        self, backend: Endpoint, now: int
    ) -> float:  # the part of its capacity it has for sure
        safety, started = self.settings.safety, backend.info.started_at
        grown = (now - started) / max(1, safety.warmup_time) if started > 0 else 1.0
        return min(
            1.0, safety.initial_capacity_fraction + (1 - safety.initial_capacity_fraction) * max(0.0, grown)
        )

    def slowdown(self, backend: Endpoint, cls: int, now: int) -> float:
        fading = math.exp(
            (backend.last_outcome_at - now) / SECOND / MEMORY / min(4.0, 1 + 1 / self.initial_limit)
        )
        return self.mean_slowdowns[cls] + (backend.slowdown_by_class[cls] - self.mean_slowdowns[cls]) * fading

    def next_warming_endpoint(self, some: list[Endpoint], now: int, cls: int, most: float) -> Endpoint | None:
        """Slow start: the cold one of these, if any, that a request falls to. Each gets `most` times the warm
        part of what a backend of its weight is asked for, out of step at each gateway. A turn that cannot be
        taken is lost: turns saved up by many gateways could all be taken at one stroke.
        """
        found, mean = None, sum(b.info.weight for b in some) / len(some)
        for backend in some:
            if (warmth := self.warmup_fraction(backend, now)) < 1:
                part = warmth * min(1.0, SLOWER * self.mean_slowdowns[cls] / self.slowdown(backend, cls, now))
                part *= max(0.0, min(1.0, backend.info.weight / mean)) if mean > 0 else 1.0
                backend.slow_start_credit = min(
                    1.0, backend.slow_start_credit + part * self.deferred_requests
                ) + most * part / len(some)
                if backend.slow_start_credit >= (found.slow_start_credit if found else 1.0):
                    found = backend
        if found:
            found.slow_start_credit -= 1
            full = found.in_flight >= max(1.0, found.concurrency_limit * self.warmup_fraction(found, now))
        return found if found and not full else None

    def choose(self, now: int, cls: int, allowed: Callable[[Endpoint], bool]) -> Endpoint | None:
        if (
            self.utilization() >= 1
        ):  # jammed, as by backends that died: the cold ones are asked for all the more
            self.deferred_requests += TURNED_AWAY / max(1, len(self.preferred))
            return None
        best, self.deferred_requests = self.choose_among(self.preferred, now, cls, allowed), 0.0
        if best is None and len(self.preferred) < len(self.ready):
            best = self.choose_among(self.ready, now, cls, allowed)
        if best:
            best.in_flight, self.in_flight = best.in_flight + 1, self.in_flight + 1
        return best

    def choose_among(
        self, among: CandidateSet, now: int, cls: int, allowed: Callable[[Endpoint], bool]
    ) -> Endpoint | None:
        best, best_cost, far = None, math.inf, self.settings.cross_zone_price > 0
        some = self.rng.sample(among.members, min(LOOK, len(among)))
        fresh = {
            b.info.id: b.reported_load for b in some if now - b.reported_at < SECOND
        }  # older reports tell nothing
        mean = sum(fresh.values()) / max(1, len(fresh)) or 1.0
        warm = [b for b in some if self.warmup_fraction(b, now) >= 1]
        if len(warm) < len(some):
            most = SLOW_START_BUDGET_FRACTION * self.settings.safety.overload_multiple
            room = any(b.in_flight < max(1.0, b.concurrency_limit) for b in warm)
            due = self.next_warming_endpoint(some, now, cls, min(1.0, most) if room else most)
            if due and allowed(due):
                return due
        for backend in warm:
            if backend.in_flight >= max(1.0, backend.concurrency_limit) or not allowed(backend):
                continue
            slow = self.slowdown(backend, cls, now)
            load = backend.in_flight + self.rng.expovariate(1.0) + fresh.get(backend.info.id, mean) / mean
            cost = max(0.0, load - 1) * slow / max(backend.info.weight, 1e-3) + slow  # idle ones: by weight
            cost *= 1.1 if far and backend.info.zone != self.settings.zone else 1.0  # breaks ties
            if cost < best_cost:
                best, best_cost = backend, cost
        return best

    def on_attempt_ended(self, backend: Endpoint, now: int, cls: int, outcome: Outcome, latency: int) -> None:
        backend.in_flight, self.in_flight = max(0, backend.in_flight - 1), self.in_flight - 1
        usual, took = self.baseline_latencies[cls] or max(1.0, latency), FAILED
        if outcome is Outcome.OK:
            took = min(latency / usual, FAILED)
            self.baseline_latencies[cls] = usual + 0.05 * (min(latency, 4 * usual) - usual)
        if outcome in BROKEN or outcome is Outcome.OK:
            backend.slowdown_by_class[cls] = self.slowdown(backend, cls, now) * 0.8 + took * 0.2
            self.mean_slowdowns[cls] += 0.05 * (took - self.mean_slowdowns[cls])
            backend.last_outcome_at = now
        if outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
            backend.slowdown_by_class = [
                3 * FAILED for _ in backend.slowdown_by_class
            ]  # down, whatever the class
        # The bound follows latency: up while used and answers come well within the aim, else down.
        # Covers overload, slow and thrashing backends; starves one whose own work exceeds the target.
        step = 0.5 * max(-2.0, 1 - latency / (TARGET * self.settings.classes[cls].latency_objective))
        step = -1.0 if outcome in (Outcome.TIMEOUT, Outcome.REJECTED) else step
        used = backend.in_flight + 1 >= 0.7 * backend.concurrency_limit * self.warmup_fraction(backend, now)
        if step < 0 or (outcome is Outcome.OK and used):
            backend.concurrency_limit = max(
                min(1.0, self.initial_limit / 4), backend.concurrency_limit + step
            )
            self.fleet_headroom = (
                max(0.0, self.fleet_headroom + step)
                if self.utilization() > 0.5 or step < 0
                else self.fleet_headroom
            )
