"""Closes the least needed client connection when the clients' share of descriptors is in use."""

from __future__ import annotations

from itertools import chain

from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.stages import ConnectionStages, entered_before
from quota_ingress.net.downstream.timeouts import US_PER_S

STALL_TIMEOUT_S = 0.7  # without a further byte of a head; not shorter, as slow clients send heads in pieces
FIRST_REQUEST_GRACE_US = 250_000  # from being accepted; a legitimate client's first request is on its way
MAX_AWAITING_WITH_GRACE = 4  # with more connections awaiting a first request, none gets the grace period


def evict_one(stages: ConnectionStages, now: int) -> bool:
    """Closes one connection at the time `now` (us). Returns whether one could be closed.

    The order of eviction is: lingering connections, whose last response has been written; connections that
    have sent nothing within FIRST_REQUEST_GRACE_US; connections that stalled in the middle of a head; the
    longest idle connection; new connections that have sent nothing. If more than MAX_AWAITING_WITH_GRACE
    connections await a first request, new ones get no grace period. Apart from lingering ones, connections
    with unread bytes are not evicted.
    """
    if stages.lingering:
        longest_lingering = next(iter(stages.lingering))
        del stages.lingering[longest_lingering]
        longest_lingering.abort(CloseReason.LINGER_TIMEOUT)
        return True
    candidates = list(stages.awaiting_first_request)
    if len(candidates) <= MAX_AWAITING_WITH_GRACE:
        candidates = entered_before(stages.awaiting_first_request, now - FIRST_REQUEST_GRACE_US)
    if any(connection.close_if_idle(CloseReason.EVICTED) for connection in candidates):
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
