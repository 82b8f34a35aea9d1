"""The experiments: each plays one size once and returns its figures by name (units: fleetlab/results.py)."""

from __future__ import annotations

from fleetlab.experiments import fleet, lists, quotas, requests, tables
from fleetlab.experiments.base import Experiment

PARTS = (lists, tables, requests, fleet, quotas)
ALL: dict[str, Experiment] = {e.name: e for part in PARTS for e in part.EXPERIMENTS}
