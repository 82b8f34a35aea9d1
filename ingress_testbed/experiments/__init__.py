"""The experiments: each plays one size once and returns its figures by name (units: `results`)."""

from __future__ import annotations

from ingress_testbed.experiments import fleet, lists, quotas, requests, tables
from ingress_testbed.experiments.base import Experiment

PARTS = (lists, tables, requests, fleet, quotas)
ALL: dict[str, Experiment] = {e.name: e for part in PARTS for e in part.EXPERIMENTS}
