"""Codec of discovery's JSON documents; no other module knows their keys and status values.

A document is a snapshot of the endpoint list or a delta:

    {"index": 41, "snapshot": true, "endpoints": [{"name": ..., "address": "HOST:PORT", "status": "up", ...}]}
"""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from contextlib import suppress
from typing import Any, NamedTuple

from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.packed_entry import PackedEntry, pack_entry
from quota_ingress.policy.endpoint_list import EndpointState

VERSION_KEY = "index"
SNAPSHOT_KEY = "snapshot"
ENTRIES_KEY = "endpoints"
STATE_BY_STATUS = {
    "up": EndpointState.READY,
    "draining": EndpointState.DRAINING,
    "removed": EndpointState.REMOVED,
}
STATUS_BY_STATE = {state: status for status, state in STATE_BY_STATUS.items()}
DECODE_ERRORS = (KeyError, ValueError, TypeError, AttributeError, OverflowError)  # of malformed documents

_LIST_PATH = "/discovery/hosts"
_NAME_KEY = "name"
_ADDRESS_KEY = "address"
_STATUS_KEY = "status"
_NO_ADDRESS = ":0"
_MAX_PORT = 65535
_US_PER_MS = 1000

log = logging.getLogger(__name__)


class EndpointListError(ValueError):
    """A document from discovery does not follow the protocol."""


class NamedPackedEntry(NamedTuple):
    """The name and packed form of an entry, packed as soon as its JSON object was decoded."""

    name: str
    packed: PackedEntry


def decode_endpoint(fields: dict[str, Any]) -> EndpointEntry:
    """Decodes one entry of a list.

    Raises:
        EndpointListError: A field is missing or has a value that the protocol does not allow.
    """
    try:
        status = str(fields[_STATUS_KEY])
        state = STATE_BY_STATUS.get(status)
        if state is None:
            raise EndpointListError(f"endpoint list: unknown status {status!r}")
        weight = float(fields.get("weight", 1.0))
        if not math.isfinite(weight):
            raise EndpointListError(f"endpoint list: weight {weight} is not finite")
        return EndpointEntry(
            str(fields[_NAME_KEY]),
            state,
            _decode_address(fields, state),
            str(fields.get("zone", "")),
            str(fields.get("type", "")),
            int(fields.get("group", 0)),
            weight,
            round(float(fields.get("since_ms", 0)) * _US_PER_MS),
        )
    except DECODE_ERRORS as error:
        raise as_list_error(error) from None


def _decode_address(fields: dict[str, Any], state: EndpointState) -> tuple[str, int]:
    """Returns host and port; the address is optional for a removed endpoint."""
    is_required = state is not EndpointState.REMOVED
    address = str(fields[_ADDRESS_KEY] if is_required else fields.get(_ADDRESS_KEY, _NO_ADDRESS))
    host, _, port_text = address.rpartition(":")
    port = int(port_text)
    if not 0 <= port <= _MAX_PORT:
        raise EndpointListError(f"endpoint list: port {port_text} is not between 0 and {_MAX_PORT}")
    return host, port


def decode_endpoint_list(document: Any) -> EndpointList:
    """Decodes a snapshot or a delta; its entries may have been packed already.

    Raises:
        EndpointListError: The document or one of its entries does not follow the protocol.
    """
    try:
        version = int(document[VERSION_KEY])
        is_snapshot = bool(document[SNAPSHOT_KEY])
        packed = _pack_entries(document[ENTRIES_KEY])
    except DECODE_ERRORS as error:
        raise as_list_error(error) from None
    return EndpointList(version, is_snapshot, packed)


def as_list_error(error: Exception) -> EndpointListError:
    """Converts an exception raised while decoding a document to an `EndpointListError`."""
    if isinstance(error, EndpointListError):
        return error
    return EndpointListError(f"endpoint list: {error if isinstance(error, ValueError) else repr(error)}")


def _pack_entries(entries: Iterable[Any]) -> dict[str, PackedEntry]:
    """Returns the packed entries by name; the last entry of a duplicate name wins."""
    by_name: dict[str, PackedEntry] = {}
    duplicate_count = 0
    for entry in entries:
        name, packed = entry if isinstance(entry, NamedPackedEntry) else _pack_fields(entry)
        duplicate_count += name in by_name
        by_name[name] = packed
    log_duplicates(duplicate_count)
    return by_name


def _pack_fields(fields: dict[str, Any]) -> NamedPackedEntry:
    entry = decode_endpoint(fields)
    return NamedPackedEntry(entry.name, pack_entry(entry))


def log_duplicates(count: int) -> None:
    """Logs the number of entries that replaced an earlier one of the same name, unless it is 0."""
    if count:
        log.warning("discovery: %d entries of an endpoint list replaced earlier ones of the same name", count)


def pack_listed_endpoint(fields: dict[str, Any]) -> Any:
    """An `object_hook` for `json.loads` that packs each entry as soon as it is decoded.

    A list that is decoded completely before it is packed takes ten times the memory. Objects that are not
    entries are returned unchanged.
    """
    if _looks_like_endpoint(fields):
        with suppress(*DECODE_ERRORS):
            return _pack_fields(fields)
    return fields


def discard_listed_endpoint(fields: dict[str, Any]) -> Any:
    """An `object_hook` for `json.loads` that discards entries, for callers that do not need the list."""
    return None if _looks_like_endpoint(fields) else fields


def _looks_like_endpoint(fields: dict[str, Any]) -> bool:
    return _STATUS_KEY in fields and _ADDRESS_KEY in fields


def list_target(version: int | None, is_watch: bool) -> str:
    """Returns the request target of a snapshot, or of a watch for changes after `version`."""
    return f"{_LIST_PATH}?watch=1&from={version}" if is_watch else _LIST_PATH
