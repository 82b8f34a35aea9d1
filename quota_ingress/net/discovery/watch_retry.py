"""When a call to discovery is followed by the next one; no clock and no I/O of its own.

All moments are seconds of one monotonic clock. A change has to be in force 6 s after discovery had it and
could be reached, whatever a failed, rejected or abandoned call otherwise allows. Limits for each single step
would add up where steps follow one another, so there is one deadline: it runs from the moment since when the
list held may be stale, and both waits and the timeout of a silent call are cut to what it leaves.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

from quota_ingress.net.backoff import Backoff, BackoffRange

NOTIFICATION_DEADLINE = 6.0  # s after which a change counts as notified
CONNECT_TIMEOUT = 1.0  # s
HEARTBEAT_TIMEOUT = 3.0  # s with no byte: a heartbeat is due every 2 s
FINAL_CALLS_TIME = (
    CONNECT_TIMEOUT + 0.6
)  # s of the deadline kept for a connect that times out, and one more call
MIN_FIRST_BYTE_TIMEOUT = 0.5  # s, however little time is left: the agent answers at once
RECONNECT_BACKOFF = BackoffRange(0.02, 0.1)  # the agent is on this machine, so calls to it cost little
FAILED_CALL_BACKOFF = BackoffRange(0.1, 1.0)  # after an answer that brought no list
QUEUED_REJECTION_TIME = 0.5  # s after which a rejected call has waited in a queue of an overloaded discovery
FLEET_CALL_RATE = 4.0  # calls a second by all ingresses to a discovery that queues and rejects them
MIN_CALL_INTERVAL = 0.1  # s between an answer and the next call
TRACKED_CALLS = 3  # the deadline holds over the last two calls and what came before them


class CallEnd(Enum):
    """How a call to discovery, or the watch that it opened, ended."""

    DISCONNECTED = auto()  # not connected, or the connection broke
    SILENT = auto()  # no heartbeat in time
    EMPTY = auto()  # the answer ended in order without a single line
    MALFORMED = auto()
    REJECTED = auto()


class WatchRetryPolicy:
    """Waits and timeouts of the calls to discovery, under one deadline over all of them."""

    def __init__(
        self,
        fleet_size: int,
        first_deadline: float = NOTIFICATION_DEADLINE,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        """Starts with no call made.

        Args:
            fleet_size: Ingresses that share the discovery.
            first_deadline: Seconds in which the first list has to come.
            random_fraction: Draws evenly from 0 to 1.
        """
        self._fleet_wait = fleet_size / FLEET_CALL_RATE
        self._next_call_within = first_deadline - FINAL_CALLS_TIME  # s after `_stale_since`
        self._random_fraction = random_fraction
        self._reconnect_backoff = Backoff(*RECONNECT_BACKOFF, random_fraction)
        self._failed_call_backoff = Backoff(*FAILED_CALL_BACKOFF, random_fraction)
        self._stale_since = 0.0  # changes before this have come, or have been late for several calls
        self._call_starts: deque[float] = deque(maxlen=TRACKED_CALLS)
        self._was_queued = False  # the last call waited in a queue and was rejected

    def on_call(self, now: float) -> None:
        """Notes that a call begins, with its connect."""
        if not self._call_starts:
            self._stale_since = now
        self._call_starts.append(now)

    def on_message(self, now: float) -> None:
        """Notes that a list or a heartbeat has come: the current list is up to date."""
        self._stale_since = now
        self._was_queued = False
        self._next_call_within = NOTIFICATION_DEADLINE - FINAL_CALLS_TIME

    def on_call_success(self, end: CallEnd) -> None:
        """Notes that a call which has ended by `end` had brought a message."""
        self._reconnect_backoff.on_success()
        if end in (CallEnd.DISCONNECTED, CallEnd.SILENT):  # other ends may come again
            self._failed_call_backoff.on_success()

    def first_byte_timeout(self, now: float) -> float:
        """Returns the seconds that a call may take to its first byte."""
        return min(HEARTBEAT_TIMEOUT, max(MIN_FIRST_BYTE_TIMEOUT, self._time_left(now)))

    def next_wait(self, end: CallEnd, now: float) -> float:
        """Returns the seconds to wait before the next call, after one that ended by `end`."""
        if end is CallEnd.SILENT:  # that took long enough
            return 0.0
        if end is CallEnd.DISCONNECTED:
            return self._reconnect_backoff.next_wait()
        last_call = self._call_starts[-1]
        is_queued = end is CallEnd.REJECTED and now - last_call >= QUEUED_REJECTION_TIME
        if is_queued and self._was_queued:  # discovery is reachable, and no more than overloaded
            self._stale_since = max(self._stale_since, last_call)
        self._was_queued = is_queued
        time_left = max(MIN_CALL_INTERVAL, self._time_left(now))
        if is_queued and self._fleet_wait > FAILED_CALL_BACKOFF.longest:
            return min(self._fleet_wait, time_left) * (0.5 + self._random_fraction() / 2)
        return self._failed_call_backoff.next_wait(time_left)

    def _time_left(self, now: float) -> float:
        """Returns the seconds until the next call has to begin.

        A deadline that has passed slides on to the oldest of the tracked calls.
        """
        if now >= self._stale_since + self._next_call_within:
            self._stale_since = max(self._stale_since, self._call_starts[0])
        return self._stale_since + self._next_call_within - now
