"""The scale runs: stand-ins that keep the protocol page, slopes, result files, a small sweep as a whole."""

from __future__ import annotations

import asyncio
import json
import os
import random
import re
import signal
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest

from ingress_testbed import results, slopes
from ingress_testbed.hollow import Crowd
from ingress_testbed.load import Load
from ingress_testbed.model import entry
from ingress_testbed.standins import counter as counter_module
from ingress_testbed.standins import discovery as discovery_module
from ingress_testbed.standins.backend import BackendServer
from ingress_testbed.standins.counter import CounterServer
from ingress_testbed.standins.discovery import DiscoveryServer

HOST, ROOT = "127.0.0.1", Path(__file__).parent.parent


class Talk:
    """One connection to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def ask(self, data: bytes, until: bytes) -> bytes:
        self.writer.write(data)
        return await self.until(until)

    async def until(self, end: bytes) -> bytes:
        async with asyncio.timeout(5):
            return await self.reader.readuntil(end)


@asynccontextmanager
async def serving(server: Any) -> AsyncIterator[Any]:
    await server.start()
    yield server
    server.stop()


async def connect(server: Any, host: str = HOST) -> Talk:
    return Talk(*await asyncio.open_connection(host, server.port))


def watch(version: int) -> bytes:
    return b"GET /discovery/hosts?watch=1&from=%d HTTP/1.1\r\nHost: d\r\n\r\n" % version


async def told(talk: Talk) -> Any:
    """The next chunk that is no beat."""
    while True:
        size = int(await talk.until(b"\r\n"), 16)
        data = (await talk.until(b"\r\n"))[:-2] if size else b""
        if data.strip():
            assert len(data) == size and data.endswith(b"\n") and data.count(b"\n") == 1
            return json.loads(data)


# ---------------------------------------------------------------- discovery


async def test_discovery_gives_the_whole_list_and_then_a_line_a_change_after_the_version_named() -> None:
    async with serving(DiscoveryServer([entry(n, 80) for n in range(3)])) as discovery:
        talk = await connect(discovery)
        head = await talk.ask(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n", b"\r\n\r\n")
        length = int(head.partition(b"Content-Length: ")[2].split()[0])
        listing = json.loads(await talk.reader.readexactly(length))
        assert listing["snapshot"] and listing["index"] == 1
        assert listing["endpoints"] == [entry(n, 80) for n in range(3)]
        discovery.apply_change([entry(1, 80, "draining")])
        assert b"chunked" in await talk.ask(watch(1), b"\r\n\r\n")
        line = await told(talk)
        assert (line["index"], line["snapshot"]) == (2, False)
        assert [e["status"] for e in line["endpoints"]] == ["draining"]
        discovery.apply_change([{"name": entry(2, 80)["name"], "status": "removed"}])
        assert (await told(talk))["index"] == 3 and len(discovery.entries) == 2


@pytest.mark.parametrize("version", [99, -1])
async def test_a_watch_from_a_version_that_discovery_does_not_know_begins_with_the_whole_list(
    version: int,
) -> None:
    async with serving(DiscoveryServer([entry(0, 80)], version=5)) as discovery:
        talk = await connect(discovery)
        await talk.ask(watch(version), b"\r\n\r\n")
        line = await told(talk)
        assert line["snapshot"] and line["index"] == 5


async def test_a_quiet_watch_gets_empty_lines_a_silent_one_nothing_until_discovery_is_back(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_module, "HEARTBEAT_INTERVAL", 0.02)
    async with serving(DiscoveryServer([entry(0, 80)])) as discovery:
        talk = await connect(discovery)
        await talk.ask(watch(1), b"\r\n\r\n")
        assert await talk.until(b"1\r\n\n\r\n1\r\n\n\r\n") == b"1\r\n\n\r\n1\r\n\n\r\n"
        discovery.fall_silent()
        discovery.apply_change([entry(0, 80, "draining")])
        await asyncio.sleep(0.1)
        other = await connect(discovery)
        other.writer.write(watch(1))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await other.reader.read(1)
        discovery.resume()
        assert (await told(talk))["index"] == 2


async def test_discovery_turns_away_callers_beyond_its_capacity() -> None:
    async with serving(DiscoveryServer([entry(0, 80)], capacity=0.001)) as discovery:
        discovery._allowance = 1.0
        talks = [await connect(discovery) for _ in range(3)]
        answers = [(await t.ask(watch(1), b"\r\n\r\n")).split(b" ")[1] for t in talks]
        assert answers == [b"200", b"503", b"503"] and discovery.rejected_calls == 2


# ---------------------------------------------------------------- the counter


async def test_counter_adds_by_name_until_the_name_has_lived() -> None:
    async with serving(CounterServer(partitions=3)) as counter:
        talk = await connect(counter)
        calls = b"add a 2.5 60\r\nadd b 1 60000\r\nadd a -0.5 60000\r\nping\r\nadd a 1\r\nadd c 1e10 5\r\n"
        answers = await talk.ask(calls, b"error\r\nerror\r\n")
        assert answers == b"ok 2.5\r\nok 1\r\nok 2\r\npong\r\nerror\r\nerror\r\n"
        await asyncio.sleep(0.08)
        assert await talk.ask(b"add a 1 1000\r\nadd b 0 1\r\n", b"ok 1\r\nok 1\r\n")  # `a` began anew
        assert (counter.add_count, counter.ping_count) == (5, 1)


async def test_a_counter_at_capacity_answers_in_order_and_turns_away_what_would_wait_too_long() -> None:
    async with serving(CounterServer(capacity=50.0, max_queue_time=0.05)) as counter:
        loop, talk = asyncio.get_running_loop(), await connect(counter)
        began = loop.time()  # the stand-in's own clock: it goes by whole milliseconds
        answers = await talk.ask(b"add n 1 1000\r\n" * 5 + b"ping\r\n", b"pong\r\n")
        assert answers == b"ok 1\r\nok 2\r\n" + b"busy\r\n" * 3 + b"pong\r\n"
        assert round(loop.time() - began, 6) >= 0.04


async def test_the_counter_resets_the_33rd_connection_of_an_address_and_closes_idle_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(counter_module, "IDLE_TIMEOUT", 0.5)
    async with serving(CounterServer()) as counter:
        talks = [await connect(counter) for _ in range(32)]
        assert await talks[31].ask(b"ping\r\n", b"pong\r\n")
        other = await connect(counter, "127.3.3.3")  # another ingress, to the counter
        assert await other.ask(b"ping\r\n", b"pong\r\n")
        over = await connect(counter)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await over.ask(b"ping\r\n", b"pong\r\n")
        async with asyncio.timeout(5):
            assert await talks[0].reader.read() == b""


# ---------------------------------------------------------------- backends and clients


async def test_many_backends_share_a_socket_and_each_counts_its_own_connections() -> None:
    async with serving(BackendServer(work=0.05, max_in_flight=1)) as backends:
        asked = b"GET /read/x HTTP/1.1\r\nRequest-Id: a\r\n\r\n"
        hosts = ("127.1.0.1", "127.9.9.9", "127.1.0.1")
        one, other, again = [await connect(backends, host) for host in hosts]
        for talk in (one, other):
            talk.writer.write(asked)
        await asyncio.sleep(0.02)
        assert b"Not-Started: 1" in await again.ask(asked, b"\r\n\r\n")
        for talk in (one, other):
            assert (await talk.until(b"warm")).startswith(b"HTTP/1.1 200 ")
        assert (await again.ask(b"GET /x HTTP/1.1\r\n\r\n", b"\r\n\r\n")).startswith(b"HTTP/1.1 404 ")
        assert (backends.served, backends.opened, backends.open_by_address["127.1.0.1"]) == (2, 3, 2)


async def test_clients_send_at_drawn_moments_whatever_is_answered() -> None:
    async with serving(BackendServer(work=0.3)) as backends:
        told = await Load(HOST, backends.port).run(100.0, 0.5, seed=7, customers=5, spread=1, routes=1)
    rng, due, drawn = random.Random(7), 0.0, -1
    while due < 0.5:
        drawn, due = drawn + 1, due + rng.expovariate(100.0)
        rng.randrange(5), rng.randrange(1)
    assert told["sent_n"] == told["served_n"] and abs(told["sent_n"] - 50) < 25
    assert told["p50_ms"] >= 300 and told["opened_n"] > 20  # none waited for an answer before


# ---------------------------------------------------------------- hollow ingresses


async def test_hollow_ingresses_take_changes_and_call_the_counter() -> None:
    entries = [entry(n, 80) for n in range(6)]
    async with serving(DiscoveryServer(entries)) as discovery, serving(CounterServer()) as counter:
        crowd = Crowd()
        await crowd.start(0, 3, 4, [HOST, discovery.port], counter.port, pace=0.0)
        async with asyncio.timeout(10):
            while len(discovery.watches) < 3:
                await asyncio.sleep(0.01)
            since = time.monotonic()
            version = discovery.apply_change([entry(0, 80, "draining")])
            while len(crowd.in_force(version)) < 3:
                await asyncio.sleep(0.01)
        assert min(crowd.in_force(version)) >= since and crowd.in_force(version + 1) == []
        got = await crowd.requests(20.0, 0.5, customers=3, spread=4)
        assert got["served"] > 10 and got["failed"] == 0 and counter.add_count > 0
        for hollow in crowd._all:
            hollow.discovery.stop()
            hollow.counter.stop()


# ---------------------------------------------------------------- slopes and results


def test_a_known_slope_is_found_through_noise_within_its_error() -> None:
    rng = random.Random(3)
    points = [(x, 40 + 0.25 * x + rng.gauss(0, 20)) for x in (100, 1000, 10_000) for _ in range(5)]
    found = slopes.fitted(points)
    assert found.fit == "line" and 0 < found.error < 0.01
    assert abs(found.slope - 0.25) < 3 * found.error and found.at(20_000) == pytest.approx(5040, rel=0.02)


@pytest.mark.parametrize(
    ("points", "fit", "why"),
    [
        ([(x, x * x) for x in (1.0, 10.0, 100.0, 1000.0, 1500.0)], "poor", "bent"),
        ([(x, y) for x in (1.0, 2.0, 3.0) for y in (1.0, 90.0)], "poor", "scatter"),
        ([(1.0, 1.0), (2.0, 60.0), (3.0, 3.0), (100.0, 100.0), (200.0, 200.0)], "poor", "size 2 lies off"),
        ([(x, 50.0 + x % 2) for x in (1.0, 2.0, 3.0, 4.0)], "flat", ""),
        ([(1.0, 0.0), (2.0, 0.0), (3.0, 0.0)], "flat", ""),
    ],
)
def test_what_is_no_line_is_said_to_be_none(points: list[tuple[float, float]], fit: str, why: str) -> None:
    found = slopes.fitted(points)
    assert found.fit == fit and why in found.why


def test_two_sizes_make_no_slope() -> None:
    with pytest.raises(ValueError, match="3 sizes"):
        slopes.fitted([(1.0, 1.0), (2.0, 2.0), (2.0, 3.0)])


def made(size: float = 3.0) -> results.Result:
    result = results.Result("e", "c", "abc", False, "n", 1, "now", {}, {})
    result.points = [results.Point(size * n, 0, {"cpu_ms": 2.0 * size * n}) for n in (1, 2, 3)]
    result.reckon()
    return result


def test_a_result_is_written_whole_or_not_at_all(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    path = tmp_path / "r.json"
    results.write(made(), path)
    assert results.read(path).slopes["cpu_ms"].slope == pytest.approx(2.0)

    def fails(*_: object) -> None:
        raise OSError("disk full")

    monkeypatch.setattr(os, "replace", fails)
    with pytest.raises(OSError, match="disk full"):
        results.write(made(7.0), path)
    assert os.listdir(tmp_path) == ["r.json"] and results.read(path).points[0].size == 3.0


@pytest.mark.parametrize("spoil", [{"version": 2}, {"format": "else"}, {"points": 3}, None])
def test_another_version_or_no_result_is_one_clear_line(tmp_path: Path, spoil: dict[str, Any] | None) -> None:
    path = tmp_path / "r.json"
    results.write(made(), path)
    path.write_text("{" if spoil is None else json.dumps(json.loads(path.read_text()) | spoil))
    with pytest.raises(results.ResultError, match=r"^r\.json: [^\n]*$"):
        results.read(path)


# ---------------------------------------------------------------- from end to end


def ingress_testbed(*words: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "ingress_testbed", *words]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def test_a_small_sweep_of_real_and_hollow_ingresses(tmp_path: Path) -> None:
    path = tmp_path / "reconnect.json"
    words = ["--over", "2,4,6", "--repeat", "1", "--set", "capacity=50", "--set", "backends=30"]
    ran = ingress_testbed("sweep", "reconnect", *words, "--out", str(path))
    said, _ = ran.communicate(timeout=120)
    assert ran.returncode == 0, said
    result = results.read(path)
    assert result.whole and [p.size for p in result.points] == [2, 4, 6] and result.options["backends"] == 30
    for point in result.points:  # each came back, hollow and real, and has both changes made meanwhile
        assert point.figures["back_n"] == 1 and point.figures["in_force_part"] == 1
        assert point.figures["calls_each_n"] >= 1
    assert str(ROOT) not in path.read_text() and str(tmp_path) not in path.read_text()


def test_ctrl_c_leaves_what_was_played(tmp_path: Path) -> None:
    path = tmp_path / "list-module.json"
    ran = ingress_testbed("sweep", "list-module", "--over", "20,30,40", "--repeat", "100", "--out", str(path))
    assert ran.stdout and ran.stdout.readline().startswith("size 20 ")
    ran.send_signal(signal.SIGINT)
    said, _ = ran.communicate(timeout=60)
    assert ran.returncode == 130 and "Traceback" not in said
    result = results.read(path)
    assert not result.whole and 1 <= len(result.points) < 300 and os.listdir(tmp_path) == [path.name]


@pytest.mark.parametrize(
    ("words", "error"),
    [
        (["sweep", "nothing", "--over", "1,2,3"], "'nothing' is not one of"),
        (["sweep", "fleet", "--over", "1,2"], "3 different sizes"),
        (["sweep", "fleet", "--over", "1,2,-3"], "over 0"),
        (["sweep", "fleet", "--over", "1,2,x"], "whole numbers"),
        (["sweep", "fleet", "--over", "1,2,3", "--set", "size=3"], "'size' is no option of fleet: backends"),
        (["sweep", "fleet", "--over", "1,2,3", "--set", "rate=x"], "'x' is not a number"),
        (["sweep", "fleet", "--over", "1,2,3", "--program", "no-such-commit"], "--program"),
        (["show", "README.md"], "README.md: "),
    ],
)
def test_bad_arguments_get_a_clear_error(words: list[str], error: str) -> None:
    ran = ingress_testbed(*words)
    said, _ = ran.communicate(timeout=60)
    assert ran.returncode == 2 and error in " ".join(said.split()) and "Traceback" not in said


def test_the_page_on_capacity_says_what_the_files_hold() -> None:
    page, folder = (ROOT / "docs/CAPACITY.md").read_text(), ROOT / "docs/capacity"
    row = r"^\|[^|]*\| `(\S+\.json)` `(\w+)` \|[^|]*\| (\S+) ± \S+ \| (\S+) \| (\w+) \|$"
    rows = re.findall(row, page, re.M)
    assert len(rows) > 40
    for file, figure, slope, start, fit in rows:
        found = results.read(folder / file).slopes[figure]
        told = (f"{found.slope:.3g}", f"{found.intercept:.3g}", found.fit)
        assert told == (slope, start, fit), (file, figure)
    for path in folder.iterdir():
        result = results.read(path)
        run = f"| `{path.name}` | `{result.command}` | `{result.program}` |"
        assert run in page and result.whole and not result.changed, path.name
        for figure, kept in result.slopes.items():
            found = slopes.fitted([(p.size, p.figures[figure]) for p in result.points if figure in p.figures])
            slope = pytest.approx(kept.slope, rel=1e-12, abs=1e-12)  # last bits: the processor's
            assert (found.slope, found.fit) == (slope, kept.fit), figure


def test_the_ingress_does_not_import_the_experiments() -> None:
    sources = [*ROOT.glob("quota_ingress/**/*.py"), ROOT / "requirements.txt"]
    assert not [p.name for p in sources if "ingress_testbed" in p.read_text()]
