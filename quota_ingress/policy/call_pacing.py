"""Congestion control of the calls to the counter: how often one gateway of a fleet may call.

The interval between two calls is that of a healthy counter, divided fairly among the fleet, times the
congestion, which grows and shrinks by the answers. Over any time a gateway makes at most the calls that fit
into it at `MIN_CALL_INTERVAL`, and those of a second more after a lull. It may always call again within some
1.5 s, or one interval of a fleet of its size.
"""

from __future__ import annotations

import math

from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.settings import CounterLimits

FLEET_CALLS_PER_TIMEOUT = 64.0  # by all gateways together: more than a healthy counter has waiting
MIN_CALL_INTERVAL = 7_000  # us; a call and its answer are some 50 bytes, of 8 KB a second for control traffic
MAX_CONGESTION = 32.0  # a trial call a second or so remains
MAX_CALL_INTERVAL = 1.5 * SECOND  # us, unless the fleet's size alone makes it longer
BURST_SPAN = SECOND  # us; at a congestion of 1 or less, its calls may be made at once after a lull
LOSS_FREE_SPAN = 3 * SECOND  # us without a lost call, after which the counter rejects nobody
PROMPT_FRACTION = 0.25  # of the counter's timeout: a faster answer had not waited at the counter
LONG_AGO = -60 * SECOND  # us: before any moment of the process

# Factors of the congestion for one call:
LOST_FACTOR = 1.5  # no usable answer
LATE_FACTOR = 1.1  # answered after the timeout
IN_TIME_FACTOR = 0.95
QUEUED_FACTOR = 1.02  # answered, but not promptly, at a congestion of 1 or less
BROKEN_CONNECTION_FACTOR = 1.0  # it tells nothing of the counter's load


class CallPacing:
    """Paces one gateway's calls to the counter.

    A counter that is slow, silent, rejecting or crowded is called more rarely and for more at once; meanwhile
    customers get their quota over their number of gateways. That is hard on a customer whose requests all
    come through one gateway, which waits longer for its units. Below a congestion of 1 delay is the measure:
    a counter that answers promptly is called ever more often, whatever the fleet's size, and a queue there
    ends that before calls are rejected.
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
        """The us whose calls may be made at once, after a lull."""
        return BURST_SPAN / max(1.0, self.congestion)

    def may_call(self, now: int) -> bool:
        """Returns whether a call may be made at `now`."""
        return self.next_call_at <= now

    def unused_fraction(self, now: int) -> float:
        """Returns the fraction left of the calls that may be made at once; below 0, none may be made yet."""
        return (now - self.next_call_at) / self.burst_span

    def answer_would_be_late(self, now: int, deadline: int) -> bool:
        """Returns whether the answer to a call made now may come too late for the deadline, or not at all."""
        return not self._is_allowed or now + 2 * self._timeout >= deadline

    def on_call(self, now: int) -> None:
        """Counts a call that is made at `now`."""
        interval = self.healthy_interval * self.congestion
        self.next_call_at = int(max(self.next_call_at, now - self.burst_span) + interval)

    def set_congestion(self, congestion: float) -> None:
        """Sets the congestion, within its bounds."""
        self.congestion = min(self.max_congestion, max(self.min_congestion, congestion))

    def on_answer(self, now: int, outcome: Outcome, total: float, latency: int) -> bool:
        """Learns from the end of a call; returns whether the counter answered with a usable total."""
        is_answered = outcome is Outcome.OK and math.isfinite(total)
        if not is_answered:
            self._last_lost_at = now
        self.set_congestion(self.congestion * self._factor(now, outcome, latency, is_answered))
        return is_answered

    def _factor(self, now: int, outcome: Outcome, latency: int, is_answered: bool) -> float:
        """Returns what the end of a call multiplies the congestion by."""
        is_prompt = latency <= self._prompt_latency
        if outcome is Outcome.RESET:
            factor = BROKEN_CONNECTION_FACTOR
        elif not is_answered:
            factor = LOST_FACTOR
        else:
            factor = IN_TIME_FACTOR if latency <= self._timeout else LATE_FACTOR
        if is_prompt and now - self._last_lost_at > LOSS_FREE_SPAN:
            # It speaks for the calls not made meanwhile: otherwise a large fleet, each gateway of which makes
            # one call a second after an outage, would recover the later the larger it is.
            return float(factor ** max(1.0, self.congestion))
        if is_answered and not is_prompt and self.congestion <= 1:
            return QUEUED_FACTOR
        return factor
