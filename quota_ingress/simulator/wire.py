"""The simulator's wire protocol: record codes, layouts and numeric values.

Batches and replies are frames of little-endian, fixed-size records followed by a tail for data of variable
size. The protocol's own terms are used only in this package; a comment gives the policy's term for each.
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
MAX_LOAD_VALUES = 4  # values of a load report
EVERY_PEER = 0xFFFFFFFF
REPEATED_BIT = 2  # mask in JobIn.bits: the request is a client's retry


class WireError(Exception):
    """A frame does not conform to the wire format."""


class EventCode(IntEnum):
    """Record codes of a batch."""

    ADDED = 1  # CounterAnswered
    NEIGHBOUR_SAYS = 2  # PeerMessage
    DETACH = 3  # the instance is stopped
    CREATE = 4  # the instance is created
    JOB_IN = 5  # RequestArrived
    DUE = 6  # TimerFired
    CONTEXT = 7  # sets the instance for the records that follow
    PAGE = 8  # a numbered list of endpoints, to which DIRECTORY_UPDATE refers
    STARTED = 9  # StreamStarted
    PONG = 10  # ProbeAnswered
    VERDICT = 11  # AttemptEnded
    VANISHED = 12  # ClientDisconnected
    DIRECTORY_UPDATE = 13  # EndpointsListed

    @property
    def title(self) -> str:
        """The record's name in the protocol's documentation, such as JobIn."""
        return self.name.title().replace("_", "")


class ActionCode(IntEnum):
    """Record codes of a reply."""

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
    SPEAKING = 14  # sets the instance for the records that follow


LENGTH = struct.Struct("<I")  # bytes of the frame after this field
BATCH_HEADER = struct.Struct("<QII")  # now, records, batch number
REPLY_HEADER = struct.Struct("<III")  # length, records, batch number

# The fields of each record after its code. Data in the tail is given by two fields: offset and length.
EVENT_LAYOUTS: dict[int, struct.Struct] = {
    EventCode.ADDED: struct.Struct("<2xQHfI"),  # counter name, outcome, total, latency
    EventCode.NEIGHBOUR_SAYS: struct.Struct("<2xHII"),  # sender, data
    EventCode.DETACH: struct.Struct("<2x"),
    EventCode.CREATE: struct.Struct("<2xQII"),  # seed, settings
    EventCode.JOB_IN: struct.Struct("<2xIHHfffIQH"),  # as unpacked in decoder.decode_request
    EventCode.DUE: struct.Struct("<2xQ"),  # token
    EventCode.CONTEXT: struct.Struct("<2xI"),  # instance
    EventCode.PAGE: struct.Struct("<2xBII"),  # page number, entries (offset and number of entries)
    EventCode.STARTED: struct.Struct("<2xIH6sI"),  # request, attempt, endpoint, latency
    EventCode.PONG: struct.Struct("<2x6sHIB4f"),  # endpoint, outcome, latency, load report
    EventCode.VERDICT: struct.Struct("<2xIH6sHIBHHB4f"),  # as unpacked in decoder.decode_attempt_end
    EventCode.VANISHED: struct.Struct("<2xI"),  # request
    EventCode.DIRECTORY_UPDATE: struct.Struct("<2xBQB"),  # list kind, version, page number
}


def _action_layout(fields: str) -> struct.Struct:
    """Returns the layout of an action record: code, fields, and padding up to ACTION_SIZE."""
    padding = ACTION_SIZE - struct.calcsize("<H" + fields)
    return struct.Struct(f"<H{fields}{padding}x")


# The fields of each record after its code. Data in the tail is given by two fields: offset and length.
ACTION_LAYOUTS: dict[ActionCode, struct.Struct] = {
    ActionCode.SUBMIT_TO: _action_layout("I6sI"),  # request, endpoint, timeout
    ActionCode.OVERLOAD_REPLY: _action_layout("II"),  # request, Retry-After
    ActionCode.RESPOND_ERROR: _action_layout("I"),  # request
    ActionCode.DROP_ATTEMPT: _action_layout("IH"),  # request, attempt
    ActionCode.ARM: _action_layout("QQ"),  # token, time
    ActionCode.PROBE: _action_layout("6s"),  # endpoint
    ActionCode.FREE_LINKS: _action_layout("6s"),  # endpoint
    ActionCode.TELL: _action_layout("III"),  # peer, data
    ActionCode.RECORD: _action_layout("II"),  # text
    ActionCode.TAIL: _action_layout("B"),  # on
    ActionCode.GET_LIST: _action_layout(""),
    ActionCode.INCR: _action_layout("IQf"),  # time to live, counter name, amount
    ActionCode.SPEAKING: _action_layout("I"),  # instance
}

ENTRY_LAYOUT = struct.Struct("<BHBQf6sH")  # state, cell, zone, start time, weight, endpoint, machine type

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
    """Returns the integer id for an endpoint's id on the wire."""
    return int.from_bytes(data, "little")


def endpoint_bytes(number: int) -> bytes:
    """Returns an endpoint's id as encoded on the wire."""
    return number.to_bytes(ENDPOINT_SIZE, "little")
