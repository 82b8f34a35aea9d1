"""A real ingress: the program under test, started as the platform does, with a configuration made here."""

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
PACKAGES = ("quota_ingress", "ironledge")  # the program's package, by today's name and that of commits before
LISTENING_MARK = "listening on "  # of the log line that ends with the port
MAX_MESSAGE_LENGTH = 60  # characters of a log line by which it is counted


class IngressStartError(RuntimeError):
    """The ingress ended before it listened."""


def package_of(program: Path) -> str:
    """Returns the name of the package in `program` that is the ingress.

    Raises:
        FileNotFoundError: There is none.
    """
    for name in PACKAGES:
        if (program / name).is_dir():
            return name
    raise FileNotFoundError(f"no program in {program}")


class IngressProcess:
    """The process of a real ingress.

    Attributes:
        pid: Its process id.
        port: Where it listens for clients, once it does.
        log_counts: Lines of its log, counted by their message.
    """

    def __init__(self, process: asyncio.subprocess.Process, config: Path) -> None:
        """Wraps a process that was started with the file `config`."""
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
        """Starts an ingress, and returns once it listens.

        Raises:
            IngressStartError: It ended.
            TimeoutError: It does not listen within START_TIMEOUT.
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
        """Returns the seconds of CPU that it has used."""
        return proc.cpu(self.pid)

    def reload(self, config: dict[str, Any]) -> None:
        """Replaces its configuration, and sends SIGHUP."""
        self._config.write_text(json.dumps(config))
        self._process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Kills it."""
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
        log = ", ".join(self.log_counts) or "nothing in its log"
        raise IngressStartError(f"the ingress ended: {log}")

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
