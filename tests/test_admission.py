"""Admission control: limit on attempts, hard ceiling, over-quota service, Retry-After, idle customers."""

from __future__ import annotations

import pytest

from quota_ingress.policy.actions import Reject, SendAttempt
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.leased_quota import LeasedQuota
from tests.helpers import (
    PLANS,
    SECOND,
    FakeCounter,
    arrival,
    endpoint_entry,
    endpoints_listed,
    gateway_with_endpoints,
    handle_with_counter,
    of_type,
    settings,
)


def test_retry_after_depends_on_the_capacity_of_the_borrowing_ring() -> None:
    answers = []
    for capacity in (0.0, 2.0):
        gateway, counter = gateway_with_endpoints(), FakeCounter()
        handle_with_counter(gateway, 0, arrival(1), counter)
        quota = gateway.admission.customers[7]
        assert isinstance(quota, LeasedQuota)
        quota.bucket.leased_units = 0.0
        quota.bucket.remaining_upper_bound = 0.0
        quota.refill_rate = 10.0
        quota.demand.rate = 0.0
        quota.book_retry(0, 1.0)
        for slot in quota.ring.slots:
            slot.capacity = capacity
        answers.append(of_type(handle_with_counter(gateway, 0, arrival(2), counter), Reject)[0].retry_after)
    assert answers == [0, 500_000]


def test_idle_customers_are_discarded() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    for n in range(50):
        handle_with_counter(gateway, 0, arrival(n, customer=n), counter)
    handle_with_counter(gateway, 60 * SECOND, arrival(99, customer=99), counter)
    assert list(gateway.admission.customers) == [99]


def test_over_quota_requests_are_sent_if_the_plan_pays_and_endpoints_have_spare_capacity() -> None:
    gateway, counter = gateway_with_endpoints(), FakeCounter()
    sent = sum(
        len(of_type(handle_with_counter(gateway, 0, arrival(n, plan=1), counter), SendAttempt))
        for n in range(40)
    )
    assert 4 < sent <= 20  # more than the burst of 4, up to 0.6 of the endpoints' capacity of 4 * 8


def test_attempts_in_flight_are_limited_by_the_plan() -> None:
    gateway = gateway_with_endpoints()
    decisions = [gateway.handle(0, arrival(n, plan=2)) for n in range(3)]
    assert [len(of_type(a, SendAttempt)) for a in decisions] == [1, 1, 0] and of_type(decisions[2], Reject)
    send = of_type(decisions[0], SendAttempt)[0]
    gateway.handle(9000, AttemptEnded(0, 0, send.endpoint, Outcome.OK, 9000, True))
    assert of_type(gateway.handle(9000, arrival(4, plan=2)), SendAttempt)


def test_two_gateways_do_not_exceed_the_hard_ceiling_when_they_restart() -> None:
    counter = FakeCounter()
    sent = []
    for run in range(3):
        gateways = [gateway_with_endpoints(), gateway_with_endpoints()]
        for ms in range(0, 4000, 20):
            now = run * 4 * SECOND + ms * 1000
            actions = handle_with_counter(gateways[ms // 20 % 2], now, arrival(now, plan=3), counter)
            sent += [now] * len(of_type(actions, SendAttempt))
    remaining = 8.0
    last_sent_at = 0
    for now in sent:
        remaining = min(8.0, remaining + 4.0 * (now - last_sent_at) / SECOND) - 1
        last_sent_at = now
        assert remaining >= -0.001
    assert len(sent) > 5


@pytest.mark.parametrize("gateways_in_fleet", [1, 2, 350])
@pytest.mark.parametrize(("first_index", "claimed_count"), [(0, 0), (9999, 65535), (-5, -1), (0, 2**31)])
def test_invalid_gateway_counts_admit_at_most_one_burst(
    gateways_in_fleet: int, first_index: int, claimed_count: int
) -> None:
    gateway, counter = Gateway(settings(fleet_size=gateways_in_fleet), 1), FakeCounter()
    gateway.handle(0, endpoints_listed(endpoint_entry(1), endpoint_entry(2)))
    sent = 0
    for n in range(60):
        event = arrival(n, first_gateway=first_index, gateway_count=claimed_count)
        sent += len(of_type(handle_with_counter(gateway, 0, event, counter), SendAttempt))
    assert sent <= PLANS[0].burst
