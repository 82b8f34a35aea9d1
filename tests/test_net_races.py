"""Over loopback connections: what comes between two lines. Each test forces the bad order, by events."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.downstream import connection as connection_module
from quota_ingress.net.upstream.exchange import Exchange
from quota_ingress.net.upstream.pool import ConnectionPool
from quota_ingress.policy.events import AttemptEnded, ClientDisconnected, Outcome, RequestArrived
from quota_ingress.policy.gateway import Gateway
from tests.net_helpers import (
    HOST,
    OK,
    SETTINGS,
    Ingress,
    Peer,
    PeerServer,
    answers,
    request,
)

COPY = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy"


def asked(backend: PeerServer) -> list[bytes]:
    """The ids that have reached the backend, in the order of connections."""
    return [part[:2] for peer in backend.peers for part in peer.data.split(b"Request-Id: ")[1:]]


# Clients that leave.


async def left(writer: asyncio.StreamWriter) -> None:
    writer.close()
    await writer.wait_closed()  # on loopback, its end is in our socket by now


async def test_a_client_that_sends_much_and_leaves_while_it_is_not_read_is_gone(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Reading stops while requests wait, and the client's end came behind them: each was still sent on."""
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}") for n in range(9)) + request("s0") * 20)
    await backend.until(lambda: asked(backend) == [b"r0"])
    (connection,) = ingress.listener.connections
    while not connection._read_paused:
        await asyncio.sleep(0)
    await left(writer)
    await ingress.script.seen(ClientDisconnected)
    backend.peers[0].transport.write(OK)
    await ingress.script.seen(AttemptEnded)
    assert asked(backend) == [b"r0"] and len(ingress.script.of(RequestArrived)) == 1
    assert not ingress.listener.connections


async def test_a_request_behind_another_one_is_not_sent_on_once_its_client_has_left(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The answer to the first comes before anybody has looked whether the client is there."""
    monkeypatch.setattr(connection_module, "CLIENT_LEFT_CHECK_INTERVAL_S", 60.0)
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}") for n in range(12)))
    await backend.until(lambda: asked(backend) == [b"r0"])
    (connection,) = ingress.listener.connections
    while not connection._read_paused:
        await asyncio.sleep(0)
    await left(writer)
    backend.peers[0].transport.write(OK)
    async with asyncio.timeout(10):
        while ingress.listener.connections:
            await asyncio.sleep(0)
    assert asked(backend) == [b"r0"] and len(ingress.script.of(RequestArrived)) == 1


async def test_a_request_whose_client_left_in_the_listeners_line_is_not_sent_on(
    ingress: Ingress, backend: PeerServer, at_once: None
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


# Answers that come late or twice.


async def test_a_late_copy_of_an_answer_is_not_taken_for_the_next_requests(
    ingress: Ingress, backend: PeerServer
) -> None:
    """It comes once the next request is on its way: only a connection that has rested is surely through."""
    first = asyncio.create_task(ingress.ask(request("r0")))
    await backend.until(lambda: asked(backend) == [b"r0"])
    backend.peers[0].transport.write(OK)
    assert (await first).endswith(b"warm")
    second = asyncio.create_task(ingress.ask(request("r1")))
    await backend.until(lambda: b"r1" in asked(backend))
    backend.peers[0].transport.write(COPY)
    await backend.until(lambda: backend.peers[0] in backend.closed)  # costs its own connection, no request
    backend.peers[-1].transport.write(OK)
    assert (await second).endswith(b"warm")


async def test_a_connection_that_has_rested_is_used_again(ingress: Ingress, backend: PeerServer) -> None:
    backend.heard = answers(OK)
    assert (await ingress.ask(request("r0"))).endswith(b"warm")
    (pool,) = ingress.backends._pools.values()
    pool.now = lambda: asyncio.get_running_loop().time() + 1.0
    assert (await ingress.ask(request("r1"))).endswith(b"warm")
    assert len(backend.peers) == 1


# Repeats, through the real module.


@pytest_asyncio.fixture
async def two() -> AsyncIterator[tuple[Ingress, list[PeerServer]]]:
    """Two backends, named by their place; they say nothing until a test has them answer."""
    servers = [await PeerServer().start() for _ in range(2)]
    ingress = Ingress(Gateway(SETTINGS, 1))  # type: ignore[arg-type]
    await ingress.start()
    ingress.engine.update_endpoints(both(servers, "up", "up"))
    yield ingress, servers
    ingress.stop()
    for server in servers:
        server.stop()


def both(servers: list[PeerServer], *status: str) -> EndpointList:
    entries = [
        {"name": f"s-{n}", "address": f"{HOST}:{server.port}", "status": state, "zone": "hall", "type": "big"}
        for n, (server, state) in enumerate(zip(servers, status, strict=True))
    ]
    return decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": entries})


@pytest.mark.parametrize("cls", ["read", "order"])
async def test_an_attempt_chosen_before_a_drain_and_not_written_goes_elsewhere(
    two: tuple[Ingress, list[PeerServer]], monkeypatch: pytest.MonkeyPatch, cls: str
) -> None:
    """Its connection comes up right after the list; it never ran, so an unsafe one may go on, too."""
    ingress, servers = two
    chosen: list[str] = []
    up, dialling, connect = asyncio.Event(), asyncio.Event(), ConnectionPool._connect

    async def late(pool: ConnectionPool, exchange: Exchange) -> None:
        chosen.append(pool.name)
        dialling.set()
        try:
            await up.wait()
        finally:
            await connect(pool, exchange)

    monkeypatch.setattr(ConnectionPool, "_connect", late)
    answer = asyncio.create_task(ingress.ask(request("r0", cls)))
    await dialling.wait()
    leaving = int(chosen[0][-1])
    states = ["up", "up"]
    states[leaving] = "draining"
    servers[1 - leaving].heard = answers(OK)
    up.set()
    ingress.engine.update_endpoints(both(servers, *states))
    assert (await answer).endswith(b"warm")
    assert asked(servers[leaving]) == [] and len(servers[1 - leaving].peers) == 1
    assert chosen == [f"s-{leaving}", f"s-{1 - leaving}"]


async def test_a_reset_after_the_last_byte_ends_an_unsafe_request_and_repeats_a_safe_one(
    two: tuple[Ingress, list[PeerServer]], at_once: None
) -> None:
    """On connections that were kept, and die under the next request."""
    ingress, servers = two
    for server in servers:
        server.heard = answers(OK)
    for number in range(4):
        assert (await ingress.ask(request(f"k{number}"))).endswith(b"warm")
    for server in servers:
        server.heard = lambda peer: peer.transport.abort()
    answer = await ingress.ask(request("u0", "order"))
    assert answer.startswith(b"HTTP/1.1 502 ")
    assert sum(server.peers[n].data.count(b"u0") for server in servers for n in range(len(server.peers))) == 1
    first: list[Peer] = []

    def resets_once(peer: Peer) -> None:
        if first and first[0] is not peer:
            peer.transport.write(OK)
        else:
            first.append(peer)
            peer.transport.abort()

    for server in servers:
        server.heard = resets_once
    assert (await ingress.ask(request("s0", Cookie=f"customer={8:016x}"))).endswith(b"warm")


# Shutdown.
