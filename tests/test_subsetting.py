"""Deterministic subsetting: the parts of a list, a gateway's candidates, and the cost of a list change."""

from __future__ import annotations

import time
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from quota_ingress.policy import subsetting
from quota_ingress.policy.actions import SendAttempt
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.endpoint_set import EndpointSet
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.subsetting import (
    MIN_CANDIDATES,
    MIN_PREFERRED,
    MIN_PREFERRED_WIDE,
    RESIZE_HYSTERESIS,
    assign_subset,
)
from tests.helpers import (
    DRAINING,
    READY,
    REMOVED,
    SECOND,
    UNLIMITED_PLANS,
    arrival,
    endpoint_entry,
    endpoints_listed,
    endpoints_used,
    of_type,
    settings,
)

FLEET_SIZE = 7100
ENDPOINT_COUNT = 90_000
GATEWAY_INDEX = 5


@pytest.mark.parametrize(
    ("fleet_size", "ready"),
    [(FLEET_SIZE, ENDPOINT_COUNT), (300, 20_000), (40, 3000), (40, 60), (10, 5000)],
)
def test_in_each_group_of_gateways_every_endpoint_is_preferred_once_and_a_candidate_equally_often(
    fleet_size: int, ready: int
) -> None:
    any_subset = assign_subset(0, fleet_size, ready)
    parts, candidate_parts = any_subset.preferred_parts, any_subset.candidate_parts
    assert 1 < parts <= fleet_size and parts % candidate_parts == 0
    for first in {0, (fleet_size // parts - 1) * parts}:
        group = [assign_subset(index, fleet_size, ready) for index in range(first, first + parts)]
        for key in range(1, 20):
            assert sum(subset.is_preferred(key) for subset in group) == 1
            assert sum(subset.is_candidate(key) for subset in group) == parts // candidate_parts
            assert all(subset.is_candidate(key) for subset in group if subset.is_preferred(key))


@pytest.mark.parametrize("fleet_size", [1, 3, 7, 16, 200])
@pytest.mark.parametrize("ready", [0, 1, 14, 60, 95, 96, 1023])
def test_all_endpoints_of_a_short_list_are_candidates_and_groups_have_eight_gateways(
    fleet_size: int, ready: int
) -> None:
    parts = 1
    while 2 * parts <= min(ready / MIN_PREFERRED, fleet_size, 8):
        parts *= 2
    subset = assign_subset(fleet_size - 1, fleet_size, ready)
    assert subset.preferred_parts == parts
    assert subset.candidate_parts == 1
    assert subset.subset_group == (fleet_size - 1) // 8


def test_a_subset_of_a_long_list_is_resized_only_when_the_count_falls_below_the_hysteresis() -> None:
    subset = assign_subset(GATEWAY_INDEX, FLEET_SIZE, ENDPOINT_COUNT)
    threshold = subset.preferred_parts * MIN_PREFERRED_WIDE  # endpoints needed for this number of parts
    changes = 0
    for ready in [threshold + 1, threshold - 1] * 20 + [int(threshold * RESIZE_HYSTERESIS) + 1]:
        resized = assign_subset(GATEWAY_INDEX, FLEET_SIZE, ready, subset)
        changes += resized != subset
        subset = resized
    assert not changes
    restarted = assign_subset(GATEWAY_INDEX, FLEET_SIZE, threshold - 1)
    assert restarted.preferred_parts < subset.preferred_parts  # without a current subset, no hysteresis
    halved = assign_subset(GATEWAY_INDEX, FLEET_SIZE, int(threshold * RESIZE_HYSTERESIS) - 1, subset)
    assert halved.preferred_parts == subset.preferred_parts // 2


def gateway_of_fleet(fleet_size: int, seed: int = 1) -> Gateway:
    fleet_settings = settings(fleet_size=fleet_size, gateway_index=GATEWAY_INDEX, plans=UNLIMITED_PLANS)
    return Gateway(fleet_settings, seed)


def gateway_with_list(endpoint_count: int, fleet_size: int = FLEET_SIZE) -> Gateway:
    gateway = gateway_of_fleet(fleet_size)
    gateway.handle(0, endpoints_listed(*(endpoint_entry(n) for n in range(1, endpoint_count + 1))))
    return gateway


def test_one_of_thousands_of_gateways_has_hundreds_of_candidates_and_prefers_dozens_of_them() -> None:
    gateway = gateway_with_list(ENDPOINT_COUNT)
    preferred = {endpoint.entry.id for endpoint in gateway.endpoints.preferred.members}
    candidates = set(gateway.endpoints.candidates)
    assert MIN_PREFERRED_WIDE / 2 < len(preferred) < 3 * MIN_PREFERRED_WIDE
    assert MIN_CANDIDATES / 2 < len(candidates) < 3 * MIN_CANDIDATES
    assert preferred < candidates
    assert endpoints_used(gateway, 0, 0) <= preferred
    drained = [endpoint_entry(n, DRAINING) for n in preferred]
    gateway.handle(SECOND, endpoints_listed(*drained, kind=ListKind.DELTA))
    assert endpoints_used(gateway, SECOND, 1000) <= candidates - preferred


def change_cost(endpoint_count: int) -> float:
    """Returns the minimum CPU time, in seconds, that a gateway takes for a change of one candidate."""
    gateway = gateway_with_list(endpoint_count)
    candidate = next(iter(gateway.endpoints.candidates))
    costs = []
    for n in range(40):
        event = endpoints_listed(endpoint_entry(candidate, started_at=n), kind=ListKind.DELTA)
        began = time.process_time()
        gateway.handle(n, event)
        costs.append(time.process_time() - began)
    return min(costs)


def test_the_cost_of_a_change_does_not_grow_with_the_length_of_the_list() -> None:
    """Guards against a pass over the whole list for one changed endpoint, which took 282 ms at 90,000."""
    assert change_cost(30_000) < 5 * change_cost(1000)


def test_the_pooled_limit_depends_on_all_ready_endpoints_and_not_on_the_candidates() -> None:
    with_full_list = gateway_with_list(9000, 700)
    with_partial_list = gateway_of_fleet(700)
    candidates = tuple(endpoint_entry(n) for n in with_full_list.endpoints.candidates)
    with_partial_list.handle(0, EndpointsListed(ListKind.FULL, 1, candidates, ready_total=9000))
    assert len(candidates) < 3000
    assert with_partial_list.endpoints.candidates.keys() == with_full_list.endpoints.candidates.keys()
    for gateway in (with_full_list, with_partial_list):
        sent = [n for n in range(1000) if of_type(gateway.handle(1, arrival(n)), SendAttempt)]
        assert len(sent) > 90  # the limit is half of 16 / 700 of 9,000 endpoints; by candidates, only a few
    preferred_of_partial_list, preferred_of_full_list = (
        with_partial_list.endpoints.preferred,
        with_full_list.endpoints.preferred,
    )
    assert preferred_of_partial_list.positions.keys() == preferred_of_full_list.positions.keys()


class EntryChange(NamedTuple):
    """An entry of a full list or a delta."""

    id: int
    state: EndpointState
    started_at: int


class ListEvent(NamedTuple):
    """A full list or a delta."""

    is_full: bool
    entries: list[EntryChange]


ENTRY_CHANGES = st.builds(
    EntryChange, st.integers(1, 60), st.sampled_from([READY, DRAINING, REMOVED]), st.integers(0, 2)
)
LIST_EVENTS = st.builds(ListEvent, st.booleans(), st.lists(ENTRY_CHANGES, max_size=60))
SMALL_SUBSETS = {
    "SUBSET_GROUP_SIZE": 2,
    "MIN_PREFERRED": 2,
    "MIN_PREFERRED_WIDE": 3,
    "MIN_CANDIDATES": 6,
    "RESIZE_HYSTERESIS": 1.0,
}  # with these, a list of a few dozen endpoints is split like a long one


def assert_consistent(endpoints: EndpointSet) -> None:
    """Checks that both candidate sets know the positions of their members."""
    for members in (endpoints.ready, endpoints.preferred):
        assert len(members) == len(members.positions)
        for number, position in members.positions.items():
            assert members.members[position] is endpoints.candidates[number]


@hypothesis_settings(max_examples=60, deadline=None)
@given(st.lists(LIST_EVENTS, min_size=1, max_size=12))
def test_any_sequence_of_lists_and_deltas_has_the_same_result_as_one_full_list(
    events: list[ListEvent],
) -> None:
    with pytest.MonkeyPatch.context() as patch:
        for name, value in SMALL_SUBSETS.items():
            patch.setattr(subsetting, name, value)
        changed, fresh = gateway_of_fleet(64, seed=0), gateway_of_fleet(64, seed=1)
        expected: dict[int, ListedEndpoint] = {}
        for event in events:
            entries = [endpoint_entry(entry.id, entry.state, entry.started_at) for entry in event.entries]
            changed.handle(
                0, endpoints_listed(*entries, kind=ListKind.FULL if event.is_full else ListKind.DELTA)
            )
            expected = ({} if event.is_full else expected) | {entry.id: entry for entry in entries}
            expected = {n: entry for n, entry in expected.items() if entry.state is not REMOVED}
        fresh.handle(0, endpoints_listed(*expected.values()))
    actual_set, expected_set = changed.endpoints, fresh.endpoints
    assert actual_set.listed_endpoints == expected_set.listed_endpoints == expected
    assert actual_set.ready_total == expected_set.ready_total
    assert actual_set.subset == expected_set.subset
    actual_entries = {n: endpoint.entry for n, endpoint in actual_set.candidates.items()}
    assert actual_entries == {n: endpoint.entry for n, endpoint in expected_set.candidates.items()}
    assert actual_set.ready.positions.keys() == expected_set.ready.positions.keys()
    assert actual_set.preferred.positions.keys() == expected_set.preferred.positions.keys()
    assert_consistent(actual_set)
