"""What customers held, classes (which stand in for routes) and plans (tenants in the settings) cost."""

from __future__ import annotations

import asyncio

from ingress_testbed import proc
from ingress_testbed.experiments.base import MODULE, NOWHERE, Experiment, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import Shape


async def customers(lab: Lab, size: int) -> Figures:
    worker = await lab.worker(MODULE)
    told: Figures = await worker.call(
        "customers", size=size, spread=lab.option("spread"), fleet_size=lab.option("fleet_size")
    )
    return told


async def classes(lab: Lab, size: int) -> Figures:
    shape = Shape(lab.option("fleet_size"), classes=size)
    return await _module(lab, "classes", size) | await _process(lab, shape)


async def listed(lab: Lab, size: int) -> Figures:
    """Both in one real process: it holds something for each class of each backend."""
    discovery, port = await lab.discovery(lab.option("backends"), NOWHERE)
    ingress = await lab.ingress(Shape(lab.option("fleet_size"), classes=size), port, NOWHERE)
    await proc.rest(ingress.pid, longest=10.0)
    if (await discovery.call("counts"))["lists"] != 1:
        raise RuntimeError("the ingress does not take the list")
    rss, peak = proc.memory(ingress.pid)
    return {"rss_mb": rss, "peak_mb": peak, "cpu_start_ms": ingress.cpu() * 1e3}


async def plans(lab: Lab, size: int) -> Figures:
    shape = Shape(lab.option("fleet_size"), plans=size)
    return await _module(lab, "plans", size) | await _process(lab, shape)


async def _module(lab: Lab, do: str, size: int) -> Figures:
    worker = await lab.worker(MODULE)
    sizes = {"backends": lab.option("backends"), "fleet_size": lab.option("fleet_size")}
    told: Figures = await worker.call(do, size=size, **sizes)
    await worker.stop()
    return told


async def _process(lab: Lab, shape: Shape) -> Figures:
    """A real one's start with this configuration, and its SIGHUP with another counter in the same one."""
    ingress = await lab.ingress(shape, NOWHERE, NOWHERE)
    await proc.rest(ingress.pid, longest=3.0)
    figures = {"cpu_start_ms": ingress.cpu() * 1e3}
    figures["rss_mb"], figures["peak_mb"] = proc.memory(ingress.pid)
    before, began = ingress.cpu(), asyncio.get_running_loop().time()
    ingress.reload(lab.config(shape, NOWHERE, NOWHERE + 1))
    await proc.rest(ingress.pid, longest=20.0)
    idle = await _idle(ingress.pid) * (asyncio.get_running_loop().time() - began)
    figures["cpu_reload_ms"] = max(0.0, ingress.cpu() - before - idle) * 1e3
    figures["peak_reload_mb"] = proc.memory(ingress.pid)[1]
    return figures


async def _idle(pid: int) -> float:
    """S of CPU a second while nothing happens but tries to connect."""
    before = proc.cpu(pid)
    await asyncio.sleep(1.0)
    return proc.cpu(pid) - before


SIZES = {"fleet_size": 7100.0, "backends": 24.0}
EXPERIMENTS = (
    Experiment(
        "customers", "customers held", "accounts in the module", customers, {"fleet_size": 7100, "spread": 4}
    ),
    Experiment("classes", "classes", "the table of classes (for routes)", classes, SIZES),
    Experiment(
        "classes-listed",
        "classes",
        "the same with a list, in a real process",
        listed,
        SIZES | {"backends": 2000.0},
    ),
    Experiment("plans", "plans", "the table of plans (for tenants in the settings)", plans, SIZES),
)
