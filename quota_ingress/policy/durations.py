"""Units of time: all timestamps and durations of the policy are whole microseconds."""

from __future__ import annotations

SECOND = 1_000_000  # us
