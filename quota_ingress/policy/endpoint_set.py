"""The endpoint list as received, and the endpoints of it that this gateway may use."""

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
    """Endpoints to choose among; adding and removing one take constant time."""

    def __init__(self) -> None:
        self.members: list[Endpoint] = []
        self.positions: dict[int, int] = {}  # in `members`, by the endpoint's id

    def __len__(self) -> int:
        return len(self.members)

    def add(self, endpoint: Endpoint) -> None:
        """Adds an endpoint if it is not a member yet."""
        if endpoint.entry.id not in self.positions:
            self.positions[endpoint.entry.id] = len(self.members)
            self.members.append(endpoint)

    def discard(self, endpoint: Endpoint) -> None:
        """Removes an endpoint if it is a member; the last member moves to its position."""
        position = self.positions.pop(endpoint.entry.id, None)
        if position is None:
            return
        last = self.members.pop()
        if last is not endpoint:
            self.members[position] = last
            self.positions[last.entry.id] = position


class EndpointSet:
    """The endpoint list as received, and the statistics of the endpoints in this gateway's subset."""

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        initial_limit = INITIAL_FLEET_LIMIT / settings.fleet_size
        self.slowdowns = SlowdownTracker(len(settings.classes), initial_limit)
        self.slow_start = SlowStart(settings.safety, self.slowdowns)
        self.limits = ConcurrencyLimits(initial_limit, self.slowdowns)
        self.listed_endpoints: dict[int, ListedEndpoint] = {}
        self.listed_ready = 0  # number of ready endpoints in `listed_endpoints`
        self.ready_total = 0  # number of all ready endpoints, even if only some of the list was received
        self.subset = assign_subset(settings.gateway_index, settings.fleet_size, 0)
        self.candidates: dict[int, Endpoint] = {}  # the candidate subset, draining endpoints included
        self.ready = CandidateSet()  # the ready candidates
        self.preferred = CandidateSet()  # the ready candidates of the preferred subset
        self.in_flight = 0  # attempts of this gateway
        self._gateway_index = settings.gateway_index
        self._fleet_size = settings.fleet_size
        self._rng = rng

    def utilization(self) -> float:
        """Returns the attempts in flight as a fraction of the pooled limit; from 1 on, none are sent."""
        pooled = self.limits.pooled_limit(self.ready.members, self.ready_total)
        return self.in_flight / max(1.0, pooled)

    def on_endpoints_listed(self, event: EndpointsListed) -> None:
        """Applies a full list or a delta.

        A delta costs time in proportion to its entries; a full list or a new subset costs a pass over all
        endpoints.
        """
        is_complete = event.kind in (ListKind.FULL, ListKind.CACHED)
        listed_ids = dict.fromkeys(entry.id for entry in event.endpoints)
        removed = (
            [endpoint_id for endpoint_id in self.listed_endpoints if endpoint_id not in listed_ids]
            if is_complete
            else []
        )
        for endpoint_id in removed:
            self._register(endpoint_id, None)
        for entry in event.endpoints:
            self._register(entry.id, entry)
        self.ready_total = event.ready_total or self.listed_ready
        previous = self.subset
        self.subset = assign_subset(self._gateway_index, self._fleet_size, self.ready_total, previous)
        for endpoint_id in removed:
            self._reconcile(endpoint_id)
        for endpoint_id in (
            listed_ids if self.subset == previous else listed_ids | dict.fromkeys(self.listed_endpoints)
        ):
            self._reconcile(endpoint_id)

    def hand_over(self) -> tuple[EndpointSnapshot, ...]:
        """Returns the concurrency limit and the slowdowns of each candidate."""
        return tuple(
            EndpointSnapshot(endpoint_id, endpoint.concurrency_limit, tuple(endpoint.slowdown_by_class))
            for endpoint_id, endpoint in self.candidates.items()
        )

    def restore(self, snapshots: tuple[EndpointSnapshot, ...]) -> None:
        """Adopts limits and slowdowns that another process handed over for endpoints that are candidates."""
        class_count = len(self.slowdowns.mean_slowdowns)
        for snapshot in snapshots:
            endpoint = self.candidates.get(snapshot.id)
            if endpoint and len(snapshot.slowdown_by_class) == class_count:
                endpoint.concurrency_limit = max(self.limits.minimum, snapshot.concurrency_limit)
                endpoint.slowdown_by_class = list(snapshot.slowdown_by_class)

    def _register(self, endpoint_id: int, entry: ListedEndpoint | None) -> None:
        """Stores an endpoint's list entry; removes it if `entry` is None or in state REMOVED."""
        previous = self.listed_endpoints.get(endpoint_id)
        if previous and previous.state is EndpointState.READY:
            self.listed_ready -= 1
        if entry and entry.state is not EndpointState.REMOVED:
            self.listed_endpoints[endpoint_id] = entry
            self.listed_ready += entry.state is EndpointState.READY
        elif previous:
            del self.listed_endpoints[endpoint_id]

    def _reconcile(self, endpoint_id: int) -> None:
        """Updates an endpoint's membership of the candidate sets to the list and the subset."""
        entry = self.listed_endpoints.get(endpoint_id)
        hash_key = entry.hash_key or endpoint_id if entry else 0
        if entry is None or not self.subset.is_candidate(hash_key):
            self._remove_candidate(endpoint_id)
            return
        endpoint = self.candidates.get(endpoint_id)
        if endpoint is None:
            endpoint = self.candidates[endpoint_id] = Endpoint(entry)
        if endpoint.concurrency_limit == 0 or entry.started_at > endpoint.entry.started_at:
            self._reset(endpoint)
        endpoint.entry = entry
        is_ready = entry.state is EndpointState.READY
        is_preferred = is_ready and self.subset.is_preferred(hash_key)
        (self.ready.add if is_ready else self.ready.discard)(endpoint)
        (self.preferred.add if is_preferred else self.preferred.discard)(endpoint)

    def _remove_candidate(self, endpoint_id: int) -> None:
        endpoint = self.candidates.pop(endpoint_id, None)
        if endpoint:
            self.ready.discard(endpoint)
            self.preferred.discard(endpoint)

    def _reset(self, endpoint: Endpoint) -> None:
        """Resets the statistics of a new or restarted endpoint."""
        endpoint.concurrency_limit = self.limits.initial_limit
        endpoint.slowdown_by_class = self.slowdowns.mean_slowdowns[:]
        endpoint.slow_start_credit = self._rng.random()
        self.slow_start.deferred_requests = 0.0  # requests deferred before its start earn it no credit
