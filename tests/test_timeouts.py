"""Timeouts of client connections for heads, bodies and the next request."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quota_ingress.net.downstream import timeouts as timeouts_module
from quota_ingress.net.downstream.connection import ClientConnection
from quota_ingress.net.downstream.stages import ConnectionStages
from quota_ingress.net.downstream.timeouts import UNREAD_TIMEOUT_S, US_PER_S, unread_timeout_us
from quota_ingress.net.http import MemoryBudget
from quota_ingress.policy.events import (
    AttemptEnded,
    Outcome,
    RequestArrived,
)
from tests.net_helpers import (
    HOST,
    Ingress,
    read_response,
    request,
)
from tests.support.streaming import MEGABYTE, IngressAndBackend, save


@pytest.mark.parametrize("start", [b"", b"GET /read HT", request("x", "order")[:-4]])
@pytest.mark.usefixtures("backend_answers")
async def test_an_incomplete_request_times_out_with_408(
    ingress: Ingress, monkeypatch: pytest.MonkeyPatch, start: bytes
) -> None:
    monkeypatch.setattr(timeouts_module, "HEAD_TIMEOUT_S", 0.0)
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(start)
    answer = await read_response(reader)
    assert answer.startswith(b"HTTP/1.1 408 ") and b"Connection: close\r\n" in answer
    async with asyncio.timeout(10):
        assert await reader.read() == b""
    writer.close()


@pytest.mark.usefixtures("backend_answers")
async def test_a_later_request_has_its_own_timeout_and_idle_connections_expire(
    ingress: Ingress, monkeypatch: pytest.MonkeyPatch
) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("first"))
    await read_response(reader)
    monkeypatch.setattr(timeouts_module, "HEAD_TIMEOUT_S", 0.0)
    ingress.listener._sweep()
    assert len(ingress.listener.stages.idle) == 1  # no request has begun
    writer.write(request("second")[:9])
    assert (await read_response(reader)).startswith(b"HTTP/1.1 408 ")
    other, other_writer = await asyncio.open_connection(HOST, ingress.port)
    monkeypatch.setattr(timeouts_module, "HEAD_TIMEOUT_S", 60.0)
    other_writer.write(request("third"))
    await read_response(other)
    monkeypatch.setattr(timeouts_module, "IDLE_TIMEOUT_S", 0.0)
    async with asyncio.timeout(10):
        assert await other.read() == b""
    writer.close()
    other_writer.close()


@pytest.mark.usefixtures("backend_answers")
async def test_the_sweep_survives_connections_that_are_being_closed(ingress: Ingress) -> None:
    """Guards against querying closed descriptors: they are closed before the loop reports the end."""
    clients = [await asyncio.open_connection(HOST, ingress.port) for _ in range(2)]
    clients[0][1].write(request("x")[:20])
    while len(ingress.listener.connections) < 2 or not any(
        c.reader.in_message for c in ingress.listener.connections
    ):
        await asyncio.sleep(0)
    listener = ingress.listener
    for connection in listener.connections:
        connection._last_data_at = 0
        connection.pause_writing()
        connection.transport.abort()
    listener._sweep()
    assert not listener._evict() and listener._sweep_timer and listener._sweep_timer.when() > 0
    for _, writer in clients:
        writer.close()


async def test_a_body_that_stalls_times_out_and_its_attempt_is_cancelled(
    pair: IngressAndBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    reader, writer = await pair.connect(save(f"Content-Length: {4 * len(MEGABYTE)}"))
    writer.write(MEGABYTE + MEGABYTE)
    await pair.ingress.script.wait_for_events(RequestArrived)
    await pair.wait_for_data(MEGABYTE)
    monkeypatch.setattr(timeouts_module, "HEAD_TIMEOUT_S", -1000.0)
    pair.ingress.listener._sweep()
    answer = await read_response(reader)
    assert answer.startswith(b"HTTP/1.1 408 ") and b"Connection: close" in answer
    assert [e.outcome for e in pair.ingress.script.events_of_type(AttemptEnded)] == [Outcome.CANCELLED]
    await pair.server.wait_until(lambda: len(pair.server.closed) == 1)
    assert pair.memory_budget.used == 0
    writer.close()


def test_the_timeout_of_a_body_grows_with_its_progress() -> None:
    class StubHost:
        memory_budget = MemoryBudget()
        engine = None
        stages = ConnectionStages()

    connection = ClientConnection(StubHost())  # type: ignore[arg-type]
    connection._pipeline.current, body = connection.reader.message, connection.reader.message.body
    body.append(b"x" * 160_000)  # extends the timeout by 5 s, beyond 2.5 s for the head
    connection._last_data_at = 7_000_000
    assert not connection.is_too_slow(7_400_000) and connection.is_too_slow(7_600_000)
    body.append(b"x" * 10_000_000)  # received fast, then stalled
    assert not connection.is_too_slow(8_900_000) and connection.is_too_slow(9_100_000)
    connection._read_flow.paused = True  # a pause by this side does not count
    assert not connection.is_too_slow(60_000_000)


async def test_a_client_that_reads_slowly_with_a_large_buffer_gets_the_whole_response(
    pair: IngressAndBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cutting off a steady reader, whose kernel acknowledges in steps.

    The client reads at four times the lowest rate, and the timeouts are a quarter of the usual ones.
    """
    monkeypatch.setattr(timeouts_module, "UNREAD_TIMEOUT_S", 1.0)
    monkeypatch.setattr(timeouts_module, "MIN_READ_BYTES_PER_S", 256_000)
    loop = asyncio.get_running_loop()
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 256 * 1024)
    client.setblocking(False)
    await loop.sock_connect(client, (HOST, pair.ingress.port))
    await loop.sock_sendall(client, request())
    peer = await pair.wait_for_data()
    peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (2 * len(MEGABYTE)))
    peer.transport.write(2 * MEGABYTE)
    began_at, received = loop.time(), 0
    while received < 2 * len(MEGABYTE):
        part = await loop.sock_recv(client, 25_600)
        assert part, f"cut off after {received} bytes"
        received += len(part)
        await asyncio.sleep(max(0.0, began_at + received / 256_000 - loop.time()))
    client.close()


def test_the_unread_timeout_depends_on_the_window_and_the_rate() -> None:
    usual = int(US_PER_S * UNREAD_TIMEOUT_S)
    assert unread_timeout_us(60_000, US_PER_S, window=64_000) == usual
    assert unread_timeout_us(0, US_PER_S, window=640_000) == 20 * US_PER_S
    assert (
        unread_timeout_us(10_000_000, US_PER_S, window=6_000_000) == usual
    )  # a fast client that has stopped
