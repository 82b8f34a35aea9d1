"""What the list of backends costs: its size, its changes, a zone lost."""

from __future__ import annotations

import asyncio

from ingress_testbed import proc
from ingress_testbed.experiments.base import MODULE, NOWHERE, Experiment, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import OUTAGE, Shape, entry

CHANGES = 10  # one after another, for the cost of one


async def module(lab: Lab, size: int) -> Figures:
    worker = await lab.worker(MODULE)
    told: Figures = await worker.call("backends", size=size, fleet_size=lab.option("fleet_size"))
    return told


async def process(lab: Lab, size: int) -> Figures:
    """A real process that begins with nothing and gets the list by its watch. One that does not take it that
    way (`taken_n` 0) is started again with the list in its configuration, for the cost of changes.
    """
    discovery, port = await lab.discovery(size, NOWHERE)
    shape = Shape(fleet_size=lab.option("fleet_size"))
    ingress = await lab.ingress(shape, port, NOWHERE)
    await proc.rest(ingress.pid, longest=4.0 + size / 4000)
    told = await discovery.call("counts")
    taken = float(told["watches"] == 1 and told["lists"] == 1)
    figures = {"taken_n": taken, "lists_asked_n": float(told["lists"])}
    if taken:
        figures |= {"cpu_start_ms": ingress.cpu() * 1e3, "start_b": float(told["sent"])}
    else:
        before, at = ingress.cpu(), asyncio.get_running_loop().time()
        sent = told["sent"]
        await asyncio.sleep(6.0)
        spent, passed = ingress.cpu() - before, asyncio.get_running_loop().time() - at
        told = await discovery.call("counts")
        figures["cpu_futile_ms_per_s"] = spent / passed * 1e3
        figures["futile_b_per_s"] = (told["sent"] - sent) / passed
        await ingress.stop()
        known = [entry(n, NOWHERE) for n in range(size)]
        ingress = await lab.ingress(shape, port, NOWHERE, known, told["version"])
        await proc.rest(ingress.pid)
        figures["cpu_start_known_ms"] = ingress.cpu() * 1e3
    figures["rss_mb"], figures["peak_mb"] = proc.memory(ingress.pid)
    for name, do, what, count in (
        ("change", "change", {"lines": CHANGES}, CHANGES),
        ("zone", "remove", {"fraction": OUTAGE}, 1),
    ):
        before, sent = ingress.cpu(), (await discovery.call("counts"))["sent"]
        await discovery.call(do, **what)
        await proc.rest(ingress.pid)
        spent = ingress.cpu() - before
        figures[f"cpu_{name}_ms"] = spent / count * 1e3
        figures[f"{name}_b"] = ((await discovery.call("counts"))["sent"] - sent) / count
    figures["peak_after_mb"] = proc.memory(ingress.pid)[1]
    return figures


async def changes(lab: Lab, rate: int) -> Figures:
    """`rate` changes a second, one backend each, at a steady pace."""
    discovery, port = await lab.discovery(lab.option("backends"), NOWHERE)
    ingress = await lab.ingress(Shape(fleet_size=lab.option("fleet_size")), port, NOWHERE)
    await proc.rest(ingress.pid)
    loop, seconds = asyncio.get_running_loop(), lab.option("seconds")
    before, sent, began = ingress.cpu(), (await discovery.call("counts"))["sent"], loop.time()
    for n in range(rate * seconds):
        await asyncio.sleep(max(0.0, began + n / rate - loop.time()))
        await discovery.call("change")
    await asyncio.sleep(max(0.0, began + seconds - loop.time()))
    await proc.rest(ingress.pid)
    passed = loop.time() - began
    told = await discovery.call("counts")
    return {
        "cpu_ms_per_s": (ingress.cpu() - before) / seconds * 1e3,
        "received_b_per_s": (told["sent"] - sent) / seconds,
        "took_s": passed,
        "rss_mb": proc.memory(ingress.pid)[0],
    }


LETTER_FLEET = {"fleet_size": 7100.0}
EXPERIMENTS = (
    Experiment("list-module", "backends", "the list in the module alone", module, LETTER_FLEET),
    Experiment("list-process", "backends", "the list in a real process, by its watch", process, LETTER_FLEET),
    Experiment(
        "change-rate",
        "changes a second",
        "a real process under changes of the list",
        changes,
        LETTER_FLEET | {"backends": 2000, "seconds": 6},
    ),
)
