"""A real ingress: the program under test, started as the platform does, with a configuration made here."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections import Counter as Tally
from pathlib import Path
from typing import Any

from ingress_testbed import proc

READY = 90.0  # s for a process to listen
PACKAGES = ("quota_ingress", "ironledge")  # the program's package, by today's name and that of commits before


def package_of(program: Path) -> str:
    """Returns the name of the package in `program` that is the ingress.

    Raises:
        FileNotFoundError: There is none.
    """
    for name in PACKAGES:
        if (program / name).is_dir():
            return name
    raise FileNotFoundError(f"no program in {program}")


class Ingress:
    def __init__(self, process: asyncio.subprocess.Process, config: Path) -> None:
        self._process, self._config = process, config
        self.pid, self.port = process.pid, 0
        self.lines: Tally[str] = Tally()  # of its log, without what differs from one to the next
        self._log: asyncio.Task[None] | None = None

    @classmethod
    async def start(cls, program: Path, config: dict[str, Any], folder: Path, env: dict[str, str]) -> Ingress:
        """Returns once it listens; RuntimeError if it ends or does not come up."""
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
        made = cls(process, path)
        try:
            async with asyncio.timeout(READY):
                await made._listening()
        except BaseException:
            await made.stop()
            raise
        made._log = asyncio.create_task(made._follow())
        return made

    async def _listening(self) -> None:
        assert self._process.stderr
        while line := (await self._process.stderr.readline()).decode():
            self._count(line)
            if "listening on " in line:
                self.port = int(line.rpartition(":")[2])
                return
        raise RuntimeError(f"the ingress ended: {', '.join(self.lines) or 'nothing in its log'}")

    async def _follow(self) -> None:
        assert self._process.stderr
        while line := (await self._process.stderr.readline()).decode():
            self._count(line)

    def _count(self, line: str) -> None:
        self.lines[line.strip().partition(": ")[2][:60] or line.strip()[:60]] += 1

    def cpu(self) -> float:
        return proc.cpu(self.pid)

    def reload(self, config: dict[str, Any]) -> None:
        """The configuration replaced, and SIGHUP."""
        self._config.write_text(json.dumps(config))
        self._process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        if self._log:
            self._log.cancel()
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()
        self._config.unlink(missing_ok=True)
