"""The rules for attempts, their check immediately before the write, and cleanup after withdrawn attempts."""

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
from tests.support.streaming import save

NOW = 50_000_000
DEADLINE = NOW + 1_000_000
CLASS = SETTINGS.classes[2]
SLACK = 0.15  # s by which the timeout sent to a backend may exceed the client's remaining time


def delay_connects(monkeypatch: pytest.MonkeyPatch, seconds: float) -> None:
    """Delays connections to backends by `seconds`."""
    connect = ConnectionPool._connect

    async def delayed_connect(pool: ConnectionPool, exchange: Exchange) -> None:
        await asyncio.sleep(seconds)
        await connect(pool, exchange)

    monkeypatch.setattr(ConnectionPool, "_connect", delayed_connect)


def sent_timeout_s(peer: Peer) -> float:
    return int(peer.data.partition(b"Request-Timeout: ")[2].partition(b"m")[0]) / 1000


def set_window(ingress: Ingress, window: int) -> None:
    """Sets the deduplication window (us) of the class with an idempotency key."""
    classes = tuple(
        replace(c, deduplication_window=window) if c.name == "save" else c for c in SETTINGS.classes
    )
    ingress.engine.attempt_runner.settings = replace(SETTINGS, classes=classes)


def retry_after_reset(event: Event) -> list[Action]:
    is_reset = isinstance(event, AttemptEnded) and event.outcome is Outcome.RESET
    return [SendAttempt(1, 1, 0)] if is_reset else send_first(event)


@pytest.mark.parametrize("timeout", [2.0, 0.9])
async def test_a_backend_with_a_delayed_connection_gets_the_remaining_timeout(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch, timeout: float
) -> None:
    delay_connects(monkeypatch, 0.6)
    response = asyncio.create_task(ingress.fetch(request("r0", timeout=f"{timeout * 1000:.0f}m")))
    sent_at = time.monotonic()
    await backend.wait_until(lambda: any(b"\r\n\r\n" in peer.data for peer in backend.peers))
    assert 0 < sent_timeout_s(backend.peers[0]) <= timeout - (time.monotonic() - sent_at) + SLACK
    backend.peers[0].transport.write(OK)
    assert b" 200 " in await response


async def test_a_retry_with_key_is_not_written_after_the_deduplication_window(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The policy decides on the retry within the window, but its connection is established after it."""
    set_window(ingress, 600_000)
    ingress.script.rule = retry_after_reset
    response = asyncio.create_task(ingress.fetch(request("r0", "save", Idempotency_Key="k")))
    await backend.wait_until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    delay_connects(monkeypatch, 0.7)
    backend.peers[0].transport.abort()  # the attempt may have run
    assert b" 502 " in await response
    assert sum(b"r0" in peer.data for peer in backend.peers) == 1
    assert [e.outcome for e in ingress.script.events_of_type(AttemptEnded)] == [
        Outcome.RESET,
        Outcome.NOT_SENT,
    ]


@pytest.mark.parametrize("body_bytes", [900_000, 50_000])
async def test_a_retry_with_key_whose_last_byte_would_miss_the_deduplication_window_never_arrives(
    ingress: Ingress, backend: PeerServer, body_bytes: int
) -> None:
    """Guards against running a keyed request twice at a backend that reads slowly.

    The backend reads on only after the window. The rest of the long body waits in the ingress until then,
    that of the short one in the kernel, which would go on to send it after the connection is closed.
    """
    set_window(ingress, 600_000)
    ingress.script.rule = retry_after_reset
    backend.limit_receive_buffers(4096)

    def reset_first_and_pause_others(peer: Peer) -> None:
        if peer is not backend.peers[0]:
            peer.transport.pause_reading()
        elif peer.data.endswith(body):
            peer.transport.abort()  # the attempt may have run

    backend.on_data = reset_first_and_pause_others
    body = b"q" * (body_bytes - 1) + b"!"
    response = asyncio.create_task(ingress.fetch(save(f"Content-Length: {body_bytes}") + body))
    await backend.wait_until(lambda: len(backend.peers) == 2 and b"POST" in backend.peers[1].data)
    await asyncio.sleep(0.8)
    backend.on_data = lambda peer: None
    backend.peers[1].transport.resume_reading()
    await backend.wait_until(lambda: backend.peers[1].data.endswith(b"!") or len(backend.closed) == 2)
    assert not backend.peers[1].data.endswith(b"!")
    assert b" 502 " in await response


def test_an_attempt_that_a_hedged_request_overtakes_ends_with_the_window_of_the_hedged_request() -> None:
    """Guards against running a keyed request twice if its first attempt arrives long after a later one."""
    hedge = [SendAttempt(1, 1, 0), SendAttempt(1, 2, 0)]
    network = FakeNetwork(Script(lambda event: hedge if isinstance(event, RequestArrived) else []))
    classes = tuple(
        replace(c, idempotency=Idempotency.WITH_KEY, deduplication_window=400_000) for c in SETTINGS.classes
    )
    network.engine.attempt_runner.settings = replace(
        SETTINGS, classes=classes, limits=replace(SETTINGS.limits, may_hedge=True)
    )
    network.submit_request()
    network.sent[0].delivered = False
    network.pass_time(400_000 - WRITE_DELAY - 1)
    assert not network.sent[0].aborted
    network.pass_time(1)
    assert [exchange.aborted for exchange in network.sent] == [True, False]


async def test_a_connect_that_is_withdrawn_before_its_task_starts_frees_its_descriptor(
    backend: PeerServer,
) -> None:
    """The attempt is withdrawn in the loop iteration of its send, so its connect task never runs.

    The descriptor that was reserved for the connection must still be released.
    """
    share, outcomes = DescriptorShare(10), list[Outcome]()
    backends = UpstreamClient(share, 10_000_000, 250_000)
    backends.register_endpoint(entry("s-1", backend.port), 1)
    backends.send(1, b"GET / HTTP/1.1\r\n\r\n", lambda result: outcomes.append(result.outcome))
    backends.register_endpoint(entry("s-1", backend.port, "draining"), 1)
    backends.reconcile(())
    backends.register_endpoint(entry("s-1", backend.port), 1)
    exchange = backends.send(1, b"GET / HTTP/1.1\r\n\r\n", lambda result: None)
    exchange.abort()
    await asyncio.sleep(0.05)
    assert outcomes == [Outcome.CONNECT_FAILED] and share.in_use == 0 and not backends._pools[1].connecting
    backends.stop()


def test_a_streamed_response_to_an_ended_request_is_not_buffered() -> None:
    """The request ends before the response begins; its received bytes must not stay in the memory budget."""
    actions: list[Action] = [SendAttempt(1, 1, 0), Fail(1)]  # the attempt stays in flight
    network = FakeNetwork(Script(lambda event: actions if isinstance(event, RequestArrived) else []))
    assert network.submit_request()
    budget = MemoryBudget()
    body = Body(budget)
    body.declared_length = 300_000
    body.append(b"x" * 60_000)
    network.sent[0].on_stream_started(AttemptResult(Outcome.OK, stream=body))
    body.append(b"x" * 60_000)  # received before the connection is closed
    assert network.responses == ["failed"] and network.sent[0].aborted and budget.used == 0


# The rules as pure functions.


def request_with(*attempts: Attempt, answered: bool = False) -> tuple[Request, Attempt]:
    """Returns a request with these attempts and one more, and that last attempt, which the rules check."""
    body = Body(MemoryBudget())
    body.complete = True
    parsed = ParsedRequest(b"a", 0, 0, 7, 1.0, 1, 0, 1_000_000, NOW, False, b"", body)
    client_request = Request(1, parsed, FakeNetwork(Script()), DEADLINE, created_at=NOW)
    client_request.body_complete_at, client_request.answered = NOW, answered
    client_request.attempts = [*attempts, Attempt(len(attempts), 1, NOW)]
    return client_request, client_request.attempts[-1]


def ended_attempt(outcome: Outcome, age: int = 100_000) -> Attempt:
    attempt = Attempt(0, 1, NOW - age)
    attempt.ended, attempt.outcome = True, outcome
    return attempt


@pytest.mark.parametrize("idempotency", Idempotency)
@pytest.mark.parametrize("outcome", Outcome)
def test_a_retry_is_allowed_or_denied_by_the_outcome_of_the_attempt_before(
    idempotency: Idempotency, outcome: Outcome
) -> None:
    never_ran = outcome in (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
    cls = replace(CLASS, idempotency=idempotency, deduplication_window=1_000_000)
    reason = denial(*request_with(ended_attempt(outcome)), cls, SETTINGS.limits, NOW, DEADLINE)
    assert reason is (
        None if never_ran or idempotency is not Idempotency.NOT_IDEMPOTENT else Denial.MAY_HAVE_RUN
    )


def test_a_retry_with_key_is_denied_if_a_delayed_write_could_miss_the_window() -> None:
    cls = replace(CLASS, idempotency=Idempotency.WITH_KEY, deduplication_window=1_000_000)
    for age, expected in ((999_999 - WRITE_DELAY, None), (1_000_000 - WRITE_DELAY, Denial.WINDOW_OVER)):
        request_and_attempt = request_with(
            ended_attempt(Outcome.RESET, age), ended_attempt(Outcome.REJECTED, 10)
        )
        assert (
            denial(*request_and_attempt, cls, replace(SETTINGS.limits, max_attempts=3), NOW, DEADLINE)
            is expected
        )


def test_the_other_rules() -> None:
    limits = replace(SETTINGS.limits, max_attempts=2, may_hedge=False)
    in_flight = Attempt(0, 1, NOW)
    assert denial(*request_with(answered=True), CLASS, limits, NOW, DEADLINE) is Denial.REQUEST_ANSWERED
    assert denial(*request_with(), CLASS, limits, DEADLINE, DEADLINE) is Denial.OUT_OF_TIME
    assert denial(*request_with(in_flight), CLASS, limits, NOW, DEADLINE) is Denial.HEDGED
    assert denial(*request_with(in_flight), CLASS, replace(limits, may_hedge=True), NOW, DEADLINE) is None
    rejected = ended_attempt(Outcome.REJECTED)
    assert denial(*request_with(rejected, rejected), CLASS, limits, NOW, DEADLINE) is Denial.TOO_MANY_ATTEMPTS
    client_request, attempt = request_with()
    client_request.parsed.body.discarded = 1
    assert denial(client_request, attempt, CLASS, limits, NOW, DEADLINE) is Denial.BODY_FORWARDED
