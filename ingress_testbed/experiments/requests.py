"""What requests cost a real process, and the connections they travel on."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from ingress_testbed import proc
from ingress_testbed.experiments.base import Experiment, Figures
from ingress_testbed.lab import Lab
from ingress_testbed.model import Shape
from ingress_testbed.real import IngressProcess
from ingress_testbed.worker import Worker

WARM_UP = 3.0  # s of requests before the figures count
DIRECT_TIME = 2.0  # s of requests straight to a backend


async def request_rate(lab: Lab, size: int) -> Figures:
    """Plays `size` requests a second."""
    return await _play(lab, size, lab.option("backends"))


async def reuse(lab: Lab, size: int) -> Figures:
    """Plays requests to `size` backends."""
    return await _play(lab, lab.option("rate"), size)


@dataclass(frozen=True, slots=True)
class _Usage:
    """What had been used and counted at a moment.

    Attributes:
        at: Seconds of the loop's clock.
        cpu: Seconds of the ingress's CPU.
        backends: The backends' counts.
        counter: The counter's counts.
    """

    at: float
    cpu: float
    backends: dict[str, int]
    counter: dict[str, int]


async def _play(lab: Lab, rate: int, backend_count: int) -> Figures:
    """Plays open-loop clients through a real process to backends that answer at once.

    Then it plays the same straight to a backend, for the latency that the ingress adds (wall time: it suffers
    from what else runs).
    """
    backends, backends_port = await lab.backends()
    _, discovery_port = await lab.discovery(backend_count, backends_port)
    counter, counter_port = await lab.counter()
    ingress = await lab.ingress(Shape(fleet_size=lab.option("fleet_size")), discovery_port, counter_port)
    await proc.wait_until_idle(ingress.pid, timeout=2.0)
    clients = await lab.worker("ingress_testbed.load:LoadHost")
    load = {"rate": rate, "customers": lab.option("customers"), "spread": lab.option("spread")}
    await clients.call("run", port=ingress.port, seconds=WARM_UP, seed=lab.seed, **load)
    idle_cpu = await _idle_cpu(ingress)
    before = await _usage(ingress, backends, counter)
    seconds = lab.option("seconds")
    played = await clients.call("run", port=ingress.port, seconds=seconds, seed=lab.seed + 1, **load)
    after = await _usage(ingress, backends, counter)
    direct = await clients.call("run", port=backends_port, seconds=DIRECT_TIME, seed=lab.seed + 2, **load)
    rss, _ = proc.memory(ingress.pid)
    return _figures(before, after, idle_cpu, played, direct) | {"rss_mb": rss}


async def _idle_cpu(ingress: IngressProcess) -> float:
    """Returns the seconds of CPU a second without requests."""
    before = ingress.cpu()
    await asyncio.sleep(1.0)
    return ingress.cpu() - before


async def _usage(ingress: IngressProcess, backends: Worker, counter: Worker) -> _Usage:
    at = asyncio.get_running_loop().time()
    cpu = ingress.cpu()
    return _Usage(at, cpu, await backends.call("counts"), await counter.call("counts"))


def _figures(
    before: _Usage, after: _Usage, idle_cpu: float, played: dict[str, Any], direct: dict[str, Any]
) -> Figures:
    sent = played["sent_n"]
    seconds = after.at - before.at
    cpu = after.cpu - before.cpu - idle_cpu * seconds
    counter_calls = after.counter["adds"] - before.counter["adds"]
    counter_bytes = after.counter["received"] - before.counter["received"]
    served = max(1, after.backends["served"] - before.backends["served"])
    opened = after.backends["opened"] - before.backends["opened"]
    return {
        "cpu_request_us": cpu / sent * 1e6,
        "cpu_idle_ms_per_s": idle_cpu * 1e3,
        "added_p50_ms": played["p50_ms"] - direct["p50_ms"],
        "added_p99_ms": played["p99_ms"] - direct["p99_ms"],
        "direct_p99_ms": direct["p99_ms"],
        "served_part": played["served_n"] / sent,
        "refused_part": played["refused_n"] / sent,
        "unanswered_n": played["unanswered_n"],
        "counter_calls_per_request_n": counter_calls / sent,
        "counter_calls_per_s_n": counter_calls / seconds,
        "counter_b_per_s": counter_bytes / seconds,
        "new_connections_part": opened / served,
        "connections_open_n": float(after.backends["open"]),
        "most_at_a_backend_n": float(after.backends["max_open"]),
    }


REQUEST_OPTIONS = {"fleet_size": 7100.0, "seconds": 10.0, "customers": 500.0, "spread": 4.0}
EXPERIMENTS = (
    Experiment(
        "request-rate",
        "requests a second",
        "a real process under requests",
        request_rate,
        REQUEST_OPTIONS | {"backends": 96},
    ),
    Experiment(
        "reuse",
        "backends",
        "connections to backends, by the list's size",
        reuse,
        REQUEST_OPTIONS | {"rate": 200},
    ),
)
