"""One connection to the counter: calls are pipelined and answered in order."""

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

PING_INTERVAL = 2.5  # s; the counter closes connections after about 10 s of idle time
DEAD_CONNECTION_TIMEOUT = 2.0  # s without an answer to the oldest pending call

log = logging.getLogger(__name__)


class CallHandler(Protocol):
    """Receives the result of a call."""

    def finish(self, outcome: Outcome, total: float) -> None:
        """Ends the call with its outcome; `total` is valid only with Outcome.OK."""

    def recover_total(self) -> bool:
        """Tries to obtain the total of a call that was executed but whose answer is malformed.

        Returns:
            Whether the handler has taken over the call; if not, the call ends with its connection.
        """


class CallSequence:
    """Numbers calls across all connections in the order in which they are written.

    The numbers distinguish a stalled connection from a slow counter: on a stalled one, a call stays
    unanswered while later calls on other connections are answered.

    Attributes:
        last_written: The number of the last call written.
        last_answered: The highest number of an answered call.
    """

    __slots__ = ("last_answered", "last_written")

    def __init__(self) -> None:
        self.last_written = 0
        self.last_answered = 0


class PendingCall:
    """A call that has been written and not answered.

    Attributes:
        number: The call's number in the CallSequence.
        written_at: When the call was written, in seconds of the loop's clock.
        handler: Receives the result; None for a ping and for a call that has timed out.
        is_ping: Whether the call is a ping.
    """

    __slots__ = ("handler", "is_ping", "number", "written_at")

    def __init__(self, number: int, written_at: float, handler: CallHandler | None) -> None:
        self.number = number
        self.written_at = written_at
        self.handler = handler
        self.is_ping = handler is None

    @property
    def has_timed_out(self) -> bool:
        """Whether the call has timed out."""
        return self.handler is None and not self.is_ping

    def finish(self, outcome: Outcome, total: float = 0.0) -> None:
        """Reports the outcome to the handler, unless that has already been done."""
        handler = self.handler
        self.handler = None
        if handler:
            handler.finish(outcome, total)


class CounterConnection(asyncio.Protocol):
    """One connection to the counter.

    A call that has timed out stays in the queue, so that a late answer to it is dropped and not matched with
    the next call.

    Attributes:
        transport: The transport, once the connection is established.
        closed: Set once the connection is closed.
        has_answered: Whether any call on this connection has been answered.
    """

    transport: asyncio.Transport

    def __init__(self, timeout: float, sequence: CallSequence) -> None:
        """Calls time out after `timeout` seconds; `sequence` is shared by all connections of the client."""
        self.closed = asyncio.Event()
        self.has_answered = False
        self._timeout = timeout
        self._sequence = sequence
        self._loop = asyncio.get_running_loop()
        self._pending: deque[PendingCall] = deque()
        self._awaiting_timeout: deque[PendingCall] = deque()  # calls that may still time out
        self._timeout_timer: asyncio.TimerHandle | None = None
        self._health_timer: asyncio.TimerHandle | None = None
        self._partial_line = b""
        self._last_write_at = 0.0
        self._is_draining = False
        self._drained = asyncio.Event()

    @property
    def pending_count(self) -> int:
        """The number of calls written and not answered."""
        return len(self._pending)

    def is_overdue(self, now: float) -> bool:
        """Returns whether the oldest pending call, behind which a new one would wait, has timed out."""
        if not self._pending:
            return False
        oldest = self._pending[0]
        return oldest.has_timed_out or now - oldest.written_at > self._timeout

    def call(self, line: bytes, handler: CallHandler | None) -> None:
        """Writes a call; one without a handler is a ping."""
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
        """Waits until all calls are answered; no more pings are sent."""
        self._is_draining = True
        if self._pending:
            await self._drained.wait()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the periodic health checks of the connection."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        self._last_write_at = self._loop.time()
        self._check_health()

    def data_received(self, data: bytes) -> None:
        """Matches answers with pending calls; a malformed answer closes the connection."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        try:
            for line in lines:
                self._read_answer(line.rstrip(b"\r"))
            if len(self._partial_line) > MAX_ANSWER_BYTES:
                raise MalformedAnswerError(
                    f"unterminated line of {len(self._partial_line)} bytes exceeds {MAX_ANSWER_BYTES}"
                )
            if self._partial_line and not self._pending:  # its rest would answer the next call
                raise MalformedAnswerError("part of an answer without a matching call")
        except MalformedAnswerError as error:
            log.warning("counter: malformed answer, closing the connection: %s", error)
            self._abort_unreadable()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all pending calls with Outcome.RESET, as they may have been executed."""
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
            raise MalformedAnswerError(f"{kind.name} answer without a matching call")
        self.has_answered = True
        call = self._pending.popleft()
        self._sequence.last_answered = max(self._sequence.last_answered, call.number)
        call.finish(Outcome.OK if kind is AnswerKind.ADDED else Outcome.REJECTED, total)
        if self._is_draining and not self._pending:
            self._drained.set()

    def _abort_unreadable(self) -> None:
        """Closes a connection whose answers can no longer be matched with calls.

        The oldest pending call has been executed. Whether those behind it have been is unknown.
        """
        self.transport.abort()
        oldest = self._pending[0] if self._pending else None
        if oldest and oldest.handler and oldest.handler.recover_total():
            self._pending.popleft()
            oldest.handler = None

    def _has_stalled(self, now: float) -> bool:
        """Returns whether the oldest pending call has timed out while a later call has been answered."""
        if not self._pending:
            return False
        oldest = self._pending[0]
        return now >= oldest.written_at + self._timeout and self._sequence.last_answered > oldest.number

    def _expire_calls(self) -> None:
        now = self._loop.time()
        self._timeout_timer = None
        if self._has_stalled(now):  # the pending calls fail; later ones use another connection
            self.transport.abort()
            return
        calls = self._awaiting_timeout
        while calls and (calls[0].handler is None or now >= calls[0].written_at + self._timeout):
            calls.popleft().finish(Outcome.TIMEOUT)
        if calls and not self.closed.is_set():
            time_left = calls[0].written_at + self._timeout - now
            self._timeout_timer = self._loop.call_later(time_left, self._expire_calls)

    def _check_health(self) -> None:
        """Aborts a dead or stalled connection and pings an idle one to keep it open.

        Neither a dead counter nor a stalled connection reports an error: missing answers are the only sign.
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
