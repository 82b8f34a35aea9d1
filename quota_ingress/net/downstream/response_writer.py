"""Writes responses to one client, and streams their bodies as the client reads them."""

from __future__ import annotations

import asyncio
from enum import Enum, auto

from quota_ingress.net.http import Body
from quota_ingress.net.socket_state import unacknowledged_bytes


class StreamState(Enum):
    """Progress of forwarding a response body."""

    WAITING = auto()  # for more of the body, or for the client to read
    COMPLETE = auto()
    TRUNCATED = auto()  # the rest of the body will never be received


class ResponseWriter:
    """The writing side of one client connection.

    Attributes:
        paused: The transport's write buffer is full, as the client does not read.
        body: The response body being streamed, or None.
    """

    __slots__ = ("_bytes_acknowledged", "_bytes_written", "_offset", "body", "paused")

    def __init__(self) -> None:
        self._bytes_written = 0
        self._bytes_acknowledged = 0  # of the bytes written, by the client's kernel
        self._offset = 0  # body offset up to which the body has been written
        self.body: Body | None = None
        self.paused = False

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        """Writes the bytes and counts them for `client_has_read_more`."""
        self._bytes_written += len(data)
        transport.write(data)

    def start_stream(self, body: Body) -> None:
        """Sets the body that subsequent calls of `forward` write."""
        self.body = body
        self._offset = 0

    def forward(self, transport: asyncio.Transport) -> StreamState:
        """Writes the body as far as it has been received, while the client reads.

        Releases the body once all of it is written.
        """
        while (body := self.body) and not self.paused and not transport.is_closing():
            if body.truncated:
                return StreamState.TRUNCATED
            if self._offset == body.received and not body.complete:
                return StreamState.WAITING
            part = body.encode(self._offset)
            self._offset = part.end
            self.write(transport, part.data)
            body.discard(part.end)
            if body.complete and part.end == body.received:
                self.release_body()
                return StreamState.COMPLETE
        return StreamState.WAITING

    def release_body(self) -> None:
        """Frees the body being streamed, if any."""
        body = self.body
        self.body = None
        if body:
            body.release()

    def client_has_read_more(self, transport: asyncio.Transport) -> bool:
        """Returns whether the client's kernel has acknowledged more bytes since the last call."""
        unsent = transport.get_write_buffer_size() + unacknowledged_bytes(transport)
        acknowledged = self._bytes_written - unsent
        if acknowledged <= self._bytes_acknowledged:
            return False
        self._bytes_acknowledged = acknowledged
        return True
