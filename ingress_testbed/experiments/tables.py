"""Experiments on the cost of customers, request classes (for routes) and plans (for tenants)."""

from __future__ import annotations

import asyncio

from ingress_testbed import proc
from ingress_testbed.experiments.base import PROBE, UNUSED_PORT, Experiment, ExperimentError, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import Shape


async def measure_customers(lab: Lab, size: int) -> Figures:
    """Measures requests of `size` customers in the policy alone."""
    worker = await lab.start_worker(PROBE)
    figures: Figures = await worker.call(
        "customers", size=size, spread=lab.option("spread"), fleet_size=lab.option("fleet_size")
    )
    return figures


async def measure_classes(lab: Lab, size: int) -> Figures:
    """Measures settings with `size` classes, in the policy alone and in a real process."""
    shape = Shape(lab.option("fleet_size"), classes=size)
    return await _probe(lab, "classes", size) | await _start_and_reload(lab, shape)


async def measure_listed_classes(lab: Lab, size: int) -> Figures:
    """Measures `size` classes with an endpoint list in a real process (state per class and backend)."""
    discovery, port = await lab.start_discovery(lab.option("backends"), UNUSED_PORT)
    ingress = await lab.start_ingress(Shape(lab.option("fleet_size"), classes=size), port, UNUSED_PORT)
    await proc.wait_until_idle(ingress.pid, timeout=10.0)
    counts = await discovery.call("counts")
    if counts["lists"] != 1:
        raise ExperimentError(
            f"the ingress fetched {counts['lists']} snapshots of the endpoint list, expected 1"
        )
    rss, peak = proc.memory(ingress.pid)
    return {"rss_mb": rss, "peak_mb": peak, "cpu_start_ms": ingress.cpu() * 1e3}


async def measure_plans(lab: Lab, size: int) -> Figures:
    """Measures settings with `size` plans, in the policy alone and in a real process."""
    shape = Shape(lab.option("fleet_size"), plans=size)
    return await _probe(lab, "plans", size) | await _start_and_reload(lab, shape)


async def _probe(lab: Lab, method: str, size: int) -> Figures:
    worker = await lab.start_worker(PROBE)
    figures: Figures = await worker.call(
        method, size=size, backends=lab.option("backends"), fleet_size=lab.option("fleet_size")
    )
    await worker.stop()
    return figures


async def _start_and_reload(lab: Lab, shape: Shape) -> Figures:
    """Measures the start of a real process, and its reload by SIGHUP with another counter address."""
    ingress = await lab.start_ingress(shape, UNUSED_PORT, UNUSED_PORT)
    await proc.wait_until_idle(ingress.pid, timeout=3.0)
    start_cpu = ingress.cpu()
    rss, peak = proc.memory(ingress.pid)
    loop = asyncio.get_running_loop()
    cpu_before = ingress.cpu()
    started_at = loop.time()
    ingress.reload(lab.config(shape, UNUSED_PORT, UNUSED_PORT + 1))
    await proc.wait_until_idle(ingress.pid, timeout=20.0)
    idle_cpu = await _idle_cpu(ingress.pid) * (loop.time() - started_at)
    reload_cpu = max(0.0, ingress.cpu() - cpu_before - idle_cpu)
    _, peak_after_reload = proc.memory(ingress.pid)
    return {
        "cpu_start_ms": start_cpu * 1e3,
        "rss_mb": rss,
        "peak_mb": peak,
        "cpu_reload_ms": reload_cpu * 1e3,
        "peak_reload_mb": peak_after_reload,
    }


async def _idle_cpu(pid: int) -> float:
    """Returns the seconds of CPU per second of a process that only retries its connections."""
    cpu_before = proc.cpu(pid)
    await asyncio.sleep(1.0)
    return proc.cpu(pid) - cpu_before


TABLE_OPTIONS = {"fleet_size": 7100.0, "backends": 24.0}
EXPERIMENTS = (
    Experiment(
        "customers",
        "customers held",
        "customer state in the policy",
        measure_customers,
        {"fleet_size": 7100, "spread": 4},
    ),
    Experiment(
        "classes", "classes", "the table of request classes (for routes)", measure_classes, TABLE_OPTIONS
    ),
    Experiment(
        "classes-listed",
        "classes",
        "request classes with an endpoint list, in a real process",
        measure_listed_classes,
        TABLE_OPTIONS | {"backends": 2000.0},
    ),
    Experiment(
        "plans", "plans", "the table of plans (for tenants in the settings)", measure_plans, TABLE_OPTIONS
    ),
)
