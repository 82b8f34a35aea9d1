"""What customers, classes (which stand in for routes) and plans (tenants in the settings) cost."""

from __future__ import annotations

import asyncio

from ingress_testbed import proc
from ingress_testbed.experiments.base import PROBE, UNUSED_PORT, Experiment, ExperimentError, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import Shape


async def customers(lab: Lab, size: int) -> Figures:
    """Plays requests of `size` customers in the policy alone."""
    worker = await lab.worker(PROBE)
    figures: Figures = await worker.call(
        "customers", size=size, spread=lab.option("spread"), fleet_size=lab.option("fleet_size")
    )
    return figures


async def classes(lab: Lab, size: int) -> Figures:
    """Loads settings with `size` classes, in the policy alone and in a real process."""
    shape = Shape(lab.option("fleet_size"), classes=size)
    return await _probe(lab, "classes", size) | await _start_and_reload(lab, shape)


async def classes_with_list(lab: Lab, size: int) -> Figures:
    """Loads classes and a list in one real process: it keeps something for each class of each backend."""
    discovery, port = await lab.discovery(lab.option("backends"), UNUSED_PORT)
    ingress = await lab.ingress(Shape(lab.option("fleet_size"), classes=size), port, UNUSED_PORT)
    await proc.wait_until_idle(ingress.pid, timeout=10.0)
    counts = await discovery.call("counts")
    if counts["lists"] != 1:
        raise ExperimentError("the ingress does not take the list")
    rss, peak = proc.memory(ingress.pid)
    return {"rss_mb": rss, "peak_mb": peak, "cpu_start_ms": ingress.cpu() * 1e3}


async def plans(lab: Lab, size: int) -> Figures:
    """Loads settings with `size` plans, in the policy alone and in a real process."""
    shape = Shape(lab.option("fleet_size"), plans=size)
    return await _probe(lab, "plans", size) | await _start_and_reload(lab, shape)


async def _probe(lab: Lab, method: str, size: int) -> Figures:
    worker = await lab.worker(PROBE)
    figures: Figures = await worker.call(
        method, size=size, backends=lab.option("backends"), fleet_size=lab.option("fleet_size")
    )
    await worker.stop()
    return figures


async def _start_and_reload(lab: Lab, shape: Shape) -> Figures:
    """A real process's start with this configuration, and its SIGHUP with another counter in the same one."""
    ingress = await lab.ingress(shape, UNUSED_PORT, UNUSED_PORT)
    await proc.wait_until_idle(ingress.pid, timeout=3.0)
    start = ingress.cpu()
    rss, peak = proc.memory(ingress.pid)
    loop = asyncio.get_running_loop()
    before = ingress.cpu()
    began = loop.time()
    ingress.reload(lab.config(shape, UNUSED_PORT, UNUSED_PORT + 1))
    await proc.wait_until_idle(ingress.pid, timeout=20.0)
    idle = await _idle_cpu(ingress.pid) * (loop.time() - began)
    reload = max(0.0, ingress.cpu() - before - idle)
    _, peak_after_reload = proc.memory(ingress.pid)
    return {
        "cpu_start_ms": start * 1e3,
        "rss_mb": rss,
        "peak_mb": peak,
        "cpu_reload_ms": reload * 1e3,
        "peak_reload_mb": peak_after_reload,
    }


async def _idle_cpu(pid: int) -> float:
    """Returns the seconds of CPU a second while nothing happens but attempts to connect."""
    before = proc.cpu(pid)
    await asyncio.sleep(1.0)
    return proc.cpu(pid) - before


TABLE_OPTIONS = {"fleet_size": 7100.0, "backends": 24.0}
EXPERIMENTS = (
    Experiment(
        "customers", "customers held", "accounts in the module", customers, {"fleet_size": 7100, "spread": 4}
    ),
    Experiment("classes", "classes", "the table of classes (for routes)", classes, TABLE_OPTIONS),
    Experiment(
        "classes-listed",
        "classes",
        "the same with a list, in a real process",
        classes_with_list,
        TABLE_OPTIONS | {"backends": 2000.0},
    ),
    Experiment("plans", "plans", "the table of plans (for tenants in the settings)", plans, TABLE_OPTIONS),
)
