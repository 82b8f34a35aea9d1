"""One connection to the counter: calls are pipelined, and answered in their order."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from typing import Protocol, cast

from quota_ingress.net.counter.protocol import (
    MAX_ANSWER_BYTES,
    PING,
    AnswerKind,
    MalformedAnswerError,
    decode_answer,
)
from quota_ingress.policy.events import Outcome

PING_INTERVAL = 2.5  # s: the counter closes connections that have been idle for some 10 s
DEAD_CONNECTION_TIMEOUT = 2.0  # s without the answer that is due

log = logging.getLogger(__name__)


class CallHandler(Protocol):
    """Who made a call and waits for its answer."""

    def finish(self, outcome: Outcome, total: float) -> None:
        """The call has ended; `total` counts only with Outcome.OK."""

    def recover_total(self) -> bool:
        """Called where the call was carried out, but its answer is unreadable.

        Returns:
            False if the caller leaves the call to the end of its connection.
        """


class CallSequence:
    """Numbers the calls on all connections as they are written.

    It tells a connection that has stalled from a counter that is slow.

    Attributes:
        last_written: Number of the last call written.
        last_answered: The greatest number of a call that was answered.
    """

    __slots__ = ("last_answered", "last_written")

    def __init__(self) -> None:
        self.last_written = 0
        self.last_answered = 0


class PendingCall:
    """A call that has been written and not answered.

    Attributes:
        number: Its number in the sequence of all calls.
        written_at: Seconds of the loop's clock.
        handler: Who waits for it; None for a ping, and for a call that timed out.
        is_ping: Whether it is a ping.
    """

    __slots__ = ("handler", "is_ping", "number", "written_at")

    def __init__(self, number: int, written_at: float, handler: CallHandler | None) -> None:
        self.number = number
        self.written_at = written_at
        self.handler = handler
        self.is_ping = handler is None

    @property
    def is_abandoned(self) -> bool:
        """Whether it timed out."""
        return self.handler is None and not self.is_ping

    def finish(self, outcome: Outcome, total: float = 0.0) -> None:
        """Reports the outcome to the handler, if there still is one."""
        handler = self.handler
        self.handler = None
        if handler:
            handler.finish(outcome, total)


class CounterConnection(asyncio.Protocol):
    """One connection to the counter.

    A call that has timed out keeps its place, so that its late answer is dropped and not taken for that of
    the next call.

    Attributes:
        transport: The connection, once it is up.
        closed: Set once the connection has ended.
        has_answered: Whether a call has been answered.
    """

    transport: asyncio.Transport

    def __init__(self, timeout: float, sequence: CallSequence) -> None:
        """Lets calls time out after `timeout` seconds; `sequence` is shared by all connections."""
        self.closed = asyncio.Event()
        self.has_answered = False
        self._timeout = timeout
        self._sequence = sequence
        self._loop = asyncio.get_running_loop()
        self._pending: deque[PendingCall] = deque()
        self._awaiting_timeout: deque[PendingCall] = deque()  # those whose timeout is still to come
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._health_timer: asyncio.TimerHandle | None = None
        self._partial_line = b""
        self._last_write_at = 0.0
        self._is_draining = False
        self._drained = asyncio.Event()

    @property
    def pending_count(self) -> int:
        """Calls written and not answered."""
        return len(self._pending)

    def is_late(self, now: float) -> bool:
        """Returns whether a further call would wait behind one that has had its time."""
        if not self._pending:
            return False
        due = self._pending[0]
        return due.is_abandoned or now - due.written_at > self._timeout

    def call(self, line: bytes, handler: CallHandler | None) -> None:
        """Writes a call; without a handler, it is a ping."""
        now = self._loop.time()
        self._last_write_at = now
        self._sequence.last_written += 1
        pending = PendingCall(self._sequence.last_written, now, handler)
        self._pending.append(pending)
        self.transport.write(line)
        if handler:
            self._awaiting_timeout.append(pending)
            if self._timeout_timer is None:
                self._timeout_timer = self._loop.call_later(self._timeout, self._expire_calls)

    async def drain(self) -> None:
        """Returns once no call is unanswered; sends no more pings."""
        self._is_draining = True
        if self._pending:
            await self._drained.wait()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the checks of the connection's health."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass
        self._last_write_at = self._loop.time()
        self._check_health()

    def data_received(self, data: bytes) -> None:
        """Reads answers."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        try:
            for line in lines:
                self._read_answer(line.rstrip(b"\r"))
            if len(self._partial_line) > MAX_ANSWER_BYTES:
                raise MalformedAnswerError("too long")
        except MalformedAnswerError as error:
            log.warning("counter: answer not understood: %s", error)
            self._abort_unreadable()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all calls that were written: they may have been carried out."""
        for timer in (self._timeout_timer, self._health_timer):
            if timer:
                timer.cancel()
        self.closed.set()
        self._drained.set()
        pending = self._pending
        self._pending = deque()
        for call in pending:
            call.finish(Outcome.RESET)

    def _read_answer(self, line: bytes) -> None:
        kind, total = decode_answer(line)
        if not self._pending or self._pending[0].is_ping != (kind is AnswerKind.PONG):
            raise MalformedAnswerError("it belongs to no call")
        self.has_answered = True
        call = self._pending.popleft()
        self._sequence.last_answered = max(self._sequence.last_answered, call.number)
        call.finish(Outcome.OK if kind is AnswerKind.ADDED else Outcome.REJECTED, total)
        if self._is_draining and not self._pending:
            self._drained.set()

    def _abort_unreadable(self) -> None:
        """Ends a connection whose answers cannot be paired with calls any more.

        The call that was due has been carried out. Nothing is known of those behind it.
        """
        self.transport.abort()
        due = self._pending[0] if self._pending else None
        if due and due.handler and due.handler.recover_total():
            self._pending.popleft()
            due.handler = None

    def _has_stalled(self, now: float) -> bool:
        """Returns whether the call that is due has timed out, while a later one has been answered."""
        if not self._pending:
            return False
        due = self._pending[0]
        return now >= due.written_at + self._timeout and self._sequence.last_answered > due.number

    def _expire_calls(self) -> None:
        now = self._loop.time()
        self._timeout_timer = None
        if self._has_stalled(now):  # its calls are lost, but the next ones need not be
            self.transport.abort()
            return
        calls = self._awaiting_timeout
        while calls and (calls[0].handler is None or now >= calls[0].written_at + self._timeout):
            calls.popleft().finish(Outcome.TIMEOUT)
        if calls and not self.closed.is_set():
            time_left = calls[0].written_at + self._timeout - now
            self._timeout_timer = self._loop.call_later(time_left, self._expire_calls)

    def _check_health(self) -> None:
        """Aborts a dead connection, and keeps an idle one alive.

        A dead counter says nothing, nor does a stalled connection: missing answers are the only sign.
        """
        now = self._loop.time()
        if self._has_stalled(now):
            self.transport.abort()
            return
        if self._pending and now - self._pending[0].written_at > DEAD_CONNECTION_TIMEOUT:
            log.warning("counter: silent for %.0f s, reconnecting", DEAD_CONNECTION_TIMEOUT)
            self.transport.abort()
            return
        if now - self._last_write_at >= PING_INTERVAL and not self._is_draining:
            self.call(PING, None)
        self._health_timer = self._loop.call_later(PING_INTERVAL / 2, self._check_health)
