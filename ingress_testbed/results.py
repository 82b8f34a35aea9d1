"""One data file a run: JSON, versioned, written completely or not at all.

A figure's unit is in its last word (`ms`, `us`, `s`, `mb`, `b` for bytes, `n` for a count, `part` of one).
Figures with `cpu` are CPU time; other times are wall time and suffer from what else ran.
"""

from __future__ import annotations

import contextlib
import os
import tempfile
from pathlib import Path

import msgspec

from ingress_testbed.slopes import MIN_SIZES, Slope, fit_line, medians

FORMAT = "fleetlab sweep"  # as in the files that earlier versions wrote
VERSION = 1
FILE_MODE = 0o644


class ResultError(Exception):
    """The file cannot be read as a result of this version."""


class Point(msgspec.Struct):
    """The figures of one repetition at one size."""

    size: float
    repetition: int
    figures: dict[str, float]


class Result(msgspec.Struct):
    """A run and its figures. The keys of the file are kept where attributes have other names.

    Attributes:
        experiment: Its name.
        command: The command that played it.
        program: The commit of the ingress that was measured.
        is_modified: Whether its tree differed from that commit.
        size_name: What the sizes count.
        seed: Of all draws.
        started: When it began, in UTC.
        machine: The machine's properties.
        options: The experiment's options.
        points: Each repetition at each size.
        medians: By figure, then by size.
        slopes: By figure, where three sizes or more were played.
        is_complete: Whether it was not stopped early.
        format: FORMAT.
        version: VERSION.
    """

    experiment: str
    command: str
    program: str
    is_modified: bool = msgspec.field(name="changed")
    size_name: str = msgspec.field(name="over")
    seed: int
    started: str
    machine: dict[str, str]
    options: dict[str, float]
    points: list[Point] = []
    medians: dict[str, dict[str, float]] = {}
    slopes: dict[str, Slope] = {}
    is_complete: bool = msgspec.field(name="whole", default=False)
    format: str = FORMAT
    version: int = VERSION

    def update_statistics(self) -> None:
        """Computes medians and slopes from the points."""
        series: dict[str, list[tuple[float, float]]] = {}
        for point in self.points:
            for name, value in point.figures.items():
                series.setdefault(name, []).append((point.size, value))
        self.medians = {
            name: {f"{size:g}": value for size, value in medians(points).items()}
            for name, points in series.items()
        }
        self.slopes = {
            name: fit_line(points) for name, points in series.items() if len(self.medians[name]) >= MIN_SIZES
        }


def write(result: Result, path: Path) -> None:
    """Writes a file beside `path` that takes its place at the end: a reader sees the old or the new one."""
    text = msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n"
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as out:
            out.write(text)
        os.chmod(name, FILE_MODE)
        os.replace(name, path)
    except BaseException:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise


def read(path: Path) -> Result:
    """Reads a result.

    Raises:
        ResultError: It is no result, or one of another version; the message is one line.
    """
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultError(f"{path.name}: {error}") from None
    if result.format != FORMAT or result.version != VERSION:
        found = f"{result.format!r} version {result.version}"
        raise ResultError(f"{path.name}: {found}, not {FORMAT!r} version {VERSION}")
    return result
