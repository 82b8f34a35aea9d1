"""Start times of endpoints on this process's own clock, independent of a correct wall clock.

Discovery reports a start as a time on the fleet's clock. This machine's wall clock may be off by seconds or
by an hour, in either direction, and a process that has just started cannot detect that. There are two
estimates of an endpoint's age:

- from the wall clock: now minus the reported start; its error is that of the clock;
- from the order of the reported starts: the fleet's clock has reached the latest of them, so an endpoint that
  started ten seconds before the latest is at least ten seconds old; a correct lower bound, but sometimes far
  too low.

The lower estimate is used, beginning with the first report of a start; the second one grows as later starts
are reported. Since reports are delayed, the wall clock may raise the age above the second estimate, but only
by the error that all ages may have without a cold endpoint receiving more than its budget (`age_tolerance`).

Therefore a wall clock that is ahead never makes a cold endpoint count as warm, and one that is behind keeps a
warm endpoint cold for one warm-up at most, since its age grows from the report on. If an endpoint's reported
start is earlier than its previous one, the clock of the report has been stepped back, and the start counts as
happening now. A start further in the past than any clock step explains counts as long ago.

This module performs no I/O and reads no clock. Times are in microseconds; `now` is that of the process's
monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from quota_ingress.policy.settings import Safety
from quota_ingress.policy.slow_start import SLOW_START_BUDGET_FRACTION

LONG_AGO = 0
MAX_CLOCK_STEP_US = 2 * 3600 * 1_000_000  # twice the hour by which a wall clock may be stepped


@dataclass(slots=True)
class _Start:
    """The last start of an endpoint.

    Attributes:
        reported_at: Time on the fleet's clock.
        by_wall_clock: Time on this process's clock, assuming that its wall clock is correct.
        local: Time on this process's clock that is in use.
    """

    reported_at: int
    by_wall_clock: int
    local: int


class StartTimes:
    """Converts the starts that discovery reports to this process's clock, by endpoint name."""

    def __init__(self, age_tolerance: int = 0) -> None:
        """Allows ages to be too great by up to `age_tolerance` microseconds."""
        self._age_tolerance = age_tolerance
        self._fleet_clock_lead: int | None = None  # us ahead of this process's clock, at least
        self._starts: dict[str, _Start] = {}

    def observe(self, reported_at: int, now: int) -> list[str]:
        """Records that the fleet's clock has reached a reported start.

        All starts of a list must be observed before the first call of `local_start` for that list.

        Returns:
            The names of the endpoints whose age this start raises.
        """
        lead = reported_at - now
        is_covered = self._fleet_clock_lead is not None and lead <= self._fleet_clock_lead
        if reported_at <= 0 or is_covered:
            return []
        self._fleet_clock_lead = lead
        older: list[str] = []
        for name, start in self._starts.items():
            local = self._estimate(start, lead)
            if local < start.local:
                start.local = local
                older.append(name)
        return older

    def local_start(self, name: str, reported_at: int, now: int) -> int:
        """Returns the latest possible time of the start on this process's clock, given the reports so far.

        Args:
            name: Name of the endpoint.
            reported_at: The start on the fleet's clock, or LONG_AGO.
            now: Current time on this process's clock.
        """
        if reported_at <= 0 or now - reported_at > MAX_CLOCK_STEP_US:
            self._starts.pop(name, None)
            return LONG_AGO
        previous = self._starts.get(name)
        if previous and previous.reported_at == reported_at:
            return previous.local
        self.observe(reported_at, now)
        assert self._fleet_clock_lead is not None
        start = _Start(reported_at, by_wall_clock=min(reported_at, now), local=now)
        if previous is None or reported_at > previous.reported_at:
            start.local = self._estimate(start, self._fleet_clock_lead)
        else:
            start.by_wall_clock = now  # clock stepped back: the time of the report counts
        self._starts[name] = start
        return start.local

    def forget(self, name: str) -> None:
        """Discards an endpoint that is no longer listed."""
        self._starts.pop(name, None)

    def _estimate(self, start: _Start, fleet_clock_lead: int) -> int:
        by_order = start.reported_at - fleet_clock_lead - self._age_tolerance
        return max(by_order, start.by_wall_clock, 1)


def age_tolerance(safety: Safety) -> int:
    """Returns the microseconds by which ages may be too great without overloading a cold endpoint.

    This is the part of the warm-up that the unused part of the overload budget (SLOW_START_BUDGET_FRACTION)
    covers at the beginning of the warm-up.
    """
    initial = safety.initial_capacity_fraction
    if initial >= 1:
        return 0
    return int((1 / SLOW_START_BUDGET_FRACTION - 1) * initial / (1 - initial) * safety.warmup_time)
