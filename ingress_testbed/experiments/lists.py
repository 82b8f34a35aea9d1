"""Experiments on the cost of the endpoint list: its size, its changes, the loss of a zone."""

from __future__ import annotations

import asyncio
from typing import Any

from ingress_testbed import proc
from ingress_testbed.experiments.base import PROBE, UNUSED_PORT, Experiment, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import ZONE_FRACTION, Shape, entry
from ingress_testbed.real import IngressProcess
from ingress_testbed.worker import Worker

CHANGE_COUNT = 10  # consecutive changes that are averaged for the cost of one
FUTILE_TIME = 6.0  # s of measurement of an ingress that fetches the list without accepting it


async def measure_policy(lab: Lab, size: int) -> Figures:
    """Measures a list of `size` backends in the policy alone."""
    worker = await lab.start_worker(PROBE)
    figures: Figures = await worker.call("backends", size=size, fleet_size=lab.option("fleet_size"))
    return figures


async def measure_process(lab: Lab, size: int) -> Figures:
    """Measures a real process that starts without a list and gets `size` backends by its watch.

    An ingress that does not accept the list from the watch (`taken_n` 0) is restarted with the list in its
    configuration, to measure the cost of changes.
    """
    discovery, port = await lab.start_discovery(size, UNUSED_PORT)
    shape = Shape(fleet_size=lab.option("fleet_size"))
    ingress = await lab.start_ingress(shape, port, UNUSED_PORT)
    await proc.wait_until_idle(ingress.pid, timeout=4.0 + size / 4000)
    counts = await discovery.call("counts")
    is_accepted = counts["watches"] == 1 and counts["lists"] == 1
    figures = {"taken_n": float(is_accepted), "lists_asked_n": float(counts["lists"])}
    if is_accepted:
        figures |= {"cpu_start_ms": ingress.cpu() * 1e3, "start_b": float(counts["sent"])}
    else:
        figures |= await _futile_cost(ingress, discovery, counts["sent"])
        version = (await discovery.call("counts"))["version"]
        await ingress.stop()
        endpoints = [entry(n, UNUSED_PORT) for n in range(size)]
        ingress = await lab.start_ingress(shape, port, UNUSED_PORT, endpoints, version)
        await proc.wait_until_idle(ingress.pid)
        figures["cpu_start_known_ms"] = ingress.cpu() * 1e3
    figures["rss_mb"], figures["peak_mb"] = proc.memory(ingress.pid)
    change = await _cost_of(ingress, discovery, "change", lines=CHANGE_COUNT)
    figures["cpu_change_ms"] = change["cpu_ms"] / CHANGE_COUNT
    figures["change_b"] = change["sent_b"] / CHANGE_COUNT
    zone = await _cost_of(ingress, discovery, "remove", fraction=ZONE_FRACTION)
    figures["cpu_zone_ms"] = zone["cpu_ms"]
    figures["zone_b"] = zone["sent_b"]
    _, figures["peak_after_mb"] = proc.memory(ingress.pid)
    return figures


async def _futile_cost(ingress: IngressProcess, discovery: Worker, sent_before: int) -> Figures:
    """Returns the CPU and traffic of a process that repeatedly fetches a list without accepting it."""
    loop = asyncio.get_running_loop()
    cpu_before = ingress.cpu()
    started_at = loop.time()
    await asyncio.sleep(FUTILE_TIME)
    cpu = ingress.cpu() - cpu_before
    seconds = loop.time() - started_at
    counts = await discovery.call("counts")
    return {
        "cpu_futile_ms_per_s": cpu / seconds * 1e3,
        "futile_b_per_s": (counts["sent"] - sent_before) / seconds,
    }


async def _cost_of(ingress: IngressProcess, discovery: Worker, method: str, **arguments: Any) -> Figures:
    """Returns the CPU that the ingress uses, and the bytes it is sent, due to a call of discovery's host."""
    cpu_before = ingress.cpu()
    sent_before = (await discovery.call("counts"))["sent"]
    await discovery.call(method, **arguments)
    await proc.wait_until_idle(ingress.pid)
    cpu = ingress.cpu() - cpu_before
    sent = (await discovery.call("counts"))["sent"] - sent_before
    return {"cpu_ms": cpu * 1e3, "sent_b": float(sent)}


async def measure_changes(lab: Lab, rate: int) -> Figures:
    """Measures a real process under `rate` list changes per second, one backend each, evenly spaced."""
    discovery, port = await lab.start_discovery(lab.option("backends"), UNUSED_PORT)
    ingress = await lab.start_ingress(Shape(fleet_size=lab.option("fleet_size")), port, UNUSED_PORT)
    await proc.wait_until_idle(ingress.pid)
    loop = asyncio.get_running_loop()
    seconds = lab.option("seconds")
    cpu_before = ingress.cpu()
    sent_before = (await discovery.call("counts"))["sent"]
    started_at = loop.time()
    for number in range(rate * seconds):
        await asyncio.sleep(max(0.0, started_at + number / rate - loop.time()))
        await discovery.call("change")
    await asyncio.sleep(max(0.0, started_at + seconds - loop.time()))
    await proc.wait_until_idle(ingress.pid)
    duration = loop.time() - started_at
    sent = (await discovery.call("counts"))["sent"] - sent_before
    rss, _ = proc.memory(ingress.pid)
    return {
        "cpu_ms_per_s": (ingress.cpu() - cpu_before) / seconds * 1e3,
        "received_b_per_s": sent / seconds,
        "took_s": duration,
        "rss_mb": rss,
    }


LARGE_FLEET = {"fleet_size": 7100.0}
EXPERIMENTS = (
    Experiment(
        "list-module", "backends", "the endpoint list in the policy alone", measure_policy, LARGE_FLEET
    ),
    Experiment(
        "list-process",
        "backends",
        "the endpoint list in a real process, received by its watch",
        measure_process,
        LARGE_FLEET,
    ),
    Experiment(
        "change-rate",
        "changes a second",
        "a real process under changes of the endpoint list",
        measure_changes,
        LARGE_FLEET | {"backends": 2000, "seconds": 6},
    ),
)
