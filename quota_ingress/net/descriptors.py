"""Counts the ingress's descriptors, a share for each side, and makes room before they run out."""

from __future__ import annotations

import asyncio
import fcntl
import select
import socket
import struct
import termios
from collections.abc import Callable

BASE = 30  # descriptors that are not counted below: standard streams, the loop's own, the listener, discovery
# and the counter, twice while one replaces the other
ADMIN_DESCRIPTORS = (
    12  # descriptors for operators' calls, kept apart: a call is answered however crowded the rest is
)
USED = 0.92  # of the rest is dealt out: a closed one is free only when the loop has come round
CLIENTS = 0.52  # of that: a third of the limit is for requests, the rest may stand idle
SPARE = 0.04  # of the limit: clients are let in past their share, to be told no; then they wait in line

LAST_DATA_AT = 52  # bytes into tcp_info(7): tcpi_last_data_recv


class DescriptorShare:
    """The connections to one side: clients cannot crowd out the backends, nor the other way round."""

    def __init__(self, most: int, evict: Callable[[], bool] = lambda: False) -> None:
        self.limit, self.in_use = most, 0
        self.evict = evict  # closes one that is of no use now, or returns False where there is none
        self.on_freed: Callable[[], None] = lambda: None  # called when one has been closed

    def acquire(self) -> None:
        """One has been opened."""
        self.in_use += 1

    def release(self) -> None:
        """One has been closed."""
        self.in_use -= 1
        self.on_freed()

    def has_capacity(self) -> bool:
        """True if one more may be opened, if need be for another that is closed."""
        return self.in_use < self.limit or self.evict()


class DescriptorBudget:
    """The descriptors of the process, dealt out to the sides."""

    def __init__(self, limit: int, callers: int = 0) -> None:
        """`callers`: descriptors held back for operators' calls."""
        self._limit, self._callers = limit, callers
        self.clients, self.backends, self.client_hard_limit = DescriptorShare(0), DescriptorShare(0), 0
        self.allocate(limit)

    def set_shared(self, halved: bool) -> None:
        """Another process of the same ingress holds descriptors under the same limit, or no longer does."""
        self.allocate(self._limit // 2 if halved else self._limit)

    def allocate(self, limit: int) -> None:
        """Deals out so many anew, and closes what is over."""
        most = max(2, int((limit - BASE - self._callers) * USED))
        self.clients.limit = max(1, int(most * CLIENTS))
        self.backends.limit = max(1, most - self.clients.limit)
        self.client_hard_limit = self.clients.limit + max(1, int(limit * SPARE))
        for share in (self.clients, self.backends):
            for _ in range(share.in_use - share.limit):
                if not share.evict():
                    break


def unread(transport: asyncio.Transport) -> int:
    """Bytes that have come and that the loop has not read yet."""
    return _asked(transport, termios.FIONREAD)


def unsent(transport: asyncio.Transport) -> int:
    """Bytes that the kernel holds until the other machine has taken them."""
    return _asked(transport, termios.TIOCOUTQ)


def quiet_for(transport: asyncio.Transport) -> int | None:
    """Microseconds since the last data came, by the kernel's own count in milliseconds (`tcp_info` of Linux);
    None where it does not tell.
    """
    try:
        sock = transport.get_extra_info("socket")
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_AT + 4)
        return 1000 * int(struct.unpack_from("I", told, LAST_DATA_AT)[0])
    except (OSError, struct.error):
        return None


def left(transport: asyncio.Transport) -> bool:
    """The other side has ended the connection or its sending, however much of it is still unread."""
    look = select.poll()
    look.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(look.poll(0))


def _asked(transport: asyncio.Transport, what: int) -> int:
    descriptor = transport.get_extra_info("socket").fileno()
    return int.from_bytes(fcntl.ioctl(descriptor, what, bytes(4)), "little")
