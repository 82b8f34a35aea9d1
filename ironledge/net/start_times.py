"""When backends started, on this process's own clock: no decision rests on a right wall clock.

Discovery tells a start as a moment of the fleet's clock. This machine's wall clock may be off by seconds or
by an hour, in either direction, and a fresh process can't tell. Two estimates of a backend's age are at hand:

- by the wall clock: now less the moment told; wrong as the clock is;
- by the order of the moments told: the fleet's clock has reached the latest of them, so one that started ten
  seconds before the latest is at least ten seconds old; right, but at times far too low.

The lower one counts, from the first telling of a start on. So a clock that is ahead makes no cold backend
warm, and one that is behind keeps a warm one cold for one ramp at the longest, as its age grows from the
telling on. A start that is told as earlier than the same backend's start before happens now: that clock has
been stepped. One that lies further back than any step of the clock explains is long ago.

Pure: moments are microseconds, `now` of the process's clock, which never goes back and is not stepped.
"""

from __future__ import annotations

from dataclasses import dataclass

LONG_AGO = 0
GREATEST_STEP = 2 * 3600 * 1_000_000  # us: twice the hour by which a wall clock may be stepped


@dataclass(frozen=True, slots=True)
class _Start:
    told: int  # on the fleet's clock
    local: int


class StartTimes:
    """The starts that have been told, by the backend's name."""

    def __init__(self) -> None:
        self._ahead: int | None = None  # us that the fleet's clock is ahead of this process's, at the least
        self._starts: dict[str, _Start] = {}

    def observe(self, told: int, now: int) -> None:
        """A start has been told: the fleet's clock has reached it. All of a list are observed before the
        first of them is asked for."""
        if told > 0 and (self._ahead is None or told - now > self._ahead):
            self._ahead = told - now

    def local(self, name: str, told: int, now: int) -> int:
        """The moment of that start on this process's clock: the latest that it can have been, by what is
        known when it is first told. `told`: LONG_AGO, or a moment of the fleet's clock."""
        if told <= 0 or now - told > GREATEST_STEP:
            self._starts.pop(name, None)
            return LONG_AGO
        before = self._starts.get(name)
        if before and before.told == told:
            return before.local
        local = now if before and told < before.told else self._estimate(told, now)
        self._starts[name] = _Start(told, local)
        return local

    def forget(self, name: str) -> None:
        """It is not listed any more."""
        self._starts.pop(name, None)

    def _estimate(self, told: int, now: int) -> int:
        self.observe(told, now)
        assert self._ahead is not None
        by_order = told - self._ahead
        by_wall_clock = min(told, now)
        return max(by_order, by_wall_clock, 1)
