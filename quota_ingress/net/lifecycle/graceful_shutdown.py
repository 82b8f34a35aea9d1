"""The end of a process after SIGTERM: what has been taken is answered, and nothing may be left open."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from quota_ingress.net.downstream.listener import Listener
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.event_log import EventLog

ACCEPT_SECONDS = 0.55  # after SIGTERM: new connections go on coming for 0.4 s
MAX_DEADLINE_SECONDS = 3.0  # the longest request deadline that the platform waits for, and ...
DEADLINE_MARGIN_SECONDS = 0.4  # ... what it waits beyond that, less a margin
LAST_ANSWERS_SECONDS = 0.15  # after that, in which the last answers are written
IDLE_CHECK_SECONDS = 0.01
CLOSE_SECONDS = 0.03  # in which the loop has ended what was closed last


async def finish_requests(engine: Engine, listener: Listener) -> None:
    """Accepts for the stated while, finishes what was taken, and returns before the process is killed.

    What is still open then is failed. Where another process accepts already, this one does not.
    """
    loop = asyncio.get_running_loop()
    longest_deadline = max(each.deadline for each in engine.settings.classes) / 1e6
    end = loop.time() + min(MAX_DEADLINE_SECONDS, longest_deadline) + DEADLINE_MARGIN_SECONDS
    listener.begin_shutdown()
    if not listener.handed_over:
        await asyncio.sleep(ACCEPT_SECONDS)
        await listener.accept_backlog(end)
    listener.stop_listening()
    while (engine.in_flight or listener.connections) and loop.time() < end:
        await asyncio.sleep(IDLE_CHECK_SECONDS)
    engine.fail_all()
    while listener.connections and loop.time() < end + LAST_ANSWERS_SECONDS:
        listener.close_remaining()
        await asyncio.sleep(IDLE_CHECK_SECONDS)


async def report_leaks(open_counts: Mapping[str, Callable[[], int]], event_log: EventLog) -> None:
    """Reports what still counts as open once everything has been closed: it was leaked on the way.

    Args:
        open_counts: What is counted, by its name in the report.
        event_log: Where a leak is reported as a violation.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + CLOSE_SECONDS
    while any(count() for count in open_counts.values()) and loop.time() < end:
        await asyncio.sleep(0)
    if left := {name: count() for name, count in open_counts.items() if count()}:
        event_log.violation("left behind", **left)
