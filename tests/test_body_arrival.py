"""When the last byte of a request body arrived, while it is unread in the socket."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator
from typing import Any, cast

import pytest

from quota_ingress.net.downstream.body_arrival import BodyArrival
from quota_ingress.net.http import Body, MemoryBudget


class UnreadSocket:
    """The transport of a connection from which nothing is read."""

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


def check(arrival: BodyArrival, unread: UnreadSocket, now: int) -> int | None:
    return arrival.check(cast(asyncio.Transport, unread), now)


def body_of(declared_length: int | None) -> Body:
    body = Body(MemoryBudget())
    body.declared_length = declared_length
    body.append(b"received")
    return body


def test_a_last_byte_may_have_arrived_since_it_was_last_missing(unread: UnreadSocket) -> None:
    arrival = BodyArrival(body_of(12))
    unread.peer.send(b"unr")
    assert check(arrival, unread, 1000) is None
    assert check(arrival, unread, 2000) is None
    unread.peer.send(b"ead and the next request")
    assert check(arrival, unread, 3000) == 2000
    assert arrival.latest(500) == 2000 and arrival.latest(2500) == 2500


def test_a_body_that_is_all_there_at_the_first_check_has_just_arrived(unread: UnreadSocket) -> None:
    unread.peer.send(b"rest")
    assert check(BodyArrival(body_of(12)), unread, 1000) == 1000


@pytest.mark.parametrize(
    ("data", "has_arrived"),
    [
        (b"", False),
        (b"4\r\nrest\r\n", False),
        (b"6\r\nline\r\n\r\n", False),
        (b"4\r\nrest\r\n0\r\n", False),
        (b"10\r\n\r\n", False),
        (b"4\r\nrest\r\n0\r\n\r\n", True),
        (b"4\r\nrest\r\n000;last\r\nTrailer-Field: x\r\n\r\n", True),
        (b"0\r\n\r\n", True),
        (b"\n", True),
    ],
)
def test_a_chunked_body_has_arrived_once_its_end_is_unread(
    unread: UnreadSocket, data: bytes, has_arrived: bool
) -> None:
    unread.peer.send(data)
    assert (check(BodyArrival(body_of(None)), unread, 1000) is not None) is has_arrived
