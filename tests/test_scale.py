"""Hundreds of gateways: calls that are short, shares under one request, cold backends, rare answers."""

from quota_ingress.policy.actions import Action, Fail, Reject, SendAttempt
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
from quota_ingress.policy.settings import Plan
from tests.helpers import SECOND, arrival, backend, listed, of, settings

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
    assert g.endpoints.in_flight == 0 and g.endpoints.candidates[1].in_flight == 0


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
    assert not g.requests and not g.attempts_in_flight and g.endpoints.in_flight == 0
    assert all(count == 1 for count in ends.values())
