"""One run: starts all processes, injects the faults when they are due, and collects the records."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import tempfile
import time
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from ingress_testbed.faults import build
from ingress_testbed.soak.discovery import NodeDiscovery, agent_address
from ingress_testbed.soak.endpoints import EndpointTable
from ingress_testbed.soak.fault_injector import FaultInjector
from ingress_testbed.soak.fault_plan import draw_faults
from ingress_testbed.soak.nodes import Node
from ingress_testbed.soak.records import Arrival, BadPeer, Call, Run
from ingress_testbed.soak.setup import MEMORY_MB, Setup
from ingress_testbed.standins.counter import CounterServer
from ingress_testbed.worker import PROJECT_ROOT, Worker

SETTLE_TIME = 3.5  # s after the last client in which the remaining requests have to end
LAG_INTERVAL = 0.02  # s between measurements of the event loop's delay


@dataclass(frozen=True, slots=True)
class RunSize:
    """The size of a run."""

    seconds: float = 30.0
    nodes: int = 12
    backends: int = 24
    rate: float = 250.0  # requests a second
    gap: float = 0.3  # mean time in s between faults


class Soak:
    """A run, from its start to the collection of its records.

    Attributes:
        problems: Errors of the test itself, not of the program under test.
    """

    def __init__(self, seed: int, size: RunSize, folder: Path) -> None:
        """Draws the settings and the faults. The files of all processes go into `folder`."""
        self._seed = seed
        self._size = size
        self._folder = folder
        self._rng = random.Random(seed)
        self._setup = Setup.draw(self._rng, size.nodes)
        self._faults = draw_faults(self._rng, size.seconds, size.nodes, size.gap)
        self._injector = FaultInjector(self, self._rng)
        self._tasks: set[asyncio.Task[None]] = set()
        self._workers: list[Worker] = []
        self._lag = 0.0
        self.descriptor_limit = self._setup.sockets
        self.nodes: list[Node] = []
        self.problems: list[str] = []
        self.discoveries: list[NodeDiscovery] = []
        self.counters: list[CounterServer] = []
        self.clients: Worker
        self.backends: Worker
        self.endpoints: EndpointTable

    async def play(self) -> Run:
        """Returns the records, after all processes that were started have ended."""
        try:
            return await self._play()
        finally:
            for node in self.nodes:
                node.kill()
            for worker in self._workers:
                await worker.stop()

    async def _play(self) -> Run:
        await self._start()
        began_at = time.monotonic()
        lag_task = asyncio.get_running_loop().create_task(self._measure_lag())
        await self.clients.call("begin", rate=self._size.rate, seconds=self._size.seconds)
        for fault in self._faults:
            await asyncio.sleep(max(0.0, began_at + fault.at - time.monotonic()))
            self._spawn(self._injector.inject(fault))
        client_result = await self.clients.call("result")
        while self._tasks:
            await asyncio.wait(self._tasks)
        await asyncio.sleep(SETTLE_TIME)
        for node in self.nodes:
            node.process.record_resources()
        await asyncio.gather(*(node.shut_down() for node in self.nodes))
        lag_task.cancel()
        backend_result = await self.backends.call("result")
        return self._collect(began_at, client_result, backend_result)

    def _collect(self, began_at: float, client_result: dict[str, Any], backend_result: dict[str, Any]) -> Run:
        return Run(
            seed=self._seed,
            began_at=began_at,
            dedup_window=self._setup.dedup_window,
            may_hedge=self._setup.may_hedge,
            faults=self._faults,
            calls=msgspec.convert(client_result["calls"], list[Call]),
            arrivals=msgspec.convert(backend_result["arrivals"], list[Arrival]),
            bad_peers=msgspec.convert(client_result["bad_peers"], list[BadPeer]),
            withdrawals=self.discoveries[0].withdrawals,
            list_writes=[write for discovery in self.discoveries for write in discovery.list_writes],
            discovery_outages=self._injector.discovery_outages,
            process_records=[record for node in self.nodes for record in node.process_records],
            lag={"clients": client_result["lag"], "backends": backend_result["lag"], "run": self._lag},
        )

    async def _start(self) -> None:
        self.backends = await self._worker("ingress_testbed.soak.backends:Host")
        port = int(await self.backends.call("start", seed=self._seed, idle=self._setup.idle_timeout))
        self.endpoints = EndpointTable(self._size.backends, port)
        for _ in range(2):  # a reload moves a node from one to the other
            self.discoveries.append(NodeDiscovery(self.endpoints.entries))
            self.counters.append(CounterServer())
        for discovery in self.discoveries:
            await discovery.start()
        for counter in self.counters:
            await counter.start()
        library = build(self._folder)
        for number in range(self._size.nodes):
            self.nodes.append(Node(number, self._folder, library, PROJECT_ROOT, inherits=number % 2 == 0))
            self.configure(number, 0)
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.clients = await self._worker("ingress_testbed.soak.clients:Host")
        await self.clients.call("start", seed=self._seed, ports=[node.port for node in self.nodes])

    async def _worker(self, target: str) -> Worker:
        worker = await Worker.start(target, PROJECT_ROOT, dict(os.environ))
        self._workers.append(worker)
        return worker

    def configure(self, number: int, stand_in_index: int) -> None:
        """Writes a node's configuration, with discovery and counter number `stand_in_index`."""
        known = {"index": 1, "snapshot": True, "endpoints": self.endpoints.entries}
        self.nodes[number].configure(
            {
                "name": f"n{number}",
                "seed": f"{self._rng.getrandbits(60):x}",
                "discovery": agent_address(number, self.discoveries[stand_in_index].port),
                "counter": f"127.9.1.{number + 1}:{self.counters[stand_in_index].port}",
                "known": known,
                "limits": {"sockets": self._setup.sockets, "memory_mb": MEMORY_MB},
                "settings": self._setup.settings(number),
            }
        )

    async def _measure_lag(self) -> None:
        while True:
            due = time.monotonic() + LAG_INTERVAL
            await asyncio.sleep(LAG_INTERVAL)
            self._lag = max(self._lag, time.monotonic() - due)

    def _spawn(self, fault: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(fault)
        self._tasks.add(task)
        task.add_done_callback(self._on_fault_done)

    def _on_fault_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if error := task.exception():
            self.problems.append(f"{type(error).__name__}: {error}")


async def play(seed: int, size: RunSize) -> tuple[Run, list[str]]:
    """Returns the records of a run, and the errors of the test itself.

    SIGTERM ends the run and all processes that it has started.
    """
    task = asyncio.current_task()
    assert task
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, size, Path(folder))
        return await soak.play(), soak.problems
