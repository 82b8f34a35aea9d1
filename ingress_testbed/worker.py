"""Worker processes for the parts of a run, so that the CPU and memory of each can be measured separately.

The child creates a host object (`module:Class`) and serves the parent's calls, one JSON line each on standard
input and output: `{"method": NAME, "arguments": {...}}` calls the host's method NAME. The child exits at the
end of its input.
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
# The program under test precedes this project on the path; this package is imported before that, from here.
BOOTSTRAP = (
    "import sys; own, program, target = sys.argv[1:]; sys.path.insert(0, own); "
    "from ingress_testbed import worker; sys.path.insert(0, program); worker.main(target, program)"
)


class WorkerError(Exception):
    """A call of the host raised an exception, or the worker process ended."""


class Worker:
    """The parent's handle of a worker process.

    Attributes:
        pid: The child's process id.
    """

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        """Wraps a child process that runs `main`."""
        self.pid = process.pid
        self._process = process
        self._call_lock = asyncio.Lock()  # one call at a time: results carry no id

    @classmethod
    async def start(cls, target: str, program: Path, env: dict[str, str]) -> Worker:
        """Starts a worker with the host `target` (`module:Class`) and the ingress in the folder `program`.

        The child runs in a new session, so that only the parent receives Ctrl-C.
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
        """Calls a method of the host and returns its result, decoded from JSON.

        Raises:
            WorkerError: The method raised an exception, or the worker process ended.
            TimeoutError: No result arrived within CALL_TIMEOUT.
        """
        assert self._process.stdin
        assert self._process.stdout
        message = json.dumps({"method": method, "arguments": arguments}).encode() + b"\n"
        async with self._call_lock, asyncio.timeout(CALL_TIMEOUT):
            self._process.stdin.write(message)
            line = await self._process.stdout.readline()
        if not line:
            raise WorkerError(f"{method}: the worker process ended before it returned a result")
        answer = json.loads(line)
        if "error" in answer:
            raise WorkerError(f"{method}: {answer['error']}")
        return answer["result"]

    async def stop(self) -> None:
        """Kills the child process if it still runs, and waits for its end."""
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()


def main(target: str, program: str) -> None:
    """Serves calls in the child until its standard input ends."""
    uvloop.run(_serve_calls(target, Path(program)))


async def _serve_calls(target: str, program: Path) -> None:
    logging.basicConfig(
        level=logging.ERROR
    )  # hollow ingresses log warnings for failures that a run causes on purpose
    module, _, name = target.partition(":")
    host = getattr(importlib.import_module(module), name)()
    _check_program(program)
    reader = asyncio.StreamReader(limit=MAX_MESSAGE_BYTES)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    out = os.fdopen(os.dup(1), "wb", buffering=0)
    os.dup2(2, 1)  # output of print() goes to stderr and not between the answers
    while line := await reader.readline():
        answer = await _carry_out(host, json.loads(line))
        out.write(json.dumps(answer).encode() + b"\n")


async def _carry_out(host: object, call: dict[str, Any]) -> dict[str, Any]:
    """Calls the host's method and returns its result or its error, as the answer to the parent."""
    try:
        result = getattr(host, call["method"])(**call["arguments"])
        if inspect.isawaitable(result):
            result = await result
    except Exception as error:  # noqa: BLE001  # the parent raises it as WorkerError
        return {"error": f"{type(error).__name__}: {error}"}
    return {"result": result}


def _check_program(program: Path) -> None:
    """Exits if `quota_ingress` was imported from elsewhere than the program under test.

    That is so if the commit under test has no package of that name (an older commit).
    """
    module = sys.modules.get("quota_ingress")
    if module and module.__file__ and not Path(module.__file__).is_relative_to(program):
        raise SystemExit(f"no package quota_ingress in {program}: only its ingress process can be measured")
