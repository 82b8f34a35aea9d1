"""The state that a gateway keeps for one endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.endpoint_list import ListedEndpoint


@dataclass(slots=True)
class Endpoint:
    """One endpoint of the gateway's candidate subset: its list entry and its statistics."""

    entry: ListedEndpoint
    concurrency_limit: float = 0.0  # attempts in flight at once; 0: not yet set
    slowdown_by_class: list[float] = field(default_factory=list)  # latency over baseline, at last_outcome_at
    in_flight: int = 0  # attempts of this gateway
    last_outcome_at: int = 0  # us; when slowdown_by_class was last updated
    slow_start_credit: float = 0.0  # fraction of a request accumulated during slow start; due at 1
    reported_load: float = 0.0  # from the last load report
    reported_at: int = -SECOND  # us
