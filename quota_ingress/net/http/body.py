"""The body of a message on its way through, with back-pressure between its writer and its reader."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from quota_ingress.net.http.memory_budget import MemoryBudget

BODY_BUFFER_BYTES = 64 * 1024  # a longer body is streamed, and so much of it buffered at a time
PART_BYTES = 64 * 1024  # written at a time


def _do_nothing() -> None:
    pass


class EncodedPart(NamedTuple):
    """A part of a body as it is written to a connection."""

    data: bytes
    end: int  # offset in the body of the byte behind it


class Body:
    """The bytes of a body that have been received and not discarded.

    The receiving side appends and is called back by `on_drained`; the sending side reads, discards, and is
    called back by `on_update`. Offsets count bytes from the start of the body.
    """

    __slots__ = (
        "budget",
        "chunked",
        "complete",
        "data",
        "declared_length",
        "discarded",
        "on_drained",
        "on_update",
        "received",
        "released",
        "truncated",
    )

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.data = bytearray()
        self.declared_length: int | None = 0  # None: ends with the last chunk, or with the connection
        self.received = 0
        self.discarded = 0
        self.complete = False
        self.truncated = False  # its end will never be received
        self.released = False  # nobody reads it any more
        self.chunked = False  # it is forwarded in chunks
        self.on_update: Callable[[], object] = _do_nothing  # on more bytes, the end, or truncation
        self.on_drained: Callable[[], object] = _do_nothing  # on a discard

    @property
    def buffered(self) -> int:
        """The number of bytes in memory."""
        return len(self.data)

    @property
    def is_long(self) -> bool:
        """Whether it is too long to be buffered whole."""
        return self.received > BODY_BUFFER_BYTES or (self.declared_length or 0) > BODY_BUFFER_BYTES

    def append(self, part: bytes) -> None:
        """Adds what has been received; a released body only counts it."""
        self.received += len(part)
        if not self.released:
            self.data += part
            self.budget.used += len(part)

    def read(self, offset: int, max_bytes: int = PART_BYTES) -> bytes:
        """Returns the buffered bytes from `offset` on, which must not have been discarded."""
        start = offset - self.discarded
        return bytes(memoryview(self.data)[start : start + max_bytes])

    def discard(self, before: int) -> None:
        """Forgets the bytes before that offset."""
        if before > self.discarded and not self.released:
            count = before - self.discarded
            self.budget.used -= count
            del self.data[:count]
            self.discarded = before
            self.on_drained()

    def release(self) -> None:
        """Frees all that is buffered; what is still received is only counted."""
        if not self.released:
            self.released = True
            self.budget.used -= len(self.data)
            self.discarded += len(self.data)
            self.data = bytearray()
            self.on_drained()
        self.on_update = _do_nothing
        self.on_drained = _do_nothing

    def truncate(self) -> None:
        """Notes that its end will never be received, unless it has been."""
        if not self.complete:
            self.truncated = True
            self.on_update()

    def detach_reader(self) -> None:
        """Stops notifying the reader; another one may follow."""
        self.on_update = _do_nothing

    def encode(self, offset: int) -> EncodedPart:
        """Returns the next part from `offset` on as it is written, with the last chunk behind the end."""
        part = self.read(offset)
        end = offset + len(part)
        if not self.chunked:
            return EncodedPart(part, end)
        data = b"%x\r\n%b\r\n" % (len(part), part) if part else b""
        if self.complete and end == self.received:
            data += b"0\r\n\r\n"
        return EncodedPart(data, end)
