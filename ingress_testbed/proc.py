"""CPU time, with nanosecond resolution, and memory, current and peak, of a process from /proc."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

POLL_INTERVAL = 0.05  # s between two readings of a process's CPU time
IDLE_CPU = 0.0004  # s of CPU in one interval below which a process counts as idle
IDLE_INTERVALS = 6  # consecutive idle intervals until the process counts as settled


def cpu(pid: int) -> float:
    """Returns the seconds of CPU, user and system, of all live threads; 0 if the process does not exist."""
    nanoseconds = 0
    for task in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):
            nanoseconds += int(task.read_text().split()[0])
    return nanoseconds / 1e9


def memory(pid: int) -> tuple[float, float]:
    """Returns the resident memory in MB: the current value and the peak."""
    resident_mb = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            resident_mb[name] = int(value.split()[0]) / 1024
    return resident_mb["VmRSS"], resident_mb["VmHWM"]


def is_running(pid: int) -> bool:
    """Returns whether the process is running or runnable now; False if it does not exist."""
    with contextlib.suppress(OSError):
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "R"
    return False


async def wait_until_idle(pid: int, timeout: float = 60.0) -> bool:
    """Waits until a process uses almost no CPU for IDLE_INTERVALS; returns False on a time-out (s)."""
    loop = asyncio.get_running_loop()
    end, last_cpu, idle_intervals = loop.time() + timeout, cpu(pid), 0
    while loop.time() < end:
        await asyncio.sleep(POLL_INTERVAL)
        current_cpu = cpu(pid)
        idle_intervals = (
            idle_intervals + 1 if current_cpu - last_cpu < IDLE_CPU and not is_running(pid) else 0
        )
        last_cpu = current_cpu
        if idle_intervals >= IDLE_INTERVALS:
            return True
    return False
