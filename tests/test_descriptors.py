"""The descriptors' budget, and the program with few of them.

Idle clients take all they can get while discovery is away, and each side that is needed keeps its own.
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
from tests.net_helpers import HOST, OK, Peer, PeerServer, answers, request
from tests.process_helpers import ROOT, answer_as_counter, config_document, fetch, listening_port

LIMIT = 256  # descriptors, the least that the terms allow
CROWD = 2 * LIMIT
BEAT = 0.5  # s


class Agent(PeerServer):
    """Tells `index` and `status` of the backends to each watch that asks, and beats; or is silent."""

    def __init__(self, told: dict[str, Any]) -> None:
        super().__init__(self._asked)
        self.told, self.silent = told, False

    def _asked(self, peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            call, _, peer.data = peer.data.partition(b"\r\n\r\n")
            self.watched.append(call)
            if not self.silent:
                peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.tell(peer)

    def tell(self, peer: Peer) -> None:
        line = json.dumps(self.told).encode() + b"\n"
        peer.transport.write(b"%x\r\n%b\r\n" % (len(line), line))

    async def beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            for peer in self.peers:
                if not self.silent and not peer.transport.is_closing():
                    peer.transport.write(b"1\r\n\n\r\n")


async def idle(port: int) -> None:
    """A client that says nothing, and comes again when it is sent away."""
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


async def served(port: int, ids: str, within: float) -> float:
    """Seconds until a new client is served, refused and shut out ones trying again."""
    began = time.monotonic()
    for n in range(10_000):
        left = began + within - time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, left)):
                if (await fetch(port, request(f"{ids}{n}"))).startswith(b"HTTP/1.1 200 "):
                    return time.monotonic() - began
        except (OSError, EOFError, TimeoutError):
            if left <= 0:
                break
    raise AssertionError(f"no client served within {within} s")


@pytest.mark.parametrize("away", ["silent", "refusing"])
async def test_idle_clients_that_fill_the_descriptors_leave_each_side_its_own(
    tmp_path: Path, away: str
) -> None:
    first, second = [await PeerServer(answers(OK)).start() for _ in range(2)]
    names = {"a": first, "b": second}

    def told(index: int, **status: str) -> dict[str, Any]:
        ports = {name: server.port for name, server in names.items()}
        endpoints = [{"name": n, "address": f"{HOST}:{ports[n]}", "status": s} for n, s in status.items()]
        return {"index": index, "snapshot": True, "endpoints": endpoints}

    agent, counter = Agent(told(2, a="up")), await PeerServer(answer_as_counter).start()
    await agent.start()
    made = config_document(
        discovery=f"{HOST}:{agent.port}",
        counter=f"{HOST}:{counter.port}",
        admin=f"{HOST}:0",
        limits={"sockets": LIMIT},
        known=told(1, a="up"),
    )
    (tmp_path / "config.json").write_text(json.dumps(made))
    ran = subprocess.Popen(
        [sys.executable, "-m", "quota_ingress"],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
        env=os.environ | {"EDGE_CONFIG": str(tmp_path / "config.json")},
        preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (LIMIT, LIMIT)),
    )
    assert ran.stderr
    admin = int((await asyncio.to_thread(ran.stderr.readline)).rpartition(":")[2])
    port = await asyncio.to_thread(listening_port, ran)
    tasks = [asyncio.create_task(agent.beat())]
    try:
        await served(port, "before", 10)
        agent.silent = True
        if away == "refusing":
            agent._server.close()
            for peer in agent.peers:
                peer.transport.abort()
        ran.send_signal(signal.SIGSTOP)  # so that they all come in one turn of its loop
        tasks += [asyncio.create_task(idle(port)) for _ in range(CROWD)]
        await asyncio.sleep(0.5)
        ran.send_signal(signal.SIGCONT)
        await asyncio.sleep(4)  # past the silence of the watch, and the first that were sent away are back
        for peer in counter.peers:
            peer.transport.abort()
        held, most = len(counter.peers), len(os.listdir(f"/proc/{ran.pid}/fd"))
        await counter.until(lambda: len(counter.peers) > held)
        ready = f"GET /control/ready HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
        assert (await fetch(admin, ready)).startswith(b"HTTP/1.1 200 ")
        agent.told, agent.silent = told(3, a="draining", b="up"), False
        if away == "refusing":
            loop = asyncio.get_running_loop()
            agent._server = await loop.create_server(lambda: Peer(agent), HOST, agent.port)
        took = await served(port, "after", 6.0) if not second.peers else 0.0
        while not second.peers:  # the backend that was told at discovery's return is dialled
            took += await served(port, f"again{took}"[:12], 6.0 - took)
        assert took < 6.0
        assert (await fetch(admin, ready)).startswith(b"HTTP/1.1 200 ")
        assert most < LIMIT
    finally:
        for task in tasks:
            task.cancel()
        ran.send_signal(signal.SIGTERM)
        _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
        for server in (first, second, agent, counter):
            server.stop()
    assert ran.returncode == 0 and "Traceback" not in errors and "Too many open files" not in errors


def test_two_processes_hold_no_more_descriptors_than_one() -> None:
    alone, one = DescriptorBudget(384, 12), DescriptorBudget(384, 12)
    one.set_shared(True)
    assert 2 * (one.clients.limit + one.backends.limit) < alone.clients.limit + alone.backends.limit
    one.set_shared(False)
    assert (one.clients.limit, one.backends.limit) == (alone.clients.limit, alone.backends.limit)
