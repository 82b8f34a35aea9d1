"""The choice of an endpoint: weights, failures, load reports."""

from __future__ import annotations

import pytest

from quota_ingress.policy.actions import Reject, SendAttempt
from quota_ingress.policy.endpoint_list import EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.gateway import Gateway
from tests.helpers import (
    DRAINING,
    REMOVED,
    SECOND,
    UNLIMITED_PLANS,
    arrival,
    endpoint_entry,
    listed,
    of,
    sent_to,
    settings,
)


def gateway(*entries: ListedEndpoint, **changes: object) -> Gateway:
    made = Gateway(settings(plans=UNLIMITED_PLANS, **changes), seed=3)
    made.handle(0, listed(*entries))
    return made


@pytest.mark.parametrize("state", [DRAINING, REMOVED])
def test_nothing_new_is_sent_to_a_draining_or_removed_endpoint(state: EndpointState) -> None:
    g = gateway(endpoint_entry(1), endpoint_entry(2))
    g.handle(10, listed(endpoint_entry(1, state), kind=ListKind.DELTA))
    assert set(sent_to(g, 10, range(8))) == {2}


def test_without_endpoints_a_request_is_rejected_at_once() -> None:
    g = gateway()
    assert of(g.handle(0, arrival(1)), Reject)


def test_an_unreachable_endpoint_is_avoided_and_tried_again_later() -> None:
    g = gateway(endpoint_entry(1), endpoint_entry(2))
    for n in range(30):
        for sent in of(g.handle(0, arrival(n)), SendAttempt):
            is_up = sent.endpoint == 2
            outcome = Outcome.OK if is_up else Outcome.CONNECT_FAILED
            ended = AttemptEnded(n, 0, sent.endpoint, outcome, 500, is_up)
            for retry in of(g.handle(0, ended), SendAttempt):
                assert retry.endpoint == 2
                g.handle(0, AttemptEnded(n, 1, 2, Outcome.OK, 500, True))
    assert 1 not in sent_to(g, 0, range(100, 103))
    assert sent_to(g, 40 * SECOND, range(200, 203)).count(1) >= 1


def fraction_sent_to_first(load: float, report_age: int) -> float:
    """The fraction of requests sent to the first of two endpoints after it reported `load`, the other 1."""
    g = gateway(endpoint_entry(1), endpoint_entry(2), load_fields=("queue",))
    attempts = [sent for n in range(8) for sent in of(g.handle(0, arrival(n)), SendAttempt)]
    assert {sent.endpoint for sent in attempts} == {1, 2}
    for sent in attempts:
        report = (load,) if sent.endpoint == 1 else (1.0,)
        g.handle(0, AttemptEnded(sent.request, 0, sent.endpoint, Outcome.OK, 1000, True, report))
    chosen = []
    for n in range(100, 140):
        for sent in of(g.handle(report_age, arrival(n)), SendAttempt):
            chosen.append(sent.endpoint)
            g.handle(report_age, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 1000, True))
    return chosen.count(1) / len(chosen)


def test_fresh_load_reports_steer_the_choice_and_old_or_impossible_ones_do_not() -> None:
    assert fraction_sent_to_first(50.0, 1000) < 0.2
    assert 0.3 < fraction_sent_to_first(50.0, 5 * SECOND) < 0.7
    assert fraction_sent_to_first(float("nan"), 1000) > 0.3


def test_idle_endpoints_are_used_in_proportion_to_their_weight() -> None:
    chosen = []
    for index in range(8):  # between them, each endpoint once or twice
        g = Gateway(settings(fleet_size=300, gateway_index=index, plans=UNLIMITED_PLANS), 3)
        g.handle(0, listed(*(endpoint_entry(n, weight=2.0 + n % 2) for n in range(1, 61))))
        for n in range(500):
            for sent in of(g.handle(n * 500_000, arrival(n)), SendAttempt):
                chosen.append(sent.endpoint % 2)
                g.handle(n * 500_000, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 100_000, True))
    assert 0.52 < sum(chosen) / len(chosen) < 0.68  # three fifths


def test_a_class_that_fails_on_some_endpoints_goes_elsewhere_and_the_other_class_stays() -> None:
    g = Gateway(settings(plans=UNLIMITED_PLANS, limits={"max_attempts": 1}), 3)
    g.handle(0, listed(*(endpoint_entry(n) for n in range(1, 5))))
    chosen: list[list[int]] = [[], []]
    for n in range(400):
        request_class = n % 2
        for sent in of(g.handle(n * 20_000, arrival(n, request_class=request_class)), SendAttempt):
            fails = request_class == 0 and sent.endpoint in (1, 2)
            outcome = Outcome.ERROR if fails else Outcome.OK
            g.handle(n * 20_000, AttemptEnded(n, 0, sent.endpoint, outcome, 50_000, True))
            chosen[request_class] += [sent.endpoint] * (n > 50)
    assert sum(endpoint in (1, 2) for endpoint in chosen[0]) < 0.15 * len(chosen[0])
    assert sum(endpoint in (1, 2) for endpoint in chosen[1]) > 0.3 * len(chosen[1])
