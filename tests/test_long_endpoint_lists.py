"""Long endpoint lists, from discovery to the policy: little memory, and no more work than what changes."""

from __future__ import annotations

import asyncio
import json
import signal
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from quota_ingress.config import load_config, reload_config
from quota_ingress.net.discovery import operator_overrides as maintenance_module
from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_codec import STATUS_BY_STATE
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.list_parser import EndpointListParser
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.discovery.packed_entry import unpack_entry
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.policy import subsetting
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState
from quota_ingress.policy.gateway import Gateway
from quota_ingress.settings_codec import settings_from_json
from tests.net_helpers import HOST, RAW, Peer, PeerServer, Script, overrides_of_own_directory
from tests.process_helpers import config_document, fetch, listening_port, start_ingress, stop_orderly
from tests.support.discovery import (
    endpoint_fields,
    endpoint_list,
)
from tests.support.fake_network import FakeNetwork, sender

FLEET, MANY = 7100, 90_000
LARGE_FLEET_SETTINGS = settings_from_json(json.dumps(RAW | {"fleet_size": FLEET}).encode())


# What the engine tells the policy of a long list.


class LargeFleetNetwork(FakeNetwork):
    """An engine of a large fleet, with a scripted policy if none is given."""

    def __init__(self, script: Any = None) -> None:
        super().__init__(script or Script(sender()))
        index = SettingsIndex(LARGE_FLEET_SETTINGS, RAW)
        self.engine = Engine(self.script, LARGE_FLEET_SETTINGS, index, self, self, lambda: self.time)
        self.known: dict[int, str] = {}

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        self.known[backend] = entry.name

    @property
    def last(self) -> EndpointsListed:
        return self.script.of(EndpointsListed)[-1]

    def held(self) -> set[str]:
        return set(self.engine.endpoints.numbers)


def test_the_policy_is_notified_of_its_subset_and_of_how_many_are_ready_in_all() -> None:
    world = LargeFleetNetwork()
    world.engine.update_endpoints(endpoint_list(*(endpoint_fields(n) for n in range(20_000))))
    held = world.held()
    assert (
        300 < len(held) < 1500 and len(world.last.endpoints) == len(held) and world.last.ready_total == 20_000
    )
    assert set(world.known.values()) == held  # no other has a pool
    for number in range(500):
        entry = endpoint_fields(number, "draining")
        world.engine.update_endpoints(endpoint_list(entry, version=2 + number, is_snapshot=False))
        drained = [EndpointState.DRAINING] * (entry["name"] in held)
        assert [
            b.state for b in world.last.endpoints
        ] == drained and world.last.ready_total == 19_999 - number
    assert world.held() == held and len(world.engine.directory) == 20_000


def test_another_subset_notifies_the_policy_of_just_the_difference() -> None:
    world, gateway = LargeFleetNetwork(), Gateway(LARGE_FLEET_SETTINGS, 1)
    world.engine.update_endpoints(endpoint_list(*(endpoint_fields(n) for n in range(1000))))
    assert len(world.held()) == 1000 and world.last.ready_total == 0  # all of them
    world.engine.update_endpoints(
        endpoint_list(*(endpoint_fields(n) for n in range(1000, 1050)), version=2, is_snapshot=False)
    )
    left = {n for n, name in world.known.items() if name not in world.held()}
    gone = {b.id for b in world.last.endpoints if b.state is EndpointState.REMOVED}
    assert gone == left == set(world.removed_endpoints) and 400 < len(world.held()) < 650
    new = {b.id for b in world.last.endpoints} - gone
    assert new <= set(world.known) and len(new) < 50 and world.last.ready_total == 1050
    world.engine.update_endpoints(
        endpoint_list(*(endpoint_fields(n, "removed") for n in range(300)), version=3, is_snapshot=False)
    )  # 750 are left
    world.engine.update_endpoints(
        endpoint_list(endpoint_fields(400, "draining"), version=4, is_snapshot=False)
    )
    assert world.held() == {endpoint_fields(n)["name"] for n in range(300, 1050)}
    for event in world.script.of(EndpointsListed):
        gateway.handle(0, event)
    assert gateway.endpoints.candidates.keys() == set(world.engine.endpoints.numbers.values())
    assert len(gateway.endpoints.ready) == gateway.endpoints.ready_total == 749


@examples(max_examples=40, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.booleans(),
            st.lists(
                st.tuples(
                    st.integers(1, 40), st.sampled_from(["up", "draining", "removed"]), st.integers(0, 2)
                ),
                max_size=40,
            ),
        ),
        min_size=1,
        max_size=10,
    ),
)
def test_engine_and_policy_hold_the_same_after_any_snapshots_and_deltas(
    events: list[tuple[bool, list[tuple[int, str, int]]]],
) -> None:
    with pytest.MonkeyPatch.context() as few:
        for name, value in {
            "SUBSET_GROUP_SIZE": 2,
            "MIN_PREFERRED": 2,
            "MIN_PREFERRED_WIDE": 3,
            "MIN_CANDIDATES": 6,
        }.items():
            few.setattr(subsetting, name, value)
        world, gateway, now = (
            LargeFleetNetwork(),
            Gateway(LARGE_FLEET_SETTINGS, 1),
            dict[str, dict[str, Any]](),
        )
        for whole, changes in events:
            entries = [endpoint_fields(*change) for change in changes]
            world.engine.update_endpoints(endpoint_list(*entries, is_snapshot=whole))
            gateway.handle(0, world.last)
            now = ({} if whole else now) | {e["name"]: e for e in entries}
            now = {n: e for n, e in now.items() if e["status"] != "removed"}
            directory, fleet = world.engine.directory, gateway.endpoints
            assert {n: STATUS_BY_STATE[e.state] for n, e in directory.items()} == {
                n: e["status"] for n, e in now.items()
            }
            assert (
                fleet.ready_total == directory.ready_count == sum(e["status"] == "up" for e in now.values())
            )
            assert fleet.subset == world.engine.endpoints.subset
            assert fleet.candidates.keys() == set(world.engine.endpoints.numbers.values())
            held = {world.known[n]: b.entry.state is EndpointState.READY for n, b in fleet.candidates.items()}
            assert held == {n: now[n]["status"] == "up" for n in held}
            ready = {n for n, e in now.items() if e["status"] == "up"}
            assert ready & held.keys() == {n for n in ready if world.engine.endpoints.in_subset(n)}
            assert world.engine.can_send == any(held.values())


def change_cost(count: int) -> float:
    """s of CPU for one change, from the line to the module, the least of some."""
    world, costs = LargeFleetNetwork(Gateway(LARGE_FLEET_SETTINGS, 1)), []
    maintenance = OperatorOverrides(lambda: 0, world.engine.update_endpoints, world.engine.directory)
    maintenance.apply_list(endpoint_list(*(endpoint_fields(n) for n in range(count))))
    held = next(int(name[2:], 16) for name in world.engine.endpoints.numbers)
    for n in range(40):
        raw = {"index": 2 + n, "snapshot": False, "endpoints": [endpoint_fields(held, since_ms=n)]}
        document, line = EndpointListParser(), json.dumps(raw).encode()
        begun = time.process_time()
        found = document.end_line(line)
        assert isinstance(found, EndpointList)
        maintenance.apply_list(found)
        costs.append(time.process_time() - begun)
    return min(costs)


def test_a_change_costs_no_more_in_a_list_of_thirty_times_the_length() -> None:
    assert change_cost(30_000) < 5 * change_cost(1000)


# Operators.


def test_operators_take_any_listed_endpoint_offline_in_the_subset_or_not() -> None:
    world = LargeFleetNetwork()
    maintenance = OperatorOverrides(lambda: 7_000_000, world.engine.update_endpoints, world.engine.directory)
    maintenance.apply_list(endpoint_list(*(endpoint_fields(n) for n in range(2000))))
    held = world.held()
    for name in (next(iter(held)), next(n for n in world.engine.directory if n not in held)):
        assert maintenance.take_offline(name)
        assert world.engine.directory[name].state is EndpointState.DRAINING and world.last.ready_total == 1999
        assert [b.state for b in world.last.endpoints] == [EndpointState.DRAINING] * (name in held)
        parts = {n: packed for part in maintenance.entry_batches() for n, packed in part.items()}
        assert (
            len(parts) == 2000 and unpack_entry(name, parts[name]).state is EndpointState.READY
        )  # as discovery told it
        assert maintenance.put_online(name)
        assert world.engine.directory[name].started_us == 7_000_000 and world.last.ready_total == 2000


def test_names_of_endpoints_replaced_long_ago_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(maintenance_module, "MAX_REMOVED_NAMES", 100)
    maintenance = overrides_of_own_directory(lambda: 0)
    maintenance.apply_list(endpoint_list(endpoint_fields(0)))
    maintenance.take_offline(endpoint_fields(0)["name"])
    for n in range(300):
        maintenance.apply_list(
            endpoint_list(endpoint_fields(n, "removed"), endpoint_fields(n + 1), is_snapshot=False)
        )
    assert len(maintenance._removed_names) == 100 and list(maintenance.entries) == [
        endpoint_fields(300)["name"]
    ]
    assert [maintenance.put_online(endpoint_fields(n)["name"]) for n in (0, 1, 299, 300, 301)] == [
        True,
        False,
        True,
        True,
        False,
    ]
    maintenance.apply_list(endpoint_list(endpoint_fields(0), is_snapshot=False))
    assert maintenance.entries[endpoint_fields(0)["name"]].state is EndpointState.READY


# A whole process.


def gives(whole: bytes) -> Callable[[Peer], None]:
    def heard(peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            head, _, peer.data = peer.data.partition(b"\r\n\r\n")
            if b"watch=1" in head:
                peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                peer.server.watched.append(head)
                peer.server.changed.set()
            else:
                peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(whole), whole))

    return heard


def peak(pid: int) -> int:  # kB of memory, at the most until now
    status = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))


def test_a_process_that_knew_90_000_endpoints_stays_under_64_mb_and_reads_none_at_sighup(
    tmp_path: Path,
) -> None:
    """Read whole, the list in its configuration took it to 99 MB, and to 130 at each SIGHUP."""
    boxes = [endpoint_fields(n, since_ms=1_700_000_000_000 + n) for n in range(MANY)]
    known, path = {"index": 1, "snapshot": True, "endpoints": boxes}, tmp_path / "config.json"
    path.write_text(json.dumps(config_document(known=known, settings=RAW | {"fleet_size": FLEET})))
    ran = start_ingress(path)
    listening_port(ran)
    held = peak(ran.pid)
    path.write_text(json.dumps(config_document(known={"endpoints": [{"status": "up", "address": 7}]})))
    ran.send_signal(signal.SIGHUP)
    time.sleep(0.2)
    ran.send_signal(signal.SIGTERM)
    _, errors = ran.communicate(timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors and "known" not in errors
    assert 30_000 < held < 64_000
    assert reload_config(str(path)).known_endpoints is None


def test_a_malformed_known_list_is_logged_and_a_snapshot_fetched(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "config.json"
    for entries, found in (
        ([endpoint_fields(1), endpoint_fields(2)], 2),
        ([endpoint_fields(1), endpoint_fields(2) | {"address": "nowhere"}], None),
    ):
        known = {"index": 1, "snapshot": True, "endpoints": entries}
        path.write_text(json.dumps(config_document(known=known)), "utf-8-sig")
        read = load_config(str(path), {}).known_endpoints
        assert (read and len(read.entries)) == found
    assert "known: invalid endpoint list" in caplog.text


async def test_a_process_that_receives_90_000_endpoints_twice_stays_under_64_mb(tmp_path: Path) -> None:
    """Its module took 127 MB, and the list was longer than any that it read."""
    boxes = [endpoint_fields(n, since_ms=1_700_000_000_000 + n) for n in range(MANY)]
    whole = json.dumps({"index": 1, "snapshot": True, "endpoints": boxes}).encode()
    agent = await PeerServer(gives(whole)).start()
    fleet = RAW | {"fleet_size": FLEET}
    made = config_document(discovery=f"{HOST}:{agent.port}", counter=None, known=[], settings=fleet)
    (tmp_path / "config.json").write_text(json.dumps(made))
    ran = start_ingress(tmp_path / "config.json", EDGE_ADMIN=f"{HOST}:0")
    assert ran.stderr
    admin = 0
    while not admin:
        line = await asyncio.to_thread(ran.stderr.readline)
        admin = int(line.rpartition(":")[2]) if "operators: listening for calls" in line else 0
    await asyncio.to_thread(listening_port, ran)
    async with asyncio.timeout(60):
        await agent.until(lambda: bool(agent.watched))
        last = json.dumps({"index": 3, "snapshot": False, "endpoints": [endpoint_fields(MANY)]}).encode()
        for part in (whole + b"\n", last + b"\n"):
            agent.peers[0].transport.write(b"%x\r\n%b\r\n" % (len(part), part))
        name = endpoint_fields(MANY)["name"]
        call = f"POST /control/backends/{name}/offline HTTP/1.1\r\nHost: a\r\n\r\n".encode()
        while not (await fetch(admin, call)).startswith(b"HTTP/1.1 200 "):
            await asyncio.sleep(0.05)
    most = peak(ran.pid)
    await stop_orderly(ran)
    assert 30_000 < most < 64_000
    agent.stop()
