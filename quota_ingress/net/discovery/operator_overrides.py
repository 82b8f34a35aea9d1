"""The backends that operators have taken out, laid over what discovery lists."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import replace
from itertools import islice
from typing import Any

from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.packed_entry import PackedEntry, is_removed, pack_entry, unpack_entry
from quota_ingress.policy.endpoint_list import EndpointState, ListKind

Tell = Callable[[EndpointList, ListKind | None], None]
MAX_REMOVED_NAMES = (
    5000  # names removed last that operators may still call by: of the largest fleet those of six hours
)

PART = 1000  # entries told to another process at a time


class OperatorOverrides:
    """The one place where the two meet: the module hears of an ordinary drain, and of an ordinary start."""

    def __init__(
        self, now: Callable[[], int], tell: Tell, directory: EndpointDirectory | None = None
    ) -> None:
        """`directory`: the table into which `tell` takes what it is told; without one, it is kept here."""
        self.offline: set[str] = set()
        self._restart_moments: dict[
            str, int
        ] = {}  # when it was put back: it was restarted meanwhile, so it is cold
        self._start_when_restored: dict[
            str, int
        ] = {}  # the start that discovery told of these then; a later one counts
        self.index = 0
        self._now, self._publish, self._keeps = now, tell, directory is None
        self._directory = EndpointDirectory() if directory is None else directory
        self._as_discovered: dict[str, EndpointEntry] = {}  # by operators, and listed: as discovery told last
        self._removed_names: OrderedDict[str, None] = OrderedDict()
        self._incoming_entries: dict[
            str, PackedEntry
        ] = {}  # packed: told by the process that this one takes over from

    @property
    def entries(self) -> Mapping[str, EndpointEntry]:
        """The list as it is told on."""
        return self._directory

    def apply_list(self, listing: EndpointList, kind: ListKind | None = None) -> None:
        """A change costs as much as it changes."""
        packed, directory = listing.packed, self._directory
        left: Iterable[str] = (n for n in packed if is_removed(packed[n]))
        if listing.is_snapshot:
            self._as_discovered.clear()
            left = [*left, *(n for n in directory if n not in packed)]
        for name in left:
            self._as_discovered.pop(name, None)
            self._remember_name(name)
        few = (
            packed.keys() & (self.offline | self._restart_moments.keys())
            if listing.is_snapshot
            else packed.keys()
        )
        for name in few:
            if not is_removed(packed[name]) and (name in self.offline or name in self._restart_moments):
                self._as_discovered[name] = unpack_entry(name, packed[name])
                packed[name] = pack_entry(self._with_override(self._as_discovered[name]))
        self.index = listing.version
        self._pass_on(listing, kind)

    def snapshot(self) -> dict[str, Any]:
        """For another process: what discovery told last, and what operators asked for."""
        gone = sorted((self._removed_names.keys() | self.offline) - self._directory.keys())
        counted = {"index": self.index, "count": len(self._directory)}
        return {"listed": counted, "out": sorted(self.offline), "back": self._restart_moments, "gone": gone}

    def entry_batches(self) -> Iterator[dict[str, str]]:
        """The list that `described` counts, some entries at a time, packed: all at once take much memory."""
        names = iter(self._directory)
        while some := list(islice(names, PART)):
            yield {
                n: pack_entry(self._as_discovered[n])
                if n in self._as_discovered
                else self._directory.packed_entry(n)
                for n in some
            }

    def restore_entries(self, part: dict[str, str]) -> None:
        """Some of the other process's list, before it is taken up."""
        for name, packed in part.items():
            self._incoming_entries[name] = pack_entry(unpack_entry(name, packed))

    def restore(self, told: dict[str, Any]) -> EndpointList:
        """The other process's list, once what operators asked of it holds here, too. ValueError if some of
        the list is missing.
        """
        coming, self._incoming_entries = self._incoming_entries, {}
        if "listing" in told:  # by a process of an earlier version
            listing = decode_endpoint_list(told["listing"])
        elif len(coming) == told["listed"]["count"]:
            listing = EndpointList(int(told["listed"]["index"]), True, coming)
        else:
            raise ValueError(f"{len(coming)} backends of {told['listed']['count']}")
        out, back = {str(n) for n in told["out"]}, {str(n): int(at) for n, at in told["back"].items()}
        for name in told["gone"]:
            self._remember_name(str(name))
        self.offline, self._restart_moments = out, back
        return listing

    def restarted_at(self, name: str) -> int:
        """The moment in us of this process's clock, if that is what counts as its start; else 0."""
        return self._restart_moments.get(name, 0)

    def apply_operator_call(self, name: str, out: bool) -> None:
        """A call at another process of the same ingress: it has answered it, and both follow it."""
        self._remember_name(name)
        if out:
            self.take_offline(name)
        else:
            self.put_online(name)

    def take_offline(self, name: str) -> bool:
        if not self._is_known(name):
            return False
        if name not in self.offline:
            self.offline.add(name)
            self._publish_entry(name)
        return True

    def put_online(self, name: str) -> bool:
        """One call back ends the ban, however often the backend was taken out."""
        if not self._is_known(name):
            return False
        if name in self.offline:
            self.offline.discard(name)
            self._restart_moments[name] = self._now()
            self._start_when_restored.pop(name, None)
            self._publish_entry(name)
            self._remember_name(name)
        return True

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
            self._pass_on(EndpointList.from_entries(self.index, False, [self._with_override(entry)]), None)

    def _pass_on(self, listing: EndpointList, kind: ListKind | None) -> None:
        if self._keeps:
            self._directory.apply(listing)
        self._publish(listing, kind)

    def _with_override(self, entry: EndpointEntry) -> EndpointEntry:
        """Moments of two clocks are never compared: what operators did counts until another start is told."""
        if entry.state is EndpointState.READY and entry.name in self.offline:
            return replace(entry, state=EndpointState.DRAINING)
        if entry.name not in self._restart_moments:
            return entry
        if self._start_when_restored.setdefault(entry.name, entry.started_us) != entry.started_us:
            del self._restart_moments[entry.name], self._start_when_restored[entry.name]
            return entry
        return replace(entry, started_us=self._restart_moments[entry.name])
