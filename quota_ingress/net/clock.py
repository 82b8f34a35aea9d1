"""The process's clock: read once from the wall clock, and carried on by the monotonic one."""

from __future__ import annotations

import time


class Clock:
    """Unix microseconds, the same at every ingress (the module names quota windows by it), read once and
    carried on by the monotonic clock, so that it never goes back and no step of the wall clock moves it.
    """

    def __init__(self) -> None:
        self.base = time.time_ns() // 1000 - time.monotonic_ns() // 1000  # us, at the monotonic clock's zero

    def adopt(self, base: int) -> None:
        """Goes on with the clock of another process of this machine: its moments are this one's, too, though
        the wall clock may have been stepped since that process read it. Before anything has been timed.
        """
        self.base = base

    def now(self) -> int:
        """Us; never less than before."""
        return self.base + time.monotonic_ns() // 1000
