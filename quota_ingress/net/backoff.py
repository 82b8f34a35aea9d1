"""Exponential backoff with jitter."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import NamedTuple


class BackoffRange(NamedTuple):
    """The initial and the longest wait of a backoff, in seconds, before jitter."""

    initial: float
    longest: float


class Backoff:
    """The waits between attempts: doubled after each attempt, with a random jitter of plus or minus 50 %.

    Without the jitter, a fleet whose calls failed at the same time would repeat them at the same time.
    """

    def __init__(
        self, initial: float, longest: float, random_fraction: Callable[[], float] = random.random
    ) -> None:
        """Waits grow from `initial` to `longest` seconds; `random_fraction` draws from 0 to 1."""
        self._initial = initial
        self._longest = longest
        self._random_fraction = random_fraction
        self._next = initial

    def on_success(self) -> None:
        """Resets the next wait to the initial one."""
        self._next = self._initial

    def next_wait(self, limit: float = math.inf) -> float:
        """Returns the next wait in seconds; if over `limit`, a random one from `limit / 2` to `limit`."""
        wait = self._next * (0.5 + self._random_fraction())
        self._next = min(2 * self._next, self._longest)
        if wait <= limit:
            return wait
        return limit * (0.5 + self._random_fraction() / 2)
