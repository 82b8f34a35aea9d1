"""The engine without sockets: numbers, guards, time-outs, order."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import pytest

from quota_ingress.net.discovery.endpoint_list import EndpointEntry, EndpointList
from quota_ingress.net.discovery.start_times import reserve
from quota_ingress.net.engine.attempt_runner import RESPONSE_MARGIN
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.http import Body, MemoryBudget
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
from tests.net_helpers import RAW, SETTINGS, Script

START = 1_000_000_000


class Timer:
    def __init__(self, at: float, run: Callable[[], object]) -> None:
        self.at, self.run, self.cancelled = at, run, False

    def cancel(self) -> None:
        self.cancelled = True


class Exchange:
    def __init__(self, data: bytes, ended: Callable[[AttemptResult], None]) -> None:
        self.data, self.ended, self.aborted, self.ran = data, ended, False, True
        self.written = True
        self.started: Callable[[AttemptResult], None] = lambda answer: None

    def abort(self) -> bool:
        self.aborted = True
        return self.ran

    def withdraw(self) -> bool:
        return False


class World:
    """The loop, the backends, the counter and one client, all pretended."""

    def __init__(self, script: Script) -> None:
        self.time, self.timers = START, list[Timer]()
        self.sent: list[Exchange] = []
        self.settled: list[int] = []
        self.answers: list[Any] = []
        self.script = script
        index = SettingsIndex(SETTINGS, RAW)
        self.engine = Engine(script, SETTINGS, index, self, self, lambda: self.time)

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        self.timers.append(Timer(self.time + round(delay * 1e6), lambda: callback(*args)))
        return self.timers[-1]

    def pass_time(self, us: int) -> None:
        end = self.time + us
        while due := [t for t in self.timers if t.at <= end and not t.cancelled]:
            first = min(due, key=lambda t: t.at)
            self.timers.remove(first)
            self.time = max(self.time, int(first.at))
            first.run()
        self.time = end

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None: ...

    def reconcile(self, gone: Iterable[int]) -> None:
        self.settled += gone
        for exchange in self.sent:
            exchange.ended(AttemptResult(Outcome.CONNECT_FAILED))

    def send(
        self,
        backend: int,
        head: bytes,
        ended: Callable[[AttemptResult], None],
        once: bool,
        body: Body | None,
        started: Callable[[AttemptResult], None],
        permit: Callable[[], bytes | None],
    ) -> Exchange:
        self.sent.append(Exchange(head + (permit() or b""), ended))
        self.sent[-1].started = started
        return self.sent[-1]

    def probe(self, backend: int, ended: Callable[[AttemptResult], None]) -> None: ...

    def close_idle_connections(self, backend: int) -> None: ...

    def disconnected(self) -> bool:
        return False

    def respond(self, answer: AttemptResult) -> None:
        self.answers.append(answer.body)

    def reject(self, retry_after: int) -> None:
        self.answers.append(retry_after)

    def fail(self, timed_out: bool) -> None:
        self.answers.append("late" if timed_out else "failed")

    def ask(self, id: bytes = b"a", timeout: int = 1_000_000, ago: int = 0) -> bool:
        body = Body(MemoryBudget())
        body.complete = True
        wanted = ParsedRequest(
            id, 0, 0, 7, 1.0, 1, 0, timeout, self.time - ago, False, b"GET / HTTP/1.1\r\n", body
        )
        return self.engine.on_request(wanted, self)


def sender(*more: Action, timeout: int = 0) -> Callable[[Event], list[Action]]:
    def rule(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [SendAttempt(event.request, 1, timeout), *more]
        return []

    return rule


def ends(script: Script) -> list[tuple[int, Outcome, bool]]:
    return [(e.attempt, e.outcome, e.request_ended) for e in script.of(AttemptEnded)]


def test_nothing_is_kept_of_a_request_refused_by_the_counters_answer() -> None:
    def rule(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [AddToCounter(5, 1.0, 1_000_000)]
        return [Reject(1)] if isinstance(event, CounterAnswered) else []

    world = World(Script(rule))
    assert world.ask(b"a") and world.answers == [0]
    assert not world.ask(b"a")  # of late: still not new
    world.pass_time(2 * max(c.deadline for c in SETTINGS.classes))
    assert world.ask(b"a")  # forgotten


def test_the_first_200_is_final_and_a_later_outcome_is_not_told_twice() -> None:
    world = World(Script(sender()))
    world.ask()
    world.time += 7000
    world.sent[0].ended(AttemptResult(Outcome.OK, b"body", load=b"queue=2"))
    world.sent[0].ended(AttemptResult(Outcome.RESET))
    assert world.answers == [b"body"] and ends(world.script) == [(0, Outcome.OK, True)]
    (event,) = world.script.of(AttemptEnded)
    assert event.load == (2.0,) and event.latency == 7000
    assert all(t.cancelled for t in world.timers) and world.engine.in_flight == 0
    assert not world.ask()  # no new request has the id of one that has just ended
    world.pass_time(max(c.deadline for c in SETTINGS.classes) + 1)
    assert world.ask()  # the id is free again


def test_attempts_beyond_the_limit_at_once_or_after_the_end_are_moot() -> None:
    again = SendAttempt(1, 1, 0)
    world = World(Script(sender(again, Fail(1), again)))
    world.ask()
    assert ends(world.script) == [(1, Outcome.NOT_SENT, False), (2, Outcome.NOT_SENT, True)]
    assert len(world.sent) == 1 and world.answers == ["failed"]
    world.sent[0].ended(AttemptResult(Outcome.OK, b"too late"))
    assert ends(world.script)[2] == (0, Outcome.OK, True) and world.answers == ["failed"]


def test_time_counts_from_the_clients_sending_and_attempts_end_before_the_deadline() -> None:
    world = World(Script(sender(timeout=5_000_000)))
    world.ask(timeout=1_000_000, ago=200_000)
    assert world.script.of(RequestArrived)[0].time_left == 800_000
    assert b"Request-Timeout: 785m\r\n" in world.sent[0].data
    world.pass_time(800_000 - RESPONSE_MARGIN - 1)
    assert not world.sent[0].aborted
    world.pass_time(1)
    assert world.sent[0].aborted and ends(world.script) == [(0, Outcome.TIMEOUT, False)]
    world.pass_time(RESPONSE_MARGIN)
    assert world.answers == ["late"] and len(world.script.of(ClientDisconnected)) == 1


def test_an_attempt_never_written_is_not_called_a_time_out() -> None:
    world = World(Script(sender(timeout=1000)))
    world.ask()
    world.sent[0].ran = False
    world.pass_time(1000)
    assert ends(world.script) == [(0, Outcome.CONNECT_FAILED, False)]


def test_a_request_whose_time_is_over_never_reaches_the_module() -> None:
    world = World(Script(sender()))
    world.ask(timeout=100_000, ago=100_000)
    assert world.answers == [0] and not world.script.events


def test_outcomes_during_actions_wait_their_turn() -> None:
    depth = [0]

    def rule(event: Event) -> list[Action]:
        depth[0] += 1
        assert depth[0] == 1
        depth[0] -= 1
        if isinstance(event, RequestArrived):
            return [AddToCounter(5, 1.0, 1000), CancelAttempt(1, 0), SendAttempt(1, 1, 0)]
        return [CancelAttempt(1, 0)] if isinstance(event, CounterAnswered) else []

    world = World(Script(rule))
    world.ask()
    assert [type(e) for e in world.script.events] == [RequestArrived, CounterAnswered, AttemptEnded]
    assert ends(world.script) == [(0, Outcome.CANCELLED, False)]


def test_the_module_hears_the_list_before_the_attempts_that_it_withdraws() -> None:
    world = World(Script(sender()))
    names = [{"name": n, "address": "127.0.0.1:1", "status": "up", "since_ms": 5} for n in "ab"]
    world.engine.update_endpoints(EndpointList({"index": 1, "snapshot": True, "endpoints": names}))
    world.ask()
    world.engine.update_endpoints(EndpointList({"index": 2, "snapshot": True, "endpoints": names[1:]}))
    assert [type(e) for e in world.script.events[-2:]] == [EndpointsListed, AttemptEnded]
    assert world.settled == [1]
    first, second = world.script.of(EndpointsListed)
    assert [b.id for b in first.endpoints] == [1, 2] and [b.id for b in second.endpoints] == [2]
    just_now = START - reserve(SETTINGS.safety)
    assert first.endpoints[0].started_at == just_now and second.kind is ListKind.FULL


@pytest.mark.parametrize(
    "text",
    [b"", b"queue=", b"other=1", b"queue=1e", b"queue=nan", b"queue=-1", b"queue=inf", b"queue=9e9"],
)
def test_a_load_report_that_says_nothing_is_none(text: bytes) -> None:
    assert SettingsIndex(SETTINGS, RAW).load(text) == ()


def test_backends_that_have_gone_are_forgotten_and_their_numbers_never_used_again() -> None:
    world = World(Script(sender()))
    for index in range(50):
        names = [{"name": f"s-{index}", "address": "127.0.0.1:1", "status": "up"}]
        if index:
            names.append({"name": f"s-{index - 1}", "status": "removed"})
        world.engine.update_endpoints(EndpointList({"index": index, "snapshot": False, "endpoints": names}))
    assert len(world.engine.endpoints.numbers) == 1 and world.settled == list(range(1, 50))
    again = {"name": "s-3", "address": "127.0.0.1:1", "status": "up"}
    world.engine.update_endpoints(EndpointList({"index": 60, "snapshot": False, "endpoints": [again]}))
    assert world.script.of(EndpointsListed)[-1].endpoints[0].id == 51


def test_a_backend_has_the_same_mark_whenever_it_was_first_listed() -> None:
    def marks(names: list[str]) -> dict[str, int]:
        world = World(Script(sender()))
        entries = [{"name": name, "address": "127.0.0.1:1", "status": "up"} for name in names]
        world.engine.update_endpoints(EndpointList({"index": 1, "snapshot": True, "endpoints": entries}))
        (event,) = world.script.of(EndpointsListed)
        return {name: b.hash_key for name, b in zip(names, event.endpoints, strict=True)}

    assert marks(["s-1", "s-2", "s-3"]) == marks(["s-3", "s-1", "s-2"])
    assert len(set(marks(["s-1", "s-2", "s-3"]).values())) == 3
