"""The choice of endpoints by state, weight, failures and load reports."""

from __future__ import annotations

import pytest

from quota_ingress.policy.actions import Reject, SendAttempt
from quota_ingress.policy.endpoint_list import EndpointState, ListKind
from quota_ingress.policy.events import AttemptEnded, Outcome, RequestReceived
from quota_ingress.policy.gateway import Gateway
from tests.helpers import (
    DRAINING,
    REMOVED,
    SECOND,
    UNLIMITED_PLANS,
    arrival,
    chosen_endpoints,
    endpoint_entry,
    endpoints_listed,
    of_type,
    settings,
    unlimited_gateway,
)


@pytest.mark.parametrize("state", [DRAINING, REMOVED])
def test_no_new_attempt_is_sent_to_a_draining_or_removed_endpoint(state: EndpointState) -> None:
    gateway = unlimited_gateway(endpoint_entry(1), endpoint_entry(2))
    gateway.handle(10, endpoints_listed(endpoint_entry(1, state), kind=ListKind.DELTA))
    assert set(chosen_endpoints(gateway, 10, range(8))) == {2}


def test_without_endpoints_a_request_is_rejected_immediately() -> None:
    gateway = unlimited_gateway()
    assert of_type(gateway.handle(0, arrival(1)), Reject)


def test_an_unreachable_endpoint_is_avoided_and_tried_again_later() -> None:
    gateway = unlimited_gateway(endpoint_entry(1), endpoint_entry(2))
    for n in range(30):
        for sent in of_type(gateway.handle(0, arrival(n)), SendAttempt):
            is_up = sent.endpoint == 2
            outcome = Outcome.OK if is_up else Outcome.CONNECT_FAILED
            ended = AttemptEnded(n, 0, sent.endpoint, outcome, 500, is_up)
            for retry in of_type(gateway.handle(0, ended), SendAttempt):
                assert retry.endpoint == 2
                gateway.handle(0, AttemptEnded(n, 1, 2, Outcome.OK, 500, True))
    assert 1 not in chosen_endpoints(gateway, 0, range(100, 103))
    assert chosen_endpoints(gateway, 40 * SECOND, range(200, 203)).count(1) >= 1


def fraction_sent_to_first(load: float, report_age: int) -> float:
    """Returns the fraction of requests sent to the first of two endpoints.

    `report_age` us earlier, the first endpoint reported `load` and the second a load of 1.
    """
    gateway = unlimited_gateway(endpoint_entry(1), endpoint_entry(2), load_fields=("queue",))
    attempts = [sent for n in range(8) for sent in of_type(gateway.handle(0, arrival(n)), SendAttempt)]
    assert {sent.endpoint for sent in attempts} == {1, 2}
    for sent in attempts:
        report = (load,) if sent.endpoint == 1 else (1.0,)
        gateway.handle(0, AttemptEnded(sent.request, 0, sent.endpoint, Outcome.OK, 1000, True, report))
    chosen = []
    for n in range(100, 140):
        for sent in of_type(gateway.handle(report_age, arrival(n)), SendAttempt):
            chosen.append(sent.endpoint)
            gateway.handle(report_age, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 1000, True))
    return chosen.count(1) / len(chosen)


def test_recent_load_reports_affect_the_choice_but_old_or_invalid_ones_do_not() -> None:
    assert fraction_sent_to_first(50.0, 1000) < 0.2
    assert 0.3 < fraction_sent_to_first(50.0, 5 * SECOND) < 0.7
    assert fraction_sent_to_first(float("nan"), 1000) > 0.3


def test_idle_endpoints_are_used_in_proportion_to_their_weight() -> None:
    chosen = []
    for index in range(8):  # together they use each endpoint once or twice
        gateway = Gateway(settings(fleet_size=300, gateway_index=index, plans=UNLIMITED_PLANS), 3)
        gateway.handle(0, endpoints_listed(*(endpoint_entry(n, weight=2.0 + n % 2) for n in range(1, 61))))
        for n in range(500):
            for sent in of_type(gateway.handle(n * 500_000, arrival(n)), SendAttempt):
                chosen.append(sent.endpoint % 2)
                gateway.handle(n * 500_000, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 100_000, True))
    assert 0.52 < sum(chosen) / len(chosen) < 0.68  # by weight, 3/5


def test_a_class_that_fails_on_some_endpoints_avoids_them_but_other_classes_do_not() -> None:
    gateway = Gateway(settings(plans=UNLIMITED_PLANS, limits={"max_attempts": 1}), 3)
    gateway.handle(0, endpoints_listed(*(endpoint_entry(n) for n in range(1, 5))))
    chosen: list[list[int]] = [[], []]
    for n in range(400):
        request_class = n % 2
        for sent in of_type(gateway.handle(n * 20_000, arrival(n, request_class=request_class)), SendAttempt):
            fails = request_class == 0 and sent.endpoint in (1, 2)
            outcome = Outcome.ERROR if fails else Outcome.OK
            gateway.handle(n * 20_000, AttemptEnded(n, 0, sent.endpoint, outcome, 50_000, True))
            chosen[request_class] += [sent.endpoint] * (n > 50)
    assert sum(endpoint in (1, 2) for endpoint in chosen[0]) < 0.15 * len(chosen[0])
    assert sum(endpoint in (1, 2) for endpoint in chosen[1]) > 0.3 * len(chosen[1])


def test_a_request_is_load_only_once_its_body_has_been_received() -> None:
    """Guards against rejecting all requests behind 96 uploads that have stopped half way."""
    gateway = unlimited_gateway(endpoint_entry(1), endpoint_entry(2))
    for n in range(100):
        (sent,) = of_type(gateway.handle(0, arrival(n, is_receiving=True)), SendAttempt)
        assert gateway.endpoints.in_flight == 0
    assert of_type(gateway.handle(0, arrival(100)), SendAttempt) and gateway.endpoints.in_flight == 1
    for n in range(100):
        gateway.handle(0, RequestReceived(n))
    assert gateway.endpoints.in_flight == 101
    assert of_type(gateway.handle(0, arrival(101)), Reject)
    gateway.handle(1000, RequestReceived(99))  # once only
    gateway.handle(1000, AttemptEnded(99, 0, sent.endpoint, Outcome.OK, 500, True))
    gateway.handle(1000, RequestReceived(99))  # it has ended
    assert gateway.endpoints.in_flight == 100


def test_an_attempt_that_ends_before_its_body_was_received_is_no_load() -> None:
    gateway = unlimited_gateway(endpoint_entry(1))
    (sent,) = of_type(gateway.handle(0, arrival(1, is_receiving=True)), SendAttempt)
    gateway.handle(1000, AttemptEnded(1, 0, sent.endpoint, Outcome.CANCELLED, 0, True))
    assert gateway.endpoints.in_flight == 0
