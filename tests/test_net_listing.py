"""Long lists: read as they come, kept in little, and told to the module in part."""

from __future__ import annotations

import asyncio
import json
import logging
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
from quota_ingress.net.discovery import endpoint_list as listing_module
from quota_ingress.net.discovery import operator_overrides as maintenance_module
from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint_list import Document, EndpointEntry, EndpointList, Line
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.policy import subsetting
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState
from quota_ingress.policy.gateway import Gateway
from quota_ingress.settings_codec import settings_from_json
from tests.net_helpers import HOST, RAW, Peer, PeerServer, Script, overrides_of_own_directory
from tests.process_helpers import ask, config, listens, start
from tests.support.fake_network import FakeNetwork, sender

FLEET, MANY = 7100, 90_000
LONG_FLEET = settings_from_json(json.dumps(RAW | {"fleet_size": FLEET}).encode())
TEXT = st.text(max_size=8)


def told(*endpoints: dict[str, Any], index: int = 1, whole: bool = True) -> EndpointList:
    return EndpointList({"index": index, "snapshot": whole, "endpoints": list(endpoints)})


def box(number: int, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
    address = f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7070"
    return {
        "name": f"s-{number:08x}",
        "address": address,
        "status": status,
        "zone": "hall",
        "type": "big",
        "group": number % 50,
        "weight": 1.0,
        "since_ms": since_ms,
    }


# Reading.


def read(data: bytes, cut: int) -> EndpointList:
    """A list whose text comes in parts of `cut` bytes, and is long from its first byte on."""
    document = Document()
    *lines, rest = data.split(b"\n")
    for line in [*lines, rest]:
        parts = [line[at : at + cut] for at in range(0, len(line), cut)]
        for part in parts:
            document.part(part)
        if isinstance(found := document.end(b""), EndpointList):
            return found
        assert found is Line.MORE
    raise AssertionError("no end")


@examples(max_examples=40, deadline=None)
@given(
    st.lists(
        st.builds(
            lambda n, t, w: {"name": n, "status": "up", "address": f"{t}:7", "weight": w, "t": t},
            TEXT,
            TEXT,
            st.floats(0, 9),
        ),
        max_size=6,
    ),
    st.sampled_from([None, 1]),
    st.booleans(),
    st.integers(1, 40),
    st.booleans(),
    st.integers(0, 99),
)
def test_a_long_list_is_read_as_a_short_one_however_it_is_cut(
    endpoints: list[dict[str, Any]], indent: int | None, ascii: bool, cut: int, first: bool, long: int
) -> None:
    fields = {"index": 12, "snapshot": True, "more": {"endpoints": [1, "}"]}}
    raw = {"endpoints": endpoints} | fields if first else fields | {"endpoints": endpoints}
    data = json.dumps(raw, indent=indent, ensure_ascii=ascii).encode()
    with pytest.MonkeyPatch.context() as always:
        always.setattr(listing_module, "LONG", long)
        found = read(data, cut)
    assert (found.index, found.is_snapshot, found.packed) == (12, True, EndpointList(json.loads(data)).packed)


@pytest.mark.parametrize(
    ("at", "bad"),
    [(0.5, b"}"), (0.5, b"["), (0.5, b"\xff"), (0.5, b",[],"), (0.9, b'"'), (0.5, b"\n\n"), (1, b",")],
)
def test_a_long_list_with_something_wrong_in_it_is_no_list(at: float, bad: bytes) -> None:
    data = json.dumps({"index": 1, "snapshot": True, "endpoints": [box(n) for n in range(4000)]}).encode()
    cut = int(at * len(data))
    with pytest.raises(ValueError):
        read(data[:cut] + bad + data[cut:], 65536)


def test_of_a_long_list_little_is_held_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listing_module, "MAX_LINE", 1_000_000)
    document, index = Document(), 0
    document.part(b'{"index":1,"snapshot":true,"endpoints":[')
    while index < 20_000:  # 3 MB in all
        document.part(b",".join(json.dumps(box(n)).encode() for n in range(index, index + 100)) + b",")
        index += 100
    document.part(json.dumps(box(index)).encode() + b"]")
    found = document.end(b"}")
    assert isinstance(found, EndpointList) and len(found.packed) == 20_001
    with pytest.raises(ValueError):  # one value without end
        document.part(b'{"index":"' + b"x" * 300_000)
        for _ in range(20):
            document.part(b"x" * 100_000)


def test_a_name_told_twice_and_a_removal_of_what_never_was_are_logged_and_nothing_is_lost(
    caplog: pytest.LogCaptureFixture,
) -> None:
    directory = EndpointDirectory()
    with caplog.at_level(logging.INFO):
        directory.take(told(box(1), box(2), box(1, "draining"), box(3, "removed")))
        directory.take(told(box(9, "removed"), box(4), whole=False))
    assert {n: e.status for n, e in directory.items()} == {
        box(1)["name"]: "draining",
        box(2)["name"]: "up",
        box(4)["name"]: "up",
    }
    assert directory.up == 2 and len(caplog.records) == 2
    assert "same name" in caplog.text and box(9)["name"] in caplog.text


@given(
    st.builds(
        lambda n, s, h, z, k, g, w, t: {
            "name": n,
            "status": s,
            "address": f"{h}:80",
            "zone": z,
            "type": k,
            "group": g,
            "weight": w,
            "since_ms": t,
        },
        TEXT,
        st.sampled_from(["up", "draining", "removed"]),
        TEXT,
        TEXT,
        TEXT,
        st.integers(),
        st.floats(allow_nan=False, allow_infinity=False),
        st.integers(-10, 2**48),
    ),
)
def test_an_entry_is_packed_without_loss(raw: dict[str, Any]) -> None:
    entry = EndpointEntry(raw)
    again = EndpointEntry.unpacked(entry.name, entry.packed())
    assert all(getattr(again, field) == getattr(entry, field) for field in EndpointEntry.__slots__)


# What the engine tells of a long list.


class LongWorld(FakeNetwork):
    """An ingress of a large fleet, to the real module if none is given."""

    def __init__(self, script: Any = None) -> None:
        super().__init__(script or Script(sender()))
        index = SettingsIndex(LONG_FLEET, RAW)
        self.engine = Engine(self.script, LONG_FLEET, index, self, self, lambda: self.time)
        self.known: dict[int, str] = {}

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        self.known[backend] = entry.name

    @property
    def last(self) -> EndpointsListed:
        return self.script.of(EndpointsListed)[-1]

    def held(self) -> set[str]:
        return set(self.engine.endpoints.numbers)


def test_the_module_is_told_of_the_part_held_and_how_many_are_ready_in_all() -> None:
    world = LongWorld()
    world.engine.update_endpoints(told(*(box(n) for n in range(20_000))))
    held = world.held()
    assert (
        300 < len(held) < 1500 and len(world.last.endpoints) == len(held) and world.last.ready_total == 20_000
    )
    assert set(world.known.values()) == held  # no other has a pool
    for number in range(500):
        entry = box(number, "draining")
        world.engine.update_endpoints(told(entry, index=2 + number, whole=False))
        drained = [EndpointState.DRAINING] * (entry["name"] in held)
        assert [
            b.state for b in world.last.endpoints
        ] == drained and world.last.ready_total == 19_999 - number
    assert world.held() == held and len(world.engine.directory) == 20_000


def test_dealing_anew_tells_the_module_just_the_difference() -> None:
    world, gateway = LongWorld(), Gateway(LONG_FLEET, 1)
    world.engine.update_endpoints(told(*(box(n) for n in range(1000))))
    assert len(world.held()) == 1000 and world.last.ready_total == 0  # all of them
    world.engine.update_endpoints(told(*(box(n) for n in range(1000, 1050)), index=2, whole=False))
    left = {n for n, name in world.known.items() if name not in world.held()}
    gone = {b.id for b in world.last.endpoints if b.state is EndpointState.REMOVED}
    assert gone == left == set(world.removed_endpoints) and 400 < len(world.held()) < 650
    new = {b.id for b in world.last.endpoints} - gone
    assert new <= set(world.known) and len(new) < 50 and world.last.ready_total == 1050
    world.engine.update_endpoints(
        told(*(box(n, "removed") for n in range(300)), index=3, whole=False)
    )  # 750 are left
    world.engine.update_endpoints(told(box(400, "draining"), index=4, whole=False))
    assert world.held() == {box(n)["name"] for n in range(300, 1050)}
    for event in world.script.of(EndpointsListed):
        gateway.handle(0, event)
    assert gateway.fleet.backends.keys() == set(world.engine.endpoints.numbers.values())
    assert len(gateway.fleet.ready) == gateway.fleet.total == 749


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
def test_engine_and_module_hold_the_same_after_any_lists_and_changes(
    events: list[tuple[bool, list[tuple[int, str, int]]]],
) -> None:
    with pytest.MonkeyPatch.context() as few:
        for name, value in {"ROW": 2, "OWN": 2, "WIDE_OWN": 3, "HELD": 6}.items():
            few.setattr(subsetting, name, value)
        world, gateway, now = LongWorld(), Gateway(LONG_FLEET, 1), dict[str, dict[str, Any]]()
        for whole, changes in events:
            entries = [box(*change) for change in changes]
            world.engine.update_endpoints(told(*entries, whole=whole))
            gateway.handle(0, world.last)
            now = ({} if whole else now) | {e["name"]: e for e in entries}
            now = {n: e for n, e in now.items() if e["status"] != "removed"}
            directory, fleet = world.engine.directory, gateway.fleet
            assert {n: e.status for n, e in directory.items()} == {n: e["status"] for n, e in now.items()}
            assert fleet.total == directory.up == sum(e["status"] == "up" for e in now.values())
            assert fleet.subset == world.engine.endpoints.subset
            assert fleet.backends.keys() == set(world.engine.endpoints.numbers.values())
            held = {world.known[n]: b.info.state is EndpointState.READY for n, b in fleet.backends.items()}
            assert held == {n: now[n]["status"] == "up" for n in held}
            ready = {n for n, e in now.items() if e["status"] == "up"}
            assert ready & held.keys() == {n for n in ready if world.engine.endpoints.in_subset(n)}
            assert world.engine.can_send == any(held.values())


def change_cost(count: int) -> float:
    """s of CPU for one change, from the line to the module, the least of some."""
    world, costs = LongWorld(Gateway(LONG_FLEET, 1)), []
    maintenance = OperatorOverrides(lambda: 0, world.engine.update_endpoints, world.engine.directory)
    maintenance.apply_list(told(*(box(n) for n in range(count))))
    held = next(int(name[2:], 16) for name in world.engine.endpoints.numbers)
    for n in range(40):
        raw = {"index": 2 + n, "snapshot": False, "endpoints": [box(held, since_ms=n)]}
        document, line = Document(), json.dumps(raw).encode()
        begun = time.process_time()
        found = document.end(line)
        assert isinstance(found, EndpointList)
        maintenance.apply_list(found)
        costs.append(time.process_time() - begun)
    return min(costs)


def test_a_change_costs_no_more_in_a_list_of_thirty_times_the_length() -> None:
    assert change_cost(30_000) < 5 * change_cost(1000)


# Operators.


def test_operators_take_out_any_backend_that_is_listed_held_or_not() -> None:
    world = LongWorld()
    maintenance = OperatorOverrides(lambda: 7_000_000, world.engine.update_endpoints, world.engine.directory)
    maintenance.apply_list(told(*(box(n) for n in range(2000))))
    held = world.held()
    for name in (next(iter(held)), next(n for n in world.engine.directory if n not in held)):
        assert maintenance.take_offline(name)
        assert world.engine.directory[name].status == "draining" and world.last.ready_total == 1999
        assert [b.state for b in world.last.endpoints] == [EndpointState.DRAINING] * (name in held)
        parts = {n: packed for part in maintenance.entry_batches() for n, packed in part.items()}
        assert (
            len(parts) == 2000 and EndpointEntry.unpacked(name, parts[name]).status == "up"
        )  # as discovery told it
        assert maintenance.put_online(name)
        assert world.engine.directory[name].started_us == 7_000_000 and world.last.ready_total == 2000


def test_names_of_backends_long_replaced_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(maintenance_module, "MAX_REMOVED_NAMES", 100)
    maintenance = overrides_of_own_directory(lambda: 0)
    maintenance.apply_list(told(box(0)))
    maintenance.take_offline(box(0)["name"])
    for n in range(300):
        maintenance.apply_list(told(box(n, "removed"), box(n + 1), whole=False))
    assert len(maintenance._removed_names) == 100 and list(maintenance.entries) == [box(300)["name"]]
    assert [maintenance.put_online(box(n)["name"]) for n in (0, 1, 299, 300, 301)] == [
        True,
        False,
        True,
        True,
        False,
    ]
    maintenance.apply_list(told(box(0), whole=False))
    assert maintenance.entries[box(0)["name"]].status == "up"


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


def test_a_process_that_held_90_000_backends_before_stays_under_64_mb_and_reads_none_at_sighup(
    tmp_path: Path,
) -> None:
    """Read whole, the list in its configuration took it to 99 MB, and to 130 at each SIGHUP."""
    boxes = [box(n, since_ms=1_700_000_000_000 + n) for n in range(MANY)]
    known, path = {"index": 1, "snapshot": True, "endpoints": boxes}, tmp_path / "config.json"
    path.write_text(json.dumps(config(known=known, settings=RAW | {"fleet_size": FLEET})))
    ran = start(path)
    listens(ran)
    held = peak(ran.pid)
    path.write_text(json.dumps(config(known={"endpoints": [{"status": "up", "address": 7}]})))
    ran.send_signal(signal.SIGHUP)
    time.sleep(0.2)
    ran.send_signal(signal.SIGTERM)
    _, errors = ran.communicate(timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors and "known" not in errors
    assert 30_000 < held < 64_000
    assert reload_config(str(path)).known_endpoints is None


def test_a_broken_entry_among_those_held_before_is_told_and_the_whole_list_asked_for(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    path = tmp_path / "config.json"
    for entries, found in (([box(1), box(2)], 2), ([box(1), box(2) | {"address": "nowhere"}], None)):
        known = {"index": 1, "snapshot": True, "endpoints": entries}
        path.write_text(json.dumps(config(known=known)), "utf-8-sig")
        read = load_config(str(path), {}).known_endpoints
        assert (read and len(read.entries)) == found
    assert "known: not understood" in caplog.text


async def test_a_process_that_is_told_90_000_backends_twice_stays_under_64_mb(tmp_path: Path) -> None:
    """Its module took 127 MB, and the list was longer than any that it read."""
    boxes = [box(n, since_ms=1_700_000_000_000 + n) for n in range(MANY)]
    whole = json.dumps({"index": 1, "snapshot": True, "endpoints": boxes}).encode()
    agent = await PeerServer(gives(whole)).start()
    fleet = RAW | {"fleet_size": FLEET}
    made = config(discovery=f"{HOST}:{agent.port}", counter=None, known=[], settings=fleet)
    (tmp_path / "config.json").write_text(json.dumps(made))
    ran = start(tmp_path / "config.json", EDGE_ADMIN=f"{HOST}:0")
    assert ran.stderr
    admin = 0
    while not admin:
        line = await asyncio.to_thread(ran.stderr.readline)
        admin = int(line.rpartition(":")[2]) if "operators call" in line else 0
    await asyncio.to_thread(listens, ran)
    async with asyncio.timeout(60):
        await agent.until(lambda: bool(agent.watched))
        last = json.dumps({"index": 3, "snapshot": False, "endpoints": [box(MANY)]}).encode()
        for part in (whole + b"\n", last + b"\n"):
            agent.peers[0].transport.write(b"%x\r\n%b\r\n" % (len(part), part))
        call = f"POST /control/backends/{box(MANY)['name']}/offline HTTP/1.1\r\nHost: a\r\n\r\n".encode()
        while not (await ask(admin, call)).startswith(b"HTTP/1.1 200 "):
            await asyncio.sleep(0.05)
    most = peak(ran.pid)
    ran.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    assert ran.returncode == 0 and "Traceback" not in errors
    assert 30_000 < most < 64_000
    agent.stop()
