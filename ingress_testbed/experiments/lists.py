"""What the endpoint list costs: its size, its changes, a zone lost."""

from __future__ import annotations

import asyncio
from typing import Any

from ingress_testbed import proc
from ingress_testbed.experiments.base import PROBE, UNUSED_PORT, Experiment, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import ZONE_FRACTION, Shape, entry
from ingress_testbed.real import IngressProcess
from ingress_testbed.worker import Worker

CHANGES = 10  # one after another, for the cost of one
FUTILE_TIME = 6.0  # s for which an ingress is watched that does not take the list


async def policy_alone(lab: Lab, size: int) -> Figures:
    """Lists `size` backends in the policy alone."""
    worker = await lab.worker(PROBE)
    figures: Figures = await worker.call("backends", size=size, fleet_size=lab.option("fleet_size"))
    return figures


async def process(lab: Lab, size: int) -> Figures:
    """Starts a real process with nothing that gets the list by its watch.

    One that does not take it that way (`taken_n` 0) is started again with the list in its configuration, for
    the cost of changes.
    """
    discovery, port = await lab.discovery(size, UNUSED_PORT)
    shape = Shape(fleet_size=lab.option("fleet_size"))
    ingress = await lab.ingress(shape, port, UNUSED_PORT)
    await proc.wait_until_idle(ingress.pid, timeout=4.0 + size / 4000)
    counts = await discovery.call("counts")
    is_taken = counts["watches"] == 1 and counts["lists"] == 1
    figures = {"taken_n": float(is_taken), "lists_asked_n": float(counts["lists"])}
    if is_taken:
        figures |= {"cpu_start_ms": ingress.cpu() * 1e3, "start_b": float(counts["sent"])}
    else:
        figures |= await _futile_cost(ingress, discovery, counts["sent"])
        version = (await discovery.call("counts"))["version"]
        await ingress.stop()
        endpoints = [entry(n, UNUSED_PORT) for n in range(size)]
        ingress = await lab.ingress(shape, port, UNUSED_PORT, endpoints, version)
        await proc.wait_until_idle(ingress.pid)
        figures["cpu_start_known_ms"] = ingress.cpu() * 1e3
    figures["rss_mb"], figures["peak_mb"] = proc.memory(ingress.pid)
    change = await _cost_of(ingress, discovery, "change", lines=CHANGES)
    figures["cpu_change_ms"] = change["cpu_ms"] / CHANGES
    figures["change_b"] = change["sent_b"] / CHANGES
    zone = await _cost_of(ingress, discovery, "remove", fraction=ZONE_FRACTION)
    figures["cpu_zone_ms"] = zone["cpu_ms"]
    figures["zone_b"] = zone["sent_b"]
    _, figures["peak_after_mb"] = proc.memory(ingress.pid)
    return figures


async def _futile_cost(ingress: IngressProcess, discovery: Worker, sent_before: int) -> Figures:
    """Returns what a process costs that fetches a list again and again without taking it."""
    loop = asyncio.get_running_loop()
    before = ingress.cpu()
    began = loop.time()
    await asyncio.sleep(FUTILE_TIME)
    cpu = ingress.cpu() - before
    seconds = loop.time() - began
    counts = await discovery.call("counts")
    return {
        "cpu_futile_ms_per_s": cpu / seconds * 1e3,
        "futile_b_per_s": (counts["sent"] - sent_before) / seconds,
    }


async def _cost_of(ingress: IngressProcess, discovery: Worker, method: str, **arguments: Any) -> Figures:
    """Returns what a call of the discovery's host costs the ingress."""
    before = ingress.cpu()
    sent_before = (await discovery.call("counts"))["sent"]
    await discovery.call(method, **arguments)
    await proc.wait_until_idle(ingress.pid)
    cpu = ingress.cpu() - before
    sent = (await discovery.call("counts"))["sent"] - sent_before
    return {"cpu_ms": cpu * 1e3, "sent_b": float(sent)}


async def changes(lab: Lab, rate: int) -> Figures:
    """Plays `rate` changes a second, one backend each, at a steady pace."""
    discovery, port = await lab.discovery(lab.option("backends"), UNUSED_PORT)
    ingress = await lab.ingress(Shape(fleet_size=lab.option("fleet_size")), port, UNUSED_PORT)
    await proc.wait_until_idle(ingress.pid)
    loop = asyncio.get_running_loop()
    seconds = lab.option("seconds")
    before = ingress.cpu()
    sent_before = (await discovery.call("counts"))["sent"]
    began = loop.time()
    for number in range(rate * seconds):
        await asyncio.sleep(max(0.0, began + number / rate - loop.time()))
        await discovery.call("change")
    await asyncio.sleep(max(0.0, began + seconds - loop.time()))
    await proc.wait_until_idle(ingress.pid)
    duration = loop.time() - began
    sent = (await discovery.call("counts"))["sent"] - sent_before
    rss, _ = proc.memory(ingress.pid)
    return {
        "cpu_ms_per_s": (ingress.cpu() - before) / seconds * 1e3,
        "received_b_per_s": sent / seconds,
        "took_s": duration,
        "rss_mb": rss,
    }


LARGE_FLEET = {"fleet_size": 7100.0}
EXPERIMENTS = (
    Experiment("list-module", "backends", "the list in the module alone", policy_alone, LARGE_FLEET),
    Experiment("list-process", "backends", "the list in a real process, by its watch", process, LARGE_FLEET),
    Experiment(
        "change-rate",
        "changes a second",
        "a real process under changes of the list",
        changes,
        LARGE_FLEET | {"backends": 2000, "seconds": 6},
    ),
)
