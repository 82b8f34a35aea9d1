"""What a whole fleet lets in of its customers' quotas, and beyond them, by what the counter can answer."""

from __future__ import annotations

from ingress_testbed.experiments.base import Experiment, Figures
from ingress_testbed.lab import Lab


async def quotas(lab: Lab, size: int) -> Figures:
    """`size`: calls a second that the counter can answer."""
    worker = await lab.worker("ingress_testbed.quota_day:Host")
    sizes = {"fleet_size": lab.option("fleet_size"), "seconds": lab.option("seconds")}
    told: Figures = await worker.call("play", calls_per_s=size, seed=lab.seed, **sizes)
    return told


EXPERIMENTS = (
    Experiment(
        "quotas",
        "calls a second that the counter can answer",
        "quotas of a fleet, in simulated time",
        quotas,
        {"fleet_size": 200.0, "seconds": 20.0},
    ),
)
