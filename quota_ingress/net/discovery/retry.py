"""When a call to discovery that told nothing is followed by the next: no clock and no I/O of its own.

All moments are seconds of one monotonic clock. A change counts as told 6 s after discovery had it and could
be reached, whatever a failed, refused or given-up call otherwise allows. Limits that hold for one step each
add up where steps follow one another, so there is one deadline: it runs from the moment since when the list
held may be out of date, and waits and the patience with a silent call are cut to what it leaves.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

from quota_ingress.net.backoff import Backoff

IN_FORCE = 6.0  # s after which a change counts as told
CONNECT_TIMEOUT = 1.0  # s for a connection to come up
SILENT = 3.0  # s with no byte: a beat is due every 2 s
LAST_TRIES = CONNECT_TIMEOUT + 0.6  # s of the deadline kept for one dial that hangs, and for a call behind it
LEAST_SILENT = 0.5  # s that a call has for its first byte, however late it is: the agent answers at once
CUT = (0.02, 0.1)  # s between tries where no answer came: the first, the longest. The agent is on this
# machine: a try costs nobody anything, and what the agent has counts as told, watched or not
NOT_TOLD = (0.1, 1.0)  # ... where one came that told nothing, by chance half as long again: it may come again
HELD = 0.5  # s after which a call that is turned away has stood in a line: discovery has more callers than it
# can answer, and where each comes back at once, each has waited too long by its turn and none is answered
FLEET_TRIES = 4.0  # a second by all ingresses, in that case, as far as the deadline lets them wait
SOONEST = 0.1  # s: no call is followed by the next one sooner, after an answer
CALLS = 3  # the deadline slides on with the calls: it holds over the last two and what came before them


class Ended(Enum):
    """How a call to discovery, or the watch that it opened, came to its end."""

    CUT = auto()  # not connected, or the connection ended
    SILENT = auto()
    UNTOLD = auto()  # the answer ended in order, and not a line of it had come
    UNREADABLE = auto()
    TURNED_AWAY = auto()


class RetryPolicy:
    """One deadline over all calls; see above."""

    def __init__(
        self, fleet_size: int, within: float = IN_FORCE, chance: Callable[[], float] = random.random
    ) -> None:
        """`within`: s in which the first list has to be told; `chance`: evenly spread from 0 to 1."""
        self._fleet_wait = fleet_size / FLEET_TRIES
        self._next_call = within - LAST_TRIES  # s after `_since` by which the next call begins
        self._chance = chance
        self._cut, self._not_told = Backoff(*CUT, chance), Backoff(*NOT_TOLD, chance)
        self._since = 0.0  # what changed before this has been told, or has been late for several calls
        self._calls: deque[float] = deque(maxlen=CALLS)  # when the last ones began
        self._in_line = False  # the last call was held and then turned away

    def heard(self, now: float) -> None:
        """A line has come: the list held is current. So it is after a beat, which tells no change."""
        self._since, self._in_line = now, False
        self._next_call = IN_FORCE - LAST_TRIES

    def well(self, ended: Ended) -> None:
        """The call that has ended had told something; but what it ended by may come again."""
        self._cut.on_success()
        if ended in (Ended.CUT, Ended.SILENT):
            self._not_told.on_success()

    def calls(self, now: float) -> None:
        """A call begins, with the dial."""
        if not self._calls:
            self._since = now
        self._calls.append(now)

    def silence(self, now: float) -> float:
        """Seconds that a call may take to its first byte."""
        return min(SILENT, max(LEAST_SILENT, self._left(now)))

    def wait(self, ended: Ended, now: float) -> float:
        """Seconds to wait before the next call."""
        if ended is Ended.SILENT:  # that was a wait: what comes next must find an open watch
            return 0.0
        if ended is Ended.CUT:
            return self._cut.next_wait()
        in_line = ended is Ended.TURNED_AWAY and now - self._calls[-1] >= HELD
        if in_line and self._in_line:  # it says how it is with it, and nothing else is the matter
            self._since = max(self._since, self._calls[-1])
        self._in_line = in_line
        left = max(SOONEST, self._left(now))
        if in_line and self._fleet_wait > NOT_TOLD[1]:
            return min(self._fleet_wait, left) * (0.5 + self._chance() / 2)
        return self._not_told.next_wait(left)

    def _left(self, now: float) -> float:
        if now >= self._since + self._next_call:
            self._since = max(self._since, self._calls[0])
        return self._since + self._next_call - now
