"""The definition of an experiment."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from ingress_testbed.lab import Lab

UNUSED_PORT = 1  # nothing listens on this port
PROBE = "ingress_testbed.probe:Probe"  # module and class that a worker process loads
Figures = dict[str, float]  # by name; the last word of the name is the unit, see `ingress_testbed.results`


class ExperimentError(RuntimeError):
    """An ingress did not reach the state that the experiment measures."""


@dataclass(frozen=True, slots=True)
class Experiment:
    """An experiment that is run at several sizes.

    Attributes:
        name: Its name on the command line.
        size_name: What a size is a number of, for example "classes".
        description: What it measures, in a few words.
        play: Runs one repetition at the given size and returns its figures.
        options: Its options and their default values.
    """

    name: str
    size_name: str
    description: str
    play: Callable[[Lab, int], Awaitable[Figures]]
    options: Mapping[str, float] = field(default_factory=dict)
