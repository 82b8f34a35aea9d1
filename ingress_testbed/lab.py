"""One play of an experiment: the processes it starts, and that all of them end with it."""

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

MAX_PROCESSES = 40


class TooManyProcessesError(RuntimeError):
    """An experiment would start more processes than a play may have."""


class Lab:
    """The processes of one play, and the folder in which they work.

    Attributes:
        program: The folder of the ingress under test.
        seed: Of all draws of the play.
        options: The experiment's, by name.
    """

    def __init__(self, program: Path, seed: int, options: dict[str, float], caches: Path) -> None:
        """Starts nothing. Compiled files go to `caches`, so that none is written beside the sources."""
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
        """Returns an option as a whole number."""
        return int(self.options[name])

    async def worker(self, target: str) -> Worker:
        """Starts a worker with the host `target` (`module:Class`)."""
        self._count_process()
        worker = await Worker.start(target, self.program, self._env)
        self._exit_stack.push_async_callback(worker.stop)
        return worker

    async def ingress(
        self,
        shape: Shape,
        discovery: int,
        counter: int,
        known: Sequence[dict[str, Any]] = (),
        version: int = 0,
    ) -> IngressProcess:
        """Starts a real ingress; see `config` for the arguments."""
        config = self.config(shape, discovery, counter, known, version)
        self._count_process()
        ingress = await IngressProcess.start(self.program, config, self._folder, self._env)
        self._exit_stack.push_async_callback(ingress.stop)
        return ingress

    def config(
        self,
        shape: Shape,
        discovery: int,
        counter: int,
        known: Sequence[dict[str, Any]] = (),
        version: int = 0,
    ) -> dict[str, Any]:
        """Returns a configuration.

        Args:
            shape: The sizes of its settings.
            discovery: Port of the discovery.
            counter: Port of the counter.
            known: The list as last held.
            version: The version of that list.
        """
        discovery_address = f"{HOST}:{discovery}"
        counter_address = f"{HOST}:{counter}"
        return configuration(shape, discovery_address, counter_address, known=known, index=version)

    async def discovery(self, backends: int, port: int, capacity: float = 0.0) -> tuple[Worker, int]:
        """Starts a discovery that lists so many backends at `port`. Returns it and its own port."""
        worker = await self.worker("ingress_testbed.hosts:DiscoveryHost")
        own_port = await worker.call("start", backends=backends, port=port, seed=self.seed, capacity=capacity)
        return worker, int(own_port)

    async def counter(self) -> tuple[Worker, int]:
        """Starts a counter. Returns it and its port."""
        worker = await self.worker("ingress_testbed.hosts:CounterHost")
        return worker, int(await worker.call("start"))

    async def backends(self, work: float = 0.0) -> tuple[Worker, int]:
        """Starts backends that work `work` seconds on each request. Returns them and their port."""
        worker = await self.worker("ingress_testbed.hosts:BackendsHost")
        return worker, int(await worker.call("start", work=work))

    def _count_process(self) -> None:
        self._process_count += 1
        if self._process_count > MAX_PROCESSES:
            raise TooManyProcessesError(f"over {MAX_PROCESSES} processes in one play")
