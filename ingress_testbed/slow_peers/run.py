"""Plays one scenario: starts the ingress and its peers, samples its memory, and collects the records."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import tempfile
from pathlib import Path

from ingress_testbed.slow_peers.backends import Backend
from ingress_testbed.slow_peers.measured_clients import MeasuredClient
from ingress_testbed.slow_peers.records import Call, Play
from ingress_testbed.slow_peers.scenario import (
    BACKENDS,
    Answer,
    Framing,
    Pattern,
    Scenario,
    Upload,
    draw_answer,
    draw_upload,
)
from ingress_testbed.slow_peers.slow_clients import KINDS
from ingress_testbed.worker import PROJECT_ROOT, Worker

HOST = "127.0.0.1"
SLOW_CLIENTS_HOST = "ingress_testbed.slow_peers.slow_clients:Host"
SAMPLE_INTERVAL_S = 0.02
READY_TIMEOUT_S = 30.0
QUIET_S = 1.0  # at the start, without slow clients
MEASURED_PER_S = 12.0
UPLOAD_FRACTION = 0.4  # of the measured requests
NO_UPLOAD = Upload(0, Framing.LENGTH, 1, 1_000_000)
SHORT_ANSWER = Answer(1000, Framing.LENGTH, Pattern.AT_ONCE, 0.0)
KB_PER_MB = 1000


class SlowPeersPlay:
    """One play, from its start to the end of all its processes and peers."""

    def __init__(self, scenario: Scenario, seconds: float, folder: Path, traces: bool) -> None:
        """Measured requests begin for `seconds`. With `traces`, the ingress logs each event."""
        self._traces = traces
        self._scenario = scenario
        self._seconds = seconds
        self._folder = folder
        self._rng = random.Random(scenario.seed)
        self._calls: dict[str, Call] = {}
        self._backends = [Backend(self._calls) for _ in range(BACKENDS)]
        self._process: asyncio.subprocess.Process
        self._slow_clients: Worker
        self._play = Play(scenario.seed, scenario.memory_mb)
        self._port = 0

    async def play(self) -> Play:
        """Returns the records."""
        for backend in self._backends:
            await backend.start()
        await self._start_process()
        self._slow_clients = await Worker.start(SLOW_CLIENTS_HOST, PROJECT_ROOT, dict(os.environ))
        loop = asyncio.get_running_loop()
        background = [loop.create_task(self._sample()), loop.create_task(self._follow_log())]
        slow = loop.create_task(self._run_slow_clients())
        try:
            await self._run_measured_clients()
        finally:
            if self._process.returncode is None:
                self._process.kill()
            elif self._play.peak_mb <= self._play.memory_mb:
                self._play.exit_code = self._process.returncode
            for task in (*background, slow):
                task.cancel()
            await asyncio.gather(*background, slow, return_exceptions=True)
            await self._slow_clients.stop()
            await self._process.wait()
            for backend in self._backends:
                backend.stop()
        self._play.calls = list(self._calls.values())
        return self._play

    async def _start_process(self) -> None:
        path = self._folder / "config.json"
        path.write_text(json.dumps(self._config()))
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quota_ingress",
            cwd=PROJECT_ROOT,
            env=environment | {"EDGE_CONFIG": str(path), "EDGE_TRACE": "1" if self._traces else "0"},
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self._port:
                line = await self._read_log_line()
                if "listening on " in line:
                    self._port = int(line.rpartition(":")[2])

    def _config(self) -> dict[str, object]:
        endpoints = [
            {"name": f"s-{number}", "address": f"{HOST}:{backend.port}", "status": "up", "since_ms": 0}
            for number, backend in enumerate(self._backends)
        ]
        limits = {"memory_mb": self._scenario.memory_mb, "sockets": self._scenario.descriptors}
        return {
            "name": "n0",
            "listen": f"{HOST}:0",
            "discovery": f"{HOST}:1",
            "counter": f"{HOST}:1",
            "seed": f"{self._scenario.seed:x}",
            "limits": limits,
            "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
            "settings": self._scenario.settings(),
        }

    async def _read_log_line(self) -> str:
        assert self._process.stderr
        line = (await self._process.stderr.readline()).decode("latin-1").rstrip()
        if not line:
            raise RuntimeError(f"the ingress ended at its start: {self._play.log}")
        self._play.log.append(line)
        return line

    async def _follow_log(self) -> None:
        while True:
            await self._read_log_line()

    async def _sample(self) -> None:
        """Samples memory and the delay of this loop; kills a process over its limit, as the platform does."""
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        while self._process.returncode is None:
            due = loop.time() + SAMPLE_INTERVAL_S
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            self._play.lag = max(self._play.lag, loop.time() - due)
            resident_mb = _anonymous_mb(self._process.pid)
            if resident_mb > self._play.peak_mb:
                self._play.peak_mb = resident_mb
                self._play.peak_after_s = loop.time() - began_at
            if resident_mb > self._play.memory_mb:
                self._process.kill()
                return

    async def _run_slow_clients(self) -> None:
        await asyncio.sleep(QUIET_S)
        await self._slow_clients.call(
            "start",
            port=self._port,
            seed=self._scenario.seed,
            kinds=list(self._scenario.slow_kinds),
            count=self._scenario.slow_clients,
            timeout_s=self._scenario.deadline_s,
        )

    async def _run_measured_clients(self) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(self._scenario.seed + 1)
        end = loop.time() + self._seconds
        async with asyncio.TaskGroup() as clients:
            while loop.time() < end and self._process.returncode is None:
                call = self._draw_call(rng)
                client = MeasuredClient(self._port, call, customer=10_000 + len(self._calls))
                clients.create_task(client.run())
                await asyncio.sleep(rng.expovariate(MEASURED_PER_S))

    def _draw_call(self, rng: random.Random) -> Call:
        request_id = f"m-{len(self._calls)}"
        timeout = rng.uniform(0.4, 1.0) * self._scenario.deadline_s
        if rng.random() < UPLOAD_FRACTION:
            call = Call(request_id, timeout, SHORT_ANSWER, draw_upload(rng))
        else:
            call = Call(request_id, timeout, draw_answer(rng), NO_UPLOAD)
        self._calls[request_id] = call
        return call


def _anonymous_mb(pid: int) -> float:
    """Returns the resident memory without pages of files; 0 once the process has ended."""
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) / KB_PER_MB
    except OSError:
        pass
    return 0.0


async def play(seed: int, seconds: float, traces: bool = False) -> tuple[Scenario, Play]:
    """Plays the scenario of `seed`; measured requests begin for `seconds`."""
    scenario = Scenario.draw(seed, list(KINDS))
    with tempfile.TemporaryDirectory() as folder:
        return scenario, await SlowPeersPlay(scenario, seconds, Path(folder), traces).play()
