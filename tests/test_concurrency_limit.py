"""Adaptive concurrency limits of an endpoint and of the fleet."""

from __future__ import annotations

from quota_ingress.policy.actions import SendAttempt
from quota_ingress.policy.endpoint_list import ListedEndpoint
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.gateway import Gateway
from tests.helpers import SECOND, UNLIMITED_PLANS, arrival, endpoint_entry, listed, of, sent_to, settings


def make_gateway(*entries: ListedEndpoint, **changes: object) -> Gateway:
    new_gateway = Gateway(settings(plans=UNLIMITED_PLANS, **changes), seed=3)
    new_gateway.handle(0, listed(*entries))
    return new_gateway


def test_attempts_in_flight_at_an_endpoint_are_limited_and_the_limit_falls_with_late_answers() -> None:
    gateway = make_gateway(endpoint_entry(1))
    sent = sent_to(gateway, 0, range(100))
    assert 1 < len(sent) <= 16
    for n in range(len(sent)):
        gateway.handle(900_000, AttemptEnded(n, 0, 1, Outcome.OK, 900_000, True))
    assert len(sent_to(gateway, 900_000, range(200, 300))) < len(sent) / 2


def test_prompt_answers_raise_the_limit() -> None:
    gateway = make_gateway(endpoint_entry(1))
    before = len(sent_to(gateway, 0, range(100)))
    for n in range(before):
        gateway.handle(50_000, AttemptEnded(n, 0, 1, Outcome.OK, 50_000, True))
    assert len(sent_to(gateway, 60_000, range(200, 300))) >= before


def test_the_limit_of_a_warming_endpoint_grows_while_its_warm_fraction_is_used() -> None:
    gateway = make_gateway(endpoint_entry(1), endpoint_entry(2, started_at=1))
    warming = gateway.endpoints.candidates[2]
    before = warming.concurrency_limit
    gateway.load_balancer.on_attempt_ended(warming, SECOND, 0, Outcome.OK, 50_000)
    assert warming.concurrency_limit == before  # not used
    warming.in_flight = 2
    gateway.load_balancer.on_attempt_ended(warming, SECOND, 0, Outcome.OK, 50_000)
    assert warming.concurrency_limit > before


def test_the_limit_grows_on_answers_at_a_quarter_of_the_objective() -> None:
    """With short objectives an idle endpoint's own work took a fifth of them, and limits sank to one."""
    gateway = make_gateway(endpoint_entry(1))
    (endpoint,) = gateway.endpoints.candidates.values()
    endpoint.concurrency_limit, endpoint.in_flight = 2.0, 2
    gateway.load_balancer.on_attempt_ended(endpoint, SECOND, 0, Outcome.OK, SECOND // 4)
    assert endpoint.concurrency_limit > 2.0


def test_many_gateways_together_do_not_jam_a_fleet_with_one_attempt_each() -> None:
    gateway = make_gateway(*(endpoint_entry(n) for n in range(1, 9)), fleet_size=16)
    for n in range(60):
        for sent in of(gateway.handle(n, arrival(n)), SendAttempt):
            gateway.handle(n, AttemptEnded(n, 0, sent.endpoint, Outcome.TIMEOUT, 900_000, True))
    assert 1 <= len(sent_to(gateway, 100, range(100, 200))) <= 4  # of eight endpoints, at sixteen gateways


def sent_after_failures(lost: int) -> int:
    """How many of 30 requests at once one of many gateways sends after `lost` of 20 answers were lost."""
    gateway = make_gateway(
        *(endpoint_entry(n) for n in range(1, 21)), fleet_size=50, limits={"max_attempts": 1}
    )
    for n in range(300):
        for sent in of(gateway.handle(n * 200_000, arrival(n)), SendAttempt):
            is_lost = n % 20 < lost
            outcome = Outcome.TIMEOUT if is_lost else Outcome.OK
            latency = 900_000 if is_lost else 250_000
            gateway.handle(n * 200_000, AttemptEnded(n, 0, sent.endpoint, outcome, latency, True))
    return len(sent_to(gateway, 61 * SECOND, range(1000, 1030)))


def test_a_jam_holds_a_gateway_to_few_attempts_and_some_lost_answers_do_not() -> None:
    assert 1 <= sent_after_failures(lost=18) <= 2
    assert 2 < sent_after_failures(lost=3) <= sent_after_failures(lost=0)
