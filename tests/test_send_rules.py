"""Whether an attempt may begin, asked in the moment of its write, and what one that may not leaves behind."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from quota_ingress.net.descriptors import DescriptorShare
from quota_ingress.net.engine.attempts import Attempt
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.engine.requests import ParsedRequest, Request
from quota_ingress.net.engine.send_rules import WRITE_DELAY, Denial, denial
from quota_ingress.net.http import Body, MemoryBudget
from quota_ingress.net.upstream.client import UpstreamClient
from quota_ingress.net.upstream.exchange import Exchange
from quota_ingress.net.upstream.pool import ConnectionPool
from quota_ingress.policy.actions import Action, Fail, SendAttempt
from quota_ingress.policy.events import AttemptEnded, Event, Outcome, RequestArrived
from quota_ingress.policy.settings import Idempotency
from tests.net_helpers import (
    OK,
    SETTINGS,
    Ingress,
    Peer,
    PeerServer,
    Script,
    entry,
    request,
    send_first,
)
from tests.support.fake_network import FakeNetwork

NOW = 50_000_000
UNTIL = NOW + 1_000_000
CLASS = SETTINGS.classes[2]
SLACK = 0.15  # s that a backend may be told beyond what the client has left


def connects_after(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Connections to backends come up that much later."""
    connect = ConnectionPool._connect

    async def late(pool: ConnectionPool, exchange: Exchange) -> None:
        await asyncio.sleep(seconds)
        await connect(pool, exchange)

    monkeypatch.setattr(ConnectionPool, "_connect", late)


def told(peer: Peer) -> float:
    return int(peer.data.partition(b"Request-Timeout: ")[2].partition(b"m")[0]) / 1000


@pytest.mark.parametrize("timeout", [2.0, 0.9])
async def test_a_backend_whose_connection_comes_up_late_is_told_what_is_left(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch, timeout: float
) -> None:
    connects_after(monkeypatch, 0.6)
    asked = asyncio.create_task(ingress.ask(request("r0", timeout=f"{timeout * 1000:.0f}m")))
    sent = time.monotonic()
    await backend.until(lambda: any(b"\r\n\r\n" in peer.data for peer in backend.peers))
    assert 0 < told(backend.peers[0]) <= timeout - (time.monotonic() - sent) + SLACK
    backend.peers[0].transport.write(OK)
    assert b" 200 " in await asked


async def test_a_keyed_repeat_is_not_written_once_its_window_is_over(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It was decided within the window, and its connection came up after it."""
    window = 600_000
    classes = tuple(
        replace(c, deduplication_window=window) if c.name == "save" else c for c in SETTINGS.classes
    )
    ingress.engine.attempt_runner.settings = replace(SETTINGS, classes=classes)

    def repeats(event: Event) -> list[Action]:
        again = isinstance(event, AttemptEnded) and event.outcome is Outcome.RESET
        return [SendAttempt(1, 1, 0)] if again else send_first(event)

    ingress.script.rule = repeats
    asked = asyncio.create_task(ingress.ask(request("r0", "save", Idempotency_Key="k")))
    await backend.until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    connects_after(monkeypatch, 0.7)
    backend.peers[0].transport.abort()  # it may have run
    assert b" 502 " in await asked
    assert sum(b"r0" in peer.data for peer in backend.peers) == 1
    assert [e.outcome for e in ingress.script.of(AttemptEnded)] == [Outcome.RESET, Outcome.NOT_SENT]


async def test_a_connect_that_is_withdrawn_before_it_has_begun_leaves_nothing_behind(
    backend: PeerServer,
) -> None:
    """Both in one turn of the loop: its task was cancelled unstarted, and never gave its place back."""
    share, ended = DescriptorShare(10), list[Outcome]()
    backends = UpstreamClient(share, 10_000_000, 250_000)
    backends.register_endpoint(entry("s-1", backend.port), 1)
    backends.send(1, b"GET / HTTP/1.1\r\n\r\n", lambda answer: ended.append(answer.outcome))
    backends.register_endpoint(entry("s-1", backend.port, "draining"), 1)
    backends.reconcile(())
    backends.register_endpoint(entry("s-1", backend.port), 1)
    given_up = backends.send(1, b"GET / HTTP/1.1\r\n\r\n", lambda answer: None)
    given_up.abort()
    await asyncio.sleep(0.05)
    assert ended == [Outcome.CONNECT_FAILED] and share.in_use == 0 and not backends._pools[1].dials
    backends.stop()


def test_a_long_answer_that_nobody_wants_any_more_is_not_held() -> None:
    """Its request is over as it begins: what had come of it stayed counted as held for good."""
    rule: list[Action] = [SendAttempt(1, 1, 0), Fail(1)]  # and the attempt goes on
    world = FakeNetwork(Script(lambda event: rule if isinstance(event, RequestArrived) else []))
    assert world.ask()
    room = MemoryBudget()
    body = Body(room)
    body.declared_length = 300_000
    body.append(b"x" * 60_000)
    world.sent[0].started(AttemptResult(Outcome.OK, stream=body))
    body.append(b"x" * 60_000)  # read before the connection has ended
    assert world.answers == ["failed"] and world.sent[0].aborted and room.used == 0


# The rules themselves.


def made(*attempts: Attempt, over: bool = False) -> tuple[Request, Attempt]:
    """A request with these attempts, and one more that wants to begin."""
    body = Body(MemoryBudget())
    body.complete = True
    wanted = ParsedRequest(b"a", 0, 0, 7, 1.0, 1, 0, 1_000_000, NOW, False, b"", body)
    asked = Request(1, wanted, FakeNetwork(Script()), UNTIL)
    asked.body_complete_at, asked.answered = NOW, over
    asked.attempts = [*attempts, Attempt(len(attempts), 1, NOW)]
    return asked, asked.attempts[-1]


def ended(outcome: Outcome, ago: int = 100_000) -> Attempt:
    attempt = Attempt(0, 1, NOW - ago)
    attempt.ended, attempt.outcome = True, outcome
    return attempt


@pytest.mark.parametrize("repeat", Idempotency)
@pytest.mark.parametrize("outcome", Outcome)
def test_a_repeat_is_allowed_by_what_became_of_the_attempts_before(
    repeat: Idempotency, outcome: Outcome
) -> None:
    never_ran = outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
    cls = replace(CLASS, idempotency=repeat, deduplication_window=1_000_000)
    found = denial(*made(ended(outcome)), cls, SETTINGS.limits, NOW, UNTIL)
    assert found is (None if never_ran or repeat is not Idempotency.NOT_IDEMPOTENT else Denial.MAY_HAVE_RUN)


def test_the_window_of_a_keyed_repeat_ends_before_the_process_may_be_held_up_beyond_it() -> None:
    cls = replace(CLASS, idempotency=Idempotency.WITH_KEY, deduplication_window=1_000_000)
    for ago, found in ((999_999 - WRITE_DELAY, None), (1_000_000 - WRITE_DELAY, Denial.WINDOW_OVER)):
        asked = made(ended(Outcome.RESET, ago), ended(Outcome.REJECTED, 10))
        assert denial(*asked, cls, replace(SETTINGS.limits, max_attempts=3), NOW, UNTIL) is found


def test_the_other_rules() -> None:
    limits = replace(SETTINGS.limits, max_attempts=2, may_hedge=False)
    out = Attempt(0, 1, NOW)
    assert denial(*made(over=True), CLASS, limits, NOW, UNTIL) is Denial.REQUEST_ANSWERED
    assert denial(*made(), CLASS, limits, UNTIL, UNTIL) is Denial.OUT_OF_TIME
    assert denial(*made(out), CLASS, limits, NOW, UNTIL) is Denial.HEDGED
    assert denial(*made(out), CLASS, replace(limits, may_hedge=True), NOW, UNTIL) is None
    failed = ended(Outcome.REJECTED)
    assert denial(*made(failed, failed), CLASS, limits, NOW, UNTIL) is Denial.TOO_MANY_ATTEMPTS
    asked, attempt = made()
    asked.parsed.body.discarded = 1
    assert denial(asked, attempt, CLASS, limits, NOW, UNTIL) is Denial.BODY_FORWARDED
