"""Draining, by operators and after a handover to another process, as clients see it."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.downstream import drain_stage
from quota_ingress.net.downstream import timeouts as timeouts_module
from quota_ingress.net.downstream.drain_stage import DrainStage
from quota_ingress.policy.events import RequestArrived
from tests.net_helpers import (
    HOST,
    OK,
    Ingress,
    Peer,
    PeerServer,
    Script,
    read_response,
    request,
    respond_with,
    send_first,
)
from tests.support.streaming import save


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


DRAINS = {
    "out of service": lambda listener: listener.set_out_of_service(True),
    "handed over": lambda listener: listener.hand_over(),
    "shutdown": lambda listener: listener.begin_shutdown(),
}


class ClientAhead:
    """A client that sends a new request for each response, so that one is always waiting."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer, self._sent = reader, writer, 0

    def send(self, count: int) -> None:
        for _ in range(count):
            self._sent += 1
            self._writer.write(request(f"a{self._sent}"))

    async def run(self) -> list[bytes]:
        """Returns all responses up to the one that announces the end of the connection."""
        responses = [await read_response(self._reader)]
        while b"Connection: close" not in responses[-1]:
            self.send(1)
            responses.append(await read_response(self._reader))
        self._writer.close()
        return responses


@pytest.mark.parametrize("drain", DRAINS)
async def test_a_client_that_always_sends_ahead_is_told_to_leave(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch, drain: str
) -> None:
    """Guards against holding it until the end, which closed connections with requests read and unanswered."""
    monkeypatch.setattr(drain_stage, "READ_AHEAD_S", 0.1)
    backend.on_data = respond_with(OK)
    client = ClientAhead(*await asyncio.open_connection(HOST, ingress.port))
    client.send(3)
    await backend.wait_until(lambda: bool(backend.peers))
    DRAINS[drain](ingress.listener)
    async with asyncio.timeout(5):
        responses = await client.run()
    assert len(responses) > 3  # those that were sent before the drain, and more while they were answered
    assert all(response.startswith(b"HTTP/1.1 200 ") for response in responses)
    assert ingress.engine.event_log.violations == 0


async def test_requests_that_still_wait_late_in_a_drain_are_rejected_and_the_connection_ends(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(drain_stage, "READ_AHEAD_S", 0.0)
    monkeypatch.setattr(drain_stage, "SERVE_AHEAD_S", 0.0)
    client = ClientAhead(*await asyncio.open_connection(HOST, ingress.port))
    client.send(3)
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    ingress.listener.set_out_of_service(True)
    backend.peers[0].transport.write(OK)
    async with asyncio.timeout(5):
        responses = await client.run()
    assert [response.split(b" ")[1] for response in responses] == [b"200", b"429", b"429"]


async def test_a_request_whose_body_is_on_its_way_in_a_drain_is_read_and_served(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that can't be completed, as its connection is read no more."""
    monkeypatch.setattr(drain_stage, "READ_AHEAD_S", 0.0)
    backend.on_data = respond_with(OK)
    ingress.listener.set_out_of_service(True)
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r1", X_Plan="tin") + save("Content-Length: 4"))
    assert (await read_response(reader)).startswith(b"HTTP/1.1 400 ")
    writer.write(b"body")
    answer = await read_response(reader)
    assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer
    writer.close()


async def test_a_connection_reads_on_when_a_drain_is_undone(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(drain_stage, "READ_AHEAD_S", 0.0)
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r1") + request("r2"))
    peer = await _peer_with(backend, b"Request-Id: r1\r\n")
    ingress.listener.set_out_of_service(True)
    peer.transport.write(OK)
    assert b"Connection: close" not in await read_response(reader)
    ingress.listener.set_out_of_service(False)
    peer = await _peer_with(backend, b"Request-Id: r2\r\n")
    backend.on_data = respond_with(OK)
    peer.data = b""
    peer.transport.write(OK)
    writer.write(request("r3"))
    for _ in range(2):
        answer = await read_response(reader)
        assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" not in answer
    writer.close()


async def _peer_with(backend: PeerServer, data: bytes) -> Peer:
    await backend.wait_until(lambda: any(data in peer.data for peer in backend.peers))
    return next(peer for peer in backend.peers if data in peer.data)


@pytest.mark.parametrize(
    ("draining_since", "accepted_at", "now", "stage"),
    [
        (1_000_000, 0, 1_400_000, DrainStage.READING),
        (1_000_000, 0, 1_500_000, DrainStage.ANSWERING),
        (1_000_000, 0, 3_500_000, DrainStage.REJECTING),
        (1_000_000, 3_000_000, 3_400_000, DrainStage.READING),  # a new connection
    ],
)
def test_stages_of_a_draining_connection(
    draining_since: int, accepted_at: int, now: int, stage: DrainStage
) -> None:
    assert drain_stage.drain_stage(draining_since, accepted_at, now) is stage
