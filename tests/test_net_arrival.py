"""When a client's time begins: with the request's last byte, wherever that had to wait for its turn."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator

import pytest_asyncio

from tests.net_helpers import HOST, OK, Ingress, PeerServer, Script, request, send_first
from tests.test_net_clients import listing

TIMEOUT = 2.0  # s that each client gives
SLACK = 0.15  # s that a backend may be told beyond what the client has left


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


async def told(backend: PeerServer, request_id: str) -> float:
    """The seconds that the backend was told with that request."""
    wanted = f"Request-Id: {request_id}\r\n".encode()
    await backend.until(lambda: any(wanted in peer.data for peer in backend.peers))
    (data,) = (peer.data for peer in backend.peers if wanted in peer.data)
    head = data.partition(wanted)[2]
    return int(head.partition(b"Request-Timeout: ")[2].partition(b"m")[0]) / 1000


async def test_a_request_behind_another_has_what_is_left_since_it_came(
    ingress: Ingress, backend: PeerServer
) -> None:
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", timeout="2000m") + request("r1", timeout="2000m"))
    sent = time.monotonic()
    await backend.until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    await asyncio.sleep(1.0)
    backend.peers[0].transport.write(OK)
    assert await told(backend, "r1") <= TIMEOUT - (time.monotonic() - sent) + SLACK
    writer.close()


async def test_a_request_that_came_while_nothing_was_read_has_what_is_left(
    ingress: Ingress, backend: PeerServer
) -> None:
    """More wait than are read ahead: the last ones stay in the socket until there is room."""
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}", timeout="2000m") for n in range(10)))
    await backend.until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    (connection,) = ingress.listener.connections
    while not connection._paused:
        await asyncio.sleep(0.001)
    writer.write(request("late", timeout="2000m"))
    sent = time.monotonic()
    await asyncio.sleep(0.8)
    for peer in backend.peers:
        peer.transport.write(OK)
    answered = 1
    while answered < 10:  # one after another, on whichever connection it comes
        await backend.until(lambda: sum(p.data.count(b"Request-Id") for p in backend.peers) > answered)
        answered += 1
        next(p for p in backend.peers if p.data.endswith(b"\r\n\r\n") and b"r%d\r" % (answered - 1) in p.data)
        for peer in [p for p in backend.peers if b"Request-Id: r%d\r" % (answered - 1) in p.data]:
            peer.transport.write(OK)
    assert await told(backend, "late") <= TIMEOUT - (time.monotonic() - sent) + SLACK
    writer.close()


async def test_a_request_that_waited_to_be_accepted_has_what_is_left(
    ingress: Ingress, backend: PeerServer
) -> None:
    ingress.listener.pause()
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", timeout="2000m"))
    sent = time.monotonic()
    await asyncio.sleep(0.8)
    ingress.listener._resume()
    assert await told(backend, "r0") <= TIMEOUT - (time.monotonic() - sent) + SLACK
    writer.close()
