"""The start of a backend on this process's clock, whatever its wall clock says; and the clock itself."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path

import pytest

from fleetlab.faults import Faults, build
from tests.net_helpers import HOST, OK, Peer, PeerServer, request
from tests.test_net_main import ask, config, listens, start


@pytest.mark.parametrize("off", [0, 3600, -3600])
async def test_a_fresh_process_with_a_wrong_clock_does_not_push_a_cold_backend_over(
    tmp_path: Path, off: int
) -> None:
    """A real process whose wall clock is off from its start on; one of four backends has just started."""
    ports: list[int] = []

    def heard(peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            peer.data = peer.data.partition(b"\r\n\r\n")[2]
            ports.append(peer.server.port)
            peer.transport.write(OK)

    servers = [await PeerServer(heard).start() for _ in range(4)]
    cold = servers[0].port
    listed = [
        {"name": f"s-{n}", "address": f"{HOST}:{server.port}", "status": "up",
         "since_ms": int(time.time() * 1000) - 500 if server.port == cold else 0}
        for n, server in enumerate(servers)
    ]  # fmt: skip
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(known={"index": 1, "snapshot": True, "endpoints": listed})))
    faults = Faults(build(tmp_path), tmp_path / "faults")
    faults.shift_wall_clock(off)
    ran = start(path, **faults.environment())
    port = await asyncio.to_thread(listens, ran)
    for wave in range(40):
        customers = range(wave * 8, wave * 8 + 8)
        asked = (ask(port, request(f"r{n}", Cookie=f"customer={n:016x}")) for n in customers)
        assert {answer.split(b" ")[1] for answer in await asyncio.gather(*asked)} <= {b"200", b"429"}
    ran.kill()
    await asyncio.to_thread(ran.communicate)
    faults.close()
    for server in servers:
        server.stop()
    assert ports.count(cold) / len(ports) < 0.2  # a warm one has a quarter
