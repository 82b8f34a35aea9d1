"""A retry that crosses a drain or a reset, through the real policy, with the worse order forced by events."""

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
    answers,
    asked,
    request,
)


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
async def test_an_unwritten_attempt_at_a_draining_backend_is_retried_elsewhere(
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


async def test_a_reset_after_the_last_byte_fails_a_non_idempotent_request_and_retries_others(
    two: tuple[Ingress, list[PeerServer]], no_reuse_delay: None
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
