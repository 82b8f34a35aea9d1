"""Client connections: each request is answered once and in order, also when the connection is closed."""

from __future__ import annotations

import asyncio
import gc
import os
import time
import weakref

import pytest

from quota_ingress.net.downstream import timeouts as timeouts_module
from quota_ingress.policy.actions import Action, CancelAttempt, Reject
from quota_ingress.policy.events import AttemptEnded, ClientDisconnected, Event, Outcome, RequestArrived
from tests.net_helpers import (
    HOST,
    OK,
    Ingress,
    PeerServer,
    read_response,
    read_statuses,
    request,
    respond_with,
    send_first,
)

pytestmark = pytest.mark.usefixtures("backend_answers")


async def test_a_request_is_served_and_reaches_the_policy(ingress: Ingress, backend: PeerServer) -> None:
    backend.on_data = lambda peer: None
    task = asyncio.create_task(ingress.fetch(request(X_Quota="units=1.5,spread=3,first=2", Client_Retry="1")))
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    forwarded = backend.peers[0].data
    backend.peers[0].transport.write(OK)
    answer = await task
    assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"\r\n\r\nwarm")
    assert forwarded.startswith(b"GET /read/x?y=1 HTTP/1.1\r\n") and b"\r\nRequest-Id: a1\r\n" in forwarded
    (arrived,) = ingress.script.events_of_type(RequestArrived)
    assert (arrived.units, arrived.gateway_count, arrived.first_gateway, arrived.is_retry) == (
        1.5,
        3,
        2,
        True,
    )
    assert arrived.customer == 7 and 2_900_000 < arrived.time_left <= 3_000_000
    (ended,) = ingress.script.events_of_type(AttemptEnded)
    assert ended.outcome is Outcome.OK and ended.request_ended and ended.load == (3.0,)


async def test_a_keyed_request_is_forwarded_with_its_idempotency_key(
    ingress: Ingress, backend: PeerServer
) -> None:
    backend.on_data = lambda peer: None
    body = b"\x00\r\n\r\n\xff" * 30
    data = request(cls="save", Idempotency_Key="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
    data = data.replace(b"Content-Length: 0", b"Content-Length: %d" % len(body))
    task = asyncio.create_task(ingress.fetch(data + body))
    await backend.wait_until(lambda: bool(backend.peers) and backend.peers[0].data.endswith(body))
    head, _, forwarded_body = backend.peers[0].data.partition(b"\r\n\r\n")
    backend.peers[0].transport.write(OK)
    assert (await task).endswith(b"warm")
    assert head.startswith(b"POST /save/x?y=1 HTTP/1.1\r\n") and forwarded_body == body
    fields = head.split(b"\r\n")
    assert b"Request-Id: a1" in fields and b"Idempotency-Key: 5c0f6e1a2b3d4c59a8b7c6d5e4f30211" in fields


async def test_closed_connections_do_not_wait_for_the_garbage_collector(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    gc.collect()
    gc.disable()
    try:
        writer.write(request())
        await read_response(reader)
        references = [weakref.ref(c) for c in ingress.listener.connections]
        references += [weakref.ref(c) for pool in ingress.backends._pools.values() for c in pool.idle]
        assert len(references) == 2
        writer.close()
        ingress.backends.close_idle_connections(1)
        async with asyncio.timeout(10):
            while any(ref() for ref in references):
                await asyncio.sleep(0)
    finally:
        gc.enable()


async def test_a_duplicate_request_id_is_rejected(ingress: Ingress, backend: PeerServer) -> None:
    backend.on_data = lambda peer: None
    first = asyncio.create_task(ingress.fetch(request("same")))
    await ingress.script.wait_for_events(RequestArrived)
    assert (await ingress.fetch(request("same"))).startswith(b"HTTP/1.1 409 ")
    # The close of the second connection does not count as a disconnect of the first request's client.
    assert not ingress.script.events_of_type(ClientDisconnected)
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    backend.peers[0].transport.write(OK)
    assert (await first).endswith(b"warm")
    assert (await ingress.fetch(request("same"))).startswith(b"HTTP/1.1 409 ")  # the id is still in use


async def test_pipelined_requests_are_answered_in_order(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("a1") + b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n" + request("a2"))
    bodies = [(await read_response(reader)).partition(b"\r\n\r\n")[2] for _ in range(3)]
    assert bodies == [b"warm", b"up\n", b"warm"]
    writer.close()


async def test_a_client_disconnect_cancels_the_attempt(ingress: Ingress, backend: PeerServer) -> None:
    backend.on_data = lambda peer: None
    script = ingress.script
    cancel = [CancelAttempt(1, 0)]
    script.rule = lambda event: cancel if isinstance(event, ClientDisconnected) else send_first(event)
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request())
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    writer.close()
    (ended,) = await script.wait_for_events(AttemptEnded)
    assert ended.outcome is Outcome.CANCELLED and ended.request_ended
    await backend.wait_until(lambda: len(backend.closed) == 1)


async def test_a_request_without_a_decision_fails_before_its_deadline(ingress: Ingress) -> None:
    ingress.script.rule = lambda event: []
    answer = await ingress.fetch(request(timeout="150m"))
    assert answer.startswith(b"HTTP/1.1 504 ")
    await ingress.script.wait_for_events(ClientDisconnected)


async def test_a_rejection_carries_retry_after_and_excess_requests_never_reach_the_policy(
    ingress: Ingress,
) -> None:
    ingress.script.rule = lambda event: [Reject(1, 250_000)]
    answer = await ingress.fetch(request())
    assert answer.startswith(b"HTTP/1.1 429 ") and b"Retry-After: 0.250\r\n" in answer
    ingress.engine.in_flight = 100
    assert (await ingress.fetch(request("b2"))).startswith(b"HTTP/1.1 429 ")
    assert len(ingress.script.events_of_type(RequestArrived)) == 1
    ingress.engine.in_flight = 0


async def test_a_policy_error_does_not_end_the_process(ingress: Ingress) -> None:
    def failing_rule(event: Event) -> list[Action]:
        raise RuntimeError("made up")

    ingress.script.rule = failing_rule
    assert (await ingress.fetch(request(timeout="150m"))).startswith(b"HTTP/1.1 504 ")
    ingress.script.rule = send_first
    assert (await ingress.fetch(request("b2"))).startswith(b"HTTP/1.1 200 ")


async def test_hundreds_of_pipelined_requests_are_answered_in_order(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(b"".join(request(f"p{n}") for n in range(300)))
    for _ in range(300):
        assert (await read_response(reader)).startswith(b"HTTP/1.1 200 ")
    arrived = ingress.script.events_of_type(RequestArrived)
    assert [e.request for e in arrived] == list(range(1, 301))
    writer.close()


async def test_unread_responses_are_bounded_and_then_the_connection_is_closed(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    backend.on_data = respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + b"x" * 60_000)
    monkeypatch.setattr(timeouts_module, "UNREAD_TIMEOUT_S", 1000.0)
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.transport.pause_reading()
    for n in range(300):
        writer.write(request(f"p{n}"))
    async with asyncio.timeout(10):
        while not ingress.listener.stages.write_blocked:
            await asyncio.sleep(0)
    (connection,) = ingress.listener.connections
    assert connection.transport.get_write_buffer_size() < 200_000
    assert len(ingress.script.events_of_type(RequestArrived)) < 300
    monkeypatch.setattr(timeouts_module, "UNREAD_TIMEOUT_S", 0.0)
    async with asyncio.timeout(10):
        while ingress.listener.connections:
            await asyncio.sleep(0)
    writer.close()
    del reader


async def test_above_the_descriptor_share_all_pipelined_requests_are_answered(ingress: Ingress) -> None:
    ingress.listener.descriptors.limit = 0
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0") + request("r1") + request("r2"))
    assert await read_statuses(reader, 3) == [b"503"] * 3
    assert await reader.read() == b"" and ingress.engine.event_log.violations == 0
    writer.close()


async def test_pipelined_requests_at_shutdown_are_all_answered(ingress: Ingress) -> None:
    """Guards against closing the connection with the first rejection, before the second request is parsed."""
    ingress.listener.begin_shutdown()
    ingress.engine.fail_all()
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0") + request("r1"))
    assert await read_statuses(reader, 2) == [b"429"] * 2
    assert await reader.read() == b"" and ingress.engine.event_log.violations == 0
    writer.close()


async def test_a_valid_request_behind_an_invalid_one_is_answered(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", X_Plan="tin") + request("r1"))
    assert await read_statuses(reader, 2) == [b"400", b"200"]
    writer.close()


async def test_a_request_unread_at_the_last_response_is_answered(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Guards against closing a socket that holds an unread request, which resets the connection."""
    backend.on_data = lambda peer: None
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0"))
    await backend.wait_until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    ingress.listener.begin_shutdown()
    (connection,) = ingress.listener.connections
    original_respond = connection.respond

    def respond_after_next_request(answer: object) -> None:
        os.write(writer.get_extra_info("socket").fileno(), request("r1"))
        time.sleep(0.02)  # time for the request to reach the ingress's socket
        connection.respond = original_respond  # type: ignore[method-assign]
        original_respond(answer)  # type: ignore[arg-type]

    connection.respond = respond_after_next_request  # type: ignore[method-assign, assignment]
    backend.on_data = respond_with(OK)
    backend.peers[0].transport.write(OK)
    assert await read_statuses(reader, 2) == [b"200"] * 2
    assert await reader.read() == b""
    writer.close()
