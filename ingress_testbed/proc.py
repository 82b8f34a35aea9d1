"""What a process has used, from /proc: CPU to the nanosecond, memory now and at its highest."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

LOOK = 0.05  # s between looks whether a process has come to rest
STILL = 0.0004  # s of CPU in one look under which it counts as resting
LOOKS = 6  # at rest one after another


def cpu(pid: int) -> float:
    """S of CPU, of all its threads alive, user and system; 0 for a process that is gone."""
    used = 0
    for task in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        with contextlib.suppress(OSError):
            used += int(task.read_text().split()[0])
    return used / 1e9


def memory(pid: int) -> tuple[float, float]:
    """MB resident now, and at the highest."""
    held = {}
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        name, _, value = line.partition(":")
        if name in ("VmRSS", "VmHWM"):
            held[name] = int(value.split()[0]) / 1024
    return held["VmRSS"], held["VmHWM"]


def runs(pid: int) -> bool:
    """It wants the processor at this moment."""
    with contextlib.suppress(OSError):
        return Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0] == "R"
    return False


async def rest(pid: int, longest: float = 60.0) -> bool:
    """Returns once the process has used next to nothing for a while; False if that never came."""
    loop = asyncio.get_running_loop()
    end, last, still = loop.time() + longest, cpu(pid), 0
    while loop.time() < end:
        await asyncio.sleep(LOOK)
        now = cpu(pid)
        still = still + 1 if now - last < STILL and not runs(pid) else 0
        last = now
        if still >= LOOKS:
            return True
    return False
