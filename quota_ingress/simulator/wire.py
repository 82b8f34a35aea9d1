"""The simulator's wire: its record codes, layouts and numbers.

A batch and a reply are frames of little-endian records of a fixed size and a tail for data of variable size.
The simulator's words appear in this package and nowhere else; what they mean here stands beside each.
"""

from __future__ import annotations

import struct
from enum import IntEnum

from quota_ingress.policy.endpoint_list import EndpointState, ListKind
from quota_ingress.policy.events import Outcome

EVENT_SIZE = 48  # bytes of an event record, its code included
ACTION_SIZE = 24  # bytes of an action record, its code included
ENTRY_SIZE = 24  # bytes of an entry of an endpoint list
ENDPOINT_SIZE = 6  # bytes of an endpoint's id
MAX_LOAD_VALUES = 4  # of a load report
EVERY_PEER = 0xFFFFFFFF
REPEATED_BIT = 2  # of JobIn.bits: the client's retry


class WireError(Exception):
    """A frame that does not follow the format."""


class EventCode(IntEnum):
    """Codes of the records of a batch."""

    ADDED = 1  # CounterAnswered
    NEIGHBOUR_SAYS = 2  # PeerMessage
    DETACH = 3  # the instance is stopped
    CREATE = 4  # the instance is created
    JOB_IN = 5  # RequestArrived
    DUE = 6  # TimerFired
    CONTEXT = 7  # the instance of the records that follow
    PAGE = 8  # a numbered list of endpoints, to be referred to
    STARTED = 9  # StreamStarted
    PONG = 10  # ProbeAnswered
    VERDICT = 11  # AttemptEnded
    VANISHED = 12  # ClientDisconnected
    DIRECTORY_UPDATE = 13  # EndpointsListed

    @property
    def title(self) -> str:
        """The record's name on the wire's page."""
        return self.name.title().replace("_", "")


class ActionCode(IntEnum):
    """Codes of the records of a reply."""

    SUBMIT_TO = 1  # SendAttempt
    OVERLOAD_REPLY = 2  # Reject
    RESPOND_ERROR = 3  # Fail
    DROP_ATTEMPT = 4  # CancelAttempt
    ARM = 5  # SetTimer
    PROBE = 6  # Probe
    FREE_LINKS = 7  # CloseIdleConnections
    TELL = 8  # SendToPeer
    RECORD = 9  # Log
    TAIL = 11  # SubscribeToEndpoints
    GET_LIST = 12  # FetchEndpointList
    INCR = 13  # AddToCounter
    SPEAKING = 14  # the instance of the records that follow


LENGTH = struct.Struct("<I")  # of the frame's rest, in bytes
BATCH_HEADER = struct.Struct("<QII")  # now, records, batch number
REPLY_HEADER = struct.Struct("<III")  # length, records, batch number

# The fields of a record after its code; of data in the tail, offset and length.
EVENT_LAYOUTS: dict[int, struct.Struct] = {
    EventCode.ADDED: struct.Struct("<2xQHfI"),  # counter name, outcome, total, latency
    EventCode.NEIGHBOUR_SAYS: struct.Struct("<2xHII"),  # sender, data
    EventCode.DETACH: struct.Struct("<2x"),
    EventCode.CREATE: struct.Struct("<2xQII"),  # seed, settings
    EventCode.JOB_IN: struct.Struct("<2xIHHfffIQH"),  # as decoder.decode_request names them
    EventCode.DUE: struct.Struct("<2xQ"),  # token
    EventCode.CONTEXT: struct.Struct("<2xI"),  # instance
    EventCode.PAGE: struct.Struct("<2xBII"),  # page number, entries (their length is a count)
    EventCode.STARTED: struct.Struct("<2xIH6sI"),  # request, attempt, endpoint, latency
    EventCode.PONG: struct.Struct("<2x6sHIB4f"),  # endpoint, outcome, latency, load report
    EventCode.VERDICT: struct.Struct("<2xIH6sHIBHHB4f"),  # as decoder.decode_attempt_end names them
    EventCode.VANISHED: struct.Struct("<2xI"),  # request
    EventCode.DIRECTORY_UPDATE: struct.Struct("<2xBQB"),  # list kind, version, page number
}


def _action_layout(fields: str) -> struct.Struct:
    """Returns the layout of an action record: its code, the fields and the padding."""
    padding = ACTION_SIZE - struct.calcsize("<H" + fields)
    return struct.Struct(f"<H{fields}{padding}x")


# The fields of a record after its code; of data in the tail, offset and length.
ACTION_LAYOUTS: dict[ActionCode, struct.Struct] = {
    ActionCode.SUBMIT_TO: _action_layout("I6sI"),  # request, endpoint, timeout
    ActionCode.OVERLOAD_REPLY: _action_layout("II"),  # request, Retry-After
    ActionCode.RESPOND_ERROR: _action_layout("I"),  # request
    ActionCode.DROP_ATTEMPT: _action_layout("IH"),  # request, attempt
    ActionCode.ARM: _action_layout("QQ"),  # token, moment
    ActionCode.PROBE: _action_layout("6s"),  # endpoint
    ActionCode.FREE_LINKS: _action_layout("6s"),  # endpoint
    ActionCode.TELL: _action_layout("III"),  # peer, data
    ActionCode.RECORD: _action_layout("II"),  # text
    ActionCode.TAIL: _action_layout("B"),  # on
    ActionCode.GET_LIST: _action_layout(""),
    ActionCode.INCR: _action_layout("IQf"),  # time to live, counter name, amount
    ActionCode.SPEAKING: _action_layout("I"),  # instance
}

ENTRY_LAYOUT = struct.Struct("<BHBQf6sH")  # state, cell, zone, start, weight, endpoint, machine kind

OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.REJECTED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_SENT,
}
ENDPOINT_STATES = {0: EndpointState.REMOVED, 1: EndpointState.DRAINING, 2: EndpointState.READY}
LIST_KINDS = {0: ListKind.DELTA, 2: ListKind.FAILED, 3: ListKind.FULL, 4: ListKind.CACHED}


def endpoint_id(data: bytes) -> int:
    """Returns an endpoint's id as a number."""
    return int.from_bytes(data, "little")


def endpoint_bytes(number: int) -> bytes:
    """Returns an endpoint's id as it stands on the wire."""
    return number.to_bytes(ENDPOINT_SIZE, "little")
