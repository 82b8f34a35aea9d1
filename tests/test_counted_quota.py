"""Quotas of customers with many gateways: the decaying count, deferred requests, and lease statistics."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

import pytest

from quota_ingress.policy.actions import AddToCounter, Reject, SendAttempt, SetTimer
from quota_ingress.policy.counted_quota import MAX_DEFER_FRACTION
from quota_ingress.policy.events import CounterAnswered, Outcome, TimerFired
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import CounterLimits
from tests.helpers import (
    SECOND,
    FakeCounter,
    answer_attempts,
    arrival,
    gateway_with_endpoints,
    handle_with_counter,
    of_type,
)

FLEET_SIZE = 30
BURST, RATE = 4.0, 2.0  # of plan 0
WINDOW = 2 * SECOND  # burst / rate
EXHAUSTED = 1e4  # a total of the counter far above any limit
MAX_DEFER = int(MAX_DEFER_FRACTION * SECOND)  # class 0's latency objective is a second


class Sent(NamedTuple):
    """Numbers of requests sent within and beyond the quota at the time of sending."""

    within_quota: int
    beyond_quota: int


def gateway_of_large_fleet(fleet_size: int = FLEET_SIZE, **changes: object) -> Gateway:
    return gateway_with_endpoints(endpoint_count=20, fleet_size=fleet_size, **changes)


def set_pacing(gateway: Gateway, next_call_at: int, congestion: float | None = None) -> None:
    pacing = gateway.admission.call_pacing
    pacing.next_call_at = next_call_at
    if congestion is not None:
        pacing.congestion = congestion


def sent_by_fleet(mean_gap: int, seconds: int, congestion: float, counter_lost_at: float = -1) -> Sent:
    """Returns how many requests of one customer a fleet sends.

    The requests arrive at random times (`mean_gap` in us apart), each at a random gateway.
    """
    fleet = [gateway_of_large_fleet() for _ in range(FLEET_SIZE)]
    counter = FakeCounter()
    rng = random.Random(5)
    sent = [0, 0]
    remaining = BURST
    now = SECOND
    number = 0
    while now < (1 + seconds) * SECOND:
        gap = int(rng.expovariate(1 / mean_gap))
        if now <= counter_lost_at < now + gap:
            counter.totals.clear()
        now += gap
        number += 1
        remaining = min(BURST, remaining + RATE * gap / SECOND)
        gateway = rng.choice(fleet)
        gateway.admission.call_pacing.congestion = congestion
        event = arrival(number, gateway_count=FLEET_SIZE, time_left=SECOND)
        if answer_attempts(gateway, now, handle_with_counter(gateway, now, event, counter)):
            sent[remaining < 1] += 1
            remaining -= remaining >= 1
    return Sent(*sent)


def test_a_customer_far_over_its_quota_gets_little_more_than_its_quota() -> None:
    """Guards against over-admission while the counter is congested.

    When requests were admitted at random with a probability from the demand of the last window, the fleet
    admitted as many requests beyond the quota as within it.
    """
    within, beyond = sent_by_fleet(SECOND // 10, 60, congestion=4.0)
    assert within > 0.7 * (BURST + RATE * 60) and beyond < 0.1 * within


def test_a_lost_count_admits_at_most_one_more_burst() -> None:
    _, beyond = sent_by_fleet(SECOND // 10, 20, congestion=1.0, counter_lost_at=8.2 * SECOND)
    assert beyond <= BURST


def test_a_customer_that_requests_half_its_quota_is_admitted() -> None:
    within, _ = sent_by_fleet(SECOND, 60, congestion=4.0)
    assert within > 60


def test_after_a_pause_a_customer_gets_exactly_its_burst_again() -> None:
    fleet = [gateway_of_large_fleet() for _ in range(FLEET_SIZE)]
    counter = FakeCounter()
    sent = []
    for start in (SECOND, 31 * SECOND):  # one request at each gateway, all at the same time
        sent.append(0)
        for n, gateway in enumerate(fleet):
            actions = handle_with_counter(
                gateway, start, arrival(start + n, gateway_count=FLEET_SIZE), counter
            )
            sent[-1] += answer_attempts(gateway, start, actions)
    assert sent == [BURST, BURST]


def test_a_request_is_deferred_until_the_counter_may_be_called() -> None:
    gateway, counter = gateway_of_large_fleet(), FakeCounter()
    set_pacing(gateway, next_call_at=SECOND + 50_000, congestion=8.0)
    actions = gateway.handle(SECOND, arrival(1, gateway_count=FLEET_SIZE))
    (timer,) = of_type(actions, SetTimer)
    assert not of_type(actions, AddToCounter | Reject | SendAttempt)
    actions_when_due = handle_with_counter(gateway, timer.at, TimerFired(timer.token), counter)
    assert answer_attempts(gateway, timer.at, actions_when_due) == 1
    assert len(counter.totals) == 1


def test_a_request_deferred_too_long_is_decided_without_the_counter() -> None:
    gateway = gateway_of_large_fleet()
    set_pacing(gateway, next_call_at=60 * SECOND, congestion=8.0)
    assert not of_type(gateway.handle(SECOND, arrival(1, gateway_count=FLEET_SIZE)), SendAttempt)
    assert of_type(gateway.handle(SECOND + MAX_DEFER, TimerFired(1)), SendAttempt)


def test_calls_to_a_congested_counter_are_reserved_for_customers_without_recent_rejections() -> None:
    gateway = gateway_of_large_fleet()
    (call,) = of_type(gateway.handle(SECOND, arrival(1, gateway_count=FLEET_SIZE)), AddToCounter)
    gateway.handle(SECOND, CounterAnswered(call.name, Outcome.OK, EXHAUSTED, 1000))
    now = 30 * SECOND  # 15 windows later the count has decayed, but the customer's success rate is still low
    set_pacing(
        gateway, next_call_at=now - SECOND // 8, congestion=4.0
    )  # half of the burst of calls is unused
    assert not of_type(gateway.handle(now, arrival(2, gateway_count=FLEET_SIZE)), AddToCounter)
    assert of_type(gateway.handle(now, arrival(3, customer=8, gateway_count=FLEET_SIZE)), AddToCounter)


def test_units_spent_without_the_counter_are_reported_with_the_next_call() -> None:
    gateway = gateway_of_large_fleet()
    (call,) = of_type(gateway.handle(SECOND, arrival(1, gateway_count=FLEET_SIZE)), AddToCounter)
    gateway.handle(SECOND, CounterAnswered(call.name, Outcome.TIMEOUT, 0.0, 30_000))  # admitted locally
    assert gateway.attempts_in_flight
    set_pacing(gateway, next_call_at=0)
    (call,) = of_type(gateway.handle(SECOND, arrival(2, gateway_count=FLEET_SIZE)), AddToCounter)
    added = call.amount / math.exp(SECOND % (8 * WINDOW) / WINDOW)
    assert added == pytest.approx(2.0)


def test_without_a_counter_a_customers_first_request_is_sent_and_the_next_is_not() -> None:
    gateway = gateway_of_large_fleet(fleet_size=100, counter=CounterLimits(False))
    assert of_type(gateway.handle(0, arrival(1, gateway_count=100)), SendAttempt)
    assert of_type(gateway.handle(1000, arrival(2, gateway_count=100)), Reject)


def test_without_a_counter_a_retry_is_not_admitted_as_a_first_request() -> None:
    gateway = gateway_of_large_fleet(fleet_size=100, counter=CounterLimits(False))
    sent = 0
    for n in range(100):
        event = arrival(n, customer=n, gateway_count=100, is_retry=True)
        sent += answer_attempts(gateway, 0, gateway.handle(0, event))
    assert 0 < sent < 15  # each gateway's even share is 1/25 of a request


def corrected_leases(uncounted: int) -> int:
    """Returns how many of 200 rejected leases are corrected after `uncounted` requests bypass the counter."""
    gateway = gateway_of_large_fleet()
    now = SECOND
    for n in range(uncounted):
        set_pacing(gateway, next_call_at=60 * SECOND)
        gateway.handle(now, arrival(n, customer=n, gateway_count=FLEET_SIZE))
        answer_attempts(gateway, now, gateway.handle(now + MAX_DEFER, TimerFired(n)))
    calls = 0
    now += SECOND
    for n in range(1000, 1200):
        set_pacing(gateway, next_call_at=0, congestion=1.0)
        (call,) = of_type(gateway.handle(now, arrival(n, customer=n, gateway_count=FLEET_SIZE)), AddToCounter)
        actions = gateway.handle(now, CounterAnswered(call.name, Outcome.OK, EXHAUSTED, 1000))
        assert of_type(actions, Reject)
        calls += len(of_type(actions, AddToCounter))
    return calls


def test_rejected_leases_are_corrected_unless_many_requests_are_uncounted() -> None:
    assert corrected_leases(uncounted=0) == 200
    assert corrected_leases(uncounted=30) < 195  # corrections resume soon, as each of these calls is answered
    assert corrected_leases(uncounted=200) < corrected_leases(uncounted=30)


def test_without_the_counter_a_new_customer_is_admitted_by_the_success_rate_of_its_plan() -> None:
    gateway = gateway_of_large_fleet()
    for n in range(30):  # the first leases of 30 customers of the plan are rejected
        set_pacing(gateway, next_call_at=0)
        (call,) = of_type(
            gateway.handle(SECOND, arrival(n, customer=n, gateway_count=FLEET_SIZE)), AddToCounter
        )
        gateway.handle(SECOND, CounterAnswered(call.name, Outcome.OK, EXHAUSTED, 1000))
    sent = 0
    for n in range(100, 200):
        set_pacing(gateway, next_call_at=60 * SECOND)
        event = arrival(n, customer=n, gateway_count=FLEET_SIZE, time_left=50_000)
        sent += answer_attempts(gateway, SECOND, gateway.handle(SECOND, event))
    assert 0 < sent < 30
