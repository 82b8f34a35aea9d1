"""When endpoints started, on this process's own clock: no decision rests on a correct wall clock.

Discovery reports a start as a moment of the fleet's clock. This machine's wall clock may be off by seconds or
by an hour, in either direction, and a fresh process cannot tell. Two estimates of an endpoint's age are at
hand:

- by the wall clock: now less the reported moment; as wrong as the clock is;
- by the order of the reported moments: the fleet's clock has reached the latest of them, so an endpoint that
  started ten seconds before the latest is at least ten seconds old; right, but at times far too low.

The lower one counts, from the first report of a start on; the second grows as later starts are reported. As
reports come late, the wall clock is trusted beyond the second one, but only by the time by which all ages may
be wrong without a cold endpoint getting more than its budget (`age_tolerance`).

So a clock that is ahead makes no cold endpoint warm, and one that is behind keeps a warm one cold for one
warm-up at the longest, as its age grows from the report on. A start that is reported as earlier than the same
endpoint's start before happens now: that clock has been stepped. One that lies further back than any step of
the clock explains is long ago.

Pure: moments are microseconds, `now` of the process's clock, which is monotonic.
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
        reported_at: The moment on the fleet's clock.
        by_wall_clock: The moment on this process's clock, were its wall clock right.
        local: The moment on this process's clock that counts.
    """

    reported_at: int
    by_wall_clock: int
    local: int


class StartTimes:
    """The reported starts, by the endpoint's name."""

    def __init__(self, age_tolerance: int = 0) -> None:
        """Lets all ages be too great by `age_tolerance` microseconds."""
        self._age_tolerance = age_tolerance
        self._fleet_clock_lead: int | None = None  # us, at the least, ahead of this process's clock
        self._starts: dict[str, _Start] = {}

    def observe(self, reported_at: int, now: int) -> list[str]:
        """Notes that the fleet's clock has reached a reported start.

        All starts of a list are observed before `local_start` is asked for the first of them.

        Returns:
            The names of the endpoints that are older by this than they counted for.
        """
        lead = reported_at - now
        is_known = self._fleet_clock_lead is not None and lead <= self._fleet_clock_lead
        if reported_at <= 0 or is_known:
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
        """Returns the latest moment on this process's clock that the start can have had, as far as is known.

        Args:
            name: The endpoint.
            reported_at: The start as a moment of the fleet's clock, or LONG_AGO.
            now: This process's clock.
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
            start.by_wall_clock = now  # that clock has been stepped back: only the report counts
        self._starts[name] = start
        return start.local

    def forget(self, name: str) -> None:
        """Drops an endpoint that is not listed any more."""
        self._starts.pop(name, None)

    def _estimate(self, start: _Start, fleet_clock_lead: int) -> int:
        by_order = start.reported_at - fleet_clock_lead - self._age_tolerance
        return max(by_order, start.by_wall_clock, 1)


def age_tolerance(safety: Safety) -> int:
    """Returns the microseconds by which ages may be too great without overloading a cold endpoint.

    They are the part of a warm-up that the unused part of the overload budget (SLOW_START_BUDGET_FRACTION)
    covers at its very start.
    """
    initial = safety.initial_capacity_fraction
    if initial >= 1:
        return 0
    return int((1 / SLOW_START_BUDGET_FRACTION - 1) * initial / (1 - initial) * safety.warmup_time)
