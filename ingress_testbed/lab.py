"""One play of an experiment: the processes it starts, and that all of them end with it."""

from __future__ import annotations

import contextlib
import os
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import Any

from ingress_testbed.model import HOST, Shape, configuration
from ingress_testbed.real import Ingress
from ingress_testbed.worker import Worker

MOST_PROCESSES = 40
Address = tuple[str, int]


class Lab:
    def __init__(self, program: Path, seed: int, options: dict[str, float], caches: Path) -> None:
        """`caches`: where the program's compiled files go, so that nothing is written beside its sources."""
        self.program, self.seed, self.options = program, seed, options
        self._ends = contextlib.AsyncExitStack()
        self._started = 0
        kept = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_") and k != "PYTHONPATH"}
        self._env = kept | {"PYTHONPYCACHEPREFIX": str(caches)}

    async def __aenter__(self) -> Lab:
        self._folder = Path(self._ends.enter_context(tempfile.TemporaryDirectory()))
        self._env["TMPDIR"] = str(self._folder)
        return self

    async def __aexit__(self, *error: object) -> None:
        await self._ends.aclose()

    def option(self, name: str) -> int:
        return int(self.options[name])

    async def worker(self, target: str) -> Worker:
        self._count()
        worker = await Worker.start(target, self.program, self._env)
        self._ends.push_async_callback(worker.stop)
        return worker

    async def ingress(
        self, shape: Shape, discovery: int, counter: int, known: Sequence[dict[str, Any]] = (), index: int = 0
    ) -> Ingress:
        """A real one. `discovery` and `counter` are ports."""
        config = self.config(shape, discovery, counter, known, index)
        self._count()
        made = await Ingress.start(self.program, config, self._folder, self._env)
        self._ends.push_async_callback(made.stop)
        return made

    def config(
        self, shape: Shape, discovery: int, counter: int, known: Sequence[dict[str, Any]] = (), index: int = 0
    ) -> dict[str, Any]:
        addresses = (f"{HOST}:{discovery}", f"{HOST}:{counter}")
        return configuration(shape, *addresses, known=known, index=index)

    async def discovery(self, backends: int, port: int, capacity: float = 0.0) -> tuple[Worker, int]:
        worker = await self.worker("ingress_testbed.hosts:DiscoveryHost")
        told = await worker.ask("start", backends=backends, port=port, seed=self.seed, capacity=capacity)
        return worker, int(told)

    async def counter(self) -> tuple[Worker, int]:
        worker = await self.worker("ingress_testbed.hosts:CounterHost")
        return worker, int(await worker.ask("start"))

    async def backends(self, work: float = 0.0) -> tuple[Worker, int]:
        worker = await self.worker("ingress_testbed.hosts:BackendsHost")
        return worker, int(await worker.ask("start", work=work))

    def _count(self) -> None:
        self._started += 1
        if self._started > MOST_PROCESSES:
            raise RuntimeError(f"over {MOST_PROCESSES} processes in one play")
