"""One ingress of a run: its processes one after another, its log, its faults."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path
from typing import Any

from ingress_testbed import proc
from ingress_testbed.faults import Faults
from ingress_testbed.soak.records import Life

HOST = "127.0.0.1"
READY = 60.0  # s for a process to listen
KILL_AFTER = 3.7  # s from SIGTERM, as the platform does
PORTS = (10_000, 32_000)  # under the range of outgoing connections
STATES = ('"endpoint list received"', '"watch ended"', '"reload"', '"process"')
LONGEST_LINE = 1024 * 1024


def free_port() -> int:
    """One that the system gives to no outgoing connection: a node that is down must find it free again."""
    while True:
        port = random.randrange(*PORTS)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port


class Process:
    """One process of a node, and what its log tells."""

    def __init__(self, process: asyncio.subprocess.Process, node: int, admin: int) -> None:
        self.process, self.admin = process, admin
        self.life = Life(node, time.monotonic(), arrived={}, ended={}, rules=[], states=[])
        self.ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.lines: list[str] = []  # what is no event
        self._log = asyncio.get_running_loop().create_task(self._follow())

    async def _follow(self) -> None:
        assert self.process.stderr
        while line := (await self.process.stderr.readline()).decode("latin-1").rstrip():
            _, mark, event = line.partition("quota_ingress.events: ")
            if mark:
                self._event(event)
            else:
                self._line(line)
        self.life.exit_code = await self.process.wait()
        self.life.ended_at = time.monotonic()
        if not self.ready.done():
            self.ready.set_exception(RuntimeError(f"the process ended: {self.lines[-3:]}"))
            self.ready.exception()  # it may be that nobody waits for it

    def _event(self, text: str) -> None:
        if '"arrived"' in text or '"ended"' in text or '"rejected"' in text:
            event = json.loads(text)
            match event["event"], event.get("id"):
                case "arrived", str(id):
                    self.life.arrived[id] = event["at"] / 1e6
                case (("ended" | "rejected"), str(id)):
                    self.life.arrived.setdefault(id, event["at"] / 1e6)
                    self.life.ended.setdefault(id, []).append(event.get("reason", ""))
        elif any(kind in text for kind in STATES):
            self.life.states.append(text)

    def _line(self, line: str) -> None:
        self.lines.append(line)
        self.life.states.append(f"{time.monotonic():.3f} {line}")
        if "rule " in line and "WARNING" in line:
            self.life.rules.append(line)
        self.life.tracebacks += line.startswith("Traceback")
        if "listening on " in line and not self.ready.done():
            self.life.ready_at = time.monotonic()
            self.ready.set_result(None)

    async def wait(self) -> None:
        """Returns once the process has ended and its log is read."""
        await self._log

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal, if the process is there."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process by SIGKILL."""
        if self.alive:
            self.life.killed_at = time.monotonic()
            self.signal(signal.SIGKILL)

    async def stop(self) -> None:
        """SIGTERM, and SIGKILL once the platform would."""
        self.life.stopped_at = time.monotonic()
        self.signal(signal.SIGTERM)
        done, _ = await asyncio.wait([self._log], timeout=KILL_AFTER)
        if not done:
            self.kill()
            await self.wait()

    def reload(self) -> None:
        """SIGHUP, which does not come within the first second, nor before the process is ready."""
        if self.life.ready_at and time.monotonic() - self.life.started_at > 1:
            self.signal(signal.SIGHUP)

    async def hold_up(self, seconds: float) -> None:
        """It stands still, as when another takes its processor."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    async def call(self, target: str, method: str = "POST") -> int:
        """An operators' call; its status, 0 for none."""

        def called() -> int:
            asked = urllib.request.Request(f"http://{HOST}:{self.admin}{target}", method=method)
            try:
                with urllib.request.urlopen(asked, timeout=2) as answer:
                    return int(answer.status)
            except urllib.error.HTTPError as error:
                return error.code
            except OSError:
                return 0

        return await asyncio.to_thread(called)

    def record_resources(self) -> None:
        """Records the descriptors and the memory that the process holds now."""
        with contextlib.suppress(OSError, KeyError):
            self.life.descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))
            self.life.memory_mb = proc.memory(self.process.pid)[0]


class Node:
    """`inherits`: the run holds its listening socket, so that an upgrade is possible."""

    def __init__(self, number: int, folder: Path, library: Path, program: Path, inherits: bool) -> None:
        self.number, self._program = number, program
        self._folder = folder / f"node-{number}"
        self._folder.mkdir()
        self.path = self._folder / "config.json"
        self.faults = Faults(library, self._folder / "faults")
        self.socket = socket.create_server((HOST, 0), backlog=4096) if inherits else None
        self.port = int(self.socket.getsockname()[1]) if self.socket else free_port()
        self.processes: list[Process] = []  # the newest last
        self._turn = asyncio.Lock()  # for what starts and ends processes

    @property
    def process(self) -> Process:
        """The newest process."""
        return self.processes[-1]

    @property
    def lives(self) -> list[Life]:
        """The records of all processes, the newest last."""
        return [process.life for process in self.processes]

    def configure(self, config: dict[str, Any]) -> None:
        """Replaced in one step, as the platform does."""
        made = self.path.with_suffix(".new")
        made.write_text(json.dumps(config | {"listen": f"{HOST}:{self.port}"}))
        made.rename(self.path)

    async def start(self) -> Process:
        """Returns once the new process listens."""
        temporary, admin = self._folder / "tmp", free_port()
        temporary.mkdir(exist_ok=True)
        kept = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env = (
            kept
            | self.faults.environment()
            | {
                "EDGE_CONFIG": str(self.path),
                "EDGE_TRACE": "1",
                "EDGE_ADMIN": f"{HOST}:{admin}",
                "TMPDIR": str(temporary),
                "PYTHONDONTWRITEBYTECODE": "1",
            }
        )
        inherited = [self.socket.fileno()] if self.socket else []
        if inherited:
            env["EDGE_LISTEN_FD"] = str(inherited[0])
        made = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quota_ingress",
            cwd=self._program,
            env=env,
            pass_fds=inherited,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
            limit=LONGEST_LINE,
        )
        process = Process(made, self.number, admin)
        self.processes.append(process)
        async with asyncio.timeout(READY):
            await process.ready
        return process

    async def restart(self, by_kill: bool) -> None:
        """Ends the process, gracefully or by SIGKILL, and starts another."""
        async with self._turn:
            if by_kill:
                self.process.kill()
                await self.process.wait()
            else:
                await self.process.stop()
            await self.start()

    async def upgrade(self, fails: bool) -> None:
        """Starts a new process beside the old one, and ends the old one.

        An upgrade that fails ends the new one instead, so that the old one serves again.
        """
        async with self._turn:
            old = self.process
            old.life.handed_over_at = time.monotonic()
            new = await self.start()
            if fails:
                new.kill()
                await new.wait()
                self.processes.remove(new)
                self.processes.insert(len(self.processes) - 1, new)
                old.life.handed_over_at = 0.0
            else:
                await old.stop()

    async def end(self) -> None:
        """Ends the node for good, gracefully."""
        async with self._turn:
            if self.process.alive:
                await self.process.stop()
        self.faults.close()
        if self.socket:
            self.socket.close()

    def kill(self) -> None:
        """Ends all processes by SIGKILL."""
        for process in self.processes:
            if process.alive:
                process.signal(signal.SIGCONT)
                process.kill()
