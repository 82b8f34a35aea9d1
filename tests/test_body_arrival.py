"""When the last byte of a streamed request body may have arrived, while it may be unread."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from typing import Any, cast

import pytest

from quota_ingress.net.downstream.body_arrival import BLOCKED_BYTES, BodyArrival
from quota_ingress.net.http import Body, MemoryBudget


class UnreadSocket:
    """The transport of a connection from which nothing is read unless the test does."""

    def __init__(self) -> None:
        self.peer, self.sock = socket.socketpair()

    def get_extra_info(self, name: str) -> Any:
        return self.sock


@pytest.fixture
def unread() -> Iterator[UnreadSocket]:
    unread = UnreadSocket()
    yield unread
    unread.peer.close()
    unread.sock.close()


def check(arrival: BodyArrival, unread: UnreadSocket, now: int, paused: bool = True) -> int | None:
    return arrival.check(cast(asyncio.Transport, unread), now, paused)


def body_of(declared_length: int | None) -> Body:
    body = Body(MemoryBudget())
    body.declared_length = declared_length
    body.append(b"received")
    return body


def test_the_rest_of_a_body_may_have_arrived_right_after_the_last_check_without_it(
    unread: UnreadSocket,
) -> None:
    arrival = BodyArrival(body_of(12), 500)
    unread.peer.send(b"unr")
    assert check(arrival, unread, 1000) is None
    assert check(arrival, unread, 2000) is None
    unread.peer.send(b"e")
    assert check(arrival, unread, 3000) == 2000
    unread.peer.send(b"the next request")
    assert check(arrival, unread, 4000) == 2000


def test_bytes_that_come_while_reading_is_not_paused_have_just_arrived(unread: UnreadSocket) -> None:
    arrival = BodyArrival(body_of(12), 500)
    unread.peer.send(b"rest")
    assert check(arrival, unread, 1000, paused=False) == 1000
    arrival.add_read(len(unread.sock.recv(4)))
    assert check(arrival, unread, 2000, paused=False) is None and arrival.arrived_at == 1000


def test_without_a_length_any_unread_byte_may_be_the_last(unread: UnreadSocket) -> None:
    arrival = BodyArrival(body_of(None), 500)
    assert check(arrival, unread, 1000) is None
    unread.peer.send(b"4\r\nrest\r\n")
    assert check(arrival, unread, 2000) == 1000
    unread.peer.send(b"0\r\n\r\n")
    assert check(arrival, unread, 3000) == 2000
    arrival.add_read(len(unread.sock.recv(100)))
    assert check(arrival, unread, 4000) is None


def test_behind_a_full_receive_buffer_the_rest_may_wait_at_the_client(unread: UnreadSocket) -> None:
    body = body_of(10 * BLOCKED_BYTES)
    arrival = BodyArrival(body, 500)
    unread.peer.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * BLOCKED_BYTES)
    unread.peer.send(bytes(BLOCKED_BYTES - 1))
    assert check(arrival, unread, 1000) is None
    unread.peer.send(b"q")
    assert check(arrival, unread, 2000) == 1000
    assert check(arrival, unread, 3000) == 1000
    body.discard(4)  # the backend has accepted more, so it may still serve the request
    assert check(arrival, unread, 4000) == 4000
