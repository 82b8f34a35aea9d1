"""Determines when the last byte of a streamed request body arrived, while it may be unread in the socket."""

from __future__ import annotations

import asyncio
import re

from quota_ingress.net.http import MAX_TRAILER_BYTES, Body
from quota_ingress.net.socket_state import peek, unread_bytes

LAST_CHUNK = b"0\r\n\r\n"
END_OF_CHUNKS = re.compile(rb"(?:\A|\r\n)0+[ \t]*(?:;[^\r\n]*)?\r\n(?:[^\r\n]+\r\n)*\r\n\Z")


class BodyArrival:
    """The arrival of one streamed body. While reading is paused, `check` is called from time to time.

    Reading pauses while the backend accepts no more, so the last byte may wait in the socket for long. The
    time of a request runs from its arrival there.
    """

    __slots__ = ("_body", "_missing_at")

    def __init__(self, body: Body) -> None:
        self._body = body
        self._missing_at: int | None = None  # us: the last time at which the last byte had not arrived

    def check(self, transport: asyncio.Transport, now: int) -> int | None:
        """Returns the earliest time (us) at which the last byte may have arrived; None if it has not.

        `now` is the present time of the process clock in us.
        """
        if self._may_be_unread(transport):
            return now if self._missing_at is None else self._missing_at
        self._missing_at = now
        return None

    def latest(self, arrived_at: int) -> int:
        """Returns the later of `arrived_at` (us) and the last time at which the last byte was missing."""
        return max(arrived_at, self._missing_at or 0)

    def _may_be_unread(self, transport: asyncio.Transport) -> bool:
        """Returns whether the rest of the body is unread in the socket.

        Without a declared length, it is if the unread bytes end with what ends a chunked body.
        """
        unread = unread_bytes(transport)
        if self._body.declared_length is not None:
            return self._body.received + unread >= self._body.declared_length
        if not unread:
            return False
        try:
            data = peek(transport, unread)
        except OSError:  # reset by the client, which the event loop reports
            return False
        return LAST_CHUNK.endswith(data) or bool(END_OF_CHUNKS.search(data[-MAX_TRAILER_BYTES:]))
