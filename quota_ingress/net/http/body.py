"""Buffer for a message body being forwarded, with back-pressure from the sending to the receiving side."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from quota_ingress.net.http.memory_budget import MemoryBudget

# Longer bodies are streamed through a buffer of this size. Request bodies are buffered up to a higher limit
# while the memory budget allows it.
BODY_BUFFER_BYTES = 64 * 1024
PART_BYTES = 32 * 1024  # maximum size of one write


def _do_nothing() -> None:
    pass


class EncodedPart(NamedTuple):
    """Part of a body, encoded for writing to a connection."""

    data: bytes
    end: int  # body offset just past this part


class Body:
    """Body bytes that have been received and not yet discarded.

    The receiving side appends bytes and is notified by `on_drained`. The sending side reads and discards
    bytes and is notified by `on_update`. Offsets count bytes from the start of the body.
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
        "reserved",
        "truncated",
    )

    def __init__(self, budget: MemoryBudget) -> None:
        self.budget = budget
        self.data = bytearray()
        self.declared_length: int | None = 0  # None: delimited by the last chunk or by connection close
        self.received = 0
        self.discarded = 0
        self.reserved = 0  # bytes held beside the buffer until the release, such as the head of the message
        self.complete = False
        self.truncated = False  # the remaining bytes will never be received
        self.released = False  # the buffer has been freed; further bytes are only counted
        self.chunked = False  # forwarded with chunked transfer coding
        self.on_update: Callable[[], object] = _do_nothing  # called on new bytes, the end, or truncation
        self.on_drained: Callable[[], object] = _do_nothing  # called when bytes are discarded

    @property
    def buffered(self) -> int:
        """Number of bytes held in memory."""
        return len(self.data)

    @property
    def held(self) -> int:
        """Number of bytes that the budget counts."""
        return self.reserved + len(self.data)

    @property
    def stream_limit(self) -> int:
        """Number of buffered bytes above which no more of a streamed body is read; 0 without memory left."""
        return 0 if self.budget.is_exhausted else BODY_BUFFER_BYTES

    @property
    def is_long(self) -> bool:
        """Whether the received or declared length exceeds `BODY_BUFFER_BYTES`."""
        return self.received > BODY_BUFFER_BYTES or (self.declared_length or 0) > BODY_BUFFER_BYTES

    def reserve(self, count: int) -> None:
        """Counts `count` further bytes in the budget until the release."""
        if not self.released:
            self.reserved += count
            self.budget.used += count

    def append(self, part: bytes) -> None:
        """Adds received bytes. After `release`, the bytes are counted but not stored."""
        self.received += len(part)
        if not self.released:
            self.data += part
            self.budget.used += len(part)

    def read(self, offset: int, max_bytes: int = PART_BYTES) -> bytes:
        """Returns up to `max_bytes` buffered bytes from `offset`, which must not have been discarded."""
        start = offset - self.discarded
        return bytes(memoryview(self.data)[start : start + max_bytes])

    def discard(self, before: int) -> None:
        """Frees the bytes before the offset `before` and calls `on_drained`."""
        if before > self.discarded and not self.released:
            count = before - self.discarded
            self.budget.used -= count
            del self.data[:count]
            self.discarded = before
            self.on_drained()

    def release(self) -> None:
        """Frees the buffer and removes both callbacks. Bytes received later are only counted."""
        if not self.released:
            self.released = True
            self.budget.used -= self.held
            self.reserved = 0
            self.discarded += len(self.data)
            self.data = bytearray()
            self.on_drained()
        self.on_update = _do_nothing
        self.on_drained = _do_nothing

    def truncate(self) -> None:
        """Marks an incomplete body as truncated and calls `on_update`. Does nothing if it is complete."""
        if not self.complete:
            self.truncated = True
            self.on_update()

    def detach_sender(self) -> None:
        """Stops notifying the sending side. The next attempt that sends the body sets `on_update` again."""
        self.on_update = _do_nothing

    def encode(self, offset: int) -> EncodedPart:
        """Returns the next part from `offset`, as a chunk if `chunked` is set.

        The last chunk follows the last byte of a complete body.
        """
        part = self.read(offset)
        end = offset + len(part)
        if not self.chunked:
            return EncodedPart(part, end)
        data = b"%x\r\n%b\r\n" % (len(part), part) if part else b""
        if self.complete and end == self.received:
            data += b"0\r\n\r\n"
        return EncodedPart(data, end)
