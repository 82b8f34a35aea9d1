"""Selects the client connection to close when descriptors run out."""

from __future__ import annotations

from itertools import chain

from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.stages import ConnectionStages, entered_before
from quota_ingress.net.downstream.timeouts import US_PER_S

STALL_TIMEOUT_S = 0.7  # without a further byte of a head; slow clients send heads in pieces
FIRST_REQUEST_GRACE_US = 250_000  # from connecting; a legitimate client's first request is on its way
MAX_AWAITING_WITH_GRACE = 4  # with more connections awaiting a first request, none gets the grace period


def evict_one(stages: ConnectionStages, now: int) -> bool:
    """Closes one connection at the time `now` (us). Returns whether one could be closed.

    The order of eviction is: connections that have had their last response, connections that have sent
    nothing, connections that stalled in the middle of a head, and the longest idle. Connections with an
    unread request are never evicted. New connections that have sent nothing are evicted last, unless there
    are more than MAX_AWAITING_WITH_GRACE of them.
    """
    if stages.lingering:
        longest_lingering = next(iter(stages.lingering))
        del stages.lingering[longest_lingering]
        longest_lingering.abort(CloseReason.LINGER_TIMEOUT)
        return True
    silent = list(stages.awaiting_first_request)
    if len(silent) <= MAX_AWAITING_WITH_GRACE:
        silent = entered_before(stages.awaiting_first_request, now - FIRST_REQUEST_GRACE_US)
    if any(connection.close_if_idle(CloseReason.EVICTED) for connection in silent):
        return True
    if _evict_stalled(stages, now):
        return True
    idle = (*stages.idle, *stages.awaiting_first_request)
    return any(connection.close_if_idle(CloseReason.EVICTED) for connection in idle)


def _evict_stalled(stages: ConnectionStages, now: int) -> bool:
    before = now - int(STALL_TIMEOUT_S * US_PER_S)
    for connection in chain(stages.awaiting_first_request, stages.receiving_head):
        if connection.is_stalled(before):
            connection.evict_incomplete()
            return True
    return False
