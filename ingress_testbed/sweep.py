"""Plays an experiment over its sizes, several times each, and keeps what was played in one result file."""

from __future__ import annotations

import asyncio
import os
import platform
import random
import signal
import subprocess
import tarfile
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from datetime import UTC, datetime
from io import BytesIO
from pathlib import Path

from ingress_testbed.experiments.base import Experiment
from ingress_testbed.lab import Lab
from ingress_testbed.real import PACKAGES
from ingress_testbed.results import Point, Result, write
from ingress_testbed.worker import PROJECT_ROOT

Report = Callable[[Point, float], None]


class ProgramError(Exception):
    """There is no such commit, or no program in it."""


class Stopped(Exception):
    """By Ctrl-C: the result holds what was played so far."""


@contextmanager
def program(commit: str | None) -> Iterator[tuple[Path, str, bool]]:
    """The folder of the ingress under test, its commit, and whether it differs from that: this tree's own, or
    what `commit` of this repository held, laid out in a folder for the while.
    """
    if commit is None:
        changed = bool(_git("status", "--porcelain", "--", "quota_ingress"))
        yield (
            PROJECT_ROOT,
            _git("log", "-1", "--format=%h", "--abbrev=10", "HEAD", "--", "quota_ingress"),
            changed,
        )
        return
    name = _git("rev-parse", "--short=10", "--verify", f"{commit}^{{commit}}")
    packages = [package for package in _git("ls-tree", "--name-only", name).split() if package in PACKAGES]
    if not packages:
        raise ProgramError(f"commit {name} has no program")
    command = ["git", "archive", name, *packages]
    archive = subprocess.run(command, cwd=PROJECT_ROOT, capture_output=True, check=True)
    with tempfile.TemporaryDirectory() as folder, tarfile.open(fileobj=BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
        yield Path(folder), name, False


def _git(*words: str) -> str:
    done = subprocess.run(["git", *words], cwd=PROJECT_ROOT, capture_output=True, text=True, check=False)
    if done.returncode:
        raise ProgramError(done.stderr.strip().splitlines()[-1])
    return done.stdout.strip()


def play(
    experiment: Experiment,
    sizes: list[int],
    repeat: int,
    seed: int,
    options: dict[str, float],
    path: Path,
    commit: str | None,
    command: str,
    report: Report = lambda point, took: None,
) -> Result:
    """The file is written after each play, each time whole; Stopped if Ctrl-C came."""

    async def played() -> Result:
        task = asyncio.current_task()
        assert task
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, task.cancel)
        try:
            return await _play(experiment, sizes, repeat, seed, options, path, commit, command, report)
        except asyncio.CancelledError:
            raise Stopped from None

    return asyncio.run(played())


async def _play(
    experiment: Experiment,
    sizes: list[int],
    repeat: int,
    seed: int,
    options: dict[str, float],
    path: Path,
    commit: str | None,
    command: str,
    report: Report,
) -> Result:
    with program(commit) as (root, name, changed), tempfile.TemporaryDirectory() as caches:
        result = Result(
            experiment.name,
            command,
            name,
            changed,
            experiment.over,
            seed,
            datetime.now(UTC).isoformat(timespec="seconds"),
            _machine(),
            dict(options),
        )
        rng = random.Random(seed)
        write(result, path)
        for repetition in range(repeat):  # every size in turn: a busy while on the machine spoils no one size
            for size in sizes:
                drawn, began = rng.getrandbits(32), time.monotonic()
                async with Lab(root, drawn, options, Path(caches)) as lab:
                    figures = await experiment.play(lab, size)
                result.points.append(Point(size, repetition, figures))
                result.update_statistics()
                result.is_complete = len(result.points) == repeat * len(sizes)
                write(result, path)
                report(result.points[-1], time.monotonic() - began)
        return result


def _machine() -> dict[str, str]:
    busy = os.getloadavg()[0]
    return {
        "processors": str(os.cpu_count()),
        "system": platform.system(),
        "python": platform.python_version(),
        "load_at_start": f"{busy:.1f}",
    }
