"""The endpoint list as it was told, and the subset of it that a gateway uses."""

from __future__ import annotations

from quota_ingress.policy.actions import SendAttempt
from quota_ingress.policy.endpoint_list import EndpointState, ListKind
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.gateway import Gateway
from tests.helpers import (
    REMOVED,
    SECOND,
    UNLIMITED_PLANS,
    arrival,
    endpoint_entry,
    endpoints_used,
    listed,
    of,
    sent_to,
    settings,
)


def gateway(endpoint_count: int, **changes: object) -> Gateway:
    made = Gateway(settings(plans=UNLIMITED_PLANS, **changes), seed=3)
    made.handle(0, listed(*(endpoint_entry(n) for n in range(1, endpoint_count + 1))))
    return made


def test_an_endpoint_that_a_full_list_lacks_is_removed_and_one_that_a_change_lacks_is_not() -> None:
    g = gateway(2)
    g.handle(10, listed(endpoint_entry(2), kind=ListKind.DELTA))
    assert set(sent_to(g, 10, range(8))) == {1, 2}
    g.handle(20, listed(endpoint_entry(2)))
    assert set(sent_to(g, 20, range(10, 14))) <= {2}


def test_removed_endpoints_are_forgotten() -> None:
    g = gateway(1)
    for n in range(2, 50):
        g.handle(n, listed(endpoint_entry(n), endpoint_entry(n - 1, REMOVED), kind=ListKind.DELTA))
    assert set(g.endpoints.candidates) == {49}


def test_attempts_in_flight_at_an_endpoint_that_restarts_are_counted_down() -> None:
    g = gateway(1)
    (sent,) = of(g.handle(0, arrival(1)), SendAttempt)
    g.handle(10, listed(endpoint_entry(1, started_at=10), kind=ListKind.DELTA))
    g.handle(20, AttemptEnded(1, 0, sent.endpoint, Outcome.RESET, 20, True))
    assert g.endpoints.in_flight == 0 and g.endpoints.candidates[1].in_flight == 0


def endpoints_used_by_each(gateway_count: int, endpoint_count: int) -> list[set[int]]:
    """The endpoints that each gateway of a fleet uses."""
    fleet = [
        Gateway(settings(fleet_size=gateway_count, gateway_index=index, plans=UNLIMITED_PLANS), index)
        for index in range(gateway_count)
    ]
    for g in fleet:
        g.handle(0, listed(*(endpoint_entry(n) for n in range(1, endpoint_count + 1))))
    return [endpoints_used(g, 0, 0) for g in fleet]


def test_each_gateway_of_a_large_fleet_uses_a_subset_and_each_endpoint_has_equally_many_gateways() -> None:
    """Forty gateways that each knew sixty endpoints learned late and opened 2,400 connections."""
    subsets = endpoints_used_by_each(40, 60)
    assert all(len(subset) <= 30 for subset in subsets)
    assert {sum(n in subset for subset in subsets) for n in range(1, 61)} == {10}


def test_a_small_fleet_uses_all_endpoints_at_each_gateway() -> None:
    assert endpoints_used_by_each(3, 14) == [set(range(1, 15))] * 3


def test_a_subset_stays_and_is_refilled_as_endpoints_are_lost() -> None:
    g = gateway(60, fleet_size=40)
    before = endpoints_used(g, 0, 0)
    g.handle(SECOND, listed(*(endpoint_entry(n) for n in range(1, 41))))  # a zone is gone
    after = endpoints_used(g, SECOND, 1000)
    assert after >= {n for n in before if n <= 40} and len(after) > 10


def test_other_endpoints_are_used_where_the_preferred_subset_has_no_capacity() -> None:
    g = gateway(60, fleet_size=40)
    preferred = endpoints_used(g, 0, 0)
    drained = [endpoint_entry(n, EndpointState.DRAINING) for n in preferred]
    g.handle(SECOND, listed(*drained, kind=ListKind.DELTA))
    others = endpoints_used(g, SECOND, 1000)
    assert others and not others & preferred


def test_subsets_go_by_hash_keys_and_not_by_ids() -> None:
    """A real ingress numbers endpoints for itself."""
    first = Gateway(settings(fleet_size=40, plans=UNLIMITED_PLANS), 3)
    second = Gateway(settings(fleet_size=40, plans=UNLIMITED_PLANS), 3)
    first.handle(0, listed(*(endpoint_entry(n, hash_key=1000 + n) for n in range(1, 61))))
    second.handle(0, listed(*(endpoint_entry(100 - n, hash_key=1000 + n) for n in range(1, 61))))
    assert endpoints_used(first, 0, 0) == {100 - n for n in endpoints_used(second, 0, 0)}
