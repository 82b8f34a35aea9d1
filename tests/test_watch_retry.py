"""Time until a change at discovery is in force: over all sequences of faults, and with rejected calls."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Sequence

import pytest

from quota_ingress.net.discovery.watch_retry import (
    CONNECT_TIMEOUT,
    HEARTBEAT_TIMEOUT,
    NOTIFICATION_DEADLINE,
    CallEnd,
    WatchRetryPolicy,
)

PROCESSING_TIME = 0.4  # s reserved for the successful call: an ingress may have 1/20 of a core
FAULTS = ("connect hangs", "silent", "empty", "malformed", "rejected")
DURATIONS = {
    "connect hangs": CONNECT_TIMEOUT,
    "queued and rejected": 2.0,
}  # s until the call ends; 0 for others
ENDS = {
    "connect hangs": CallEnd.DISCONNECTED,
    "silent": CallEnd.SILENT,
    "empty": CallEnd.EMPTY,
    "malformed": CallEnd.MALFORMED,
    "rejected": CallEnd.REJECTED,
    "queued and rejected": CallEnd.REJECTED,
}


def longest_draw() -> float:
    return 1.0


def delay_of_change(
    retry: WatchRetryPolicy, changed_at: float, before: Sequence[str], after: Sequence[str]
) -> float:
    """Returns the seconds from `changed_at` to the successful call.

    At `changed_at`, discovery has a change and is reachable. A watch falls silent at 0. Calls begun before
    the change fail with the faults in `before`, cyclically; later ones with those in `after`, once each.
    """
    now = 0.0
    faults_before = itertools.cycle(before)
    faults_after = list(after)
    retry.on_call(now)
    retry.on_message(now)
    now += HEARTBEAT_TIMEOUT
    fault = "silent"
    while True:
        now += retry.next_wait(ENDS[fault], now)
        retry.on_call(now)
        if now >= changed_at and not faults_after:
            return now - changed_at
        fault = faults_after.pop(0) if now >= changed_at else next(faults_before)
        now += retry.first_byte_timeout(now) if fault == "silent" else DURATIONS.get(fault, 0.0)


def longest_delay(fleet_size: int, faults: Sequence[str], before: Sequence[str], max_faults: int) -> float:
    """Returns the longest delay over all sequences of faults and all times of the change.

    Before the change, up to three faults of `before` recur cyclically; after it, up to `max_faults` different
    ones of `faults` occur.
    """
    return max(
        delay_of_change(
            WatchRetryPolicy(fleet_size, random_fraction=longest_draw), tenths / 10 + 1e-6, cycle, after
        )
        for cycle in itertools.chain(*(itertools.product(before, repeat=n) for n in (1, 2, 3)))
        for after in itertools.chain(*(itertools.permutations(faults, n) for n in range(max_faults + 1)))
        for tenths in range(0, 100, 3)
    )


@pytest.mark.parametrize("fleet_size", [3, 7000])
def test_a_change_is_in_force_in_time_on_every_path_with_two_faults_after_it(fleet_size: int) -> None:
    """Includes changes made while the open watch is silent."""
    assert longest_delay(fleet_size, FAULTS, FAULTS, 2) <= NOTIFICATION_DEADLINE - PROCESSING_TIME


@pytest.mark.parametrize("fleet_size", [3, 7000])
def test_a_change_is_in_force_in_time_once_calls_are_no_longer_queued_and_rejected(fleet_size: int) -> None:
    """In addition, one connect may hang."""
    assert (
        longest_delay(fleet_size, ["connect hangs"], ["queued and rejected", "connect hangs", "rejected"], 1)
        <= NOTIFICATION_DEADLINE - PROCESSING_TIME
    )


def test_the_first_list_after_a_reload_is_fetched_in_time() -> None:
    """The first list after a reload is due within 4 s of the signal; later changes within 6 s."""
    for first, second in itertools.permutations(["connect hangs", "silent", "rejected", "malformed"], 2):
        retry, now = WatchRetryPolicy(200, 4.0, longest_draw), 0.0
        for fault in (first, second):
            retry.on_call(now)
            now += retry.first_byte_timeout(now) if fault == "silent" else DURATIONS.get(fault, 0.0)
            now += retry.next_wait(ENDS[fault], now)
        assert now <= 4.0 - PROCESSING_TIME


# A discovery service of fixed capacity that rejects calls.


def notification_times(fleet_size: int, capacity: float, queueing: str, seed: int) -> list[float]:
    """Returns, in order, the times at which the ingresses are notified if all watches end at 0.

    `capacity` is in calls per second. A call that would wait in the queue for over 2 s is rejected:
    immediately (`at once`), after 2 s (`held`), or at its turn, which takes up capacity (`wasted`).
    """
    rng = random.Random(seed)
    ingresses = [WatchRetryPolicy(fleet_size, random_fraction=rng.random) for _ in range(fleet_size)]
    calls = [(0.1 * rng.random(), n) for n in range(fleet_size)]
    heapq.heapify(calls)
    notified: list[float] = []
    free_at = 0.0
    while calls and calls[0][0] <= 40:
        now, n = heapq.heappop(calls)
        ingresses[n].on_call(now)
        turn_at = max(now, free_at)
        is_rejected = turn_at - now > 2.0
        if not is_rejected or queueing == "wasted":
            free_at = turn_at + 1 / capacity
        if is_rejected:
            end = {"at once": now, "held": now + 2.0, "wasted": turn_at + 1 / capacity}[queueing]
            heapq.heappush(calls, (end + ingresses[n].next_wait(CallEnd.REJECTED, end), n))
        else:
            notified.append(free_at)
    return sorted(notified)


@pytest.mark.parametrize(
    ("fleet_size", "capacity", "queueing", "in_time", "all_by"),
    [
        (200, 100, "wasted", 200, 6),
        (200, 40, "at once", 195, 10),
        (200, 40, "held", 175, 10),
        (200, 40, "wasted", 110, 20),
        (200, 20, "at once", 110, 15),
        (200, 20, "held", 90, 25),
        (28, 5, "at once", 26, 10),
        (28, 5, "held", 20, 15),
        (28, 5, "wasted", 10, 30),
    ],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_fleet_whose_calls_are_rejected_is_notified_as_fast_as_discovery_can(
    fleet_size: int, capacity: float, queueing: str, in_time: int, all_by: int, seed: int
) -> None:
    """`in_time`: ingresses notified within 6 s; `all_by`: s within which the capacity allows all of them."""
    notified = notification_times(fleet_size, capacity, queueing, seed)
    assert sum(moment <= 6 for moment in notified) >= in_time
    assert len(notified) == fleet_size and notified[-1] <= all_by
