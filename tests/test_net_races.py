"""Over loopback connections: what comes between two lines. Each test forces the bad order, by events."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from quota_ingress import __main__ as main_module
from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.downstream import timeouts
from quota_ingress.net.upstream.exchange import Exchange
from quota_ingress.net.upstream.pool import ConnectionPool
from quota_ingress.policy.gateway import Gateway
from tests.net_helpers import (
    HOST,
    OK,
    SETTINGS,
    Ingress,
    Peer,
    PeerServer,
    answers,
    asked,
    read_answer,
    request,
)
from tests.process_helpers import config, listens, start

# Repeats, through the real module.


@pytest_asyncio.fixture
async def two() -> AsyncIterator[tuple[Ingress, list[PeerServer]]]:
    """Two backends, named by their place; they say nothing until a test has them answer."""
    servers = [await PeerServer().start() for _ in range(2)]
    ingress = Ingress(Gateway(SETTINGS, 1))  # type: ignore[arg-type]
    await ingress.start()
    ingress.engine.update_endpoints(both(servers, "up", "up"))
    yield ingress, servers
    ingress.stop()
    for server in servers:
        server.stop()


def both(servers: list[PeerServer], *status: str) -> EndpointList:
    entries = [
        {"name": f"s-{n}", "address": f"{HOST}:{server.port}", "status": state, "zone": "hall", "type": "big"}
        for n, (server, state) in enumerate(zip(servers, status, strict=True))
    ]
    return decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": entries})


@pytest.mark.parametrize("cls", ["read", "order"])
async def test_an_attempt_chosen_before_a_drain_and_not_written_goes_elsewhere(
    two: tuple[Ingress, list[PeerServer]], monkeypatch: pytest.MonkeyPatch, cls: str
) -> None:
    """Its connection comes up right after the list; it never ran, so an unsafe one may go on, too."""
    ingress, servers = two
    chosen: list[str] = []
    up, dialling, connect = asyncio.Event(), asyncio.Event(), ConnectionPool._connect

    async def late(pool: ConnectionPool, exchange: Exchange) -> None:
        chosen.append(pool.name)
        dialling.set()
        try:
            await up.wait()
        finally:
            await connect(pool, exchange)

    monkeypatch.setattr(ConnectionPool, "_connect", late)
    answer = asyncio.create_task(ingress.ask(request("r0", cls)))
    await dialling.wait()
    leaving = int(chosen[0][-1])
    states = ["up", "up"]
    states[leaving] = "draining"
    servers[1 - leaving].heard = answers(OK)
    up.set()
    ingress.engine.update_endpoints(both(servers, *states))
    assert (await answer).endswith(b"warm")
    assert asked(servers[leaving]) == [] and len(servers[1 - leaving].peers) == 1
    assert chosen == [f"s-{leaving}", f"s-{1 - leaving}"]


async def test_a_reset_after_the_last_byte_ends_an_unsafe_request_and_repeats_a_safe_one(
    two: tuple[Ingress, list[PeerServer]], at_once: None
) -> None:
    """On connections that were kept, and die under the next request."""
    ingress, servers = two
    for server in servers:
        server.heard = answers(OK)
    for number in range(4):
        assert (await ingress.ask(request(f"k{number}"))).endswith(b"warm")
    for server in servers:
        server.heard = lambda peer: peer.transport.abort()
    answer = await ingress.ask(request("u0", "order"))
    assert answer.startswith(b"HTTP/1.1 502 ")
    assert sum(server.peers[n].data.count(b"u0") for server in servers for n in range(len(server.peers))) == 1
    first: list[Peer] = []

    def resets_once(peer: Peer) -> None:
        if first and first[0] is not peer:
            peer.transport.write(OK)
        else:
            first.append(peer)
            peer.transport.abort()

    for server in servers:
        server.heard = resets_once
    assert (await ingress.ask(request("s0", Cookie=f"customer={8:016x}"))).endswith(b"warm")


# Shutdown.


async def test_those_in_the_listeners_line_at_a_stop_are_taken_in_and_answered(
    ingress: Ingress, backend: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """They are connected, and have sent: closing the listener reset them."""
    monkeypatch.setattr(main_module, "ACCEPTS_ON", 0.0)
    backend.heard = answers(OK)
    ingress.listener.pause_accepting()
    waiting = [asyncio.create_task(ingress.ask(request(f"r{n}"))) for n in range(3)]
    for _ in range(3):  # connecting and sending take a turn of the loop each
        await asyncio.sleep(0)
    while len(asyncio.all_tasks()) < 4:
        await asyncio.sleep(0)
    await main_module._finish(ingress.engine, ingress.listener)
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
    (tmp_path / "config.json").write_text(json.dumps(config(known=known)))
    ran = start(tmp_path / "config.json")
    port = await asyncio.to_thread(listens, ran)
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


def test_a_signal_after_the_loop_has_ended_does_not_kill_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Python takes its handlers away before it ends, and what then came was a death by SIGHUP."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = [signal.getsignal(number) for number in numbers]
    (tmp_path / "config.json").write_text(json.dumps(config()))
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "config.json"))
    monkeypatch.setattr(main_module.uvloop, "run", lambda serving: serving.close())
    try:
        assert main_module.main() == 0
        assert [signal.getsignal(number) for number in numbers] == [signal.SIG_IGN] * 3
    finally:
        for number, handler in zip(numbers, before, strict=True):
            signal.signal(number, handler)
