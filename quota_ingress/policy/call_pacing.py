"""Congestion control of the calls to the counter: how often one gateway of a fleet may call.

The interval between two calls is the interval for a healthy counter, shared equally by the fleet, times the
congestion, which rises and falls with the answers. In any period a gateway makes at most one call per
`MIN_CALL_INTERVAL`, plus a second's worth of calls after a pause. It may always call again within about
1.5 s, or within one interval of a healthy counter where a large fleet makes that longer.
"""

from __future__ import annotations

import math

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.settings import CounterLimits

FLEET_CALLS_PER_TIMEOUT = 64.0  # by all gateways together: more than a healthy counter has queued
MIN_CALL_INTERVAL = 7_000  # us; a call and its answer take about 50 bytes of 8 KB/s for control traffic
MAX_CONGESTION = 32.0  # leaves about one trial call a second
MAX_CALL_INTERVAL = 1.5 * SECOND  # us, unless the fleet's size alone makes it longer
BURST_SPAN = SECOND  # us whose calls may be made at once after a pause, at a congestion of 1 or less
LOSS_FREE_SPAN = 3 * SECOND  # us without a lost call, after which the counter is taken to reject no calls
PROMPT_FRACTION = 0.25  # of the counter's timeout: a faster answer did not queue at the counter
LONG_AGO = -60 * SECOND  # us; before any event of the process

# Factors by which the end of one call changes the congestion:
LOST_FACTOR = 1.5  # no usable answer
LATE_FACTOR = 1.1  # answered after the timeout
IN_TIME_FACTOR = 0.95
QUEUED_FACTOR = 1.02  # answered, but not promptly, at a congestion of 1 or less
BROKEN_CONNECTION_FACTOR = 1.0  # a broken connection does not indicate load at the counter


class CallPacing:
    """Paces one gateway's calls to the counter.

    A counter that is slow, unresponsive, rejecting calls or overloaded is called less often, and each call
    requests more units. Meanwhile each gateway of a customer admits the quota divided by the number of its
    gateways; a customer whose requests all come through one of them waits longer for its units.

    Below a congestion of 1, latency is the signal: a counter that answers promptly is called increasingly
    often, whatever the fleet's size. A queue at the counter stops the increase before calls are rejected.
    """

    def __init__(self, counter: CounterLimits, fleet_size: int) -> None:
        self._is_allowed = counter.allowed
        self._timeout = counter.timeout
        self._prompt_latency = PROMPT_FRACTION * counter.timeout
        self.healthy_interval = (
            counter.timeout * fleet_size / FLEET_CALLS_PER_TIMEOUT
        )  # us, at a congestion of 1
        self.congestion = 1.0
        self.max_congestion = max(
            1.0, min(MAX_CONGESTION, MAX_CALL_INTERVAL / max(1.0, self.healthy_interval))
        )
        self.min_congestion = min(1.0, MIN_CALL_INTERVAL / max(1.0, self.healthy_interval))
        self.next_call_at = -SECOND
        self._last_lost_at = LONG_AGO

    @property
    def burst_span(self) -> float:
        """The us whose calls may be made at once after a pause."""
        return BURST_SPAN / max(1.0, self.congestion)

    def may_call(self, now: int) -> bool:
        """Returns whether a call may be made at `now`."""
        return self.next_call_at <= now

    def unused_fraction(self, now: int) -> float:
        """Returns the unused fraction of the calls that may be made at once; below 0: no call is allowed."""
        return (now - self.next_call_at) / self.burst_span

    def answer_would_be_late(self, now: int, deadline: int) -> bool:
        """Returns whether the answer to a call made now might miss the deadline, or no call is allowed."""
        return not self._is_allowed or now + 2 * self._timeout >= deadline

    def on_call(self, now: int) -> None:
        """Records a call made at `now`, which delays the next one."""
        interval = self.healthy_interval * self.congestion
        self.next_call_at = int(max(self.next_call_at, now - self.burst_span) + interval)

    def set_congestion(self, congestion: float) -> None:
        """Sets the congestion, clamped to its bounds."""
        self.congestion = min(self.max_congestion, max(self.min_congestion, congestion))

    def on_answer(self, now: int, outcome: Outcome, total: float, latency: int) -> bool:
        """Adjusts the congestion to the end of a call; returns whether it brought a usable total."""
        is_answered = outcome is Outcome.OK and math.isfinite(total)
        if not is_answered:
            self._last_lost_at = now
        self.set_congestion(self.congestion * self._factor(now, outcome, latency, is_answered))
        return is_answered

    def _factor(self, now: int, outcome: Outcome, latency: int, is_answered: bool) -> float:
        """Returns the factor by which the end of a call changes the congestion."""
        is_prompt = latency <= self._prompt_latency
        if outcome is Outcome.RESET:
            factor = BROKEN_CONNECTION_FACTOR
        elif not is_answered:
            factor = LOST_FACTOR
        else:
            factor = IN_TIME_FACTOR if latency <= self._timeout else LATE_FACTOR
        if is_prompt and now - self._last_lost_at > LOSS_FREE_SPAN:
            # Counts for the calls that congestion prevented as well. Otherwise recovery after an outage would
            # take longer the larger the fleet, as each of its gateways makes only one call a second.
            return float(factor ** max(1.0, self.congestion))
        if is_answered and not is_prompt and self.congestion <= 1:
            return QUEUED_FACTOR
        return factor
