"""The watch on the endpoint list over loopback connections: how it ends, resumes and is reopened."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from quota_ingress.config import load_config
from quota_ingress.net.discovery import watch as discovery_module
from quota_ingress.net.discovery import watch_connection, watch_retry
from quota_ingress.net.discovery.endpoint_codec import STATUS_BY_STATE, decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.watch import DiscoveryWatch
from quota_ingress.net.discovery.watch_connection import WatchConnection
from quota_ingress.net.lifecycle import ingress as ingress_module
from quota_ingress.net.lifecycle.ingress import Ingress
from quota_ingress.policy.endpoint_list import EndpointState
from tests.net_helpers import HOST, Peer, PeerServer
from tests.process_helpers import config_document
from tests.support.discovery import (
    WATCH_HEAD,
    DiscoveryAgent,
    RecordedWatch,
    chunk,
    list_document,
    list_line,
    snapshot_answer,
)


async def test_a_watch_that_is_reset_is_reopened_at_once_in_a_large_fleet(waits: list[float]) -> None:
    """What the agent has counts as notified, whether or not a watch is open."""
    agent = DiscoveryAgent(
        WATCH_HEAD + chunk(list_line(list_document(42, False))), None, None, None, WATCH_HEAD
    )
    await agent.start()
    watched = RecordedWatch(agent, 41)
    await watched.received(1)
    agent.peers[0].transport.abort()
    await agent.until(lambda: len(agent.calls) == 5)
    assert agent.calls[1:] == [b"GET /discovery/hosts?watch=1&from=42"] * 4
    first, longest = watch_retry.RECONNECT_BACKOFF
    assert len(waits) == 4 and waits[0] <= 1.5 * first and max(waits) <= 1.5 * longest
    watched.watch.stop()
    agent.stop()


async def test_a_silent_watch_is_reopened_without_a_wait_in_a_large_fleet(
    waits: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """However often: what the agent gets at discovery's return goes to the watch that is open then."""
    for module in (watch_connection, watch_retry):
        monkeypatch.setattr(module, "HEARTBEAT_TIMEOUT", 0.05)
    agent = DiscoveryAgent(WATCH_HEAD + chunk(list_line(list_document(42, False))))
    await agent.start()
    watched = RecordedWatch(agent, 41)
    await agent.until(lambda: len(agent.calls) == 4)
    agent.peers[3].transport.write(WATCH_HEAD + chunk(list_line(list_document(43, False, a="draining"))))
    assert (await watched.received(2))[1] == (43, False, ["a=draining"])
    assert waits == []
    watched.watch.stop()
    agent.stop()


async def test_a_rejected_watch_is_retried_within_a_second_and_a_half_in_a_large_fleet(
    waits: list[float],
) -> None:
    """A change counts as notified after 6 s, whatever a rejected call allows."""
    busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    agent = DiscoveryAgent(busy, busy, WATCH_HEAD + chunk(list_line(list_document(42, False))))
    await agent.start()
    watched = RecordedWatch(agent, 41)
    await watched.received(1)
    longest = 1.5 * watch_retry.FAILED_CALL_BACKOFF.longest
    assert len(waits) == 2 and 0 < waits[0] < longest and waits[1] < longest
    agent._server.close()
    agent.peers[2].transport.abort()
    while len(waits) < 6:
        await asyncio.sleep(0)
    assert max(waits[2:6]) <= 1.5 * watch_retry.RECONNECT_BACKOFF.longest
    watched.watch.stop()
    agent.stop()


async def test_a_reset_between_snapshot_and_watch_loses_no_change(waits: list[float]) -> None:
    """The call for the watch goes out on a connection that is closed under it."""
    change = WATCH_HEAD + chunk(list_line(list_document(6, False, a="draining")))
    agent = DiscoveryAgent(snapshot_answer(list_line(list_document(5, True, a="up"))), None, change)
    await agent.start()
    watched = RecordedWatch(agent, None)
    assert await watched.received(2) == [(5, True, ["a=up"]), (6, False, ["a=draining"])]
    watch = b"GET /discovery/hosts?watch=1&from=5"
    assert agent.calls == [b"GET /discovery/hosts", watch, watch]
    assert len(waits) == 1 and waits[0] <= 1.5 * watch_retry.RECONNECT_BACKOFF.initial
    watched.watch.stop()
    agent.stop()


async def test_a_watch_that_ends_without_a_line_is_followed_by_a_snapshot(waits: list[float]) -> None:
    """It may go on like this, and a watch that does not tell would be asked for without end."""
    ends = WATCH_HEAD + b"0\r\n\r\n"
    agent = DiscoveryAgent(
        ends, snapshot_answer(list_line(list_document(43, True, a="draining"))), WATCH_HEAD
    )
    await agent.start()
    watched = RecordedWatch(agent, 41)
    assert await watched.received(1) == [(43, True, ["a=draining"])]
    await agent.until(lambda: len(agent.calls) == 3)
    watch = b"GET /discovery/hosts?watch=1&from="
    assert agent.calls == [watch + b"41", b"GET /discovery/hosts", watch + b"43"]
    watched.watch.stop()
    agent.stop()


async def test_a_silent_first_call_is_aborted_in_time_for_another(
    waits: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a silent watch, a second call may not take as long again: the change is late by then."""
    agent = DiscoveryAgent()
    await agent.start()
    monkeypatch.setattr(watch_retry, "FINAL_CALLS_TIME", watch_retry.NOTIFICATION_DEADLINE - 0.1)
    monkeypatch.setattr(watch_retry, "MIN_FIRST_BYTE_TIMEOUT", 0.05)
    began = asyncio.get_running_loop().time()
    watched = RecordedWatch(agent, 41)
    await agent.until(lambda: len(agent.calls) == 3)
    assert asyncio.get_running_loop().time() - began < watch_connection.HEARTBEAT_TIMEOUT
    watched.watch.stop()
    agent.stop()


# The start.


def made_ingress(tmp_path: Path, agent: PeerServer) -> Ingress:
    known = list_document(41, True, leaving="up", staying="up")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document(known=known, discovery=f"{HOST}:{agent.port}")))
    return Ingress(load_config(str(path), {}))


async def test_a_start_takes_no_client_before_it_knows_what_the_agent_has(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ingress_module, "LIST_WAIT_SECONDS", 10.0)
    agent = DiscoveryAgent(WATCH_HEAD + chunk(list_line(list_document(42, False, leaving="draining"))))
    await agent.start()
    ingress = made_ingress(tmp_path, agent)
    before: list[dict[str, str]] = []
    listen = ingress.listener.listen

    async def listened(host: str, port: int, inherited: int | None = None) -> int:
        before.append(
            {name: STATUS_BY_STATE[entry.state] for name, entry in ingress.overrides.entries.items()}
        )
        return await listen(host, port, inherited)

    monkeypatch.setattr(ingress.listener, "listen", listened)
    await ingress.start()
    assert before == [{"leaving": "draining", "staying": "up"}]
    await stopped(ingress)
    agent.stop()


async def test_a_silent_agent_stops_no_start(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ingress_module, "LIST_WAIT_SECONDS", 0.01)
    agent = DiscoveryAgent()
    await agent.start()
    ingress = made_ingress(tmp_path, agent)
    await ingress.start()
    assert ingress.ready() and ingress.overrides.entries["leaving"].state is EndpointState.READY
    await stopped(ingress)
    agent.stop()


async def test_a_line_on_the_watch_that_was_left_does_not_undo_the_new_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a reload, both can be read in one turn of the loop: the new list first, and then the old line."""
    watches: list[WatchConnection] = []

    class Kept(WatchConnection):
        def __init__(self, discovery: DiscoveryWatch, whole: bool) -> None:
            super().__init__(discovery, whole)
            watches.append(self)

    monkeypatch.setattr(discovery_module, "WatchConnection", Kept)
    old, new = (
        DiscoveryAgent(WATCH_HEAD + chunk(list_line(list_document(42, False)))),
        DiscoveryAgent(snapshot_answer(list_line(list_document(7, True, staying="up")))),
    )
    await old.start()
    await new.start()
    ingress = made_ingress(tmp_path, old)
    await ingress.start()
    done, listed = asyncio.Event(), ingress.overrides.apply_list

    def listed_then_read(listing: EndpointList, kind: Any = None) -> None:
        listed(listing, kind)
        if listing.is_snapshot:
            done.set()
            watches[0].data_received(chunk(list_line(list_document(43, False, leaving="up"))))

    monkeypatch.setattr(ingress.overrides, "apply_list", listed_then_read)
    path = tmp_path / "other.json"
    path.write_text(json.dumps(config_document(discovery=f"{HOST}:{new.port}")))
    ingress.reload(str(path))
    async with asyncio.timeout(10):
        await done.wait()
    assert list(ingress.overrides.entries) == ["staying"] and ingress.overrides.list_version == 7
    await stopped(ingress)
    old.stop()
    new.stop()


async def stopped(ingress: Ingress) -> None:
    ingress.control_plane.stop()
    ingress.listener.stop()
    ingress.upstream.stop()
    ingress.admin.stop()


# What another process of the same ingress was told.


async def test_a_delta_from_the_peer_process_is_applied_only_on_its_base_version() -> None:
    """One that skips versions would hide what lies between; one that the watch tells again is passed over."""
    heard: list[EndpointList] = []
    made = DiscoveryWatch((HOST, 1), 4, heard.append)
    made.receive_from_peer(decode_endpoint_list(list_document(7, False, a="draining")), base_version=6)
    made.receive_from_peer(decode_endpoint_list(list_document(4, False, a="draining")), base_version=3)
    made.receive_from_peer(decode_endpoint_list(list_document(9, False, a="draining")), base_version=None)
    assert not heard and made.version == 4
    made.receive_from_peer(decode_endpoint_list(list_document(5, False, a="up")), base_version=4)
    made.receive_from_peer(decode_endpoint_list(list_document(6, False, a="draining")), base_version=5)
    # By the watch that was open all the time:
    made.receive(decode_endpoint_list(list_document(5, False, a="up")))
    made.receive(decode_endpoint_list(list_document(6, False, a="draining")))
    made.receive(decode_endpoint_list(list_document(7, False, b="draining")))
    assert [listing.version for listing in heard] == [5, 6, 7] and made.version == 7
    made.receive_from_peer(decode_endpoint_list(list_document(12, True, a="up")), base_version=11)
    assert heard[-1].version == 12 and heard[-1].is_snapshot


async def test_the_watch_starts_from_the_version_held_and_resumes_from_the_last(server: PeerServer) -> None:
    watched = RecordedWatch(server, 41, 1)
    await server.until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    assert server.peers[0].data.startswith(b"GET /discovery/hosts?watch=1&from=41 HTTP/1.1\r\n")
    both = (
        list_line(list_document(42, False, a="up"))
        + b"\n"
        + list_line(list_document(43, True, a="up", b="up"))
    )
    server.peers[0].transport.write(WATCH_HEAD + chunk(both[:30]) + chunk(both[30:]))
    await watched.received(2)
    assert [(x.version, x.is_snapshot, [e.name for e in x.entries]) for x in watched.lists] == [
        (42, False, ["a"]),
        (43, True, ["a", "b"]),
    ]
    server.peers[0].transport.close()
    await server.until(lambda: len(server.peers) == 2 and b"\r\n\r\n" in server.peers[1].data)
    assert b"from=43 " in server.peers[1].data
    watched.watch.stop()


async def test_a_silent_watch_is_reopened(server: PeerServer, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT", 0.05)
    watched = RecordedWatch(server, 41, 1)
    await server.until(lambda: len(server.peers) == 2)
    watched.watch.stop()


@pytest.mark.parametrize("size", [3, 40])
async def test_a_discovery_that_rejects_calls_is_called_ever_less_often(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Up to a bound: a change counts as notified after 6 s, whatever a rejected call allows.

    How a large fleet whose calls are queued first shares such a discovery is in test_watch_retry.
    """

    def reject(peer: Peer) -> None:
        peer.transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

    agent = await PeerServer(reject).start()
    waits: list[float] = []
    enough = asyncio.Event()
    sleep = asyncio.sleep

    async def record(wait: float) -> None:
        waits.append(wait)
        if len(waits) == 6:
            enough.set()
        await sleep(0)

    monkeypatch.setattr(discovery_module.asyncio, "sleep", record)
    watch = DiscoveryWatch((HOST, agent.port), 4, lambda listing: None, size)
    watch.start()
    async with asyncio.timeout(10):
        await enough.wait()
    watch.stop()
    initial, longest = watch_retry.FAILED_CALL_BACKOFF
    for attempt, wait in enumerate(waits[:6]):
        typical = min(longest, initial * 2**attempt)
        assert 0.5 * typical <= wait <= 1.5 * typical
    assert waits[5] > 1.2 * waits[0] and len({w / waits[0] for w in waits}) == len(waits)
    agent.stop()
