"""One play, drawn from its seed: the limits of the ingress, its classes, and the peers around it."""

from __future__ import annotations

import random
from dataclasses import dataclass
from enum import Enum
from typing import Any

IDEMPOTENT, WITH_KEY = "read", "save"
MEMORY_MB = (32, 32, 32, 48, 80, 192)  # the platform gives 32 to 192
DESCRIPTORS = (256, 512, 1024, 1024)  # the platform gives 256 to 1,024
DEADLINES_S = (0.6, 1.0, 1.5, 3.0, 6.0)
OBJECTIVE_FRACTIONS = (0.33, 0.6, 1.0)  # of the deadline
CLIENT_SHARE = 1 / 3  # of the descriptors: the connections that the platform allows for requests
BACKENDS = 12
ANSWER_SIZES = (3_000, 40_000, 60_000, 70_000, 131_000, 190_000, 1_000_000)  # bytes
LONG_ANSWER_BYTES = 64 * 1024  # of longer answers, the first bytes are timed
BODY_SIZES = (40_000, 100_000, 480_000, 1_100_000, 2_000_000, 4_000_000)  # bytes
BACKEND_READ_RATES = (64_000, 200_000, 800_000, 4_000_000)  # bytes/s
US_PER_S = 1_000_000


class Framing(Enum):
    """How a message body is delimited."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"  # by the end of the connection; responses only


class Pattern(Enum):
    """How a backend paces the body of its response."""

    AT_ONCE = "at once"
    STEADY = "steady"
    LUMPS = "lumps"
    LATE_BODY = "late body"  # the head at once, the body after a pause


@dataclass(frozen=True, slots=True)
class Answer:
    """The response that a backend is asked for."""

    size: int  # bytes
    framing: Framing
    pattern: Pattern
    seconds: float  # that the whole body takes

    @property
    def is_long(self) -> bool:
        """Whether its first bytes are timed, and not its last one."""
        return self.size > LONG_ANSWER_BYTES


@dataclass(frozen=True, slots=True)
class Upload:
    """The request body that a client writes as fast as it can, and how fast the backend reads it."""

    size: int  # bytes; 0: none
    framing: Framing
    part_bytes: int  # of one write of the client
    backend_rate: int  # bytes/s


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is drawn for one play."""

    seed: int
    memory_mb: int
    descriptors: int
    deadline_s: float
    objective_s: float
    may_hedge: bool
    slow_clients: int
    slow_kinds: tuple[str, ...]

    @classmethod
    def draw(cls, seed: int, kinds: list[str]) -> Scenario:
        """Draws a play with slow clients of some of `kinds`."""
        rng = random.Random(seed)
        descriptors = rng.choice(DESCRIPTORS)
        deadline_s = rng.choice(DEADLINES_S)
        return cls(
            seed,
            memory_mb=rng.choice(MEMORY_MB),
            descriptors=descriptors,
            deadline_s=deadline_s,
            objective_s=deadline_s * rng.choice(OBJECTIVE_FRACTIONS),
            may_hedge=rng.random() < 0.7,
            slow_clients=int(descriptors * CLIENT_SHARE * rng.choice((0.3, 0.9, 1.0, 1.3))),
            slow_kinds=tuple(rng.sample(kinds, rng.choice((1, 2, 3, len(kinds))))),
        )

    def settings(self) -> dict[str, Any]:
        """Returns the settings in the form of the simulator's first message; times in us."""
        services = [
            {
                "name": name,
                "on_time": round(self.objective_s * US_PER_S),
                "deadline": round(self.deadline_s * US_PER_S),
                "semantics": semantics,
                "memory_span": 5 * US_PER_S,
                "dedup_scope": "all",
            }
            for name, semantics in ((IDEMPOTENT, "retryable"), (WITH_KEY, "dedup"))
        ]
        return {
            "me": 0,
            "fleet_size": 1,
            "period": 1000,
            "failure_domains": ["a"],
            "flavors": ["m"],
            "services": services,
            "contracts": [{"name": "gold", "quota_rate": 10_000.0, "burst": 20_000.0}],
            "ceilings": {
                "max_attempts": 4,
                "cancel": True,
                "may_duplicate": self.may_hedge,
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
                "ramp_time": 4_000_000,
                "tip_multiple": 2.0,
                "fall": 1_000_000,
            },
            "domain": {"may_count": True, "count_wait": 30_000, "units_top": 4},
        }


def draw_answer(rng: random.Random) -> Answer:
    """Draws the response to a measured request."""
    return Answer(
        rng.choice(ANSWER_SIZES),
        rng.choice(list(Framing)),
        rng.choice(list(Pattern)),
        rng.uniform(0.1, 3.0),
    )


def draw_upload(rng: random.Random) -> Upload:
    """Draws the body of a measured request."""
    return Upload(
        rng.choice(BODY_SIZES),
        rng.choice((Framing.LENGTH, Framing.CHUNKED)),
        rng.choice((300, 4_000, 64_000)),
        rng.choice(BACKEND_READ_RATES),
    )
