"""Why connections to backends end."""

from __future__ import annotations

from enum import Enum


class UpstreamCloseReason(Enum):
    """Why a connection to a backend was closed, or had ended. The values are texts of the event log."""

    IDLE = "idle"
    EVICTED = "evicted"  # its descriptor was needed, or enough others are idle
    NOT_ALIVE = "not alive"  # at its next use: the backend had ended it, or sent unsolicited data
    WITHDRAWN = "withdrawn"  # the backend drains, was removed or was restarted
    ABORTED = "aborted"  # its attempt was given up
    NOT_AUTHORIZED = "not authorized"  # its attempt might not begin any more
    WRITE_FAILED = "write failed"
    NOT_REUSABLE = "not reusable"  # answered, but the next response could not be distinguished from this one
    PROTOCOL_ERROR = "protocol error"
    STALLED = "stalled"
    BODY_DISCARDED = "body discarded"  # of the request, sent with another attempt and no longer held
    UNWANTED = "unwanted"  # a long response that nobody reads
    BY_BACKEND = "by backend"
    PROCESS_END = "process end"
