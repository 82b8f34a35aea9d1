"""The engine on a fake network: request ids, single answers, timeouts and the order of events."""

from __future__ import annotations

import pytest

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.start_times import age_tolerance
from quota_ingress.net.engine import requests
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
from tests.support.fake_network import START, FakeNetwork, send_on_arrival


def attempt_results(script: Script) -> list[tuple[int, Outcome, bool]]:
    return [(e.attempt, e.outcome, e.request_ended) for e in script.events_of_type(AttemptEnded)]


def test_a_request_that_is_rejected_on_the_counters_answer_is_removed_and_its_id_expires() -> None:
    def rule(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [AddToCounter(5, 1.0, 1_000_000)]
        return [Reject(1)] if isinstance(event, CounterAnswered) else []

    network = FakeNetwork(Script(rule))
    assert network.submit_request(b"a") and network.responses == [0]
    assert not network.submit_request(b"a")  # its id is still in use
    network.pass_time(2 * max(c.deadline for c in SETTINGS.classes))
    assert not network.submit_request(b"a")  # its client may come again late
    network.pass_time(requests.KEPT_ID_LIFETIME_US)
    assert network.submit_request(b"a")  # the id has expired


def test_the_first_200_is_final_and_a_second_outcome_of_the_attempt_is_ignored() -> None:
    network = FakeNetwork(Script(send_on_arrival()))
    network.submit_request()
    network.time += 7000
    network.sent[0].on_ended(AttemptResult(Outcome.OK, b"body", load=b"queue=2"))
    network.sent[0].on_ended(AttemptResult(Outcome.RESET))
    assert network.responses == [b"body"] and attempt_results(network.script) == [(0, Outcome.OK, True)]
    (event,) = network.script.events_of_type(AttemptEnded)
    assert event.load == (2.0,) and event.latency == 7000
    assert all(t.cancelled for t in network.timers) and network.engine.in_flight == 0
    assert not network.submit_request()  # the id stays in use for a while after the request has ended
    network.pass_time(requests.KEPT_ID_LIFETIME_US - 1)
    assert not network.submit_request()
    network.pass_time(1)
    assert network.submit_request()  # the id has expired


def test_attempts_beyond_the_limit_or_after_the_final_answer_are_not_sent() -> None:
    another_attempt = SendAttempt(1, 1, 0)
    network = FakeNetwork(Script(send_on_arrival(another_attempt, Fail(1), another_attempt)))
    network.submit_request()
    assert attempt_results(network.script) == [(1, Outcome.NOT_SENT, False), (2, Outcome.NOT_SENT, True)]
    assert len(network.sent) == 1 and network.responses == ["failed"]
    network.sent[0].on_ended(AttemptResult(Outcome.OK, b"too late"))
    assert attempt_results(network.script)[2] == (0, Outcome.OK, True) and network.responses == ["failed"]


def test_time_counts_from_the_requests_receipt_and_attempts_end_before_the_deadline() -> None:
    network = FakeNetwork(Script(send_on_arrival(timeout=5_000_000)))
    network.submit_request(timeout=1_000_000, age=200_000)
    assert network.script.events_of_type(RequestArrived)[0].time_left == 800_000
    assert b"Request-Timeout: 785m\r\n" in network.sent[0].data
    network.pass_time(800_000 - RESPONSE_MARGIN - 1)
    assert not network.sent[0].aborted
    network.pass_time(1)
    assert network.sent[0].aborted and attempt_results(network.script) == [(0, Outcome.TIMEOUT, False)]
    network.pass_time(RESPONSE_MARGIN)
    assert network.responses == ["late"] and len(network.script.events_of_type(ClientDisconnected)) == 1


def test_a_timeout_of_an_unwritten_attempt_is_reported_as_connect_failed() -> None:
    network = FakeNetwork(Script(send_on_arrival(timeout=1000)))
    network.submit_request()
    network.sent[0].may_have_run = False
    network.pass_time(1000)
    assert attempt_results(network.script) == [(0, Outcome.CONNECT_FAILED, False)]


def test_a_request_without_time_left_is_rejected_without_the_policy() -> None:
    network = FakeNetwork(Script(send_on_arrival()))
    network.submit_request(timeout=100_000, age=100_000)
    assert network.responses == [0] and not network.script.events


def test_events_posted_during_an_action_are_handled_after_it() -> None:
    active_calls = [0]

    def rule(event: Event) -> list[Action]:
        active_calls[0] += 1
        assert active_calls[0] == 1
        active_calls[0] -= 1
        if isinstance(event, RequestArrived):
            return [AddToCounter(5, 1.0, 1000), CancelAttempt(1, 0), SendAttempt(1, 1, 0)]
        return [CancelAttempt(1, 0)] if isinstance(event, CounterAnswered) else []

    network = FakeNetwork(Script(rule))
    network.submit_request()
    assert [type(e) for e in network.script.events] == [RequestArrived, CounterAnswered, AttemptEnded]
    assert attempt_results(network.script) == [(0, Outcome.CANCELLED, False)]


def test_the_policy_receives_a_list_before_the_end_of_attempts_that_it_withdraws() -> None:
    network = FakeNetwork(Script(send_on_arrival()))
    entries = [{"name": n, "address": "127.0.0.1:1", "status": "up", "since_ms": 5} for n in "ab"]
    network.engine.update_endpoints(
        decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": entries})
    )
    network.submit_request()
    network.engine.update_endpoints(
        decode_endpoint_list({"index": 2, "snapshot": True, "endpoints": entries[1:]})
    )
    assert [type(e) for e in network.script.events[-2:]] == [EndpointsListed, AttemptEnded]
    assert network.removed_endpoints == [1]
    first, second = network.script.events_of_type(EndpointsListed)
    assert [b.id for b in first.endpoints] == [1, 2] and [b.id for b in second.endpoints] == [2]
    assumed_start = START - age_tolerance(SETTINGS.safety)
    assert first.endpoints[0].started_at == assumed_start and second.kind is ListKind.FULL


def test_ids_stay_in_use_after_their_requests_for_a_lifetime_and_longer_while_they_are_few(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an id that runs again when it comes back after the longest deadline."""
    monkeypatch.setattr(requests, "MAX_KEPT_IDS", 2)
    now = 0
    table = requests.RequestTable(1_000_000, lambda: now)
    table.mark_used([b"a", b"b", b"a"])
    now = requests.KEPT_ID_LIFETIME_US - 1
    assert table.is_duplicate(b"a") and table.used_ids() == [b"a", b"b"]
    table.mark_used([b"c"])
    assert not table.is_duplicate(b"a") and table.is_duplicate(b"b") and table.is_duplicate(b"c")
    now += 1
    assert not table.is_duplicate(b"b") and table.is_duplicate(b"c")
    table.mark_used([b"d", b"e"])
    assert table.used_ids() == [b"c", b"d", b"e"]
    assert table.is_duplicate(b"c")  # too many, but none is older than the shortest lifetime
