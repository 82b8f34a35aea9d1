"""The rate of calls to the counter after timeouts, rejections, and late, queued and prompt answers."""

from __future__ import annotations

import heapq
import itertools

import pytest

from quota_ingress.policy.actions import AddToCounter, SendAttempt, SetTimer
from quota_ingress.policy.events import CounterAnswered, Event, Outcome, RequestArrived, TimerFired
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Plan
from tests.helpers import (
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


def test_timeouts_reduce_the_calls_of_the_next_second() -> None:
    gateway = gateway_with_endpoints()
    adds = []
    for n in range(40):
        adds += of_type(gateway.handle(0, arrival(n, customer=n)), AddToCounter)
    for add in adds:
        gateway.handle(0, CounterAnswered(add.name, Outcome.TIMEOUT, 0.0, 30_000))
    later_calls = 0
    for n in range(1000):  # 1,000 customers in one second
        later_calls += len(
            of_type(gateway.handle(SECOND + n * 1000, arrival(100 + n, customer=100 + n)), AddToCounter)
        )
    assert len(adds) == 40 and 20 < later_calls < 80


def test_rejected_calls_reduce_the_rate_of_calls() -> None:
    def calls(rejected: int) -> int:
        gateway, counter = gateway_with_endpoints(), FakeCounter()
        for n in range(rejected):
            for add in of_type(gateway.handle(0, arrival(n, customer=n + 100)), AddToCounter):
                gateway.handle(0, CounterAnswered(add.name, Outcome.REJECTED, 0.0, 1000))
        call_count = 0
        for n in range(200):
            new_arrival = arrival(1000 + n, customer=n)
            call_count += len(
                of_type(handle_with_counter(gateway, SECOND + n * 1000, new_arrival, counter), AddToCounter)
            )
        return call_count

    assert calls(8) < 0.8 * calls(0)


def test_a_broken_connection_does_not_change_the_congestion() -> None:
    gateway = gateway_with_endpoints()
    sent = 0
    for n in range(20):
        actions = gateway.handle(n * SECOND, arrival(n, customer=n))
        (add,) = of_type(actions, AddToCounter)  # the counter is still called for every new customer
        actions = gateway.handle(n * SECOND, CounterAnswered(add.name, Outcome.RESET, 0.0, 100))
        sent += len(of_type(actions, SendAttempt))
    assert gateway.admission.call_pacing.congestion == 1
    assert sent == 20  # all admitted by the local allowance


def test_a_late_answer_raises_the_congestion() -> None:
    gateway = gateway_with_endpoints()
    (add,) = of_type(gateway.handle(0, arrival(1)), AddToCounter)
    gateway.handle(60_000, CounterAnswered(add.name, Outcome.OK, add.amount, 60_000))  # the timeout is 30 ms
    assert gateway.admission.call_pacing.congestion > 1


@pytest.mark.parametrize(("latency", "recovered"), [(3_000, True), (20_000, False)])
def test_calls_recover_soon_after_an_outage_if_answers_are_prompt(latency: int, recovered: bool) -> None:
    """Guards against slow recovery after an outage of the counter.

    When a call changed the congestion by the same factor at every congestion, each of 40 gateways made
    only one call per second for 30 s after an outage, although answers took only a few ms.
    """
    gateway = Gateway(settings(fleet_size=40), 1)
    gateway.admission.call_pacing.congestion = gateway.admission.call_pacing.max_congestion
    calls = []
    for n in range(800):  # 100 customers a second
        now = SECOND + n * 10_000
        for add in of_type(gateway.handle(now, arrival(n, customer=n)), AddToCounter):
            calls.append(now)
            gateway.handle(now + latency, CounterAnswered(add.name, Outcome.OK, 1.0, latency))
    calls_in_last_second = sum(at > 8 * SECOND for at in calls)
    assert calls_in_last_second > 20 if recovered else calls_in_last_second < 10


def test_a_gateway_of_a_large_fleet_calls_less_often_than_one_of_a_small_fleet() -> None:
    of_small_fleet, of_large_fleet = Gateway(settings(fleet_size=2), 1), Gateway(settings(fleet_size=300), 1)
    calls = [0, 0]
    for n in range(1000):
        for index, gateway in enumerate((of_small_fleet, of_large_fleet)):
            calls[index] += len(
                of_type(gateway.handle(SECOND + n * 1000, arrival(n, customer=n)), AddToCounter)
            )
    assert calls[1] < 30 < calls[0]  # all gateways together make 64 calls per timeout of 30 ms


@pytest.mark.parametrize(
    ("latency", "outcome", "min_calls", "max_calls"),
    [
        (SECOND // 200, Outcome.OK, 140, 220),  # prompt: a call for nearly every request
        (SECOND // 50, Outcome.OK, 70, 125),  # queued: 10 a second, the share of one gateway of 200
        (SECOND // 200, Outcome.REJECTED, 0, 30),  # rejected: fewer and fewer calls
    ],
)
def test_a_gateway_of_a_large_fleet_calls_more_often_while_the_counter_answers_promptly(
    latency: int, outcome: Outcome, min_calls: int, max_calls: int
) -> None:
    plan = Plan("mid", 2.0, burst=8.0)
    gateway = Gateway(settings(fleet_size=200, plans=(plan,)), 1)
    gateway.handle(0, endpoints_listed(*(endpoint_entry(n) for n in range(1, 25))))
    order = itertools.count()
    calls = 0
    events: list[tuple[int, int, Event]] = []
    for number in range(400):  # 20 requests a second, each from a different customer
        request = RequestArrived(number, 0, 0, number, 1.0, 3 * SECOND, 0, 150)
        heapq.heappush(events, (SECOND + number * SECOND // 20, next(order), request))
    while events:
        now, _, event = heapq.heappop(events)
        for action in gateway.handle(now, event):
            match action:
                case AddToCounter(name, amount) if now < 21 * SECOND:
                    calls += now >= 11 * SECOND
                    answer = CounterAnswered(name, outcome, amount, latency)
                    heapq.heappush(events, (now + latency, next(order), answer))
                case SetTimer(token, at):
                    heapq.heappush(events, (max(now, at), next(order), TimerFired(token)))
    assert min_calls <= calls <= max_calls  # in the last ten seconds
