"""A client's timeout starts when the last byte of its request arrives, even if that is read later."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from quota_ingress.net.downstream.pipeline import RequestPipeline
from quota_ingress.policy.events import RequestArrived
from tests.net_helpers import HOST, OK, Ingress, PeerServer, Script, request, send_first, single_endpoint_list
from tests.support.streaming import save

TIMEOUT = 2.0  # s, sent by each client


ALLOWED_LATE = 0.5  # s after its time an answer is lost


SLACK = 0.15  # s by which the timeout forwarded to a backend may exceed the client's time left


async def forwarded_timeout(backend: PeerServer, request_id: str) -> float:
    """Returns the Request-Timeout, in s, that the backend received with that request."""
    id_field = f"Request-Id: {request_id}\r\n".encode()
    await backend.wait_until(lambda: any(id_field in peer.data for peer in backend.peers))
    (data,) = (peer.data for peer in backend.peers if id_field in peer.data)
    head = data.partition(id_field)[2]
    return int(head.partition(b"Request-Timeout: ")[2].partition(b"m")[0]) / 1000


async def test_a_pipelined_request_is_forwarded_with_its_remaining_time(
    ingress: Ingress, backend: PeerServer
) -> None:
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", timeout="2000m") + request("r1", timeout="2000m"))
    sent_at = time.monotonic()
    await backend.wait_until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    await asyncio.sleep(1.0)
    backend.peers[0].transport.write(OK)
    assert await forwarded_timeout(backend, "r1") <= TIMEOUT - (time.monotonic() - sent_at) + SLACK
    writer.close()


async def test_a_request_that_arrived_while_reading_was_paused_is_forwarded_with_its_remaining_time(
    ingress: Ingress, backend: PeerServer
) -> None:
    """More requests wait than are read ahead, so the last ones stay in the socket until reading resumes."""
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"r{n}", timeout="2000m") for n in range(10)))
    await backend.wait_until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    (connection,) = ingress.listener.connections
    while not connection._read_flow.paused:
        await asyncio.sleep(0.001)
    writer.write(request("late", timeout="2000m"))
    sent_at = time.monotonic()
    await asyncio.sleep(0.8)
    for peer in backend.peers:
        peer.transport.write(OK)
    for number in range(1, 10):  # one after another, on whichever connection each is sent
        id_field = b"Request-Id: r%d\r" % number
        await backend.wait_until(lambda id_field=id_field: any(id_field in p.data for p in backend.peers))
        next(p for p in backend.peers if id_field in p.data).transport.write(OK)
    assert await forwarded_timeout(backend, "late") <= TIMEOUT - (time.monotonic() - sent_at) + SLACK
    writer.close()


@pytest.mark.parametrize("framing", ["Content-Length: 1200000", "Transfer-Encoding: chunked"])
async def test_a_request_whose_last_byte_is_unread_while_its_backend_hangs_is_answered_in_its_time(
    ingress: Ingress, backend: PeerServer, framing: str
) -> None:
    """Guards against a late answer: reading is paused, so the last byte waits in the socket."""
    backend.limit_receive_buffers(4096)
    backend.on_data = lambda peer: peer.transport.pause_reading()
    chunked = "chunked" in framing
    body = b"124f80\r\n%b\r\n0\r\n\r\n" if chunked else b"%b"
    data = save(framing, timeout="1000m") + body % (b"q" * 1_200_000)
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(data[:-20_000])
    await backend.wait_until(lambda: any(b"POST" in peer.data for peer in backend.peers))
    await asyncio.sleep(0.5)
    writer.write(data[-20_000:])
    async with asyncio.timeout(1.0 + ALLOWED_LATE):
        assert b" 504 " in await reader.readline()
    writer.close()


async def test_a_request_from_the_accept_queue_is_forwarded_with_its_remaining_time(
    ingress: Ingress, backend: PeerServer
) -> None:
    ingress.listener.pause_accepting()
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", timeout="2000m"))
    sent_at = time.monotonic()
    await asyncio.sleep(0.8)
    ingress.listener.resume_accepting()
    assert await forwarded_timeout(backend, "r0") <= TIMEOUT - (time.monotonic() - sent_at) + SLACK
    writer.close()


async def test_a_request_that_timed_out_in_the_pipeline_is_not_forwarded(
    ingress: Ingress, backend: PeerServer
) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", timeout="2000m") + request("r1", timeout="300m"))
    await backend.wait_until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    await asyncio.sleep(0.5)
    backend.peers[0].transport.write(OK)
    async with asyncio.timeout(5):
        await reader.readuntil(b"warm")
        assert (await reader.readuntil(b"\r\n")).split()[1] in (b"429", b"504")
    assert len(ingress.script.events_of_type(RequestArrived)) == 1
    writer.close()


async def test_a_request_from_an_inherited_accept_queue_is_forwarded_with_its_remaining_time(
    backend: PeerServer,
) -> None:
    """The previous process has ended, and the platform holds its listening socket until this one accepts."""
    with socket.create_server((HOST, 0)) as listening:
        _, writer = await asyncio.open_connection(*listening.getsockname())
        writer.write(request("r0", timeout="2000m"))
        sent_at = time.monotonic()
        await asyncio.sleep(0.8)
        ingress = Ingress(Script(send_first))
        ingress.engine.update_endpoints(single_endpoint_list(backend.port))
        await ingress.listener.listen(HOST, 0, listening.fileno())
        assert await forwarded_timeout(backend, "r0") <= TIMEOUT - (time.monotonic() - sent_at) + SLACK
        ingress.stop()
        writer.close()


@pytest.mark.parametrize("framing", ["Content-Length: 400000", "Transfer-Encoding: chunked"])
async def test_a_request_whose_body_is_read_late_is_answered_in_its_time(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch, framing: str
) -> None:
    """Guards against a late answer: no time ran while a body was read that its client had written."""
    monkeypatch.setattr(RequestPipeline, "is_drained", lambda pipeline: False)
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    body = b"61a80\r\n%b\r\n0\r\n\r\n" if "chunked" in framing else b"%b"
    data = save(framing, timeout="500m") + body % bytes(400_000)
    writer.write(data[:1000])
    async with asyncio.timeout(0.5 + ALLOWED_LATE):
        while not ingress.listener.stages.receiving_body:
            await asyncio.sleep(0.001)
        (connection,) = ingress.listener.connections
        connection._pause_reading()
        writer.write(data[1000:])
        assert b" 429 " in await reader.readline()
    assert not backend.peers
    writer.close()
