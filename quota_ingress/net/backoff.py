"""Exponential backoff with jitter."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import NamedTuple


class BackoffRange(NamedTuple):
    """The waits of a backoff, in seconds."""

    initial: float
    longest: float


class Backoff:
    """The wait before the next attempt: doubled each time, with up to half of it more or less by chance.

    The jitter keeps a fleet whose calls were rejected together from coming back together.
    """

    def __init__(
        self, initial: float, longest: float, random_fraction: Callable[[], float] = random.random
    ) -> None:
        """Starts at `initial` seconds and grows to `longest`; `random_fraction` draws from 0 to 1."""
        self._initial = initial
        self._longest = longest
        self._random_fraction = random_fraction
        self._next = initial

    def on_success(self) -> None:
        """Starts again from the initial wait."""
        self._next = self._initial

    def next_wait(self, limit: float = math.inf) -> float:
        """Returns the next wait in seconds; one over `limit` is drawn anew from its upper half."""
        wait = self._next * (0.5 + self._random_fraction())
        self._next = min(2 * self._next, self._longest)
        if wait <= limit:
            return wait
        return limit * (0.5 + self._random_fraction() / 2)
