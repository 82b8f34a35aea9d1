"""The pool of connections to a backend: reuse, limits, and closing of idle connections."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.upstream.client import UpstreamClient
from quota_ingress.net.upstream.pool import ConnectionPool
from quota_ingress.policy.events import Outcome
from tests.net_helpers import (
    OK,
    Ingress,
    Peer,
    PeerServer,
    entry,
    received_request_ids,
    request,
    respond_with,
)
from tests.support.upstream import REQUEST, PooledBackend


async def test_connections_are_reused_for_one_request_at_a_time(
    pooled: PooledBackend, no_reuse_delay: None
) -> None:
    assert [await pooled.outcome() for _ in range(3)] == [Outcome.OK] * 3
    assert len(pooled.server.peers) == 1
    responses = pooled.send(), pooled.send()
    assert [(await response).outcome for response in responses] == [Outcome.OK] * 2
    assert len(pooled.server.peers) == 2 and pooled.sockets.in_use == 2


async def test_no_request_is_sent_on_a_connection_that_the_backend_has_closed(pooled: PooledBackend) -> None:
    """The socket is checked at reuse, as it may hold a close that the event loop has not read yet."""
    assert await pooled.outcome() is Outcome.OK
    (connection,) = pooled.backends._pools[1].idle
    pooled.server.peers[0].transport.close()
    while connection.is_alive():  # time for the close to reach the socket
        pooled.server.peers[0].transport.get_extra_info("socket")
        await asyncio.sleep(0)
    assert await pooled.outcome() is Outcome.OK
    assert len(pooled.server.peers) == 2


async def test_an_update_withdraws_only_from_the_pools_that_it_changes(
    pooled: PooledBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    withdrawn: list[str] = []
    monkeypatch.setattr(ConnectionPool, "withdraw", lambda pool: withdrawn.append(pool.name))
    for number in range(2, 30):
        pooled.backends.register_endpoint(entry(f"s-{number}", 1, "draining"), number)
    pooled.backends.register_endpoint(entry("s-2", 1, "up"), 2)
    pooled.backends.register_endpoint(entry("s-3", 1, "draining"), 3)
    pooled.backends.reconcile([29])
    assert withdrawn == ["s-29", "s-3"]
    pooled.backends.reconcile([])
    assert withdrawn == ["s-29", "s-3"]


async def test_idle_connections_are_closed_before_the_backend_does() -> None:
    server = await PeerServer(respond_with(OK)).start()
    pooled = PooledBackend(server, idle_us=0)
    assert await pooled.outcome() is Outcome.OK
    assert await pooled.outcome() is Outcome.OK
    assert len(server.peers) == 2
    await server.wait_until(lambda: len(server.closed) == 2)
    assert pooled.sockets.in_use == 0
    pooled.backends.stop()
    server.stop()


async def test_draining_withdraws_unwritten_attempts_and_closes_idle_connections(
    pooled: PooledBackend, no_reuse_delay: None
) -> None:
    assert await pooled.outcome() is Outcome.OK
    pooled.server.on_data = lambda peer: None
    written, unwritten = pooled.send(), pooled.send()
    await pooled.server.wait_until(lambda: b"\r\n\r\n" in pooled.server.peers[0].data)
    third = pooled.send()
    pooled.register(status="draining")
    assert third.done() and third.result().outcome is Outcome.CONNECT_FAILED
    assert (await pooled.send()).outcome is Outcome.CONNECT_FAILED
    for peer in pooled.server.peers:
        peer.transport.write(OK)
    assert (await written).outcome is Outcome.OK  # a draining backend finishes its open requests
    assert (await unwritten).outcome in (Outcome.OK, Outcome.CONNECT_FAILED)
    await pooled.server.wait_until(lambda: len(pooled.server.closed) == len(pooled.server.peers))


async def test_a_backend_may_change_its_address(pooled: PooledBackend) -> None:
    assert await pooled.outcome() is Outcome.OK
    other = await PeerServer(respond_with(OK)).start()
    pooled.register(port=other.port)
    await pooled.server.wait_until(lambda: len(pooled.server.closed) == 1)
    assert await pooled.outcome() is Outcome.OK
    assert len(other.peers) == 1 and len(pooled.server.peers) == 1
    other.stop()


async def test_a_connection_with_unsolicited_data_is_not_reused(pooled: PooledBackend) -> None:
    """The start of a second response after the first would corrupt the response to the next request."""
    pooled.server.on_data = respond_with(OK + b"HTTP/1.1 2")
    assert await pooled.outcome() is Outcome.OK
    pooled.server.on_data = respond_with(OK)
    assert await pooled.outcome() is Outcome.OK
    assert len(pooled.server.peers) == 2


async def test_a_duplicate_response_is_not_taken_for_that_of_the_next_request(pooled: PooledBackend) -> None:
    """Guards against returning a connection to the pool while its last read holds a duplicate response.

    The next request was sent on that connection and got the duplicate.
    """
    pooled.server.on_data = respond_with(OK + OK)
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()

    def send_next(answer: AttemptResult) -> None:
        pooled.server.on_data = respond_with(OK.replace(b"warm", b"mine"))
        pooled.backends.send(1, REQUEST, done.set_result)

    pooled.backends.send(1, REQUEST, send_next)
    async with asyncio.timeout(10):
        assert (await done).body == b"mine"
    assert len(pooled.server.peers) == 2


async def test_connections_never_exceed_the_descriptor_share(pooled: PooledBackend) -> None:
    pooled.sockets.limit = 2
    pooled.server.on_data = lambda peer: None
    unanswered = [pooled.send() for _ in range(2)]
    assert (await pooled.send()).outcome is Outcome.CONNECT_FAILED
    assert not any(attempt.done() for attempt in unanswered)


async def test_where_reused_connections_often_fail_a_non_idempotent_request_gets_a_new_one(
    pooled: PooledBackend, no_reuse_delay: None
) -> None:
    """After a reset at the next request, only an idempotent request can be sent again."""
    pooled.server.on_data = respond_once
    outcomes = [await pooled.outcome() for _ in range(6)]
    assert outcomes == [Outcome.OK, Outcome.RESET] * 3  # idempotent requests still reuse connections
    for _ in range(4):
        done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
        pooled.backends.send(1, REQUEST, done.set_result, non_idempotent=True)
        async with asyncio.timeout(10):
            assert (await done).outcome is Outcome.OK
    assert len(pooled.backends._pools[1].idle) == 4


def respond_once(peer: Peer) -> None:
    """Responds to the first request on a connection and resets the connection at the second."""
    if peer.data.count(b"\r\n\r\n") == 1:
        peer.transport.write(OK)
    else:
        peer.transport.abort()


@pytest.mark.parametrize(("size", "max_idle"), [(4, 3), (48, 1)])
async def test_a_large_fleet_keeps_fewer_idle_connections_to_a_backend(size: int, max_idle: int) -> None:
    backend = await PeerServer(respond_with(OK)).start()
    backends = UpstreamClient(DescriptorBudget(1024).backends, 10_000_000, 250_000, fleet_size=size)
    backends.register_endpoint(entry("s-1", backend.port), 1)
    results: list[asyncio.Future[AttemptResult]] = []
    for _ in range(3):
        results.append(asyncio.get_running_loop().create_future())
        backends.send(1, b"GET /read HTTP/1.1\r\nHost: a\r\n\r\n", results[-1].set_result)
    assert [(await result).outcome for result in results] == [Outcome.OK] * 3
    assert len(backends._pools[1].idle) == max_idle
    backends.stop()
    backend.stop()


async def test_a_duplicate_response_in_pieces_does_not_answer_the_next_request(
    pooled: PooledBackend, no_reuse_delay: None
) -> None:
    """Guards against serving a client the body of another client's request.

    The first piece was read while the connection was idle, and the rest completed the response to the next
    request.
    """
    assert await pooled.outcome() is Outcome.OK
    first_peer = pooled.server.peers[0]
    (connection,) = pooled.backends._pools[1].idle
    first_peer.transport.write(DUPLICATE[:10])
    async with asyncio.timeout(10):
        while not (connection.reader.in_message or connection.closed):
            await asyncio.sleep(0)
    pooled.server.on_data = lambda peer: peer.transport.write(DUPLICATE[10:] if peer is first_peer else OK)
    async with asyncio.timeout(10):
        assert (await pooled.send()).body == b"warm"
    assert connection.closed and len(pooled.server.peers) == 2


DUPLICATE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ncopy"


async def test_a_late_duplicate_response_is_not_taken_for_that_of_the_next_request(
    ingress: Ingress, backend: PeerServer
) -> None:
    """The duplicate may follow the next request, so a connection is not reused until after a delay."""
    first = asyncio.create_task(ingress.fetch(request("r0")))
    await backend.wait_until(lambda: received_request_ids(backend) == [b"r0"])
    backend.peers[0].transport.write(OK)
    assert (await first).endswith(b"warm")
    second = asyncio.create_task(ingress.fetch(request("r1")))
    await backend.wait_until(lambda: b"r1" in received_request_ids(backend))
    backend.peers[0].transport.write(DUPLICATE)
    await backend.wait_until(lambda: backend.peers[0] in backend.closed)  # no request fails
    backend.peers[-1].transport.write(OK)
    assert (await second).endswith(b"warm")


async def test_a_connection_is_reused_after_the_reuse_delay(ingress: Ingress, backend: PeerServer) -> None:
    backend.on_data = respond_with(OK)
    assert (await ingress.fetch(request("r0"))).endswith(b"warm")
    (pool,) = ingress.backends._pools.values()
    pool.now = lambda: asyncio.get_running_loop().time() + 1.0
    assert (await ingress.fetch(request("r1"))).endswith(b"warm")
    assert len(backend.peers) == 1
