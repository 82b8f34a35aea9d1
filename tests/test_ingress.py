"""The time until a started ingress accepts clients: CPU time and waits."""

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

MAX_START_S = 10.0  # in which nine in ten restarted processes have to be ready
CORE_FRACTION = 0.05  # fraction of one core that an ingress may use
RUNS = 5
MAX_CPU_RATIO = 3.0  # to the start of only its event loop and parser; runs gave 1.3 to 2.0
BACKENDS = 200
BASELINE_PROGRAM = (
    "import asyncio, uvloop, httptools, sys; sys.stderr.write('listening on :1\\n'); sys.stdin.read()"
)


def cpu_time(pid: int) -> float:
    """Returns the CPU seconds that process `pid` has used; the clock id is as in clock_getcpuclockid(3)."""
    return time.clock_gettime(~pid << 3 | 2)


def time_to_listen(process: subprocess.Popen[str]) -> tuple[float, float]:
    """Returns the CPU time and the elapsed time (s) until the process listens; then kills it."""
    started_at = time.monotonic()
    try:
        listening_port(process)
        return cpu_time(process.pid), time.monotonic() - started_at
    finally:
        process.kill()
        process.communicate()


def start_baseline() -> subprocess.Popen[str]:
    pipe = subprocess.PIPE
    return subprocess.Popen([sys.executable, "-c", BASELINE_PROGRAM], stdin=pipe, stderr=pipe, text=True)


@pytest.fixture
def compiled(monkeypatch: pytest.MonkeyPatch, tmp_path_factory: pytest.TempPathFactory) -> None:
    """Lets processes write and use byte code, as after `build`, even if it is disabled for the tests."""
    monkeypatch.delenv("PYTHONDONTWRITEBYTECODE", raising=False)
    monkeypatch.setenv("PYTHONPYCACHEPREFIX", str(tmp_path_factory.mktemp("compiled")))


async def test_a_start_without_answers_of_discovery_and_counter_is_fast_on_little_cpu(
    tmp_path: Path, compiled: None
) -> None:
    """Discovery and the counter accept connections and do not answer. The bound on CPU time is relative to a
    start of only the event loop and the parser, which shows the machine's speed. With the waits added, a
    twentieth of a core must be enough."""
    agent, counter = await PeerServer().start(), await PeerServer().start()
    known = {
        "index": 1,
        "snapshot": True,
        "endpoints": [
            {"name": f"s-{n}", "address": f"{HOST}:{n + 1}", "status": "up", "zone": "a", "group": 3}
            for n in range(BACKENDS)
        ],
    }
    document = config_document(
        known=known, discovery=f"{HOST}:{agent.port}", counter=f"{HOST}:{counter.port}"
    )
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    time_to_listen(start_ingress(path))  # the first start compiles
    time_to_listen(start_baseline())
    measured = [time_to_listen(start_ingress(path)) for _ in range(RUNS)]
    baseline_cpu_s = min(time_to_listen(start_baseline())[0] for _ in range(RUNS))
    cpu_s, elapsed_s = min(cpu for cpu, _ in measured), min(wall for _, wall in measured)
    wait_s = elapsed_s - cpu_s
    assert cpu_s < MAX_CPU_RATIO * baseline_cpu_s
    assert wait_s < LIST_WAIT_SECONDS + 0.5
    assert cpu_s / CORE_FRACTION + wait_s < MAX_START_S
    agent.stop()
    counter.stop()
