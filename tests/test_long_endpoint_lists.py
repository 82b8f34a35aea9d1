"""Long endpoint lists, from discovery to the policy: bounded memory, and work in proportion to changes."""

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
from quota_ingress.net.discovery import operator_overrides as overrides_module
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
from tests.support.fake_network import FakeNetwork, send_on_arrival

FLEET_SIZE, LONG_LIST = 7100, 90_000
LARGE_FLEET_SETTINGS = settings_from_json(json.dumps(RAW | {"fleet_size": FLEET_SIZE}).encode())


# Events that the engine sends to the policy for a long list.


class LargeFleetNetwork(FakeNetwork):
    """An engine in a large fleet, with a scripted policy if none is given."""

    def __init__(self, script: Any = None) -> None:
        super().__init__(script or Script(send_on_arrival()))
        index = SettingsIndex(LARGE_FLEET_SETTINGS, RAW)
        self.engine = Engine(self.script, LARGE_FLEET_SETTINGS, index, self, self, lambda: self.time)
        self.name_by_number: dict[int, str] = {}

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        self.name_by_number[backend] = entry.name

    @property
    def last_event(self) -> EndpointsListed:
        return self.script.events_of_type(EndpointsListed)[-1]

    def registered_names(self) -> set[str]:
        return set(self.engine.endpoints.numbers)


def test_the_policy_is_notified_of_its_subset_and_of_the_number_of_ready_endpoints() -> None:
    network = LargeFleetNetwork()
    network.engine.update_endpoints(endpoint_list(*(endpoint_fields(n) for n in range(20_000))))
    registered = network.registered_names()
    assert (
        300 < len(registered) < 1500
        and len(network.last_event.endpoints) == len(registered)
        and network.last_event.ready_total == 20_000
    )
    assert set(network.name_by_number.values()) == registered  # no other endpoint has a pool
    for number in range(500):
        entry = endpoint_fields(number, "draining")
        network.engine.update_endpoints(endpoint_list(entry, version=2 + number, is_snapshot=False))
        drained = [EndpointState.DRAINING] * (entry["name"] in registered)
        assert [
            b.state for b in network.last_event.endpoints
        ] == drained and network.last_event.ready_total == 19_999 - number
    assert network.registered_names() == registered and len(network.engine.directory) == 20_000


def test_a_change_of_the_subset_notifies_the_policy_of_the_difference_only() -> None:
    network, gateway = LargeFleetNetwork(), Gateway(LARGE_FLEET_SETTINGS, 1)
    network.engine.update_endpoints(endpoint_list(*(endpoint_fields(n) for n in range(1000))))
    assert (
        len(network.registered_names()) == 1000 and network.last_event.ready_total == 0
    )  # 0: every endpoint is in the list
    network.engine.update_endpoints(
        endpoint_list(*(endpoint_fields(n) for n in range(1000, 1050)), version=2, is_snapshot=False)
    )
    deregistered = {n for n, name in network.name_by_number.items() if name not in network.registered_names()}
    removed = {b.id for b in network.last_event.endpoints if b.state is EndpointState.REMOVED}
    assert (
        removed == deregistered == set(network.removed_endpoints)
        and 400 < len(network.registered_names()) < 650
    )
    new = {b.id for b in network.last_event.endpoints} - removed
    assert new <= set(network.name_by_number) and len(new) < 50 and network.last_event.ready_total == 1050
    network.engine.update_endpoints(
        endpoint_list(*(endpoint_fields(n, "removed") for n in range(300)), version=3, is_snapshot=False)
    )  # 750 endpoints remain
    network.engine.update_endpoints(
        endpoint_list(endpoint_fields(400, "draining"), version=4, is_snapshot=False)
    )
    assert network.registered_names() == {endpoint_fields(n)["name"] for n in range(300, 1050)}
    for event in network.script.events_of_type(EndpointsListed):
        gateway.handle(0, event)
    assert gateway.endpoints.candidates.keys() == set(network.engine.endpoints.numbers.values())
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
    updates: list[tuple[bool, list[tuple[int, str, int]]]],
) -> None:
    with pytest.MonkeyPatch.context() as monkeypatch:
        for name, value in {
            "SUBSET_GROUP_SIZE": 2,
            "MIN_PREFERRED": 2,
            "MIN_PREFERRED_WIDE": 3,
            "MIN_CANDIDATES": 6,
        }.items():
            monkeypatch.setattr(subsetting, name, value)
        network, gateway, listed = (
            LargeFleetNetwork(),
            Gateway(LARGE_FLEET_SETTINGS, 1),
            dict[str, dict[str, Any]](),
        )
        for is_snapshot, changes in updates:
            entries = [endpoint_fields(*change) for change in changes]
            network.engine.update_endpoints(endpoint_list(*entries, is_snapshot=is_snapshot))
            gateway.handle(0, network.last_event)
            listed = ({} if is_snapshot else listed) | {e["name"]: e for e in entries}
            listed = {n: e for n, e in listed.items() if e["status"] != "removed"}
            directory, endpoint_set = network.engine.directory, gateway.endpoints
            assert {n: STATUS_BY_STATE[e.state] for n, e in directory.items()} == {
                n: e["status"] for n, e in listed.items()
            }
            assert (
                endpoint_set.ready_total
                == directory.ready_count
                == sum(e["status"] == "up" for e in listed.values())
            )
            assert endpoint_set.subset == network.engine.endpoints.subset
            assert endpoint_set.candidates.keys() == set(network.engine.endpoints.numbers.values())
            is_ready_by_name = {
                network.name_by_number[n]: b.entry.state is EndpointState.READY
                for n, b in endpoint_set.candidates.items()
            }
            assert is_ready_by_name == {n: listed[n]["status"] == "up" for n in is_ready_by_name}
            ready = {n for n, e in listed.items() if e["status"] == "up"}
            assert ready & is_ready_by_name.keys() == {
                n for n in ready if network.engine.endpoints.in_subset(n)
            }
            assert network.engine.can_send == any(is_ready_by_name.values())


def change_cost(count: int) -> float:
    """Returns the least CPU time (s) of 40 deltas, from line to policy, in a list of `count` endpoints."""
    network, costs = LargeFleetNetwork(Gateway(LARGE_FLEET_SETTINGS, 1)), []
    overrides = OperatorOverrides(lambda: 0, network.engine.update_endpoints, network.engine.directory)
    overrides.apply_list(endpoint_list(*(endpoint_fields(n) for n in range(count))))
    number = next(int(name[2:], 16) for name in network.engine.endpoints.numbers)
    for n in range(40):
        document = {"index": 2 + n, "snapshot": False, "endpoints": [endpoint_fields(number, since_ms=n)]}
        parser, line = EndpointListParser(), json.dumps(document).encode()
        begun = time.process_time()
        delta = parser.end_line(line)
        assert isinstance(delta, EndpointList)
        overrides.apply_list(delta)
        costs.append(time.process_time() - begun)
    return min(costs)


def test_a_change_costs_no_more_in_a_list_of_thirty_times_the_length() -> None:
    assert change_cost(30_000) < 5 * change_cost(1000)


# Operators.


def test_operators_take_any_listed_endpoint_offline_in_the_subset_or_not() -> None:
    network = LargeFleetNetwork()
    overrides = OperatorOverrides(
        lambda: 7_000_000, network.engine.update_endpoints, network.engine.directory
    )
    overrides.apply_list(endpoint_list(*(endpoint_fields(n) for n in range(2000))))
    registered = network.registered_names()
    for name in (next(iter(registered)), next(n for n in network.engine.directory if n not in registered)):
        assert overrides.take_offline(name)
        assert (
            network.engine.directory[name].state is EndpointState.DRAINING
            and network.last_event.ready_total == 1999
        )
        assert [b.state for b in network.last_event.endpoints] == [EndpointState.DRAINING] * (
            name in registered
        )
        entries = {n: packed for batch in overrides.entry_batches() for n, packed in batch.items()}
        assert (
            len(entries) == 2000 and unpack_entry(name, entries[name]).state is EndpointState.READY
        )  # as discovery sent it
        assert overrides.put_online(name)
        assert (
            network.engine.directory[name].started_us == 7_000_000 and network.last_event.ready_total == 2000
        )


def test_names_of_endpoints_replaced_long_ago_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(overrides_module, "MAX_RECORDED_NAMES", 100)
    overrides = overrides_of_own_directory(lambda: 0)
    overrides.apply_list(endpoint_list(endpoint_fields(0)))
    overrides.take_offline(endpoint_fields(0)["name"])
    for n in range(300):
        overrides.apply_list(
            endpoint_list(endpoint_fields(n, "removed"), endpoint_fields(n + 1), is_snapshot=False)
        )
    assert len(overrides._recorded_names) == 100 and list(overrides.entries) == [endpoint_fields(300)["name"]]
    assert [overrides.put_online(endpoint_fields(n)["name"]) for n in (0, 1, 299, 300, 301)] == [
        True,
        False,
        True,
        True,
        False,
    ]
    overrides.apply_list(endpoint_list(endpoint_fields(0), is_snapshot=False))
    assert overrides.entries[endpoint_fields(0)["name"]].state is EndpointState.READY


# A complete process.


def serve_snapshot(snapshot: bytes) -> Callable[[Peer], None]:
    def respond(peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            head, _, peer.data = peer.data.partition(b"\r\n\r\n")
            if b"watch=1" in head:
                peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                peer.server.watched.append(head)
                peer.server.changed.set()
            else:
                peer.transport.write(
                    b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(snapshot), snapshot)
                )

    return respond


def peak_memory_kb(pid: int) -> int:
    status = Path(f"/proc/{pid}/status").read_text()
    return next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))


def test_a_process_that_knew_90_000_endpoints_stays_under_64_mb_and_reads_none_at_sighup(
    tmp_path: Path,
) -> None:
    """Guards against decoding the configured list in one piece: 99 MB at the start, 130 MB at each SIGHUP."""
    endpoints = [endpoint_fields(n, since_ms=1_700_000_000_000 + n) for n in range(LONG_LIST)]
    known, path = {"index": 1, "snapshot": True, "endpoints": endpoints}, tmp_path / "config.json"
    path.write_text(json.dumps(config_document(known=known, settings=RAW | {"fleet_size": FLEET_SIZE})))
    process = start_ingress(path)
    listening_port(process)
    peak_kb = peak_memory_kb(process.pid)
    path.write_text(json.dumps(config_document(known={"endpoints": [{"status": "up", "address": 7}]})))
    process.send_signal(signal.SIGHUP)
    time.sleep(0.2)
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 0 and "Traceback" not in errors and "known" not in errors
    assert 30_000 < peak_kb < 64_000
    assert reload_config(str(path)).known_endpoints is None


def test_a_malformed_known_list_is_logged_and_a_snapshot_fetched(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "config.json"
    for entries, expected_count in (
        ([endpoint_fields(1), endpoint_fields(2)], 2),
        ([endpoint_fields(1), endpoint_fields(2) | {"address": "nowhere"}], None),
    ):
        known = {"index": 1, "snapshot": True, "endpoints": entries}
        path.write_text(json.dumps(config_document(known=known)), "utf-8-sig")
        endpoints = load_config(str(path), {}).known_endpoints
        assert (endpoints and len(endpoints.entries)) == expected_count
    assert "known: invalid endpoint list" in caplog.text


async def test_a_process_that_receives_90_000_endpoints_twice_stays_under_64_mb(tmp_path: Path) -> None:
    """Guards against 127 MB in the policy for such a list, and against a limit that rejects its length."""
    endpoints = [endpoint_fields(n, since_ms=1_700_000_000_000 + n) for n in range(LONG_LIST)]
    snapshot = json.dumps({"index": 1, "snapshot": True, "endpoints": endpoints}).encode()
    agent = await PeerServer(serve_snapshot(snapshot)).start()
    settings = RAW | {"fleet_size": FLEET_SIZE}
    document = config_document(discovery=f"{HOST}:{agent.port}", counter=None, known=[], settings=settings)
    (tmp_path / "config.json").write_text(json.dumps(document))
    process = start_ingress(tmp_path / "config.json", EDGE_ADMIN=f"{HOST}:0")
    assert process.stderr
    admin = 0
    while not admin:
        line = await asyncio.to_thread(process.stderr.readline)
        admin = int(line.rpartition(":")[2]) if "operators: listening for calls" in line else 0
    await asyncio.to_thread(listening_port, process)
    async with asyncio.timeout(60):
        await agent.wait_until(lambda: bool(agent.watched))
        delta = json.dumps(
            {"index": 3, "snapshot": False, "endpoints": [endpoint_fields(LONG_LIST)]}
        ).encode()
        for list_line in (snapshot + b"\n", delta + b"\n"):
            agent.peers[0].transport.write(b"%x\r\n%b\r\n" % (len(list_line), list_line))
        name = endpoint_fields(LONG_LIST)["name"]
        call = f"POST /control/backends/{name}/offline HTTP/1.1\r\nHost: a\r\n\r\n".encode()
        while not (await fetch(admin, call)).startswith(b"HTTP/1.1 200 "):
            await asyncio.sleep(0.05)
    peak_kb = peak_memory_kb(process.pid)
    await stop_orderly(process)
    assert 30_000 < peak_kb < 64_000
    agent.stop()
