"""Encodes actions of the policy into the simulator's replies."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

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


def _packer(code: ActionCode) -> Callable[..., bytes]:
    """Returns a function that packs the fields of a record of that kind."""
    return partial(ACTION_LAYOUTS[code].pack, code)


_pack_submit_to = _packer(ActionCode.SUBMIT_TO)
_pack_overload_reply = _packer(ActionCode.OVERLOAD_REPLY)
_pack_respond_error = _packer(ActionCode.RESPOND_ERROR)
_pack_drop_attempt = _packer(ActionCode.DROP_ATTEMPT)
_pack_arm = _packer(ActionCode.ARM)
_pack_probe = _packer(ActionCode.PROBE)
_pack_free_links = _packer(ActionCode.FREE_LINKS)
_pack_tell = _packer(ActionCode.TELL)
_pack_record = _packer(ActionCode.RECORD)
_pack_tail = _packer(ActionCode.TAIL)
_pack_get_list = _packer(ActionCode.GET_LIST)
_pack_incr = _packer(ActionCode.INCR)
_pack_speaking = _packer(ActionCode.SPEAKING)

RareAction = Probe | CloseIdleConnections | SendToPeer | Log | SubscribeToEndpoints | FetchEndpointList


def encode_reply(number: int, groups: Sequence[tuple[int, Sequence[Action]]]) -> bytes:
    """Returns the reply to batch `number`, including its length field.

    `groups` are pairs of an instance number and the instance's actions.
    """
    records: list[bytes] = []
    tail = bytearray()
    for instance, actions in groups:
        if actions:
            records.append(_pack_speaking(instance))
            records.extend(_encode_action(action, tail) for action in actions)
    body = b"".join(records)
    length = REPLY_HEADER.size - LENGTH.size + len(body) + len(tail)
    return REPLY_HEADER.pack(length, len(records), number) + body + tail


def _encode_action(action: Action, tail: bytearray) -> bytes:
    """Returns an action's record; appends data of variable size to the tail."""
    match action:
        case SendAttempt(request, endpoint, timeout):
            return _pack_submit_to(request, endpoint_bytes(endpoint), timeout)
        case Reject(request, retry_after):
            return _pack_overload_reply(request, retry_after)
        case AddToCounter(name, amount, ttl):
            return _pack_incr(ttl, name, amount)
        case SetTimer(token, at):
            return _pack_arm(token, at)
        case Fail(request):
            return _pack_respond_error(request)
        case CancelAttempt(request, attempt):
            return _pack_drop_attempt(request, attempt)
        case _:
            return _encode_rare_action(action, tail)


def _encode_rare_action(action: RareAction, tail: bytearray) -> bytes:
    match action:
        case Probe(endpoint):
            return _pack_probe(endpoint_bytes(endpoint))
        case CloseIdleConnections(endpoint):
            return _pack_free_links(endpoint_bytes(endpoint))
        case SendToPeer(peer, data):
            return _pack_tell(EVERY_PEER if peer is None else peer, _append(tail, data), len(data))
        case Log(text):
            data = text.encode()
            return _pack_record(_append(tail, data), len(data))
        case SubscribeToEndpoints(on):
            return _pack_tail(on)
        case FetchEndpointList():
            return _pack_get_list()


def _append(tail: bytearray, data: bytes) -> int:
    """Appends data to the tail; returns its offset."""
    offset = len(tail)
    tail += data
    return offset
