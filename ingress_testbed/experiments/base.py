"""What an experiment is."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from ingress_testbed.lab import Lab

NOWHERE = 1  # a port that nothing listens on
MODULE = "ingress_testbed.probe:Probe"
Figures = dict[str, float]


@dataclass(frozen=True, slots=True)
class Experiment:
    """`over` says what its sizes count; `options` are its other settings and their usual values."""

    name: str
    over: str
    about: str
    play: Callable[[Lab, int], Awaitable[Figures]]
    options: Mapping[str, float] = field(default_factory=dict)
