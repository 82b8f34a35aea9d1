"""An experiment on the requests that a fleet admits within and beyond quotas, by the counter's capacity."""

from __future__ import annotations

from ingress_testbed.experiments.base import Experiment, Figures
from ingress_testbed.lab import Lab


async def measure_quotas(lab: Lab, size: int) -> Figures:
    """Simulates a fleet's day; `size` is the counter's capacity in calls per second."""
    worker = await lab.start_worker("ingress_testbed.quota_day:Host")
    figures: Figures = await worker.call(
        "play",
        calls_per_s=size,
        seed=lab.seed,
        fleet_size=lab.option("fleet_size"),
        seconds=lab.option("seconds"),
    )
    return figures


EXPERIMENTS = (
    Experiment(
        "quotas",
        "calls a second that the counter can answer",
        "admission within and beyond a fleet's quotas, in simulated time",
        measure_quotas,
        {"fleet_size": 200.0, "seconds": 20.0},
    ),
)
