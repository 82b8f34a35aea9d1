"""Experiments on the cost of requests in a real process, and on its connections to backends."""

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

WARM_UP = 3.0  # s of requests before the measurement
DIRECT_TIME = 2.0  # s of requests sent to a backend without the ingress


async def measure_request_rate(lab: Lab, size: int) -> Figures:
    """Measures `size` requests per second."""
    return await _play(lab, size, lab.option("backends"))


async def measure_reuse(lab: Lab, size: int) -> Figures:
    """Measures requests to `size` backends."""
    return await _play(lab, lab.option("rate"), size)


@dataclass(frozen=True, slots=True)
class _Usage:
    """Totals of CPU use and of the hosts' counts at one time.

    Attributes:
        at: When they were read, in seconds of the loop's clock.
        cpu: Seconds of CPU that the ingress has used.
        backends: Counts of the backends.
        counter: Counts of the counter.
    """

    at: float
    cpu: float
    backends: dict[str, int]
    counter: dict[str, int]


async def _play(lab: Lab, rate: int, backend_count: int) -> Figures:
    """Measures open-loop clients that send through a real process to backends that answer at once.

    The same load is then sent directly to a backend. The difference is the latency that the ingress adds; it
    is wall time and depends on the machine's load.
    """
    backends, backends_port = await lab.start_backends()
    _, discovery_port = await lab.start_discovery(backend_count, backends_port)
    counter, counter_port = await lab.start_counter()
    ingress = await lab.start_ingress(
        Shape(fleet_size=lab.option("fleet_size")), discovery_port, counter_port
    )
    await proc.wait_until_idle(ingress.pid, timeout=2.0)
    clients = await lab.start_worker("ingress_testbed.load:LoadHost")
    load_options = {"rate": rate, "customers": lab.option("customers"), "spread": lab.option("spread")}
    await clients.call("run", port=ingress.port, seconds=WARM_UP, seed=lab.seed, **load_options)
    idle_cpu = await _idle_cpu(ingress)
    before = await _usage(ingress, backends, counter)
    seconds = lab.option("seconds")
    through_ingress = await clients.call(
        "run", port=ingress.port, seconds=seconds, seed=lab.seed + 1, **load_options
    )
    after = await _usage(ingress, backends, counter)
    direct = await clients.call(
        "run", port=backends_port, seconds=DIRECT_TIME, seed=lab.seed + 2, **load_options
    )
    rss, _ = proc.memory(ingress.pid)
    return _figures(before, after, idle_cpu, through_ingress, direct) | {"rss_mb": rss}


async def _idle_cpu(ingress: IngressProcess) -> float:
    """Returns the seconds of CPU that the ingress uses per second without requests."""
    before = ingress.cpu()
    await asyncio.sleep(1.0)
    return ingress.cpu() - before


async def _usage(ingress: IngressProcess, backends: Worker, counter: Worker) -> _Usage:
    at = asyncio.get_running_loop().time()
    cpu = ingress.cpu()
    return _Usage(at, cpu, await backends.call("counts"), await counter.call("counts"))


def _figures(
    before: _Usage, after: _Usage, idle_cpu: float, through_ingress: dict[str, Any], direct: dict[str, Any]
) -> Figures:
    sent = through_ingress["sent_n"]
    seconds = after.at - before.at
    cpu = after.cpu - before.cpu - idle_cpu * seconds
    counter_calls = after.counter["adds"] - before.counter["adds"]
    counter_bytes = after.counter["received"] - before.counter["received"]
    served = max(1, after.backends["served"] - before.backends["served"])
    opened = after.backends["opened"] - before.backends["opened"]
    return {
        "cpu_request_us": cpu / sent * 1e6,
        "cpu_idle_ms_per_s": idle_cpu * 1e3,
        "added_p50_ms": through_ingress["p50_ms"] - direct["p50_ms"],
        "added_p99_ms": through_ingress["p99_ms"] - direct["p99_ms"],
        "direct_p99_ms": direct["p99_ms"],
        "served_part": through_ingress["served_n"] / sent,
        "refused_part": through_ingress["refused_n"] / sent,
        "unanswered_n": through_ingress["unanswered_n"],
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
        "the cost of requests in a real process",
        measure_request_rate,
        REQUEST_OPTIONS | {"backends": 96},
    ),
    Experiment(
        "reuse",
        "backends",
        "reuse of connections to backends, by the number of backends",
        measure_reuse,
        REQUEST_OPTIONS | {"rate": 200},
    ),
)
