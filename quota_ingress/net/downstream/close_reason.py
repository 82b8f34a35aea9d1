"""Reasons for closing client connections."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why the ingress closed a client connection. The values are written to the event log."""

    LAST_RESPONSE = "last response"  # the response announced it with Connection: close
    IDLE = "idle"
    EVICTED = "evicted"  # its descriptor was needed
    LINGER_TIMEOUT = "linger timeout"  # or evicted; the client was still sending after its last response
    RESPONSE_UNREAD = "response unread"
    RESPONSE_TRUNCATED = "response truncated"  # by the backend; the close lets the client detect it
    CLIENT_LEFT = "client left"
    PROCESS_END = "process end"


UNANSWERED_ALLOWED = frozenset(
    {CloseReason.CLIENT_LEFT, CloseReason.RESPONSE_UNREAD, CloseReason.RESPONSE_TRUNCATED}
)
"""Reasons for which a connection may be closed with requests unanswered, without a violation."""
