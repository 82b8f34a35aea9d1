"""When a client's time begins: with the request's last byte, wherever that had to wait for its turn."""

from __future__ import annotations

import asyncio
import socket
import time

from quota_ingress.policy.events import RequestArrived
from tests.net_helpers import HOST, OK, Ingress, PeerServer, Script, listing, request, send_first

TIMEOUT = 2.0  # s that each client gives


SLACK = 0.15  # s that a backend may be told beyond what the client has left


async def told(backend: PeerServer, request_id: str) -> float:
    """The seconds that the backend was told with that request."""
    wanted = f"Request-Id: {request_id}\r\n".encode()
    await backend.until(lambda: any(wanted in peer.data for peer in backend.peers))
    (data,) = (peer.data for peer in backend.peers if wanted in peer.data)
    head = data.partition(wanted)[2]
    return int(head.partition(b"Request-Timeout: ")[2].partition(b"m")[0]) / 1000


async def test_a_pipelined_request_has_the_time_left_since_its_arrival(
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


async def test_a_request_that_came_while_reading_was_paused_has_the_time_left(
    ingress: Ingress, backend: PeerServer
) -> None:
    """More wait than are read ahead: the last ones stay in the socket until there is room."""
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}", timeout="2000m") for n in range(10)))
    await backend.until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    (connection,) = ingress.listener.connections
    while not connection._read_flow.paused:
        await asyncio.sleep(0.001)
    writer.write(request("late", timeout="2000m"))
    sent = time.monotonic()
    await asyncio.sleep(0.8)
    for peer in backend.peers:
        peer.transport.write(OK)
    for number in range(1, 10):  # one after another, on whichever connection it comes
        wanted = b"Request-Id: r%d\r" % number
        await backend.until(lambda wanted=wanted: any(wanted in p.data for p in backend.peers))
        next(p for p in backend.peers if wanted in p.data).transport.write(OK)
    assert await told(backend, "late") <= TIMEOUT - (time.monotonic() - sent) + SLACK
    writer.close()


async def test_a_request_from_the_accept_queue_has_the_time_left(
    ingress: Ingress, backend: PeerServer
) -> None:
    ingress.listener.pause_accepting()
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", timeout="2000m"))
    sent = time.monotonic()
    await asyncio.sleep(0.8)
    ingress.listener.resume_accepting()
    assert await told(backend, "r0") <= TIMEOUT - (time.monotonic() - sent) + SLACK
    writer.close()


async def test_a_request_whose_time_is_over_at_its_turn_is_not_forwarded(
    ingress: Ingress, backend: PeerServer
) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", timeout="2000m") + request("r1", timeout="300m"))
    await backend.until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    await asyncio.sleep(0.5)
    backend.peers[0].transport.write(OK)
    async with asyncio.timeout(5):
        await reader.readuntil(b"warm")
        assert (await reader.readuntil(b"\r\n")).split()[1] in (b"429", b"504")
    assert len(ingress.script.of(RequestArrived)) == 1
    writer.close()


async def test_a_request_from_an_inherited_accept_queue_has_the_time_left(backend: PeerServer) -> None:
    """The process before has ended, and the platform has held the socket until this one listens."""
    with socket.create_server((HOST, 0)) as held:
        _, writer = await asyncio.open_connection(*held.getsockname())
        writer.write(request("r0", timeout="2000m"))
        sent = time.monotonic()
        await asyncio.sleep(0.8)
        ingress = Ingress(Script(send_first))
        ingress.engine.update_endpoints(listing(backend.port))
        await ingress.listener.listen(HOST, 0, held.fileno())
        assert await told(backend, "r0") <= TIMEOUT - (time.monotonic() - sent) + SLACK
        ingress.stop()
        writer.close()
