"""Races between a client's disconnect and its requests: none is forwarded after it. The order is forced."""

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
    received_request_ids,
    request,
    respond_with,
)


async def disconnect(writer: asyncio.StreamWriter) -> None:
    writer.close()
    await writer.wait_closed()  # on loopback, the end of the stream has reached the ingress's socket by now


async def test_a_disconnect_while_reading_is_paused_is_detected(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Reading pauses while requests wait, so the end of the stream stays unread behind them.

    The waiting requests must not be forwarded.
    """
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}") for n in range(9)) + request("s0") * 20)
    await backend.wait_until(lambda: received_request_ids(backend) == [b"r0"])
    (connection,) = ingress.listener.connections
    while not connection._read_flow.paused:
        await asyncio.sleep(0)
    await disconnect(writer)
    await ingress.script.wait_for_events(ClientDisconnected)
    backend.peers[0].transport.write(OK)
    await ingress.script.wait_for_events(AttemptEnded)
    assert (
        received_request_ids(backend) == [b"r0"] and len(ingress.script.events_of_type(RequestArrived)) == 1
    )
    assert not ingress.listener.connections


async def test_a_pipelined_request_is_not_forwarded_after_its_client_has_disconnected(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The response to the first request arrives before the periodic check for a disconnect."""
    monkeypatch.setattr(read_flow, "PAUSE_CHECK_INTERVAL_S", 60.0)
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}") for n in range(12)))
    await backend.wait_until(lambda: received_request_ids(backend) == [b"r0"])
    (connection,) = ingress.listener.connections
    while not connection._read_flow.paused:
        await asyncio.sleep(0)
    await disconnect(writer)
    backend.peers[0].transport.write(OK)
    async with asyncio.timeout(10):
        while ingress.listener.connections:
            await asyncio.sleep(0)
    assert (
        received_request_ids(backend) == [b"r0"] and len(ingress.script.events_of_type(RequestArrived)) == 1
    )


async def test_a_request_whose_client_disconnected_in_the_accept_queue_is_not_forwarded(
    ingress: Ingress, backend: PeerServer, no_reuse_delay: None
) -> None:
    """The request is read before the end of the stream, and an idle backend connection is available."""
    backend.on_data = respond_with(OK)
    await ingress.fetch(request("k0"))
    backend.on_data = lambda peer: None
    ingress.listener.pause_accepting()
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0"))
    await disconnect(writer)
    response = asyncio.create_task(ingress.fetch(request("r1")))
    ingress.listener.resume_accepting()
    await backend.wait_until(lambda: b"r1" in received_request_ids(backend))
    for peer in backend.peers:
        peer.transport.write(OK)
    assert (await response).startswith(b"HTTP/1.1 200 ")
    assert received_request_ids(backend) == [b"r1"]


async def test_a_request_is_not_written_to_a_connection_established_after_its_client_has_disconnected(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The attempt has not begun, so it is withdrawn even where attempts must not be cancelled.

    It ends as NOT_SENT, which does not count as a failure of the backend.
    """
    may_connect, connect, dialling = asyncio.Event(), ConnectionPool._connect, asyncio.Event()

    async def delayed_connect(pool: ConnectionPool, exchange: Exchange) -> None:
        dialling.set()
        try:
            await may_connect.wait()
        finally:
            await connect(pool, exchange)

    monkeypatch.setattr(ConnectionPool, "_connect", delayed_connect)
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0"))
    await dialling.wait()
    await disconnect(writer)
    await ingress.script.wait_for_events(ClientDisconnected)
    may_connect.set()
    (ended,) = await ingress.script.wait_for_events(AttemptEnded)
    assert ended.outcome is Outcome.NOT_SENT and ended.request_ended
    await asyncio.sleep(0)
    assert received_request_ids(backend) == []
