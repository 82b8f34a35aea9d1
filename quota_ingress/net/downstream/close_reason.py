"""Why clients' connections end."""

from __future__ import annotations

from enum import Enum


class CloseReason(Enum):
    """Why this side closed a client's connection. The values are texts of the event log."""

    LAST_RESPONSE = "last response"  # the close was announced with the response
    IDLE = "idle"
    EVICTED = "evicted"  # its descriptor was needed
    LINGER_TIMEOUT = "linger timeout"  # responded to early, and it went on sending
    RESPONSE_UNREAD = "response unread"
    RESPONSE_TRUNCATED = "response truncated"  # by its backend: the client has to see that it is not whole
    CLIENT_LEFT = "client left"
    PROCESS_END = "process end"


CLIENTS_OWN_REASONS = frozenset(
    {CloseReason.CLIENT_LEFT, CloseReason.RESPONSE_UNREAD, CloseReason.RESPONSE_TRUNCATED}
)
"""Reasons that leave no request unanswered that is still owed a response."""
