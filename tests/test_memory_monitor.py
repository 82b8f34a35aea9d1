"""The events about the state of the memory budget."""

from __future__ import annotations

from quota_ingress.net.downstream.memory_monitor import MemoryMonitor, anonymous_bytes
from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import MemoryBudget


def test_each_change_of_the_state_is_recorded_once() -> None:
    budget, log = MemoryBudget(80), EventLog()
    monitor = MemoryMonitor(budget, log)
    for used in (0, budget.capacity, 1_000_000_000, 1_000_000_000, 0):
        budget.used = used
        monitor.record()
    assert log.counts == {("memory", state): 1 for state in ("exhausted", "overcommitted", "sufficient")}


def test_the_resident_memory_leaves_out_files() -> None:
    assert 1_000_000 < anonymous_bytes() < 1_000_000_000
