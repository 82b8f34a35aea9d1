"""Base class of connections that carry HTTP messages: passes received bytes through a message reader."""

from __future__ import annotations

import asyncio
import socket
from typing import cast

from quota_ingress.net.http.message_reader import FramingError, Message, MessageReader

SOCKET_BUFFER_BYTES = 128 * 1024  # per direction; kernel socket buffers count as memory, too
CONNECTION_BYTES = 10 * 1024  # of the objects of a connection and of its request, beside their buffers


def limit_socket_buffers(sock: socket.socket) -> None:
    """Sets the socket's send and receive buffers to SOCKET_BUFFER_BYTES.

    Raises:
        OSError: The kernel rejected the option.
    """
    for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
        sock.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)


class HttpConnection(asyncio.BufferedProtocol):
    """Reads messages and delivers each to `message_received` after the parser has returned.

    Because messages are not handled inside parser callbacks, an error in handling one cannot be mistaken for
    a parse error. Subclasses implement `message_received` and `protocol_error`.
    """

    transport: asyncio.Transport

    def __init__(self, reader: MessageReader) -> None:
        self.reader = reader
        reader.on_message_started = self.message_started
        self._bytes_unsent = 0  # in the transport's write buffer, as the memory budget counts them
        self._more_messages = False  # the same read contained messages after the one being delivered

    def message_received(self, message: Message) -> None:
        """Handles a message whose head is complete. Called again when more of its body has been received."""
        raise NotImplementedError

    def protocol_error(self, error: FramingError) -> None:
        """Handles a framing error. Bytes received after it are not parsed."""
        raise NotImplementedError

    def message_started(self) -> None:
        """Called when the first byte of a message is received. Does nothing by default."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, and counts the connection in the memory budget."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transport is not a subclass
        # The transport keeps what the kernel does not take at once, and pauses its writer until it has.
        self.transport.set_write_buffer_limits(high=0)
        self.reader.budget.connection_bytes += CONNECTION_BYTES

    def connection_lost(self, exc: Exception | None) -> None:
        """Closes the message reader, which drops its parser."""
        self.reader.budget.connection_bytes -= CONNECTION_BYTES
        self._count_unsent(0)
        self.reader.close()

    def pause_writing(self) -> None:
        """Counts the write buffer in the memory budget, until the kernel has taken all of it."""
        self._count_unsent(self.transport.get_write_buffer_size())

    def resume_writing(self) -> None:
        """Counts the write buffer, which is empty, no longer."""
        self._count_unsent(0)

    def _count_unsent(self, size: int) -> None:
        self.reader.budget.used += size - self._bytes_unsent
        self._bytes_unsent = size

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read, which `buffer_updated` empties at once."""
        return self.reader.budget.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Handles the bytes that were read."""
        self.data_received(self.reader.budget.bytes_read(nbytes))

    def data_received(self, data: bytes) -> None:
        """Parses the bytes and delivers the messages read. Ignores bytes after a framing error."""
        if self.reader.framing_lost:
            return
        try:
            self.reader.feed(data)
            self.feed_more()
        except FramingError as error:
            self._deliver()
            self.protocol_error(error)
        else:
            self._deliver()

    def feed_more(self) -> None:
        """Feeds further bytes to the reader before messages are delivered. Does nothing by default.

        Raises:
            FramingError: As from the reader.
        """

    def complete_at_eof(self) -> None:
        """Handles the peer's end of stream, which may complete the body of its last message."""
        self.reader.read_eof()
        self._deliver()

    def _deliver(self) -> None:
        updated = self.reader.take_updated()
        last = len(updated) - 1
        for index, message in enumerate(updated):
            self._more_messages = index < last
            self.message_received(message)
