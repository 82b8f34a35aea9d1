"""The endpoints that the policy knows: this gateway's subset of the list, and their numbers."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.start_times import StartTimes, age_tolerance
from quota_ingress.net.engine.ports import Upstream
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.settings import Settings
from quota_ingress.policy.subsetting import assign_subset


@dataclass(slots=True)
class _Change:
    """What one update changes in the subset."""

    registered: list[tuple[EndpointEntry, int]] = field(default_factory=list)  # entry and number
    removed: list[int] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class EndpointUpdate:
    """The policy's event for an update, and the numbers of the endpoints that have left the subset."""

    event: EndpointsListed
    removed: list[int]


class EndpointRegistry:
    """Keeps the directory of all endpoints, and assigns numbers to those in this gateway's subset.

    Attributes:
        directory: All listed endpoints.
        numbers: Number by name of the endpoints in the subset; a number is never reused.
        subset: This gateway's subset of the list.
        back_online_at: Returns the time (us of the process's clock) at which operators put the named endpoint
            back online; 0 if they have not.
    """

    def __init__(self, settings: Settings, settings_index: SettingsIndex, upstream: Upstream) -> None:
        """Starts empty. Entries are registered with `upstream` before the policy is notified of them."""
        self.directory = EndpointDirectory()
        self.numbers: dict[str, int] = {}
        self.subset = assign_subset(settings.gateway_index, settings.fleet_size, 0)
        self.back_online_at: Callable[[str], int] = lambda name: 0
        self._settings = settings
        self._settings_index = settings_index
        self._upstream = upstream
        self._start_times = StartTimes(age_tolerance(settings.safety))
        self._last_number = 0
        self._ready: set[str] = set()

    @property
    def any_ready(self) -> bool:
        """Whether any endpoint in the subset accepts requests."""
        return bool(self._ready)

    def update(self, listing: EndpointList, kind: ListKind | None, now: int) -> EndpointUpdate:
        """Applies a snapshot or a delta of the endpoint list at `now` (us).

        `kind` is reported to the policy; None stands for FULL for a snapshot and DELTA for a delta.
        """
        kind = kind or (ListKind.FULL if listing.is_snapshot else ListKind.DELTA)
        self.directory.apply(listing)
        subset_before = self.subset
        self.subset = assign_subset(
            self._settings.gateway_index, self._settings.fleet_size, self.directory.ready_count, subset_before
        )
        change = _Change()
        for name in self._changed(listing, self.subset != subset_before):
            self._apply(name, change)
        entries = [*change.registered, *self._found_older(change.registered, now)]
        listed = [self._listed_endpoint(entry, number, now) for entry, number in entries]
        if not listing.is_snapshot:
            listed += [_removed_endpoint(number) for number in change.removed]
        ready_total = self.directory.ready_count if self.subset.candidate_parts > 1 else 0
        event = EndpointsListed(kind, listing.version, tuple(listed), ready_total)
        return EndpointUpdate(event, change.removed)

    def _changed(self, listing: EndpointList, subset_changed: bool) -> Iterable[str]:
        """Yields the names to update; those that enter or leave because the subset has changed come last."""
        if listing.is_snapshot:
            yield from self.directory
            yield from [name for name in self.numbers if name not in self.directory]
            return
        yield from listing.packed
        if subset_changed:
            yield from [name for name in self.directory if self.in_subset(name) != (name in self.numbers)]

    def in_subset(self, name: str) -> bool:
        """Returns whether the endpoint belongs to this gateway's subset.

        A draining endpoint does not enter a partial subset, but one that is already in it stays.
        """
        if name not in self.directory or not self.subset.is_candidate(hash_key(name)):
            return False
        return self.subset.candidate_parts == 1 or name in self.numbers or self.directory.is_ready(name)

    def _apply(self, name: str, change: _Change) -> None:
        if self.in_subset(name):
            change.registered.append(self._register(name))
        elif number := self.numbers.pop(name, 0):
            change.removed.append(number)
            self._ready.discard(name)
            self._start_times.forget(name)

    def _register(self, name: str) -> tuple[EndpointEntry, int]:
        if name not in self.numbers:
            self._last_number += 1
            self.numbers[name] = self._last_number
        entry = self.directory[name]
        number = self.numbers[name]
        self._upstream.register_endpoint(entry, number)
        if entry.state is EndpointState.READY:
            self._ready.add(name)
        else:
            self._ready.discard(name)
        return entry, number

    def _found_older(
        self, registered: list[tuple[EndpointEntry, int]], now: int
    ) -> list[tuple[EndpointEntry, int]]:
        """Returns other endpoints that must be older than assumed, given the start times in `registered`."""
        older: set[str] = set()
        for entry, _ in registered:
            if entry.started_us != self.back_online_at(entry.name):
                older.update(self._start_times.observe(entry.started_us, now))
        older -= {entry.name for entry, _ in registered}
        return [(self.directory[name], self.numbers[name]) for name in older if name in self.numbers]

    def _listed_endpoint(self, entry: EndpointEntry, number: int, now: int) -> ListedEndpoint:
        started_at = entry.started_us  # already on this process's clock if operators put it back online
        if started_at != self.back_online_at(entry.name):
            started_at = self._start_times.local_start(entry.name, entry.started_us, now)
        return ListedEndpoint(
            id=number,
            state=entry.state,
            zone=self._settings_index.zones.get(entry.zone, 0),
            cell=entry.group,
            kind=self._settings_index.machine_types.get(entry.machine_type, 0),
            weight=entry.weight,
            started_at=started_at,
            hash_key=hash_key(entry.name),
        )


def hash_key(name: str) -> int:
    """Returns a nonzero hash of the name that is the same at every ingress."""
    return zlib.crc32(name.encode(errors="surrogatepass")) or 1


def _removed_endpoint(number: int) -> ListedEndpoint:
    return ListedEndpoint(number, EndpointState.REMOVED, zone=0, cell=0, kind=0, weight=1.0, started_at=0)
