"""When the client may have written the last byte of a streamed request body, while it may be unread."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from typing import Any, cast

import pytest

from quota_ingress.net.downstream.body_arrival import (
    BLOCKED_BYTES,
    CLIENT_BUFFER_BYTES,
    SETTLE_US,
    BodyArrival,
)
from quota_ingress.net.http import Body, MemoryBudget
from quota_ingress.net.socket_state import unread_bytes


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
    assert check(arrival, unread, 2000, paused=False) is None and arrival.written_at == 1000


def test_without_a_length_any_unread_byte_may_be_the_last(unread: UnreadSocket) -> None:
    arrival = BodyArrival(body_of(None), 500)
    assert check(arrival, unread, 1000) is None
    unread.peer.send(b"4\r\nrest\r\n")
    assert check(arrival, unread, 2000) == 1000
    unread.peer.send(b"0\r\n\r\n")
    assert check(arrival, unread, 3000) == 2000
    arrival.add_read(len(unread.sock.recv(100)))
    assert check(arrival, unread, 4000) is None


def fill(unread: UnreadSocket, size: int = BLOCKED_BYTES) -> None:
    for sock in (unread.peer, unread.sock):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 8 * BLOCKED_BYTES)
    unread.peer.send(bytes(size))


def read(arrival: BodyArrival, unread: UnreadSocket, size: int) -> None:
    arrival.add_read(len(unread.sock.recv(size)))


def test_behind_a_full_receive_buffer_the_rest_may_have_been_written(unread: UnreadSocket) -> None:
    arrival = BodyArrival(body_of(10 * BLOCKED_BYTES), 500)
    fill(unread, BLOCKED_BYTES - 1)
    assert check(arrival, unread, 1000) is None
    unread.peer.send(b"q")
    assert check(arrival, unread, 2000) == 1000


def test_a_backend_that_accepts_more_changes_nothing_about_when_the_client_has_written_it(
    unread: UnreadSocket,
) -> None:
    """Guards against an answer 7 s after its time: each part that the backend took moved the deadline."""
    arrival = BodyArrival(body_of(10 * BLOCKED_BYTES), 500)
    for now in range(1000, 4 * SETTLE_US, SETTLE_US // 2):
        fill(unread)
        assert check(arrival, unread, now) == 500
        read(arrival, unread, BLOCKED_BYTES // 2)
    while unread_bytes(cast(asyncio.Transport, unread)):
        read(arrival, unread, BLOCKED_BYTES)
    assert check(arrival, unread, now) == arrival.written_at == 500


def test_a_client_that_writes_more_slowly_than_the_backend_reads_holds_nothing_back(
    unread: UnreadSocket,
) -> None:
    arrival = BodyArrival(body_of(10 * BLOCKED_BYTES), 500)
    fill(unread)
    assert check(arrival, unread, 1000) == 500
    read(arrival, unread, BLOCKED_BYTES)
    assert check(arrival, unread, 1000 + SETTLE_US - 1) == 500  # more may still be on its way
    assert check(arrival, unread, 1000 + SETTLE_US) is None
    unread.peer.send(b"more")
    assert check(arrival, unread, 2 * SETTLE_US, paused=False) is None
    assert arrival.written_at == 2 * SETTLE_US
    fill(unread)
    assert check(arrival, unread, 3 * SETTLE_US) == 2 * SETTLE_US


@pytest.mark.parametrize("length", [CLIENT_BUFFER_BYTES + 2 * BLOCKED_BYTES, None])
def test_a_client_holds_back_no_more_than_its_buffer(unread: UnreadSocket, length: int | None) -> None:
    """Guards against a deadline for a body whose last byte can't have been written yet."""
    body = body_of(length)
    if length is not None:
        body.declared_length = length + body.received
    arrival = BodyArrival(body, 500)
    fill(unread)
    assert check(arrival, unread, 1000) == (None if length else 500)
    read(arrival, unread, BLOCKED_BYTES)
    fill(unread)
    assert check(arrival, unread, 2000) == (1000 if length else 500)
    read(arrival, unread, BLOCKED_BYTES)
    for _ in range(CLIENT_BUFFER_BYTES // BLOCKED_BYTES):  # as much as its buffer holds
        fill(unread)
        assert check(arrival, unread, 3000) == (1000 if length else arrival.written_at)
        read(arrival, unread, BLOCKED_BYTES)
    assert arrival.written_at == 1000
