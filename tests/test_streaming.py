"""Streaming of long bodies in both directions, with back-pressure and interruptions."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.downstream.pipeline import MAX_BUFFERED_REQUEST_BYTES
from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.http import BODY_BUFFER_BYTES, Body, MemoryBudget
from quota_ingress.net.http.memory_budget import EXHAUSTED_READ_BYTES
from quota_ingress.net.http.message_reader import MESSAGE_OVERHEAD_BYTES
from quota_ingress.net.upstream import client as upstream_client
from quota_ingress.policy.actions import Action, Reject, SendAttempt
from quota_ingress.policy.events import AttemptEnded, Event, Outcome, RequestArrived, StreamStarted
from tests.net_helpers import (
    HOST,
    OK,
    Peer,
    Script,
    read_response,
    request,
    respond_with,
    send_first,
)
from tests.support.fake_network import FakeNetwork, send_on_arrival
from tests.support.streaming import MEGABYTE, IngressAndBackend, read_chunked, save


async def begin_long_response(
    pair: IngressAndBackend,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter, Peer]:
    """Returns a client that has the head of a response, of which 200,000 bytes of 1 MiB are given."""
    reader, writer = await pair.connect(request())
    peer = await pair.wait_for_data()
    peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + MEGABYTE[:200_000])
    await reader.readuntil(b"\r\n\r\n")
    return reader, writer, peer


async def test_a_long_response_is_streamed_and_the_connection_is_kept_alive(
    pair: IngressAndBackend, no_reuse_delay: None
) -> None:
    reader, writer = await pair.connect(request("a1"))
    peer = await pair.wait_for_data()
    peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + MEGABYTE[:1000])
    async with asyncio.timeout(10):
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"Content-Length: 1048576\r\n" in head
        assert await reader.readexactly(1000) == MEGABYTE[:1000]  # before the body is complete
        peer.transport.write(MEGABYTE[1000:])
        assert await reader.readexactly(1047576) == MEGABYTE[1000:]
    (started,) = pair.ingress.script.events_of_type(StreamStarted)
    (ended,) = await pair.ingress.script.wait_for_events(AttemptEnded)
    assert started.request == 1 and ended.outcome is Outcome.OK and ended.request_ended
    pair.server.on_data = respond_with(OK)
    peer.data = b""
    writer.write(request("a2"))
    assert (await read_response(reader)).endswith(b"warm")
    assert len(pair.server.peers) == 1 and pair.memory_budget.used == 0
    writer.close()


@pytest.mark.parametrize("ending", ["chunks", "close"])
async def test_a_response_of_unknown_length_is_streamed_in_chunks(
    pair: IngressAndBackend, ending: str
) -> None:
    reader, writer = await pair.connect(request())
    peer = await pair.wait_for_data()
    if ending == "chunks":
        peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for offset in range(0, len(MEGABYTE), 100_000):
            part = MEGABYTE[offset : offset + 100_000]
            peer.transport.write(b'%x;note="a;b"\r\n%b\r\n' % (len(part), part))
        peer.transport.write(b"0\r\nTrailer-Field: x\r\n\r\n")
    else:
        peer.transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + MEGABYTE)
        peer.transport.close()
    async with asyncio.timeout(10):
        assert b"Transfer-Encoding: chunked\r\n" in await reader.readuntil(b"\r\n\r\n")
        assert await read_chunked(reader) == MEGABYTE
    writer.close()


async def test_an_http_1_0_client_gets_no_chunks(pair: IngressAndBackend) -> None:
    reader, writer = await pair.connect(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    peer = await pair.wait_for_data()
    peer.transport.write(b"HTTP/1.1 200 OK\r\n\r\n" + MEGABYTE)
    peer.transport.close()
    async with asyncio.timeout(10):
        head = await reader.readuntil(b"\r\n\r\n")
        assert b"chunked" not in head and b"Connection: close" in head
        assert await reader.read() == MEGABYTE
    writer.close()


async def test_an_http_1_0_client_can_detect_a_truncated_response(pair: IngressAndBackend) -> None:
    """Guards against a truncated response that looks complete, as its end is that of the connection."""
    reader, writer = await pair.connect(request().replace(b"HTTP/1.1", b"HTTP/1.0"))
    peer = await pair.wait_for_data()
    peer.transport.write(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n493e0\r\n" + MEGABYTE[:300_000]
    )
    async with asyncio.timeout(10):
        assert b"Content-Length" not in await reader.readuntil(b"\r\n\r\n")
        peer.transport.abort()
        with pytest.raises(ConnectionResetError):
            await reader.read()
    writer.close()


@pytest.mark.parametrize("framing", [b"Content-Length: 1048576", b"Transfer-Encoding: chunked"])
async def test_clients_can_detect_a_truncated_response(pair: IngressAndBackend, framing: bytes) -> None:
    reader, writer = await pair.connect(request())
    peer = await pair.wait_for_data()
    part = MEGABYTE[:300_000]
    data = part if b"Length" in framing else b"%x\r\n%b\r\n" % (len(part), part)
    peer.transport.write(b"HTTP/1.1 200 OK\r\n%b\r\n\r\n%b" % (framing, data))
    async with asyncio.timeout(10):
        await reader.readuntil(b"\r\n\r\n")
        peer.transport.abort()
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError, ValueError)):
            await (read_chunked(reader) if b"chunked" in framing else reader.readexactly(1048576))
    (ended,) = await pair.ingress.script.wait_for_events(AttemptEnded)
    assert ended.outcome is Outcome.RESET and pair.memory_budget.used == 0
    writer.close()


async def test_a_client_that_does_not_read_causes_back_pressure_on_the_backend(
    pair: IngressAndBackend,
) -> None:
    reader, writer = await pair.connect(request())
    writer.transport.pause_reading()
    peer = await pair.wait_for_data()
    peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (16 * len(MEGABYTE)))
    for _ in range(16):
        peer.transport.write(MEGABYTE)
    async with asyncio.timeout(10):
        while not pair.ingress.listener.stages.write_blocked:
            await asyncio.sleep(0)
        for _ in range(200):
            await asyncio.sleep(0)
    assert pair.memory_budget.used < 8 * BODY_BUFFER_BYTES
    assert peer.transport.get_write_buffer_size() > 4 * len(MEGABYTE)  # back-pressure reaches the backend
    writer.transport.resume_reading()
    async with asyncio.timeout(20):
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(16):
            assert await reader.readexactly(len(MEGABYTE)) == MEGABYTE
    assert pair.memory_budget.used == 0
    writer.close()


async def test_a_disconnect_during_a_response_ends_the_attempt(pair: IngressAndBackend) -> None:
    _, writer, _ = await begin_long_response(pair)
    writer.transport.abort()
    (ended,) = await pair.ingress.script.wait_for_events(AttemptEnded)
    assert ended.outcome is Outcome.CANCELLED
    await pair.server.wait_until(lambda: len(pair.server.closed) == 1)
    assert pair.memory_budget.used == 0 and not pair.ingress.engine._requests


@pytest.mark.parametrize("chunked", [False, True])
async def test_a_long_body_is_streamed_at_the_pace_of_the_backend(
    pair: IngressAndBackend, chunked: bool
) -> None:
    body = MEGABYTE * 8
    framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(body)}"
    reader, writer = await pair.connect(save(framing))

    def pause_reading(peer: Peer) -> None:
        peer.transport.pause_reading()

    pair.server.on_data = pause_reading
    for offset in range(0, len(body), 200_000):
        part = body[offset : offset + 200_000]
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
    writer.write(b"0\r\n\r\n" if chunked else b"")
    peer = await pair.wait_for_data()
    async with asyncio.timeout(10):
        for _ in range(300):
            await asyncio.sleep(0)
    assert (
        pair.memory_budget.used < MAX_BUFFERED_REQUEST_BYTES + 8 * BODY_BUFFER_BYTES
        and len(peer.data) < len(body) // 2
    )
    pair.server.on_data = lambda peer: None
    peer.transport.resume_reading()
    final_bytes = b"\r\n0\r\n\r\n" if chunked else body[-1000:]
    async with asyncio.timeout(20):
        await pair.server.wait_until(lambda: peer.data.endswith(final_bytes) and len(peer.data) > len(body))
    peer.transport.write(OK)
    assert (await read_response(reader)).endswith(b"warm")
    head, _, forwarded_body = peer.data.partition(b"\r\n\r\n")
    assert (b"Transfer-Encoding: chunked" if chunked else b"Content-Length: %d" % len(body)) in head
    if chunked:
        chunked_reader = asyncio.StreamReader(limit=len(forwarded_body))
        chunked_reader.feed_data(forwarded_body)
        forwarded_body = await read_chunked(chunked_reader)
    assert forwarded_body == body and pair.memory_budget.used == 0
    assert len(pair.ingress.script.events_of_type(RequestArrived)) == 1
    writer.close()


async def test_a_buffered_body_is_sent_again_on_another_connection(pair: IngressAndBackend) -> None:
    body, script = MEGABYTE[: 4 * BODY_BUFFER_BYTES], pair.ingress.script

    def retry_after_reset(event: Event) -> list[Action]:
        is_reset = isinstance(event, AttemptEnded) and event.outcome is Outcome.RESET
        return [SendAttempt(1, 1, 0)] if is_reset else send_first(event)

    def respond_or_reset(peer: Peer) -> None:
        if peer.data.endswith(body):
            peer.transport.write(OK) if len(pair.server.peers) == 2 else peer.transport.abort()

    script.rule, pair.server.on_data = retry_after_reset, respond_or_reset
    reader, writer = await pair.connect(save(f"Content-Length: {len(body)}") + body)
    assert (await read_response(reader)).endswith(b"warm")
    assert all(peer.data.endswith(b"\r\n\r\n" + body) for peer in pair.server.peers)
    writer.close()


async def test_a_partly_discarded_body_is_not_sent_again(pair: IngressAndBackend) -> None:
    def retry_until_not_sent(event: Event) -> list[Action]:
        if isinstance(event, AttemptEnded) and event.outcome is Outcome.NOT_SENT:
            return [Reject(1, 250_000)]
        return [SendAttempt(1, 1, 0)] if isinstance(event, AttemptEnded) else send_first(event)

    pair.ingress.script.rule = retry_until_not_sent
    pair.server.on_data = lambda peer: (
        peer.transport.abort() if len(peer.data) > MAX_BUFFERED_REQUEST_BYTES else None
    )
    reader, writer = await pair.connect(save(f"Content-Length: {8 * len(MEGABYTE)}"))
    writer.write(MEGABYTE * 2)
    answer = await read_response(reader)  # before the whole body has been received
    assert answer.startswith(b"HTTP/1.1 429 ") and b"Connection: close" in answer
    outcomes = [e.outcome for e in pair.ingress.script.events_of_type(AttemptEnded)]
    assert outcomes == [Outcome.CONNECT_FAILED, Outcome.NOT_SENT]
    writer.write(MEGABYTE)  # discarded, so that no reset loses the response
    async with asyncio.timeout(10):
        assert await reader.read() == b"" and pair.memory_budget.used == 0
    writer.close()


async def test_a_body_is_rejected_while_no_memory_is_left_and_a_request_without_one_is_not(
    pair: IngressAndBackend,
) -> None:
    """Guards against passing the memory limit: what more bodies would need is refused, short ones, too."""
    pair.server.on_data = respond_with(OK)
    budget = pair.memory_budget
    taken = 1_000_000_000
    budget.used += taken
    reader, writer = await pair.connect(save(f"Content-Length: {len(MEGABYTE)}") + MEGABYTE)
    answer = await read_response(reader)
    assert answer.startswith(b"HTTP/1.1 503 ") and b"Retry-After: 0.500" in answer
    half_reader, half_writer = await pair.connect(save("Content-Length: 4", Request_Id="a3") + b"bo")
    assert (await read_response(half_reader)).startswith(b"HTTP/1.1 503 ")
    other_reader, other_writer = await pair.connect(request("a2"))
    assert (await read_response(other_reader)).endswith(b"warm")
    budget.used -= taken
    for each in (writer, half_writer, other_writer):
        each.close()


async def test_a_full_write_buffer_counts_as_memory_until_the_peer_reads(pair: IngressAndBackend) -> None:
    reader, writer = await pair.connect(request())
    writer.transport.pause_reading()
    peer = await pair.wait_for_data()
    peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (8 * len(MEGABYTE)))
    peer.transport.write(8 * MEGABYTE)
    stages = pair.ingress.listener.stages
    async with asyncio.timeout(10):
        while not stages.write_blocked:
            await asyncio.sleep(0)
    (connection,) = pair.ingress.listener.connections
    unsent = connection.transport.get_write_buffer_size()
    assert (
        pair.memory_budget.used - MESSAGE_OVERHEAD_BYTES >= unsent > 0
    )  # the budget of the client's side alone
    writer.transport.resume_reading()
    async with asyncio.timeout(20):
        await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(8 * len(MEGABYTE))
    assert pair.memory_budget.used == 0
    writer.close()


def test_the_timeout_of_a_request_starts_at_its_last_byte() -> None:
    network = FakeNetwork(Script(send_on_arrival(timeout=300_000)))
    body = Body(MemoryBudget())
    body.declared_length = 1_000_000
    parsed = ParsedRequest(b"a", 2, 0, 7, 1.0, 1, 0, 800_000, 0, False, b"POST / HTTP/1.1\r\n", body)
    assert network.engine.on_request(parsed, network)
    network.pass_time(30_000_000)  # a slow client: neither its timeout nor the attempt's is running
    assert not network.responses and not network.sent[0].aborted
    body.complete = True
    network.engine.on_body_complete(b"a", network.time)
    network.pass_time(299_000)
    assert not network.sent[0].aborted
    network.pass_time(2_000)
    assert network.sent[0].aborted
    (ended,) = network.script.events_of_type(AttemptEnded)
    assert ended.outcome is Outcome.TIMEOUT and ended.latency == 300_000


@pytest.mark.parametrize("is_snapshot", [False, True])
async def test_a_response_that_stalls_after_its_backend_was_removed_is_ended(
    pair: IngressAndBackend, monkeypatch: pytest.MonkeyPatch, is_snapshot: bool
) -> None:
    """Guards against a client that waits forever: connections to removed backends were not swept."""
    reader, writer, _ = await begin_long_response(pair)
    removed = {"name": "s-1", "address": f"{HOST}:{pair.server.port}", "status": "removed"}
    entries = [] if is_snapshot else [removed]
    pair.ingress.engine.update_endpoints(
        decode_endpoint_list({"index": 2, "snapshot": is_snapshot, "endpoints": entries})
    )
    backends = pair.ingress.backends
    backends._sweep()
    assert await reader.readexactly(200_000) == MEGABYTE[:200_000]  # it may still give the rest
    assert not reader.at_eof()
    monkeypatch.setattr(upstream_client, "STALL_TIMEOUT_S", -1.0)
    backends._sweep()
    async with asyncio.timeout(10):
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
    (ended,) = await pair.ingress.script.wait_for_events(AttemptEnded)
    assert ended.outcome is Outcome.RESET
    assert pair.ingress.sockets.backends.in_use == 0 and not backends._dropped_pools
    writer.close()


@pytest.mark.parametrize("exhausted", [False, True])
async def test_bodies_that_wait_in_a_pipeline_are_bounded_and_all_served(
    pair: IngressAndBackend, exhausted: bool
) -> None:
    """Guards against bodies read ahead of their turn: each connection held up to 640 KiB of them."""
    budget = pair.memory_budget
    others = budget.capacity if exhausted else 0
    budget.used += others
    body = MEGABYTE[:BODY_BUFFER_BYTES]
    head = save(f"Content-Length: {len(body)}")
    reader, writer = await pair.connect(
        b"".join(head.replace(b": a1", b": b%d" % n) + body for n in range(8))
    )
    peer = await pair.wait_for_data(body)
    for _ in range(200):
        await asyncio.sleep(0)
    ahead_bytes = budget.used - others - len(body)
    overhead_bytes = 4 * MESSAGE_OVERHEAD_BYTES  # the current request and a few that wait, with their heads
    assert ahead_bytes <= (EXHAUSTED_READ_BYTES if exhausted else 2 * BODY_BUFFER_BYTES) + overhead_bytes
    pair.server.on_data = lambda peer: peer.transport.write(OK) if peer.data.endswith(body) else None
    peer.transport.write(OK)
    for _ in range(8):
        assert (await read_response(reader)).endswith(b"warm")
    assert budget.used == others
    writer.close()


async def test_a_listed_backend_may_pause_in_a_response_for_longer_than_a_removed_one(
    pair: IngressAndBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against cutting off a response whose backend still writes it, with pauses of over 5 s."""
    monkeypatch.setattr(upstream_client, "STALL_TIMEOUT_S", -1.0)
    reader, writer, peer = await begin_long_response(pair)
    pair.ingress.backends._sweep()
    peer.transport.write(MEGABYTE[200_000:])
    async with asyncio.timeout(10):
        assert await reader.readexactly(len(MEGABYTE)) == MEGABYTE
    writer.close()


async def test_a_response_of_a_listed_backend_that_stalls_is_ended(
    pair: IngressAndBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(upstream_client, "RESPONSE_STALL_TIMEOUT_S", -1.0)
    reader, writer, _ = await begin_long_response(pair)
    pair.ingress.backends._sweep()
    async with asyncio.timeout(10):
        with contextlib.suppress(ConnectionError):
            assert len(await reader.read()) < len(MEGABYTE)
    (ended,) = await pair.ingress.script.wait_for_events(AttemptEnded)
    assert ended.outcome is Outcome.RESET and not pair.ingress.listener.connections
    writer.close()
