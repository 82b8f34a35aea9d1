"""Encodes the actions of the policy into the simulator's replies."""

from __future__ import annotations

from collections.abc import Sequence

from quota_ingress.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    Log,
    Probe,
    Reject,
    SendAttempt,
    SendToPeer,
    SetTimer,
    SubscribeToEndpoints,
)
from quota_ingress.simulator.wire import (
    ACTION_LAYOUTS,
    EVERY_PEER,
    LENGTH,
    REPLY_HEADER,
    ActionCode,
    endpoint_bytes,
)

RequestAction = SendAttempt | Reject | Fail | CancelAttempt


def encode_reply(number: int, groups: Sequence[tuple[int, Sequence[Action]]]) -> bytes:
    """Returns the reply to batch `number`, its length field included: the actions of each instance."""
    records: list[bytes] = []
    tail = bytearray()
    for instance, actions in groups:
        if actions:
            records.append(_record(ActionCode.SPEAKING, instance))
            records.extend(_encode_action(action, tail) for action in actions)
    body = b"".join(records)
    length = REPLY_HEADER.size - LENGTH.size + len(body) + len(tail)
    return REPLY_HEADER.pack(length, len(records), number) + body + tail


def _encode_action(action: Action, tail: bytearray) -> bytes:
    """Returns an action's record; data of variable size goes into the tail."""
    match action:
        case SendAttempt() | Reject() | Fail() | CancelAttempt():
            return _encode_request_action(action)
        case SetTimer(token, at):
            return _record(ActionCode.ARM, token, at)
        case AddToCounter(name, amount, ttl):
            return _record(ActionCode.INCR, ttl, name, amount)
        case SendToPeer(peer, data):
            recipient = EVERY_PEER if peer is None else peer
            return _record(ActionCode.TELL, recipient, _append(tail, data), len(data))
        case Log(text):
            data = text.encode()
            return _record(ActionCode.RECORD, _append(tail, data), len(data))
        case _:
            return _encode_endpoint_action(action)


def _encode_request_action(action: RequestAction) -> bytes:
    match action:
        case SendAttempt(request, endpoint, timeout):
            return _record(ActionCode.SUBMIT_TO, request, endpoint_bytes(endpoint), timeout)
        case Reject(request, retry_after):
            return _record(ActionCode.OVERLOAD_REPLY, request, retry_after)
        case Fail(request):
            return _record(ActionCode.RESPOND_ERROR, request)
        case CancelAttempt(request, attempt):
            return _record(ActionCode.DROP_ATTEMPT, request, attempt)


def _encode_endpoint_action(
    action: Probe | CloseIdleConnections | SubscribeToEndpoints | FetchEndpointList,
) -> bytes:
    match action:
        case Probe(endpoint):
            return _record(ActionCode.PROBE, endpoint_bytes(endpoint))
        case CloseIdleConnections(endpoint):
            return _record(ActionCode.FREE_LINKS, endpoint_bytes(endpoint))
        case SubscribeToEndpoints(on):
            return _record(ActionCode.TAIL, on)
        case FetchEndpointList():
            return _record(ActionCode.GET_LIST)


def _record(code: ActionCode, *fields: float | bytes) -> bytes:
    return ACTION_LAYOUTS[code].pack(code, *fields)


def _append(tail: bytearray, data: bytes) -> int:
    """Appends data to the tail; returns its offset."""
    offset = len(tail)
    tail += data
    return offset
