"""The memory that the bodies of all messages may use together."""

from __future__ import annotations

BUDGET_FRACTION = 0.25  # of the memory limit beyond what the process itself needs
PROCESS_MEMORY_MB = 20
MIN_BUDGET_MB = 2
MAX_BUDGET_MB = 16
BYTES_PER_MB = 1e6


class MemoryBudget:
    """Counts the bytes that all bodies hold, against a capacity in bytes.

    Nothing is refused for lack of it: whoever reads a body pauses while it `is_exhausted`.
    """

    def __init__(self, memory_limit_mb: float = 1024.0) -> None:
        """Sets the capacity by the memory limit of the process in MB."""
        spare_mb = memory_limit_mb - PROCESS_MEMORY_MB
        budget_mb = min(MAX_BUDGET_MB, max(MIN_BUDGET_MB, BUDGET_FRACTION * spare_mb))
        self.capacity = int(BYTES_PER_MB * budget_mb)
        self.used = 0

    @property
    def is_exhausted(self) -> bool:
        """Whether no further bytes should be read."""
        return self.used >= self.capacity
