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
from dataclasses import dataclass
from datetime import UTC, datetime
from io import BytesIO
from pathlib import Path

from ingress_testbed.experiments.base import Experiment
from ingress_testbed.lab import Lab
from ingress_testbed.real import PACKAGES
from ingress_testbed.results import Point, Result, write
from ingress_testbed.worker import PROJECT_ROOT

Report = Callable[[Point, float], None]  # called with each play and the seconds that it took


class ProgramError(Exception):
    """There is no such commit, or no program in it."""


class SweepInterruptedError(Exception):
    """Ctrl-C came: the result holds what was played so far."""


@dataclass(frozen=True, slots=True)
class Program:
    """The ingress under test.

    Attributes:
        root: The folder of its package.
        commit: The commit that holds it.
        is_modified: Whether it differs from that commit.
    """

    root: Path
    commit: str
    is_modified: bool


@dataclass(frozen=True, slots=True)
class Sweep:
    """What is to be played.

    Attributes:
        experiment: What to play.
        sizes: At which sizes.
        repetitions: How often each.
        seed: Of all draws.
        options: The experiment's options.
        commit: The commit of the ingress under test; None for this tree's own.
        command: The command that plays it, for the result.
    """

    experiment: Experiment
    sizes: list[int]
    repetitions: int
    seed: int
    options: dict[str, float]
    commit: str | None
    command: str


def play(sweep: Sweep, path: Path, report: Report = lambda point, seconds: None) -> Result:
    """Plays a sweep; writes the result to `path` after each play, each time completely.

    Raises:
        SweepInterruptedError: Ctrl-C came.
        ProgramError: There is no ingress to test.
    """

    async def play_until_interrupted() -> Result:
        task = asyncio.current_task()
        assert task
        asyncio.get_running_loop().add_signal_handler(signal.SIGINT, task.cancel)
        try:
            return await _play(sweep, path, report)
        except asyncio.CancelledError:
            raise SweepInterruptedError from None

    return asyncio.run(play_until_interrupted())


@contextmanager
def checked_out(commit: str | None) -> Iterator[Program]:
    """Provides the ingress under test: this tree's own, or a temporary copy of what `commit` holds.

    Raises:
        ProgramError: There is no such commit, or no program in it.
    """
    if commit is None:
        is_modified = bool(_git("status", "--porcelain", "--", "quota_ingress"))
        name = _git("log", "-1", "--format=%h", "--abbrev=10", "HEAD", "--", "quota_ingress")
        yield Program(PROJECT_ROOT, name, is_modified)
        return
    name = _git("rev-parse", "--short=10", "--verify", f"{commit}^{{commit}}")
    packages = [package for package in _git("ls-tree", "--name-only", name).split() if package in PACKAGES]
    if not packages:
        raise ProgramError(f"commit {name} has no program")
    command = ["git", "archive", name, *packages]
    archive = subprocess.run(command, cwd=PROJECT_ROOT, capture_output=True, check=True)
    with tempfile.TemporaryDirectory() as folder, tarfile.open(fileobj=BytesIO(archive.stdout)) as files:
        files.extractall(folder, filter="data")
        yield Program(Path(folder), name, is_modified=False)


async def _play(sweep: Sweep, path: Path, report: Report) -> Result:
    with checked_out(sweep.commit) as program, tempfile.TemporaryDirectory() as caches:
        result = _empty_result(sweep, program)
        rng = random.Random(sweep.seed)
        write(result, path)
        # Every size in turn, so that a busy time of the machine does not spoil a single size.
        for repetition in range(sweep.repetitions):
            for size in sweep.sizes:
                seed = rng.getrandbits(32)
                began = time.monotonic()
                async with Lab(program.root, seed, sweep.options, Path(caches)) as lab:
                    figures = await sweep.experiment.play(lab, size)
                point = Point(size, repetition, figures)
                result.points.append(point)
                result.update_statistics()
                result.is_complete = len(result.points) == sweep.repetitions * len(sweep.sizes)
                write(result, path)
                report(point, time.monotonic() - began)
        return result


def _empty_result(sweep: Sweep, program: Program) -> Result:
    return Result(
        experiment=sweep.experiment.name,
        command=sweep.command,
        program=program.commit,
        is_modified=program.is_modified,
        size_name=sweep.experiment.size_name,
        seed=sweep.seed,
        started=datetime.now(UTC).isoformat(timespec="seconds"),
        machine=_describe_machine(),
        options=dict(sweep.options),
    )


def _describe_machine() -> dict[str, str]:
    load, _, _ = os.getloadavg()
    return {
        "processors": str(os.cpu_count()),
        "system": platform.system(),
        "python": platform.python_version(),
        "load_at_start": f"{load:.1f}",
    }


def _git(*arguments: str) -> str:
    command = ["git", *arguments]
    done = subprocess.run(command, cwd=PROJECT_ROOT, capture_output=True, text=True, check=False)
    if done.returncode:
        raise ProgramError(done.stderr.strip().splitlines()[-1])
    return done.stdout.strip()
