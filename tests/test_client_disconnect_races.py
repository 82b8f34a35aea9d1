"""Races between a client's disconnect and its requests: none is forwarded after it. The order is forced."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quota_ingress.net.downstream import read_flow
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.engine.send_rules import DISCONNECT_GRACE
from quota_ingress.net.http import Body, MemoryBudget
from quota_ingress.net.upstream.exchange import Exchange
from quota_ingress.net.upstream.pool import ConnectionPool
from quota_ingress.policy.actions import Action, SendAttempt
from quota_ingress.policy.events import AttemptEnded, ClientDisconnected, Event, Outcome, RequestArrived
from tests.net_helpers import (
    HOST,
    OK,
    Ingress,
    PeerServer,
    Script,
    received_request_ids,
    request,
    respond_with,
    send_first,
)
from tests.support.fake_network import FakeNetwork, send_on_arrival


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


async def test_no_retry_begins_while_a_disconnect_may_wait_behind_unread_input(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Guards against retries up to 0.7 s after the close of a client that had sent more than was read."""

    def retry_after_error(event: Event) -> list[Action]:
        is_error = isinstance(event, AttemptEnded) and event.outcome is Outcome.ERROR
        return [SendAttempt(1, 1, 0)] if is_error else send_first(event)

    ingress.script.rule = retry_after_error
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setblocking(False)
    await loop.sock_connect(client, (HOST, ingress.port))
    sending = asyncio.create_task(loop.sock_sendall(client, request("r0") + 100_000 * request("s0")))
    await backend.wait_until(lambda: received_request_ids(backend) == [b"r0"])
    await asyncio.sleep(1.5 * DISCONNECT_GRACE / 1e6)
    assert not sending.done()  # the end of the stream can't arrive
    sending.cancel()
    client.close()
    (connection,) = ingress.listener.connections
    assert not connection.disconnected()
    backend.peers[0].transport.write(b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n")
    first, second = await ingress.script.wait_for_events(AttemptEnded, 2)
    assert (first.outcome, second.outcome) == (Outcome.ERROR, Outcome.NOT_SENT)
    assert received_request_ids(backend) == [b"r0"]
    async with asyncio.timeout(10):
        while ingress.listener.connections:
            await asyncio.sleep(0)


@pytest.mark.parametrize(("elapsed", "outcomes"), [(90_000, 2), (110_000, 1)])
def test_an_attempt_may_begin_soon_after_the_last_sign_of_its_client(elapsed: int, outcomes: int) -> None:
    network = FakeNetwork(Script(send_on_arrival()))
    body = Body(MemoryBudget())
    body.complete = True
    parsed = ParsedRequest(
        b"a", 0, 0, 7, 1.0, 1, 0, 3_000_000, network.time, False, b"GET / HTTP/1.1\r\n", body
    )
    assert network.engine.on_request(parsed, network)
    network.has_uncertain_client = True
    network.pass_time(elapsed)
    network.sent[0].on_ended(AttemptResult(Outcome.ERROR))
    network.engine._execute(SendAttempt(1, 1, 0))
    assert len(network.sent) == outcomes
