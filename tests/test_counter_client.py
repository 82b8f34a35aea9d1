"""The client of the shared counter over loopback sockets."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.net.counter import client as counter_module
from quota_ingress.net.counter import connection as connection_module
from quota_ingress.net.counter.client import CounterClient
from quota_ingress.policy.events import Outcome
from tests.net_helpers import HOST, PeerServer

LONG_TIMEOUT, SHORT_TIMEOUT = 10_000_000, 20_000  # us


class RecordedCalls:
    def __init__(self, server: PeerServer, timeout_us: int) -> None:
        self.counter, self.server = CounterClient((HOST, server.port), timeout_us), server
        self.answers: list[tuple[str, Outcome, float]] = []
        self.changed = asyncio.Event()

    async def connect(self) -> None:
        self.counter.start()
        async with asyncio.timeout(10):
            await self.counter.connected.wait()
            while len(self.counter._connections) < counter_module.MAX_CONNECTIONS:
                await asyncio.sleep(0)

    def add(self, label: str, amount: float = 1.0, ttl_us: int = 4_000_000, name: int = 0xAB) -> None:
        def on_answer(outcome: Outcome, total: float) -> None:
            self.answers.append((label, outcome, total))
            self.changed.set()

        self.counter.add(name, amount, ttl_us, on_answer)

    async def answered(self, count: int) -> list[tuple[str, Outcome, float]]:
        async with asyncio.timeout(10):
            while len(self.answers) < count:
                self.changed.clear()
                await self.changed.wait()
        return self.answers


@pytest.fixture(autouse=True)
def one_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(counter_module, "MAX_CONNECTIONS", 1)  # default; some tests set another number


async def received_adds(server: PeerServer, count: int) -> list[bytes]:
    def adds() -> list[bytes]:
        lines = [line for peer in server.peers for line in peer.data.split(b"\r\n")]
        return [line for line in lines if line.startswith(b"add")]

    await server.wait_until(lambda: len(adds()) >= count)
    return adds()


async def test_calls_are_pipelined_and_answers_come_in_their_order(server: PeerServer) -> None:
    calls = RecordedCalls(server, LONG_TIMEOUT)
    await calls.connect()
    calls.add("a", -2.5)
    calls.add("b", 1 / 3, 90_000_000)
    calls.add("c")
    calls.add("d")
    sent = await received_adds(server, 4)
    assert sent[0] == b"add 00000000000000ab -2.500000 4000"
    assert sent[1] == b"add 00000000000000ab 0.333333 60000"
    server.peers[0].transport.write(b"ok 37.99")
    server.peers[0].transport.write(b"9998\r\nbusy\r\nerror\r\nok 1\r\n")
    assert await calls.answered(4) == [
        ("a", Outcome.OK, 37.999998),
        ("b", Outcome.REJECTED, 0.0),
        ("c", Outcome.REJECTED, 0.0),
        ("d", Outcome.OK, 1.0),
    ]
    calls.counter.stop()


async def test_a_late_answer_is_dropped_and_not_matched_with_the_next_call(server: PeerServer) -> None:
    calls = RecordedCalls(server, SHORT_TIMEOUT)
    await calls.connect()
    calls.add("late")
    await received_adds(server, 1)
    assert await calls.answered(1) == [("late", Outcome.TIMEOUT, 0.0)]
    server.on_data = lambda peer: peer.transport.write(b"ok 5\r\nok 6\r\n")
    calls.add("next")
    assert (await calls.answered(2))[1] == ("next", Outcome.OK, 6.0)
    calls.counter.stop()


async def test_a_duplicate_answer_in_pieces_does_not_answer_the_next_call(server: PeerServer) -> None:
    """Guards against taking a customer's total from the second answer to another customer's call."""
    calls = RecordedCalls(server, LONG_TIMEOUT)
    await calls.connect()
    (connection,) = calls.counter._connections
    calls.add("a")
    await received_adds(server, 1)
    server.peers[0].transport.write(b"ok 5\r\nok 5")
    assert await calls.answered(1) == [("a", Outcome.OK, 5.0)]
    async with asyncio.timeout(10):
        while not connection._partial_line:
            await asyncio.sleep(0)
        while connection.transport.is_closing() and calls.counter._connections in ([], [connection]):
            await asyncio.sleep(0)
    server.on_data = lambda peer: peer.transport.write(b"000\r\n" if peer is server.peers[0] else b"ok 6\r\n")
    calls.add("b")
    assert (await calls.answered(2))[1] == ("b", Outcome.OK, 6.0)
    calls.counter.stop()


@pytest.mark.parametrize("reply", [b"what\r\n", b"pong\r\n", b"ok nan\r\n", b"ok\r\n", b"x" * 1000])
async def test_a_malformed_answer_ends_the_connection_and_a_new_one_is_made(
    server: PeerServer, reply: bytes
) -> None:
    calls = RecordedCalls(server, LONG_TIMEOUT)
    await calls.connect()
    calls.add("a")
    await received_adds(server, 1)
    server.peers[0].transport.write(reply)
    assert await calls.answered(1) == [("a", Outcome.RESET, 0.0)]  # it was written and may have been executed
    await server.wait_until(lambda: len(server.peers) == 2)
    calls.counter.stop()


async def test_a_connection_lost_during_a_call_is_reported_as_reset(server: PeerServer) -> None:
    calls = RecordedCalls(server, LONG_TIMEOUT)
    await calls.connect()
    calls.add("a")
    await received_adds(server, 1)
    server.peers[0].transport.abort()
    assert await calls.answered(1) == [("a", Outcome.RESET, 0.0)]
    calls.counter.stop()


async def test_a_call_without_a_connection_is_reported_as_connect_failed(server: PeerServer) -> None:
    calls = RecordedCalls(server, LONG_TIMEOUT)
    calls.add("a")
    assert calls.answers == [("a", Outcome.CONNECT_FAILED, 0.0)]


async def test_a_malformed_answer_ends_only_the_calls_on_its_connection(
    server: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(counter_module, "MAX_CONNECTIONS", 2)
    calls = RecordedCalls(server, LONG_TIMEOUT)
    await calls.connect()
    calls.add("a", name=1)
    calls.add("b", name=2)
    calls.add("c", name=3)
    calls.add("c again", name=3)  # on the same connection, to keep the order
    await received_adds(server, 4)
    first, other = sorted(server.peers, key=lambda p: b"add 0000000000000001 " not in p.data)
    assert first.data.count(b"add") == 3 and other.data.count(b"add") == 1
    first.transport.write(b"ok {}\r\n")
    assert await calls.answered(2) == [("c", Outcome.RESET, 0.0), ("c again", Outcome.RESET, 0.0)]
    await server.wait_until(lambda: b"add 0000000000000001 0.000000 4000" in other.data)  # reads the total
    other.transport.write(b"ok 4\r\nok 1\r\n")
    assert (await calls.answered(4))[2:] == [("b", Outcome.OK, 4.0), ("a", Outcome.OK, 1.0)]
    await server.wait_until(lambda: len(server.peers) == 3)
    calls.counter.stop()


async def test_an_answer_after_the_configured_timeout_but_within_its_multiple_is_used(
    server: PeerServer,
) -> None:
    calls = RecordedCalls(server, 200_000)
    await calls.connect()
    loop = asyncio.get_running_loop()
    server.on_data = lambda peer: loop.call_later(0.3, peer.transport.write, b"ok 5\r\n") and None
    calls.add("late")
    assert await calls.answered(1) == [("late", Outcome.OK, 5.0)]
    calls.counter.stop()


async def test_calls_avoid_a_connection_with_an_overdue_call(
    server: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(counter_module, "MAX_CONNECTIONS", 2)
    calls = RecordedCalls(server, SHORT_TIMEOUT)
    await calls.connect()
    calls.add("stuck", name=1)
    await calls.answered(1)
    (stuck,) = [p for p in server.peers if b"add" in p.data]
    for name in range(2, 6):
        calls.add("other", name=name)
    await received_adds(server, 5)
    assert stuck.data.count(b"add") == 1
    calls.counter.stop()


async def test_a_connection_that_stalls_while_others_are_answered_is_replaced(
    server: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(counter_module, "MAX_CONNECTIONS", 2)
    calls = RecordedCalls(server, SHORT_TIMEOUT)
    await calls.connect()
    calls.add("stuck", name=1)
    await received_adds(server, 1)
    (stuck,) = [p for p in server.peers if b"add" in p.data]
    server.on_data = lambda peer: None if peer is stuck else peer.transport.write(b"ok 5\r\n")
    calls.add("later", name=2)
    assert await calls.answered(2) == [("later", Outcome.OK, 5.0), ("stuck", Outcome.RESET, 0.0)]
    await server.wait_until(lambda: stuck in server.closed and len(server.peers) == 3)
    calls.counter.stop()


async def test_a_draining_client_waits_for_its_pending_calls(server: PeerServer) -> None:
    calls = RecordedCalls(server, LONG_TIMEOUT)
    await calls.connect()
    calls.add("a")
    await received_adds(server, 1)
    drain = asyncio.create_task(calls.counter.drain())
    await asyncio.sleep(0)
    assert not drain.done()
    server.peers[0].transport.write(b"ok 2\r\n")
    assert await calls.answered(1) == [("a", Outcome.OK, 2.0)]
    await drain
    await server.wait_until(lambda: len(server.closed) == 1)
    assert len(server.peers) == 1


async def test_an_idle_connection_is_pinged_and_an_unresponsive_one_aborted(
    server: PeerServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(connection_module, "PING_INTERVAL", 0.01)
    monkeypatch.setattr(connection_module, "DEAD_CONNECTION_TIMEOUT", 0.05)
    calls = RecordedCalls(server, LONG_TIMEOUT)
    await calls.connect()
    await server.wait_until(lambda: bool(server.peers) and b"ping\r\n" in server.peers[0].data)
    await server.wait_until(lambda: len(server.peers) == 2)
    calls.counter.stop()


async def test_an_ingress_of_a_large_fleet_opens_fewer_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(counter_module, "MAX_CONNECTIONS", 3)
    assert [CounterClient((HOST, 1), LONG_TIMEOUT, size)._connection_count for size in (4, 8, 12, 48)] == [
        3,
        3,
        2,
        2,
    ]
