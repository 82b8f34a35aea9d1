"""Draining, by operators and after a handover to another process, as clients see it."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.downstream import timeouts as timeouts_module
from quota_ingress.policy.events import RequestArrived
from tests.net_helpers import (
    HOST,
    OK,
    Ingress,
    PeerServer,
    Script,
    read_response,
    request,
    respond_with,
    send_first,
)


async def test_a_drain_fails_health_checks_closes_after_responses_and_can_be_undone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    health_check = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
    server = await PeerServer(respond_with(OK)).start()
    ingress = Ingress(Script(send_first))
    await ingress.start()
    endpoint = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    ingress.engine.update_endpoints(
        decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": [endpoint]})
    )
    idle, idle_writer = await asyncio.open_connection(HOST, ingress.port)
    idle_writer.write(health_check)
    assert (await read_response(idle)).startswith(b"HTTP/1.1 200 ")
    busy, busy_writer = await asyncio.open_connection(HOST, ingress.port)
    server.on_data = lambda peer: None
    busy_writer.write(request("r1") + request("r2"))
    await ingress.script.wait_for_events(RequestArrived)
    monkeypatch.setattr(timeouts_module, "DRAINING_IDLE_TIMEOUT_S", 0.0)
    monkeypatch.setattr(timeouts_module, "IDLE_TIMEOUT_S", 1000.0)
    ingress.listener.set_out_of_service(True)
    async with asyncio.timeout(10):
        assert await idle.read() == b""  # long before the regular idle timeout
    assert (await ingress.fetch(health_check)).startswith(b"HTTP/1.1 503 ")
    server.on_data = respond_with(OK)
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    server.on_data(server.peers[0])
    first, second = await read_response(busy), await read_response(busy)
    assert first.startswith(b"HTTP/1.1 200 ") and second.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" in second and await busy.read() == b""
    new_answer = await ingress.fetch(request("late"))  # new requests are still served
    assert new_answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in new_answer
    ingress.listener.set_out_of_service(False)
    assert (await ingress.fetch(health_check)).startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" not in await ingress.fetch(request("r3"))
    for writer in (idle_writer, busy_writer):
        writer.close()
    ingress.stop()
    server.stop()


async def test_a_process_that_has_handed_over_does_not_take_the_ingress_out_of_service() -> None:
    health_check = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
    ingress = Ingress(Script(send_first))
    await ingress.start()
    clients = [await asyncio.open_connection(HOST, ingress.port) for _ in range(3)]
    while len(ingress.listener.connections) < 3:
        await asyncio.sleep(0)
    statuses: list[bytes] = []
    listener = ingress.listener
    for enter_state in (
        listener.hand_over,
        lambda: listener.set_out_of_service(True),
        listener.begin_shutdown,
    ):
        enter_state()
        reader, writer = clients[len(statuses)]
        writer.write(health_check)
        answer = await read_response(reader)
        assert b"Connection: close" in answer
        statuses.append(answer.split(b" ")[1])
        ingress.listener.set_out_of_service(False)
        writer.close()
    assert statuses == [b"200", b"503", b"200"]
    ingress.stop()
