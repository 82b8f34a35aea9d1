"""Deterministic subsetting: the parts, what the module keeps of a long list, what a change of it costs."""

from __future__ import annotations

import time

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from quota_ingress.policy import subsetting
from quota_ingress.policy.actions import SendAttempt
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.subsetting import (
    MIN_CANDIDATES,
    MIN_PREFERRED,
    MIN_PREFERRED_WIDE,
    RESIZE_HYSTERESIS,
    assign_subset,
)
from tests.helpers import DRAINING, GONE, READY, SECOND, arrival, backend, listed, of, settings
from tests.test_scale import FREE, used_by

SIZE, MANY = 7100, 90_000  # gateways, backends: what is to come
STATES = st.sampled_from([READY, DRAINING, GONE])


@pytest.mark.parametrize(("size", "ready"), [(SIZE, MANY), (300, 20_000), (40, 3000), (40, 60), (10, 5000)])
def test_in_each_row_of_gateways_every_backend_falls_to_one_and_is_held_by_as_many_as_any(
    size: int, ready: int
) -> None:
    parts, held = assign_subset(0, size, ready).preferred_parts, assign_subset(0, size, ready).candidate_parts
    assert 1 < parts <= size and parts % held == 0
    for first in {0, (size // parts - 1) * parts}:
        row = [assign_subset(me, size, ready) for me in range(first, first + parts)]
        for hash_key in range(1, 20):
            assert sum(s.is_preferred(hash_key) for s in row) == 1
            assert sum(s.is_candidate(hash_key) for s in row) == parts // held
            assert all(s.is_candidate(hash_key) for s in row if s.is_preferred(hash_key))


@pytest.mark.parametrize("size", [1, 3, 7, 16, 200])
@pytest.mark.parametrize("ready", [0, 1, 14, 60, 95, 96, 1023])
def test_a_list_of_hundreds_is_held_whole_and_dealt_by_rows_of_eight(size: int, ready: int) -> None:
    parts = 1
    while 2 * parts <= min(ready / MIN_PREFERRED, size, 8):
        parts *= 2
    subset = assign_subset(size - 1, size, ready)
    assert (subset.preferred_parts, subset.candidate_parts, subset.subset_group) == (
        parts,
        1,
        (size - 1) // 8,
    )


def test_a_part_of_a_long_list_is_dealt_anew_only_when_the_count_has_changed_for_good() -> None:
    before, changes = assign_subset(5, SIZE, MANY), 0
    at = before.preferred_parts * MIN_PREFERRED_WIDE  # the least for so many parts
    for ready in [at + 1, at - 1] * 20 + [int(at * RESIZE_HYSTERESIS) + 1]:
        after = assign_subset(5, SIZE, ready, before)
        before, changes = after, changes + (after != before)
    assert (
        not changes and assign_subset(5, SIZE, at - 1).preferred_parts < before.preferred_parts
    )  # whoever starts now deals by what it finds
    assert (
        assign_subset(5, SIZE, int(at * RESIZE_HYSTERESIS) - 1, before).preferred_parts
        == before.preferred_parts // 2
    )


def told(count: int, size: int = SIZE, me: int = 5, **more: object) -> Gateway:
    g = Gateway(settings(fleet_size=size, gateway_index=me, plans=FREE, **more), seed=1)
    g.handle(0, listed(*(backend(n) for n in range(1, count + 1))))
    return g


def test_of_a_long_list_one_of_thousands_of_gateways_holds_hundreds_and_keeps_to_some_dozens() -> None:
    g = told(MANY)
    own, held = {b.entry.id for b in g.endpoints.preferred.members}, set(g.endpoints.candidates)
    assert (
        MIN_PREFERRED_WIDE / 2 < len(own) < 3 * MIN_PREFERRED_WIDE
        and MIN_CANDIDATES / 2 < len(held) < 3 * MIN_CANDIDATES
        and own < held
    )
    assert used_by(g, 0, 0) <= own
    drained = [backend(n, DRAINING) for n in own]
    g.handle(SECOND, listed(*drained, kind=ListKind.DELTA))
    assert used_by(g, SECOND, 1000) <= held - own  # no room there: others are used


def change_cost(count: int) -> float:
    """s for one change of a backend that is held, the least of some."""
    g, costs = told(count), []
    held = next(iter(g.endpoints.candidates))
    for n in range(40):
        event = listed(backend(held, started_at=n), kind=ListKind.DELTA)
        begun = time.process_time()
        g.handle(n, event)
        costs.append(time.process_time() - begun)
    return min(costs)


def test_a_change_costs_no_more_in_a_list_of_thirty_times_the_length() -> None:
    """One backend's change was a pass over all: 282 ms at 90,000."""
    assert change_cost(30_000) < 5 * change_cost(1000)


def test_what_may_be_out_goes_by_all_backends_and_not_by_those_held() -> None:
    whole, part = told(9000, 700), Gateway(settings(fleet_size=700, gateway_index=5, plans=FREE), seed=1)
    held = [backend(n) for n in whole.endpoints.candidates]
    part.handle(0, EndpointsListed(ListKind.FULL, 1, tuple(held), ready_total=9000))
    assert len(held) < 3000 and part.endpoints.candidates.keys() == whole.endpoints.candidates.keys()
    for g in (whole, part):
        sent = [n for n in range(1000) if of(g.handle(1, arrival(n)), SendAttempt)]
        assert len(sent) > 90  # half of 16 / 700 of 9,000; of those held it would be a few
    assert part.endpoints.preferred.positions.keys() == whole.endpoints.preferred.positions.keys()


CHANGE = st.lists(st.tuples(st.integers(1, 60), STATES, st.integers(0, 2)), max_size=60)


@examples(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.booleans(), CHANGE), min_size=1, max_size=12))
def test_any_order_of_whole_lists_changes_and_removals_leaves_what_the_last_list_told_anew_would(
    events: list[tuple[bool, list[tuple[int, EndpointState, int]]]],
) -> None:
    with pytest.MonkeyPatch.context() as few:  # so that a list of some dozens is dealt like a long one
        for name, value in {
            "SUBSET_GROUP_SIZE": 2,
            "MIN_PREFERRED": 2,
            "MIN_PREFERRED_WIDE": 3,
            "MIN_CANDIDATES": 6,
            "RESIZE_HYSTERESIS": 1.0,
        }.items():
            few.setattr(subsetting, name, value)
        g, fresh = (Gateway(settings(fleet_size=64, gateway_index=5, plans=FREE), seed=n) for n in range(2))
        now: dict[int, ListedEndpoint] = {}
        for whole, changes in events:
            entries = [backend(n, state, started) for n, state, started in changes]
            g.handle(0, listed(*entries, kind=ListKind.FULL if whole else ListKind.DELTA))
            now = ({} if whole else now) | {e.id: e for e in entries}
            now = {n: e for n, e in now.items() if e.state is not GONE}
        fresh.handle(0, listed(*now.values()))
    a, b = g.endpoints, fresh.endpoints
    assert (
        a.listed_endpoints == b.listed_endpoints == now
        and a.ready_total == b.ready_total
        and a.subset == b.subset
    )
    assert {n: x.entry for n, x in a.candidates.items()} == {n: x.entry for n, x in b.candidates.items()}
    for mine, other in ((a.ready, b.ready), (a.preferred, b.preferred)):
        assert mine.positions.keys() == other.positions.keys() and len(mine) == len(mine.positions)
        assert all(mine.members[at] is a.candidates[n] for n, at in mine.positions.items())
