"""A snapshot or delta of the endpoint list, with its entries in packed form."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.packed_entry import PackedEntry, pack_entry, unpack_entry


@dataclass(slots=True)
class EndpointList:
    """A snapshot of the list, or a delta to the previous version.

    Attributes:
        version: Version number of the list; later versions have greater numbers.
        is_snapshot: Whether this is the complete list; endpoints missing from it have been removed.
        packed: The packed entries by endpoint name.
    """

    version: int
    is_snapshot: bool
    packed: dict[str, PackedEntry]

    @classmethod
    def from_entries(cls, version: int, is_snapshot: bool, entries: Iterable[EndpointEntry]) -> EndpointList:
        """Packs `entries` into a snapshot or delta."""
        return cls(version, is_snapshot, {entry.name: pack_entry(entry) for entry in entries})

    @property
    def entries(self) -> list[EndpointEntry]:
        """The entries, unpacked."""
        return [unpack_entry(name, packed) for name, packed in self.packed.items()]
