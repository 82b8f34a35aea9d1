"""Reload of the configuration file after SIGHUP, in real processes."""

from __future__ import annotations

import asyncio
import json
import signal
from pathlib import Path

from tests.net_helpers import HOST, OK, PeerServer, request, respond_with
from tests.process_helpers import (
    answer_as_counter,
    answer_as_discovery,
    config_document,
    fetch,
    listening_port,
    start_ingress,
    stop_orderly,
    wait_for_line,
)


async def test_a_configuration_file_that_is_missing_for_a_moment_is_read_again(tmp_path: Path) -> None:
    """Guards against a single read attempt: without a second SIGHUP, the process kept the old discovery."""
    agents = [await PeerServer(answer_as_discovery(5)).start() for _ in range(2)]
    files = [json.dumps(config_document(discovery=f"{HOST}:{agent.port}")) for agent in agents]
    path = tmp_path / "config.json"
    path.write_text(files[0])
    process = start_ingress(path)
    await asyncio.to_thread(listening_port, process)
    path.unlink()
    process.send_signal(signal.SIGHUP)
    await asyncio.sleep(0.4)
    path.write_text(files[1])
    await agents[1].wait_until(lambda: bool(agents[1].watched))
    await stop_orderly(process)
    for agent in agents:
        agent.stop()


async def test_sighup_changes_discovery_and_counter_and_a_bad_file_changes_nothing(tmp_path: Path) -> None:
    servers = [await PeerServer(respond_with(OK)).start() for _ in range(2)]
    addresses = [f"{HOST}:{server.port}" for server in servers]
    listed = [{"name": a, "address": a, "status": "up"} for a in addresses]
    agents = [
        await PeerServer(answer_as_discovery(5 - 3 * n, entry)).start() for n, entry in enumerate(listed)
    ]
    counters = [await PeerServer(answer_as_counter).start() for _ in range(2)]
    files = [
        json.dumps(config_document(discovery=f"{HOST}:{a.port}", counter=f"{HOST}:{c.port}"))
        for a, c in zip(agents, counters, strict=True)
    ]
    path = tmp_path / "config.json"
    path.write_text(files[0])
    process = start_ingress(path, EDGE_DISCOVERY=f"{HOST}:{agents[0].port}")
    port = await asyncio.to_thread(listening_port, process)
    await agents[0].wait_until(lambda: bool(agents[0].watched))
    while not (await fetch(port, request("a1"))).startswith(b"HTTP/1.1 200 "):
        pass  # wait until the first answers of the counter and discovery have arrived
    assert servers[0].peers and not servers[1].peers
    path.write_text(files[1])
    process.send_signal(signal.SIGHUP)
    process.send_signal(signal.SIGHUP)
    await agents[1].wait_until(lambda: agents[1].watched == [b"GET /discovery/hosts?watch=1&from=2"])
    await agents[0].wait_until(lambda: len(agents[0].closed) == len(agents[0].peers))
    await counters[0].wait_until(lambda: len(counters[0].closed) == len(counters[0].peers))
    assert (await fetch(port, request("b1", Cookie=f"customer={8:016x}"))).startswith(b"HTTP/1.1 200 ")
    assert servers[1].peers and counters[1].added and agents[0].watched
    path.write_text("{")
    process.send_signal(signal.SIGHUP)
    assert "not reloaded" in await asyncio.to_thread(wait_for_line, process.stderr, process)
    assert (await fetch(port, request("c1", Cookie=f"customer={9:016x}"))).startswith(b"HTTP/1.1 200 ")
    process.send_signal(signal.SIGTERM)
    process.send_signal(signal.SIGHUP)
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors
    for peer_server in (*servers, *agents, *counters):
        peer_server.stop()
