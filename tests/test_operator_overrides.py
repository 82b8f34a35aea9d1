"""Operators' overrides between a pretended discovery and whatever is told of the list."""

from __future__ import annotations

import json
from typing import Any

import pytest

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


class Told:
    """Maintenance between a pretended discovery and the engine."""

    def __init__(self) -> None:
        self.time, self.heard = 5_000_000, list[EndpointList]()
        self.maintenance = overrides_of_own_directory(lambda: self.time, self.heard.append)

    def list(self, *entries: dict[str, object], whole: bool = True) -> None:
        named = [{"address": f"{HOST}:1", "status": "up"} | e for e in entries]
        self.maintenance.apply_list(decode_endpoint_list({"index": 4, "snapshot": whole, "endpoints": named}))

    @property
    def last(self) -> dict[str, tuple[str, int]]:
        return {e.name: (STATUS_BY_STATE[e.state], e.started_us) for e in self.heard[-1].entries}


def test_a_backend_taken_out_is_told_as_draining_whatever_discovery_says() -> None:
    told = Told()
    told.list({"name": "a"}, {"name": "b"})
    assert told.maintenance.take_offline("a") and told.maintenance.take_offline("a")
    assert len(told.heard) == 2 and not told.heard[-1].is_snapshot and told.last == {"a": ("draining", 0)}
    told.list({"name": "a"}, {"name": "b"})
    assert told.last == {"a": ("draining", 0), "b": ("up", 0)}
    told.list({"name": "a", "since_ms": 4000}, whole=False)  # it was restarted meanwhile
    assert told.last == {"a": ("draining", 4_000_000)}
    told.list({"name": "a", "status": "removed"}, whole=False)
    assert told.last["a"][0] == "removed"
    told.list({"name": "a"}, whole=False)
    assert told.last["a"][0] == "draining"


def test_a_backend_put_back_is_cold_whatever_the_list_says() -> None:
    told = Told()
    told.list({"name": "a"})
    told.maintenance.take_offline("a")
    told.maintenance.take_offline("a")
    told.time = 9_000_000
    assert told.maintenance.put_online("a")  # one call back ends it
    assert told.last == {"a": ("up", 9_000_000)}
    told.list({"name": "a"})
    assert told.last == {"a": ("up", 9_000_000)}
    told.list({"name": "a", "since_ms": 12_000}, whole=False)
    assert told.last == {"a": ("up", 12_000_000)}
    count = len(told.heard)
    told.time = 20_000_000
    assert told.maintenance.put_online("a") and len(told.heard) == count  # it was not out: nothing changes


def test_a_backend_never_listed_is_owed_a_no_and_one_removed_is_not() -> None:
    told = Told()
    told.list({"name": "a"}, {"name": "b"})
    assert not told.maintenance.take_offline("c") and not told.maintenance.put_online("c")
    told.list({"name": "b", "status": "removed"}, whole=False)
    assert told.maintenance.take_offline("b") and len(told.heard) == 2


async def test_a_backend_taken_out_gets_nothing_and_put_back_gets_requests_again() -> None:
    """Through the real module: an ordinary drain, then an ordinary cold start."""
    gateway, time = Gateway(SETTINGS, 1), [1_000_000_000]
    boxes: dict[str, int] = {"a": 1, "b": 2}

    def tell(listing: EndpointList) -> None:
        told = [ListedEndpoint(boxes[e.name], e.state, 0, 0, 0, 1.0, e.started_us) for e in listing.entries]
        way = ListKind.FULL if listing.is_snapshot else ListKind.DELTA
        gateway.handle(time[0], EndpointsListed(way, listing.version, tuple(told)))

    maintenance = overrides_of_own_directory(lambda: time[0], tell)
    up = [{"name": name, "address": f"{HOST}:1", "status": "up"} for name in boxes]
    maintenance.apply_list(decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": up}))
    number = 0

    def sends() -> set[int]:
        nonlocal number
        went: set[int] = set()
        for _ in range(60):
            number, time[0] = number + 1, time[0] + 40_000
            arrived = RequestArrived(number, 0, 0, number, 1.0, 3_000_000)
            actions = gateway.handle(time[0], arrived)
            for call in [a for a in actions if isinstance(a, AddToCounter)]:
                actions += gateway.handle(time[0], CounterAnswered(call.name, Outcome.OK, call.amount, 1))
            for sent in [a for a in actions if isinstance(a, SendAttempt)]:
                went.add(sent.endpoint)
                ended = AttemptEnded(number, 0, sent.endpoint, Outcome.OK, 20_000, True)
                gateway.handle(time[0], ended)
        return went

    assert sends() == {1, 2}
    maintenance.take_offline("a")
    assert sends() == {2}
    maintenance.put_online("a")
    assert sends() == {1, 2}


def through_the_codec(state: ServingState) -> ServingState:
    return decode_state(json.loads(json.dumps(encode_state(state))))


def test_operators_calls_hold_across_an_upgrade() -> None:
    heard: list[Any] = []
    old = overrides_of_own_directory(lambda: 7_000_000, heard.append)
    made = overrides_of_own_directory(lambda: 9_000_000, heard.append)
    listing = EndpointList.from_entries(0, True, (entry("a", 1, since_ms=3), entry("b", 2), entry("c", 3)))
    old.apply_list(listing)
    old.take_offline("a")
    old.take_offline("b")
    old.put_online("b")
    for part in old.entry_batches():  # as it comes through the channel
        made.restore_entries(json.loads(json.dumps(part)))
    state = through_the_codec(ServingState(old.snapshot(), is_draining=False, clock_base_us=1))
    made.apply_list(made.restore(state.overrides))
    told = {e.name: (STATUS_BY_STATE[e.state], e.started_us, e.address) for e in heard[-1].entries}
    assert told["a"] == ("draining", 3000, (HOST, 1)) and told["c"] == ("up", 0, (HOST, 3))
    assert told["b"] == ("up", 7_000_000, (HOST, 2))
    made.apply_operator_call("a", is_offline=False)
    assert heard[-1].entries[0].state is EndpointState.READY and not made.offline
    with pytest.raises(IncompleteListError):
        made.restore(old.snapshot())  # the list itself did not come
