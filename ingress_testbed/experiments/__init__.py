"""The experiments by name: each plays one size once and returns its figures (units: see `results`)."""

from __future__ import annotations

from ingress_testbed.experiments import fleet, lists, quotas, requests, tables
from ingress_testbed.experiments.base import Experiment

MODULES = (lists, tables, requests, fleet, quotas)
ALL: dict[str, Experiment] = {
    experiment.name: experiment for module in MODULES for experiment in module.EXPERIMENTS
}
