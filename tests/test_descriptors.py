"""DescriptorBudget, and a real process with a low limit on descriptors.

Idle clients open as many connections as they can while discovery is unreachable; backends, the counter,
discovery and operators must still get descriptors.
"""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from quota_ingress.net.descriptors import DescriptorBudget
from tests.net_helpers import HOST, OK, Peer, PeerServer, request, respond_with
from tests.process_helpers import (
    ROOT,
    answer_as_counter,
    config_document,
    fetch,
    listening_port,
    wait_for_line,
)

LIMIT = 256  # descriptors, the lowest limit that the platform may set
IDLE_CLIENT_COUNT = 2 * LIMIT
HEARTBEAT_S = 0.5


class Agent(PeerServer):
    """A discovery agent: sends `endpoint_list` to each watch, and heartbeats; or is silent."""

    def __init__(self, endpoint_list: dict[str, Any]) -> None:
        super().__init__(self._on_data)
        self.endpoint_list, self.silent = endpoint_list, False

    def _on_data(self, peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            call, _, peer.data = peer.data.partition(b"\r\n\r\n")
            self.watched.append(call)
            if not self.silent:
                peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.send_list(peer)

    def send_list(self, peer: Peer) -> None:
        line = json.dumps(self.endpoint_list).encode() + b"\n"
        peer.transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            for peer in self.peers:
                if not self.silent and not peer.transport.is_closing():
                    peer.transport.write(b"1\r\n\n\r\n")


async def run_idle_client(port: int) -> None:
    """Runs a client that sends nothing, and reconnects when its connection is closed."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                await reader.read()
            finally:
                writer.close()
        except OSError:
            pass
        await asyncio.sleep(0.05)


async def time_until_served(port: int, id_prefix: str, timeout_s: float) -> float:
    """Returns the seconds until a new client is served; it retries rejected and failed requests."""
    started_at = time.monotonic()
    for n in range(10_000):
        remaining_s = started_at + timeout_s - time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, remaining_s)):
                if (await fetch(port, request(f"{id_prefix}{n}"))).startswith(b"HTTP/1.1 200 "):
                    return time.monotonic() - started_at
        except (OSError, EOFError, TimeoutError):
            if remaining_s <= 0:
                break
    raise AssertionError(f"no client served within {timeout_s} s")


@pytest.mark.parametrize("discovery_fault", ["silent", "refusing"])
async def test_idle_clients_cannot_use_up_the_descriptors_of_the_other_sides(
    tmp_path: Path, discovery_fault: str
) -> None:
    first, second = [await PeerServer(respond_with(OK)).start() for _ in range(2)]
    servers_by_name = {"a": first, "b": second}

    def list_document(index: int, **status: str) -> dict[str, Any]:
        ports = {name: server.port for name, server in servers_by_name.items()}
        endpoints = [{"name": n, "address": f"{HOST}:{ports[n]}", "status": s} for n, s in status.items()]
        return {"index": index, "snapshot": True, "endpoints": endpoints}

    agent, counter = Agent(list_document(2, a="up")), await PeerServer(answer_as_counter).start()
    await agent.start()
    document = config_document(
        discovery=f"{HOST}:{agent.port}",
        counter=f"{HOST}:{counter.port}",
        admin=f"{HOST}:0",
        limits={"sockets": LIMIT},
        known=list_document(1, a="up"),
    )
    (tmp_path / "config.json").write_text(json.dumps(document))
    process = subprocess.Popen(
        [sys.executable, "-m", "quota_ingress"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (LIMIT, LIMIT)),
    )
    admin_line = await asyncio.to_thread(wait_for_line, process.stderr, process)
    admin = int(admin_line.rpartition(":")[2])
    port = await asyncio.to_thread(listening_port, process)
    tasks = [asyncio.create_task(agent.send_heartbeats())]
    try:
        await time_until_served(port, "before", 10)
        agent.silent = True
        if discovery_fault == "refusing":
            agent._server.close()
            for peer in agent.peers:
                peer.transport.abort()
        process.send_signal(signal.SIGSTOP)  # so that all clients arrive in one iteration of its event loop
        tasks += [asyncio.create_task(run_idle_client(port)) for _ in range(IDLE_CLIENT_COUNT)]
        await asyncio.sleep(0.5)
        process.send_signal(signal.SIGCONT)
        await asyncio.sleep(4)  # past the watch's heartbeat timeout; closed clients have reconnected
        for peer in counter.peers:
            peer.transport.abort()
        counter_connections, open_descriptors = len(counter.peers), len(os.listdir(f"/proc/{process.pid}/fd"))
        await counter.wait_until(lambda: len(counter.peers) > counter_connections)
        ready = f"GET /control/ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        assert (await fetch(admin, ready)).startswith(b"HTTP/1.1 200 ")
        agent.endpoint_list, agent.silent = list_document(3, a="draining", b="up"), False
        if discovery_fault == "refusing":
            loop = asyncio.get_running_loop()
            agent._server = await loop.create_server(lambda: Peer(agent), HOST, agent.port)
        elapsed_s = await time_until_served(port, "after", 6.0) if not second.peers else 0.0
        while not second.peers:  # time to connect to the backend in the new list
            elapsed_s += await time_until_served(port, f"again{elapsed_s}"[:12], 6.0 - elapsed_s)
        assert elapsed_s < 6.0
        assert (await fetch(admin, ready)).startswith(b"HTTP/1.1 200 ")
        assert open_descriptors < LIMIT
    finally:
        for task in tasks:
            task.cancel()
        process.send_signal(signal.SIGTERM)
        _, errors = await asyncio.to_thread(process.communicate, timeout=60)
        for server in (first, second, agent, counter):
            server.stop()
    assert process.returncode == 0 and "Traceback" not in errors and "Too many open files" not in errors


def test_two_processes_together_use_at_most_the_descriptors_of_one() -> None:
    alone, shared = DescriptorBudget(384, 12), DescriptorBudget(384, 12)
    shared.set_shared(True)
    assert 2 * (shared.clients.limit + shared.backends.limit) < alone.clients.limit + alone.backends.limit
    shared.set_shared(False)
    assert (shared.clients.limit, shared.backends.limit) == (alone.clients.limit, alone.backends.limit)
