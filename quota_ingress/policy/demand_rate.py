"""The rate of a customer's demand at this gateway."""

from __future__ import annotations

import math

from quota_ingress.policy.durations import SECOND


class DemandRate:
    """An exponential moving average of the units requested per second; clients' retries do not count."""

    __slots__ = ("rate", "time_constant_s", "updated_at")

    def __init__(self, time_constant: int, now: int) -> None:
        """Starts at a rate of 0; `time_constant` is that of the average, in us."""
        self.time_constant_s = time_constant / SECOND
        self.rate = 0.0  # units a second
        self.updated_at = now

    def record(self, now: int, units: float, is_retry: bool) -> float:
        """Counts a request; returns the seconds since the previous one."""
        elapsed_s = (now - self.updated_at) / SECOND
        self.updated_at = now
        added = 0.0 if is_retry else units / self.time_constant_s
        self.rate = self.rate * math.exp(-elapsed_s / self.time_constant_s) + added
        return elapsed_s
