"""Operators' overrides of single endpoints, laid over the endpoint list that discovery sends.

An endpoint that operators have taken offline (a ban) is published as draining, whatever discovery says. One
that they have put back online is published as started at that moment, so that it gets a slow start, until
discovery reports a later start.
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

MAX_REMOVED_NAMES = 5000  # that operators may still call by: six hours' worth of the largest fleet
ENTRIES_PER_BATCH = 1000

PublishList = Callable[[EndpointList, ListKind | None], None]


class IncompleteListError(ValueError):
    """Some entries of the other process's endpoint list did not arrive."""


class OverridesSnapshot(NamedTuple):
    """The operators' overrides, and the size of the list that they are laid over, for another process."""

    list_version: int
    endpoint_count: int
    offline: tuple[str, ...]
    back_online_at: Mapping[str, int]  # us of the shared clock, by name, of those put back online
    removed_names: tuple[str, ...]


class OperatorOverrides:
    """The endpoints that operators have taken offline and put back online."""

    def __init__(self, now: Callable[[], int], publish: PublishList, directory: EndpointDirectory) -> None:
        """Starts without overrides.

        Args:
            now: The process's clock, in microseconds.
            publish: Takes each endpoint list and change with the overrides laid over it.
            directory: The table of endpoints into which `publish` takes them.
        """
        self.offline: set[str] = set()
        self.list_version = 0
        self._back_online_at: dict[str, int] = {}  # us, by name: when operators put it back online
        self._reported_start_when_back: dict[
            str, int
        ] = {}  # as discovery said then: a later start ends the override
        self._now = now
        self._publish = publish
        self._directory = directory
        self._as_discovered: dict[str, EndpointEntry] = {}  # of listed endpoints with an override
        self._removed_names: OrderedDict[str, None] = OrderedDict()  # the oldest first
        self._incoming_entries: dict[str, PackedEntry] = {}  # by name, of the other process's list

    @property
    def entries(self) -> Mapping[str, EndpointEntry]:
        """The endpoint list with the overrides laid over it."""
        return self._directory

    def apply_list(self, endpoints: EndpointList, kind: ListKind | None = None) -> None:
        """Lays the overrides over a list or a change from discovery, in place, and publishes it.

        The cost of a change depends on the size of the change, not of the list.
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
        """Returns the overrides for another process of this ingress."""
        unlisted = (self._removed_names.keys() | self.offline) - self._directory.keys()
        return OverridesSnapshot(
            list_version=self.list_version,
            endpoint_count=len(self._directory),
            offline=tuple(sorted(self.offline)),
            back_online_at=dict(self._back_online_at),
            removed_names=tuple(sorted(unlisted)),
        )

    def entry_batches(self) -> Iterator[dict[str, PackedEntry]]:
        """Yields the list as discovery sent it, packed, some entries at a time to bound the memory taken."""
        names = iter(self._directory)
        while batch := list(islice(names, ENTRIES_PER_BATCH)):
            yield {name: self._packed_as_discovered(name) for name in batch}

    def restore_entries(self, entries: Mapping[str, PackedEntry]) -> None:
        """Takes a batch of the other process's list, before `restore`."""
        self._incoming_entries.update(entries)

    def restore(self, snapshot: OverridesSnapshot, endpoints: EndpointList | None = None) -> EndpointList:
        """Takes over another process's overrides, and returns its list for `apply_list`.

        Args:
            snapshot: The overrides.
            endpoints: The list, from a version that sends it whole; None: it came in batches.

        Raises:
            IncompleteListError: Batches are missing. The overrides are not taken over, either.
        """
        incoming = self._incoming_entries
        self._incoming_entries = {}
        if endpoints is None:
            if len(incoming) != snapshot.endpoint_count:
                raise IncompleteListError(f"{len(incoming)} backends of {snapshot.endpoint_count}")
            endpoints = EndpointList(snapshot.list_version, True, incoming)
        for name in snapshot.removed_names:
            self._remember_name(name)
        self.offline = set(snapshot.offline)
        self._back_online_at = dict(snapshot.back_online_at)
        return endpoints

    def back_online_at(self, name: str) -> int:
        """Returns when operators put the endpoint back online, in us; 0 where another start counts."""
        return self._back_online_at.get(name, 0)

    def apply_operator_call(self, name: str, is_offline: bool) -> None:
        """Follows a call that the other process of this ingress has answered."""
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
        """Ends the ban, however often it was called for. Returns False if the endpoint was never listed."""
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
        # Discovery's moments and ours are of two clocks, so only a change of discovery's own moment counts.
        discovered_start = self._reported_start_when_back.setdefault(entry.name, entry.started_us)
        if discovered_start != entry.started_us:
            del self._back_online_at[entry.name]
            del self._reported_start_when_back[entry.name]
            return entry
        return replace(entry, started_us=self._back_online_at[entry.name])
