"""The engine without sockets: numbers, guards, time-outs, order."""

from __future__ import annotations

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.start_times import age_tolerance
from quota_ingress.net.engine.attempt_runner import RESPONSE_MARGIN
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.policy.actions import Action, AddToCounter, CancelAttempt, Fail, Reject, SendAttempt
from quota_ingress.policy.endpoint_list import EndpointsListed, ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    RequestArrived,
)
from tests.net_helpers import SETTINGS, Script
from tests.support.fake_network import START, FakeNetwork, sender


def ends(script: Script) -> list[tuple[int, Outcome, bool]]:
    return [(e.attempt, e.outcome, e.request_ended) for e in script.of(AttemptEnded)]


def test_nothing_is_kept_of_a_request_refused_by_the_counters_answer() -> None:
    def rule(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [AddToCounter(5, 1.0, 1_000_000)]
        return [Reject(1)] if isinstance(event, CounterAnswered) else []

    network = FakeNetwork(Script(rule))
    assert network.ask(b"a") and network.answers == [0]
    assert not network.ask(b"a")  # of late: still not new
    network.pass_time(2 * max(c.deadline for c in SETTINGS.classes))
    assert network.ask(b"a")  # forgotten


def test_the_first_200_is_final_and_a_later_outcome_is_not_told_twice() -> None:
    network = FakeNetwork(Script(sender()))
    network.ask()
    network.time += 7000
    network.sent[0].ended(AttemptResult(Outcome.OK, b"body", load=b"queue=2"))
    network.sent[0].ended(AttemptResult(Outcome.RESET))
    assert network.answers == [b"body"] and ends(network.script) == [(0, Outcome.OK, True)]
    (event,) = network.script.of(AttemptEnded)
    assert event.load == (2.0,) and event.latency == 7000
    assert all(t.cancelled for t in network.timers) and network.engine.in_flight == 0
    assert not network.ask()  # no new request has the id of one that has just ended
    network.pass_time(max(c.deadline for c in SETTINGS.classes) + 1)
    assert network.ask()  # the id is free again


def test_attempts_beyond_the_limit_at_once_or_after_the_end_are_moot() -> None:
    again = SendAttempt(1, 1, 0)
    network = FakeNetwork(Script(sender(again, Fail(1), again)))
    network.ask()
    assert ends(network.script) == [(1, Outcome.NOT_SENT, False), (2, Outcome.NOT_SENT, True)]
    assert len(network.sent) == 1 and network.answers == ["failed"]
    network.sent[0].ended(AttemptResult(Outcome.OK, b"too late"))
    assert ends(network.script)[2] == (0, Outcome.OK, True) and network.answers == ["failed"]


def test_time_counts_from_the_clients_sending_and_attempts_end_before_the_deadline() -> None:
    network = FakeNetwork(Script(sender(timeout=5_000_000)))
    network.ask(timeout=1_000_000, ago=200_000)
    assert network.script.of(RequestArrived)[0].time_left == 800_000
    assert b"Request-Timeout: 785m\r\n" in network.sent[0].data
    network.pass_time(800_000 - RESPONSE_MARGIN - 1)
    assert not network.sent[0].aborted
    network.pass_time(1)
    assert network.sent[0].aborted and ends(network.script) == [(0, Outcome.TIMEOUT, False)]
    network.pass_time(RESPONSE_MARGIN)
    assert network.answers == ["late"] and len(network.script.of(ClientDisconnected)) == 1


def test_an_attempt_never_written_is_not_called_a_time_out() -> None:
    network = FakeNetwork(Script(sender(timeout=1000)))
    network.ask()
    network.sent[0].ran = False
    network.pass_time(1000)
    assert ends(network.script) == [(0, Outcome.CONNECT_FAILED, False)]


def test_a_request_whose_time_is_over_never_reaches_the_module() -> None:
    network = FakeNetwork(Script(sender()))
    network.ask(timeout=100_000, ago=100_000)
    assert network.answers == [0] and not network.script.events


def test_outcomes_during_actions_wait_their_turn() -> None:
    depth = [0]

    def rule(event: Event) -> list[Action]:
        depth[0] += 1
        assert depth[0] == 1
        depth[0] -= 1
        if isinstance(event, RequestArrived):
            return [AddToCounter(5, 1.0, 1000), CancelAttempt(1, 0), SendAttempt(1, 1, 0)]
        return [CancelAttempt(1, 0)] if isinstance(event, CounterAnswered) else []

    network = FakeNetwork(Script(rule))
    network.ask()
    assert [type(e) for e in network.script.events] == [RequestArrived, CounterAnswered, AttemptEnded]
    assert ends(network.script) == [(0, Outcome.CANCELLED, False)]


def test_the_module_hears_the_list_before_the_attempts_that_it_withdraws() -> None:
    network = FakeNetwork(Script(sender()))
    names = [{"name": n, "address": "127.0.0.1:1", "status": "up", "since_ms": 5} for n in "ab"]
    network.engine.update_endpoints(decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": names}))
    network.ask()
    network.engine.update_endpoints(
        decode_endpoint_list({"index": 2, "snapshot": True, "endpoints": names[1:]})
    )
    assert [type(e) for e in network.script.events[-2:]] == [EndpointsListed, AttemptEnded]
    assert network.removed_endpoints == [1]
    first, second = network.script.of(EndpointsListed)
    assert [b.id for b in first.endpoints] == [1, 2] and [b.id for b in second.endpoints] == [2]
    just_now = START - age_tolerance(SETTINGS.safety)
    assert first.endpoints[0].started_at == just_now and second.kind is ListKind.FULL
