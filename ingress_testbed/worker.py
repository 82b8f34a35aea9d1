"""A part of a run in a process of its own, so that its CPU and memory can be told from the others'.

The child creates the host that is named (`module:Class`) and carries out the parent's calls, a JSON line each
on its standard streams: `{"method": NAME, "arguments": {...}}` calls the host's method of that name. It ends
with its input.
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

PROJECT_ROOT = Path(__file__).resolve().parent.parent
MAX_MESSAGE_BYTES = 256 * 1024 * 1024
CALL_TIMEOUT = 300.0  # s
# The program under test goes before this project's own on the path; this package is loaded already then.
BOOTSTRAP = (
    "import sys; own, program, target = sys.argv[1:]; sys.path.insert(0, own); "
    "from ingress_testbed import worker; sys.path.insert(0, program); worker.main(target, program)"
)


class WorkerError(Exception):
    """The host could not carry out a call."""


class Worker:
    """The parent's side of a worker.

    Attributes:
        pid: The child's process id.
    """

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Calls the host in `process`."""
        self.pid = process.pid
        self._process = process
        self._call_lock = asyncio.Lock()  # one call at a time: results come in the calls' order

    @classmethod
    async def start(cls, target: str, program: Path, env: dict[str, str]) -> Worker:
        """Starts a worker with the host `target` (`module:Class`) and the ingress in the folder `program`.

        It has a session of its own, as Ctrl-C is the parent's to handle.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-P",
            "-c",
            BOOTSTRAP,
            str(PROJECT_ROOT),
            str(program),
            target,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=MAX_MESSAGE_BYTES,
            start_new_session=True,
            env=env,
        )
        return cls(process)

    async def call(self, method: str, **arguments: Any) -> Any:
        """Calls a method of the host and returns its result, which comes as JSON.

        Raises:
            WorkerError: The method raised an exception, or the worker has ended.
            TimeoutError: No result came within CALL_TIMEOUT.
        """
        assert self._process.stdin
        assert self._process.stdout
        message = json.dumps({"method": method, "arguments": arguments}).encode() + b"\n"
        async with self._call_lock, asyncio.timeout(CALL_TIMEOUT):
            self._process.stdin.write(message)
            line = await self._process.stdout.readline()
        if not line:
            raise WorkerError(f"{method}: the worker has ended")
        answer = json.loads(line)
        if "error" in answer:
            raise WorkerError(f"{method}: {answer['error']}")
        return answer["result"]

    async def stop(self) -> None:
        """Kills the child."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


def main(target: str, program: str) -> None:
    """Runs the child until its input ends."""
    uvloop.run(_serve_calls(target, Path(program)))


async def _serve_calls(target: str, program: Path) -> None:
    logging.basicConfig(level=logging.ERROR)  # hollow ingresses warn of what a run does to them on purpose
    module, _, name = target.partition(":")
    host = getattr(importlib.import_module(module), name)()
    _check_program(program)
    reader = asyncio.StreamReader(limit=MAX_MESSAGE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    out = os.fdopen(os.dup(1), "wb", buffering=0)
    os.dup2(2, 1)  # whatever prints does not spoil the answers
    while line := await reader.readline():
        answer = await _carry_out(host, json.loads(line))
        out.write(json.dumps(answer).encode() + b"\n")


async def _carry_out(host: object, call: dict[str, Any]) -> dict[str, Any]:
    """Returns the answer to a call."""
    try:
        result = getattr(host, call["method"])(**call["arguments"])
        if inspect.isawaitable(result):
            result = await result
    except Exception as error:  # noqa: BLE001  # the parent raises it
        return {"error": f"{type(error).__name__}: {error}"}
    return {"result": result}


def _check_program(program: Path) -> None:
    """Ends a worker that would measure another program than the one under test.

    A commit may hold none that this package can import.
    """
    module = sys.modules.get("quota_ingress")
    if module and module.__file__ and not Path(module.__file__).is_relative_to(program):
        raise SystemExit(f"no package quota_ingress in {program}: only its process can be measured")
