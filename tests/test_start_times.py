"""The start of a backend on this process's clock, whatever its wall clock says; and the clock itself."""

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
NOW = 1_800_000_000 * SECOND  # the fleet's clock
HOUR = 3600 * SECOND
CLOCK_OFFSETS = [0, 3 * SECOND, HOUR, -3 * SECOND, -HOUR]


def age(starts: StartTimes, name: str, told: int, now: int) -> int:
    return now - starts.local_start(name, told, now)


@pytest.mark.parametrize("off", CLOCK_OFFSETS)
def test_a_start_that_has_just_been_reported_never_counts_as_older_than_it_is(off: int) -> None:
    """Nor is any other one: `off` is what this process's wall clock is ahead of the fleet's."""
    starts, told = StartTimes(), {"a": NOW - 8 * SECOND, "b": NOW - SECOND, "c": NOW - 60 * SECOND}
    for moment in told.values():
        starts.observe(moment, NOW + off)
    for name, moment in told.items():
        assert 0 <= age(starts, name, moment, NOW + off) <= NOW - moment
    starts.observe(NOW + 5 * SECOND, NOW + 5 * SECOND + off)
    assert age(starts, "d", NOW + 5 * SECOND, NOW + 5 * SECOND + off) == 0


@pytest.mark.parametrize("off", CLOCK_OFFSETS)
def test_a_start_ages_from_its_report_on(off: int) -> None:
    """So that none stays cold beyond one ramp, however wrong the clock is."""
    starts = StartTimes()
    first = age(starts, "a", NOW - SECOND, NOW + off)
    assert age(starts, "a", NOW - SECOND, NOW + off + 30 * SECOND) == first + 30 * SECOND


def test_with_a_correct_clock_ages_are_correct_once_a_start_was_reported_at_once() -> None:
    starts = StartTimes()
    assert age(starts, "a", NOW, NOW) == 0
    assert age(starts, "late", NOW - 7 * SECOND, NOW) == 7 * SECOND  # as after a discovery that was down


@pytest.mark.parametrize("off", CLOCK_OFFSETS)
def test_a_later_start_shows_how_old_the_others_are_at_the_least(off: int) -> None:
    """A fresh process among a release: its list is old, and what is told next is not."""
    starts, clock = StartTimes(), NOW + off
    starts.observe(NOW - 20 * SECOND, clock)
    assert age(starts, "a", NOW - 20 * SECOND, clock) <= 20 * SECOND
    assert starts.observe(NOW - SECOND, clock) == (["a"] if off > -HOUR else [])
    found = age(starts, "a", NOW - 20 * SECOND, clock)
    assert found <= 20 * SECOND and (off < 0 or found >= 19 * SECOND)


def test_the_policy_is_notified_of_endpoints_that_are_older_than_they_counted_for() -> None:
    script, clock, loop = Script(), NOW, asyncio.new_event_loop()
    engine = Engine(script, SETTINGS, SettingsIndex(SETTINGS, RAW), FakeUpstream(), loop, lambda: clock)

    def told(whole: bool, **since: int) -> dict[int, int]:
        named = [
            {"name": n, "address": ":1", "status": "up", "since_ms": at // 1000} for n, at in since.items()
        ]
        engine.update_endpoints(decode_endpoint_list({"index": 1, "snapshot": whole, "endpoints": named}))
        return {b.id: b.started_at for b in script.of(EndpointsListed)[-1].endpoints}

    spare = age_tolerance(SETTINGS.safety)
    assert 0 < spare < SECOND
    assert told(True, a=NOW - 20 * SECOND, b=0) == {1: NOW - spare, 2: 0}
    assert told(False, c=NOW - SECOND) == {3: NOW - spare, 1: NOW - 19 * SECOND - spare}
    assert told(False, c=NOW - SECOND) == {3: NOW - spare}
    loop.close()


def test_the_age_tolerance_is_what_the_unused_part_of_the_cold_budget_covers() -> None:
    safety = SETTINGS.safety
    spare, ramp = age_tolerance(safety), safety.warmup_time
    for age_us in range(0, ramp, ramp // 50):
        present = safety.initial_capacity_fraction + (1 - safety.initial_capacity_fraction) * age_us / ramp
        believed = (
            safety.initial_capacity_fraction
            + (1 - safety.initial_capacity_fraction) * (age_us + spare) / ramp
        )
        assert SLOW_START_BUDGET_FRACTION * believed <= present * 1.0001
    assert age_tolerance(replace(safety, initial_capacity_fraction=1.0)) == 0


@pytest.mark.parametrize("off", CLOCK_OFFSETS)
def test_an_age_is_too_great_by_the_tolerance_at_most(off: int) -> None:
    starts, told = StartTimes(SECOND // 2), {"a": NOW - 8 * SECOND, "b": NOW - SECOND // 4}
    for moment in told.values():
        starts.observe(moment, NOW + off)
    for name, moment in told.items():
        assert 0 <= age(starts, name, moment, NOW + off) <= NOW - moment + SECOND // 2
        if off == 0:  # and never beyond what a right clock says
            assert age(starts, name, moment, NOW) <= NOW - moment


def test_a_start_further_back_than_a_clock_step_explains_is_long_ago() -> None:
    starts = StartTimes()
    assert starts.local_start("a", 0, NOW) == LONG_AGO
    assert starts.local_start("a", NOW - MAX_CLOCK_STEP_US - 1, NOW) == LONG_AGO
    assert starts.local_start("a", NOW - MAX_CLOCK_STEP_US + 1, NOW) != LONG_AGO


def test_a_start_reported_as_earlier_than_the_previous_one_happens_now() -> None:
    """The clock that it was read from has been stepped back."""
    starts = StartTimes()
    starts.local_start("a", NOW, NOW)
    assert age(starts, "a", NOW - HOUR, NOW + 30 * SECOND) == 0


@pytest.mark.parametrize("off", CLOCK_OFFSETS)
def test_an_endpoint_put_online_by_operators_starts_then(off: int) -> None:
    """That moment is of this machine's own clock, and makes no other backend older."""
    script, clock = Script(), NOW + off
    loop = asyncio.new_event_loop()
    engine = Engine(script, SETTINGS, SettingsIndex(SETTINGS, RAW), FakeUpstream(), loop, lambda: clock)
    maintenance = OperatorOverrides(lambda: clock, engine.update_endpoints, engine.directory)
    engine.endpoints.restored_at = maintenance.back_online_at

    def told(*entries: tuple[str, int], whole: bool) -> dict[str, int]:
        named = [{"name": n, "address": ":1", "status": "up", "since_ms": at // 1000} for n, at in entries]
        maintenance.apply_list(decode_endpoint_list({"index": 1, "snapshot": whole, "endpoints": named}))
        return {b.hash_key: b.started_at for b in script.of(EndpointsListed)[-1].endpoints}

    told(("a", NOW - 30 * SECOND), ("b", NOW - 40 * SECOND), whole=True)
    maintenance.take_offline("a")
    clock += 20 * SECOND
    assert maintenance.put_online("a")
    assert [b.started_at for b in script.of(EndpointsListed)[-1].endpoints] == [clock]
    clock += SECOND
    started = told(("c", NOW + 20 * SECOND), whole=False)  # told a second after it started
    assert clock - started[hash_key("c")] <= SECOND
    assert (
        started.get(hash_key("a"), clock - SECOND) == clock - SECOND
    )  # put back a second ago, whatever else
    clock += 30 * SECOND
    started = told(("a", NOW + 50 * SECOND), whole=False)  # it has been restarted once more
    assert clock - started[hash_key("a")] <= SECOND
    loop.close()


class FakeUpstream:
    """Takes the place of the connections to backends."""

    def register_endpoint(self, entry: object, backend: int) -> None: ...
    def reconcile(self, gone: object) -> None: ...


@pytest.mark.parametrize("off", [0, 3600, -3600])
async def test_a_fresh_process_with_a_wrong_clock_does_not_overload_a_cold_backend(
    tmp_path: Path, off: int
) -> None:
    """A real process whose wall clock is off from its start on; one of four backends has just started."""
    ports: list[int] = []

    def heard(peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            peer.data = peer.data.partition(b"\r\n\r\n")[2]
            ports.append(peer.server.port)
            peer.transport.write(OK)

    servers = [await PeerServer(heard).start() for _ in range(4)]
    cold = servers[0].port
    listed = [
        {
            "name": f"s-{n}",
            "address": f"{HOST}:{server.port}",
            "status": "up",
            "since_ms": int(time.time() * 1000) - 500 if server.port == cold else 0,
        }
        for n, server in enumerate(servers)
    ]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document(known={"index": 1, "snapshot": True, "endpoints": listed})))
    faults = Faults(build(tmp_path), tmp_path / "faults")
    faults.shift_wall_clock(off)
    ran = start_ingress(path, **faults.environment())
    port = await asyncio.to_thread(listening_port, ran)
    for wave in range(40):
        customers = range(wave * 8, wave * 8 + 8)
        asked = (fetch(port, request(f"r{n}", Cookie=f"customer={n:016x}")) for n in customers)
        assert {answer.split(b" ")[1] for answer in await asyncio.gather(*asked)} <= {b"200", b"429"}
    ran.kill()
    await asyncio.to_thread(ran.communicate)
    faults.close()
    for server in servers:
        server.stop()
    assert ports.count(cold) / len(ports) < 0.2  # a warm one has a quarter
