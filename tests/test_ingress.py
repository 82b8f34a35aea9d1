"""How soon the program as it is started takes clients in: its processor time, and what it waits for."""

from __future__ import annotations

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest

from quota_ingress.net.lifecycle.ingress import LIST_WAIT_SECONDS
from tests.net_helpers import HOST, PeerServer
from tests.process_helpers import config_document, listening_port, start_ingress

READY = 10.0  # s in which nine in ten restarted processes have to be ready
SHARE = 0.05  # of a core: what an ingress may have
RUNS = 5
MOST = 3.0  # times what its loop and its parser take to start by themselves: 1.3 to 2.0 measured
BACKENDS = 200
BARE = "import asyncio, uvloop, httptools, sys; sys.stderr.write('listening on :1\\n'); sys.stdin.read()"


def processor_time(process: int) -> float:
    """Seconds that the process has used, by its own clock: clock_getcpuclockid(3)."""
    return time.clock_gettime(~process << 3 | 2)


def to_ready(ran: subprocess.Popen[str]) -> tuple[float, float]:
    """Seconds of the processor, and by the clock."""
    began = time.monotonic()
    try:
        listening_port(ran)
        return processor_time(ran.pid), time.monotonic() - began
    finally:
        ran.kill()
        ran.communicate()


def bare() -> subprocess.Popen[str]:
    pipe = subprocess.PIPE
    return subprocess.Popen([sys.executable, "-c", BARE], stdin=pipe, stderr=pipe, text=True)


@pytest.fixture
def compiled(monkeypatch: pytest.MonkeyPatch, tmp_path_factory: pytest.TempPathFactory) -> None:
    """As `build` leaves it, though the tests may be told to write no byte code beside the source."""
    monkeypatch.delenv("PYTHONDONTWRITEBYTECODE", raising=False)
    monkeypatch.setenv("PYTHONPYCACHEPREFIX", str(tmp_path_factory.mktemp("compiled")))


async def test_a_start_with_all_else_silent_uses_and_waits_little(tmp_path: Path, compiled: None) -> None:
    """Discovery and the counter take connections and say nothing. The loop and the parser that it stands on
    are the measure of the machine; by them, a twentieth of a core is enough with the waits added."""
    agent, counter = await PeerServer().start(), await PeerServer().start()
    known = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {"name": f"s-{n}", "address": f"{HOST}:{n + 1}", "status": "up", "zone": "a", "group": 3}
            for n in range(BACKENDS)
        ],
    }
    made = config_document(known=known, discovery=f"{HOST}:{agent.port}", counter=f"{HOST}:{counter.port}")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(made))
    to_ready(start_ingress(path))  # the first one compiles
    to_ready(bare())
    found = [to_ready(start_ingress(path)) for _ in range(RUNS)]
    least = min(to_ready(bare())[0] for _ in range(RUNS))
    used, took = min(cpu for cpu, _ in found), min(wall for _, wall in found)
    waits = took - used
    assert used < MOST * least
    assert waits < LIST_WAIT_SECONDS + 0.5
    assert used / SHARE + waits < READY
    agent.stop()
    counter.stop()
