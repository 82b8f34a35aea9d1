"""The endpoint list as it was told, and the endpoints of it that this gateway deals with."""

from __future__ import annotations

import random

from quota_ingress.policy.concurrency_limit import INITIAL_FLEET_LIMIT, ConcurrencyLimits
from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.outlier import SlowdownTracker
from quota_ingress.policy.settings import Settings
from quota_ingress.policy.slow_start import SlowStart
from quota_ingress.policy.snapshot import EndpointSnapshot
from quota_ingress.policy.subsetting import assign_subset


class CandidateSet:
    """Endpoints to choose among; adding and removing one costs the same whatever their number."""

    def __init__(self) -> None:
        self.members: list[Endpoint] = []
        self.positions: dict[int, int] = {}  # in `members`, by the endpoint's id

    def __len__(self) -> int:
        return len(self.members)

    def add(self, endpoint: Endpoint) -> None:
        """Adds an endpoint, unless it is a member."""
        if endpoint.entry.id not in self.positions:
            self.positions[endpoint.entry.id] = len(self.members)
            self.members.append(endpoint)

    def discard(self, endpoint: Endpoint) -> None:
        """Removes an endpoint, if it is a member: the last one takes its position."""
        position = self.positions.pop(endpoint.entry.id, None)
        if position is None:
            return
        last = self.members.pop()
        if last is not endpoint:
            self.members[position] = last
            self.positions[last.entry.id] = position


class EndpointSet:
    """The list as told, and of the endpoints in this gateway's subset what has been learned of each."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        initial_limit = INITIAL_FLEET_LIMIT / settings.fleet_size
        self.slowdowns = SlowdownTracker(len(settings.classes), initial_limit)
        self.slow_start = SlowStart(settings.safety, self.slowdowns)
        self.limits = ConcurrencyLimits(initial_limit, self.slowdowns)
        self.listed_endpoints: dict[int, ListedEndpoint] = {}
        self.listed_ready = 0  # how many of these are ready
        self.ready_total = 0  # ready endpoints in all, also where only a part of the list is told
        self.subset = assign_subset(settings.gateway_index, settings.fleet_size, 0)
        self.candidates: dict[int, Endpoint] = {}  # the candidate subset, draining endpoints included
        self.ready = CandidateSet()  # the ready ones of it
        self.preferred = CandidateSet()  # the ready ones of the preferred subset
        self.in_flight = 0  # attempts of this gateway
        self._gateway_index = settings.gateway_index
        self._fleet_size = settings.fleet_size
        self._rng = rng

    def utilization(self) -> float:
        """Returns the part of the pooled concurrency limit that is in flight; 1 and more: a jam."""
        pooled = self.limits.pooled_limit(self.ready.members, self.ready_total)
        return self.in_flight / max(1.0, pooled)

    def on_endpoints_listed(self, event: EndpointsListed) -> None:
        """Takes in the list or a change of it.

        A change costs as much as it changes; a whole list and a new subset cost a pass over all.
        """
        is_whole = event.kind in (ListKind.FULL, ListKind.CACHED)
        named = dict.fromkeys(entry.id for entry in event.endpoints)
        removed = [number for number in self.listed_endpoints if number not in named] if is_whole else []
        for number in removed:
            self._register(number, None)
        for entry in event.endpoints:
            self._register(entry.id, entry)
        self.ready_total = event.ready_total or self.listed_ready
        previous = self.subset
        self.subset = assign_subset(self._gateway_index, self._fleet_size, self.ready_total, previous)
        for number in removed:
            self._reconcile(number)
        for number in named if self.subset == previous else named | dict.fromkeys(self.listed_endpoints):
            self._reconcile(number)

    def hand_over(self) -> tuple[EndpointSnapshot, ...]:
        """Returns what has been learned of each endpoint."""
        return tuple(
            EndpointSnapshot(number, endpoint.concurrency_limit, tuple(endpoint.slowdown_by_class))
            for number, endpoint in self.candidates.items()
        )

    def restore(self, snapshots: tuple[EndpointSnapshot, ...]) -> None:
        """Takes over what another process has learned of the endpoints that are candidates here."""
        class_count = len(self.slowdowns.mean_slowdowns)
        for snapshot in snapshots:
            endpoint = self.candidates.get(snapshot.id)
            if endpoint and len(snapshot.slowdown_by_class) == class_count:
                endpoint.concurrency_limit = max(self.limits.minimum, snapshot.concurrency_limit)
                endpoint.slowdown_by_class = list(snapshot.slowdown_by_class)

    def _register(self, number: int, entry: ListedEndpoint | None) -> None:
        """Puts an entry into the list, or takes it out."""
        previous = self.listed_endpoints.get(number)
        if previous and previous.state is EndpointState.READY:
            self.listed_ready -= 1
        if entry and entry.state is not EndpointState.REMOVED:
            self.listed_endpoints[number] = entry
            self.listed_ready += entry.state is EndpointState.READY
        elif previous:
            del self.listed_endpoints[number]

    def _reconcile(self, number: int) -> None:
        """Brings the candidates into line with the list and the subset."""
        entry = self.listed_endpoints.get(number)
        hash_key = entry.hash_key or number if entry else 0
        if entry is None or not self.subset.is_candidate(hash_key):
            self._remove_candidate(number)
            return
        endpoint = self.candidates.get(number)
        if endpoint is None:
            endpoint = self.candidates[number] = Endpoint(entry)
        if endpoint.concurrency_limit == 0 or entry.started_at > endpoint.entry.started_at:
            self._reset(endpoint)
        endpoint.entry = entry
        is_ready = entry.state is EndpointState.READY
        is_preferred = is_ready and self.subset.is_preferred(hash_key)
        (self.ready.add if is_ready else self.ready.discard)(endpoint)
        (self.preferred.add if is_preferred else self.preferred.discard)(endpoint)

    def _remove_candidate(self, number: int) -> None:
        endpoint = self.candidates.pop(number, None)
        if endpoint:
            self.ready.discard(endpoint)
            self.preferred.discard(endpoint)

    def _reset(self, endpoint: Endpoint) -> None:
        """Forgets what was learned before an endpoint's start."""
        endpoint.concurrency_limit = self.limits.initial_limit
        endpoint.slowdown_by_class = self.slowdowns.mean_slowdowns[:]
        endpoint.slow_start_credit = self._rng.random()
        self.slow_start.deferred_requests = 0.0  # none of them was deferred for this one
