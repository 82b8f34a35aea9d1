"""One connection between the two processes of an upgrade, over a Unix socket.

It stays open while both processes live: its end tells each that the other one is gone.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
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
    decode,
    encode,
)

MAX_LINE_BYTES = 16 * 1024 * 1024
ANSWER_TIMEOUT_SECONDS = 1.5  # of the 6 s in all that a new process has until it must serve

log = logging.getLogger(__name__)


class ChannelHandler(Protocol):
    """What is told of the other process's messages."""

    def on_question(self, channel: UpgradeChannel, question: Question) -> Document:
        """Returns the answer's content. MessageError: the channel is closed in its place."""

    def on_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        """Some entries of the other process's endpoint list, packed, by name."""

    def on_operator_call(self, call: OperatorCall) -> None:
        """The other process has answered an operator's call."""

    def on_list_change(self, change: EndpointListChange) -> None:
        """Discovery has sent the other process a list or a change."""

    def on_closed(self, channel: UpgradeChannel) -> None:
        """The channel has ended, and most likely the other process with it."""


class UpgradeChannel(asyncio.Protocol):
    """The asyncio protocol of such a connection: lines in, messages out, one question at a time."""

    def __init__(self, handler: ChannelHandler) -> None:
        self._handler = handler
        self._unread = bytearray()  # the start of a line that has not ended
        self._answer: asyncio.Future[Document] | None = None
        self._on_answer: Callable[[Document], None] | None = None
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.BaseProtocol."""
        self._fail_question("the channel ended")
        self._handler.on_closed(self)

    def data_received(self, data: bytes) -> None:
        """See asyncio.Protocol. A line that cannot be read ends the channel."""
        self._unread += data
        *lines, unread = self._unread.split(b"\n")
        self._unread = bytearray(unread)
        try:
            if len(unread) > MAX_LINE_BYTES:
                raise MessageError("a line without end")
            for line in lines:
                self._receive_line(line)
        except MessageError as error:
            log.warning("upgrade: the other process's message cannot be read: %s", error)
            self._fail_question("a message cannot be read")
            self.abort()

    def send(self, message: Message) -> None:
        """Writes the message, unless the channel is closing."""
        if self._transport and not self._transport.is_closing():
            self._transport.write(encode(message))

    async def ask(self, question: Question, on_answer: Callable[[Document], None] | None = None) -> Document:
        """Sends a question, and returns the content of the answer.

        Args:
            question: Only one may be open at a time.
            on_answer: Is called before any message behind the answer is read. Parts of the endpoint list
                are taken only where it is given.

        Raises:
            ConnectionError: The channel ended, or a message could not be read.
            TimeoutError: No answer came in time.
        """
        self._on_answer = on_answer
        self._answer = asyncio.get_running_loop().create_future()
        self.send(Ask(question))
        async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
            return await self._answer

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport:
            self._transport.abort()

    def _receive_line(self, line: bytearray) -> None:
        try:
            message = decode(line)
        except EndpointListChangeError as error:
            log.warning("upgrade: the other process's change of the endpoint list cannot be read: %s", error)
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

    def _receive_answer(self, content: Document) -> None:
        if self._answer is None or self._answer.done():
            return
        if self._on_answer:
            self._on_answer(content)
        self._answer.set_result(content)

    def _fail_question(self, reason: str) -> None:
        if self._answer and not self._answer.done():
            self._answer.set_exception(ConnectionError(reason))
