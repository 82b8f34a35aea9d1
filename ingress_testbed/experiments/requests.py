"""What requests cost a real process, and the connections they travel on."""

from __future__ import annotations

import asyncio

from ingress_testbed import proc
from ingress_testbed.experiments.base import Experiment, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import Shape

WARM = 3.0  # s of requests before the figures count


async def rate(lab: Lab, size: int) -> Figures:
    return await _played(lab, size, lab.option("backends"))


async def reuse(lab: Lab, size: int) -> Figures:
    return await _played(lab, lab.option("rate"), size)


async def _played(lab: Lab, rate: int, backends: int) -> Figures:
    """Open-loop clients through a real process to backends that answer at once; then the same straight to a
    backend, for the latency that the ingress adds (wall time: it suffers from what else runs).
    """
    servers, at = await lab.backends()
    _, port = await lab.discovery(backends, at)
    counter, counting = await lab.counter()
    shape = Shape(fleet_size=lab.option("fleet_size"))
    ingress = await lab.ingress(shape, port, counting)
    await proc.rest(ingress.pid, longest=2.0)
    clients = await lab.worker("ingress_testbed.load:LoadHost")
    much = {"rate": rate, "customers": lab.option("customers"), "spread": lab.option("spread")}
    await clients.call("run", port=ingress.port, seconds=WARM, seed=lab.seed, **much)
    idle = ingress.cpu()
    await asyncio.sleep(1.0)
    idle = ingress.cpu() - idle
    before, was, counted = ingress.cpu(), await servers.call("counts"), await counter.call("counts")
    began, seconds = asyncio.get_running_loop().time(), lab.option("seconds")
    told = await clients.call("run", port=ingress.port, seconds=seconds, seed=lab.seed + 1, **much)
    passed = asyncio.get_running_loop().time() - began
    spent = ingress.cpu() - before - idle * passed
    now, count = await servers.call("counts"), await counter.call("counts")
    direct = await clients.call("run", port=at, seconds=2.0, seed=lab.seed + 2, **much)
    sent, rss = told["sent_n"], proc.memory(ingress.pid)[0]
    reached = max(1, now["served"] - was["served"])
    return {
        "cpu_request_us": spent / sent * 1e6,
        "cpu_idle_ms_per_s": idle * 1e3,
        "added_p50_ms": told["p50_ms"] - direct["p50_ms"],
        "added_p99_ms": told["p99_ms"] - direct["p99_ms"],
        "direct_p99_ms": direct["p99_ms"],
        "served_part": told["served_n"] / sent,
        "refused_part": told["refused_n"] / sent,
        "unanswered_n": told["unanswered_n"],
        "counter_calls_per_request_n": (count["adds"] - counted["adds"]) / sent,
        "counter_calls_per_s_n": (count["adds"] - counted["adds"]) / passed,
        "counter_b_per_s": (count["received"] - counted["received"]) / passed,
        "new_connections_part": (now["opened"] - was["opened"]) / reached,
        "connections_open_n": float(now["open"]),
        "most_at_a_backend_n": float(now["max_open"]),
        "rss_mb": rss,
    }


USUAL = {"fleet_size": 7100.0, "seconds": 10.0, "customers": 500.0, "spread": 4.0}
EXPERIMENTS = (
    Experiment(
        "request-rate", "requests a second", "a real process under requests", rate, USUAL | {"backends": 96}
    ),
    Experiment(
        "reuse", "backends", "connections to backends, by the list's size", reuse, USUAL | {"rate": 200}
    ),
)
