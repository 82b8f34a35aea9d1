"""Customers of many gateways: the decaying count, deferred requests, and the lease statistics."""

from __future__ import annotations

import math
import random

import pytest

from quota_ingress.policy.actions import AddToCounter, Reject, SendAttempt, SetTimer
from quota_ingress.policy.counted_quota import MAX_DEFER_FRACTION
from quota_ingress.policy.events import (
    CounterAnswered,
    Outcome,
    TimerFired,
)
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import CounterLimits
from tests.helpers import (
    SECOND,
    Counter,
    answer_attempts,
    arrival,
    gateway_with_endpoints,
    of,
    settle,
)


def wide_gateway(fleet_size: int = 100, **changes: object) -> Gateway:
    return gateway_with_endpoints(endpoint_count=20, fleet_size=fleet_size, **changes)


def sent_by_fleet(every: int, seconds: int, congestion: float, lost_at: float = -1) -> tuple[int, int]:
    """One customer (burst 4, rate 2) asks at chance moments, once in `every` us, at chance ones of thirty
    gateways; how much is sent on inside its quota, and beyond. The counter forgets all once, at `lost_at`."""
    fleet, counter, chance = [wide_gateway(30) for _ in range(30)], Counter(), random.Random(5)
    sent, store, now, number = [0, 0], 4.0, SECOND, 0
    while now < (1 + seconds) * SECOND:
        gap = int(chance.expovariate(1 / every))
        if now <= lost_at < now + gap:
            counter.totals.clear()
        now, number, store = now + gap, number + 1, min(4.0, store + 2 * gap / SECOND)
        gateway = chance.choice(fleet)
        gateway.admission.call_pacing.congestion = congestion
        if answer_attempts(
            gateway, now, settle(gateway, now, arrival(number, gateway_count=30, time_left=SECOND), counter)
        ):
            sent[store < 1] += 1
            store -= store >= 1
    return sent[0], sent[1]


def test_a_heavy_customer_gets_its_quota_and_hardly_more() -> None:
    """At a crowded counter, where draws by the last window's demand let in as much again beyond the quota."""
    inside, beyond = sent_by_fleet(SECOND // 10, 60, congestion=4.0)
    assert inside > 0.7 * (4 + 2 * 60) and beyond < 0.1 * inside


def test_a_lost_count_admits_a_burst_more_at_most() -> None:
    _, beyond = sent_by_fleet(SECOND // 10, 20, congestion=1.0, lost_at=8.2 * SECOND)
    assert beyond <= 4


def test_a_customer_that_asks_for_half_its_quota_is_admitted() -> None:
    inside, _ = sent_by_fleet(SECOND, 60, congestion=4.0)
    assert inside > 60


def test_a_customer_that_paused_has_its_burst_again_and_no_more() -> None:
    fleet, counter, sent = [wide_gateway(30) for _ in range(30)], Counter(), []
    for start in (SECOND, 31 * SECOND):  # all at once, at one gateway after another
        sent.append(0)
        for n, gateway in enumerate(fleet):
            sent[-1] += answer_attempts(
                gateway, start, settle(gateway, start, arrival(start + n, gateway_count=30), counter)
            )
    assert sent == [4, 4]


def test_a_request_is_deferred_until_the_counter_may_be_called() -> None:
    gateway, counter = wide_gateway(30), Counter()
    gateway.admission.call_pacing.congestion, gateway.admission.call_pacing.next_call_at = (
        8.0,
        SECOND + 50_000,
    )
    actions = gateway.handle(SECOND, arrival(1, gateway_count=30))
    (timer,) = of(actions, SetTimer)
    assert not of(actions, AddToCounter | Reject | SendAttempt)
    assert (
        answer_attempts(gateway, timer.at, settle(gateway, timer.at, TimerFired(timer.token), counter)) == 1
    )
    assert len(counter.totals) == 1


def test_a_request_deferred_too_long_is_decided_without_the_counter() -> None:
    gateway = wide_gateway(30)
    gateway.admission.call_pacing.congestion, gateway.admission.call_pacing.next_call_at = 8.0, 60 * SECOND
    assert not of(gateway.handle(SECOND, arrival(1, gateway_count=30)), SendAttempt)
    later = SECOND + int(MAX_DEFER_FRACTION * SECOND)
    assert of(gateway.handle(later, TimerFired(1)), SendAttempt)


def test_calls_to_a_crowded_counter_are_for_customers_without_recent_rejections() -> None:
    gateway = wide_gateway(30)
    (call,) = of(gateway.handle(SECOND, arrival(1, gateway_count=30)), AddToCounter)
    gateway.handle(SECOND, CounterAnswered(call.name, Outcome.OK, 1e4, 1000))  # used up many times over
    now = 30 * SECOND  # fifteen windows later nothing of it is left, but that it asked too much
    gateway.admission.call_pacing.congestion, gateway.admission.call_pacing.next_call_at = (
        4.0,
        now - SECOND // 8,
    )  # half of what may be called at one stroke
    assert not of(gateway.handle(now, arrival(2, gateway_count=30)), AddToCounter)
    assert of(gateway.handle(now, arrival(3, customer=8, gateway_count=30)), AddToCounter)


def test_units_spent_without_the_counter_are_reported_with_the_next_call() -> None:
    gateway = wide_gateway(30)
    (call,) = of(gateway.handle(SECOND, arrival(1, gateway_count=30)), AddToCounter)
    gateway.handle(SECOND, CounterAnswered(call.name, Outcome.TIMEOUT, 0.0, 30_000))  # sent, by its even part
    assert gateway.flying
    gateway.admission.call_pacing.next_call_at = 0
    (call,) = of(gateway.handle(SECOND, arrival(2, gateway_count=30)), AddToCounter)
    taken = call.amount / math.exp(SECOND % (8 * 2 * SECOND) / (2 * SECOND))
    assert taken == pytest.approx(2.0)


def test_without_a_counter_a_customers_first_request_is_sent_and_the_next_is_not() -> None:
    gateway = wide_gateway(counter=CounterLimits(False))
    assert of(gateway.handle(0, arrival(1, gateway_count=100)), SendAttempt)
    assert of(gateway.handle(1000, arrival(2, gateway_count=100)), Reject)


def test_without_a_counter_a_retry_does_not_pass_as_a_first_request() -> None:
    gateway = wide_gateway(counter=CounterLimits(False))
    sent = 0
    for n in range(100):
        sent += answer_attempts(
            gateway, 0, gateway.handle(0, arrival(n, customer=n, gateway_count=100, is_retry=True))
        )
    assert 0 < sent < 15  # the even share is a twenty-fifth of a request


def corrected_leases(uncounted: int) -> int:
    """Of two hundred refused asks, how many are given corrections after as many requests went on uncounted."""
    gateway, now = wide_gateway(30), SECOND
    for n in range(uncounted):
        gateway.admission.call_pacing.next_call_at = 60 * SECOND  # no call may be made
        gateway.handle(now, arrival(n, customer=n, gateway_count=30))
        answer_attempts(gateway, now, gateway.handle(now + int(MAX_DEFER_FRACTION * SECOND), TimerFired(n)))
    calls, now = 0, now + SECOND
    for n in range(1000, 1200):
        gateway.admission.call_pacing.next_call_at, gateway.admission.call_pacing.congestion = 0, 1.0
        (call,) = of(gateway.handle(now, arrival(n, customer=n, gateway_count=30)), AddToCounter)
        corrections = gateway.handle(now, CounterAnswered(call.name, Outcome.OK, 1e4, 1000))
        assert of(corrections, Reject)
        calls += len(of(corrections, AddToCounter))
    return calls


def test_rejected_leases_are_added_back_unless_many_requests_go_uncounted() -> None:
    assert corrected_leases(uncounted=0) == 200
    assert corrected_leases(uncounted=30) < 195  # soon all are again: the counter is asked for each
    assert corrected_leases(uncounted=200) < corrected_leases(uncounted=30)


def test_an_unknown_customer_is_admitted_without_the_counter_as_its_plans_customers_fare() -> None:
    gateway = wide_gateway(30)
    for n in range(30):  # of this plan, the last ones asked for were refused
        gateway.admission.call_pacing.next_call_at = 0
        (call,) = of(gateway.handle(SECOND, arrival(n, customer=n, gateway_count=30)), AddToCounter)
        gateway.handle(SECOND, CounterAnswered(call.name, Outcome.OK, 1e4, 1000))
    sent = 0
    for n in range(100, 200):
        gateway.admission.call_pacing.next_call_at = 60 * SECOND
        sent += answer_attempts(
            gateway,
            SECOND,
            gateway.handle(SECOND, arrival(n, customer=n, gateway_count=30, time_left=50_000)),
        )
    assert 0 < sent < 30
