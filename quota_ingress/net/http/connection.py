"""A connection that carries HTTP messages: from the transport through the reader to a subclass."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from quota_ingress.net.http.message_reader import FramingError, Message, MessageReader

SOCKET_BUFFER_BYTES = 128 * 1024  # for each direction: the kernel's buffers count as memory, too
WRITE_BUFFER_BYTES = 128 * 1024  # above it the transport asks its writer to pause


def limit_socket_buffers(sock: socket.socket) -> None:
    """Asks the kernel for buffers of SOCKET_BUFFER_BYTES.

    Raises:
        OSError: The socket does not take the option.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


class HttpConnection(asyncio.Protocol):
    """Reads messages, and delivers each to `message_received` once the parser has returned.

    So an error in handling a message is never mistaken for an error in parsing it. Subclasses implement
    `message_received` and `protocol_error`.
    """

    transport: asyncio.Transport

    def __init__(self, reader: MessageReader) -> None:
        self.reader = reader
        reader.on_message_started = self.message_started
        self._more_messages = False  # the same read holds further ones behind the one being delivered

    def message_received(self, message: Message) -> None:
        """Handles a message whose head, or more of whose body, has been received."""
        raise NotImplementedError

    def protocol_error(self, error: FramingError) -> None:
        """Handles bytes that cannot be read; nothing behind them is read."""
        raise NotImplementedError

    def message_started(self) -> None:
        """Handles the first byte of a message; does nothing by default."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops the parser."""
        self.reader.close()

    def data_received(self, data: bytes) -> None:
        """Reads the bytes, unless they follow an error."""
        if self.reader.framing_lost:
            return
        try:
            self.reader.feed(data)
        except FramingError as error:
            self._deliver()
            self.protocol_error(error)
        else:
            self._deliver()

    def complete_at_eof(self) -> None:
        """Handles the other side's orderly end, which may complete the body of its last message."""
        self.reader.read_eof()
        self._deliver()

    def _deliver(self) -> None:
        updated = self.reader.take_updated()
        last = len(updated) - 1
        for index, message in enumerate(updated):
            self._more_messages = index < last
            self.message_received(message)
