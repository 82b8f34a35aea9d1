"""The troubles of a run: drawn from its seed, and spread so that two or three overlap at most moments."""

from __future__ import annotations

import random

from ingress_testbed.soak.records import Trouble

QUIET = 2.0  # s at the beginning, and ...
END = 4.0  # ... at the end, without new ones
# By kind: how often it is drawn, and how long it lasts at the shortest and at the longest (s; 0: a moment).
KINDS: dict[str, tuple[float, float, float]] = {
    "stop node": (4, 0, 0),
    "kill node": (3, 0, 0),
    "upgrade node": (2, 0, 0),
    "failed upgrade": (1, 0, 0),
    "reload": (3, 0, 0),
    "reload twice": (2, 0, 0),
    "hold node up": (6, 0.05, 0.15),
    "crowd": (2, 1, 3),
    "discovery silent": (2, 1, 5),
    "discovery cut": (2, 0, 0),
    "discovery turns away": (2, 1, 3),
    "counter silent": (2, 1, 3),
    "counter cut": (1, 0, 0),
    "counter spoilt": (2, 0.5, 2),
    "drain node": (2, 0.3, 2),
    "clients leave": (3, 0, 0),
    "drain backends": (5, 0, 0),
    "remove backends": (3, 0, 0),
    "restart backends": (4, 0.2, 1.5),
    "backend down": (3, 0.5, 3),
    "backend hang": (3, 0.5, 3),
    "backend reset": (2, 0.5, 3),
    "backend broken": (2, 0.5, 3),
    "backend error": (1, 0.5, 2),
    "backend full": (2, 0.5, 2),
    "backend garbage": (1, 0.5, 2),
    "backend slow": (2, 0.5, 3),
    "backend twice": (2, 0.5, 3),
    "backend no length": (2, 0.5, 3),
    "backend no length reset": (1, 0.5, 3),
    "system calls": (5, 0.5, 3),
    "wall clock": (2, 0, 0),
    "ban backend": (1, 1, 4),
}


def draw(rng: random.Random, seconds: float, nodes: int, gap: float) -> list[Trouble]:
    """In the order of their beginnings. `gap`: s from one to the next, in the mean."""
    found, at = [], QUIET
    names, weights = list(KINDS), [weight for weight, _, _ in KINDS.values()]
    while at < seconds - END:
        (kind,) = rng.choices(names, weights)
        _, shortest, longest = KINDS[kind]
        found.append(Trouble(at, kind, rng.randrange(nodes), rng.uniform(shortest, longest)))
        at += rng.expovariate(1 / gap)
    return found
