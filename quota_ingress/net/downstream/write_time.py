"""Determines when a client may have written the bytes that are read from it.

A client's machine takes what the client writes although this machine does not accept it yet, and sends it as
room becomes free. Such bytes have just arrived when they are read, but may have been written long before.
"""

from __future__ import annotations

from collections.abc import Callable

SETTLE_US = 10_000  # in which bytes arrive that a client's machine has held back, once there is room for them
FULL_SETTLE_US = 300_000  # instead, after there was no room: its kernel may try again only then
ROOM_BYTES = 16 * 1024  # that this machine always offers, also where small writes take up much of it


class WriteTime:
    """The earliest time (us) at which one client may have written the bytes that are read next.

    Attributes:
        since: That time. It moves on when a span of SETTLE_US shows that nothing was held back at its start:
            nothing came in it, or fewer bytes than there was room for.
    """

    __slots__ = ("_bytes_since_empty", "_empty_at", "_full_until", "_last_read_at", "since")

    def __init__(self) -> None:
        self.since = 0
        self._empty_at: int | None = None  # start of a span, when all bytes had been read; None: some may not
        self._bytes_since_empty = 0
        self._full_until = 0  # until then, bytes may be held back for which there was no room
        self._last_read_at: int | None = None  # if all bytes were read then, and reading was not paused since

    def start(self, since: int) -> None:
        """Sets the earliest time for the first bytes of the connection."""
        self.since = since

    def restart(self, now: int) -> None:
        """Takes note that the client has written nothing that is still to be read."""
        self.since = now
        self._full_until = 0
        self._start_span(now)

    def record_full(self, now: int) -> None:
        """Takes note that so much is unread that there may be no room for more."""
        self._full_until = now + FULL_SETTLE_US

    def record_read(self, now: int, size: int, all_read: bool, last_arrival: Callable[[], int]) -> None:
        """Takes note of a read.

        Args:
            now: The present time (us).
            size: Number of bytes read.
            all_read: No further bytes were there.
            last_arrival: Returns when (us) the last of them arrived. Called only where that is needed.
        """
        if self._last_read_at is not None and now - self._last_read_at >= SETTLE_US:
            self._record_silence(self._last_read_at, now, size, last_arrival)
        self._last_read_at = now if all_read else None
        self._bytes_since_empty += size
        if not all_read:
            self._empty_at = None
            self.record_full(now)
        elif self._empty_at is None:
            self._start_span(now)
        elif now - self._empty_at >= SETTLE_US:
            if self._bytes_since_empty < ROOM_BYTES:
                self._move_on(now, self._empty_at)
            self._start_span(now)

    def record_pause(self, now: int) -> None:
        """Takes note that nothing is read from `now` on."""
        if self._last_read_at is not None and now - self._last_read_at >= SETTLE_US:
            self._move_on(now, now)
        self._last_read_at = None

    def _record_silence(
        self, silent_since: int, now: int, size: int, last_arrival: Callable[[], int]
    ) -> None:
        """Moves on after a silence, unless the bytes may have arrived at its start and filled the room."""
        if size < ROOM_BYTES:
            self._move_on(now, now)
            return
        arrived_at = last_arrival()
        if arrived_at - silent_since >= SETTLE_US:
            self._move_on(now, arrived_at - SETTLE_US)

    def _move_on(self, now: int, since: int) -> None:
        if now >= self._full_until:
            self.since = max(self.since, since)

    def _start_span(self, now: int) -> None:
        self._empty_at = now
        self._last_read_at = now
        self._bytes_since_empty = 0
