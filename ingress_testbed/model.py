"""What a run is made of: settings, lists of backends and configurations, each drawn from a seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

HOST = "127.0.0.1"
ZONES = 27
OUTAGE = 0.037  # of a list: what a lost zone takes
BASE_SETTINGS: dict[str, Any] = {
    "me": 0,
    "fleet_size": 1,
    "period": 1000,
    "failure_domains": [f"z{n}" for n in range(ZONES)],
    "flavors": ["m2"],
    "ceilings": {
        "max_attempts": 3,
        "cancel": True,
        "connect_timeout": 250_000,
        "retry_after": True,
        "conn_idle": 10_000_000,
        "max_retry_after": 500_000,
        "max_open": 0,
    },
    "safety": {
        "answer_slack": 8000,
        "drain_grace": 250_000,
        "cold_share": 0.2,
        "ramp_time": 10_000_000,
        "tip_multiple": 2.0,
        "fall": 1_000_000,
    },
    "domain": {"may_count": True, "count_wait": 30_000, "units_top": 4},
}


@dataclass(frozen=True, slots=True)
class Shape:
    """The sizes that a configuration is made for.

    `classes` stand in for routes (the program has no others), `plans` for the tenants that the settings hold.
    """

    fleet_size: int = 1
    me: int = 0
    classes: int = 3
    plans: int = 4

    def settings(self) -> dict[str, Any]:
        """The settings as an ingress gets them (JSON), times in microseconds."""
        services = [
            {"name": f"route-{n}", "on_time": 1_000_000, "deadline": 4_000_000, "semantics": "retryable"}
            for n in range(self.classes)
        ]
        plans = [{"name": f"plan-{n}", "quota_rate": 50.0, "burst": 100.0} for n in range(self.plans)]
        sizes = {"me": self.me, "fleet_size": self.fleet_size, "services": services, "contracts": plans}
        return BASE_SETTINGS | sizes


def address(number: int, port: int) -> str:
    """An address of loopback's own 16 million, the same for the same number: many backends on one socket."""
    return f"127.{1 + (number >> 16 & 127)}.{number >> 8 & 255}.{number & 255}:{port}"


def entry(number: int, port: int, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
    """A backend as the protocol's list has it."""
    return {
        "name": f"s-{number:08x}",
        "address": address(number, port),
        "zone": f"z{number % ZONES}",
        "type": "m2",
        "group": number % 8,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def restarts(rng: random.Random, backends: int, count: int, port: int) -> list[dict[str, Any]]:
    """`count` different backends, drawn, each up anew since a drawn moment."""
    numbers = rng.sample(range(backends), min(count, backends))
    return [entry(n, port, since_ms=rng.randrange(1, 10**9)) for n in numbers]


def configuration(
    shape: Shape, discovery: str, counter: str, known: Sequence[dict[str, Any]] = (), index: int = 0
) -> dict[str, Any]:
    """A configuration file's content; `known` is the list as last held, version `index`."""
    return {
        "name": f"n{shape.me}",
        "listen": f"{HOST}:0",
        "discovery": discovery,
        "counter": counter,
        "seed": f"{shape.me + 1:x}",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "known": {"index": index, "snapshot": True, "endpoints": list(known)},
        "settings": shape.settings(),
    }
