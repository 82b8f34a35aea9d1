"""One connection between the two processes of an upgrade, over a Unix socket.

The connection stays open while both processes run; each process takes its end as the
end of the other.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Protocol, cast

from quota_ingress.net.discovery.packed_entry import PackedEntry
from quota_ingress.net.lifecycle.upgrade_messages import (
    Answer,
    Ask,
    Document,
    DrainCall,
    EndpointCall,
    EndpointListChange,
    EndpointListChangeError,
    ListPart,
    Message,
    MessageError,
    OperatorCall,
    Question,
    RequestIds,
    decode,
    encode,
)

MAX_LINE_BYTES = 16 * 1024 * 1024  # of a line that has no end yet
ANSWER_TIMEOUT_SECONDS = 1.5  # per question; a new process must serve within 6 s of its start

log = logging.getLogger(__name__)


class ChannelHandler(Protocol):
    """Receives the messages of the other process."""

    def on_question(self, channel: UpgradeChannel, question: Question) -> Document:
        """Returns the content of the answer.

        Raises:
            MessageError: The question is refused; the channel is closed.
        """

    def on_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        """Receives one batch of the other process's endpoint list, packed, by name."""

    def on_operator_call(self, call: OperatorCall) -> None:
        """Receives an operator's call that the other process has answered."""

    def on_list_change(self, change: EndpointListChange) -> None:
        """Receives a list change that discovery has sent to the other process."""

    def on_request_ids(self, request_ids: Sequence[bytes]) -> None:
        """Receives ids of requests that the other process has accepted."""

    def on_closed(self, channel: UpgradeChannel) -> None:
        """Is called once the channel has closed: most likely, the other process has ended."""


class UpgradeChannel(asyncio.Protocol):
    """The asyncio protocol of the connection: one message per line, one open question at a time."""

    def __init__(self, handler: ChannelHandler) -> None:
        self._handler = handler
        self._unread = bytearray()  # the incomplete last line
        self._answer: asyncio.Future[Document] | None = None
        self._on_answer: Callable[[Document], None] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.BaseProtocol."""
        self._fail_question("the upgrade channel closed")
        self._handler.on_closed(self)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol.

        A message that cannot be decoded or is refused closes the channel. Exceptions are list changes that
        cannot be decoded and unknown kinds of messages: these are ignored.
        """
        self._unread += data
        *lines, unread = self._unread.split(b"\n")
        self._unread = bytearray(unread)
        try:
            if len(unread) > MAX_LINE_BYTES:
                raise MessageError(f"line too long: {len(unread)} bytes without a line end")
            for line in lines:
                self._receive_line(line)
        except MessageError as error:
            log.warning("upgrade: closing the channel, message not accepted: %s", error)
            self._fail_question("a message was not accepted")
            self.abort()

    def send(self, message: Message) -> None:
        """Writes the message; drops it if the channel is closing."""
        if self._transport and not self._transport.is_closing():
            self._transport.write(encode(message))

    async def ask(self, question: Question, on_answer: Callable[[Document], None] | None = None) -> Document:
        """Sends a question, and returns the content of the answer.

        Args:
            question: The question; only one may be open at a time.
            on_answer: Is called before any message after the answer is read. If None, batches of the endpoint
                list are ignored.

        Raises:
            ConnectionError: The channel closed, or a message was not accepted.
            TimeoutError: No answer arrived within ANSWER_TIMEOUT_SECONDS.
        """
        self._on_answer = on_answer
        self._answer = asyncio.get_running_loop().create_future()
        self.send(Ask(question))
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            return await self._answer

    def abort(self) -> None:
        """Closes the connection immediately."""
        if self._transport:
            self._transport.abort()

    def _receive_line(self, line: bytearray) -> None:
        try:
            message = decode(line)
        except EndpointListChangeError as error:
            log.warning("upgrade: ignoring a list change that cannot be decoded: %s", error)
            return
        if message is not None:
            self._receive(message)

    def _receive(self, message: Message) -> None:
        match message:
            case Ask(question):
                self.send(Answer(self._handler.on_question(self, question)))
            case Answer(content):
                self._receive_answer(content)
            case ListPart(entries):
                if self._on_answer:
                    self._handler.on_list_part(entries)
            case EndpointCall() | DrainCall():
                self._handler.on_operator_call(message)
            case EndpointListChange():
                self._handler.on_list_change(message)
            case RequestIds(ids):
                self._handler.on_request_ids(ids)

    def _receive_answer(self, content: Document) -> None:
        if self._answer is None or self._answer.done():
            return
        if self._on_answer:
            self._on_answer(content)
        self._answer.set_result(content)

    def _fail_question(self, reason: str) -> None:
        if self._answer and not self._answer.done():
            self._answer.set_exception(ConnectionError(reason))
