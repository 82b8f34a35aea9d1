"""Eviction of client connections when descriptors run out: which are closed and which are kept."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quota_ingress.net.downstream import eviction
from quota_ingress.net.downstream.eviction import evict_one
from quota_ingress.policy.events import RequestArrived
from tests.net_helpers import (
    HOST,
    OK,
    Ingress,
    read_response,
    read_statuses,
    request,
)
from tests.support.streaming import IngressAndBackend, save

pytestmark = pytest.mark.usefixtures("backend_answers")


async def test_idle_connections_are_evicted_before_requests_are_rejected(
    ingress: Ingress,
) -> None:
    ingress.sockets.clients.limit, ingress.listener.hard_limit = 3, 5
    clients = [await asyncio.open_connection(HOST, ingress.port) for _ in range(3)]
    for reader, writer in clients:
        writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
        await read_response(reader)
    answer = await ingress.fetch(request())  # an idle connection is evicted for this one
    assert answer.startswith(b"HTTP/1.1 200 ")
    async with asyncio.timeout(10):
        assert await clients[0][0].read() == b""
    ingress.script.rule = lambda event: []
    writers = []
    for number in range(3):
        _, writer = await asyncio.open_connection(HOST, ingress.port)
        writer.write(request(f"busy{number}"))
        writers.append(writer)
    await ingress.script.wait_for_events(RequestArrived, 4)
    answer = await ingress.fetch(request("over"))
    assert answer.startswith(b"HTTP/1.1 503 ") and b"Connection: close\r\n" in answer
    assert b"Retry-After: 0.500\r\n" in answer
    for _, writer in [*clients, *[(None, w) for w in writers]]:
        writer.close()


async def test_idle_connections_above_the_maximum_are_closed(ingress: Ingress) -> None:
    """Clients have a limited number of connections to an ingress: 124 idle ones left none for requests."""
    ingress.listener.max_idle = 3
    clients = []
    for _ in range(8):
        clients.append(await asyncio.open_connection(HOST, ingress.port))
        clients[-1][1].write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await read_response(clients[-1][0])).startswith(b"HTTP/1.1 200 ")
    async with asyncio.timeout(10):
        for reader, _ in clients[:5]:  # those idle longest
            assert await reader.read() == b""
    assert len(ingress.listener.stages.idle) == 3
    for _, writer in clients:
        writer.close()


async def test_silent_connections_are_evicted_before_those_with_requests(ingress: Ingress) -> None:
    ingress.sockets.clients.limit, ingress.listener.hard_limit = 20, 30
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("first"))
    assert (await read_response(reader)).startswith(b"HTTP/1.1 200 ")
    silent = [await asyncio.open_connection(HOST, ingress.port) for _ in range(200)]
    writer.write(request("second"))  # silent connections are evicted first, so this one is kept
    assert (await read_response(reader)).startswith(b"HTTP/1.1 200 ")
    assert (await ingress.fetch(request("third"))).startswith(b"HTTP/1.1 200 ")
    assert len(ingress.listener.connections) <= 30
    for _, other in [*silent, (None, writer)]:
        other.close()


async def test_connections_stalled_in_a_head_are_evicted_and_slow_ones_are_not(
    ingress: Ingress, monkeypatch: pytest.MonkeyPatch
) -> None:
    ingress.sockets.clients.limit, ingress.listener.hard_limit = 4, 8
    now = [ingress.listener.now()]
    monkeypatch.setattr(ingress.listener, "now", lambda: now[0])
    incomplete = [await asyncio.open_connection(HOST, ingress.port) for _ in range(4)]
    for _, writer in incomplete:
        writer.write(request("x")[:30])
    slow, slow_writer = incomplete[0]
    while len([c for c in ingress.listener.stages.awaiting_first_request if c.reader.in_message]) < 4:
        await asyncio.sleep(0)
    now[0] += 600_000
    slow_writer.write(request("x")[30:60])
    while not any(c._last_data_at == now[0] for c in ingress.listener.stages.awaiting_first_request):
        await asyncio.sleep(0)
    # No head has stalled for STALL_TIMEOUT_S: each may still be completed, so none is evicted yet.
    assert (await ingress.fetch(request("early"))).startswith(b"HTTP/1.1 503 ")
    now[0] += 200_000
    for number in range(3):
        assert (await ingress.fetch(request(f"late{number}"))).startswith(b"HTTP/1.1 200 ")
    slow_writer.write(request("x")[60:])
    assert (await read_response(slow)).startswith(b"HTTP/1.1 200 ")
    for _, writer in incomplete:
        writer.close()


async def connect_and_send(ingress: Ingress, data: bytes) -> socket.socket:
    """Connects and sends before the event loop can accept the connection."""
    sock = socket.create_connection((HOST, ingress.port))
    sock.send(data)
    await asyncio.sleep(0)
    return sock


@pytest.mark.parametrize(
    "part",
    [
        b"",
        request("x")[:30],
        request() + request("x")[:30],
        save("Content-Length: 100") + b"half",
        save("Content-Length: 200000") + b"half",
    ],
)
async def test_a_request_behind_a_crowd_is_answered_in_its_time(ingress: Ingress, part: bytes) -> None:
    """Guards against waiting in the accept queue for the timeouts of clients that stop before a request ends.

    Six rounds of the crowd fit into the descriptors; a round used to last until the timeout of a head.
    """
    ingress.sockets.clients.limit, ingress.listener.hard_limit = 8, 10
    crowd = [await connect_and_send(ingress, part.replace(b": a1", b": c%d" % n)) for n in range(60)]
    async with asyncio.timeout(1.5):
        answer = await ingress.fetch(request("r0", timeout="1000m"))
    assert answer.split()[1] in (b"200", b"503")
    assert len(ingress.listener.connections) <= 10
    for sock in crowd:
        sock.close()


async def test_the_longest_stalled_head_is_evicted_first(ingress: Ingress) -> None:
    crowd = [await asyncio.open_connection(HOST, ingress.port) for _ in range(3)]
    stages, head = ingress.listener.stages, request("x")
    parts = (0, head[:9]), (1, head[:9]), (2, head[:9]), (0, head[9:18])  # the first one goes on at last
    for number, part in parts:
        now = ingress.listener.now()
        crowd[number][1].write(part)
        async with asyncio.timeout(5):
            while max(stages.partial_heads.values(), default=0) <= now:
                await asyncio.sleep(0)
    assert evict_one(stages, ingress.listener.now() + 1, stall_timeout_s=0.0)
    async with asyncio.timeout(5):
        assert await crowd[1][0].read() == b""
    assert len(stages.partial_heads) == 2
    for _, writer in crowd:
        writer.close()


async def test_a_connection_is_not_evicted_with_a_request_unread(ingress: Ingress) -> None:
    """Guards against closing a new connection as idle while its first request is unread.

    When few descriptors were left, 20 first requests were lost.
    """
    fresh, writer = await asyncio.open_connection(HOST, ingress.port)
    while not ingress.listener.connections:
        await asyncio.sleep(0)
    (connection,) = ingress.listener.connections
    writer.write(request("first"))  # in the socket, but not yet read by the event loop
    assert connection in ingress.listener.stages.awaiting_first_request and not ingress.listener._evict()
    assert (await read_response(fresh)).startswith(b"HTTP/1.1 200 ")
    assert connection in ingress.listener.stages.idle
    writer.write(b"G")
    assert not ingress.listener._evict()
    writer.write(request("second")[1:])
    assert (await read_response(fresh)).startswith(b"HTTP/1.1 200 ")
    assert ingress.listener._evict()
    async with asyncio.timeout(10):
        assert await fresh.read() == b""
    writer.close()


async def test_a_connection_with_the_next_request_begun_is_not_idle(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("first") + request("second")[:20])
    assert (await read_response(reader)).startswith(b"HTTP/1.1 200 ")
    assert not ingress.listener.stages.idle and not ingress.listener._evict()
    writer.write(request("second")[20:])
    assert (await read_response(reader)).startswith(b"HTTP/1.1 200 ")
    writer.close()


async def test_a_fresh_connection_is_evicted_last(ingress: Ingress) -> None:
    """The first request of a new connection is on its way, so idle connections are evicted before it."""
    idle = await asyncio.open_connection(HOST, ingress.port)
    idle[1].write(request("r0"))
    assert await read_statuses(idle[0], 1) == [b"200"]
    fresh = await asyncio.open_connection(HOST, ingress.port)
    async with asyncio.timeout(5):
        while not ingress.listener.stages.awaiting_first_request:
            await asyncio.sleep(0)
    assert ingress.listener._evict()
    assert await idle[0].read() == b""
    fresh[1].write(request("r1"))
    assert await read_statuses(fresh[0], 1) == [b"200"]
    for _, writer in (idle, fresh):
        writer.close()


@pytest.mark.parametrize("size", [1000, 2_000_000])  # buffered, and streamed to the backend
async def test_a_connection_that_has_stalled_in_a_body_is_evicted_for_a_new_client(
    pair: IngressAndBackend, monkeypatch: pytest.MonkeyPatch, size: int
) -> None:
    """Guards against rejecting all new clients while uploads that have stopped hold the descriptors."""
    ingress = pair.ingress
    ingress.listener.descriptors.limit = 1
    reader, writer = await pair.connect(save(f"Content-Length: {2 * size}") + bytes(size))
    stages = ingress.listener.stages
    async with asyncio.timeout(5):
        while not (stages.receiving_body and ingress.listener.memory_budget.used >= min(size, 1000)):
            await asyncio.sleep(0.01)
    pair.server.on_data = lambda peer: peer.transport.write(OK) if peer.data.startswith(b"GET") else None
    writer.write(b"more")
    assert (await ingress.fetch(request("r1"))).startswith(b"HTTP/1.1 503 ")  # the upload is going on
    monkeypatch.setattr(eviction, "STALL_TIMEOUT_S", 0.0)
    assert (await ingress.fetch(request("r2"))).startswith(b"HTTP/1.1 200 ")
    async with asyncio.timeout(5):
        assert await reader.read() == b""
        while ingress.listener.memory_budget.used:
            await asyncio.sleep(0.01)
    assert ingress.engine.event_log.violations == 0
    writer.close()
