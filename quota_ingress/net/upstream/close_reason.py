"""Reasons for closing connections to backends."""

from __future__ import annotations

from enum import Enum


class UpstreamCloseReason(Enum):
    """Why a connection to a backend was closed. The values are written to the event log."""

    IDLE = "idle"
    EVICTED = "evicted"  # its descriptor was needed, or there were too many idle connections
    NOT_ALIVE = "not alive"  # found at reuse: the backend had closed it or sent unsolicited data
    UNSOLICITED_DATA = "unsolicited data"  # read while no request was in flight
    WITHDRAWN = "withdrawn"  # the backend drains, was removed or replaced; or idle when the process ends
    ABORTED = "aborted"  # its attempt was aborted
    NOT_AUTHORIZED = "not authorized"  # its attempt may not begin, or ended before the connection was open
    WRITE_FAILED = "write failed"
    NOT_REUSABLE = "not reusable"  # answered, but the next response could not be told apart from this one
    PROTOCOL_ERROR = "protocol error"
    STALLED = "stalled"
    BODY_DISCARDED = "body discarded"  # start of the request body already sent by another attempt and freed
    UNWANTED = "unwanted"  # long response that is not to be streamed
    BY_BACKEND = "by backend"
    PROCESS_END = "process end"
