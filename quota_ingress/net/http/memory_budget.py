"""Limit on the memory used by the buffered bodies of all messages together."""

from __future__ import annotations

BUDGET_FRACTION = 0.25  # of the memory limit less PROCESS_MEMORY_MB
PROCESS_MEMORY_MB = 20  # needed by the process itself
MIN_BUDGET_MB = 2
MAX_BUDGET_MB = 16
BYTES_PER_MB = 1e6


class MemoryBudget:
    """The number of bytes buffered by all bodies, which update `used`, and its capacity in bytes.

    The capacity is not enforced here. While the budget `is_exhausted`, streamed responses are not read ahead
    of the client, and request bodies longer than BODY_BUFFER_BYTES are streamed instead of buffered.
    """

    def __init__(self, memory_limit_mb: float = 1024.0) -> None:
        """Derives the capacity from `memory_limit_mb`, the memory limit of the process."""
        spare_mb = memory_limit_mb - PROCESS_MEMORY_MB
        budget_mb = min(MAX_BUDGET_MB, max(MIN_BUDGET_MB, BUDGET_FRACTION * spare_mb))
        self.capacity = int(BYTES_PER_MB * budget_mb)
        self.used = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether buffered bytes have reached the capacity, so that less should be buffered."""
        return self.used >= self.capacity
