"""Writes responses to one client, and streams their bodies as the client reads them."""

from __future__ import annotations

import asyncio
from enum import Enum, auto

from quota_ingress.net.downstream.socket_state import unacknowledged_bytes
from quota_ingress.net.http import Body


class StreamState(Enum):
    """How far a body has been forwarded."""

    WAITING = auto()  # for more of it, or for the client to read on
    COMPLETE = auto()
    TRUNCATED = auto()  # its end will never be received


class ResponseWriter:
    """The writing side of one client connection.

    Attributes:
        paused: The client does not read on.
        body: The body that is being streamed.
    """

    __slots__ = ("_bytes_acknowledged", "_bytes_written", "_offset", "body", "paused")

    def __init__(self) -> None:
        self._bytes_written = 0
        self._bytes_acknowledged = 0  # of these, by the client's machine
        self._offset = 0  # in the body
        self.body: Body | None = None
        self.paused = False

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        """Writes and counts the bytes."""
        self._bytes_written += len(data)
        transport.write(data)

    def start_stream(self, body: Body) -> None:
        """Streams that body with the next calls of `forward`."""
        self.body = body
        self._offset = 0

    def forward(self, transport: asyncio.Transport) -> StreamState:
        """Writes on the body as far as it has been received and as the client reads it."""
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
        """Frees the body that is being streamed, if there is one."""
        body = self.body
        self.body = None
        if body:
            body.release()

    def client_has_read_on(self, transport: asyncio.Transport) -> bool:
        """Returns whether the client's machine has taken more since the last call."""
        unsent = transport.get_write_buffer_size() + unacknowledged_bytes(transport)
        acknowledged = self._bytes_written - unsent
        if acknowledged <= self._bytes_acknowledged:
            return False
        self._bytes_acknowledged = acknowledged
        return True
