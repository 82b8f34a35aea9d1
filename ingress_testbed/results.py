"""The result file of a sweep: versioned JSON that is replaced atomically.

A figure's unit is the last word of its name (`ms`, `us`, `s`, `mb`, `b` for bytes, `n` for a count, `part`
for a fraction of one). Figures with `cpu` are CPU time; other times are wall time and depend on the machine's
load.
"""

from __future__ import annotations

import contextlib
import os
import tempfile
from pathlib import Path

import msgspec

from ingress_testbed.slopes import MIN_SIZES, Slope, fit_line, medians

FORMAT = "fleetlab sweep"  # stays: files of earlier versions have it
VERSION = 1
FILE_MODE = 0o644


class ResultError(Exception):
    """The file is not a readable result file of FORMAT and VERSION."""


class Point(msgspec.Struct):
    """The figures of one repetition at one size."""

    size: float
    repetition: int
    figures: dict[str, float]


class Result(msgspec.Struct):
    """A sweep and its figures. Keys of the file that differ from the attribute are set by `msgspec.field`.

    Attributes:
        experiment: Name of the experiment.
        command: The command line that ran the sweep.
        program: The commit of the ingress that was measured.
        is_modified: Whether the ingress's source differed from that commit.
        size_name: What the sizes count.
        seed: Seed of all random draws.
        started: Start time in UTC, ISO 8601.
        machine: Properties of the machine, by name.
        options: Values of the experiment's options.
        points: The figures of each repetition at each size.
        medians: Median over the repetitions, by figure, then by size.
        slopes: Fitted line by figure, for figures with MIN_SIZES sizes or more.
        is_complete: Whether all repetitions at all sizes were played.
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
        """Recomputes `medians` and `slopes` from `points`."""
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
    """Writes a temporary file and renames it to `path`: readers see either the old or the new content."""
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
    """Reads a result file.

    Raises:
        ResultError: The file is unreadable, malformed or of another version; the message is one line.
    """
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultError(f"{path.name}: {error}") from None
    if result.format != FORMAT or result.version != VERSION:
        found = f"{result.format!r} version {result.version}"
        raise ResultError(f"{path.name}: {found}, not {FORMAT!r} version {VERSION}")
    return result
