"""The process's clock: read once from the wall clock, and carried on by the monotonic clock."""

from __future__ import annotations

import time


class Clock:
    """Unix microseconds that never go back.

    Quota windows are named by them, so that they are the same at every ingress. A step of the wall clock
    while the process runs changes nothing.
    """

    def __init__(self) -> None:
        self.base = time.time_ns() // 1000 - time.monotonic_ns() // 1000  # us at the monotonic clock's zero

    def adopt(self, base: int) -> None:
        """Goes on with the clock of another process of this machine.

        Moments of that process are then moments of this one, though the wall clock may have been stepped
        between their starts. Must be called before anything has been timed.

        Args:
            base: The other clock's `base`, in microseconds.
        """
        self.base = base

    def now(self) -> int:
        """Returns the moment in microseconds."""
        return self.base + time.monotonic_ns() // 1000
