"""Accepts connections from a listening socket, whatever accept(2) returns.

| errno | what it means | what is done |
| --- | --- | --- |
| EAGAIN | nobody waits | the next readiness is awaited |
| EINTR | a signal came | Python calls again by itself (PEP 475) |
| ECONNABORTED, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, \
ETIMEDOUT, EPERM | that one connection has failed before it was taken | the next one is taken |
| EMFILE, ENFILE, ENOBUFS, ENOMEM | descriptors or memory are short | what waits stays in the queue, and a \
try follows after RETRY_AFTER |
| any other | the socket itself is unsound | logged, and a try follows after RETRY_AFTER |

The loop's own server closes what waits when descriptors are short, requests and all; this one never closes a
connection that it has not handed to a protocol.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import socket
from collections.abc import Callable
from enum import Enum, auto

BATCH = 32  # connections taken in one turn of the loop, so that those that are open get theirs
RETRY_AFTER = 0.02  # s until the next try where descriptors or memory are short
LISTEN_WITHIN = 10.0  # s in which a start tries to listen, where these are short
BACKLOG = 4096  # connections that wait in the queue: past it a crowd would be turned away unheard
CONNECTION_FAILED = frozenset(
    {
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.EPERM,
    }
)
SHORTAGE = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

log = logging.getLogger(__name__)


async def listening_socket(host: str, port: int, inherited: int | None = None) -> socket.socket:
    """Returns a socket that is bound and listening, or a copy of the descriptor that is inherited.

    Raises:
        OSError: There is none to be had, in LISTEN_WITHIN where only descriptors or memory are short.
    """
    loop = asyncio.get_running_loop()
    end = loop.time() + LISTEN_WITHIN
    while True:
        try:
            if inherited is not None:
                return socket.socket(fileno=os.dup(inherited))
            return socket.create_server((host, port), backlog=BACKLOG)
        except OSError as error:
            if error.errno not in SHORTAGE or loop.time() > end:
                raise
            await asyncio.sleep(RETRY_AFTER)


class Queue(Enum):
    """What is known of the connections that wait, after some have been taken."""

    EMPTY = auto()
    MORE = auto()
    SHORT = auto()  # of descriptors or memory
    CLOSED = auto()  # no further one is wanted


class Acceptor:
    """Accepts connections as long as they are wanted.

    `made` is called for each connection with the moment (s of the loop's clock) since when it may have
    waited for this process to accept again, or None; `wanted` tells whether one more may be taken.
    """

    def __init__(
        self,
        listening: socket.socket,
        made: Callable[[float | None], asyncio.BaseProtocol],
        wanted: Callable[[int], bool] = lambda opening: True,
        queued_before: bool = False,
    ) -> None:
        """Listens on `listening`.

        `wanted` is given the number of connections that are taken and have no protocol yet;
        `queued_before`: the socket has been listening, and some may have waited for any time.
        """
        listening.setblocking(False)
        listening.listen(BACKLOG)
        self._socket, self._made, self._wanted = listening, made, wanted
        self._loop = asyncio.get_running_loop()
        self._reading = False
        self._full = False  # reading stopped as no further connection was wanted
        self._paused_at = 0.0 if queued_before else None  # until the queue has been found empty once
        self._retry: asyncio.TimerHandle | None = None
        self._opening: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Accepts from now on, until `pause`. Has no effect where it does already."""
        if not self._reading and self._socket.fileno() >= 0:
            self._reading = True
            self._loop.add_reader(self._socket.fileno(), self._ready)

    def pause(self) -> None:
        """What comes from now on waits in the queue."""
        self._cancel_retry()
        self._full = False
        self._stop_reading()

    def close(self) -> None:
        """Takes no more, and gives the socket back."""
        self.pause()
        self._socket.close()

    async def drain_queue(self, until: float, turn: float) -> None:
        """Takes all that wait, and returns once each has its protocol.

        Where no more are wanted it waits, a `turn` (s) at a time, until that moment of the loop's clock
        at the longest.
        """
        self.pause()
        while self._loop.time() < until:
            found = self._take_batch()
            if found is Queue.EMPTY:
                break
            await asyncio.sleep(0 if found is Queue.MORE else turn)
        while self._opening:
            await asyncio.wait(self._opening)

    def _ready(self) -> None:
        found = self._take_batch()
        if found in (Queue.SHORT, Queue.CLOSED):
            self._stop_reading()
        self._full = found is Queue.CLOSED
        if found is Queue.SHORT:
            self._cancel_retry()
            self._retry = self._loop.call_later(RETRY_AFTER, self.start)

    def _stop_reading(self) -> None:
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self._socket.fileno())
        if self._paused_at is None:
            self._paused_at = self._loop.time()

    def _cancel_retry(self) -> None:
        if self._retry:
            self._retry.cancel()
            self._retry = None

    def _take_batch(self) -> Queue:
        for _ in range(BATCH):
            if not self._wanted(len(self._opening)):
                return Queue.CLOSED
            try:
                taken, _ = self._socket.accept()
            except BlockingIOError:
                self._paused_at = None
                return Queue.EMPTY
            except OSError as error:
                if error.errno in CONNECTION_FAILED:
                    continue
                if error.errno not in SHORTAGE:
                    log.error("accept: %s", error)
                return Queue.SHORT
            self._open(taken)
        return Queue.MORE

    def _open(self, taken: socket.socket) -> None:
        task = self._loop.create_task(self._connect(taken, self._paused_at))
        self._opening.add(task)
        task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task[None]) -> None:
        """Until now it counted as one that is being opened, beside its protocol's own count."""
        self._opening.discard(task)
        if self._full:
            self.start()

    async def _connect(self, taken: socket.socket, waited_since: float | None) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._made(waited_since), taken)
        except OSError as error:  # it has ended before its protocol could be told
            log.info("accept: %s", error)
            taken.close()
