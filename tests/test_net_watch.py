"""The watch over loopback connections: ends, silences and unreadable lists at the worst moments."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio

from quota_ingress.config import load_config
from quota_ingress.net.discovery import endpoint_list as listing_module
from quota_ingress.net.discovery import retry
from quota_ingress.net.discovery import watch as discovery_module
from quota_ingress.net.discovery.endpoint_list import Document, EndpointList
from quota_ingress.net.discovery.watch import Discovery, Watch
from quota_ingress.net.lifecycle import ingress as ingress_module
from quota_ingress.net.lifecycle.ingress import Ingress
from tests.net_helpers import HOST, Peer, PeerServer
from tests.process_helpers import config

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE = 200  # ingresses


def told(index: int, whole: bool, **status: str) -> dict[str, Any]:
    endpoints = [{"name": n, "address": f"{HOST}:1", "status": s} for n, s in status.items()]
    return {"index": index, "snapshot": whole, "endpoints": endpoints}


def text(raw: dict[str, Any], indent: int | None = None) -> bytes:
    return json.dumps(raw, indent=indent).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def as_list(data: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)


class Agent(PeerServer):
    """Answers each call by the next of `replies`, then no more. None: the connection is reset."""

    def __init__(self, *replies: bytes | None) -> None:
        super().__init__(self._answer)
        self.replies = list(replies)
        self.asked: list[bytes] = []

    def _answer(self, peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            call, _, peer.data = peer.data.partition(b"\r\n\r\n")
            self.asked.append(call.partition(b" HTTP/1.1")[0])
            reply = self.replies.pop(0) if self.replies else b""
            if reply is None:
                peer.transport.abort()
                return
            peer.transport.write(reply)


class Watched:
    def __init__(self, agent: Agent, index: int | None, size: int = LARGE) -> None:
        self.told: list[EndpointList] = []
        self.changed = asyncio.Event()
        self.discovery = Discovery((HOST, agent.port), index, self._changed, size)
        self.discovery.start()

    def _changed(self, listing: EndpointList) -> None:
        self.told.append(listing)
        self.changed.set()

    async def heard(self, count: int) -> list[tuple[int, bool, list[str]]]:
        async with asyncio.timeout(10):
            while len(self.told) < count:
                self.changed.clear()
                await self.changed.wait()
        return [(x.index, x.is_snapshot, [e.name + "=" + e.status for e in x.entries]) for x in self.told]


@pytest_asyncio.fixture
async def waits(monkeypatch: pytest.MonkeyPatch) -> AsyncIterator[list[float]]:
    """The waits between tries, none of which takes any time here."""
    found: list[float] = []
    sleep = asyncio.sleep

    async def slept(wait: float) -> None:
        found.append(wait)
        await sleep(0)

    monkeypatch.setattr(discovery_module.asyncio, "sleep", slept)
    yield found


async def test_a_watch_that_is_reset_is_opened_at_once_in_a_large_fleet(waits: list[float]) -> None:
    """What the agent has counts as told, watched or not: 6 to 19 s were waited here."""
    agent = Agent(HEAD + chunk(text(told(42, False))), None, None, None, HEAD)
    await agent.start()
    watched = Watched(agent, 41)
    await watched.heard(1)
    agent.peers[0].transport.abort()
    await agent.until(lambda: len(agent.asked) == 5)
    assert agent.asked[1:] == [b"GET /discovery/hosts?watch=1&from=42"] * 4
    first, longest = retry.CUT
    assert len(waits) == 4 and waits[0] <= 1.5 * first and max(waits) <= 1.5 * longest
    watched.discovery.stop()
    agent.stop()


async def test_a_silent_watch_is_opened_anew_without_a_wait_in_a_large_fleet(
    waits: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """However often: what the agent gets at discovery's return goes to the watch that is open then."""
    for module in (discovery_module, retry):
        monkeypatch.setattr(module, "SILENT", 0.05)
    agent = Agent(HEAD + chunk(text(told(42, False))))
    await agent.start()
    watched = Watched(agent, 41)
    await agent.until(lambda: len(agent.asked) == 4)
    agent.peers[3].transport.write(HEAD + chunk(text(told(43, False, a="draining"))))
    assert (await watched.heard(2))[1] == (43, False, ["a=draining"])
    assert waits == []
    watched.discovery.stop()
    agent.stop()


async def test_a_watch_turned_away_is_tried_within_a_second_and_a_half_in_a_large_fleet(
    waits: list[float],
) -> None:
    """6 to 50 s were waited here, while a change counts as told after 6 s, whatever a refused call allows."""
    busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    agent = Agent(busy, busy, HEAD + chunk(text(told(42, False))))
    await agent.start()
    watched = Watched(agent, 41)
    await watched.heard(1)
    assert len(waits) == 2 and 0 < waits[0] < 1.5 * retry.NOT_TOLD[1] and waits[1] < 1.5 * retry.NOT_TOLD[1]
    agent._server.close()
    agent.peers[2].transport.abort()
    while len(waits) < 6:
        await asyncio.sleep(0)
    assert max(waits[2:6]) <= 1.5 * retry.CUT[1]
    watched.discovery.stop()
    agent.stop()


async def test_a_reset_between_list_and_watch_loses_no_change(waits: list[float]) -> None:
    """The call for the watch goes out on a connection that is closed under it."""
    change = HEAD + chunk(text(told(6, False, a="draining")))
    agent = Agent(as_list(text(told(5, True, a="up"))), None, change)
    await agent.start()
    watched = Watched(agent, None)
    assert await watched.heard(2) == [(5, True, ["a=up"]), (6, False, ["a=draining"])]
    watch = b"GET /discovery/hosts?watch=1&from=5"
    assert agent.asked == [b"GET /discovery/hosts", watch, watch]
    assert len(waits) == 1 and waits[0] <= 1.5 * retry.CUT[0]
    watched.discovery.stop()
    agent.stop()


async def test_a_watch_cut_in_the_middle_of_a_line_goes_on_from_the_last_one(waits: list[float]) -> None:
    half = text(told(43, False, a="draining"))[:40]
    agent = Agent(HEAD + chunk(text(told(42, False, a="up"))) + chunk(half))
    await agent.start()
    watched = Watched(agent, 41)
    await watched.heard(1)
    agent.replies = [HEAD + chunk(text(told(43, False, a="draining")))]
    agent.peers[0].transport.close()
    assert (await watched.heard(2))[1] == (43, False, ["a=draining"])
    assert agent.asked[1] == b"GET /discovery/hosts?watch=1&from=42"
    watched.discovery.stop()
    agent.stop()


@pytest.mark.parametrize("cut", [1, 7, 10_000])
async def test_an_indented_list_is_read_whole_or_watched_however_it_is_cut(cut: int) -> None:
    """After a reload it was asked for ten times a second, and never understood."""
    first, second = told(5, True, a="up", **{'b{"[': "up"}), told(6, False, a="draining")
    lines = text(first, 2)
    stream = text(second, 2) + b"\n" + text(told(7, False, a="up"), 1)
    parts = [stream[at : at + cut] for at in range(0, len(stream), cut)]
    agent = Agent(as_list(lines), HEAD + b"".join(map(chunk, parts)))
    await agent.start()
    watched = Watched(agent, None)
    assert await watched.heard(3) == [
        (5, True, ["a=up", 'b{"[=up']),
        (6, False, ["a=draining"]),
        (7, False, ["a=up"]),
    ]
    watched.discovery.stop()
    agent.stop()


@pytest.mark.parametrize(
    "bad",
    [
        b'{\n"index": 9,\n\n"snapshot": true}\n',
        b'{\n"index": 9}}\n',
        b"{\n]\n",
        b"[" * 100_000 + b"]" * 100_000 + b"\n",
        b'{"index":1e999,"snapshot":true,"endpoints":[]}\n',
        text(told(9, True, a="lost")),
        text(told(9, True, a="up")).replace(b':1"', b':70000"'),
        text(told(9, True, a="up")).replace(b'"status"', b'"weight": NaN, "status"'),
    ],
)
async def test_an_unreadable_list_is_logged_and_refused_and_the_watch_opened_anew(
    waits: list[float], caplog: pytest.LogCaptureFixture, bad: bytes
) -> None:
    good = HEAD + chunk(text(told(42, False, a="up")))
    agent = Agent(good + chunk(bad), HEAD + chunk(bad), HEAD + chunk(bad), good)
    await agent.start()
    with caplog.at_level(logging.WARNING):
        watched = Watched(agent, 41)
        assert await watched.heard(2) == [(42, False, ["a=up"])] * 2
    assert len(caplog.records) == 3 and len(waits) == 3
    assert waits[2] > 1.3 * waits[0] > 0  # the same may come again: asked for ever less often
    watched.discovery.stop()
    agent.stop()


async def test_after_a_watch_that_ends_without_a_line_the_whole_list_is_asked_for(waits: list[float]) -> None:
    """It may go on like this, and a watch that does not tell would be asked for without end."""
    ends = HEAD + b"0\r\n\r\n"
    agent = Agent(ends, as_list(text(told(43, True, a="draining"))), HEAD)
    await agent.start()
    watched = Watched(agent, 41)
    assert await watched.heard(1) == [(43, True, ["a=draining"])]
    await agent.until(lambda: len(agent.asked) == 3)
    watch = b"GET /discovery/hosts?watch=1&from="
    assert agent.asked == [watch + b"41", b"GET /discovery/hosts", watch + b"43"]
    watched.discovery.stop()
    agent.stop()


async def test_a_first_call_that_is_silent_is_given_up_in_time_for_another(
    waits: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a silent watch, a second call may not take as long again: the change is late by then."""
    agent = Agent()
    await agent.start()
    monkeypatch.setattr(retry, "LAST_TRIES", retry.IN_FORCE - 0.1)
    monkeypatch.setattr(retry, "LEAST_SILENT", 0.05)
    began = asyncio.get_running_loop().time()
    watched = Watched(agent, 41)
    await agent.until(lambda: len(agent.asked) == 3)
    assert asyncio.get_running_loop().time() - began < discovery_module.SILENT
    watched.discovery.stop()
    agent.stop()


def test_a_document_that_ends_nowhere_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(listing_module, "MAX_LINE", 1000)
    document = Document()
    assert document.add(b"[") is None
    with pytest.raises(ValueError):
        for _ in range(1000):
            document.add(b"1,")
    assert not document.begun


# The start.


def made_ingress(tmp_path: Path, agent: PeerServer) -> Ingress:
    known = told(41, True, leaving="up", staying="up")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(known=known, discovery=f"{HOST}:{agent.port}")))
    return Ingress(load_config(str(path), {}))


async def test_a_start_takes_no_client_before_it_knows_what_the_agent_has(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ingress_module, "LIST_WAIT_SECONDS", 10.0)
    agent = Agent(HEAD + chunk(text(told(42, False, leaving="draining"))))
    await agent.start()
    ingress = made_ingress(tmp_path, agent)
    before: list[dict[str, str]] = []
    listen = ingress.listener.listen

    async def listened(host: str, port: int, inherited: int | None = None) -> int:
        before.append({name: entry.status for name, entry in ingress.overrides.entries.items()})
        return await listen(host, port, inherited)

    monkeypatch.setattr(ingress.listener, "listen", listened)
    await ingress.start()
    assert before == [{"leaving": "draining", "staying": "up"}]
    await stopped(ingress)
    agent.stop()


async def test_a_silent_agent_stops_no_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ingress_module, "LIST_WAIT_SECONDS", 0.01)
    agent = Agent()
    await agent.start()
    ingress = made_ingress(tmp_path, agent)
    await ingress.start()
    assert ingress.ready() and ingress.overrides.entries["leaving"].status == "up"
    await stopped(ingress)
    agent.stop()


async def test_a_line_on_the_watch_that_was_left_does_not_undo_the_new_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a reload, both can be read in one turn of the loop: the new list first, and then the old line."""
    watches: list[Watch] = []

    class Kept(Watch):
        def __init__(self, discovery: Discovery, whole: bool) -> None:
            super().__init__(discovery, whole)
            watches.append(self)

    monkeypatch.setattr(discovery_module, "Watch", Kept)
    old, new = Agent(HEAD + chunk(text(told(42, False)))), Agent(as_list(text(told(7, True, staying="up"))))
    await old.start()
    await new.start()
    ingress = made_ingress(tmp_path, old)
    await ingress.start()
    done, listed = asyncio.Event(), ingress.overrides.apply_list

    def listed_then_read(listing: EndpointList, kind: Any = None) -> None:
        listed(listing, kind)
        if listing.is_snapshot:
            done.set()
            watches[0].data_received(chunk(text(told(43, False, leaving="up"))))

    monkeypatch.setattr(ingress.overrides, "apply_list", listed_then_read)
    path = tmp_path / "other.json"
    path.write_text(json.dumps(config(discovery=f"{HOST}:{new.port}")))
    ingress.reload(str(path))
    async with asyncio.timeout(10):
        await done.wait()
    assert list(ingress.overrides.entries) == ["staying"] and ingress.overrides.index == 7
    await stopped(ingress)
    old.stop()
    new.stop()


async def stopped(ingress: Ingress) -> None:
    ingress.control_plane.stop()
    ingress.listener.stop()
    ingress.upstream.stop()
    ingress.admin.stop()


# What another process of the same ingress was told.


async def test_a_change_from_the_other_process_counts_only_on_top_of_what_is_held() -> None:
    """One that skips versions would hide what lies between; one that the watch tells again is passed over."""
    heard: list[EndpointList] = []
    made = Discovery((HOST, 1), 4, heard.append)
    made.told_elsewhere(EndpointList(told(7, False, a="draining")), after=6)
    made.told_elsewhere(EndpointList(told(4, False, a="draining")), after=3)
    made.told_elsewhere(EndpointList(told(9, False, a="draining")), after=None)
    assert not heard and made.index == 4
    made.told_elsewhere(EndpointList(told(5, False, a="up")), after=4)
    made.told_elsewhere(EndpointList(told(6, False, a="draining")), after=5)
    made.told(EndpointList(told(5, False, a="up")))  # by the watch that was open all the time
    made.told(EndpointList(told(6, False, a="draining")))
    made.told(EndpointList(told(7, False, b="draining")))
    assert [listing.index for listing in heard] == [5, 6, 7] and made.index == 7
    made.told_elsewhere(EndpointList(told(12, True, a="up")), after=11)
    assert heard[-1].index == 12 and heard[-1].is_snapshot
