"""Writes responses to one client, and streams their bodies as the client reads them."""

from __future__ import annotations

import asyncio
from enum import Enum, auto

from quota_ingress.net.http import Body
from quota_ingress.net.socket_state import peer_window, unacknowledged_bytes


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
        largest_window: Number of bytes that the client's kernel has offered to receive at most.
        measured_since: Start (us) of the period that `bytes_read` refers to.
        bytes_read: Number of bytes that the client's kernel has acknowledged since.
    """

    __slots__ = (
        "_bytes_acknowledged",
        "_bytes_written",
        "_offset",
        "body",
        "bytes_read",
        "largest_window",
        "measured_since",
        "paused",
    )

    def __init__(self) -> None:
        self.largest_window = 0
        self.measured_since = 0
        self.bytes_read = 0
        self._bytes_written = 0
        self._bytes_acknowledged = 0  # of the bytes written, by the client's kernel
        self._offset = 0  # body offset up to which the body has been written
        self.body: Body | None = None
        self.paused = False

    def write(self, transport: asyncio.Transport, data: bytes) -> None:
        """Writes the bytes and counts them for `client_has_read_more`."""
        self._bytes_written += len(data)
        transport.write(data)

    def start_stream(self, body: Body, now: int) -> None:
        """Sets the body that subsequent calls of `forward` write. `now` is the process clock in us."""
        self.body = body
        self._offset = 0
        self.measured_since = now
        self.bytes_read = 0
        self._bytes_acknowledged = self._bytes_written

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
            self.largest_window = max(self.largest_window, peer_window(transport))
            self.write(transport, part.data)
            body.discard(part.end)
            if body.complete and part.end == body.received:
                self.release_body()
                return StreamState.COMPLETE
        return StreamState.WAITING

    @property
    def is_delimited_by_close(self) -> bool:
        """Whether the end of the connection is the only sign that the streamed body is complete."""
        return self.body is not None and self.body.declared_length is None and not self.body.chunked

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
        self.bytes_read += acknowledged - self._bytes_acknowledged
        self._bytes_acknowledged = acknowledged
        return True
