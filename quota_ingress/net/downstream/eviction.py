"""Closes the least needed client connection when the clients' share of descriptors is in use."""

from __future__ import annotations

from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.stages import ConnectionStages
from quota_ingress.net.downstream.timeouts import US_PER_S

STALL_TIMEOUT_S = 0.7  # without a further byte of a head; not shorter, as slow clients send heads in pieces
FIRST_REQUEST_GRACE_US = 250_000  # from being accepted; a legitimate client's first request is on its way
MAX_QUEUE_WAIT_S = 0.3  # in the accept queue; then the longest stalled head is evicted, however short that is
MAX_AWAITING_WITH_GRACE = 4  # with more connections awaiting a first request, none gets the grace period


def evict_one(stages: ConnectionStages, now: int, stall_timeout_s: float = STALL_TIMEOUT_S) -> bool:
    """Closes one connection at the time `now` (us). Returns whether one could be closed.

    A connection has stalled if nothing of an incomplete request was received for `stall_timeout_s`, or for
    STALL_TIMEOUT_S if its head is complete.

    The order of eviction is: lingering connections, whose last response has been written; connections that
    have sent nothing within FIRST_REQUEST_GRACE_US; the one that has stalled in a head for longest; the
    longest idle connection; one that has stalled in a body; new connections that have sent nothing. If more
    than MAX_AWAITING_WITH_GRACE connections await a first request, new ones get no grace period. Apart from
    lingering ones, connections with unread bytes are not evicted.
    """
    if stages.lingering:
        longest_lingering = next(iter(stages.lingering))
        del stages.lingering[longest_lingering]
        longest_lingering.abort(CloseReason.LINGER_TIMEOUT)
        return True
    silent_before = now - FIRST_REQUEST_GRACE_US
    if len(stages.awaiting_first_request) > MAX_AWAITING_WITH_GRACE:
        silent_before = now + 1
    if _evict_silent(stages, silent_before):
        return True
    if _evict_stalled(stages, now - int(stall_timeout_s * US_PER_S)):
        return True
    if any(connection.close_if_idle(CloseReason.EVICTED) for connection in stages.idle):
        return True
    if _evict_stalled_body(stages, now - int(STALL_TIMEOUT_S * US_PER_S)):
        return True
    return _evict_silent(stages, now + 1)


def _evict_silent(stages: ConnectionStages, before: int) -> bool:
    """Evicts the first connection that was accepted before `before` (us) and has sent nothing."""
    for connection, accepted_at in stages.awaiting_first_request.items():
        if accepted_at >= before:
            return False
        if connection not in stages.partial_heads and connection.close_if_idle(CloseReason.EVICTED):
            return True
    return False


def _evict_stalled(stages: ConnectionStages, before: int) -> bool:
    """Evicts the first connection in whose head nothing was received since `before` (us)."""
    for connection, last_byte_at in stages.partial_heads.items():
        if last_byte_at >= before:
            return False
        if connection.is_stalled(before):
            connection.evict_incomplete()
            return True
    return False


def _evict_stalled_body(stages: ConnectionStages, before: int) -> bool:
    """Evicts a connection in whose request body nothing was received since `before` (us)."""
    for connection in stages.receiving_body:
        if connection.is_body_stalled(before) and not connection.is_responding:
            connection.evict_incomplete()
            return True
    return False
