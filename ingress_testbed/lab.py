"""The processes of one repetition of an experiment; all of them are stopped when it ends."""

from __future__ import annotations

import contextlib
import os
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from ingress_testbed.model import HOST, Shape, configuration
from ingress_testbed.real import IngressProcess
from ingress_testbed.worker import Worker

MAX_PROCESSES = 40  # per repetition


class TooManyProcessesError(RuntimeError):
    """An experiment would start more than MAX_PROCESSES processes in one repetition."""


class Lab:
    """The processes of one repetition, and their temporary folder.

    Attributes:
        program: The folder of the ingress under test.
        seed: Seed of the repetition's random draws.
        options: The experiment's options, by name.
    """

    def __init__(self, program: Path, seed: int, options: dict[str, float], caches: Path) -> None:
        """Prepares the environment. Bytecode goes to `caches`, so that none is written beside the sources."""
        self.program = program
        self.seed = seed
        self.options = options
        self._exit_stack = contextlib.AsyncExitStack()
        self._process_count = 0
        self._folder: Path
        self._env = {
            name: value
            for name, value in os.environ.items()
            if not name.startswith("EDGE_") and name != "PYTHONPATH"
        }
        self._env["PYTHONPYCACHEPREFIX"] = str(caches)

    async def __aenter__(self) -> Lab:
        self._folder = Path(self._exit_stack.enter_context(tempfile.TemporaryDirectory()))
        self._env["TMPDIR"] = str(self._folder)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._exit_stack.aclose()

    def option(self, name: str) -> int:
        """Returns the value of an option, truncated to an integer."""
        return int(self.options[name])

    async def start_worker(self, target: str) -> Worker:
        """Starts a worker with the host `target` (`module:Class`)."""
        self._count_process()
        worker = await Worker.start(target, self.program, self._env)
        self._exit_stack.push_async_callback(worker.stop)
        return worker

    async def start_ingress(
        self,
        shape: Shape,
        discovery: int,
        counter: int,
        endpoints: Sequence[dict[str, Any]] = (),
        version: int = 0,
    ) -> IngressProcess:
        """Starts a real ingress, and returns once it listens; see `config` for the arguments."""
        config = self.config(shape, discovery, counter, endpoints, version)
        self._count_process()
        ingress = await IngressProcess.start(self.program, config, self._folder, self._env)
        self._exit_stack.push_async_callback(ingress.stop)
        return ingress

    def config(
        self,
        shape: Shape,
        discovery: int,
        counter: int,
        endpoints: Sequence[dict[str, Any]] = (),
        version: int = 0,
    ) -> dict[str, Any]:
        """Returns the configuration of an ingress, as the content of its file.

        Args:
            shape: The sizes of its settings.
            discovery: Port of discovery.
            counter: Port of the counter.
            endpoints: The endpoint list that the ingress starts with.
            version: The version of that list.
        """
        discovery_address = f"{HOST}:{discovery}"
        counter_address = f"{HOST}:{counter}"
        return configuration(shape, discovery_address, counter_address, endpoints=endpoints, version=version)

    async def start_discovery(self, backends: int, port: int, capacity: float = 0.0) -> tuple[Worker, int]:
        """Starts a discovery that lists `backends` backends at `port`; returns its worker and port."""
        worker = await self.start_worker("ingress_testbed.hosts:DiscoveryHost")
        own_port = await worker.call("start", backends=backends, port=port, seed=self.seed, capacity=capacity)
        return worker, int(own_port)

    async def start_counter(self) -> tuple[Worker, int]:
        """Starts a counter; returns its worker and its port."""
        worker = await self.start_worker("ingress_testbed.hosts:CounterHost")
        return worker, int(await worker.call("start"))

    async def start_backends(self, work: float = 0.0) -> tuple[Worker, int]:
        """Starts backends that answer each request after `work` seconds; returns their worker and port."""
        worker = await self.start_worker("ingress_testbed.hosts:BackendsHost")
        return worker, int(await worker.call("start", work=work))

    def _count_process(self) -> None:
        self._process_count += 1
        if self._process_count > MAX_PROCESSES:
            raise TooManyProcessesError(
                f"the experiment starts more than {MAX_PROCESSES} processes in one repetition"
            )
