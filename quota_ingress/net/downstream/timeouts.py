"""Ends client connections that take too long over something: each would hold its descriptor for good."""

from __future__ import annotations

from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.stages import ConnectionStages, in_stage_since_before

HEAD_TIMEOUT_S = 2.5  # from connecting, or from a later request's first byte, until its head is complete
IDLE_TIMEOUT_S = 2.0  # between requests: clients have only so many connections at once
DRAINING_IDLE_TIMEOUT_S = 0.25  # the same while draining; by then its last response has surely been read
MIN_BODY_BYTES_PER_S = 32_000  # a body has a second more for every so many bytes
BODY_STALL_TIMEOUT_S = 2.0  # without a byte of a body, however fast it arrived until then
LINGER_TIMEOUT_S = 1.0  # for a client to go on sending after its last response, so that it reads that first
UNREAD_TIMEOUT_S = 4.0  # without a byte read by the client, while a response waits for it
REQUEST_TIMEOUT_STATUS = 408
US_PER_S = 1_000_000


def enforce_timeouts(stages: ConnectionStages, now: int, draining: bool) -> None:
    """Ends the connections whose time in their stage is over at the moment `now` (us)."""
    head_deadline = now - int(HEAD_TIMEOUT_S * US_PER_S)
    for stage in (stages.awaiting_first_request, stages.receiving_head):
        for connection in in_stage_since_before(stage, head_deadline):
            connection.reject_unreadable(REQUEST_TIMEOUT_STATUS)
    idle_timeout_s = DRAINING_IDLE_TIMEOUT_S if draining else IDLE_TIMEOUT_S
    for connection in in_stage_since_before(stages.idle, now - int(idle_timeout_s * US_PER_S)):
        connection.close_if_idle()
    for connection in [c for c in stages.receiving_body if c.is_too_slow(now)]:
        connection.reject_unreadable(REQUEST_TIMEOUT_STATUS)
    for connection in in_stage_since_before(stages.lingering, now - int(LINGER_TIMEOUT_S * US_PER_S)):
        connection.abort(CloseReason.LINGER_TIMEOUT)
    _end_unread(stages, now)


def is_body_too_slow(received: int, started_at: int, last_data_at: int, now: int) -> bool:
    """Returns whether a body arrives more slowly than any client sends, or has stopped.

    `received` counts its bytes; moments are us.
    """
    if now - last_data_at > US_PER_S * BODY_STALL_TIMEOUT_S:
        return True
    return now - started_at > US_PER_S * (HEAD_TIMEOUT_S + received / MIN_BODY_BYTES_PER_S)


def _end_unread(stages: ConnectionStages, now: int) -> None:
    for connection in list(stages.write_blocked):
        connection.note_read_progress(now)
    deadline = now - int(UNREAD_TIMEOUT_S * US_PER_S)
    for connection in [c for c, since in stages.write_blocked.items() if since < deadline]:
        connection.abort(CloseReason.RESPONSE_UNREAD)
