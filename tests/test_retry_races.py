"""Races between a retry and a drain or reset, with the real policy; the order of events is forced."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.upstream.exchange import Exchange
from quota_ingress.net.upstream.pool import ConnectionPool
from quota_ingress.policy.gateway import Gateway
from tests.net_helpers import (
    HOST,
    OK,
    SETTINGS,
    Ingress,
    Peer,
    PeerServer,
    received_request_ids,
    request,
    respond_with,
)


@pytest_asyncio.fixture
async def ingress_and_backends() -> AsyncIterator[tuple[Ingress, list[PeerServer]]]:
    """An ingress and two backends, named by their index, that do not respond until a test sets a response."""
    servers = [await PeerServer().start() for _ in range(2)]
    ingress = Ingress(Gateway(SETTINGS, 1))  # type: ignore[arg-type]
    await ingress.start()
    ingress.engine.update_endpoints(list_of(servers, "up", "up"))
    yield ingress, servers
    ingress.stop()
    for server in servers:
        server.stop()


def list_of(servers: list[PeerServer], *statuses: str) -> EndpointList:
    entries = [
        {"name": f"s-{n}", "address": f"{HOST}:{server.port}", "status": state, "zone": "hall", "type": "big"}
        for n, (server, state) in enumerate(zip(servers, statuses, strict=True))
    ]
    return decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": entries})


@pytest.mark.parametrize("cls", ["read", "order"])
async def test_an_unwritten_attempt_at_a_draining_backend_is_retried_elsewhere(
    ingress_and_backends: tuple[Ingress, list[PeerServer]], monkeypatch: pytest.MonkeyPatch, cls: str
) -> None:
    """The connection is established right after the backend starts to drain.

    The attempt never ran, so a request that is not idempotent is retried as well.
    """
    ingress, servers = ingress_and_backends
    chosen: list[str] = []
    may_connect, dialling, connect = asyncio.Event(), asyncio.Event(), ConnectionPool._connect

    async def delayed_connect(pool: ConnectionPool, exchange: Exchange) -> None:
        chosen.append(pool.name)
        dialling.set()
        try:
            await may_connect.wait()
        finally:
            await connect(pool, exchange)

    monkeypatch.setattr(ConnectionPool, "_connect", delayed_connect)
    response = asyncio.create_task(ingress.fetch(request("r0", cls)))
    await dialling.wait()
    draining = int(chosen[0][-1])
    statuses = ["up", "up"]
    statuses[draining] = "draining"
    servers[1 - draining].on_data = respond_with(OK)
    may_connect.set()
    ingress.engine.update_endpoints(list_of(servers, *statuses))
    assert (await response).endswith(b"warm")
    assert received_request_ids(servers[draining]) == [] and len(servers[1 - draining].peers) == 1
    assert chosen == [f"s-{draining}", f"s-{1 - draining}"]


async def test_a_reset_after_the_last_byte_fails_a_non_idempotent_request_and_retries_others(
    ingress_and_backends: tuple[Ingress, list[PeerServer]], no_reuse_delay: None
) -> None:
    """Idle connections are reused, and the backend resets them when it receives the next request."""
    ingress, servers = ingress_and_backends
    for server in servers:
        server.on_data = respond_with(OK)
    for number in range(4):
        assert (await ingress.fetch(request(f"k{number}"))).endswith(b"warm")
    for server in servers:
        server.on_data = lambda peer: peer.transport.abort()
    response = await ingress.fetch(request("u0", "order"))
    assert response.startswith(b"HTTP/1.1 502 ")
    assert sum(server.peers[n].data.count(b"u0") for server in servers for n in range(len(server.peers))) == 1
    reset_peers: list[Peer] = []

    def reset_first_connection(peer: Peer) -> None:
        if reset_peers and reset_peers[0] is not peer:
            peer.transport.write(OK)
        else:
            reset_peers.append(peer)
            peer.transport.abort()

    for server in servers:
        server.on_data = reset_first_connection
    assert (await ingress.fetch(request("s0", Cookie=f"customer={8:016x}"))).endswith(b"warm")
