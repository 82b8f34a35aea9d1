"""Compact form of an endpoint's entry: one string instead of an object with eight fields.

A process limited to 64 MB must hold a list of 90,000 endpoints, for which objects are too large. Format:

    <state><port> <group> <weight> <started> <host length> <zone length> <host><zone><machine type>

`state` is one character; `started` is in hexadecimal; lengths count characters. The endpoint's name is not
part of the string but the key under which it is stored. The two processes of an upgrade exchange entries in
this form, so it must not change between versions.
"""

from __future__ import annotations

from typing import NewType

from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.policy.endpoint_list import EndpointState

PackedEntry = NewType("PackedEntry", str)

_READY = EndpointState.READY
_READY_CODE = "u"
_DRAINING_CODE = "d"
_REMOVED_CODE = "r"
_STATE_BY_CODE = {
    _READY_CODE: EndpointState.READY,
    _DRAINING_CODE: EndpointState.DRAINING,
    _REMOVED_CODE: EndpointState.REMOVED,
}
_CODE_BY_STATE = {state: code for code, state in _STATE_BY_CODE.items()}
_NUMERIC_FIELDS = 6


def pack_entry(entry: EndpointEntry) -> PackedEntry:
    """Returns the packed form of `entry`, without its name."""
    host, port = entry.address
    code = _READY_CODE if entry.state is _READY else _CODE_BY_STATE[entry.state]
    numbers = f"{port} {entry.group} {entry.weight!r} {entry.started_us:x} {len(host)} {len(entry.zone)}"
    return PackedEntry(f"{code}{numbers} {host}{entry.zone}{entry.machine_type}")


def unpack_entry(name: str, packed: str) -> EndpointEntry:
    """Returns the entry of endpoint `name`.

    Raises:
        ValueError: `packed` is not a packed entry; KeyError or IndexError may be raised instead.
    """
    port, group, weight, started, host_length, zone_length, strings = packed[1:].split(" ", _NUMERIC_FIELDS)
    zone_start = int(host_length)
    machine_type_start = zone_start + int(zone_length)
    return EndpointEntry(
        name,
        _STATE_BY_CODE[packed[0]],
        (strings[:zone_start], int(port)),
        strings[zone_start:machine_type_start],
        strings[machine_type_start:],
        int(group),
        float(weight),
        int(started, 16),
    )


def is_ready(packed: PackedEntry) -> bool:
    """Returns whether the endpoint takes requests."""
    return packed[0] == _READY_CODE


def is_removed(packed: PackedEntry) -> bool:
    """Returns whether the entry announces that the endpoint has been removed."""
    return packed[0] == _REMOVED_CODE
