"""Hundreds of gateways: calls that are short, shares under one request, cold backends, rare answers."""

import math
import random

import pytest

from quota_ingress.policy.actions import Action, AddToCounter, Fail, Reject, SendAttempt, SetTimer
from quota_ingress.policy.counted_quota import MAX_DEFER_FRACTION
from quota_ingress.policy.endpoint_list import EndpointState, ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    PeerMessage,
    TimerFired,
)
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import CounterLimits, Plan
from tests.helpers import PLANS, SECOND, Counter, arrival, backend, listed, of, settings, settle

FREE = (Plan("free", rate=0.0, burst=0.0),)


def wide(size: int = 100, backends: int = 20, **changes: object) -> Gateway:
    made = Gateway(settings(fleet_size=size, **changes), seed=1)
    made.handle(0, listed(*(backend(n) for n in range(1, backends + 1))))
    return made


def finish(g: Gateway, now: int, actions: list[Action]) -> int:
    """Every attempt sent is answered at once; how many there were."""
    for s in of(actions, SendAttempt):
        g.handle(now, AttemptEnded(s.request, 0, s.endpoint, Outcome.OK, 50_000, True))
    return len(of(actions, SendAttempt))


def test_calls_of_one_gateway_in_many_are_few() -> None:
    one, many = Gateway(settings(fleet_size=2), 1), Gateway(settings(fleet_size=300), 1)
    calls = [0, 0]
    for n in range(1000):
        for which, g in enumerate((one, many)):
            calls[which] += len(of(g.handle(SECOND + n * 1000, arrival(n, customer=n)), AddToCounter))
    assert calls[1] < 30 < calls[0]  # 64 in a time-out of 30 ms, by all gateways together


def sent_by_fleet(every: int, seconds: int, congestion: float, lost_at: float = -1) -> tuple[int, int]:
    """One customer (burst 4, rate 2) asks at chance moments, once in `every` us, at chance ones of thirty
    gateways; how much is sent on inside its quota, and beyond. The counter forgets all once, at `lost_at`."""
    fleet, counter, chance = [wide(30) for _ in range(30)], Counter(), random.Random(5)
    sent, store, now, number = [0, 0], 4.0, SECOND, 0
    while now < (1 + seconds) * SECOND:
        gap = int(chance.expovariate(1 / every))
        if now <= lost_at < now + gap:
            counter.totals.clear()
        now, number, store = now + gap, number + 1, min(4.0, store + 2 * gap / SECOND)
        g = chance.choice(fleet)
        g.admission.call_pacing.congestion = congestion
        if finish(g, now, settle(g, now, arrival(number, gateway_count=30, time_left=SECOND), counter)):
            sent[store < 1] += 1
            store -= store >= 1
    return sent[0], sent[1]


def test_a_heavy_customer_of_many_gateways_gets_its_quota_and_hardly_more() -> None:
    """At a crowded counter, where draws by the last window's demand let in as much again beyond the quota."""
    inside, beyond = sent_by_fleet(SECOND // 10, 60, congestion=4.0)
    assert inside > 0.7 * (4 + 2 * 60) and beyond < 0.1 * inside


def test_a_count_that_is_lost_opens_the_gate_to_a_burst_at_most() -> None:
    _, beyond = sent_by_fleet(SECOND // 10, 20, congestion=1.0, lost_at=8.2 * SECOND)
    assert beyond <= 4


def test_a_customer_of_many_gateways_that_asks_for_half_its_quota_is_let_in() -> None:
    inside, _ = sent_by_fleet(SECOND, 60, congestion=4.0)
    assert inside > 60


def test_a_customer_of_many_gateways_that_rested_has_its_burst_again_and_no_more() -> None:
    fleet, counter, sent = [wide(30) for _ in range(30)], Counter(), []
    for start in (SECOND, 31 * SECOND):  # all at once, at one gateway after another
        sent.append(0)
        for n, g in enumerate(fleet):
            sent[-1] += finish(g, start, settle(g, start, arrival(start + n, gateway_count=30), counter))
    assert sent == [4, 4]


def test_a_request_waits_for_its_turn_at_the_counter_and_is_then_decided() -> None:
    g, counter = wide(30), Counter()
    g.admission.call_pacing.congestion, g.admission.call_pacing.next_call_at = 8.0, SECOND + 50_000
    actions = g.handle(SECOND, arrival(1, gateway_count=30))
    (timer,) = of(actions, SetTimer)
    assert not of(actions, AddToCounter | Reject | SendAttempt)
    assert finish(g, timer.at, settle(g, timer.at, TimerFired(timer.token), counter)) == 1
    assert len(counter.totals) == 1


def test_a_request_whose_turn_does_not_come_is_decided_without_the_counter() -> None:
    g = wide(30)
    g.admission.call_pacing.congestion, g.admission.call_pacing.next_call_at = 8.0, 60 * SECOND
    assert not of(g.handle(SECOND, arrival(1, gateway_count=30)), SendAttempt)
    later = SECOND + int(MAX_DEFER_FRACTION * SECOND)
    assert of(g.handle(later, TimerFired(1)), SendAttempt)


def test_calls_at_a_crowded_counter_go_to_customers_that_had_no_refusal_of_late() -> None:
    g = wide(30)
    (ask,) = of(g.handle(SECOND, arrival(1, gateway_count=30)), AddToCounter)
    g.handle(SECOND, CounterAnswered(ask.name, Outcome.OK, 1e4, 1000))  # used up many times over
    now = 30 * SECOND  # fifteen windows later nothing of it is left, but that it asked too much
    g.admission.call_pacing.congestion, g.admission.call_pacing.next_call_at = (
        4.0,
        now - SECOND // 8,
    )  # half of what may be called at one stroke
    assert not of(g.handle(now, arrival(2, gateway_count=30)), AddToCounter)
    assert of(g.handle(now, arrival(3, customer=8, gateway_count=30)), AddToCounter)


def test_what_is_sent_without_the_counter_is_told_with_the_next_call() -> None:
    g = wide(30)
    (ask,) = of(g.handle(SECOND, arrival(1, gateway_count=30)), AddToCounter)
    g.handle(SECOND, CounterAnswered(ask.name, Outcome.TIMEOUT, 0.0, 30_000))  # sent, by its even part
    assert g.flying
    g.admission.call_pacing.next_call_at = 0
    (ask,) = of(g.handle(SECOND, arrival(2, gateway_count=30)), AddToCounter)
    taken = ask.amount / math.exp(SECOND % (8 * 2 * SECOND) / (2 * SECOND))
    assert taken == pytest.approx(2.0)


def test_first_request_of_a_customer_at_one_of_many_is_sent_without_the_counter_and_the_next_is_not() -> None:
    g = wide(counter=CounterLimits(False))
    assert of(g.handle(0, arrival(1, gateway_count=100)), SendAttempt)
    assert of(g.handle(1000, arrival(2, gateway_count=100)), Reject)


def test_a_marked_retry_at_one_of_many_gets_no_first_request_free() -> None:
    g = wide(counter=CounterLimits(False))
    sent = 0
    for n in range(100):
        sent += finish(g, 0, g.handle(0, arrival(n, customer=n, gateway_count=100, is_retry=True)))
    assert 0 < sent < 15  # the even share is a twenty-fifth of a request


def test_cold_backend_keeps_its_budget_before_hundreds_of_gateways() -> None:
    fleet = [Gateway(settings(fleet_size=200, plans=FREE), seed) for seed in range(200)]
    started, total = 10 * SECOND, 0
    for g in fleet:
        g.handle(0, listed(*(backend(n) for n in range(1, 10))))
        g.handle(started, listed(backend(10, started_at=started), kind=ListKind.DELTA))
    cold: list[int] = []
    for step in range(10):  # each gateway sends twice a second for five seconds: 40 a second to each backend
        for g in fleet:
            now = started + step * SECOND // 2
            for s in of(g.handle(now, arrival(step)), SendAttempt):
                total += 1
                cold += [now] * (s.endpoint == 10)
                g.handle(now, AttemptEnded(step, 0, s.endpoint, Outcome.OK, 100_000, True))
    for second in range(5):
        span = sum(1 for at in cold if second * SECOND <= at - started < (second + 1) * SECOND)
        assert span <= 2.0 * (0.2 + 0.08 * (second + 1)) * 40
    assert len(cold) > 20 and total > 1900


def test_a_fleet_that_is_cold_as_a_whole_is_not_left_alone() -> None:
    g = Gateway(settings(fleet_size=200, plans=FREE), 3)
    g.handle(SECOND, listed(*(backend(n, started_at=SECOND) for n in range(1, 5))))
    sent = 0
    for n in range(100):
        for s in of(g.handle(SECOND + n * 1000, arrival(n)), SendAttempt):
            sent += 1
            g.handle(SECOND + n * 1000, AttemptEnded(n, 0, s.endpoint, Outcome.OK, 9000, True))
    assert 5 < sent < 60


def test_attempts_out_at_a_backend_that_restarts_are_counted_off() -> None:
    g = Gateway(settings(plans=FREE), 3)
    g.handle(0, listed(backend(1)))
    (send,) = of(g.handle(0, arrival(1)), SendAttempt)
    g.handle(10, listed(backend(1, started_at=10), kind=ListKind.DELTA))
    g.handle(20, AttemptEnded(1, 0, send.endpoint, Outcome.RESET, 20, True))
    assert g.fleet.out == 0 and g.fleet.backends[1].out == 0


def held_back(lost: int) -> int:
    """How many of 30 requests at once one of many gateways sends after `lost` of 20 answers were lost."""
    g = Gateway(settings(fleet_size=50, plans=FREE, limits={"max_attempts": 1}), 3)
    g.handle(0, listed(*(backend(n) for n in range(1, 21))))
    for n in range(300):
        for s in of(g.handle(n * 200_000, arrival(n)), SendAttempt):
            gone = n % 20 < lost
            outcome, took = (Outcome.TIMEOUT, 900_000) if gone else (Outcome.OK, 250_000)
            g.handle(n * 200_000, AttemptEnded(n, 0, s.endpoint, outcome, took, True))
    return len([s for n in range(1000, 1030) for s in of(g.handle(61 * SECOND, arrival(n)), SendAttempt)])


def test_a_jam_holds_a_gateway_to_few_attempts_and_some_lost_answers_do_not() -> None:
    assert 1 <= held_back(lost=18) <= 2 < held_back(lost=3) <= held_back(lost=0)


def test_idle_backends_are_used_in_proportion_to_their_weight() -> None:
    chosen = []
    for me in range(8):  # between them, each backend once or twice
        g = Gateway(settings(fleet_size=300, gateway_index=me, plans=FREE), 3)
        g.handle(0, listed(*(backend(n, weight=2.0 + n % 2) for n in range(1, 61))))
        for n in range(500):
            for s in of(g.handle(n * 500_000, arrival(n)), SendAttempt):
                chosen.append(s.endpoint % 2)
                g.handle(n * 500_000, AttemptEnded(n, 0, s.endpoint, Outcome.OK, 100_000, True))
    assert 0.52 < sum(chosen) / len(chosen) < 0.68  # three fifths


def used_by(g: Gateway, now: int, first: int) -> set[int]:
    """The backends that 200 requests, one after another, go to."""
    chosen = set()
    for n in range(first, first + 200):
        for s in of(g.handle(now, arrival(n)), SendAttempt):
            chosen.add(s.endpoint)
            g.handle(now, AttemptEnded(n, 0, s.endpoint, Outcome.OK, 50_000, True))
    return chosen


def dealt_out(gateways: int, backends: int) -> list[set[int]]:
    fleet = [
        Gateway(settings(fleet_size=gateways, gateway_index=me, plans=FREE), me) for me in range(gateways)
    ]
    for g in fleet:
        g.handle(0, listed(*(backend(n) for n in range(1, backends + 1))))
    return [used_by(g, 0, 0) for g in fleet]


def test_each_gateway_of_a_large_fleet_keeps_to_a_part_of_the_backends_and_all_to_each_as_many() -> None:
    """Forty gateways that each knew sixty backends learned late and opened 2,400 connections."""
    parts = dealt_out(40, 60)
    assert all(len(part) <= 30 for part in parts)
    assert {sum(n in part for part in parts) for n in range(1, 61)} == {10}


def test_a_small_fleet_uses_all_backends_at_each_gateway() -> None:
    assert dealt_out(3, 14) == [set(range(1, 15))] * 3


def test_a_part_stays_and_is_refilled_as_backends_are_lost() -> None:
    g = Gateway(settings(fleet_size=40, plans=FREE), 3)
    g.handle(0, listed(*(backend(n) for n in range(1, 61))))
    before = used_by(g, 0, 0)
    g.handle(SECOND, listed(*(backend(n) for n in range(1, 41))))  # a zone is gone
    after = used_by(g, SECOND, 1000)
    assert after >= {n for n in before if n <= 40} and len(after) > 10


def test_where_a_part_has_no_room_the_others_are_used() -> None:
    g = Gateway(settings(fleet_size=40, plans=FREE), 3)
    g.handle(0, listed(*(backend(n) for n in range(1, 61))))
    own = used_by(g, 0, 0)
    drained = [backend(n, EndpointState.DRAINING) for n in own]
    g.handle(SECOND, listed(*drained, kind=ListKind.DELTA))
    left = used_by(g, SECOND, 1000)
    assert left and not left & own


def test_backends_are_dealt_out_by_what_is_the_same_at_every_gateway() -> None:
    """A real ingress numbers backends for itself."""
    g = [Gateway(settings(fleet_size=40, plans=FREE), 3) for _ in range(2)]
    g[0].handle(0, listed(*(backend(n, hash_key=1000 + n) for n in range(1, 61))))
    g[1].handle(0, listed(*(backend(100 - n, hash_key=1000 + n) for n in range(1, 61))))
    assert used_by(g[0], 0, 0) == {100 - n for n in used_by(g[1], 0, 0)}


def test_one_class_failing_on_some_backends_goes_elsewhere_and_the_other_stays() -> None:
    g = Gateway(settings(plans=FREE, limits={"max_attempts": 1}), 3)
    g.handle(0, listed(*(backend(n) for n in range(1, 5))))
    chosen: list[list[int]] = [[], []]
    for n in range(400):
        cls = n % 2
        for s in of(g.handle(n * 20_000, arrival(n, request_class=cls)), SendAttempt):
            bad = cls == 0 and s.endpoint in (1, 2)
            outcome = Outcome.ERROR if bad else Outcome.OK
            g.handle(n * 20_000, AttemptEnded(n, 0, s.endpoint, outcome, 50_000, True))
            chosen[cls] += [s.endpoint] * (n > 50)
    assert sum(b in (1, 2) for b in chosen[0]) < 0.15 * len(chosen[0])
    assert sum(b in (1, 2) for b in chosen[1]) > 0.3 * len(chosen[1])


@pytest.mark.parametrize("size", [1, 2, 350])
@pytest.mark.parametrize(("first", "spread"), [(0, 0), (9999, 65535), (-5, -1), (0, 2**31)])
def test_a_set_that_fits_no_fleet_opens_no_gate(size: int, first: int, spread: int) -> None:
    g, counter = Gateway(settings(fleet_size=size), 1), Counter()
    g.handle(0, listed(backend(1), backend(2)))
    sent = 0
    for n in range(60):
        event = arrival(n, first_gateway=first, gateway_count=spread)
        sent += len(of(settle(g, 0, event, counter), SendAttempt))
    assert sent <= PLANS[0].burst


def test_a_turn_of_seconds_of_events_in_any_order_leaves_one_answer_each() -> None:
    g = wide(plans=FREE)
    ends: dict[int, int] = {}
    late: list[Event] = []
    for n in range(50):
        actions = g.handle(SECOND, arrival(n))
        for s in of(actions, SendAttempt):
            late.append(AttemptEnded(n, 0, s.endpoint, Outcome.OK, 1000, True))
        for refusal in of(actions, Reject):
            ends[refusal.request] = ends.get(refusal.request, 0) + 1
    strays = [
        ClientDisconnected(777),
        CounterAnswered(5, Outcome.OK, -3.0, 1),
        PeerMessage(9, b"\xff"),
        TimerFired(3),
        AttemptEnded(4000, 2, 1, Outcome.ERROR, 5, True),
    ]
    for event in [*reversed(late), *strays, *late]:
        for action in g.handle(5 * SECOND, event):
            assert not isinstance(action, SendAttempt | Reject | Fail)
    assert not g.requests and not g.flying and g.fleet.out == 0
    assert all(count == 1 for count in ends.values())


def given_back(unheard: int) -> int:
    """Of two hundred refused asks, how many are given back after as many requests went on unheard."""
    g, now = wide(30), SECOND
    for n in range(unheard):
        g.admission.call_pacing.next_call_at = 60 * SECOND  # no call may be made
        g.handle(now, arrival(n, customer=n, gateway_count=30))
        finish(g, now, g.handle(now + int(MAX_DEFER_FRACTION * SECOND), TimerFired(n)))
    calls, now = 0, now + SECOND
    for n in range(1000, 1200):
        g.admission.call_pacing.next_call_at, g.admission.call_pacing.congestion = 0, 1.0
        (ask,) = of(g.handle(now, arrival(n, customer=n, gateway_count=30)), AddToCounter)
        back = g.handle(now, CounterAnswered(ask.name, Outcome.OK, 1e4, 1000))
        assert of(back, Reject)
        calls += len(of(back, AddToCounter))
    return calls


def test_refused_asks_are_given_back_unless_much_goes_on_unheard() -> None:
    assert given_back(unheard=0) == 200
    assert given_back(unheard=30) < 195  # soon all are again: the counter is asked for each
    assert given_back(unheard=200) < given_back(unheard=30)


def test_a_customer_of_whom_nothing_is_known_goes_unheard_as_its_plans_customers_fare() -> None:
    g = wide(30)
    for n in range(30):  # of this plan, the last ones asked for were refused
        g.admission.call_pacing.next_call_at = 0
        (ask,) = of(g.handle(SECOND, arrival(n, customer=n, gateway_count=30)), AddToCounter)
        g.handle(SECOND, CounterAnswered(ask.name, Outcome.OK, 1e4, 1000))
    sent = 0
    for n in range(100, 200):
        g.admission.call_pacing.next_call_at = 60 * SECOND
        sent += finish(
            g, SECOND, g.handle(SECOND, arrival(n, customer=n, gateway_count=30, time_left=50_000))
        )
    assert 0 < sent < 30
