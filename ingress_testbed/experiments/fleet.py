"""What a fleet costs those it leans on: hollow ingresses beside two real ones."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any

from ingress_testbed import proc
from ingress_testbed.experiments.base import NOWHERE, Experiment, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import HOST, OUTAGE, Shape
from ingress_testbed.worker import Worker

REAL = 2
CROWD = 100  # hollow ones to a process
PACE = 0.01  # s between their starts
GAP = 0.1  # s between changes


class Fleet:
    """All processes of one play."""

    def __init__(self, lab: Lab, size: int) -> None:
        self.lab, self.size = lab, size
        self.crowds: list[Worker] = []

    async def start(self) -> None:
        lab, whole = self.lab, self.size + REAL
        self.discovery, port = await lab.discovery(lab.option("backends"), NOWHERE)
        self.empty_mb = proc.memory(self.discovery.pid)[0]
        self.counter, counting = await lab.counter()
        shapes = [Shape(fleet_size=whole, me=self.size + n) for n in range(REAL)]
        self.real = [await lab.ingress(shape, port, counting) for shape in shapes]
        for _ in range(0, self.size, CROWD):
            self.crowds.append(await lab.worker("ingress_testbed.hollow:HollowFleet"))
        starts = [
            crowd.call(
                "start",
                first=n * CROWD,
                count=min(CROWD, self.size - n * CROWD),
                fleet_size=whole,
                discovery=[HOST, port],
                counter=counting,
                pace=PACE,
            )
            for n, crowd in enumerate(self.crowds)
        ]
        before, told = proc.cpu(self.discovery.pid), await self.discovery.call("counts")
        await asyncio.gather(*starts)
        if not await self.until(lambda told: told["watches"] >= whole):
            raise RuntimeError("not every ingress came to watch")
        now = await self.discovery.call("counts")
        self.cpu_starts = proc.cpu(self.discovery.pid) - before
        self.bytes_starts = now["sent"] - told["sent"]

    async def until(self, holds: Callable[[dict[str, Any]], bool], longest: float = 60.0) -> bool:
        loop = asyncio.get_running_loop()
        end = loop.time() + longest
        while not holds(await self.discovery.call("counts")):
            if loop.time() > end:
                return False
            await asyncio.sleep(0.1)
        return True

    async def in_force(self, version: int, since: float, longest: float = 30.0) -> list[float]:
        """S from `since` until that version was in force at each hollow one that has it within `longest`."""
        end = time.monotonic() + longest
        while True:
            told = [t for crowd in self.crowds for t in await crowd.call("in_force", version=version)]
            if len(told) >= self.size or time.monotonic() > end:
                return sorted(t - since for t in told)
            await asyncio.sleep(0.1)


async def fan_out(lab: Lab, size: int) -> Figures:
    fleet = Fleet(lab, size)
    await fleet.start()
    whole = size + REAL
    await asyncio.sleep(1.0)
    told, pids = await fleet.discovery.call("counts"), {"d": fleet.discovery.pid, "c": fleet.counter.pid}
    counted = await fleet.counter.call("counts")
    before = {name: proc.cpu(pid) for name, pid in pids.items()}
    idle = lab.options["idle"]
    await asyncio.sleep(idle)
    beats, pings = (proc.cpu(pids[n]) - before[n] for n in "dc")
    pinged = (await fleet.counter.call("counts"))["pings"] - counted["pings"]
    figures = {
        "discovery_cpu_idle_ms_per_s": beats / idle * 1e3,
        "counter_cpu_idle_ms_per_s": pings / idle * 1e3,
        "counter_pings_per_s_n": pinged / idle,
        "counter_connections_n": float(counted["connections"]),
        "discovery_mb": proc.memory(fleet.discovery.pid)[0] - fleet.empty_mb,
        "watches_n": float(told["watches"]),
        "discovery_cpu_starts_ms": fleet.cpu_starts * 1e3,
        "discovery_starts_b": float(fleet.bytes_starts),
    }
    figures |= await _changes(fleet, beats / idle)
    figures |= await _zone(fleet)
    figures |= await _calls(fleet, pings / idle, whole)
    crowds = [proc.memory(crowd.pid)[0] for crowd in fleet.crowds]
    return figures | {"hollow_mb_each": sum(crowds) / size}


async def _changes(fleet: Fleet, beats: float) -> Figures:
    """One backend a line, a line after another."""
    lines, times, told = fleet.lab.option("lines"), [], await fleet.discovery.call("counts")
    before, real = proc.cpu(fleet.discovery.pid), sum(r.cpu() for r in fleet.real)
    began = time.monotonic()
    versions = []
    for _ in range(lines):
        since = time.monotonic()
        versions.append((await fleet.discovery.call("change"), since))
        await asyncio.sleep(GAP)
    passed = time.monotonic() - began
    await asyncio.sleep(1.0)
    spent = proc.cpu(fleet.discovery.pid) - before - beats * (passed + 1.0)
    real = sum(r.cpu() for r in fleet.real) - real
    for version, since in versions:
        times += await fleet.in_force(version, since)
    now = await fleet.discovery.call("counts")
    times.sort()
    return {
        "discovery_cpu_change_us": spent / lines * 1e6,
        "discovery_change_b": (now["sent"] - told["sent"]) / lines,
        "real_cpu_change_us": real / REAL / lines * 1e6,
        "in_force_part": len(times) / (lines * fleet.size),
        "in_force_p50_ms": times[len(times) // 2] * 1e3,
        "in_force_p99_ms": times[len(times) * 99 // 100] * 1e3,
        "in_force_max_ms": times[-1] * 1e3,
    }


async def _zone(fleet: Fleet) -> Figures:
    before, since = proc.cpu(fleet.discovery.pid), time.monotonic()
    version = await fleet.discovery.call("remove", fraction=OUTAGE)
    times = await fleet.in_force(version, since)
    return {
        "discovery_cpu_zone_ms": (proc.cpu(fleet.discovery.pid) - before) * 1e3,
        "zone_in_force_max_ms": times[-1] * 1e3,
        "zone_in_force_part": len(times) / fleet.size,
    }


async def _calls(fleet: Fleet, pings: float, whole: int) -> Figures:
    """Requests at each hollow one; how often it calls the counter is the module's own pacing."""
    lab, seconds = fleet.lab, fleet.lab.options["seconds"]
    was, before, began = await fleet.counter.call("counts"), proc.cpu(fleet.counter.pid), time.monotonic()
    much = {"rate": lab.option("rate"), "seconds": seconds}
    spread = min(lab.option("spread"), whole)
    asks = [
        c.call("requests", customers=lab.option("customers"), spread=spread, **much) for c in fleet.crowds
    ]
    got = await asyncio.gather(*asks)
    passed = time.monotonic() - began
    now = await fleet.counter.call("counts")
    calls = now["adds"] - was["adds"]
    served, refused = (sum(g[n] for g in got) for n in ("served", "refused"))
    spent = proc.cpu(fleet.counter.pid) - before - pings * passed
    return {
        "counter_calls_per_s_n": calls / seconds,
        "counter_cpu_call_us": spent / max(1, calls) * 1e6,
        "counter_calls_per_request_n": calls / max(1, served + refused),
        "counter_names_n": float(now["names"]),
        "hollow_served_part": served / max(1, served + refused),
        "counter_mb": proc.memory(fleet.counter.pid)[0],
    }


async def reconnect(lab: Lab, size: int) -> Figures:
    """All watches end at once, and discovery answers only so many calls a second: until all watch again."""
    fleet = Fleet(lab, size)
    await fleet.start()
    whole = size + REAL
    was = await fleet.discovery.call("counts")
    await fleet.discovery.call("set_capacity", capacity=lab.option("capacity"))
    before, since = proc.cpu(fleet.discovery.pid), time.monotonic()
    version = await fleet.discovery.call("change")
    await fleet.discovery.call("abort_watches")
    await fleet.discovery.call("change")
    back = await fleet.until(lambda told: told["watches"] >= whole, longest=lab.option("longest"))
    passed = time.monotonic() - since
    now = await fleet.discovery.call("counts")
    times = await fleet.in_force(version + 1, since, longest=1.0)
    return {
        "back_s": passed,
        "back_n": float(back),
        "calls_each_n": (now["calls"] - was["calls"]) / whole,
        "turned_away_n": float(now["rejected"] - was["rejected"]),
        "lists_n": float(now["lists"] - was["lists"]),
        "discovery_cpu_ms": (proc.cpu(fleet.discovery.pid) - before) * 1e3,
        "sent_b": float(now["sent"] - was["sent"]),
        "in_force_p50_s": times[len(times) // 2] if times else 0.0,
        "in_force_max_s": times[-1] if times else 0.0,
        "in_force_part": len(times) / size,
    }


EXPERIMENTS = (
    Experiment(
        "fleet",
        "hollow ingresses",
        "what a fleet costs discovery and the counter",
        fan_out,
        {"backends": 400, "rate": 5, "customers": 2000, "spread": 20, "idle": 4, "lines": 40, "seconds": 8},
    ),
    Experiment(
        "reconnect",
        "hollow ingresses",
        "every watch cut at once before a discovery of fixed capacity",
        reconnect,
        {"backends": 400, "capacity": 100, "longest": 120},
    ),
)
