"""Operators' overrides of single endpoints, applied to the endpoint list that discovery sends.

An endpoint that operators have taken offline (a ban) is published as draining if discovery lists it as ready.
One that they have put back online is published as started at that moment, so that it gets a slow start, until
discovery reports another start.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace
from itertools import islice
from typing import NamedTuple

from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.packed_entry import PackedEntry, is_removed, pack_entry, unpack_entry
from quota_ingress.policy.endpoint_list import EndpointState, ListKind

MAX_REMOVED_NAMES = 5000  # still accepted in operators' calls: six hours of removals in the largest fleet
ENTRIES_PER_BATCH = 1000

PublishList = Callable[[EndpointList, ListKind | None], None]


class IncompleteListError(ValueError):
    """Some entries of the other process's endpoint list have not arrived."""


class OverridesSnapshot(NamedTuple):
    """Overrides, and version and size of their endpoint list, for the other process of an upgrade."""

    list_version: int
    endpoint_count: int
    offline: tuple[str, ...]
    back_online_at: Mapping[str, int]  # us on the shared clock, by endpoint name
    removed_names: tuple[str, ...]


class OperatorOverrides:
    """Endpoints that operators have taken offline or put back online.

    Attributes:
        offline: Names of the endpoints that are offline.
        list_version: Version of the current endpoint list.
    """

    def __init__(self, now: Callable[[], int], publish: PublishList, directory: EndpointDirectory) -> None:
        """Starts without overrides.

        Args:
            now: Returns the process's clock in microseconds.
            publish: Called with each snapshot and delta after the overrides have been applied.
            directory: The endpoints as published; `publish` updates it.
        """
        self.offline: set[str] = set()
        self.list_version = 0
        self._back_online_at: dict[str, int] = {}  # us, by name
        # Start that discovery reported at that time (us, by name); another reported start ends the override.
        self._reported_start_when_back: dict[str, int] = {}
        self._now = now
        self._publish = publish
        self._directory = directory
        self._as_discovered: dict[str, EndpointEntry] = {}  # of listed endpoints with an override
        self._removed_names: OrderedDict[str, None] = OrderedDict()  # oldest first
        self._incoming_entries: dict[str, PackedEntry] = {}  # of the other process's list, by name

    @property
    def entries(self) -> Mapping[str, EndpointEntry]:
        """The current endpoint list, with the overrides applied."""
        return self._directory

    def apply_list(self, endpoints: EndpointList, kind: ListKind | None = None) -> None:
        """Applies the overrides to a snapshot or delta from discovery, in place, and publishes it.

        The cost of a delta depends on the length of the delta, not of the list.
        """
        self._forget_removed(endpoints)
        packed = endpoints.packed
        for name in self._overridden_names(endpoints):
            if not is_removed(packed[name]):
                entry = unpack_entry(name, packed[name])
                self._as_discovered[name] = entry
                packed[name] = pack_entry(self._with_override(entry))
        self.list_version = endpoints.version
        self._publish(endpoints, kind)

    def snapshot(self) -> OverridesSnapshot:
        """Returns the overrides for the other process of an upgrade."""
        unlisted = (self._removed_names.keys() | self.offline) - self._directory.keys()
        return OverridesSnapshot(
            list_version=self.list_version,
            endpoint_count=len(self._directory),
            offline=tuple(sorted(self.offline)),
            back_online_at=dict(self._back_online_at),
            removed_names=tuple(sorted(unlisted)),
        )

    def entry_batches(self) -> Iterator[dict[str, PackedEntry]]:
        """Yields the packed list as discovery sent it, in batches to bound memory."""
        names = iter(self._directory)
        while batch := list(islice(names, ENTRIES_PER_BATCH)):
            yield {name: self._packed_as_discovered(name) for name in batch}

    def restore_entries(self, entries: Mapping[str, PackedEntry]) -> None:
        """Buffers a batch of the other process's list until `restore`."""
        self._incoming_entries.update(entries)

    def restore(self, snapshot: OverridesSnapshot, endpoints: EndpointList | None = None) -> EndpointList:
        """Takes over another process's overrides, and returns its list for `apply_list`.

        Args:
            snapshot: The overrides.
            endpoints: The list, if the other process sent it in one piece; None if it came in batches.

        Raises:
            IncompleteListError: Entries are missing; the overrides are not taken over.
        """
        incoming = self._incoming_entries
        self._incoming_entries = {}
        if endpoints is None:
            if len(incoming) != snapshot.endpoint_count:
                raise IncompleteListError(
                    f"endpoint list incomplete: {len(incoming)} of {snapshot.endpoint_count} entries received"
                )
            endpoints = EndpointList(snapshot.list_version, True, incoming)
        for name in snapshot.removed_names:
            self._remember_name(name)
        self.offline = set(snapshot.offline)
        self._back_online_at = dict(snapshot.back_online_at)
        return endpoints

    def back_online_at(self, name: str) -> int:
        """Returns when operators put the endpoint back online (us), or 0 without such an override."""
        return self._back_online_at.get(name, 0)

    def apply_operator_call(self, name: str, is_offline: bool) -> None:
        """Applies an operator's call that the other process of an upgrade has answered."""
        self._remember_name(name)
        if is_offline:
            self.take_offline(name)
        else:
            self.put_online(name)

    def take_offline(self, name: str) -> bool:
        """Bans the endpoint until `put_online`. Returns False if it was never listed."""
        if not self._is_known(name):
            return False
        if name not in self.offline:
            self.offline.add(name)
            self._publish_entry(name)
        return True

    def put_online(self, name: str) -> bool:
        """Ends the ban, even one requested several times. Returns False if the endpoint was never listed."""
        if not self._is_known(name):
            return False
        if name in self.offline:
            self.offline.discard(name)
            self._back_online_at[name] = self._now()
            self._reported_start_when_back.pop(name, None)
            self._publish_entry(name)
            self._remember_name(name)
        return True

    def _overridden_names(self, endpoints: EndpointList) -> Iterable[str]:
        packed = endpoints.packed
        if endpoints.is_snapshot:
            return packed.keys() & (self.offline | self._back_online_at.keys())
        return [name for name in packed if name in self.offline or name in self._back_online_at]

    def _forget_removed(self, endpoints: EndpointList) -> None:
        packed = endpoints.packed
        removed: Iterable[str] = [name for name in packed if is_removed(packed[name])]
        if endpoints.is_snapshot:
            self._as_discovered.clear()
            removed = [*removed, *(name for name in self._directory if name not in packed)]
        for name in removed:
            self._as_discovered.pop(name, None)
            self._remember_name(name)

    def _packed_as_discovered(self, name: str) -> PackedEntry:
        if name in self._as_discovered:
            return pack_entry(self._as_discovered[name])
        return self._directory.packed_entry(name)

    def _is_known(self, name: str) -> bool:
        return name in self._directory or name in self.offline or name in self._removed_names

    def _remember_name(self, name: str) -> None:
        self._removed_names[name] = None
        self._removed_names.move_to_end(name)
        if len(self._removed_names) > MAX_REMOVED_NAMES:
            self._removed_names.popitem(last=False)

    def _publish_entry(self, name: str) -> None:
        if name in self._directory:
            entry = self._as_discovered.setdefault(name, self._directory[name])
            self._publish(
                EndpointList.from_entries(self.list_version, False, [self._with_override(entry)]), None
            )

    def _with_override(self, entry: EndpointEntry) -> EndpointEntry:
        if entry.state is EndpointState.READY and entry.name in self.offline:
            return replace(entry, state=EndpointState.DRAINING)
        if entry.name not in self._back_online_at:
            return entry
        # Discovery's start times and ours are of different clocks, so only a change of the former counts.
        previous_reported_start = self._reported_start_when_back.setdefault(entry.name, entry.started_us)
        if previous_reported_start != entry.started_us:
            del self._back_online_at[entry.name]
            del self._reported_start_when_back[entry.name]
            return entry
        return replace(entry, started_us=self._back_online_at[entry.name])
