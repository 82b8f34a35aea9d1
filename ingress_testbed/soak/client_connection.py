"""A client's connection: writes requests, and compares the answers with the expected ones."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass

import httptools

from ingress_testbed.soak.client_request import ClientRequest
from ingress_testbed.soak.records import Call, Ending
from ingress_testbed.standins.sockets import Connection


@dataclass(frozen=True, slots=True)
class PendingCall:
    """A request that has no answer yet."""

    call: Call
    request: ClientRequest
    done: asyncio.Future[None]

    def end(self, ending: Ending) -> None:
        """Records how the call ended, unless an ending is recorded already, and resolves `done`."""
        end_call(self.call, ending)
        if not self.done.done():
            self.done.set_result(None)


class ClientConnection(Connection):
    """A connection on which answers arrive in the order of the requests.

    Attributes:
        pending: Requests without an answer, oldest first.
        request_count: Requests registered on the connection so far.
        answer_begun: Whether a part of the next answer has arrived.
        closed: Done once the connection has ended.
    """

    def __init__(self) -> None:
        self.pending: deque[PendingCall] = deque()
        self.request_count = 0
        self.answer_begun = False
        self.closed: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._body = bytearray()
        self._drained = asyncio.Event()
        self._drained.set()

    def register_request(self, call: Call, request: ClientRequest) -> asyncio.Future[None]:
        """Registers a request that is about to be written. The future is done once the call has ended."""
        pending = PendingCall(call, request, asyncio.get_running_loop().create_future())
        call.first_on_connection = self.request_count == 0
        call.behind_others = bool(self.pending)
        self.request_count += 1
        if self.transport.is_closing():
            pending.end(Ending.CLOSED)
        else:
            self.pending.append(pending)
        return pending.done

    def remove_call(self, call: Call) -> None:
        """Removes a pending call: the end of the connection is no longer recorded as its ending."""
        self.pending = deque(pending for pending in self.pending if pending.call is not call)

    async def send(self, data: bytes) -> None:
        """Writes `data`, and returns once the kernel has accepted all of it."""
        if not self.transport.is_closing():
            self.transport.write(data)
            await self._drained.wait()

    def pause_writing(self) -> None:
        """The kernel's send buffer is full."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """The kernel has accepted all written data."""
        self._drained.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the write buffer's limit to 0, so that `send` returns only when the kernel has all bytes."""
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=0)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends all pending calls; only the oldest one can have a part of its answer."""
        self._drained.set()
        ending = Ending.RESET if exc else Ending.CLOSED
        while self.pending:
            self.pending.popleft().end(Ending.TRUNCATED if self.answer_begun else ending)
            self.answer_begun = False
        if not self.closed.done():
            self.closed.set_result(None)

    def data_received(self, data: bytes) -> None:
        """Parses answers; aborts the connection if one is invalid."""
        self.answer_begun = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        """Parser callback: an answer begins."""
        self._body = bytearray()

    def on_body(self, part: bytes) -> None:
        """Parser callback: a part of an answer's body."""
        self._body += part

    def on_message_complete(self) -> None:
        """Parser callback: an answer is complete. Compares it with the oldest request's; ignores a 100."""
        status = self._parser.get_status_code()
        if status == 100 or not self.pending:
            return
        self.answer_begun = False
        pending = self.pending.popleft()
        pending.call.status = status
        pending.call.has_expected_body = status != 200 or bytes(self._body) == pending.request.expected_answer
        pending.end(Ending.ANSWERED)
        if not self._parser.should_keep_alive():
            self.transport.close()


def end_call(call: Call, ending: Ending) -> None:
    """Records how a call ended, unless an ending is recorded already."""
    if call.ending is Ending.NO_ANSWER:
        call.ending = ending
        call.ended_at = time.monotonic()
