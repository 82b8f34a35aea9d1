"""A client that has left: no attempt of its request begins, and what is under way is given up."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Callable

import pytest
import pytest_asyncio

from quota_ingress.net.downstream import read_flow
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.upstream.close_reason import UpstreamCloseReason
from quota_ingress.net.upstream.exchange import Exchange
from quota_ingress.net.upstream.pool import ConnectionPool
from quota_ingress.policy.actions import Action, AddToCounter, SendAttempt
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    RequestArrived,
    TimerFired,
)
from tests.net_helpers import HOST, Ingress, PeerServer, Script, asked, listing, request

RESET = struct.pack("ii", 1, 0)  # SO_LINGER: closing resets


TOKEN = 1


class LateCounter:
    """Answers when the test says."""

    def __init__(self) -> None:
        self.answer: Callable[[Outcome, float], None] = lambda outcome, total: None

    def add(self, name: int, amount: float, ttl_us: int, answered: Callable[[Outcome, float], None]) -> None:
        self.answer = answered


@pytest_asyncio.fixture
async def ingress(backend: PeerServer, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Ingress]:
    """A connection that is not read is not looked at by itself: only attempts tell."""
    monkeypatch.setattr(read_flow, "CLIENT_LEFT_CHECK_INTERVAL_S", 60.0)
    ingress = Ingress(Script())
    await ingress.start()
    ingress.engine.update_endpoints(listing(backend.port))
    yield ingress
    ingress.stop()


def client(ingress: Ingress, data: bytes) -> socket.socket:
    made = socket.create_connection((HOST, ingress.port))
    made.sendall(data)
    return made


def leave(made: socket.socket, how: str) -> None:
    """On loopback, its end is in the ingress's socket when this returns."""
    if how == "resets":
        made.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    made.close()


MANY = b"".join(request(f"r{n}") for n in range(12))  # more than are read


@pytest.mark.parametrize("how", ["closes", "resets"])
@pytest.mark.parametrize("sent", [request("r0"), MANY], ids=["one", "many"])
@pytest.mark.parametrize("begins", ["by the counter's answer", "by a timer", "after an outcome"])
async def test_no_attempt_begins_once_the_client_has_left(
    ingress: Ingress, backend: PeerServer, begins: str, sent: bytes, how: str
) -> None:
    """Whether its end is unread as the loop is late (here: in one turn of it), or as nothing is read."""
    counter = ingress.engine.counter = LateCounter()
    on = CounterAnswered if "counter" in begins else TimerFired if "timer" in begins else AttemptEnded

    def rule(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            first = AddToCounter(5, 1.0, 1_000_000) if "counter" in begins else SendAttempt(1, 1, 0)
            return [first] if event.request == 1 else []
        return [SendAttempt(1, 1, 0)] if isinstance(event, on) and len(ingress.script.of(on)) == 1 else []

    ingress.script.rule = rule
    made = client(ingress, sent)
    await ingress.script.seen(RequestArrived)
    before = [] if "counter" in begins else [b"r0"]
    await backend.until(lambda: asked(backend) == before)
    if sent is MANY:
        (connection,) = ingress.listener.connections
        while not connection._read_flow.paused:
            await asyncio.sleep(0)
    (pool,) = ingress.backends._pools.values()
    if "timer" in begins:
        next(iter(pool.busy)).fail_exchange(UpstreamCloseReason.STALLED)
    leave(made, how)
    if "counter" in begins:
        counter.answer(Outcome.OK, 1.0)
    elif "timer" in begins:
        ingress.engine.on_timer(TOKEN)
    else:
        next(iter(pool.busy)).fail_exchange(UpstreamCloseReason.STALLED)
    assert not pool.dials and not pool.busy  # in the same turn of the loop
    assert ingress.script.of(ClientDisconnected)
    (unsent,) = [e for e in ingress.script.of(AttemptEnded) if e.outcome is Outcome.NOT_SENT]
    assert unsent.request_ended and asked(backend) == before


@pytest.mark.parametrize("how", ["closes", "resets"])
async def test_nothing_is_written_to_a_connection_that_comes_up_after_the_client_has_left(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch, how: str
) -> None:
    """Its end is behind requests that are not read, so nobody has told."""
    up, dialling, done, connect = asyncio.Event(), asyncio.Event(), asyncio.Event(), ConnectionPool._connect

    async def late(pool: ConnectionPool, exchange: Exchange) -> None:
        dialling.set()
        await up.wait()
        await connect(pool, exchange)
        done.set()

    monkeypatch.setattr(ConnectionPool, "_connect", late)
    ingress.script.rule = lambda event: (
        [SendAttempt(1, 1, 0)] if isinstance(event, RequestArrived) and event.request == 1 else []
    )
    made = client(ingress, MANY)
    async with asyncio.timeout(10):
        await dialling.wait()
        leave(made, how)
        up.set()
        await done.wait()
    (ended,) = ingress.script.of(AttemptEnded)
    assert ended.outcome is Outcome.NOT_SENT and ended.request_ended and ingress.script.of(ClientDisconnected)
    await backend.until(lambda: len(backend.closed) == 1)
    assert asked(backend) == []


async def test_an_attempt_not_authorized_when_its_connection_comes_up_is_not_sent(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Also where its request is over for another reason than its client: else it would be out for ever."""
    ended: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    exchange = ingress.backends.send(1, request("r0"), ended.set_result, authorize=lambda: None)
    async with asyncio.timeout(10):
        assert (await ended).outcome is Outcome.NOT_SENT
    await backend.until(lambda: len(backend.closed) == 1)
    assert exchange.ended and asked(backend) == [] and ingress.sockets.backends.in_use == 0


async def test_an_attempt_with_a_half_written_body_ends_when_the_client_leaves(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Also where attempts may not be cancelled: it begins with its last byte, and the backend reads late."""
    ingress.script.rule = lambda event: [SendAttempt(1, 1, 0)] if isinstance(event, RequestArrived) else []
    size = 1_000_000
    head = request("r0", "save", Idempotency_Key="k").replace(b"Length: 0", b"Length: %d" % size)
    backend._server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    backend.heard = lambda peer: peer.transport.pause_reading()
    made = await asyncio.to_thread(client, ingress, head + bytes(size))
    await ingress.script.seen(RequestArrived)
    await backend.until(lambda: bool(backend.peers))
    made.close()
    await ingress.script.seen(ClientDisconnected)
    (ended,) = ingress.script.of(AttemptEnded)
    assert ended.outcome is Outcome.NOT_SENT and ended.request_ended


async def test_a_half_closed_connection_counts_as_a_disconnect(ingress: Ingress, backend: PeerServer) -> None:
    """It reads nothing, so what it was sent holds the connection up: its request was left under way."""
    ingress.script.rule = lambda event: [SendAttempt(1, 1, 0)] if isinstance(event, RequestArrived) else []
    made = client(ingress, request("r0"))
    await backend.until(lambda: asked(backend) == [b"r0"])
    (connection,) = ingress.listener.connections
    connection.transport.set_write_buffer_limits(high=1 << 30)
    connection.transport.write(bytes(16_000_000))
    assert connection.transport.get_write_buffer_size()
    made.shutdown(socket.SHUT_WR)
    async with asyncio.timeout(1.0):  # before the sweep ends connections whose client does not read
        await ingress.script.seen(ClientDisconnected)
    assert connection in ingress.listener.connections
    made.close()
