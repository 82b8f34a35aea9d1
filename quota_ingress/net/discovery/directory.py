"""Directory of all listed endpoints, as published to the rest of the ingress."""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping

from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.packed_entry import (
    PackedEntry,
    is_ready,
    is_removed,
    pack_entry,
    unpack_entry,
)

log = logging.getLogger(__name__)


class EndpointDirectory(Mapping[str, EndpointEntry]):
    """Endpoints by name, stored in packed form. The cost of a delta is proportional to its length.

    Attributes:
        ready_count: Number of endpoints that take requests.
    """

    def __init__(self) -> None:
        self.ready_count = 0
        self._packed: dict[str, PackedEntry] = {}

    def apply(self, endpoint_list: EndpointList) -> None:
        """Applies a snapshot or a delta. The directory keeps a snapshot's dict of entries and modifies it."""
        if endpoint_list.is_snapshot:
            self._replace_all(endpoint_list.packed)
        else:
            self._apply_delta(endpoint_list.packed)

    def _replace_all(self, entries: dict[str, PackedEntry]) -> None:
        for name in [name for name, packed in entries.items() if is_removed(packed)]:
            del entries[name]
        self._packed = entries
        self.ready_count = sum(is_ready(packed) for packed in entries.values())

    def _apply_delta(self, changes: dict[str, PackedEntry]) -> None:
        unknown: list[str] = []
        for name, packed in changes.items():
            self.ready_count += is_ready(packed) - self.is_ready(name)
            if not is_removed(packed):
                self._packed[name] = packed
            elif self._packed.pop(name, None) is None:
                unknown.append(name)
        if unknown:
            log.info(
                "discovery: %d removed endpoints were not listed, for example %s", len(unknown), unknown[0]
            )

    def is_ready(self, name: str) -> bool:
        """Returns whether the endpoint is listed and takes requests."""
        packed = self._packed.get(name)
        return packed is not None and is_ready(packed)

    def pack_shared(self, entry: EndpointEntry) -> PackedEntry:
        """Returns the packed form of `entry`: the string stored here if the entry has not changed.

        A snapshot that repeats the list thus shares its strings with the directory and adds little memory.
        """
        packed = pack_entry(entry)
        known = self._packed.get(entry.name)
        return known if known == packed else packed

    def packed_entry(self, name: str) -> PackedEntry:
        """Returns the packed entry of endpoint `name`.

        Raises:
            KeyError: The endpoint is not listed.
        """
        return self._packed[name]

    def __getitem__(self, name: str) -> EndpointEntry:
        return unpack_entry(name, self._packed[name])

    def __contains__(self, name: object) -> bool:
        return name in self._packed

    def __iter__(self) -> Iterator[str]:
        return iter(self._packed)

    def __len__(self) -> int:
        return len(self._packed)
