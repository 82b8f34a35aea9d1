"""Over loopback connections: what comes between two lines. Each test forces the bad order, by events."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest_asyncio

from tests.net_helpers import (
    OK,
    Ingress,
    PeerServer,
    Script,
    answers,
    request,
    send_first,
)
from tests.test_net_clients import listing

COPY = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy"


@pytest_asyncio.fixture
async def backend() -> AsyncIterator[PeerServer]:
    """Says nothing until a test has it answer."""
    server = await PeerServer().start()
    yield server
    server.stop()


@pytest_asyncio.fixture
async def ingress(backend: PeerServer) -> AsyncIterator[Ingress]:
    ingress = Ingress(Script(send_first))
    await ingress.start()
    ingress.engine.listed(listing(backend.port))
    yield ingress
    ingress.stop()


def asked(backend: PeerServer) -> list[bytes]:
    """The ids that have reached the backend, in the order of connections."""
    return [part[:2] for peer in backend.peers for part in peer.data.split(b"Request-Id: ")[1:]]


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
