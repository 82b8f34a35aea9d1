"""Client disconnects: no further attempt of the request begins, and open attempts are aborted."""

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
from tests.net_helpers import (
    HOST,
    Ingress,
    PeerServer,
    Script,
    received_request_ids,
    request,
    single_endpoint_list,
)

RESET = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0: `close` resets the connection


TOKEN = 1


class ManualCounter:
    """A counter that answers when the test calls `answer`."""

    def __init__(self) -> None:
        self.answer: Callable[[Outcome, float], None] = lambda outcome, total: None

    def add(self, name: int, amount: float, ttl_us: int, answered: Callable[[Outcome, float], None]) -> None:
        self.answer = answered


@pytest_asyncio.fixture
async def ingress(backend: PeerServer, monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[Ingress]:
    """An ingress that does not poll paused connections, so that only attempts detect a disconnect."""
    monkeypatch.setattr(read_flow, "PAUSE_CHECK_INTERVAL_S", 60.0)
    ingress = Ingress(Script())
    await ingress.start()
    ingress.engine.update_endpoints(single_endpoint_list(backend.port))
    yield ingress
    ingress.stop()


def connect_client(ingress: Ingress, data: bytes) -> socket.socket:
    client = socket.create_connection((HOST, ingress.port))
    client.sendall(data)
    return client


def disconnect(client: socket.socket, close_type: str) -> None:
    """Closes or resets the connection; on loopback, the ingress's socket has the event at the return."""
    if close_type == "resets":
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    client.close()


PIPELINED_REQUESTS = b"".join(request(f"r{n}") for n in range(12))  # more than the ingress reads ahead


@pytest.mark.parametrize("close_type", ["closes", "resets"])
@pytest.mark.parametrize("data", [request("r0"), PIPELINED_REQUESTS], ids=["one", "many"])
@pytest.mark.parametrize("trigger", ["by the counter's answer", "by a timer", "after an outcome"])
async def test_no_attempt_begins_after_a_disconnect(
    ingress: Ingress, backend: PeerServer, trigger: str, data: bytes, close_type: str
) -> None:
    """The end of the stream is unread: it arrives in the same loop iteration, or reading is paused."""
    counter = ingress.engine.counter = ManualCounter()
    kind = CounterAnswered if "counter" in trigger else TimerFired if "timer" in trigger else AttemptEnded

    def rule(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            first = AddToCounter(5, 1.0, 1_000_000) if "counter" in trigger else SendAttempt(1, 1, 0)
            return [first] if event.request == 1 else []
        return (
            [SendAttempt(1, 1, 0)]
            if isinstance(event, kind) and len(ingress.script.events_of_type(kind)) == 1
            else []
        )

    ingress.script.rule = rule
    client = connect_client(ingress, data)
    await ingress.script.wait_for_events(RequestArrived)
    ids_before = [] if "counter" in trigger else [b"r0"]
    await backend.wait_until(lambda: received_request_ids(backend) == ids_before)
    if data is PIPELINED_REQUESTS:
        (connection,) = ingress.listener.connections
        while not connection._read_flow.paused:
            await asyncio.sleep(0)
    (pool,) = ingress.backends._pools.values()
    if "timer" in trigger:
        next(iter(pool.busy)).fail_exchange(UpstreamCloseReason.STALLED)
    disconnect(client, close_type)
    if "counter" in trigger:
        counter.answer(Outcome.OK, 1.0)
    elif "timer" in trigger:
        ingress.engine.on_timer(TOKEN)
    else:
        next(iter(pool.busy)).fail_exchange(UpstreamCloseReason.STALLED)
    assert not pool.connecting and not pool.busy  # in the same loop iteration
    assert ingress.script.events_of_type(ClientDisconnected)
    (unsent,) = [e for e in ingress.script.events_of_type(AttemptEnded) if e.outcome is Outcome.NOT_SENT]
    assert unsent.request_ended and received_request_ids(backend) == ids_before


@pytest.mark.parametrize("close_type", ["closes", "resets"])
async def test_nothing_is_written_to_a_connection_established_after_a_disconnect(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch, close_type: str
) -> None:
    """Reading is paused, so the end of the stream stays unread behind requests: only the write detects it."""
    connect_allowed, dial_started, dial_done, connect = (
        asyncio.Event(),
        asyncio.Event(),
        asyncio.Event(),
        ConnectionPool._connect,
    )

    async def delayed_connect(pool: ConnectionPool, exchange: Exchange) -> None:
        dial_started.set()
        await connect_allowed.wait()
        await connect(pool, exchange)
        dial_done.set()

    monkeypatch.setattr(ConnectionPool, "_connect", delayed_connect)
    ingress.script.rule = lambda event: (
        [SendAttempt(1, 1, 0)] if isinstance(event, RequestArrived) and event.request == 1 else []
    )
    client = connect_client(ingress, PIPELINED_REQUESTS)
    async with asyncio.timeout(10):
        await dial_started.wait()
        disconnect(client, close_type)
        connect_allowed.set()
        await dial_done.wait()
    (ended,) = ingress.script.events_of_type(AttemptEnded)
    assert (
        ended.outcome is Outcome.NOT_SENT
        and ended.request_ended
        and ingress.script.events_of_type(ClientDisconnected)
    )
    await backend.wait_until(lambda: len(backend.closed) == 1)
    assert received_request_ids(backend) == []


async def test_an_attempt_not_authorized_when_its_connection_is_established_is_not_sent(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Guards against an attempt that never ends because `authorize` returned None."""
    ended: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    exchange = ingress.backends.send(1, request("r0"), ended.set_result, authorize=lambda: None)
    async with asyncio.timeout(10):
        assert (await ended).outcome is Outcome.NOT_SENT
    await backend.wait_until(lambda: len(backend.closed) == 1)
    assert exchange.ended and received_request_ids(backend) == [] and ingress.sockets.backends.in_use == 0


async def test_an_attempt_with_a_half_written_body_ends_at_a_disconnect(
    ingress: Ingress, backend: PeerServer
) -> None:
    """The backend has not received the last byte, so this holds even where attempts must not be cancelled."""
    ingress.script.rule = lambda event: [SendAttempt(1, 1, 0)] if isinstance(event, RequestArrived) else []
    size = 1_000_000
    head = request("r0", "save", Idempotency_Key="k").replace(b"Length: 0", b"Length: %d" % size)
    backend._server.sockets[0].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    backend.on_data = lambda peer: peer.transport.pause_reading()
    client = await asyncio.to_thread(connect_client, ingress, head + bytes(size))
    await ingress.script.wait_for_events(RequestArrived)
    await backend.wait_until(lambda: bool(backend.peers))
    client.close()
    await ingress.script.wait_for_events(ClientDisconnected)
    (ended,) = ingress.script.events_of_type(AttemptEnded)
    assert ended.outcome is Outcome.NOT_SENT and ended.request_ended


async def test_a_half_closed_connection_counts_as_a_disconnect(ingress: Ingress, backend: PeerServer) -> None:
    """Guards against a request that stays open: if the client does not read, unsent data delays the close."""
    ingress.script.rule = lambda event: [SendAttempt(1, 1, 0)] if isinstance(event, RequestArrived) else []
    client = connect_client(ingress, request("r0"))
    await backend.wait_until(lambda: received_request_ids(backend) == [b"r0"])
    (connection,) = ingress.listener.connections
    connection.transport.set_write_buffer_limits(high=1 << 30)
    connection.transport.write(bytes(16_000_000))
    assert connection.transport.get_write_buffer_size()
    client.shutdown(socket.SHUT_WR)
    async with asyncio.timeout(1.0):  # before the sweep ends connections whose client does not read
        await ingress.script.wait_for_events(ClientDisconnected)
    assert connection in ingress.listener.connections
    client.close()
