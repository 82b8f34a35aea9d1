"""Accepts connections from a listening socket, and handles each error of accept(2).

| errno | meaning | reaction |
| --- | --- | --- |
| EAGAIN | the accept queue is empty | waits until the socket is readable |
| EINTR | a signal interrupted the call | Python repeats the call (PEP 475) |
| ECONNABORTED, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH, \
ETIMEDOUT, EPERM | the connection failed before it was accepted | accepts the next one |
| EMFILE, ENFILE, ENOBUFS, ENOMEM | out of descriptors or memory | leaves connections in the queue, and \
tries again after RETRY_DELAY_S |
| any other | the listening socket is broken | logs the error, and tries again after RETRY_DELAY_S |

The event loop's own server closes waiting connections, with their requests, when descriptors run out. This
acceptor leaves them in the queue, and closes only accepted ones that end before a protocol is attached.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import select
import socket
from collections.abc import Callable
from enum import Enum, auto

MAX_ACCEPTS_PER_TURN = 32  # per event loop iteration, so that open connections are served in between
RETRY_DELAY_S = 0.02  # after an attempt that failed for one of the last two reasons in the table
LISTEN_TIMEOUT_S = 10.0  # at start, for attempts to listen that fail for lack of descriptors or memory
BACKLOG = 4096  # connections in the accept queue; beyond it, the kernel drops new ones
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
    """Returns a bound, listening socket.

    Args:
        host: The address to bind; unused with `inherited`.
        port: The port to bind; unused with `inherited`.
        inherited: The descriptor of an inherited listening socket, to be duplicated. None: a new socket.

    Raises:
        OSError: The socket could not be created. For lack of descriptors or memory, it is raised only after
            LISTEN_TIMEOUT_S.
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
    """The state of the accept queue after a batch of accept calls."""

    EMPTY = auto()
    MORE = auto()
    SHORTAGE = auto()  # of descriptors or memory; also any other fault of the listening socket
    NO_CAPACITY = auto()  # `has_capacity` refused a further connection


class Acceptor:
    """Accepts connections from one listening socket while `has_capacity` allows it."""

    def __init__(
        self,
        listening: socket.socket,
        make_protocol: Callable[[float | None], asyncio.BaseProtocol],
        has_capacity: Callable[[int], bool] = lambda opening: True,
        queued_before: bool = False,
    ) -> None:
        """Listens on `listening`, and accepts nothing until `start`.

        Args:
            listening: The socket; the acceptor owns and closes it.
            make_protocol: Is called for each connection with the earliest time (loop time, s) at which the
                connection may have entered the queue, or None if it did not wait.
            has_capacity: Returns whether one more connection may be accepted, given the number of accepted
                connections that have no protocol yet.
            queued_before: The socket was listening already, and connections may have waited for any time.
        """
        listening.setblocking(False)
        listening.listen(BACKLOG)
        self._socket = listening
        self._make_protocol = make_protocol
        self._has_capacity = has_capacity
        self._loop = asyncio.get_running_loop()
        self._reading = False
        self._at_capacity = False  # reading stopped because `has_capacity` refused a connection
        self._paused_at = 0.0 if queued_before else None  # loop time, s; 0: unknown; None: queue found empty
        self._retry_timer: asyncio.TimerHandle | None = None
        self._opening: set[asyncio.Task[None]] = set()

    @property
    def queued_since(self) -> float | None:
        """Loop time (s) since which connections may have waited in the queue; None if it was found empty."""
        return self._paused_at

    def has_waiting(self) -> bool:
        """Returns whether a connection waits in the queue."""
        if self._socket.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(self._socket.fileno(), select.POLLIN)
        if poll.poll(0):
            return True
        if self._paused_at is not None:
            self._paused_at = self._loop.time()
        return False

    def start(self) -> None:
        """Accepts connections until `pause`, or until `has_capacity` refuses one; no effect if started.

        After a refusal, the owner calls `start` again once there is capacity.
        """
        if not self._reading and self._socket.fileno() >= 0:
            self._reading = True
            self._loop.add_reader(self._socket.fileno(), self._accept_ready)

    def pause(self) -> None:
        """Stops accepting; new connections wait in the queue."""
        self._cancel_retry()
        self._at_capacity = False
        self._stop_reading()

    def close(self) -> None:
        """Stops accepting, and closes the socket."""
        self.pause()
        self._socket.close()

    async def drain_queue(self, until: float, retry_interval: float) -> None:
        """Accepts all connections in the queue, and returns once each has its protocol.

        Args:
            until: The loop time (s) at which accepting stops, even if connections still wait.
            retry_interval: The wait (s) before the next attempt while there is no capacity.
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
                    log.error("accept: listening socket failed: %s", error)
                return QueueState.SHORTAGE
            self._open(accepted)
        return QueueState.MORE

    def _open(self, accepted: socket.socket) -> None:
        task = self._loop.create_task(self._connect(accepted, self._paused_at))
        self._opening.add(task)
        task.add_done_callback(self._on_connected)

    def _on_connected(self, task: asyncio.Task[None]) -> None:
        """Removes the connection from those that have no protocol yet."""
        self._opening.discard(task)
        if self._at_capacity:
            self.start()

    async def _connect(self, accepted: socket.socket, queued_since: float | None) -> None:
        try:
            await self._loop.connect_accepted_socket(lambda: self._make_protocol(queued_since), accepted)
        except OSError as error:  # the connection ended before its protocol was attached
            log.info("accept: connection ended before its protocol was called: %s", error)
            accepted.close()
