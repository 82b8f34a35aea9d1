"""The adaptive concurrency limits of single endpoints and of all endpoints together."""

from __future__ import annotations

from quota_ingress.policy.actions import SendAttempt
from quota_ingress.policy.events import AttemptEnded, Outcome
from tests.helpers import (
    SECOND,
    arrival,
    chosen_endpoints,
    endpoint_entry,
    of_type,
    unlimited_gateway,
)


def test_attempts_in_flight_at_an_endpoint_are_limited_and_slow_answers_lower_the_limit() -> None:
    gateway = unlimited_gateway(endpoint_entry(1))
    sent = chosen_endpoints(gateway, 0, range(100))
    assert 1 < len(sent) <= 16
    for n in range(len(sent)):
        gateway.handle(900_000, AttemptEnded(n, 0, 1, Outcome.OK, 900_000, True))
    assert len(chosen_endpoints(gateway, 900_000, range(200, 300))) < len(sent) / 2


def test_fast_answers_do_not_lower_the_limit() -> None:
    gateway = unlimited_gateway(endpoint_entry(1))
    before = len(chosen_endpoints(gateway, 0, range(100)))
    for n in range(before):
        gateway.handle(50_000, AttemptEnded(n, 0, 1, Outcome.OK, 50_000, True))
    assert len(chosen_endpoints(gateway, 60_000, range(200, 300))) >= before


def test_the_limit_of_a_warming_endpoint_grows_while_its_current_capacity_is_used() -> None:
    gateway = unlimited_gateway(endpoint_entry(1), endpoint_entry(2, started_at=1))
    warming = gateway.endpoints.candidates[2]
    before = warming.concurrency_limit
    gateway.load_balancer.on_attempt_ended(warming, SECOND, 0, Outcome.OK, 50_000)
    assert warming.concurrency_limit == before  # the capacity was not fully used
    warming.in_flight = 2
    gateway.load_balancer.on_attempt_ended(warming, SECOND, 0, Outcome.OK, 50_000)
    assert warming.concurrency_limit > before


def test_the_limit_grows_on_answers_at_a_quarter_of_the_objective() -> None:
    """Guards against too low a target latency.

    With short objectives, the work of an idle endpoint took a fifth of the objective, and limits fell to 1.
    """
    gateway = unlimited_gateway(endpoint_entry(1))
    (endpoint,) = gateway.endpoints.candidates.values()
    endpoint.concurrency_limit, endpoint.in_flight = 2.0, 2
    gateway.load_balancer.on_attempt_ended(endpoint, SECOND, 0, Outcome.OK, SECOND // 4)
    assert endpoint.concurrency_limit > 2.0


def test_many_gateways_do_not_overload_failing_endpoints_with_one_attempt_each() -> None:
    gateway = unlimited_gateway(*(endpoint_entry(n) for n in range(1, 9)), fleet_size=16)
    for n in range(60):
        for sent in of_type(gateway.handle(n, arrival(n)), SendAttempt):
            gateway.handle(n, AttemptEnded(n, 0, sent.endpoint, Outcome.TIMEOUT, 900_000, True))
    assert (
        1 <= len(chosen_endpoints(gateway, 100, range(100, 200))) <= 4
    )  # of eight endpoints, at sixteen gateways


def sent_after_failures(timed_out_of_20: int) -> int:
    """Returns how many of 30 simultaneous requests one of many gateways sends.

    Before, `timed_out_of_20` of every 20 of its attempts timed out.
    """
    gateway = unlimited_gateway(
        *(endpoint_entry(n) for n in range(1, 21)), fleet_size=50, limits={"max_attempts": 1}
    )
    for n in range(300):
        for sent in of_type(gateway.handle(n * 200_000, arrival(n)), SendAttempt):
            has_timed_out = n % 20 < timed_out_of_20
            outcome = Outcome.TIMEOUT if has_timed_out else Outcome.OK
            latency = 900_000 if has_timed_out else 250_000
            gateway.handle(n * 200_000, AttemptEnded(n, 0, sent.endpoint, outcome, latency, True))
    return len(chosen_endpoints(gateway, 61 * SECOND, range(1000, 1030)))


def test_many_timeouts_limit_a_gateway_to_one_or_two_attempts_and_some_timeouts_do_not() -> None:
    assert 1 <= sent_after_failures(timed_out_of_20=18) <= 2
    assert 2 < sent_after_failures(timed_out_of_20=3) <= sent_after_failures(timed_out_of_20=0)
