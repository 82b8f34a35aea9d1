"""Congestion control of the calls to the counter: how often one gateway of a fleet may call. Pure; moments
and spans are microseconds.

Invariant: over any time a gateway makes at most the calls that fit into it at CALL_GAP, and those of a second
more after a lull; and it may always call again within some 1.5 s, or one interval of its fleet's size.
"""

from __future__ import annotations

import math

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.events import Outcome

CALLS_OUT = 64.0  # calls to the counter in its time-out by all gateways: more than a healthy one has waiting
CALL_GAP = 7_000  # us between two calls of a gateway, at the least, while all are answered promptly: a call
# with its answer is some 50 bytes, and control is to take 8 KB a second at most
LONGEST = 32.0  # times the interval of a healthy counter; a trial call a second or so remains
CALM = 3 * SECOND  # without a call lost: the counter turns nobody away now
PROMPT = 0.25  # of the counter's time-out: within it, nothing had waited there
LOST, LATE, IN_TIME = 1.5, 1.1, 0.95  # times the interval, with a call lost, answered too late, or in time
QUEUED = 1.02  # ... and with one that had to wait there, while the interval is under that of CALLS_OUT


class CallPacing:
    """The interval between calls grows and shrinks in steps of its own size with what becomes of them.

    A counter that is slow, silent, refusing or crowded is called more rarely, for more at once, and customers
    get quota / spread meanwhile; harms one whose traffic all comes through one gateway, as it waits longer
    for its units. Below CALLS_OUT delay is the measure: one that answers promptly is asked ever more often,
    whatever the fleet's size, and a line there ends that before calls are turned away.
    """

    def __init__(self, timeout: int, fleet_size: int) -> None:
        """`timeout`: of a call at the counter."""
        self.interval = timeout * fleet_size / CALLS_OUT  # at a congestion of 1
        self.congestion = 1.0  # times that interval
        self.most = max(1.0, min(LONGEST, 1.5 * SECOND / max(1.0, self.interval)))
        self.least = min(1.0, CALL_GAP / max(1.0, self.interval))
        self.next_at = -SECOND
        self._prompt, self._timeout = PROMPT * timeout, timeout
        self._lost_at = -60 * SECOND

    @property
    def burst(self) -> float:
        """The span whose calls may be made at one stroke, after a lull."""
        return SECOND / max(1.0, self.congestion)

    def may_call(self, now: int) -> bool:
        """Whether a call may be made at `now` (us)."""
        return self.next_at <= now

    def unused(self, now: int) -> float:
        """Of the calls that may be made at one stroke, the part that is left; below nothing: not yet."""
        return (now - self.next_at) / self.burst

    def called(self, now: int) -> None:
        """A call has been made."""
        self.next_at = int(max(self.next_at, now - self.burst) + self.interval * self.congestion)

    def set(self, congestion: float) -> None:
        """As another process of the same gateway found it."""
        self.congestion = min(self.most, max(self.least, congestion))

    def answered(self, now: int, outcome: Outcome, total: float, latency: int) -> bool:
        """Whether the counter was heard: it says a number, and did not turn the call away."""
        heard = outcome is Outcome.OK and math.isfinite(total)
        step = LOST if not heard else IN_TIME if latency <= self._timeout else LATE
        if outcome is Outcome.RESET:
            step = 1.0  # a connection that broke tells nothing of how busy the counter is
        # A prompt answer, after none was lost, speaks for the calls not made meanwhile: else many gateways,
        # each of which makes one a second after a silence, would come back the later the more they are.
        self._lost_at = self._lost_at if heard else now
        prompt = latency <= self._prompt
        if prompt and now - self._lost_at > CALM:
            step = step ** max(1.0, self.congestion)
        elif heard and not prompt and self.congestion <= 1:
            step = QUEUED
        self.set(self.congestion * step)
        return heard
