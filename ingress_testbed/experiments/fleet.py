"""Experiments on the load that a fleet puts on discovery and the counter: hollow and two real ingresses."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass

from ingress_testbed import proc
from ingress_testbed.experiments.base import UNUSED_PORT, Experiment, ExperimentError, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import HOST, ZONE_FRACTION, Shape
from ingress_testbed.real import IngressProcess
from ingress_testbed.worker import Worker

REAL_INGRESSES = 2
HOLLOW_PER_WORKER = 100
START_INTERVAL = 0.01  # s between the starts of two hollow ingresses in one worker
CHANGE_INTERVAL = 0.1  # s between two changes of the list
POLL_INTERVAL = 0.1  # s
SETTLING_TIME = 1.0  # s to wait after a start or after changes, before the next measurement

Counts = dict[str, int]  # result of a host's `counts`, by name


class Fleet:
    """All processes of one repetition.

    Attributes:
        lab: Starts the processes.
        hollow_count: Number of hollow ingresses.
        ingress_count: Number of all ingresses, hollow and real.
        discovery: The worker of discovery.
        counter: The worker of the counter.
        hollow_workers: The workers of the hollow ingresses, HOLLOW_PER_WORKER in each.
        real: The real ingresses.
        empty_discovery_mb: Memory of discovery before any ingress watched the list.
        start_cpu: Seconds of CPU that discovery used while the hollow ingresses started.
        start_bytes: Bytes that discovery sent in that time.
    """

    discovery: Worker
    counter: Worker
    real: list[IngressProcess]
    empty_discovery_mb: float
    start_cpu: float
    start_bytes: int

    def __init__(self, lab: Lab, hollow_count: int) -> None:
        """Plans a fleet of `hollow_count` hollow and REAL_INGRESSES real ingresses; `start` starts it."""
        self.lab = lab
        self.hollow_count = hollow_count
        self.ingress_count = hollow_count + REAL_INGRESSES
        self.hollow_workers: list[Worker] = []

    async def start(self) -> None:
        """Starts all processes, and returns once every ingress watches the endpoint list.

        Raises:
            ExperimentError: Some ingresses do not watch it within the time-out of `wait_for`.
        """
        lab = self.lab
        self.discovery, discovery_port = await lab.start_discovery(lab.option("backends"), UNUSED_PORT)
        self.empty_discovery_mb, _ = proc.memory(self.discovery.pid)
        self.counter, counter_port = await lab.start_counter()
        self.real = []
        for number in range(self.hollow_count, self.ingress_count):
            shape = Shape(fleet_size=self.ingress_count, gateway_index=number)
            self.real.append(await lab.start_ingress(shape, discovery_port, counter_port))
        for _ in range(0, self.hollow_count, HOLLOW_PER_WORKER):
            self.hollow_workers.append(await lab.start_worker("ingress_testbed.hollow:HollowFleet"))
        await self._start_hollow(discovery_port, counter_port)

    async def _start_hollow(self, discovery_port: int, counter_port: int) -> None:
        starts = []
        for number, worker in enumerate(self.hollow_workers):
            first = number * HOLLOW_PER_WORKER
            start = worker.call(
                "start",
                first=first,
                count=min(HOLLOW_PER_WORKER, self.hollow_count - first),
                fleet_size=self.ingress_count,
                discovery=[HOST, discovery_port],
                counter=counter_port,
                pace=START_INTERVAL,
            )
            starts.append(start)
        cpu_before = proc.cpu(self.discovery.pid)
        counts_before = await self.discovery_counts()
        await asyncio.gather(*starts)
        if not await self.wait_for(lambda counts: counts["watches"] >= self.ingress_count):
            raise ExperimentError(
                f"not all of {self.ingress_count} ingresses started to watch the endpoint list"
            )
        counts = await self.discovery_counts()
        self.start_cpu = proc.cpu(self.discovery.pid) - cpu_before
        self.start_bytes = counts["sent"] - counts_before["sent"]

    async def discovery_counts(self) -> Counts:
        """Returns the totals of discovery since its start; see `DiscoveryHost.counts`."""
        counts: Counts = await self.discovery.call("counts")
        return counts

    async def counter_counts(self) -> Counts:
        """Returns the totals of the counter since its start; see `CounterHost.counts`."""
        counts: Counts = await self.counter.call("counts")
        return counts

    async def wait_for(self, condition: Callable[[Counts], bool], timeout: float = 60.0) -> bool:
        """Waits until `condition` holds for discovery's counts; returns False after `timeout` seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while not condition(await self.discovery_counts()):
            if loop.time() > end:
                return False
            await asyncio.sleep(POLL_INTERVAL)
        return True

    async def in_force_delays(self, version: int, since: float, timeout: float = 30.0) -> list[float]:
        """Returns the sorted seconds from `since` until hollow ingresses applied `version` or a later one.

        Ingresses that have not applied it within `timeout` seconds are left out.
        """
        end = time.monotonic() + timeout
        while True:
            applied_at: list[float] = []
            for worker in self.hollow_workers:
                applied_at += await worker.call("in_force", version=version)
            if len(applied_at) >= self.hollow_count or time.monotonic() > end:
                return sorted(at - since for at in applied_at)
            await asyncio.sleep(POLL_INTERVAL)


@dataclass(frozen=True, slots=True)
class _IdleCost:
    """Seconds of CPU per second of discovery and the counter, without changes and requests."""

    discovery: float
    counter: float


async def measure_fleet(lab: Lab, size: int) -> Figures:
    """Measures a fleet of `size` hollow ingresses: idle, under list changes, a lost zone and requests."""
    fleet = Fleet(lab, size)
    await fleet.start()
    await asyncio.sleep(SETTLING_TIME)
    discovery_counts = await fleet.discovery_counts()
    counter_counts = await fleet.counter_counts()
    seconds = lab.options["idle"]
    idle = await _idle_cost(fleet, seconds)
    pings = (await fleet.counter_counts())["pings"] - counter_counts["pings"]
    discovery_mb, _ = proc.memory(fleet.discovery.pid)
    figures = {
        "discovery_cpu_idle_ms_per_s": idle.discovery * 1e3,
        "counter_cpu_idle_ms_per_s": idle.counter * 1e3,
        "counter_pings_per_s_n": pings / seconds,
        "counter_connections_n": float(counter_counts["connections"]),
        "discovery_mb": discovery_mb - fleet.empty_discovery_mb,
        "watches_n": float(discovery_counts["watches"]),
        "discovery_cpu_starts_ms": fleet.start_cpu * 1e3,
        "discovery_starts_b": float(fleet.start_bytes),
    }
    figures |= await _play_changes(fleet, idle)
    figures |= await _remove_zone(fleet)
    figures |= await _play_requests(fleet, idle)
    hollow_mb = [proc.memory(worker.pid)[0] for worker in fleet.hollow_workers]
    return figures | {"hollow_mb_each": sum(hollow_mb) / size}


async def _idle_cost(fleet: Fleet, seconds: float) -> _IdleCost:
    discovery_before = proc.cpu(fleet.discovery.pid)
    counter_before = proc.cpu(fleet.counter.pid)
    await asyncio.sleep(seconds)
    discovery = proc.cpu(fleet.discovery.pid) - discovery_before
    counter = proc.cpu(fleet.counter.pid) - counter_before
    return _IdleCost(discovery / seconds, counter / seconds)


async def _play_changes(fleet: Fleet, idle: _IdleCost) -> Figures:
    """Sends change lines one after another, with one backend each, and measures their cost and delay."""
    lines = fleet.lab.option("lines")
    counts_before = await fleet.discovery_counts()
    cpu_before = proc.cpu(fleet.discovery.pid)
    real_cpu_before = sum(ingress.cpu() for ingress in fleet.real)
    started_at = time.monotonic()
    changed_at: dict[int, float] = {}  # s of the monotonic clock, by version
    for _ in range(lines):
        since = time.monotonic()
        changed_at[await fleet.discovery.call("change")] = since
        await asyncio.sleep(CHANGE_INTERVAL)
    seconds = time.monotonic() - started_at + SETTLING_TIME
    await asyncio.sleep(SETTLING_TIME)
    cpu = proc.cpu(fleet.discovery.pid) - cpu_before - idle.discovery * seconds
    real_cpu = sum(ingress.cpu() for ingress in fleet.real) - real_cpu_before
    delays: list[float] = []
    for version, since in changed_at.items():
        delays += await fleet.in_force_delays(version, since)
    delays.sort()
    counts = await fleet.discovery_counts()
    return {
        "discovery_cpu_change_us": cpu / lines * 1e6,
        "discovery_change_b": (counts["sent"] - counts_before["sent"]) / lines,
        "real_cpu_change_us": real_cpu / REAL_INGRESSES / lines * 1e6,
        "in_force_part": len(delays) / (lines * fleet.hollow_count),
        "in_force_p50_ms": delays[len(delays) // 2] * 1e3,
        "in_force_p99_ms": delays[len(delays) * 99 // 100] * 1e3,
        "in_force_max_ms": delays[-1] * 1e3,
    }


async def _remove_zone(fleet: Fleet) -> Figures:
    """Removes as many backends as a zone has in one change line, and measures its cost and delay."""
    cpu_before = proc.cpu(fleet.discovery.pid)
    since = time.monotonic()
    version = await fleet.discovery.call("remove", fraction=ZONE_FRACTION)
    delays = await fleet.in_force_delays(version, since)
    return {
        "discovery_cpu_zone_ms": (proc.cpu(fleet.discovery.pid) - cpu_before) * 1e3,
        "zone_in_force_max_ms": delays[-1] * 1e3,
        "zone_in_force_part": len(delays) / fleet.hollow_count,
    }


async def _play_requests(fleet: Fleet, idle: _IdleCost) -> Figures:
    """Sends requests to each hollow ingress and measures the counter; the policy paces the calls to it."""
    lab = fleet.lab
    seconds = lab.options["seconds"]
    counts_before = await fleet.counter_counts()
    cpu_before = proc.cpu(fleet.counter.pid)
    started_at = time.monotonic()
    request_runs = [
        worker.call(
            "requests",
            customers=lab.option("customers"),
            spread=min(lab.option("spread"), fleet.ingress_count),
            rate=lab.option("rate"),
            seconds=seconds,
        )
        for worker in fleet.hollow_workers
    ]
    answers = await asyncio.gather(*request_runs)
    duration = time.monotonic() - started_at
    counts = await fleet.counter_counts()
    calls = counts["adds"] - counts_before["adds"]
    served = sum(answer["served"] for answer in answers)
    requests = max(1, served + sum(answer["refused"] for answer in answers))
    cpu = proc.cpu(fleet.counter.pid) - cpu_before - idle.counter * duration
    counter_mb, _ = proc.memory(fleet.counter.pid)
    return {
        "counter_calls_per_s_n": calls / seconds,
        "counter_cpu_call_us": cpu / max(1, calls) * 1e6,
        "counter_calls_per_request_n": calls / requests,
        "counter_names_n": float(counts["names"]),
        "hollow_served_part": served / requests,
        "counter_mb": counter_mb,
    }


async def measure_reconnect(lab: Lab, size: int) -> Figures:
    """Aborts all watches at once, and measures their return to a discovery that limits calls per second."""
    fleet = Fleet(lab, size)
    await fleet.start()
    counts_before = await fleet.discovery_counts()
    await fleet.discovery.call("set_capacity", capacity=lab.option("capacity"))
    cpu_before = proc.cpu(fleet.discovery.pid)
    since = time.monotonic()
    version = await fleet.discovery.call("change")
    await fleet.discovery.call("abort_watches")
    await fleet.discovery.call("change")
    is_every_watch_back = await fleet.wait_for(
        lambda counts: counts["watches"] >= fleet.ingress_count, timeout=lab.option("longest")
    )
    duration = time.monotonic() - since
    counts_after = await fleet.discovery_counts()
    delays = await fleet.in_force_delays(version + 1, since, timeout=1.0)
    return {
        "back_s": duration,
        "back_n": float(is_every_watch_back),
        "calls_each_n": (counts_after["calls"] - counts_before["calls"]) / fleet.ingress_count,
        "turned_away_n": float(counts_after["rejected"] - counts_before["rejected"]),
        "lists_n": float(counts_after["lists"] - counts_before["lists"]),
        "discovery_cpu_ms": (proc.cpu(fleet.discovery.pid) - cpu_before) * 1e3,
        "sent_b": float(counts_after["sent"] - counts_before["sent"]),
        "in_force_p50_s": delays[len(delays) // 2] if delays else 0.0,
        "in_force_max_s": delays[-1] if delays else 0.0,
        "in_force_part": len(delays) / size,
    }


EXPERIMENTS = (
    Experiment(
        "fleet",
        "hollow ingresses",
        "the cost of a fleet for discovery and the counter",
        measure_fleet,
        {"backends": 400, "rate": 5, "customers": 2000, "spread": 20, "idle": 4, "lines": 40, "seconds": 8},
    ),
    Experiment(
        "reconnect",
        "hollow ingresses",
        "all watches aborted at once, with a discovery that limits calls per second",
        measure_reconnect,
        {"backends": 400, "capacity": 100, "longest": 120},
    ),
)
