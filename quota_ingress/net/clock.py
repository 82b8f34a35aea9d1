"""The process's clock: set once from the wall clock, then advanced by the monotonic clock."""

from __future__ import annotations

import time


class Clock:
    """Unix time in microseconds that never goes backwards.

    Quota windows are named after this time, so that every ingress uses the same names. A step of the wall
    clock while the process runs has no effect.

    Attributes:
        base: Unix time in microseconds at the zero of the monotonic clock.
    """

    def __init__(self) -> None:
        self.base = time.time_ns() // 1000 - time.monotonic_ns() // 1000

    def adopt(self, base: int) -> None:
        """Continues the clock of another process on this machine.

        Both processes then agree on the time, even if the wall clock was stepped between their starts. Must
        be called before the first use of `now`.

        Args:
            base: The other clock's `base`, in microseconds.
        """
        self.base = base

    def now(self) -> int:
        """Returns the current Unix time in microseconds."""
        return self.base + time.monotonic_ns() // 1000
