"""Graceful shutdown: accepted requests are answered in time, whatever further signals arrive."""

from __future__ import annotations

import asyncio
import json
import signal
import urllib.request
from pathlib import Path

import pytest

from quota_ingress.net.downstream import timeouts
from quota_ingress.net.lifecycle import graceful_shutdown
from tests.net_helpers import (
    HOST,
    OK,
    Ingress,
    PeerServer,
    read_response,
    read_statuses,
    received_request_ids,
    request,
    respond_with,
)
from tests.process_helpers import config_document, fetch, listening_port, start_ingress
from tests.support.streaming import MEGABYTE, IngressAndBackend


def test_a_process_without_discovery_or_counter_starts_and_ends_with_0(tmp_path: Path) -> None:
    document = config_document()
    (tmp_path / "config.json").write_text(json.dumps(document))
    process = start_ingress(tmp_path / "config.json")
    with urllib.request.urlopen(f"http://{HOST}:{listening_port(process)}/up", timeout=60) as answer:
        assert answer.status == 200
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors


async def test_sigterm_finishes_accepted_requests_and_ends_in_time(tmp_path: Path) -> None:
    """In a real process, one request is answered after SIGTERM, the backend never answers another, and a new
    connection is still served. Each client gets one final answer, and the process ends with 0."""
    server = await PeerServer().start()
    backend = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    document = config_document(known={"index": 1, "snapshot": True, "endpoints": [backend]})
    (tmp_path / "config.json").write_text(json.dumps(document))
    process = start_ingress(tmp_path / "config.json")
    port = await asyncio.to_thread(listening_port, process)
    open_requests = [asyncio.create_task(fetch(port, request(f"r{n}", "order", "4000m"))) for n in range(2)]
    await server.wait_until(lambda: sum(b"\r\n\r\n" in peer.data for peer in server.peers) == 2)
    process.send_signal(signal.SIGTERM)
    first = server.peers[0].data.partition(b"Request-Id: ")[2][:2]
    late_request = asyncio.create_task(fetch(port, request("late", "order", "4000m")))
    await server.wait_until(lambda: len(server.peers) == 3 and b"\r\n\r\n" in server.peers[2].data)
    server.peers[0].transport.write(OK)
    server.peers[2].transport.write(OK)
    answers = {f"r{n}".encode(): await a for n, a in enumerate(open_requests)} | {b"late": await late_request}
    served = {name for name, answer in answers.items() if answer.startswith(b"HTTP/1.1 200 ")}
    assert served == {first, b"late"}
    (failed,) = {name for name in answers if name not in served}
    assert answers[failed].startswith(b"HTTP/1.1 50") and not answers[failed].startswith(b"HTTP/1.1 503")
    assert all(b"Connection: close\r\n" in answer for answer in answers.values())
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors
    server.stop()


async def test_connections_in_the_accept_queue_at_shutdown_are_accepted_and_answered(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Their clients have sent requests; closing the listening socket first would reset the connections."""
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_SECONDS", 0.0)
    backend.on_data = respond_with(OK)
    ingress.listener.pause_accepting()
    waiting = [asyncio.create_task(ingress.fetch(request(f"r{n}"))) for n in range(3)]
    for _ in range(3):  # connecting and sending take one loop iteration each
        await asyncio.sleep(0)
    while len(asyncio.all_tasks()) < 4:
        await asyncio.sleep(0)
    await graceful_shutdown.finish_requests(ingress.engine, ingress.listener)
    for answer in await asyncio.gather(*waiting):
        assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close\r\n" in answer


async def test_a_request_after_all_open_ones_were_failed_is_rejected_immediately(
    ingress: Ingress, backend: PeerServer
) -> None:
    """Guards against sending it to a backend: its connection is closed before the response arrives."""
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    while not ingress.listener.connections:
        await asyncio.sleep(0)
    open_request = asyncio.create_task(ingress.fetch(request("r0")))
    await backend.wait_until(lambda: received_request_ids(backend) == [b"r0"])
    ingress.listener.begin_shutdown()
    ingress.listener.stop_listening()
    ingress.engine.fail_all()
    assert (await open_request).startswith(b"HTTP/1.1 504 ")
    writer.write(request("r1"))
    answer = await read_response(reader)
    assert answer.startswith(b"HTTP/1.1 429 ") and b"Connection: close\r\n" in answer
    assert received_request_ids(backend) == [b"r0"]
    writer.close()


async def test_close_remaining_closes_silent_connections_and_answers_incomplete_heads(
    ingress: Ingress,
) -> None:
    silent, silent_writer = await asyncio.open_connection(HOST, ingress.port)
    incomplete, incomplete_writer = await asyncio.open_connection(HOST, ingress.port)
    incomplete_writer.write(request("r0")[:20])
    while (
        sum(c.reader.in_message for c in ingress.listener.connections) < 1
        or len(ingress.listener.connections) < 2
    ):
        await asyncio.sleep(0)
    ingress.listener.begin_shutdown()
    ingress.listener.close_remaining()
    async with asyncio.timeout(timeouts.HEAD_TIMEOUT_S - 0.5):  # before the head timeout would end them
        assert await silent.read() == b""
        assert (await incomplete.read()).startswith(b"HTTP/1.1 408 ")
    silent_writer.close()
    incomplete_writer.close()


async def test_further_signals_do_not_change_a_shutdown(tmp_path: Path) -> None:
    server = await PeerServer().start()
    known = {
        "index": 1,
        "snapshot": True,
        "endpoints": [{"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}],
    }
    (tmp_path / "config.json").write_text(json.dumps(config_document(known=known)))
    process = start_ingress(tmp_path / "config.json")
    port = await asyncio.to_thread(listening_port, process)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request("r0", "order", "4000m"))
    await server.wait_until(lambda: received_request_ids(server) == [b"r0"])
    idle, idle_writer = await asyncio.open_connection(HOST, port)
    idle_writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (await read_response(idle)).startswith(b"HTTP/1.1 200 ")
    for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        process.send_signal(number)
    async with asyncio.timeout(10):
        assert await idle.read() == b""  # so the process has handled the signals
    idle_writer.close()
    server.peers[0].transport.write(OK)
    assert (await read_response(reader)).endswith(b"warm")
    writer.close()
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors
    server.stop()


@pytest.fixture
def no_grace(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets the time to finish requests end immediately."""
    for name in ("ACCEPT_SECONDS", "MAX_DEADLINE_SECONDS", "DEADLINE_MARGIN_SECONDS", "LAST_ANSWERS_SECONDS"):
        monkeypatch.setattr(graceful_shutdown, name, 0.0)


@pytest.mark.usefixtures("no_grace")
@pytest.mark.parametrize("handed_over", [False, True])
async def test_a_shutdown_waits_for_a_response_that_is_being_passed_on(
    pair: IngressAndBackend, handed_over: bool
) -> None:
    """Guards against cutting off a long response that its backend still gives, 3.55 s after SIGTERM."""
    reader, writer = await pair.connect(request("r0"))
    peer = await pair.wait_for_data()
    peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n" + MEGABYTE[:200_000])
    await reader.readuntil(b"\r\n\r\n")
    listener = pair.ingress.listener
    if handed_over:
        listener.hand_over()
    shutdown = asyncio.create_task(graceful_shutdown.finish_requests(pair.ingress.engine, listener))
    while not pair.ingress.engine.shutting_down:
        await asyncio.sleep(0)
    writer.write(request("r1"))  # the client has not been told of the end
    await asyncio.sleep(2 * graceful_shutdown.IDLE_CHECK_SECONDS)
    assert not shutdown.done()
    peer.transport.write(MEGABYTE[200_000:])
    async with asyncio.timeout(10):
        assert await reader.readexactly(len(MEGABYTE)) == MEGABYTE
        assert (await read_response(reader)).startswith(b"HTTP/1.1 429 ")
        await shutdown
    assert pair.ingress.engine.event_log.violations == 0
    writer.close()


@pytest.mark.usefixtures("no_grace")
async def test_a_shutdown_waits_for_a_client_that_still_reads_its_last_response(
    pair: IngressAndBackend,
) -> None:
    pair.server.on_data = respond_with(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (16 * len(MEGABYTE), 16 * MEGABYTE)
    )
    reader, writer = await pair.connect(request("r0"))
    writer.transport.pause_reading()
    listener = pair.ingress.listener
    async with asyncio.timeout(10):
        while not listener.stages.write_blocked:
            await asyncio.sleep(0)
    shutdown = asyncio.create_task(graceful_shutdown.finish_requests(pair.ingress.engine, listener))
    await asyncio.sleep(2 * graceful_shutdown.IDLE_CHECK_SECONDS)
    assert not shutdown.done()
    writer.transport.resume_reading()
    async with asyncio.timeout(20):
        await reader.readuntil(b"\r\n\r\n")
        for _ in range(16):
            assert await reader.readexactly(len(MEGABYTE)) == MEGABYTE
        await shutdown
    writer.close()


@pytest.mark.usefixtures("no_grace")
async def test_a_shutdown_answers_all_requests_that_were_sent_ahead(pair: IngressAndBackend) -> None:
    """Guards against closing the connection with requests that were read, and not even parsed."""
    reader, writer = await pair.connect(b"".join(request(f"a{n}") for n in range(60)))
    await pair.wait_for_data()
    await graceful_shutdown.finish_requests(pair.ingress.engine, pair.ingress.listener)
    assert await read_statuses(reader, 60) == [b"504"] + 59 * [b"429"]
    assert await reader.read() == b"" and pair.ingress.engine.event_log.violations == 0
    writer.close()
