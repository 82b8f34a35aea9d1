"""A client that leaves between two steps, with the worse order forced: nothing of it reaches a backend."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.net.downstream import read_flow
from quota_ingress.net.upstream.exchange import Exchange
from quota_ingress.net.upstream.pool import ConnectionPool
from quota_ingress.policy.events import AttemptEnded, ClientDisconnected, Outcome, RequestArrived
from tests.net_helpers import (
    HOST,
    OK,
    Ingress,
    PeerServer,
    answers,
    asked,
    request,
)


async def left(writer: asyncio.StreamWriter) -> None:
    writer.close()
    await writer.wait_closed()  # on loopback, its end is in our socket by now


async def test_a_client_that_leaves_while_reading_is_paused_is_noticed(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Reading stops while requests wait, and the client's end came behind them: each was still sent on."""
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}") for n in range(9)) + request("s0") * 20)
    await backend.until(lambda: asked(backend) == [b"r0"])
    (connection,) = ingress.listener.connections
    while not connection._read_flow.paused:
        await asyncio.sleep(0)
    await left(writer)
    await ingress.script.seen(ClientDisconnected)
    backend.peers[0].transport.write(OK)
    await ingress.script.seen(AttemptEnded)
    assert asked(backend) == [b"r0"] and len(ingress.script.of(RequestArrived)) == 1
    assert not ingress.listener.connections


async def test_a_pipelined_request_is_not_forwarded_once_its_client_has_left(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer to the first comes before anybody has looked whether the client is there."""
    monkeypatch.setattr(read_flow, "CLIENT_LEFT_CHECK_INTERVAL_S", 60.0)
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}") for n in range(12)))
    await backend.until(lambda: asked(backend) == [b"r0"])
    (connection,) = ingress.listener.connections
    while not connection._read_flow.paused:
        await asyncio.sleep(0)
    await left(writer)
    backend.peers[0].transport.write(OK)
    async with asyncio.timeout(10):
        while ingress.listener.connections:
            await asyncio.sleep(0)
    assert asked(backend) == [b"r0"] and len(ingress.script.of(RequestArrived)) == 1


async def test_a_request_whose_client_left_in_the_accept_queue_is_not_forwarded(
    ingress: Ingress, backend: PeerServer, no_reuse_delay: None
) -> None:
    """It is read before its client's end, and a kept connection would take it at once."""
    backend.heard = answers(OK)
    await ingress.ask(request("k0"))
    backend.heard = lambda peer: None
    ingress.listener.pause_accepting()
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0"))
    await left(writer)
    stays = asyncio.create_task(ingress.ask(request("r1")))
    ingress.listener.resume_accepting()
    await backend.until(lambda: b"r1" in asked(backend))
    for peer in backend.peers:
        peer.transport.write(OK)
    assert (await stays).startswith(b"HTTP/1.1 200 ")
    assert asked(backend) == [b"r1"]


async def test_a_request_is_not_written_when_its_connection_comes_up_after_its_client_has_left(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also where attempts may not be cancelled: this one has not begun. And the backend is not to blame."""
    up, connect, dialling = asyncio.Event(), ConnectionPool._connect, asyncio.Event()

    async def late(pool: ConnectionPool, exchange: Exchange) -> None:
        dialling.set()
        try:
            await up.wait()
        finally:
            await connect(pool, exchange)

    monkeypatch.setattr(ConnectionPool, "_connect", late)
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0"))
    await dialling.wait()
    await left(writer)
    await ingress.script.seen(ClientDisconnected)
    up.set()
    (ended,) = await ingress.script.seen(AttemptEnded)
    assert ended.outcome is Outcome.NOT_SENT and ended.request_ended
    await asyncio.sleep(0)
    assert asked(backend) == []
