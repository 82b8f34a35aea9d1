"""Quotas of customers with few gateways: leases per window, corrections, and failures of the counter."""

from __future__ import annotations

import pytest

from quota_ingress.policy.actions import AddToCounter, Reject, SendAttempt
from quota_ingress.policy.events import CounterAnswered, Outcome
from quota_ingress.policy.lease import counter_name
from quota_ingress.policy.leased_quota import LeasedQuota
from tests.helpers import (
    PLANS,
    SECOND,
    FakeCounter,
    arrival,
    gateway_with_endpoints,
    handle_with_counter,
    of_type,
)


def test_first_request_leases_several_units_and_is_sent() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    actions = gateway.handle(0, arrival(1))
    (add,) = of_type(actions, AddToCounter)
    assert not of_type(actions, SendAttempt) and add.amount > 1
    assert add.name == counter_name(7, 0)
    assert len(of_type(gateway.handle(1000, counter.apply(actions)[0]), SendAttempt)) == 1


def test_leased_units_admit_without_another_call() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    handle_with_counter(gateway, 0, arrival(1, units=0.5), counter)
    again = gateway.handle(1000, arrival(2, units=0.5))
    assert of_type(again, SendAttempt) and not of_type(again, AddToCounter)


def test_units_leased_beyond_the_quota_are_subtracted_from_the_counter() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    counter.totals[counter_name(7, 0)] = 3.5  # another gateway took most of the burst of 4
    actions = handle_with_counter(gateway, 0, arrival(1), counter)
    corrections = [a.amount for a in of_type(actions, AddToCounter) if a.amount < 0]
    assert len(corrections) == 1 and of_type(actions, Reject) and not of_type(actions, SendAttempt)
    assert counter.totals[counter_name(7, 0)] == pytest.approx(4.0)


def test_two_gateways_share_one_burst() -> None:
    first_gateway, second_gateway, counter = gateway_with_endpoints(), gateway_with_endpoints(), FakeCounter()
    sent = 0
    for n in range(20):
        sent += len(
            of_type(
                handle_with_counter((first_gateway, second_gateway)[n % 2], 0, arrival(n), counter),
                SendAttempt,
            )
        )
    assert 3 <= sent <= 4  # the burst is 4; a fraction of a request may remain unused in a lease


def test_rejects_without_a_call_once_the_bucket_is_known_to_be_empty() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    for n in range(8):
        handle_with_counter(gateway, 0, arrival(n), counter)
    last_actions = gateway.handle(0, arrival(9))
    assert of_type(last_actions, Reject) and not of_type(last_actions, AddToCounter)


def test_without_answers_each_gateway_admits_the_quota_divided_by_the_gateway_count() -> None:
    gateway = gateway_with_endpoints()
    sent = 0
    for n in range(40):
        actions = gateway.handle(0, arrival(n))
        for add in of_type(actions, AddToCounter):
            actions += gateway.handle(0, CounterAnswered(add.name, Outcome.TIMEOUT, 0.0, 30_000))
        sent += len(of_type(actions, SendAttempt))
    assert sent == 2  # a burst of 4 divided by two gateways


def test_a_counter_that_lost_its_totals_admits_no_second_burst() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    sent = sum(
        len(of_type(handle_with_counter(gateway, 0, arrival(n), counter), SendAttempt)) for n in range(8)
    )
    counter.totals.clear()
    sent += sum(
        len(of_type(handle_with_counter(gateway, 500_000, arrival(n), counter), SendAttempt))
        for n in range(8, 16)
    )
    assert sent <= 5  # the burst of 4, and half a second at 2 a second
    assert sum(counter.totals.values()) > 2  # the gateway has reported the lost units again


@pytest.mark.parametrize("total", [float("nan"), float("inf"), -50.0, -1e30])
def test_invalid_totals_of_the_counter_admit_at_most_a_burst(total: float) -> None:
    gateway = gateway_with_endpoints()
    sent = 0
    for n in range(30):
        for add in of_type(gateway.handle(0, arrival(n)), AddToCounter):
            sent += len(
                of_type(gateway.handle(0, CounterAnswered(add.name, Outcome.OK, total, 9)), SendAttempt)
            )
    assert sent <= 4


def test_leased_units_and_a_full_bucket_add_up_to_one_burst() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    handle_with_counter(gateway, 0, arrival(1), counter)
    quota = gateway.admission.customers[7]
    assert quota.bucket.leased_units > 0
    assert quota.bucket.remaining(30 * SECOND) + quota.bucket.leased_units == pytest.approx(PLANS[0].burst)


def test_leased_units_are_not_spent_again_while_the_counter_does_not_answer() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    handle_with_counter(gateway, 0, arrival(1, units=2.0), counter)  # this gateway's share of the burst of 4
    gateway.admission.customers[7].bucket.leased_units = 0.0
    actions = gateway.handle(1, arrival(2))
    for add in of_type(actions, AddToCounter):
        actions += gateway.handle(1, CounterAnswered(add.name, Outcome.TIMEOUT, 0.0, 90_000))
    assert of_type(actions, Reject) and not of_type(actions, SendAttempt)


def test_units_spent_without_the_counter_are_reported_with_the_next_call() -> None:
    gateway = gateway_with_endpoints()
    for second, outcome in enumerate((Outcome.TIMEOUT, Outcome.REJECTED)):  # a rejected call adds nothing
        (add,) = of_type(gateway.handle(second * SECOND, arrival(second)), AddToCounter)
        spent = gateway.handle(second * SECOND, CounterAnswered(add.name, outcome, 0.0, 90_000))
        assert of_type(spent, SendAttempt)
    quota = gateway.admission.customers[7]
    assert isinstance(quota, LeasedQuota)
    assert quota.unreported_units == 2.0
    (add,) = of_type(gateway.handle(3 * SECOND, arrival(9)), AddToCounter)
    assert quota.unreported_units == 0.0 and add.amount >= 3.0
