"""When backends started, on this process's own clock: no decision rests on a right wall clock.

Discovery tells a start as a moment of the fleet's clock. This machine's wall clock may be off by seconds or
by an hour, in either direction, and a fresh process can't tell. Two estimates of a backend's age are at hand:

- by the wall clock: now less the moment told; wrong as the clock is;
- by the order of the moments told: the fleet's clock has reached the latest of them, so one that started ten
  seconds before the latest is at least ten seconds old; right, but at times far too low.

The lower one counts, from the first telling of a start on; the second grows as later starts are told. As
starts are told late, the wall clock is taken at its word beyond the second one, but only for the time by
which all ages may be wrong without a cold backend getting more than its budget (`age_tolerance`).

So a clock that is ahead makes no cold backend warm, and one that is behind keeps a warm one cold for one ramp
at the longest, as its age grows from the telling on. A start that is told as earlier than the same backend's
start before happens now: that clock has been stepped. One that lies further back than any step of the clock
explains is long ago.

Pure: moments are microseconds, `now` of the process's clock, which never goes back and is not stepped.
"""

from __future__ import annotations

from dataclasses import dataclass

from quota_ingress.policy.endpoint_set import COLD_PART
from quota_ingress.policy.settings import Safety

LONG_AGO = 0
GREATEST_STEP = 2 * 3600 * 1_000_000  # us: twice the hour by which a wall clock may be stepped


@dataclass(slots=True)
class _Start:
    told: int  # on the fleet's clock
    by_wall_clock: int  # the moment on this process's clock, were its wall clock right
    local: int  # as it counts


class StartTimes:
    """The starts that have been told, by the backend's name."""

    def __init__(self, reserve: int = 0) -> None:
        """`reserve`: us by which all ages may be too great."""
        self._reserve = reserve
        self._ahead: int | None = None  # us that the fleet's clock is ahead of this process's, at the least
        self._starts: dict[str, _Start] = {}

    def observe(self, told: int, now: int) -> list[str]:
        """A start has been told: the fleet's clock has reached it. All of a list are observed before the
        first of them is asked for. Returns the backends that are older by this than they counted for.
        """
        if told <= 0 or (self._ahead is not None and told - now <= self._ahead):
            return []
        self._ahead = told - now
        older = []
        for name, start in self._starts.items():
            local = self._estimate(start)
            if local < start.local:
                start.local = local
                older.append(name)
        return older

    def local_start(self, name: str, told: int, now: int) -> int:
        """The moment of that start on this process's clock: the latest that it can have been, by what is
        known so far. `told`: LONG_AGO, or a moment of the fleet's clock.
        """
        if told <= 0 or now - told > GREATEST_STEP:
            self._starts.pop(name, None)
            return LONG_AGO
        before = self._starts.get(name)
        if before and before.told == told:
            return before.local
        self.observe(told, now)
        start = _Start(told, min(told, now), now)
        if before is None or told > before.told:
            start.local = self._estimate(start)
        else:
            start.by_wall_clock = now  # that clock has been stepped back: nothing but the telling counts
        self._starts[name] = start
        return start.local

    def forget(self, name: str) -> None:
        """It is not listed any more."""
        self._starts.pop(name, None)

    def _estimate(self, start: _Start) -> int:
        assert self._ahead is not None
        return max(start.told - self._ahead - self._reserve, start.by_wall_clock, 1)


def age_tolerance(safety: Safety) -> int:
    """Us of a ramp that the unused part of the cold budget (COLD_PART) covers, at its very start."""
    if safety.initial_capacity_fraction >= 1:
        return 0
    return int(
        (1 / COLD_PART - 1)
        * safety.initial_capacity_fraction
        / (1 - safety.initial_capacity_fraction)
        * safety.warmup_time
    )
