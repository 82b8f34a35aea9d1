"""Retry policy of calls to discovery; performs no I/O and reads no clock.

All times are seconds of one monotonic clock. A change must be in force within 6 s of the moment at which
discovery has it and is reachable, even if calls fail, are rejected or are aborted. Separate limits for each
step would add up over consecutive steps, so there is a single deadline: it runs from the moment at which the
current list may have become stale, and limits both the waits and the timeout of a silent call.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from enum import Enum, auto

from quota_ingress.net.backoff import Backoff, BackoffRange

NOTIFICATION_DEADLINE = 6.0  # s after which the ingress is expected to know a change
CONNECT_TIMEOUT = 1.0  # s
HEARTBEAT_TIMEOUT = 3.0  # s with no byte: a heartbeat is due every 2 s
FINAL_CALLS_TIME = CONNECT_TIMEOUT + 0.6  # s of the deadline reserved for a connect timeout and one more call
MIN_FIRST_BYTE_TIMEOUT = 0.5  # s, even if less time is left: the agent answers immediately
RECONNECT_BACKOFF = BackoffRange(0.02, 0.1)  # s; the agent is on this machine, so calls are cheap
FAILED_CALL_BACKOFF = BackoffRange(0.1, 1.0)  # s; after a response without a list
QUEUED_REJECTION_TIME = 0.5  # s; a call rejected later has waited in the queue of an overloaded discovery
FLEET_CALL_RATE = 4.0  # calls per second of all ingresses to a discovery that queues and rejects calls
MIN_CALL_INTERVAL = 0.1  # s between a response and the next call
TRACKED_CALLS = 3  # an expired deadline restarts at the oldest: it covers two calls and the time before


class CallEnd(Enum):
    """How a call to discovery, or the watch that it opened, ended."""

    DISCONNECTED = auto()  # connection failed or was lost
    SILENT = auto()  # no data within the timeout
    EMPTY = auto()  # the response ended properly without a line
    MALFORMED = auto()
    REJECTED = auto()


class WatchRetryPolicy:
    """Computes waits and timeouts of calls to discovery under one deadline for all of them."""

    def __init__(
        self,
        fleet_size: int,
        first_list_deadline: float = NOTIFICATION_DEADLINE,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        """Creates a policy for which no call has been made.

        Args:
            fleet_size: Number of ingresses that share the discovery service.
            first_list_deadline: Seconds within which the first list must arrive.
            random_fraction: Draws uniformly from 0 to 1.
        """
        self._fleet_wait = fleet_size / FLEET_CALL_RATE
        self._next_call_within = first_list_deadline - FINAL_CALLS_TIME  # s after `_stale_since`
        self._random_fraction = random_fraction
        self._reconnect_backoff = Backoff(*RECONNECT_BACKOFF, random_fraction)
        self._failed_call_backoff = Backoff(*FAILED_CALL_BACKOFF, random_fraction)
        self._stale_since = 0.0  # earlier changes have arrived or been late for several calls
        self._call_starts: deque[float] = deque(maxlen=TRACKED_CALLS)
        self._was_queued = False  # the last call was rejected after waiting in a queue

    def on_call(self, now: float) -> None:
        """Records that a call begins to connect."""
        if not self._call_starts:
            self._stale_since = now
        self._call_starts.append(now)

    def on_message(self, now: float) -> None:
        """Records that a list or a heartbeat has arrived: the current list is up to date."""
        self._stale_since = now
        self._was_queued = False
        self._next_call_within = NOTIFICATION_DEADLINE - FINAL_CALLS_TIME

    def on_call_success(self, end: CallEnd) -> None:
        """Resets backoffs after a call that received a message and ended with `end`."""
        self._reconnect_backoff.on_success()
        if end in (CallEnd.DISCONNECTED, CallEnd.SILENT):  # other ends are likely to recur
            self._failed_call_backoff.on_success()

    def first_byte_timeout(self, now: float) -> float:
        """Returns the timeout in seconds for the first byte of a response."""
        return min(HEARTBEAT_TIMEOUT, max(MIN_FIRST_BYTE_TIMEOUT, self._time_left(now)))

    def next_wait(self, end: CallEnd, now: float) -> float:
        """Returns the seconds to wait before the next call, after one that ended with `end`."""
        if end is CallEnd.SILENT:  # the timeout was a sufficient wait
            return 0.0
        if end is CallEnd.DISCONNECTED:
            return self._reconnect_backoff.next_wait()
        last_call_start = self._call_starts[-1]
        is_queued = end is CallEnd.REJECTED and now - last_call_start >= QUEUED_REJECTION_TIME
        if is_queued and self._was_queued:  # discovery is reachable, only overloaded
            self._stale_since = max(self._stale_since, last_call_start)
        self._was_queued = is_queued
        time_left = max(MIN_CALL_INTERVAL, self._time_left(now))
        if is_queued and self._fleet_wait > FAILED_CALL_BACKOFF.longest:
            return min(self._fleet_wait, time_left) * (0.5 + self._random_fraction() / 2)
        return self._failed_call_backoff.next_wait(time_left)

    def _time_left(self, now: float) -> float:
        """Returns the seconds until the next call must begin.

        An expired deadline restarts at the oldest of the tracked calls.
        """
        if now >= self._stale_since + self._next_call_within:
            self._stale_since = max(self._stale_since, self._call_starts[0])
        return self._stale_since + self._next_call_within - now
