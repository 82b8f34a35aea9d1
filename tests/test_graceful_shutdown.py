"""The end of a process: what was taken is answered, in time, whatever signals come."""

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
    answers,
    asked,
    read_answer,
    request,
)
from tests.process_helpers import config_document, fetch, listening_port, start_ingress


def test_up_without_discovery_or_counter_and_an_orderly_end(tmp_path: Path) -> None:
    made = config_document()
    (tmp_path / "config.json").write_text(json.dumps(made))
    ran = start_ingress(tmp_path / "config.json")
    with urllib.request.urlopen(f"http://{HOST}:{listening_port(ran)}/up", timeout=60) as answer:
        assert answer.status == 200
    ran.send_signal(signal.SIGTERM)
    _, errors = ran.communicate(timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors


async def test_sigterm_finishes_what_was_taken_and_ends_in_time(tmp_path: Path) -> None:
    """Through the real module: one request is answered after SIGTERM, one never is by its backend, and a new
    connection is still served; all get one final answer and the process ends with 0."""
    server = await PeerServer().start()
    backend = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    made = config_document(known={"index": 1, "snapshot": True, "endpoints": [backend]})
    (tmp_path / "config.json").write_text(json.dumps(made))
    ran = start_ingress(tmp_path / "config.json")
    port = await asyncio.to_thread(listening_port, ran)
    asks = [asyncio.create_task(fetch(port, request(f"r{n}", "order", "4000m"))) for n in range(2)]
    await server.until(lambda: sum(b"\r\n\r\n" in peer.data for peer in server.peers) == 2)
    ran.send_signal(signal.SIGTERM)
    first = server.peers[0].data.partition(b"Request-Id: ")[2][:2]
    late = asyncio.create_task(fetch(port, request("late", "order", "4000m")))
    await server.until(lambda: len(server.peers) == 3 and b"\r\n\r\n" in server.peers[2].data)
    server.peers[0].transport.write(OK)
    server.peers[2].transport.write(OK)
    answers = {f"r{n}".encode(): await a for n, a in enumerate(asks)} | {b"late": await late}
    served = {name for name, answer in answers.items() if answer.startswith(b"HTTP/1.1 200 ")}
    assert served == {first, b"late"}
    (other,) = {name for name in answers if name not in served}
    assert answers[other].startswith(b"HTTP/1.1 50") and not answers[other].startswith(b"HTTP/1.1 503")
    assert all(b"Connection: close\r\n" in answer for answer in answers.values())
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors
    server.stop()


async def test_those_in_the_listeners_line_at_a_stop_are_taken_in_and_answered(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are connected, and have sent: closing the listener reset them."""
    monkeypatch.setattr(graceful_shutdown, "ACCEPT_SECONDS", 0.0)
    backend.heard = answers(OK)
    ingress.listener.pause_accepting()
    waiting = [asyncio.create_task(ingress.ask(request(f"r{n}"))) for n in range(3)]
    for _ in range(3):  # connecting and sending take a turn of the loop each
        await asyncio.sleep(0)
    while len(asyncio.all_tasks()) < 4:
        await asyncio.sleep(0)
    await graceful_shutdown.finish_requests(ingress.engine, ingress.listener)
    for answer in await asyncio.gather(*waiting):
        assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close\r\n" in answer


async def test_a_request_that_comes_once_all_open_ones_are_given_up_is_refused_at_once(
    ingress: Ingress, backend: PeerServer
) -> None:
    """It was sent on, and then cut off with its connection."""
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    while not ingress.listener.connections:
        await asyncio.sleep(0)
    open_one = asyncio.create_task(ingress.ask(request("r0")))
    await backend.until(lambda: asked(backend) == [b"r0"])
    ingress.listener.begin_shutdown()
    ingress.listener.stop_listening()
    ingress.engine.fail_all()
    assert (await open_one).startswith(b"HTTP/1.1 504 ")
    writer.write(request("r1"))
    answer = await read_answer(reader)
    assert answer.startswith(b"HTTP/1.1 429 ") and b"Connection: close\r\n" in answer
    assert asked(backend) == [b"r0"]
    writer.close()


async def test_at_the_last_call_the_silent_are_closed_and_half_sent_heads_are_answered(
    ingress: Ingress,
) -> None:
    silent, silent_writer = await asyncio.open_connection(HOST, ingress.port)
    half, half_writer = await asyncio.open_connection(HOST, ingress.port)
    half_writer.write(request("r0")[:20])
    while (
        sum(c.reader.in_message for c in ingress.listener.connections) < 1
        or len(ingress.listener.connections) < 2
    ):
        await asyncio.sleep(0)
    ingress.listener.begin_shutdown()
    ingress.listener.close_remaining()
    async with asyncio.timeout(timeouts.HEAD_TIMEOUT_S - 0.5):  # no sweep has ended them first
        assert await silent.read() == b""
        assert (await half.read()).startswith(b"HTTP/1.1 408 ")
    silent_writer.close()
    half_writer.close()


async def test_further_signals_change_nothing_of_an_end(tmp_path: Path) -> None:
    server = await PeerServer().start()
    known = {
        "index": 1,
        "snapshot": True,
        "endpoints": [{"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}],
    }
    (tmp_path / "config.json").write_text(json.dumps(config_document(known=known)))
    ran = start_ingress(tmp_path / "config.json")
    port = await asyncio.to_thread(listening_port, ran)
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request("r0", "order", "4000m"))
    await server.until(lambda: asked(server) == [b"r0"])
    idle, idle_writer = await asyncio.open_connection(HOST, port)
    idle_writer.write(b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
    assert (await read_answer(idle)).startswith(b"HTTP/1.1 200 ")
    for number in (signal.SIGTERM, signal.SIGTERM, signal.SIGHUP, signal.SIGINT):
        ran.send_signal(number)
    async with asyncio.timeout(10):
        assert await idle.read() == b""  # they have been taken in
    idle_writer.close()
    server.peers[0].transport.write(OK)
    assert (await read_answer(reader)).endswith(b"warm")
    writer.close()
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors
    server.stop()
