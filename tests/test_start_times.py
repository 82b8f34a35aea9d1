"""Start times of endpoints on this process's clock, with a correct and with a wrong wall clock."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import replace
from pathlib import Path

import pytest

from ingress_testbed.faults import Faults, build
from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.discovery.start_times import LONG_AGO, MAX_CLOCK_STEP_US, StartTimes, age_tolerance
from quota_ingress.net.engine.endpoint_registry import hash_key
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.policy.endpoint_list import EndpointsListed
from quota_ingress.policy.slow_start import SLOW_START_BUDGET_FRACTION
from tests.net_helpers import HOST, OK, RAW, SETTINGS, Peer, PeerServer, Script, request
from tests.process_helpers import config_document, fetch, listening_port, start_ingress

SECOND = 1_000_000
NOW = 1_800_000_000 * SECOND  # us on the fleet's clock
HOUR = 3600 * SECOND
CLOCK_OFFSETS = [0, 3 * SECOND, HOUR, -3 * SECOND, -HOUR]


def age(starts: StartTimes, name: str, reported_at: int, now: int) -> int:
    return now - starts.local_start(name, reported_at, now)


@pytest.mark.parametrize("clock_offset", CLOCK_OFFSETS)
def test_a_start_that_has_just_been_reported_never_counts_as_older_than_it_is(clock_offset: int) -> None:
    """Starts reported earlier must not either; `clock_offset` is this wall clock minus the fleet's, in us."""
    starts, reported = StartTimes(), {"a": NOW - 8 * SECOND, "b": NOW - SECOND, "c": NOW - 60 * SECOND}
    for start in reported.values():
        starts.observe(start, NOW + clock_offset)
    for name, start in reported.items():
        assert 0 <= age(starts, name, start, NOW + clock_offset) <= NOW - start
    starts.observe(NOW + 5 * SECOND, NOW + 5 * SECOND + clock_offset)
    assert age(starts, "d", NOW + 5 * SECOND, NOW + 5 * SECOND + clock_offset) == 0


@pytest.mark.parametrize("clock_offset", CLOCK_OFFSETS)
def test_a_start_ages_from_its_report_on(clock_offset: int) -> None:
    """Guards against an endpoint that stays cold beyond its warm-up because of a wrong wall clock."""
    starts = StartTimes()
    first = age(starts, "a", NOW - SECOND, NOW + clock_offset)
    assert age(starts, "a", NOW - SECOND, NOW + clock_offset + 30 * SECOND) == first + 30 * SECOND


def test_with_a_correct_clock_ages_are_correct_once_a_start_was_reported_at_once() -> None:
    starts = StartTimes()
    assert age(starts, "a", NOW, NOW) == 0
    # Reported late, as after an outage of discovery:
    assert age(starts, "late", NOW - 7 * SECOND, NOW) == 7 * SECOND


@pytest.mark.parametrize("clock_offset", CLOCK_OFFSETS)
def test_a_later_start_gives_a_lower_bound_of_the_age_of_others(clock_offset: int) -> None:
    """Models a process started during a release: its first list is old, the next reported start is recent."""
    starts, clock = StartTimes(), NOW + clock_offset
    starts.observe(NOW - 20 * SECOND, clock)
    assert age(starts, "a", NOW - 20 * SECOND, clock) <= 20 * SECOND
    assert starts.observe(NOW - SECOND, clock) == (["a"] if clock_offset > -HOUR else [])
    later_age = age(starts, "a", NOW - 20 * SECOND, clock)
    assert later_age <= 20 * SECOND and (clock_offset < 0 or later_age >= 19 * SECOND)


def test_the_policy_is_notified_of_endpoints_whose_age_a_later_start_raises() -> None:
    script, clock, loop = Script(), NOW, asyncio.new_event_loop()
    engine = Engine(script, SETTINGS, SettingsIndex(SETTINGS, RAW), FakeUpstream(), loop, lambda: clock)

    def update(is_snapshot: bool, **starts: int) -> dict[int, int]:
        entries = [
            {"name": n, "address": ":1", "status": "up", "since_ms": at // 1000} for n, at in starts.items()
        ]
        engine.update_endpoints(
            decode_endpoint_list({"index": 1, "snapshot": is_snapshot, "endpoints": entries})
        )
        return {b.id: b.started_at for b in script.events_of_type(EndpointsListed)[-1].endpoints}

    tolerance = age_tolerance(SETTINGS.safety)
    assert 0 < tolerance < SECOND
    assert update(True, a=NOW - 20 * SECOND, b=0) == {1: NOW - tolerance, 2: 0}
    assert update(False, c=NOW - SECOND) == {3: NOW - tolerance, 1: NOW - 19 * SECOND - tolerance}
    assert update(False, c=NOW - SECOND) == {3: NOW - tolerance}
    loop.close()


def test_the_age_tolerance_is_what_the_unused_part_of_the_cold_budget_covers() -> None:
    safety = SETTINGS.safety
    tolerance, warmup = age_tolerance(safety), safety.warmup_time
    for age_us in range(0, warmup, warmup // 50):
        actual = safety.initial_capacity_fraction + (1 - safety.initial_capacity_fraction) * age_us / warmup
        assumed = (
            safety.initial_capacity_fraction
            + (1 - safety.initial_capacity_fraction) * (age_us + tolerance) / warmup
        )
        assert SLOW_START_BUDGET_FRACTION * assumed <= actual * 1.0001
    assert age_tolerance(replace(safety, initial_capacity_fraction=1.0)) == 0


@pytest.mark.parametrize("clock_offset", CLOCK_OFFSETS)
def test_an_age_is_too_great_by_the_tolerance_at_most(clock_offset: int) -> None:
    starts, reported = StartTimes(SECOND // 2), {"a": NOW - 8 * SECOND, "b": NOW - SECOND // 4}
    for start in reported.values():
        starts.observe(start, NOW + clock_offset)
    for name, start in reported.items():
        assert 0 <= age(starts, name, start, NOW + clock_offset) <= NOW - start + SECOND // 2
        if clock_offset == 0:  # with a correct clock, the age is never too great
            assert age(starts, name, start, NOW) <= NOW - start


def test_a_start_further_back_than_a_clock_step_explains_is_long_ago() -> None:
    starts = StartTimes()
    assert starts.local_start("a", 0, NOW) == LONG_AGO
    assert starts.local_start("a", NOW - MAX_CLOCK_STEP_US - 1, NOW) == LONG_AGO
    assert starts.local_start("a", NOW - MAX_CLOCK_STEP_US + 1, NOW) != LONG_AGO


def test_a_start_reported_as_earlier_than_the_previous_one_happens_now() -> None:
    """The clock that the start was read from has been set back."""
    starts = StartTimes()
    starts.local_start("a", NOW, NOW)
    assert age(starts, "a", NOW - HOUR, NOW + 30 * SECOND) == 0


@pytest.mark.parametrize("clock_offset", CLOCK_OFFSETS)
def test_an_endpoint_put_online_by_operators_starts_then(clock_offset: int) -> None:
    """That time is read from this machine's clock and must not raise the age of other endpoints."""
    script, clock = Script(), NOW + clock_offset
    loop = asyncio.new_event_loop()
    engine = Engine(script, SETTINGS, SettingsIndex(SETTINGS, RAW), FakeUpstream(), loop, lambda: clock)
    overrides = OperatorOverrides(lambda: clock, engine.update_endpoints, engine.directory)
    engine.endpoints.back_online_at = overrides.back_online_at

    def update(*starts: tuple[str, int], is_snapshot: bool) -> dict[str, int]:
        entries = [{"name": n, "address": ":1", "status": "up", "since_ms": at // 1000} for n, at in starts]
        overrides.apply_list(
            decode_endpoint_list({"index": 1, "snapshot": is_snapshot, "endpoints": entries})
        )
        return {b.hash_key: b.started_at for b in script.events_of_type(EndpointsListed)[-1].endpoints}

    update(("a", NOW - 30 * SECOND), ("b", NOW - 40 * SECOND), is_snapshot=True)
    overrides.take_offline("a")
    clock += 20 * SECOND
    assert overrides.put_online("a")
    assert [b.started_at for b in script.events_of_type(EndpointsListed)[-1].endpoints] == [clock]
    clock += SECOND
    started = update(("c", NOW + 20 * SECOND), is_snapshot=False)  # reported 1 s after the start
    assert clock - started[hash_key("c")] <= SECOND
    assert started.get(hash_key("a"), clock - SECOND) == clock - SECOND  # put online one second ago
    clock += 30 * SECOND
    started = update(("a", NOW + 50 * SECOND), is_snapshot=False)  # restarted meanwhile
    assert clock - started[hash_key("a")] <= SECOND
    loop.close()


class FakeUpstream:
    """Replaces the connections to backends."""

    def register_endpoint(self, entry: object, backend: int) -> None: ...
    def reconcile(self, removed: object) -> None: ...


@pytest.mark.parametrize("clock_offset", [0, 3600, -3600])
async def test_a_fresh_process_with_a_wrong_clock_does_not_overload_a_cold_backend(
    tmp_path: Path, clock_offset: int
) -> None:
    """A real process whose wall clock is wrong from its start; one of four backends started 0.5 s before."""
    ports: list[int] = []

    def respond(peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            peer.data = peer.data.partition(b"\r\n\r\n")[2]
            ports.append(peer.server.port)
            peer.transport.write(OK)

    servers = [await PeerServer(respond).start() for _ in range(4)]
    cold = servers[0].port
    endpoints = [
        {
            "name": f"s-{n}",
            "address": f"{HOST}:{server.port}",
            "status": "up",
            "since_ms": int(time.time() * 1000) - 500 if server.port == cold else 0,
        }
        for n, server in enumerate(servers)
    ]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document(known={"index": 1, "snapshot": True, "endpoints": endpoints})))
    faults = Faults(build(tmp_path), tmp_path / "faults")
    faults.shift_wall_clock(clock_offset)
    process = start_ingress(path, **faults.environment())
    port = await asyncio.to_thread(listening_port, process)
    for batch in range(40):
        customers = range(batch * 8, batch * 8 + 8)
        responses = (fetch(port, request(f"r{n}", Cookie=f"customer={n:016x}")) for n in customers)
        assert {response.split(b" ")[1] for response in await asyncio.gather(*responses)} <= {b"200", b"429"}
    process.kill()
    await asyncio.to_thread(process.communicate)
    faults.close()
    for server in servers:
        server.stop()
    assert ports.count(cold) / len(ports) < 0.2  # a warm backend receives a quarter
