"""Responses of discovery on one connection: split, indented, malformed and silent."""

from __future__ import annotations

import asyncio
import logging

import pytest

from quota_ingress.net.discovery.watch import DiscoveryWatch
from quota_ingress.net.discovery.watch_connection import WatchConnection
from tests.net_helpers import HOST, PeerServer
from tests.support.discovery import (
    WATCH_HEAD,
    DiscoveryAgent,
    RecordedWatch,
    chunk,
    list_document,
    list_line,
    snapshot_answer,
)


async def test_a_watch_that_breaks_within_a_line_resumes_after_the_last_complete_one(
    waits: list[float],
) -> None:
    partial_line = list_line(list_document(43, False, a="draining"))[:40]
    agent = DiscoveryAgent(
        WATCH_HEAD + chunk(list_line(list_document(42, False, a="up"))) + chunk(partial_line)
    )
    await agent.start()
    watched = RecordedWatch(agent, 41)
    await watched.wait_for_lists(1)
    agent.replies = [WATCH_HEAD + chunk(list_line(list_document(43, False, a="draining")))]
    agent.peers[0].transport.close()
    assert (await watched.wait_for_lists(2))[1] == (43, False, ["a=draining"])
    assert agent.calls[1] == b"GET /discovery/hosts?watch=1&from=42"
    watched.watch.stop()
    agent.stop()


@pytest.mark.parametrize("part_size", [1, 7, 10_000])
async def test_indented_snapshots_and_deltas_are_read_however_they_are_split(part_size: int) -> None:
    """Guards against rejecting indented lists: after a reload, the list was requested ten times a second."""
    first, second = list_document(5, True, a="up", **{'b{"[': "up"}), list_document(6, False, a="draining")
    lines = list_line(first, 2)
    stream = list_line(second, 2) + b"\n" + list_line(list_document(7, False, a="up"), 1)
    parts = [stream[start : start + part_size] for start in range(0, len(stream), part_size)]
    agent = DiscoveryAgent(snapshot_answer(lines), WATCH_HEAD + b"".join(map(chunk, parts)))
    await agent.start()
    watched = RecordedWatch(agent, None)
    assert await watched.wait_for_lists(3) == [
        (5, True, ["a=up", 'b{"[=up']),
        (6, False, ["a=draining"]),
        (7, False, ["a=up"]),
    ]
    watched.watch.stop()
    agent.stop()


@pytest.mark.parametrize(
    "bad",
    [
        b'{\n"index": 9,\n\n"snapshot": true}\n',
        b'{\n"index": 9}}\n',
        b"{\n]\n",
        b"[" * 100_000 + b"]" * 100_000 + b"\n",
        b'{"index":1e999,"snapshot":true,"endpoints":[]}\n',
        list_line(list_document(9, True, a="lost")),
        list_line(list_document(9, True, a="up")).replace(b':1"', b':70000"'),
        list_line(list_document(9, True, a="up")).replace(b'"status"', b'"weight": NaN, "status"'),
    ],
)
async def test_a_malformed_list_is_logged_and_ignored_and_the_watch_reopened(
    waits: list[float], caplog: pytest.LogCaptureFixture, bad: bytes
) -> None:
    good = WATCH_HEAD + chunk(list_line(list_document(42, False, a="up")))
    agent = DiscoveryAgent(good + chunk(bad), WATCH_HEAD + chunk(bad), WATCH_HEAD + chunk(bad), good)
    await agent.start()
    with caplog.at_level(logging.WARNING):
        watched = RecordedWatch(agent, 41)
        assert await watched.wait_for_lists(2) == [(42, False, ["a=up"])] * 2
    assert len(caplog.records) == 3 and len(waits) == 3
    assert waits[2] > 1.3 * waits[0] > 0  # the same list may be sent again, so the waits grow
    watched.watch.stop()
    agent.stop()


@pytest.mark.parametrize(
    "bad", [b"no json\n", b'{"index":1}\n', b"[]\n", b'{"index":1,"snapshot":0,"endpoints":[1]}\n']
)
async def test_a_malformed_line_ends_the_watch_and_a_new_one_is_opened(
    server: PeerServer, bad: bytes
) -> None:
    watched = RecordedWatch(server, 41, 1)
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    server.peers[0].transport.write(WATCH_HEAD + chunk(bad))
    await server.wait_until(lambda: len(server.peers) == 2)
    assert watched.lists == []
    watched.watch.stop()


async def test_a_watch_is_aborted_soon_after_one_missing_heartbeat() -> None:
    class FakeLoop:
        now, timer_at = 0.0, 0.0

        def time(self) -> float:
            return self.now

        def call_later(self, delay: float, run: object) -> asyncio.Handle:
            self.timer_at = self.now + delay
            return asyncio.Handle(lambda: None, (), asyncio.get_running_loop())

    class FakeTransport(asyncio.Transport):
        def write(self, data: object) -> None: ...

        def abort(self) -> None:
            aborted.append(loop.now)

    aborted: list[float] = []
    loop, connection = FakeLoop(), WatchConnection(DiscoveryWatch((HOST, 1), 0, lambda listing: None), False)
    connection._loop = loop  # type: ignore[assignment]
    connection.connection_made(FakeTransport())
    connection.data_received(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for heartbeat_at in (2.0, 4.0):
        loop.now = heartbeat_at
        connection.data_received(chunk(b"\n"))
    while not aborted:
        loop.now = loop.timer_at
        connection._check_silence()
    assert 6 < aborted[0] <= 7.5  # after the heartbeat due at 6 s, within the 4 s allowed for a reload
