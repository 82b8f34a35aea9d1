"""What an experiment is."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from ingress_testbed.lab import Lab

UNUSED_PORT = 1  # nothing listens on it
PROBE = "ingress_testbed.probe:Probe"
Figures = dict[str, float]  # by name; the unit is in the name's last word, see `results`


class ExperimentError(RuntimeError):
    """An ingress did not do what the experiment measures."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment that is played at several sizes.

    Attributes:
        name: Its name on the command line.
        size_name: What its sizes count.
        about: What it measures, in a few words.
        play: Plays one size once.
        options: Its other settings and their defaults.
    """

    name: str
    size_name: str
    about: str
    play: Callable[[Lab, int], Awaitable[Figures]]
    options: Mapping[str, float] = field(default_factory=dict)
