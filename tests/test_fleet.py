"""Choice of backend, health, drains, cold budget, bound on what is out."""

import pytest

from quota_ingress.policy.actions import Action, Reject, SendAttempt, SubscribeToEndpoints
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import AttemptEnded, ClientDisconnected, Outcome
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Plan
from tests.helpers import DRAINING, GONE, PLANS, SECOND, arrival, backend, listed, of, settings

FREE = (Plan("free", rate=0.0, burst=0.0),)


def gateway(*entries: ListedEndpoint, **changes: object) -> Gateway:
    made = Gateway(settings(plans=FREE, **changes), seed=3)
    made.handle(0, listed(*entries))
    return made


def sends(g: Gateway, now: int, numbers: range, **changes: object) -> list[int]:
    return [s.endpoint for n in numbers for s in of(g.handle(now, arrival(n, **changes)), SendAttempt)]


@pytest.mark.parametrize("state", [DRAINING, GONE])
def test_nothing_new_to_a_backend_told_to_drain(state: EndpointState) -> None:
    g = gateway(backend(1), backend(2))
    g.handle(10, listed(backend(1, state), kind=ListKind.DELTA))
    assert set(sends(g, 10, range(8))) == {2}


def test_absent_from_a_full_list_is_gone_and_absent_from_a_change_is_not() -> None:
    g = gateway(backend(1), backend(2))
    g.handle(10, listed(backend(2), kind=ListKind.DELTA))
    assert set(sends(g, 10, range(8))) == {1, 2}
    g.handle(20, listed(backend(2)))
    assert set(sends(g, 20, range(10, 14))) <= {2}


def test_no_backend_means_a_refusal_at_once() -> None:
    g = gateway()
    assert of(g.handle(0, arrival(1)), Reject)


def test_what_is_out_at_a_backend_is_bounded_and_falls_with_late_answers() -> None:
    g = gateway(backend(1))
    first = sends(g, 0, range(100))
    assert 1 < len(first) <= 16
    for n in range(len(first)):
        g.handle(900_000, AttemptEnded(n, 0, 1, Outcome.OK, 900_000, True))
    assert len(sends(g, 900_000, range(200, 300))) < len(first) / 2


def test_prompt_answers_raise_the_bound() -> None:
    g = gateway(backend(1))
    before = len(sends(g, 0, range(100)))
    for n in range(before):
        g.handle(50_000, AttemptEnded(n, 0, 1, Outcome.OK, 50_000, True))
    assert len(sends(g, 60_000, range(200, 300))) >= before


def test_no_further_attempt_is_sent_that_cannot_end_in_time() -> None:
    def after(took: int) -> list[Action]:
        g = gateway(backend(1), backend(2))
        for n in range(5):
            for s in of(g.handle(n * SECOND, arrival(n)), SendAttempt):
                g.handle(n * SECOND, AttemptEnded(n, 0, s.endpoint, Outcome.OK, 100_000, True))
        (send,) = of(g.handle(9 * SECOND, arrival(9, time_left=300_000)), SendAttempt)
        ended = AttemptEnded(9, 0, send.endpoint, Outcome.ERROR, took, False)
        return g.handle(9 * SECOND + took, ended)

    assert of(after(150_000), SendAttempt)  # answers usually take 100 ms
    assert not of(after(299_000), SendAttempt) and of(after(299_000), Reject)


def test_unreachable_backend_is_left_alone_and_tried_again_later() -> None:
    g = gateway(backend(1), backend(2))
    for n in range(30):
        for s in of(g.handle(0, arrival(n)), SendAttempt):
            outcome = Outcome.OK if s.endpoint == 2 else Outcome.CONNECT_FAILED
            for again in of(
                g.handle(0, AttemptEnded(n, 0, s.endpoint, outcome, 500, s.endpoint == 2)), SendAttempt
            ):
                assert again.endpoint == 2
                g.handle(0, AttemptEnded(n, 1, 2, Outcome.OK, 500, True))
    assert 1 not in sends(g, 0, range(100, 103))
    assert sends(g, 40 * SECOND, range(200, 203)).count(1) >= 1


def test_cold_backend_stays_inside_its_budget() -> None:
    warm = [backend(n) for n in range(1, 5)]
    g = gateway(*warm)
    now, cold_sends = 0, []
    for n in range(4000):
        now += 5000  # 200 a second over four warm backends: 50 each
        if n == 2000:
            g.handle(now, listed(backend(9, started_at=now), kind=ListKind.DELTA))
        for s in of(g.handle(now, arrival(n)), SendAttempt):
            cold_sends += [now] * (s.endpoint == 9)
            g.handle(now, AttemptEnded(n, 0, s.endpoint, Outcome.OK, 100_000, True))
    started = 2001 * 5000
    for at in cold_sends:
        span = sum(1 for other in cold_sends if at <= other < at + SECOND)
        present = 0.2 + 0.8 * min(1.0, (at - started) / (10 * SECOND))
        assert span <= 2.0 * present * 50 + 1
    assert len(cold_sends) > 50


def test_asks_for_the_list_where_it_must() -> None:
    g = Gateway(settings(must_subscribe=True), 1)
    assert of(g.handle(0, listed(backend(1), kind=ListKind.CACHED)), SubscribeToEndpoints)
    assert of(g.handle(9, EndpointsListed(ListKind.FAILED, 0, ())), SubscribeToEndpoints)
    assert PLANS


def test_bound_of_a_cold_backend_grows_while_its_warm_part_is_used() -> None:
    g = gateway(backend(1), backend(2, started_at=1))
    cold = g.endpoints.candidates[2]
    before = cold.concurrency_limit
    g.load_balancer.on_attempt_ended(cold, SECOND, 0, Outcome.OK, 50_000)
    assert cold.concurrency_limit == before  # not used
    cold.in_flight = 2
    g.load_balancer.on_attempt_ended(cold, SECOND, 0, Outcome.OK, 50_000)
    assert cold.concurrency_limit > before


def test_fresh_reports_steer_the_choice_and_old_or_impossible_ones_do_not() -> None:
    def share(load: float, age: int) -> float:
        g = gateway(backend(1), backend(2), load_fields=("queue",))
        sent = [s for n in range(8) for s in of(g.handle(0, arrival(n)), SendAttempt)]
        assert {s.endpoint for s in sent} == {1, 2}
        for s in sent:
            value = (load,) if s.endpoint == 1 else (1.0,)
            g.handle(0, AttemptEnded(s.request, 0, s.endpoint, Outcome.OK, 1000, True, value))
        chosen = []
        for n in range(100, 140):
            for s in of(g.handle(age, arrival(n)), SendAttempt):
                chosen.append(s.endpoint)
                g.handle(age, AttemptEnded(n, 0, s.endpoint, Outcome.OK, 1000, True))
        return chosen.count(1) / len(chosen)

    assert share(50.0, 1000) < 0.2
    assert 0.3 < share(50.0, 5 * SECOND) < 0.7
    assert share(float("nan"), 1000) > 0.3


def test_many_gateways_together_do_not_jam_a_fleet_with_one_attempt_each() -> None:
    g = gateway(*(backend(n) for n in range(1, 9)), fleet_size=16)
    for n in range(60):
        for s in of(g.handle(n, arrival(n)), SendAttempt):
            g.handle(n, AttemptEnded(n, 0, s.endpoint, Outcome.TIMEOUT, 900_000, True))
    assert 1 <= len(sends(g, 100, range(100, 200))) <= 4  # of eight backends, at sixteen gateways


def test_bound_grows_on_answers_at_a_quarter_of_the_aim() -> None:
    """Days with short aims: an idle backend's own work took a fifth of the aim, and bounds sank to one."""
    g = gateway(backend(1))
    (known,) = g.endpoints.candidates.values()
    known.concurrency_limit, known.in_flight = 2.0, 2
    g.load_balancer.on_attempt_ended(known, SECOND, 0, Outcome.OK, SECOND // 4)
    assert known.concurrency_limit > 2.0


def test_an_answer_is_waited_for_until_half_of_the_aim_has_passed() -> None:
    g = gateway(backend(1), limits={"may_hedge": False})
    for n in range(4):
        (sent,) = of(g.handle(n, arrival(n)), SendAttempt)
        assert sent.timeout >= SECOND // 2  # a third cut off many an answer
        g.handle(n, AttemptEnded(n, 0, 1, Outcome.OK, 20_000, True))


def test_backends_that_have_gone_are_forgotten() -> None:
    g = gateway(backend(1))
    for n in range(2, 50):
        g.handle(n, listed(backend(n), backend(n - 1, GONE), kind=ListKind.DELTA))
    assert set(g.endpoints.candidates) == {49}


def test_customers_that_came_once_are_forgotten_when_their_store_must_be_full() -> None:
    g = gateway(backend(1))
    for n in range(40):  # a window is two seconds
        g.handle(n * SECOND, arrival(n, customer=n))
        g.handle(n * SECOND, ClientDisconnected(n))
    assert len(g.admission.customers) <= 8
