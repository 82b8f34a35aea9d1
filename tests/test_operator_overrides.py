"""Operators' overrides, between discovery's lists and the lists that are published."""

from __future__ import annotations

import json
import random

import pytest

from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_codec import STATUS_BY_STATE, decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.operator_overrides import IncompleteListError
from quota_ingress.net.lifecycle.upgrade_messages import (
    ServingState,
    decode_state,
    encode_state,
)
from quota_ingress.policy.actions import AddToCounter, SendAttempt
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import AttemptEnded, CounterAnswered, Outcome, RequestArrived
from quota_ingress.policy.gateway import Gateway
from tests.net_helpers import (
    HOST,
    SETTINGS,
    entry,
    overrides_of_own_directory,
)


class Fixture:
    """Overrides with a simulated discovery and a record of the lists that they publish."""

    def __init__(self) -> None:
        self.time_us = 5_000_000
        self.published: list[EndpointList] = []
        self.overrides = overrides_of_own_directory(lambda: self.time_us, self.published.append)

    def discover(self, *entries: dict[str, object], is_snapshot: bool = True) -> None:
        """Applies a snapshot or a delta; endpoints are up unless an entry says otherwise."""
        endpoints = [{"address": f"{HOST}:1", "status": "up"} | entry for entry in entries]
        document = {"index": 4, "snapshot": is_snapshot, "endpoints": endpoints}
        self.overrides.apply_list(decode_endpoint_list(document))

    @property
    def last_published(self) -> dict[str, tuple[str, int]]:
        """Returns the status and start (us) of each endpoint in the list published last."""
        entries = self.published[-1].entries
        return {entry.name: (STATUS_BY_STATE[entry.state], entry.started_us) for entry in entries}


def test_an_endpoint_taken_offline_is_published_as_draining_whatever_discovery_says() -> None:
    fixture = Fixture()
    fixture.discover({"name": "a"}, {"name": "b"})
    assert fixture.overrides.take_offline("a") and fixture.overrides.take_offline("a")
    assert (
        len(fixture.published) == 2
        and not fixture.published[-1].is_snapshot
        and fixture.last_published == {"a": ("draining", 0)}
    )
    fixture.discover({"name": "a"}, {"name": "b"})
    assert fixture.last_published == {"a": ("draining", 0), "b": ("up", 0)}
    fixture.discover({"name": "a", "since_ms": 4000}, is_snapshot=False)  # it was restarted meanwhile
    assert fixture.last_published == {"a": ("draining", 4_000_000)}
    fixture.discover({"name": "a", "status": "removed"}, is_snapshot=False)
    assert fixture.last_published["a"][0] == "removed"
    fixture.discover({"name": "a"}, is_snapshot=False)
    assert fixture.last_published["a"][0] == "draining"


def test_an_endpoint_put_online_is_cold_whatever_the_list_says() -> None:
    fixture = Fixture()
    fixture.discover({"name": "a"})
    fixture.overrides.take_offline("a")
    fixture.overrides.take_offline("a")
    fixture.time_us = 9_000_000
    assert fixture.overrides.put_online("a")  # one call ends a ban that was requested twice
    assert fixture.last_published == {"a": ("up", 9_000_000)}
    fixture.discover({"name": "a"})
    assert fixture.last_published == {"a": ("up", 9_000_000)}
    fixture.discover({"name": "a", "since_ms": 12_000}, is_snapshot=False)
    assert fixture.last_published == {"a": ("up", 12_000_000)}
    count = len(fixture.published)
    fixture.time_us = 20_000_000
    assert (
        fixture.overrides.put_online("a") and len(fixture.published) == count
    )  # it was not offline: nothing changes


def test_an_endpoint_never_listed_is_not_known_and_one_removed_is() -> None:
    fixture = Fixture()
    fixture.discover({"name": "a"}, {"name": "b"})
    assert not fixture.overrides.take_offline("c") and not fixture.overrides.put_online("c")
    fixture.discover({"name": "b", "status": "removed"}, is_snapshot=False)
    assert fixture.overrides.take_offline("b") and len(fixture.published) == 2


async def test_an_endpoint_taken_offline_gets_nothing_and_put_online_gets_requests_again() -> None:
    """With the real policy: a normal drain, then a normal cold start."""
    gateway = Gateway(SETTINGS, 1)
    now_us = 1_000_000_000
    numbers = {"a": 1, "b": 2}

    def list_endpoints(endpoints: EndpointList) -> None:
        listed = tuple(
            ListedEndpoint(numbers[entry.name], entry.state, 0, 0, 0, 1.0, entry.started_us)
            for entry in endpoints.entries
        )
        kind = ListKind.FULL if endpoints.is_snapshot else ListKind.DELTA
        gateway.handle(now_us, EndpointsListed(kind, endpoints.version, listed))

    overrides = overrides_of_own_directory(lambda: now_us, list_endpoints)
    entries = [{"name": name, "address": f"{HOST}:1", "status": "up"} for name in numbers]
    overrides.apply_list(decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": entries}))
    number = 0

    def endpoints_used() -> set[int]:
        nonlocal number, now_us
        used: set[int] = set()
        for _ in range(60):
            number += 1
            now_us += 40_000
            arrived = RequestArrived(number, 0, 0, number, 1.0, 3_000_000)
            actions = gateway.handle(now_us, arrived)
            for call in [a for a in actions if isinstance(a, AddToCounter)]:
                actions += gateway.handle(now_us, CounterAnswered(call.name, Outcome.OK, call.amount, 1))
            for sent in [a for a in actions if isinstance(a, SendAttempt)]:
                used.add(sent.endpoint)
                ended = AttemptEnded(number, 0, sent.endpoint, Outcome.OK, 20_000, True)
                gateway.handle(now_us, ended)
        return used

    assert endpoints_used() == {1, 2}
    overrides.take_offline("a")
    assert endpoints_used() == {2}
    overrides.put_online("a")
    assert endpoints_used() == {1, 2}


def encode_and_decode(state: ServingState) -> ServingState:
    return decode_state(json.loads(json.dumps(encode_state(state))))


def test_operators_overrides_survive_an_upgrade() -> None:
    published: list[EndpointList] = []
    old = overrides_of_own_directory(lambda: 7_000_000, published.append)
    new = overrides_of_own_directory(lambda: 9_000_000, published.append)
    snapshot = EndpointList.from_entries(0, True, (entry("a", 1, since_ms=3), entry("b", 2), entry("c", 3)))
    old.apply_list(snapshot)
    old.take_offline("a")
    old.take_offline("b")
    old.put_online("b")
    for batch in old.entry_batches():  # encoded as between the processes of an upgrade
        new.restore_entries(json.loads(json.dumps(batch)))
    state = encode_and_decode(ServingState(old.snapshot(), is_draining=False, clock_base_us=1))
    new.apply_list(new.restore(state.overrides))
    last_entries = {
        e.name: (STATUS_BY_STATE[e.state], e.started_us, e.address) for e in published[-1].entries
    }
    assert last_entries["a"] == ("draining", 3000, (HOST, 1)) and last_entries["c"] == ("up", 0, (HOST, 3))
    assert last_entries["b"] == ("up", 7_000_000, (HOST, 2))
    new.apply_operator_call("a", is_offline=False)
    assert published[-1].entries[0].state is EndpointState.READY and not new.offline
    with pytest.raises(IncompleteListError):
        new.restore(old.snapshot())  # the entries have not been restored


class DrawnSequence:
    """Draws lists, operators' calls and upgrades, and compares what is published with what has been said."""

    NAMES = ("a", "b", "c")

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_us = 1_000_000_000
        self.discovered: dict[str, tuple[str, int]] = {}  # state and start in ms, by name
        self.banned: set[str] = set()
        self.version = 0
        self.overrides = overrides_of_own_directory(lambda: self.now_us)

    def step(self) -> None:
        self.now_us += self.rng.randrange(1, 3_000_000)
        steps = (self.list_change, self.list_change, self.snapshot, self.call, self.call, self.upgrade)
        self.rng.choice(steps)()
        for name, published in self.overrides.entries.items():
            state, _ = self.discovered[name]
            expected = "draining" if name in self.banned else state
            assert STATUS_BY_STATE[published.state] == expected
        assert self.overrides.entries.keys() == self.discovered.keys()

    def draw_entry(self, name: str) -> None:
        started_ms = self.discovered.get(name, ("", 0))[1]
        if self.rng.random() < 0.3:
            started_ms += 1000
        self.discovered[name] = (self.rng.choice(("up", "up", "draining")), started_ms)

    def list_change(self) -> None:
        name = self.rng.choice(self.NAMES)
        if name in self.discovered and self.rng.random() < 0.2:
            del self.discovered[name]
            self.publish([entry(name, 1, "removed")], is_snapshot=False)
        else:
            self.draw_entry(name)
            self.publish([self.entry(name)], is_snapshot=False)

    def snapshot(self) -> None:
        self.discovered = {name: e for name, e in self.discovered.items() if self.rng.random() < 0.9}
        for name in list(self.discovered):
            self.draw_entry(name)
        self.publish([self.entry(name) for name in self.discovered], is_snapshot=True)

    def call(self) -> None:
        name = self.rng.choice(self.NAMES)
        if self.rng.random() < 0.5:
            if self.overrides.take_offline(name):
                self.banned.add(name)
        elif self.overrides.put_online(name):
            self.banned.discard(name)

    def upgrade(self) -> None:
        new = overrides_of_own_directory(lambda: self.now_us)
        for batch in self.overrides.entry_batches():
            new.restore_entries(json.loads(json.dumps(batch)))
        state = encode_and_decode(ServingState(self.overrides.snapshot(), False, clock_base_us=1))
        new.apply_list(new.restore(state.overrides))
        self.overrides = new

    def entry(self, name: str) -> EndpointEntry:
        state, started_ms = self.discovered[name]
        return entry(name, 1, state, started_ms)

    def publish(self, entries: list[EndpointEntry], is_snapshot: bool) -> None:
        self.version += 1
        self.overrides.apply_list(EndpointList.from_entries(self.version, is_snapshot, entries))


@pytest.mark.parametrize("seed", range(400))
def test_what_is_published_is_what_discovery_and_operators_said_last(seed: int) -> None:
    """Guards against a stale copy: one that drained was used again after an upgrade or a second ban."""
    sequence = DrawnSequence(seed)
    for _ in range(50):
        sequence.step()


def test_an_endpoint_that_returns_after_an_upgrade_has_the_start_that_discovery_reports() -> None:
    """Guards against taking a cold endpoint for warm: an earlier return from a ban was its start."""
    old = overrides_of_own_directory(lambda: 7_000_000)
    old.apply_list(EndpointList.from_entries(1, True, [entry("a", 1, since_ms=3)]))
    old.take_offline("a")
    old.put_online("a")
    old.apply_list(EndpointList.from_entries(2, False, [entry("a", 1, "removed")]))
    new = overrides_of_own_directory(lambda: 50_000_000)
    new.apply_list(new.restore(encode_and_decode(ServingState(old.snapshot(), False, 1)).overrides))
    new.apply_list(EndpointList.from_entries(3, False, [entry("a", 1, since_ms=49_000)]))
    assert new.entries["a"].started_us == 49_000_000
