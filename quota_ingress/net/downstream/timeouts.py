"""Closes client connections that exceed a timeout, as each would otherwise hold its descriptor forever."""

from __future__ import annotations

from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.stages import ConnectionStages, entered_before

HEAD_TIMEOUT_S = 2.5  # from connecting, or from a later request's first byte, until the head is complete
IDLE_TIMEOUT_S = 2.0  # between requests; clients have a limited number of connections
DRAINING_IDLE_TIMEOUT_S = 0.25  # instead, while draining; long enough to read the last response
MIN_BODY_BYTES_PER_S = 32_000  # slower than any client sends; every 32 kB received extend the timeout by 1 s
BODY_STALL_TIMEOUT_S = 2.0  # without a byte of a body, however fast it arrived before
LINGER_TIMEOUT_S = 1.0  # for a client still sending after its last response, as it may read that late
UNREAD_TIMEOUT_S = 4.0  # without a byte read by the client while a response waits
MIN_READ_BYTES_PER_S = 64_000  # of a client that reads all the time
WINDOW_MARGIN = 2.0  # receive buffers are larger than the windows that are offered
REQUEST_TIMEOUT_STATUS = 408
US_PER_S = 1_000_000


def enforce_timeouts(stages: ConnectionStages, now: int, draining: bool) -> None:
    """Ends the connections that have exceeded the timeout of their stage at the time `now` (us)."""
    head_cutoff = now - int(HEAD_TIMEOUT_S * US_PER_S)
    for stage in (stages.awaiting_first_request, stages.receiving_head):
        for connection in entered_before(stage, head_cutoff):
            connection.reject_unreadable(REQUEST_TIMEOUT_STATUS)
    idle_timeout_s = DRAINING_IDLE_TIMEOUT_S if draining else IDLE_TIMEOUT_S
    for connection in entered_before(stages.idle, now - int(idle_timeout_s * US_PER_S)):
        connection.close_if_idle()
    for connection in [c for c in stages.receiving_body if c.is_too_slow(now)]:
        connection.reject_unreadable(REQUEST_TIMEOUT_STATUS)
    for connection in [c for c in stages.receiving_body if c.is_out_of_time(now)]:
        connection.reject_out_of_time()
    for connection in entered_before(stages.lingering, now - int(LINGER_TIMEOUT_S * US_PER_S)):
        connection.abort(CloseReason.LINGER_TIMEOUT)
    _abort_unread(stages, now)


def is_body_too_slow(received: int, started_at: int, last_data_at: int, now: int) -> bool:
    """Returns whether a body arrives more slowly than MIN_BODY_BYTES_PER_S allows, or has stalled.

    `received` is the number of its bytes received so far; times are us.
    """
    if now - last_data_at > US_PER_S * BODY_STALL_TIMEOUT_S:
        return True
    return now - started_at > US_PER_S * (HEAD_TIMEOUT_S + received / MIN_BODY_BYTES_PER_S)


def unread_timeout_us(bytes_read: int, elapsed_us: int, window: int) -> int:
    """Returns how long, in us, a client's kernel may acknowledge nothing while a response waits.

    The kernel of a client that reads all the time acknowledges in steps: it offers to receive more only once
    a large part of its buffer is free again. The client is given the time to read all that fits into it.

    Args:
        bytes_read: Number of bytes acknowledged during `elapsed_us`, which gives the client's rate.
        elapsed_us: The period in us.
        window: Number of bytes that the client's kernel has offered to receive at most.
    """
    bytes_per_s = max(MIN_READ_BYTES_PER_S, US_PER_S * bytes_read / max(1, elapsed_us))
    return int(US_PER_S * max(UNREAD_TIMEOUT_S, WINDOW_MARGIN * window / bytes_per_s))


def _abort_unread(stages: ConnectionStages, now: int) -> None:
    for connection in list(stages.write_blocked):
        connection.update_read_progress(now)
    blocked = stages.write_blocked.items()
    for connection in [c for c, since in blocked if now - since > c.unread_timeout(now)]:
        connection.abort(CloseReason.RESPONSE_UNREAD)
