"""Shutdown after SIGTERM: accepted requests are answered, and resources still open are reported."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from quota_ingress.net.downstream.listener import Listener
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.event_log import EventLog

ACCEPT_SECONDS = 0.55  # after SIGTERM; new connections keep arriving for 0.4 s
MAX_DEADLINE_SECONDS = 3.0  # the longest request deadline that the platform waits for
DEADLINE_MARGIN_SECONDS = 0.4  # beyond that deadline; less than the platform waits
LAST_ANSWERS_SECONDS = 0.15  # after deadline and margin, for clients to read the last responses
IDLE_CHECK_SECONDS = 0.01
CLOSE_SECONDS = 0.03  # at most, for the event loop to finish closing connections


async def finish_requests(engine: Engine, listener: Listener) -> None:
    """Accepts for ACCEPT_SECONDS, finishes accepted requests, and returns once nothing is owed to a client.

    Requests without a response at the longest deadline are ended as failed, before the process is killed. A
    response that is being passed on continues until it is whole, or until its backend or client has stalled:
    cutting it off would lose what was served. After an upgrade, the successor accepts new connections
    and this process accepts none.
    """
    loop = asyncio.get_running_loop()
    longest_deadline = max(request_class.deadline for request_class in engine.settings.classes) / 1e6
    end = loop.time() + min(MAX_DEADLINE_SECONDS, longest_deadline) + DEADLINE_MARGIN_SECONDS
    listener.begin_shutdown()
    if not listener.handed_over:
        await asyncio.sleep(ACCEPT_SECONDS)
        await listener.accept_backlog(end)
    listener.stop_listening()
    while (engine.in_flight or listener.connections) and loop.time() < end:
        await asyncio.sleep(IDLE_CHECK_SECONDS)
    engine.fail_all()
    end += LAST_ANSWERS_SECONDS
    while listener.connections and (loop.time() < end or listener.is_responding):
        listener.close_remaining()
        await asyncio.sleep(IDLE_CHECK_SECONDS)


async def report_leaks(open_counts: Mapping[str, Callable[[], int]], event_log: EventLog) -> None:
    """Reports resources that still count as open although everything was closed, as they have leaked.

    Args:
        open_counts: Functions that return the number of open resources, by their name in the report.
        event_log: Receives a violation if any count stays above zero.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + CLOSE_SECONDS
    while any(count() for count in open_counts.values()) and loop.time() < end:
        await asyncio.sleep(0)
    if leaked := {name: count() for name, count in open_counts.items() if count()}:
        event_log.violation("left behind", **leaked)
