"""Chooses the client connection that makes room where descriptors are short."""

from __future__ import annotations

from itertools import chain

from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.stages import ConnectionStages, in_stage_since_before
from quota_ingress.net.downstream.timeouts import US_PER_S

STALL_TIMEOUT_S = 0.7  # without a byte more of a head: slow clients send on, in pieces
FIRST_REQUEST_GRACE_US = 250_000  # from connecting: an honest client's first request is on its way
MAX_PROTECTED_SILENT = 4  # connections in that time; of a larger crowd none is protected


def evict_one(stages: ConnectionStages, now: int) -> bool:
    """Closes one connection at the moment `now` (us). Returns whether there was one to close.

    Those that have had their last response go first, then those that say nothing, those that stopped in the
    middle of a head, and the longest idle; none with a request unread. Fresh connections that say nothing
    go last, unless there is a crowd of them.
    """
    if stages.lingering:
        longest = next(iter(stages.lingering))
        del stages.lingering[longest]
        longest.abort(CloseReason.LINGER_TIMEOUT)
        return True
    silent = list(stages.awaiting_first_request)
    if len(silent) <= MAX_PROTECTED_SILENT:
        silent = in_stage_since_before(stages.awaiting_first_request, now - FIRST_REQUEST_GRACE_US)
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
