"""The listener: draining at shutdown, and the limit above which clients wait in the accept queue."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.policy.events import RequestArrived
from tests.net_helpers import (
    HOST,
    OK,
    Ingress,
    PeerServer,
    read_response,
    request,
    respond_with,
)

pytestmark = pytest.mark.usefixtures("backend_answers")


async def test_draining_closes_idle_connections_and_finishes_open_requests(
    ingress: Ingress, backend: PeerServer
) -> None:
    backend.on_data = lambda peer: None
    idle, idle_writer = await asyncio.open_connection(HOST, ingress.port)
    idle_writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (await read_response(idle)).startswith(b"HTTP/1.1 200 ")
    open_request = asyncio.create_task(ingress.fetch(request()))
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    ingress.listener.begin_shutdown()
    async with asyncio.timeout(10):
        assert await idle.read() == b""
    backend.on_data = respond_with(OK)
    new_answer = await ingress.fetch(request("late"))
    backend.peers[0].transport.write(OK)
    for answer in (new_answer, await open_request):
        assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close\r\n" in answer
    idle_writer.close()


async def test_while_draining_a_connection_may_still_send_its_first_request(ingress: Ingress) -> None:
    """Guards against closing new connections as idle during a drain: slow clients lost their requests."""
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    while not ingress.listener.connections:
        await asyncio.sleep(0)
    ingress.listener.begin_shutdown()
    ingress.listener.stop_listening()
    writer.write(request())
    answer = await read_response(reader)
    assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close\r\n" in answer
    async with asyncio.timeout(10):
        assert await reader.read() == b""
    writer.close()


async def test_above_the_hard_limit_clients_wait_in_the_accept_queue(ingress: Ingress) -> None:
    ingress.sockets.clients.limit, ingress.listener.hard_limit = 3, 3
    ingress.script.rule = lambda event: []
    clients = []
    for number in range(6):
        clients.append(await asyncio.open_connection(HOST, ingress.port))
        clients[-1][1].write(request(f"a{number}"))
    await ingress.script.wait_for_events(RequestArrived, 3)
    assert len(ingress.listener.connections) == 3
    for _, writer in clients[:3]:
        writer.close()
    assert len(await ingress.script.wait_for_events(RequestArrived, 6)) == 6
    for _, writer in clients:
        writer.close()
