"""Limit on the memory used by the buffers of all connections together."""

from __future__ import annotations

BUDGET_FRACTION = 0.25  # of the memory limit less PROCESS_MEMORY_MB
PROCESS_MEMORY_MB = 20  # needed by the process itself
MIN_BUDGET_MB = 2
MAX_BUDGET_MB = 16
REFUSAL_FRACTION = 0.5  # likewise; the rest is for what freed buffers leave unusable
BYTES_PER_MB = 1e6
READ_BYTES = 64 * 1024  # read from a connection at once
EXHAUSTED_READ_BYTES = 16 * 1024  # instead, while the budget is exhausted; a whole head
OVERCOMMITTED_READ_BYTES = 4 * 1024  # instead, while it is overcommitted


class MemoryBudget:
    """The number of bytes in the buffers of all connections, and its capacity in bytes.

    Heads, bodies and write buffers update `used`; `connection_bytes` is what the objects of all connections
    need beside them. The capacity is not enforced here. While the budget `is_exhausted`, less is read from a
    connection at once, streamed bodies are not read ahead of the peer that they are sent to, and request
    bodies longer than BODY_BUFFER_BYTES are streamed instead of buffered. While it `is_overcommitted`, still
    less is read, responses are streamed, and requests that are not small are rejected.
    """

    def __init__(self, memory_limit_mb: float = 1024.0) -> None:
        """Derives the capacity from `memory_limit_mb`, the memory limit of the process."""
        self._memory_limit_mb = memory_limit_mb
        self.capacity = 0
        self.used = 0
        self.connection_bytes = 0
        self._refusal_limit = 0
        self._read_buffer = memoryview(bytearray(READ_BYTES))
        self._allocate(memory_limit_mb)

    def set_shared(self, shared: bool) -> None:
        """Halves the budget while another process of this ingress holds memory under the same limit."""
        self._allocate(self._memory_limit_mb / 2 if shared else self._memory_limit_mb)

    def _allocate(self, limit_mb: float) -> None:
        spare_mb = limit_mb - PROCESS_MEMORY_MB
        budget_mb = min(MAX_BUDGET_MB, max(MIN_BUDGET_MB, BUDGET_FRACTION * spare_mb))
        self.capacity = int(BYTES_PER_MB * budget_mb)
        self._refusal_limit = int(BYTES_PER_MB * max(2 * budget_mb, REFUSAL_FRACTION * spare_mb))

    @property
    def is_exhausted(self) -> bool:
        """Whether buffered bytes have reached the capacity, so that less should be buffered."""
        return self.used + self.connection_bytes >= self.capacity

    @property
    def is_overcommitted(self) -> bool:
        """Whether buffered bytes have come close to the memory limit, so that no further body fits."""
        return self.used + self.connection_bytes >= self._refusal_limit

    def read_buffer(self) -> memoryview:
        """Returns the buffer for the next read from a connection. All connections share it."""
        if self.is_overcommitted:
            return self._read_buffer[:OVERCOMMITTED_READ_BYTES]
        return self._read_buffer[:EXHAUSTED_READ_BYTES] if self.is_exhausted else self._read_buffer

    def bytes_read(self, count: int) -> bytes:
        """Returns a copy of the first `count` bytes of the read buffer."""
        return bytes(self._read_buffer[:count])
