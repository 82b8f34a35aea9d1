"""The limits of the memory budget."""

from __future__ import annotations

import pytest

from quota_ingress.net.http import MemoryBudget
from quota_ingress.net.http.memory_budget import EXHAUSTED_READ_BYTES, OVERCOMMITTED_READ_BYTES, READ_BYTES


@pytest.mark.parametrize("limit_mb", [32, 64, 192])
def test_what_the_buffers_hold_when_requests_are_rejected_leaves_room_for_the_process(limit_mb: int) -> None:
    budget = MemoryBudget(limit_mb)
    assert len(budget.read_buffer()) == READ_BYTES
    budget.used = budget.capacity
    assert budget.is_exhausted and not budget.is_overcommitted
    assert len(budget.read_buffer()) == EXHAUSTED_READ_BYTES
    while not budget.is_overcommitted:
        budget.connection_bytes += 100_000
    assert len(budget.read_buffer()) == OVERCOMMITTED_READ_BYTES
    assert budget.used + budget.connection_bytes < 1e6 * limit_mb / 2


def test_two_processes_of_an_upgrade_share_the_memory() -> None:
    """Guards against two processes that each use what the limit allows to one."""
    budget, half = MemoryBudget(128), MemoryBudget(64)
    whole = budget.capacity
    budget.set_shared(True)
    assert budget.capacity == half.capacity < whole
    budget.used = half.used = 22_000_000
    assert budget.is_overcommitted and half.is_overcommitted
    budget.set_shared(False)
    assert budget.capacity == whole and not budget.is_overcommitted
