"""Runs an experiment at several sizes, several times each, and writes the figures to one result file."""

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

Report = Callable[[Point, float], None]  # called with each repetition's point and its duration in s


class ProgramError(Exception):
    """The commit does not exist, or it contains no ingress package."""


class SweepInterruptedError(Exception):
    """SIGINT stopped the sweep; the result file holds the repetitions that were finished."""


@dataclass(frozen=True, slots=True)
class Program:
    """The ingress under test.

    Attributes:
        root: The folder that contains its package.
        commit: Abbreviated id of the commit that it comes from.
        is_modified: Whether the work tree differs from that commit.
    """

    root: Path
    commit: str
    is_modified: bool


@dataclass(frozen=True, slots=True)
class Sweep:
    """The parameters of a sweep.

    Attributes:
        experiment: The experiment to run.
        sizes: The sizes to run it at.
        repetitions: Repetitions at each size.
        seed: Seed of all random draws.
        options: Values of the experiment's options.
        commit: The commit of the ingress under test; None for the work tree.
        command: The equivalent command line, for the result file.
    """

    experiment: Experiment
    sizes: list[int]
    repetitions: int
    seed: int
    options: dict[str, float]
    commit: str | None
    command: str


def play(sweep: Sweep, path: Path, report: Report = lambda point, seconds: None) -> Result:
    """Runs a sweep, and replaces the result file `path` after each repetition.

    Raises:
        SweepInterruptedError: SIGINT was received.
        ProgramError: The commit does not exist, or it contains no ingress package.
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
    """Provides the ingress under test: the work tree's, or a temporary checkout of `commit`.

    Raises:
        ProgramError: The commit does not exist, or it contains no ingress package.
    """
    if commit is None:
        is_modified = bool(_git("status", "--porcelain", "--", "quota_ingress"))
        name = _git("log", "-1", "--format=%h", "--abbrev=10", "HEAD", "--", "quota_ingress")
        yield Program(PROJECT_ROOT, name, is_modified)
        return
    name = _git("rev-parse", "--short=10", "--verify", f"{commit}^{{commit}}")
    packages = [package for package in _git("ls-tree", "--name-only", name).split() if package in PACKAGES]
    if not packages:
        raise ProgramError(f"commit {name} contains no ingress package, expected one of {PACKAGES}")
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
        # Sizes alternate, so that a period of high load on the machine does not distort all runs of one size.
        for repetition in range(sweep.repetitions):
            for size in sweep.sizes:
                seed = rng.getrandbits(32)
                started_at = time.monotonic()
                async with Lab(program.root, seed, sweep.options, Path(caches)) as lab:
                    figures = await sweep.experiment.play(lab, size)
                point = Point(size, repetition, figures)
                result.points.append(point)
                result.update_statistics()
                result.is_complete = len(result.points) == sweep.repetitions * len(sweep.sizes)
                write(result, path)
                report(point, time.monotonic() - started_at)
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
    completed = subprocess.run(command, cwd=PROJECT_ROOT, capture_output=True, text=True, check=False)
    if completed.returncode:
        raise ProgramError(completed.stderr.strip().splitlines()[-1])
    return completed.stdout.strip()
