"""Determines when the last byte of a streamed request body may have arrived, while it may be unread."""

from __future__ import annotations

import asyncio

from quota_ingress.net.http import SOCKET_BUFFER_BYTES, Body
from quota_ingress.net.socket_state import unread_bytes

BLOCKED_BYTES = SOCKET_BUFFER_BYTES // 2  # unread; with more, the client's machine may hold bytes back


class BodyArrival:
    """The arrival of one streamed body.

    Reading pauses while the backend accepts no more, so the last byte may wait for long, in the socket or in
    that of the client. It may be the last byte that has come so far, until another one comes.

    Attributes:
        arrived_at: The earliest time (us) at which the last byte that has come so far may have arrived.
    """

    __slots__ = (
        "_body",
        "_bytes_arrived",
        "_bytes_discarded",
        "_bytes_missing",
        "_bytes_read",
        "_checked_at",
        "_forwarded_at",
        "arrived_at",
    )

    def __init__(self, body: Body, now: int) -> None:
        """Begins with the bytes of `body` that have been read until `now` (us)."""
        self.arrived_at = now
        self._body = body
        self._checked_at = now
        self._forwarded_at = now  # us: when the backend was last seen to have accepted more
        self._bytes_discarded = body.discarded
        self._bytes_read = 0  # and parsed since the start, with the framing of chunks
        self._bytes_arrived = 0  # read or unread
        self._bytes_missing = None  # at the start; None: not known
        if body.declared_length is not None:
            self._bytes_missing = body.declared_length - body.received

    def add_read(self, size: int) -> None:
        """Counts `size` bytes that have been read from the connection and parsed."""
        self._bytes_read += size

    def check(self, transport: asyncio.Transport, now: int, paused: bool, unparsed: int = 0) -> int | None:
        """Returns the time (us) at which the last byte, still unread, may have arrived; None if it has not.

        If the client's machine may hold it back, this is no earlier than the backend accepted more: a slow
        backend may still serve a request whose last byte has not been sent.

        Args:
            transport: The connection.
            now: The present time (us).
            paused: Reading was paused since the last check, so that bytes may have arrived at any time since.
            unparsed: Number of bytes that have been read from the connection and not been parsed.
        """
        unread = unread_bytes(transport) + unparsed
        self._update(unread, self._checked_at if paused else now, now)
        if not unread:
            return None
        if self._bytes_missing == self._bytes_arrived:
            return self.arrived_at
        if unread >= BLOCKED_BYTES:
            return max(self.arrived_at, self._forwarded_at)
        return self.arrived_at if self._bytes_missing is None else None

    def _update(self, unread: int, since: int, now: int) -> None:
        """Notes what has arrived since `since`, and whether the backend has accepted more."""
        bytes_arrived = self._bytes_read + unread
        if self._bytes_missing is not None:
            bytes_arrived = min(bytes_arrived, self._bytes_missing)
        if bytes_arrived > self._bytes_arrived:
            self._bytes_arrived = bytes_arrived
            self.arrived_at = since
        if self._body.discarded > self._bytes_discarded:
            self._bytes_discarded = self._body.discarded
            self._forwarded_at = now
        self._checked_at = now
