"""Accepts connections from a listening socket, whatever accept(2) returns.

| errno | meaning | reaction |
| --- | --- | --- |
| EAGAIN | the queue is empty | the next readiness is awaited |
| EINTR | a signal came | Python calls again by itself (PEP 475) |
| ECONNABORTED, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, \
ETIMEDOUT, EPERM | that one connection failed before it was accepted | the next one is accepted |
| EMFILE, ENFILE, ENOBUFS, ENOMEM | descriptors or memory are short | what waits stays in the queue, and the \
next attempt follows after RETRY_DELAY_S |
| any other | the socket itself is broken | logged, and the next attempt follows after RETRY_DELAY_S |

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

MAX_ACCEPTS_PER_TURN = 32  # of the loop, so that open connections get their turn
RETRY_DELAY_S = 0.02  # until the next attempt where descriptors or memory are short
LISTEN_TIMEOUT_S = 10.0  # in which a start attempts to listen, where these are short
BACKLOG = 4096  # connections that wait in the queue: past it the kernel turns them away
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
        OSError: There is none to be had; within LISTEN_TIMEOUT_S if only descriptors or memory are short.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + LISTEN_TIMEOUT_S
    while True:
        try:
            if inherited is not None:
                return socket.socket(fileno=os.dup(inherited))
            return socket.create_server((host, port), backlog=BACKLOG)
        except OSError as error:
            if error.errno not in SHORTAGE or loop.time() > deadline:
                raise
            await asyncio.sleep(RETRY_DELAY_S)


class QueueState(Enum):
    """What is known of the accept queue after a batch."""

    EMPTY = auto()
    MORE = auto()
    SHORTAGE = auto()  # of descriptors or memory
    NO_CAPACITY = auto()  # no further connection may be accepted


class Acceptor:
    """Accepts connections for as long as there is capacity for them."""

    def __init__(
        self,
        listening: socket.socket,
        make_protocol: Callable[[float | None], asyncio.BaseProtocol],
        has_capacity: Callable[[int], bool] = lambda opening: True,
        queued_before: bool = False,
    ) -> None:
        """Listens on `listening`, and accepts nothing until `start`.

        Args:
            listening: The socket, which is the acceptor's from now on.
            make_protocol: Is called for each connection with the moment (s of the loop's clock) since when it
                may have waited to be accepted, or None.
            has_capacity: Returns whether one more may be accepted, given the number of those that have no
                protocol yet.
            queued_before: The socket has been listening, and connections may have waited for any time.
        """
        listening.setblocking(False)
        listening.listen(BACKLOG)
        self._socket = listening
        self._make_protocol = make_protocol
        self._has_capacity = has_capacity
        self._loop = asyncio.get_running_loop()
        self._reading = False
        self._at_capacity = False  # the reason why reading stopped
        self._paused_at = 0.0 if queued_before else None  # until the queue has been found empty once
        self._retry_timer: asyncio.TimerHandle | None = None
        self._opening: set[asyncio.Task[None]] = set()

    def start(self) -> None:
        """Accepts from now on, until `pause`. Has no effect where it does already."""
        if not self._reading and self._socket.fileno() >= 0:
            self._reading = True
            self._loop.add_reader(self._socket.fileno(), self._accept_ready)

    def pause(self) -> None:
        """Leaves what connects from now on in the queue."""
        self._cancel_retry()
        self._at_capacity = False
        self._stop_reading()

    def close(self) -> None:
        """Accepts no more, and closes the socket."""
        self.pause()
        self._socket.close()

    async def drain_queue(self, until: float, retry_interval: float) -> None:
        """Accepts all that wait, and returns once each has its protocol.

        Where there is no capacity it waits, `retry_interval` s at a time, until that moment of the loop's
        clock at the longest.
        """
        self.pause()
        while self._loop.time() < until:
            state = self._accept_batch()
            if state is QueueState.EMPTY:
                break
            await asyncio.sleep(0 if state is QueueState.MORE else retry_interval)
        while self._opening:
            await asyncio.wait(self._opening)

    def _accept_ready(self) -> None:
        state = self._accept_batch()
        if state in (QueueState.SHORTAGE, QueueState.NO_CAPACITY):
            self._stop_reading()
        self._at_capacity = state is QueueState.NO_CAPACITY
        if state is QueueState.SHORTAGE:
            self._cancel_retry()
            self._retry_timer = self._loop.call_later(RETRY_DELAY_S, self.start)

    def _stop_reading(self) -> None:
        if self._reading:
            self._reading = False
            self._loop.remove_reader(self._socket.fileno())
        if self._paused_at is None:
            self._paused_at = self._loop.time()

    def _cancel_retry(self) -> None:
        if self._retry_timer:
            self._retry_timer.cancel()
            self._retry_timer = None

    def _accept_batch(self) -> QueueState:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self._has_capacity(len(self._opening)):
                return QueueState.NO_CAPACITY
            try:
                accepted, _ = self._socket.accept()
            except BlockingIOError:
                self._paused_at = None
                return QueueState.EMPTY
            except OSError as error:
                if error.errno in CONNECTION_FAILED:
                    continue
                if error.errno not in SHORTAGE:
                    log.error("accept: %s", error)
                return QueueState.SHORTAGE
            self._open(accepted)
        return QueueState.MORE

    def _open(self, accepted: socket.socket) -> None:
        task = self._loop.create_task(self._connect(accepted, self._paused_at))
        self._opening.add(task)
        task.add_done_callback(self._opened)

    def _opened(self, task: asyncio.Task[None]) -> None:
        """Stops counting the connection as one that has no protocol yet."""
        self._opening.discard(task)
        if self._at_capacity:
            self.start()

    async def _connect(self, accepted: socket.socket, queued_since: float | None) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._make_protocol(queued_since), accepted)
        except OSError as error:  # it has ended before its protocol was called
            log.info("accept: %s", error)
            accepted.close()
