"""Builders of settings, endpoint list entries and configurations for experiments."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

HOST = "127.0.0.1"
ZONES = 27
ZONE_FRACTION = 0.037  # fraction of the endpoint list that the loss of one of 27 zones removes
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
    """The sizes of a gateway's settings.

    Attributes:
        fleet_size: Gateways in the fleet.
        gateway_index: Number of this gateway in the fleet.
        classes: Number of request classes, which stand in for routes: the ingress has no other routes.
        plans: Number of plans, which stand in for the tenants in the settings.
    """

    fleet_size: int = 1
    gateway_index: int = 0
    classes: int = 3
    plans: int = 4

    def settings(self) -> dict[str, Any]:
        """Returns the settings as a JSON object, with times in microseconds."""
        services = [
            {"name": f"route-{n}", "on_time": 1_000_000, "deadline": 4_000_000, "semantics": "retryable"}
            for n in range(self.classes)
        ]
        plans = [{"name": f"plan-{n}", "quota_rate": 50.0, "burst": 100.0} for n in range(self.plans)]
        sizes = {
            "me": self.gateway_index,
            "fleet_size": self.fleet_size,
            "services": services,
            "contracts": plans,
        }
        return BASE_SETTINGS | sizes


def address(number: int, port: int) -> str:
    """Returns backend `number`'s address, one of loopback's 16 million, so that one socket serves many."""
    return f"127.{1 + (number >> 16 & 127)}.{number >> 8 & 255}.{number & 255}:{port}"


def entry(number: int, port: int, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
    """Returns backend `number` as an entry of discovery's endpoint list (JSON object)."""
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


def draw_restarts(rng: random.Random, backends: int, count: int, port: int) -> list[dict[str, Any]]:
    """Returns list entries of `count` random backends (or all, if fewer) with a new random start time."""
    numbers = rng.sample(range(backends), min(count, backends))
    return [entry(n, port, since_ms=rng.randrange(1, 10**9)) for n in numbers]


def configuration(
    shape: Shape, discovery: str, counter: str, endpoints: Sequence[dict[str, Any]] = (), version: int = 0
) -> dict[str, Any]:
    """Returns the content of a configuration file.

    Args:
        shape: The sizes of the settings.
        discovery: Address of discovery, HOST:PORT.
        counter: Address of the counter, HOST:PORT.
        endpoints: The endpoint list that the ingress starts with.
        version: The version of that list.
    """
    return {
        "name": f"n{shape.gateway_index}",
        "listen": f"{HOST}:0",
        "discovery": discovery,
        "counter": counter,
        "seed": f"{shape.gateway_index + 1:x}",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "known": {"index": version, "snapshot": True, "endpoints": list(endpoints)},
        "settings": shape.settings(),
    }
