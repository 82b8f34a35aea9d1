"""Starts the ingress under test as the platform does, with a generated configuration."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import Counter
from pathlib import Path
from typing import Any

from ingress_testbed import proc

START_TIMEOUT = 90.0  # s
PACKAGES = ("quota_ingress", "ironledge")  # the ingress package: its current name, and that in older commits
LISTENING_MARK = "listening on "  # part of the log line that ends with the port
MAX_MESSAGE_LENGTH = 60  # characters; log lines with the same first ones are counted together


class IngressStartError(RuntimeError):
    """The ingress exited before it listened."""


def package_of(program: Path) -> str:
    """Returns the name of the ingress package in the folder `program`.

    Raises:
        FileNotFoundError: The folder contains none of PACKAGES.
    """
    for name in PACKAGES:
        if (program / name).is_dir():
            return name
    raise FileNotFoundError(f"{program} contains no ingress package, expected one of {PACKAGES}")


class IngressProcess:
    """The process of a real ingress.

    Attributes:
        pid: Its process id.
        port: Its port for clients; 0 until it listens.
        log_counts: Number of its log lines, by the start of the message.
    """

    def __init__(self, process: asyncio.subprocess.Process, config: Path) -> None:
        """Wraps a process that was started with the configuration file `config`."""
        self.pid = process.pid
        self.port = 0
        self.log_counts: Counter[str] = Counter()
        self._process = process
        self._config = config
        self._log_reader: asyncio.Task[None] | None = None

    @classmethod
    async def start(
        cls, program: Path, config: dict[str, Any], folder: Path, env: dict[str, str]
    ) -> IngressProcess:
        """Starts an ingress with the configuration `config`, and returns once it listens.

        Raises:
            IngressStartError: It exited before it listened.
            TimeoutError: It did not listen within START_TIMEOUT.
        """
        path = folder / f"{config['name']}-{os.urandom(4).hex()}.json"
        path.write_text(json.dumps(config))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            package_of(program),
            cwd=program,
            env=env | {"EDGE_CONFIG": str(path)},
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
        )
        ingress = cls(process, path)
        try:
            async with asyncio.timeout(START_TIMEOUT):
                await ingress._wait_until_listening()
        except BaseException:
            await ingress.stop()
            raise
        ingress._log_reader = asyncio.create_task(ingress._read_log())
        return ingress

    def cpu(self) -> float:
        """Returns the seconds of CPU that the process has used."""
        return proc.cpu(self.pid)

    def reload(self, config: dict[str, Any]) -> None:
        """Overwrites the configuration file, and sends SIGHUP to the process."""
        self._config.write_text(json.dumps(config))
        self._process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Kills the process if it still runs, and deletes the configuration file."""
        if self._log_reader:
            self._log_reader.cancel()
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self._config.unlink(missing_ok=True)

    async def _wait_until_listening(self) -> None:
        while line := await self._read_line():
            self._count(line)
            if LISTENING_MARK in line:
                self.port = int(line.rpartition(":")[2])
                return
        log = ", ".join(self.log_counts) or "its log is empty"
        raise IngressStartError(f"the ingress exited before it listened: {log}")

    async def _read_log(self) -> None:
        while line := await self._read_line():
            self._count(line)

    async def _read_line(self) -> str:
        assert self._process.stderr
        return (await self._process.stderr.readline()).decode()

    def _count(self, line: str) -> None:
        text = line.strip()
        message = text.partition(": ")[2][:MAX_MESSAGE_LENGTH]
        self.log_counts[message or text[:MAX_MESSAGE_LENGTH]] += 1
