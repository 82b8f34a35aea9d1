"""Records when the memory budget is exhausted or overcommitted, with the resident memory of the process."""

from __future__ import annotations

import logging
import os
from enum import Enum

from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import MemoryBudget

STATM_PATH = "/proc/self/statm"
RESIDENT_FIELD = 1  # of STATM_PATH: resident pages, those of files included
SHARED_FIELD = 2  # resident pages of files and shared memory
BYTES_PER_MB = 1e6

log = logging.getLogger(__name__)


class MemoryState(Enum):
    """What the memory budget allows."""

    SUFFICIENT = "sufficient"
    EXHAUSTED = "exhausted"  # less is read from each peer at once
    OVERCOMMITTED = "overcommitted"  # requests with bodies are rejected


class MemoryMonitor:
    """Writes an event when the state of the memory budget has changed since the last call of `record`."""

    def __init__(self, budget: MemoryBudget, event_log: EventLog) -> None:
        self._budget = budget
        self._event_log = event_log
        self._state = MemoryState.SUFFICIENT

    def record(self) -> None:
        """Compares the present state with the last one; to be called periodically."""
        state = self._current_state()
        if state is self._state:
            return
        self._state = state
        used_mb = round(self._budget.used / BYTES_PER_MB, 1)
        resident_mb = round(anonymous_bytes() / BYTES_PER_MB, 1)
        self._event_log.event("memory", state.value, used_mb=used_mb, resident_mb=resident_mb)
        if state is MemoryState.OVERCOMMITTED:
            log.warning(
                "memory: %.1f MB in buffers, %.1f MB resident: rejecting requests with bodies",
                used_mb,
                resident_mb,
            )

    def _current_state(self) -> MemoryState:
        if self._budget.is_overcommitted:
            return MemoryState.OVERCOMMITTED
        return MemoryState.EXHAUSTED if self._budget.is_exhausted else MemoryState.SUFFICIENT


def anonymous_bytes() -> int:
    """Returns the resident memory of this process without pages of files; 0 if the kernel does not tell."""
    try:
        with open(STATM_PATH, encoding="ascii") as file:
            fields = file.read().split()
    except OSError:
        return 0
    pages = int(fields[RESIDENT_FIELD]) - int(fields[SHARED_FIELD])
    return pages * os.sysconf("SC_PAGE_SIZE")
