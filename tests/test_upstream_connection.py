"""Attempts over loopback sockets: the outcomes that the protocol page defines, aborts, health checks."""

from __future__ import annotations

import asyncio
import socket

import pytest

from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.policy.events import Outcome
from tests.net_helpers import HOST, respond_with
from tests.support.upstream import PooledBackend


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", Outcome.OK),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", Outcome.OK),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi", Outcome.OK),
        (b"HTTP/1.1 500 Oh\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"HTTP/1.1 503 Oh\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED),
        (b"HTTP/1.1 504 Oh\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n", Outcome.REJECTED),
        (b"HTTP/1.1 503 Oh\r\nContent-Length: 0\r\n\r\n", Outcome.ERROR),
        (b"garbage\r\n\r\n", Outcome.ERROR),
    ],
)
async def test_outcomes_of_responses(pooled: PooledBackend, reply: bytes, outcome: Outcome) -> None:
    pooled.server.on_data = respond_with(reply)
    assert await pooled.outcome() is outcome


@pytest.mark.parametrize(
    ("reply", "outcome"),
    [
        (b"", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhal", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\n\r\nall there is", Outcome.OK),
    ],
)
async def test_outcomes_of_a_connection_that_ends(
    pooled: PooledBackend, reply: bytes, outcome: Outcome
) -> None:
    def respond_and_close(peer: object) -> None:
        pooled.server.peers[0].transport.write(reply)
        pooled.server.peers[0].transport.close()

    pooled.server.on_data = respond_and_close
    assert await pooled.outcome() is outcome


async def test_a_refused_connection_ends_as_connect_failed(pooled: PooledBackend) -> None:
    with socket.create_server((HOST, 0)) as closed_server:
        port = closed_server.getsockname()[1]
    pooled.register(port=port)
    assert await pooled.outcome() is Outcome.CONNECT_FAILED
    assert pooled.sockets.in_use == 0


async def test_a_connect_timeout_ends_as_connect_failed(pooled: PooledBackend) -> None:
    with socket.socket() as listener:  # with a full accept queue, so that further connections hang
        listener.bind((HOST, 0))
        listener.listen(0)
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
        pooled.register(port=listener.getsockname()[1])
        assert await pooled.outcome() is Outcome.CONNECT_FAILED
        for filler in fillers:
            filler.close()
    assert pooled.sockets.in_use == 0


async def test_running_out_of_descriptors_ends_as_connect_failed(
    pooled: PooledBackend, monkeypatch: pytest.MonkeyPatch
) -> None:
    def raise_emfile(*_: object) -> None:
        raise OSError(24, "Too many open files")

    monkeypatch.setattr("quota_ingress.net.upstream.pool.socket.socket", raise_emfile)
    assert await pooled.outcome() is Outcome.CONNECT_FAILED
    assert pooled.sockets.in_use == 0


async def test_aborting_closes_the_connection_before_anything_else_is_sent(pooled: PooledBackend) -> None:
    received: list[int] = []
    pooled.server.on_data = lambda peer: received.append(len(pooled.server.peers))
    pooled.send()
    await pooled.server.wait_until(lambda: len(received) == 1)
    (connection,) = pooled.backends._pools[1].busy
    assert pooled.exchange.abort() is True
    with pytest.raises(BrokenPipeError):  # `abort` shuts the socket down before it returns
        connection.sock.send(b"x")
    await pooled.server.wait_until(lambda: len(pooled.server.closed) == 1)
    assert pooled.sockets.in_use == 0


async def test_an_attempt_aborted_while_connecting_has_not_run(pooled: PooledBackend) -> None:
    pooled.send()
    assert pooled.exchange.abort() is False


async def test_health_checks_are_answered_or_time_out(pooled: PooledBackend) -> None:
    done: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    pooled.backends.probe(1, done.set_result)
    assert (await done).outcome is Outcome.OK
    pooled.server.on_data = lambda peer: None
    unanswered: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
    pooled.backends.probe(1, unanswered.set_result)
    assert (await unanswered).outcome is Outcome.TIMEOUT


async def test_a_response_too_long_to_buffer_fails_at_its_head(pooled: PooledBackend) -> None:
    pooled.server.on_data = respond_with(b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")
    assert await pooled.outcome() is Outcome.ERROR  # before any byte of the body


@pytest.mark.parametrize(
    "head",
    [
        b"Content-Length: 4\r\nContent-Length: 9",
        b"Content-Length: 4\r\nTransfer-Encoding: chunked",
        b"Content-Length: -1",
        b"no colon here",
        b"Transfer-Encoding: chunked\r\nContent-Length: 4",
    ],
)
async def test_a_malformed_response_head_ends_as_error(pooled: PooledBackend, head: bytes) -> None:
    pooled.server.on_data = respond_with(b"HTTP/1.1 200 OK\r\n%b\r\n\r\nwarm" % head)
    assert await pooled.outcome() is Outcome.ERROR  # may have run; RESET would mean that it is down
