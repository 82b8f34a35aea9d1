"""Determines when the client may have written the last byte of a request body."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import NamedTuple

from quota_ingress.net.downstream.write_time import FULL_SETTLE_US, ROOM_BYTES
from quota_ingress.net.http import Body
from quota_ingress.net.socket_state import unread_bytes

BLOCKED_BYTES = ROOM_BYTES  # unread; with more, the client's machine may hold bytes back
CLIENT_BUFFER_BYTES = 4 * 1024 * 1024  # that a client's machine may hold back: Linux's largest send buffer
SETTLE_US = FULL_SETTLE_US  # after so long without BLOCKED_BYTES unread, nothing is held back


class Progress(NamedTuple):
    """The number of bytes that had arrived at a time (us)."""

    at: int
    bytes_arrived: int


class BodyArrival:
    """The arrival of one body.

    Reading pauses while the backend accepts no more, or while others are read, so the last byte may wait for
    long, in the socket or in that of the client, which has written it: the time of the request counts from
    then. It may be the last byte that has come so far, until another one comes.

    Attributes:
        written_at: The earliest time (us) at which the client may have written the last byte that has come so
            far.
    """

    __slots__ = (
        "_blocked_at",
        "_bytes_arrived",
        "_bytes_missing",
        "_bytes_read",
        "_checked_at",
        "_progress",
        "_unblocked_at",
        "written_at",
    )

    def __init__(self, body: Body, now: int) -> None:
        """Begins with the bytes of `body` that have been read until `now` (us)."""
        self.written_at = now
        self._checked_at = now
        self._unblocked_at = now  # us: when the client's machine last held back nothing
        self._blocked_at: int | None = None  # us: when BLOCKED_BYTES were last seen unread
        self._bytes_read = 0  # and parsed since the start, with the framing of chunks
        self._bytes_arrived = 0  # read or unread
        # In steps of BLOCKED_BYTES, for the last CLIENT_BUFFER_BYTES.
        self._progress = deque([Progress(now, 0)])
        self._bytes_missing = None  # at the start; None: not known
        if body.declared_length is not None:
            self._bytes_missing = body.declared_length - body.received

    def add_read(self, size: int) -> None:
        """Counts `size` bytes that have been read from the connection and parsed."""
        self._bytes_read += size

    def check(
        self, transport: asyncio.Transport, now: int, paused: bool, unparsed: int = 0, quiet_at: int = 0
    ) -> int | None:
        """Returns the earliest time (us) at which the client may have written the last byte, still unread.

        None if it cannot have done so. While so much is unread that the client's machine may hold bytes back,
        up to CLIENT_BUFFER_BYTES of them may have been written long before they arrive.

        Args:
            transport: The connection.
            now: The present time (us).
            paused: Reading was paused since the last check, so that bytes may have arrived at any time since.
            unparsed: Number of bytes that have been read from the connection and not been parsed.
            quiet_at: When the client's machine last held back nothing (us), as the reads show.
        """
        self._unblocked_at = max(self._unblocked_at, quiet_at)
        unread = unread_bytes(transport)
        # With little room, the client's kernel may wait long before it sends more.
        if unread >= BLOCKED_BYTES or (unread and self._may_be_blocked(now)):
            self._blocked_at = now
        elif not self._may_be_blocked(now):
            self._unblocked_at = now
        unread += unparsed
        self._update(unread, self._checked_at if paused else now)
        self._checked_at = now
        if unread and self._bytes_missing in (None, self._bytes_arrived):
            return self.written_at
        if self._may_be_blocked(now) and self._bytes_missing is not None:
            return self._written_before(self._bytes_missing)
        return None

    def is_blocked(self, now: int) -> bool:
        """Whether the check at `now` has found that the client's machine may hold bytes back."""
        return self._blocked_at == now

    def _may_be_blocked(self, now: int) -> bool:
        return self._blocked_at is not None and now - self._blocked_at < SETTLE_US

    def _update(self, unread: int, since: int) -> None:
        """Records what has arrived since `since`."""
        bytes_arrived = self._bytes_read + unread
        if self._bytes_missing is not None:
            bytes_arrived = min(bytes_arrived, self._bytes_missing)
        if bytes_arrived <= self._bytes_arrived:
            return
        self._bytes_arrived = bytes_arrived
        if bytes_arrived >= self._progress[-1].bytes_arrived + BLOCKED_BYTES:
            self._progress.append(Progress(since, bytes_arrived))
        outdated = bytes_arrived - CLIENT_BUFFER_BYTES
        while len(self._progress) > 1 and self._progress[1].bytes_arrived <= outdated:
            self._progress.popleft()
        earliest = self._written_before(bytes_arrived)
        self.written_at = since if earliest is None else min(since, earliest)

    def _written_before(self, length: int) -> int | None:
        """Returns the earliest time at which a body of `length` bytes may have been written; None: not yet.

        The client's machine has held bytes back since `_unblocked_at`, and so has no more of them than fit.
        """
        arrived_by_then = length - CLIENT_BUFFER_BYTES
        if self._bytes_arrived < arrived_by_then:
            return None
        reached_at = next(
            p.at for p in reversed(self._progress) if p.bytes_arrived <= max(0, arrived_by_then)
        )
        return max(self._unblocked_at, reached_at)
