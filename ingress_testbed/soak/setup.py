"""The settings of a run, drawn from its seed, in the form that an ingress reads."""

from __future__ import annotations

import hashlib
import random
from dataclasses import dataclass
from typing import Any

IDEMPOTENT, NOT_IDEMPOTENT, WITH_KEY = "read", "order", "save"
CLASSES = (IDEMPOTENT, NOT_IDEMPOTENT, WITH_KEY)
DRAIN_GRACE = 0.25  # s after which a draining backend gets no new attempts
MAX_DEADLINE = 3.0  # s
MEMORY_MB = 96  # memory limit of each ingress, in its configuration
CUSTOMERS = 4000


@dataclass(frozen=True, slots=True)
class Setup:
    """The settings that differ from run to run."""

    nodes: int
    dedup_window: float  # s in which a request with an idempotency key may be repeated
    may_hedge: bool
    may_cancel: bool
    connect_timeout: float  # s
    idle_timeout: float  # s after which a backend closes an idle connection
    sockets: int

    @classmethod
    def draw(cls, rng: random.Random, nodes: int) -> Setup:
        """Draws the settings of a run with that many nodes."""
        return cls(
            nodes,
            dedup_window=rng.choice([0.6, 1.5, 5.0]),
            may_hedge=rng.random() < 0.5,
            may_cancel=rng.random() < 0.7,
            connect_timeout=rng.choice([0.25, 0.6]),
            idle_timeout=rng.choice([1.0, 3.0, 10.0]),
            sockets=rng.choice([256, 512, 1024]),
        )

    def settings(self, gateway_index: int) -> dict[str, Any]:
        """Returns the settings of one node, in the form of the simulator's first message; times in us."""
        semantics = {IDEMPOTENT: "retryable", NOT_IDEMPOTENT: "fragile", WITH_KEY: "dedup"}
        services = [
            {
                "name": name,
                "on_time": 1_000_000,
                "deadline": round(MAX_DEADLINE * 1e6),
                "semantics": kind,
                "memory_span": round(self.dedup_window * 1e6),
                "dedup_scope": "all",
            }
            for name, kind in semantics.items()
        ]
        return {
            "me": gateway_index,
            "fleet_size": self.nodes,
            "period": 1000,
            "failure_domains": ["a"],
            "flavors": ["m"],
            "services": services,
            "contracts": [{"name": "gold", "quota_rate": 20.0, "burst": 40.0}],
            "ceilings": {
                "max_attempts": 3,
                "cancel": self.may_cancel,
                "may_duplicate": self.may_hedge,
                "connect_timeout": round(self.connect_timeout * 1e6),
                "retry_after": True,
                "conn_idle": round(self.idle_timeout * 1e6),
                "max_retry_after": 500_000,
                "max_open": 0,
            },
            "safety": {
                "answer_slack": 8000,
                "drain_grace": round(DRAIN_GRACE * 1e6),
                "cold_share": 0.2,
                "ramp_time": 4_000_000,
                "tip_multiple": 2.0,
                "fall": 1_000_000,
            },
            "domain": {"may_count": True, "count_wait": 30_000, "units_top": 4},
        }


def expected_answer(request_id: str, body: bytes, size: int) -> bytes:
    """Returns the body that backends answer a request with: from its id and body, at least `size` bytes."""
    prefix = f"{request_id}:{hashlib.sha1(body).hexdigest()}:".encode()
    return prefix + b"." * max(0, size - len(prefix))


def idempotency_key(request_id: str) -> str:
    """Returns the idempotency key that a client sends with a request."""
    return f"key-{request_id}"
