"""Distinguishes a process that was held up by the machine from one that was busy."""

from __future__ import annotations

import time

from quota_ingress.net.engine.send_rules import WRITE_DELAY
from quota_ingress.net.event_log import EventLog

US_PER_S = 1e6


class ProcessDelayMonitor:
    """Notes in the event log when a periodic call is late, with the processor time that was used."""

    def __init__(self, event_log: EventLog, interval_us: int) -> None:
        self._event_log = event_log
        self._interval_us = interval_us
        self._last_call_at: int | None = None  # us
        self._last_cpu_s = 0.0

    def note_call(self, now: int) -> None:
        """Notes the periodic call at the moment `now` (us)."""
        cpu_s = time.process_time()
        if self._last_call_at is not None:
            late = now - self._last_call_at - self._interval_us
            if late > WRITE_DELAY:
                cpu_us = int(US_PER_S * (cpu_s - self._last_cpu_s))
                self._event_log.event("process", "event loop late", late_us=late, cpu_us=cpu_us)
        self._last_call_at = now
        self._last_cpu_s = cpu_s
