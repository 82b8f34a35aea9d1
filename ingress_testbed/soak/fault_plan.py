"""The faults of a run, drawn from its seed.

They start at random times; with the default mean gap of 0.3 s, two or more are active most of the time.
"""

from __future__ import annotations

import random
from typing import NamedTuple

from ingress_testbed.soak.records import Fault

FIRST_FAULT_AT = 2.0  # s from the start of the run
NO_NEW_FAULTS_AT_END = 4.0  # s at the end of the run in which no fault starts


class FaultKind(NamedTuple):
    """How often a kind of fault is drawn, and how long it lasts."""

    weight: float
    shortest: float  # s; 0: the fault has no duration
    longest: float  # s


KINDS: dict[str, FaultKind] = {
    "stop node": FaultKind(4, 0, 0),
    "kill node": FaultKind(3, 0, 0),
    "upgrade node": FaultKind(2, 0, 0),
    "failed upgrade": FaultKind(1, 0, 0),
    "reload": FaultKind(3, 0, 0),
    "reload twice": FaultKind(2, 0, 0),
    "hold node up": FaultKind(6, 0.05, 0.15),  # the process is suspended
    "crowd": FaultKind(2, 1, 3),  # idle client connections take up the node's descriptors
    "discovery silent": FaultKind(2, 1, 5),
    "discovery cut": FaultKind(2, 0, 0),
    "discovery turns away": FaultKind(2, 1, 3),  # watches are aborted, and calls are rejected
    "counter silent": FaultKind(2, 1, 3),
    "counter cut": FaultKind(1, 0, 0),
    "counter spoilt": FaultKind(2, 0.5, 2),  # some answers are malformed
    "drain node": FaultKind(2, 0.3, 2),
    "clients leave": FaultKind(3, 0, 0),  # clients that wait for an answer disconnect
    "drain backends": FaultKind(5, 0, 0),
    "remove backends": FaultKind(3, 0, 0),
    "restart backends": FaultKind(4, 0.2, 1.5),  # duration: the delay until discovery lists the restart
    "backend down": FaultKind(3, 0.5, 3),
    "backend hang": FaultKind(3, 0.5, 3),
    "backend reset": FaultKind(2, 0.5, 3),
    "backend broken": FaultKind(2, 0.5, 3),  # responses are truncated in the body
    "backend error": FaultKind(1, 0.5, 2),
    "backend full": FaultKind(2, 0.5, 2),  # requests are rejected without being run
    "backend garbage": FaultKind(1, 0.5, 2),
    "backend slow": FaultKind(2, 0.5, 3),
    "backend twice": FaultKind(2, 0.5, 3),  # responses are sent twice
    "backend no length": FaultKind(2, 0.5, 3),
    "backend no length reset": FaultKind(1, 0.5, 3),
    "system calls": FaultKind(5, 0.5, 3),
    "wall clock": FaultKind(2, 0, 0),
    "ban backend": FaultKind(1, 1, 4),
}


def draw_faults(rng: random.Random, seconds: float, nodes: int, gap: float) -> list[Fault]:
    """Returns the faults of a run, ordered by their start.

    Args:
        rng: The source of the draws. If their order changes, the same seed gives other faults.
        seconds: Time in s from the start of the run for which clients are started.
        nodes: Number of nodes (ingresses); each fault's target is one of them.
        gap: Mean time in s from the start of one fault to the next.
    """
    faults = []
    names = list(KINDS)
    weights = [kind.weight for kind in KINDS.values()]
    at = FIRST_FAULT_AT
    while at < seconds - NO_NEW_FAULTS_AT_END:
        (name,) = rng.choices(names, weights)
        kind = KINDS[name]
        faults.append(Fault(at, name, rng.randrange(nodes), rng.uniform(kind.shortest, kind.longest)))
        at += rng.expovariate(1 / gap)
    return faults
