"""The experiments: each plays one size once and returns its figures by name (units: fleetlab/results.py)."""

from __future__ import annotations

from fleetlab.experiments import fleet, lists, requests, tables
from fleetlab.experiments.base import Experiment

ALL: dict[str, Experiment] = {
    e.name: e for e in (*lists.EXPERIMENTS, *tables.EXPERIMENTS, *requests.EXPERIMENTS, *fleet.EXPERIMENTS)
}
