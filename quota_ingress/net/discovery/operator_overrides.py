"""Operators' overrides of single endpoints, applied to the endpoint list that discovery sends.

An endpoint that operators have taken offline (a ban) is published as draining if discovery lists it as ready.
One that they have put back online is published as started at that moment, so that it gets a slow start; this
override ends when discovery reports another start.
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

# Names recorded because operators' calls for removed endpoints are still accepted; as many as the largest
# fleet removes in six hours.
MAX_RECORDED_NAMES = 5000
ENTRIES_PER_BATCH = 1000

PublishList = Callable[[EndpointList, ListKind | None], None]


class IncompleteListError(ValueError):
    """Some entries of the endpoint list of the other process of an upgrade have not arrived."""


class OverridesSnapshot(NamedTuple):
    """The overrides of one process of an upgrade, with version and size of its list, for the other one."""

    list_version: int
    endpoint_count: int
    offline: tuple[str, ...]
    back_online_at: Mapping[str, int]  # us by name, on the clock that both processes share
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
        # The start that discovery reports when an endpoint is put back online, or first reports after that
        # (us, by name); a different one ends the override.
        self._reported_start_after_ban: dict[str, int] = {}
        self._now = now
        self._publish = publish
        self._directory = directory
        self._as_discovered: dict[str, EndpointEntry] = {}  # where the directory's entry differs
        # Names of removed endpoints, and of others that operators' calls have named.
        self._recorded_names: OrderedDict[str, None] = OrderedDict()  # oldest first
        self._incoming_entries: dict[str, PackedEntry] = {}  # of the other process's list, by name

    @property
    def entries(self) -> Mapping[str, EndpointEntry]:
        """The current endpoint list, with the overrides applied."""
        return self._directory

    def apply_list(self, endpoints: EndpointList, kind: ListKind | None = None) -> None:
        """Applies the overrides to a snapshot or delta from discovery, in place, and publishes it.

        The cost of a delta depends on the length of the delta, not of the list.
        """
        self._record_removed(endpoints)
        packed = endpoints.packed
        for name in self._overridden_names(endpoints):
            if not is_removed(packed[name]):
                packed[name] = pack_entry(self._override(unpack_entry(name, packed[name])))
        self.list_version = endpoints.version
        self._publish(endpoints, kind)

    def snapshot(self) -> OverridesSnapshot:
        """Returns the overrides for the other process of an upgrade."""
        unlisted = (self._recorded_names.keys() | self.offline) - self._directory.keys()
        return OverridesSnapshot(
            list_version=self.list_version,
            endpoint_count=len(self._directory),
            offline=tuple(sorted(self.offline)),
            # One that is not listed has ended since: when it is listed again, it has started again.
            back_online_at={n: at for n, at in self._back_online_at.items() if n in self._directory},
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
            self._record_name(name)
        self.offline = set(snapshot.offline)
        self._back_online_at = dict(snapshot.back_online_at)
        return endpoints

    def back_online_at(self, name: str) -> int:
        """Returns when operators put the endpoint back online (us), or 0 without such an override."""
        return self._back_online_at.get(name, 0)

    def apply_operator_call(self, name: str, is_offline: bool) -> None:
        """Applies an operator's call that the other process of an upgrade has answered."""
        self._record_name(name)
        if is_offline:
            self.take_offline(name)
        else:
            self.put_online(name)

    def take_offline(self, name: str) -> bool:
        """Bans the endpoint until `put_online`.

        Returns False if the endpoint is unknown: neither listed nor offline, and its name is not
        recorded, or no longer.
        """
        if not self._is_known(name):
            return False
        if name not in self.offline:
            self.offline.add(name)
            self._publish_entry(name)
        return True

    def put_online(self, name: str) -> bool:
        """Ends the ban, however many calls requested it.

        Returns False if the endpoint is unknown, as in `take_offline`.
        """
        if not self._is_known(name):
            return False
        if name in self.offline:
            self.offline.discard(name)
            self._back_online_at[name] = self._now()
            self._reported_start_after_ban.pop(name, None)
            self._publish_entry(name)
            self._record_name(name)
        return True

    def _overridden_names(self, endpoints: EndpointList) -> Iterable[str]:
        packed = endpoints.packed
        if endpoints.is_snapshot:
            return packed.keys() & (self.offline | self._back_online_at.keys())
        return [name for name in packed if name in self.offline or name in self._back_online_at]

    def _record_removed(self, endpoints: EndpointList) -> None:
        packed = endpoints.packed
        removed: Iterable[str] = [name for name in packed if is_removed(packed[name])]
        if endpoints.is_snapshot:
            self._as_discovered.clear()
            removed = [*removed, *(name for name in self._directory if name not in packed)]
        for name in removed:
            self._as_discovered.pop(name, None)
            self._record_name(name)

    def _packed_as_discovered(self, name: str) -> PackedEntry:
        if name in self._as_discovered:
            return pack_entry(self._as_discovered[name])
        return self._directory.packed_entry(name)

    def _is_known(self, name: str) -> bool:
        return name in self._directory or name in self.offline or name in self._recorded_names

    def _record_name(self, name: str) -> None:
        self._recorded_names[name] = None
        self._recorded_names.move_to_end(name)
        if len(self._recorded_names) > MAX_RECORDED_NAMES:
            self._recorded_names.popitem(last=False)

    def _publish_entry(self, name: str) -> None:
        if name in self._directory:
            as_discovered = self._as_discovered.get(name) or self._directory[name]
            published = [self._override(as_discovered)]
            self._publish(EndpointList.from_entries(self.list_version, False, published), None)

    def _override(self, as_discovered: EndpointEntry) -> EndpointEntry:
        """Returns the entry to publish. What discovery says is kept while it differs, and only then."""
        published = self._with_override(as_discovered)
        if published == as_discovered:
            self._as_discovered.pop(as_discovered.name, None)
        else:
            self._as_discovered[as_discovered.name] = as_discovered
        return published

    def _with_override(self, entry: EndpointEntry) -> EndpointEntry:
        if entry.state is EndpointState.READY and entry.name in self.offline:
            return replace(entry, state=EndpointState.DRAINING)
        if entry.name not in self._back_online_at:
            return entry
        # Discovery's start times are on another clock than ours, so they are compared only with each other.
        first_reported_start = self._reported_start_after_ban.setdefault(entry.name, entry.started_us)
        if first_reported_start != entry.started_us:
            del self._back_online_at[entry.name]
            del self._reported_start_after_ban[entry.name]
            return entry
        return replace(entry, started_us=self._back_online_at[entry.name])
