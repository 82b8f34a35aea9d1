"""The messages between the two processes of an upgrade, and their codec: one JSON object per line.

The keys, their order and the forms of the values must stay those of the versions in service: a process must
be able to take over from an older version, and to hand over to it. The answer to `Question.TAKE_OVER` is the
policy's snapshot, which `quota_ingress.net.engine.snapshot_codec` encodes and decodes.

The messages are NamedTuples, since each dataclass would add 0.7 ms to the program's start.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import Enum
from typing import Any, NamedTuple

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.operator_overrides import OverridesSnapshot
from quota_ingress.net.discovery.packed_entry import PackedEntry, pack_entry, unpack_entry

VERSION = 1  # messages of another version are rejected: the new process then starts without a predecessor
DECODE_ERRORS = (KeyError, TypeError, ValueError, AttributeError, IndexError, OverflowError)

Document = dict[str, Any]


class MessageError(ValueError):
    """A message cannot be accepted: its version or a field is not valid, or its question is refused."""


class EndpointListChangeError(MessageError):
    """A list change cannot be decoded; later messages are still decoded."""


class Question(Enum):
    """What the new process asks of the serving process."""

    HELLO = "hello"  # answered with ListParts, then a ServingState
    TAKE_OVER = "take"  # answered with the policy's snapshot; the serving process stops accepting


class Ask(NamedTuple):
    """A question to the serving process; each gets one answer."""

    question: Question


class Answer(NamedTuple):
    """The answer to the last question; its content, not decoded yet, depends on the question."""

    content: Document


class ListPart(NamedTuple):
    """A batch of entries of the endpoint list, sent before the answer to `Question.HELLO`."""

    entries: Mapping[str, PackedEntry]  # by name


class EndpointCall(NamedTuple):
    """An operator's call that takes an endpoint offline or puts it online, forwarded to the other process."""

    name: str
    is_offline: bool


class DrainCall(NamedTuple):
    """An operator's call that starts or ends a drain of the ingress, forwarded to the other process."""

    is_draining: bool


OperatorCall = EndpointCall | DrainCall


class EndpointListChange(NamedTuple):
    """A snapshot or delta of the endpoint list from discovery, forwarded to the other process."""

    discovery: tuple[str, int]  # host and port of the discovery that sent it
    after: int | None  # the list version that the sender held before; None: no list
    endpoints: EndpointList


class RequestIds(NamedTuple):
    """Ids of requests that the sender has accepted. Versions that don't know this kind ignore it."""

    ids: tuple[bytes, ...]


class ServingState(NamedTuple):
    """The state of the serving process, without its requests."""

    overrides: OverridesSnapshot
    is_draining: bool
    clock_base_us: int | None  # None: an older version, which does not send it
    endpoints: EndpointList | None = None  # from older versions, which send no ListParts


Message = Ask | Answer | ListPart | EndpointCall | DrainCall | EndpointListChange | RequestIds


def encode(message: Message) -> bytes:
    """Returns the line for `message`, with the line end."""
    match message:
        case Ask(question):
            content: Document = {"ask": question.value}
        case Answer(answer):
            content = {"answer": answer}
        case ListPart(entries):
            content = {"part": entries}
        case EndpointCall(name, is_offline):
            content = {"note": {"backend": name, "out": is_offline}}
        case DrainCall(is_draining):
            content = {"note": {"drain": is_draining}}
        case EndpointListChange():
            content = {"listed": _encode_change(message)}
        case RequestIds(ids):
            content = {"ids": [request_id.decode("ascii") for request_id in ids]}
    return json.dumps({"version": VERSION} | content).encode() + b"\n"


def decode(line: bytes | bytearray) -> Message | None:
    """Returns the message in `line`; None for an unknown kind of message.

    Raises:
        EndpointListChangeError: A list change cannot be decoded; the channel can go on without it.
        MessageError: Anything else cannot be decoded.
    """
    try:
        document = json.loads(line)
        if not isinstance(document, dict) or document.get("version") != VERSION:
            raise MessageError(f"not a message of version {VERSION}")
        return _decode_kind(document)
    except MessageError:
        raise
    except DECODE_ERRORS as error:
        raise MessageError(repr(error)) from error


def encode_state(state: ServingState) -> Document:
    """Returns the content of the answer to `Question.HELLO`."""
    overrides = state.overrides
    return {
        "listed": {"index": overrides.list_version, "count": overrides.endpoint_count},
        "out": list(overrides.offline),
        "back": dict(overrides.back_online_at),
        "gone": list(overrides.removed_names),
        "drained": state.is_draining,
        "clock": state.clock_base_us,
    }


def decode_state(content: Document) -> ServingState:
    """Returns the state in the answer to `Question.HELLO`.

    Raises:
        MessageError: A field is missing or of the wrong type.
    """
    try:
        endpoints = decode_endpoint_list(content["listing"]) if "listing" in content else None
        return ServingState(
            overrides=_decode_overrides(content, endpoints),
            is_draining=bool(content["drained"]),
            clock_base_us=int(content["clock"]) if "clock" in content else None,
            endpoints=endpoints,
        )
    except DECODE_ERRORS as error:
        raise MessageError(repr(error)) from error


def _decode_kind(document: Document) -> Message | None:
    match document:
        case {"ask": question}:
            return Ask(Question(question))
        case {"part": entries}:
            return ListPart(_decode_entries(entries))
        case {"note": note}:
            return _decode_operator_call(note)
        case {"listed": change}:
            return _decode_change(change)
        case {"ids": list(ids)}:
            return RequestIds(tuple(request_id.encode("ascii") for request_id in ids))
        case {"answer": dict(content)}:
            return Answer(content)
        case {"answer": _}:
            raise MessageError("the content of the answer is not a JSON object")
        case _:
            return None


def _decode_entries(entries: Mapping[str, str]) -> dict[str, PackedEntry]:
    """Returns the entries as this version packs them; raises one of DECODE_ERRORS for an invalid entry."""
    return {name: pack_entry(unpack_entry(name, packed)) for name, packed in entries.items()}


def _decode_operator_call(note: Document) -> OperatorCall:
    if "drain" in note:
        return DrainCall(bool(note["drain"]))
    return EndpointCall(str(note["backend"]), bool(note["out"]))


def _encode_change(change: EndpointListChange) -> Document:
    return {
        "discovery": list(change.discovery),
        "index": change.endpoints.version,
        "after": change.after,
        "whole": change.endpoints.is_snapshot,
        "packed": change.endpoints.packed,
    }


def _decode_change(change: Document) -> EndpointListChange:
    try:
        host, port = change["discovery"]
        after = change["after"]
        packed = _decode_entries(change["packed"])
        endpoints = EndpointList(int(change["index"]), bool(change["whole"]), packed)
        return EndpointListChange((host, port), None if after is None else int(after), endpoints)
    except DECODE_ERRORS as error:
        raise EndpointListChangeError(repr(error)) from error


def _decode_overrides(content: Document, endpoints: EndpointList | None) -> OverridesSnapshot:
    if endpoints is not None:
        list_version = endpoints.version
        endpoint_count = len(endpoints.packed)
    else:
        list_version = int(content["listed"]["index"])
        endpoint_count = int(content["listed"]["count"])
    return OverridesSnapshot(
        list_version=list_version,
        endpoint_count=endpoint_count,
        offline=tuple(str(name) for name in content["out"]),
        back_online_at={str(name): int(moment) for name, moment in content["back"].items()},
        removed_names=tuple(str(name) for name in content["gone"]),
    )
