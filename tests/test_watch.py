"""The watch on the endpoint list over loopback connections: its end, resumption and reopening."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.net.discovery import watch as watch_module
from quota_ingress.net.discovery import watch_connection, watch_retry
from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.watch import DiscoveryWatch
from tests.net_helpers import HOST, Peer, PeerServer
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
    """A change counts as notified once the agent has it, even while no watch is open."""
    agent = DiscoveryAgent(
        WATCH_HEAD + chunk(list_line(list_document(42, False))), None, None, None, WATCH_HEAD
    )
    await agent.start()
    watched = RecordedWatch(agent, 41)
    await watched.wait_for_lists(1)
    agent.peers[0].transport.abort()
    await agent.wait_until(lambda: len(agent.calls) == 5)
    assert agent.calls[1:] == [b"GET /discovery/hosts?watch=1&from=42"] * 4
    first, longest = watch_retry.RECONNECT_BACKOFF
    assert len(waits) == 4 and waits[0] <= 1.5 * first and max(waits) <= 1.5 * longest
    watched.watch.stop()
    agent.stop()


async def test_a_silent_watch_is_reopened_without_a_wait_in_a_large_fleet(
    waits: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """The same holds after repeated silence: a recovered agent sends changes only to the open watch."""
    for module in (watch_connection, watch_retry):
        monkeypatch.setattr(module, "HEARTBEAT_TIMEOUT", 0.05)
    agent = DiscoveryAgent(WATCH_HEAD + chunk(list_line(list_document(42, False))))
    await agent.start()
    watched = RecordedWatch(agent, 41)
    await agent.wait_until(lambda: len(agent.calls) == 4)
    agent.peers[3].transport.write(WATCH_HEAD + chunk(list_line(list_document(43, False, a="draining"))))
    assert (await watched.wait_for_lists(2))[1] == (43, False, ["a=draining"])
    assert waits == []
    watched.watch.stop()
    agent.stop()


async def test_a_rejected_watch_is_retried_within_a_second_and_a_half_in_a_large_fleet(
    waits: list[float],
) -> None:
    """A change must be in force within 6 s, even if calls are rejected."""
    busy = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
    agent = DiscoveryAgent(busy, busy, WATCH_HEAD + chunk(list_line(list_document(42, False))))
    await agent.start()
    watched = RecordedWatch(agent, 41)
    await watched.wait_for_lists(1)
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
    """The connection is reset after the watch has been requested on it."""
    change = WATCH_HEAD + chunk(list_line(list_document(6, False, a="draining")))
    agent = DiscoveryAgent(snapshot_answer(list_line(list_document(5, True, a="up"))), None, change)
    await agent.start()
    watched = RecordedWatch(agent, None)
    assert await watched.wait_for_lists(2) == [(5, True, ["a=up"]), (6, False, ["a=draining"])]
    watch = b"GET /discovery/hosts?watch=1&from=5"
    assert agent.calls == [b"GET /discovery/hosts", watch, watch]
    assert len(waits) == 1 and waits[0] <= 1.5 * watch_retry.RECONNECT_BACKOFF.initial
    watched.watch.stop()
    agent.stop()


async def test_a_watch_that_ends_without_a_line_is_followed_by_a_snapshot(waits: list[float]) -> None:
    """Guards against endless calls to a discovery that sends only empty watches: no change would arrive."""
    ends = WATCH_HEAD + b"0\r\n\r\n"
    agent = DiscoveryAgent(
        ends, snapshot_answer(list_line(list_document(43, True, a="draining"))), WATCH_HEAD
    )
    await agent.start()
    watched = RecordedWatch(agent, 41)
    assert await watched.wait_for_lists(1) == [(43, True, ["a=draining"])]
    await agent.wait_until(lambda: len(agent.calls) == 3)
    watch = b"GET /discovery/hosts?watch=1&from="
    assert agent.calls == [watch + b"41", b"GET /discovery/hosts", watch + b"43"]
    watched.watch.stop()
    agent.stop()


async def test_a_silent_first_call_is_aborted_in_time_for_another(
    waits: list[float], monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a silent watch, a second call with the full timeout would make a change late."""
    agent = DiscoveryAgent()
    await agent.start()
    monkeypatch.setattr(watch_retry, "FINAL_CALLS_TIME", watch_retry.NOTIFICATION_DEADLINE - 0.1)
    monkeypatch.setattr(watch_retry, "MIN_FIRST_BYTE_TIMEOUT", 0.05)
    began = asyncio.get_running_loop().time()
    watched = RecordedWatch(agent, 41)
    await agent.wait_until(lambda: len(agent.calls) == 3)
    assert asyncio.get_running_loop().time() - began < watch_connection.HEARTBEAT_TIMEOUT
    watched.watch.stop()
    agent.stop()


async def test_a_delta_from_the_peer_process_is_applied_only_on_its_base_version() -> None:
    """A delta that skips versions would lose the changes between; one that the watch repeats is ignored."""
    received: list[EndpointList] = []
    watch = DiscoveryWatch((HOST, 1), 4, received.append)
    watch.receive_from_peer(decode_endpoint_list(list_document(7, False, a="draining")), base_version=6)
    watch.receive_from_peer(decode_endpoint_list(list_document(4, False, a="draining")), base_version=3)
    watch.receive_from_peer(decode_endpoint_list(list_document(9, False, a="draining")), base_version=None)
    assert not received and watch.version == 4
    watch.receive_from_peer(decode_endpoint_list(list_document(5, False, a="up")), base_version=4)
    watch.receive_from_peer(decode_endpoint_list(list_document(6, False, a="draining")), base_version=5)
    # The same delta, repeated by this process's watch:
    watch.receive(decode_endpoint_list(list_document(5, False, a="up")))
    watch.receive(decode_endpoint_list(list_document(6, False, a="draining")))
    watch.receive(decode_endpoint_list(list_document(7, False, b="draining")))
    assert [endpoint_list.version for endpoint_list in received] == [5, 6, 7] and watch.version == 7
    watch.receive_from_peer(decode_endpoint_list(list_document(12, True, a="up")), base_version=11)
    assert received[-1].version == 12 and received[-1].is_snapshot


async def test_the_watch_starts_from_the_version_held_and_resumes_from_the_last(server: PeerServer) -> None:
    watched = RecordedWatch(server, 41, 1)
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    assert server.peers[0].data.startswith(b"GET /discovery/hosts?watch=1&from=41 HTTP/1.1\r\n")
    two_lists = (
        list_line(list_document(42, False, a="up"))
        + b"\n"
        + list_line(list_document(43, True, a="up", b="up"))
    )
    server.peers[0].transport.write(WATCH_HEAD + chunk(two_lists[:30]) + chunk(two_lists[30:]))
    await watched.wait_for_lists(2)
    assert [(each.version, each.is_snapshot, [e.name for e in each.entries]) for each in watched.lists] == [
        (42, False, ["a"]),
        (43, True, ["a", "b"]),
    ]
    server.peers[0].transport.close()
    await server.wait_until(lambda: len(server.peers) == 2 and b"\r\n\r\n" in server.peers[1].data)
    assert b"from=43 " in server.peers[1].data
    watched.watch.stop()


async def test_a_silent_watch_is_reopened(server: PeerServer, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT", 0.05)
    watched = RecordedWatch(server, 41, 1)
    await server.wait_until(lambda: len(server.peers) == 2)
    watched.watch.stop()


@pytest.mark.parametrize("size", [3, 40])
async def test_a_discovery_that_rejects_calls_is_called_ever_less_often(
    size: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The backoff is bounded, since a change must be in force within 6 s even if calls are rejected.

    test_watch_retry covers large fleets whose calls are queued before they are rejected.
    """

    def reject(peer: Peer) -> None:
        peer.transport.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")

    agent = await PeerServer(reject).start()
    waits: list[float] = []
    six_waits_recorded = asyncio.Event()
    sleep = asyncio.sleep

    async def record(wait: float) -> None:
        waits.append(wait)
        if len(waits) == 6:
            six_waits_recorded.set()
        await sleep(0)

    monkeypatch.setattr(watch_module.asyncio, "sleep", record)
    watch = DiscoveryWatch((HOST, agent.port), 4, lambda listing: None, size)
    watch.start()
    async with asyncio.timeout(10):
        await six_waits_recorded.wait()
    watch.stop()
    initial, longest = watch_retry.FAILED_CALL_BACKOFF
    for attempt, wait in enumerate(waits[:6]):
        typical = min(longest, initial * 2**attempt)
        assert 0.5 * typical <= wait <= 1.5 * typical
    assert waits[5] > 1.2 * waits[0] and len({w / waits[0] for w in waits}) == len(waits)
    agent.stop()
