"""Records event loop delays, with the CPU time that distinguishes a busy process from a suspended one."""

from __future__ import annotations

import time

from quota_ingress.net.engine.send_rules import WRITE_DELAY
from quota_ingress.net.event_log import EventLog

US_PER_S = 1e6


class ProcessDelayMonitor:
    """Records periodic calls that are more than WRITE_DELAY late in the event log, with the CPU time used.

    The CPU time is that since the previous call; little of it shows that the machine did not run the process.
    """

    def __init__(self, event_log: EventLog, interval_us: int) -> None:
        self._event_log = event_log
        self._interval_us = interval_us
        self._last_call_at: int | None = None  # us
        self._last_cpu_s = 0.0

    def record_call(self, now: int) -> None:
        """Records the periodic call at `now` (us), and an event if it is more than WRITE_DELAY late."""
        cpu_s = time.process_time()
        if self._last_call_at is not None:
            late = now - self._last_call_at - self._interval_us
            if late > WRITE_DELAY:
                cpu_us = int(US_PER_S * (cpu_s - self._last_cpu_s))
                self._event_log.event("process", "event loop late", late_us=late, cpu_us=cpu_us)
        self._last_call_at = now
        self._last_cpu_s = cpu_s
