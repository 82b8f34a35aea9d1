"""A part of a run in a process of its own, so that its CPU and memory can be told from the others'.

The child makes the host that is named (`module:Class`) and carries out what the parent asks, a JSON line each
on its standard streams: `{"do": NAME, ...}` calls the host's method of that name. It ends with its input.
"""

from __future__ import annotations

import asyncio
import importlib
import inspect
import json
import logging
import os
import sys
from pathlib import Path
from typing import Any

import uvloop

HERE = Path(__file__).resolve().parent.parent
MOST = 256 * 1024 * 1024  # bytes of one message
PATIENCE = 300.0  # s for an answer
# The program under test goes before this project's own on the path; this package is loaded already then.
BOOT = (
    "import sys; own, program, target = sys.argv[1:]; sys.path.insert(0, own); "
    "from ingress_testbed import worker; sys.path.insert(0, program); worker.main(target, program)"
)


class WorkerError(Exception):
    """The host could not do what was asked."""


class Worker:
    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self._process = process
        self._turn = asyncio.Lock()  # one question at a time: answers come in the order of questions
        self.pid = process.pid

    @classmethod
    async def start(cls, target: str, program: Path, env: dict[str, str]) -> Worker:
        """In a session of its own: Ctrl-C is the parent's to handle."""
        return cls(
            await asyncio.create_subprocess_exec(
                sys.executable,
                "-P",
                "-c",
                BOOT,
                str(HERE),
                str(program),
                target,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                limit=MOST,
                start_new_session=True,
                env=env,
            )
        )

    async def ask(self, do: str, **what: Any) -> Any:
        assert self._process.stdin and self._process.stdout
        async with self._turn, asyncio.timeout(PATIENCE):
            self._process.stdin.write(json.dumps({"do": do} | what).encode() + b"\n")
            line = await self._process.stdout.readline()
        if not line:
            raise WorkerError(f"{do}: the worker has ended")
        answer = json.loads(line)
        if "error" in answer:
            raise WorkerError(f"{do}: {answer['error']}")
        return answer["told"]

    async def stop(self) -> None:
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


def _check_program(program: Path) -> None:
    """Ends a worker that would measure another program than the one under test, as a commit may hold none
    that this package can import.
    """
    module = sys.modules.get("quota_ingress")
    if module and module.__file__ and not Path(module.__file__).is_relative_to(program):
        raise SystemExit(f"no package quota_ingress in {program}: only its process can be measured")


async def _host(target: str, program: Path) -> None:
    logging.basicConfig(level=logging.ERROR)  # hollow ones warn of what a run does to them on purpose
    module, _, name = target.partition(":")
    host = getattr(importlib.import_module(module), name)()
    _check_program(program)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=MOST)
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    out = os.fdopen(os.dup(1), "wb", buffering=0)
    os.dup2(2, 1)  # whatever prints does not spoil the answers
    while line := await reader.readline():
        asked = json.loads(line)
        try:
            told = getattr(host, asked.pop("do"))(**asked)
            if inspect.isawaitable(told):
                told = await told
            answer = {"told": told}
        except Exception as error:  # the parent says what it means
            answer = {"error": f"{type(error).__name__}: {error}"}
        out.write(json.dumps(answer).encode() + b"\n")


def main(target: str, program: str) -> None:
    uvloop.run(_host(target, Path(program)))
