"""One ingress of a run: its successive processes, the records of their logs, and its injected faults."""

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
from ingress_testbed.soak.records import ProcessRecord
from ingress_testbed.soak.setup import MAX_DEADLINE

HOST = "127.0.0.1"
READY_TIMEOUT = 60.0  # s in which a process has to listen
KILL_AFTER = MAX_DEADLINE + 0.7  # s from SIGTERM to SIGKILL, as on the platform
PORT_RANGE = (10_000, 32_000)  # below the kernel's range for outgoing connections
EXCERPTED_EVENTS = ('"endpoint list received"', '"watch ended"', '"reload"', '"process"')
MAX_LINE_SIZE = 1024 * 1024  # bytes


def free_port() -> int:
    """Returns a free port outside the kernel's range for outgoing connections.

    A node that restarts must find its port free again.
    """
    while True:
        port = random.randrange(*PORT_RANGE)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port


class Process:
    """One process of a node, and the record of its log.

    Attributes:
        ready: Done once the process listens; fails if it ends before.
        lines: The lines of its log that are not events.
    """

    def __init__(self, process: asyncio.subprocess.Process, node: int, admin_port: int) -> None:
        self.process, self.admin_port = process, admin_port
        self.record = ProcessRecord(
            node, time.monotonic(), arrived={}, ended={}, violations=[], log_excerpt=[]
        )
        self.ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.lines: list[str] = []
        self._log = asyncio.get_running_loop().create_task(self._follow())

    async def _follow(self) -> None:
        assert self.process.stderr
        while line := (await self.process.stderr.readline()).decode("latin-1").rstrip():
            _, mark, event = line.partition("quota_ingress.events: ")
            if mark:
                self._record_event(event)
            else:
                self._record_line(line)
        self.record.exit_code = await self.process.wait()
        self.record.ended_at = time.monotonic()
        if not self.ready.done():
            self.ready.set_exception(
                RuntimeError(f"node {self.record.node} ended before it listened: {self.lines[-3:]}")
            )
            self.ready.exception()  # marks it as retrieved: perhaps nothing awaits `ready`

    def _record_event(self, text: str) -> None:
        if '"arrived"' in text or '"ended"' in text or '"rejected"' in text:
            event = json.loads(text)
            match event["event"], event.get("id"):
                case "arrived", str(id):
                    self.record.arrived[id] = event["at"] / 1e6
                case (("ended" | "rejected"), str(id)):
                    self.record.arrived.setdefault(id, event["at"] / 1e6)
                    self.record.ended.setdefault(id, []).append(event.get("reason", ""))
        elif any(kind in text for kind in EXCERPTED_EVENTS):
            self.record.log_excerpt.append(text)

    def _record_line(self, line: str) -> None:
        self.lines.append(line)
        self.record.log_excerpt.append(f"{time.monotonic():.3f} {line}")
        if "rule " in line and "WARNING" in line:
            self.record.violations.append(line)
        self.record.tracebacks += line.startswith("Traceback")
        if "listening on " in line and not self.ready.done():
            self.record.ready_at = time.monotonic()
            self.ready.set_result(None)

    async def wait(self) -> None:
        """Returns once the process has ended and its log is read."""
        await self._log

    @property
    def alive(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    def signal(self, number: int) -> None:
        """Sends a signal, if the process still exists."""
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def kill(self) -> None:
        """Sends SIGKILL if the process has not ended, and records that."""
        if self.alive:
            self.record.killed_at = time.monotonic()
            self.signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Sends SIGTERM, and SIGKILL after KILL_AFTER. Returns once the process has ended."""
        self.record_memory()
        self.record.stopped_at = time.monotonic()
        self.signal(signal.SIGTERM)
        done, _ = await asyncio.wait([self._log], timeout=KILL_AFTER)
        if not done:
            self.kill()
            await self.wait()

    def reload(self) -> None:
        """Sends SIGHUP, unless the process is not ready or was started less than 1 s ago."""
        if self.record.ready_at and time.monotonic() - self.record.started_at > 1:
            self.signal(signal.SIGHUP)

    async def suspend(self, seconds: float) -> None:
        """Stops the process for `seconds`, as if others used its processor."""
        self.signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        self.signal(signal.SIGCONT)

    async def call(self, target: str, method: str = "POST") -> int:
        """Sends a request to the operators' interface. Returns the response's status, or 0 if none came."""

        def send() -> int:
            request = urllib.request.Request(f"http://{HOST}:{self.admin_port}{target}", method=method)
            try:
                with urllib.request.urlopen(request, timeout=2) as answer:
                    return int(answer.status)
            except urllib.error.HTTPError as error:
                return error.code
            except OSError:
                return 0

        return await asyncio.to_thread(send)

    def record_resources(self) -> None:
        """Records the number of open descriptors and the memory of the process."""
        self.record_memory()
        with contextlib.suppress(OSError):
            self.record.descriptors = len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def record_memory(self) -> None:
        """Records the peak of the process's resident memory."""
        with contextlib.suppress(OSError, KeyError):
            self.record.memory_mb = proc.memory(self.process.pid)[1]


class Node:
    """One ingress, and the processes that run it one after another.

    Attributes:
        path: The configuration file.
        socket: The listening socket that its processes inherit, so that an upgrade is possible; None if they
            bind the port themselves.
        processes: All processes; the newest is the last.
    """

    def __init__(self, number: int, folder: Path, library: Path, program: Path, inherits: bool) -> None:
        self.number, self._program = number, program
        self._folder = folder / f"node-{number}"
        self._folder.mkdir()
        self.path = self._folder / "config.json"
        self.faults = Faults(library, self._folder / "faults")
        self.socket = socket.create_server((HOST, 0), backlog=4096) if inherits else None
        self.port = int(self.socket.getsockname()[1]) if self.socket else free_port()
        self.processes: list[Process] = []
        self._process_lock = asyncio.Lock()  # held while processes are started or ended

    @property
    def process(self) -> Process:
        """The newest process."""
        return self.processes[-1]

    @property
    def process_records(self) -> list[ProcessRecord]:
        """The records of all processes; the newest is the last."""
        return [process.record for process in self.processes]

    def configure(self, config: dict[str, Any]) -> None:
        """Replaces the configuration file in one step, as the platform does."""
        new_path = self.path.with_suffix(".new")
        new_path.write_text(json.dumps(config | {"listen": f"{HOST}:{self.port}"}))
        new_path.rename(self.path)

    async def start(self) -> Process:
        """Starts a process, and returns it once it listens."""
        temporary_folder, admin_port = self._folder / "tmp", free_port()
        temporary_folder.mkdir(exist_ok=True)
        inherited_env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        env = (
            inherited_env
            | self.faults.environment()
            | {
                "EDGE_CONFIG": str(self.path),
                "EDGE_TRACE": "1",
                "EDGE_ADMIN": f"{HOST}:{admin_port}",
                "TMPDIR": str(temporary_folder),
                "PYTHONDONTWRITEBYTECODE": "1",
            }
        )
        inherited = [self.socket.fileno()] if self.socket else []
        if inherited:
            env["EDGE_LISTEN_FD"] = str(inherited[0])
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "quota_ingress",
            cwd=self._program,
            env=env,
            pass_fds=inherited,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
            limit=MAX_LINE_SIZE,
        )
        process = Process(child, self.number, admin_port)
        self.processes.append(process)
        async with asyncio.timeout(READY_TIMEOUT):
            await process.ready
        return process

    async def restart(self, by_kill: bool) -> None:
        """Ends the process, gracefully or by SIGKILL, and starts another."""
        async with self._process_lock:
            if by_kill:
                self.process.kill()
                await self.process.wait()
            else:
                await self.process.stop()
            await self.start()

    async def upgrade(self, fails: bool) -> None:
        """Starts a new process beside the old one, and ends the old one.

        If the upgrade `fails`, the new process is killed instead, so that the old one serves again.
        """
        async with self._process_lock:
            old = self.process
            old.record.handed_over_at = time.monotonic()
            new = await self.start()
            if fails:
                new.kill()
                await new.wait()
                self.processes.remove(new)
                self.processes.insert(len(self.processes) - 1, new)
                old.record.handed_over_at = 0.0
            else:
                await old.stop()

    async def shut_down(self) -> None:
        """Stops the node's process gracefully, and releases its socket and its faults."""
        async with self._process_lock:
            if self.process.alive:
                await self.process.stop()
        self.faults.close()
        if self.socket:
            self.socket.close()

    def kill(self) -> None:
        """Ends all processes by SIGKILL, suspended ones too."""
        for process in self.processes:
            if process.alive:
                process.signal(signal.SIGCONT)
                process.kill()
