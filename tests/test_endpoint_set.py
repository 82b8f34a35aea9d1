"""The endpoint list as received, and the subset of it that a gateway uses."""

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
    chosen_endpoints,
    endpoint_entries,
    endpoint_entry,
    endpoints_listed,
    endpoints_used,
    of_type,
    settings,
    unlimited_gateway,
)


def test_an_endpoint_missing_from_a_full_list_is_removed_but_one_missing_from_a_delta_is_kept() -> None:
    gateway = unlimited_gateway(*endpoint_entries(2))
    gateway.handle(10, endpoints_listed(endpoint_entry(2), kind=ListKind.DELTA))
    assert set(chosen_endpoints(gateway, 10, range(8))) == {1, 2}
    gateway.handle(20, endpoints_listed(endpoint_entry(2)))
    assert set(chosen_endpoints(gateway, 20, range(10, 14))) <= {2}


def test_removed_endpoints_are_forgotten() -> None:
    gateway = unlimited_gateway(*endpoint_entries(1))
    for n in range(2, 50):
        gateway.handle(
            n, endpoints_listed(endpoint_entry(n), endpoint_entry(n - 1, REMOVED), kind=ListKind.DELTA)
        )
    assert set(gateway.endpoints.candidates) == {49}


def test_attempts_that_end_after_their_endpoint_restarted_are_counted_down() -> None:
    gateway = unlimited_gateway(*endpoint_entries(1))
    (sent,) = of_type(gateway.handle(0, arrival(1)), SendAttempt)
    gateway.handle(10, endpoints_listed(endpoint_entry(1, started_at=10), kind=ListKind.DELTA))
    gateway.handle(20, AttemptEnded(1, 0, sent.endpoint, Outcome.RESET, 20, True))
    assert gateway.endpoints.in_flight == 0 and gateway.endpoints.candidates[1].in_flight == 0


def endpoints_used_by_each(gateway_count: int, endpoint_count: int) -> list[set[int]]:
    """Returns the endpoints that each gateway of a fleet uses."""
    fleet = [
        Gateway(settings(fleet_size=gateway_count, gateway_index=index, plans=UNLIMITED_PLANS), index)
        for index in range(gateway_count)
    ]
    for gateway in fleet:
        gateway.handle(0, endpoints_listed(*(endpoint_entry(n) for n in range(1, endpoint_count + 1))))
    return [endpoints_used(gateway, 0, 0) for gateway in fleet]


def test_each_gateway_of_a_large_fleet_uses_a_subset_and_each_endpoint_has_equally_many_gateways() -> None:
    """Guards against every gateway using every endpoint.

    40 gateways that each used all of 60 endpoints opened 2,400 connections, and each learned slowly about an
    endpoint that got few of its requests.
    """
    subsets = endpoints_used_by_each(40, 60)
    assert all(len(subset) <= 30 for subset in subsets)
    assert {sum(n in subset for subset in subsets) for n in range(1, 61)} == {10}


def test_each_gateway_of_a_small_fleet_uses_all_endpoints() -> None:
    assert endpoints_used_by_each(3, 14) == [set(range(1, 15))] * 3


def test_a_subset_keeps_its_endpoints_and_gains_others_when_endpoints_are_removed() -> None:
    gateway = unlimited_gateway(*endpoint_entries(60), fleet_size=40)
    before = endpoints_used(gateway, 0, 0)
    gateway.handle(SECOND, endpoints_listed(*(endpoint_entry(n) for n in range(1, 41))))  # a zone was removed
    after = endpoints_used(gateway, SECOND, 1000)
    assert after >= {n for n in before if n <= 40} and len(after) > 10


def test_other_endpoints_are_used_if_the_preferred_subset_has_no_capacity() -> None:
    gateway = unlimited_gateway(*endpoint_entries(60), fleet_size=40)
    preferred = endpoints_used(gateway, 0, 0)
    drained = [endpoint_entry(n, EndpointState.DRAINING) for n in preferred]
    gateway.handle(SECOND, endpoints_listed(*drained, kind=ListKind.DELTA))
    others = endpoints_used(gateway, SECOND, 1000)
    assert others and not others & preferred


def test_subsets_are_assigned_by_hash_key_and_not_by_id() -> None:
    """Guards against subsets by id, which would differ: every ingress process assigns its own ids."""
    first = Gateway(settings(fleet_size=40, plans=UNLIMITED_PLANS), 3)
    second = Gateway(settings(fleet_size=40, plans=UNLIMITED_PLANS), 3)
    first.handle(0, endpoints_listed(*(endpoint_entry(n, hash_key=1000 + n) for n in range(1, 61))))
    second.handle(0, endpoints_listed(*(endpoint_entry(100 - n, hash_key=1000 + n) for n in range(1, 61))))
    assert endpoints_used(first, 0, 0) == {100 - n for n in endpoints_used(second, 0, 0)}
