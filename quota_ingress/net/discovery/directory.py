"""All backends that are listed, as the rest of the ingress has been told: the one table of every name.

A backend takes some 200 bytes here, whatever else is kept of those that the ingress holds.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping

from quota_ingress.net.discovery.endpoint_list import REMOVED, UP, EndpointEntry, EndpointList

log = logging.getLogger(__name__)


class EndpointDirectory(Mapping[str, EndpointEntry]):
    """By name. A change costs as much as it changes."""

    def __init__(self) -> None:
        self.up = 0  # backends that take requests
        self._packed: dict[str, str] = {}

    def take(self, listing: EndpointList) -> None:
        """Takes in a list or what changed of one. A whole list is this table's own from then on."""
        if listing.is_snapshot:
            self._packed = listing.packed
            for name in [n for n, packed in self._packed.items() if packed[0] == REMOVED]:
                del self._packed[name]
            self.up = sum(packed[0] == UP for packed in self._packed.values())
            return
        unknown = []
        for name, packed in listing.packed.items():
            self.up += (packed[0] == UP) - self.is_up(name)
            if packed[0] != REMOVED:
                self._packed[name] = packed
            elif self._packed.pop(name, None) is None:
                unknown.append(name)
        if unknown:
            log.info("discovery: %d removed that were not listed, such as %s", len(unknown), unknown[0])

    def is_up(self, name: str) -> bool:
        """Whether it is listed and takes requests."""
        return self._packed.get(name, REMOVED)[0] == UP

    def packed(self, entry: EndpointEntry) -> str:
        """The entry, packed: the same string as here, where it has not changed, so that a whole list that is
        told anew takes little beside this one.
        """
        packed = entry.packed()
        held = self._packed.get(entry.name)
        return held if held == packed else packed

    def text(self, name: str) -> str:
        """The entry, packed. KeyError if it is not listed."""
        return self._packed[name]

    def __getitem__(self, name: str) -> EndpointEntry:
        return EndpointEntry.unpacked(name, self._packed[name])

    def __contains__(self, name: object) -> bool:
        return name in self._packed

    def __iter__(self) -> Iterator[str]:
        return iter(self._packed)

    def __len__(self) -> int:
        return len(self._packed)
