"""One data file a run: JSON, versioned, written whole or not at all.

`command` played it; `program` is the commit of the ingress that was measured and `changed` whether its tree
differed from that; `over` names the size that was swept; `points` holds each repetition's figures, the unit
being in the figure's last words (`ms`, `us`, `s`, `mb`, `b` for bytes, `n` for a count, `part` of one);
figures with `cpu` are CPU time, other times are wall time and suffer from what else ran. `whole` is false
where the run was stopped early.
"""

from __future__ import annotations

import contextlib
import os
import tempfile
from pathlib import Path

import msgspec

from ingress_testbed.slopes import LEAST_SIZES, Slope, fitted, medians

FORMAT, VERSION = "fleetlab sweep", 1


class ResultError(Exception):
    """The file cannot be read as a result of this version."""


class Point(msgspec.Struct):
    size: float
    repetition: int
    figures: dict[str, float]


class Result(msgspec.Struct):
    experiment: str
    command: str
    program: str
    changed: bool
    over: str
    seed: int
    started: str  # UTC
    machine: dict[str, str]
    options: dict[str, float]
    points: list[Point] = []
    medians: dict[str, dict[str, float]] = {}  # by figure, then by size
    slopes: dict[str, Slope] = {}  # by figure, where three sizes or more were played
    whole: bool = False
    format: str = FORMAT
    version: int = VERSION

    def reckon(self) -> None:
        """Medians and slopes from the points."""
        names = list(dict.fromkeys(name for p in self.points for name in p.figures))
        series = {n: [(p.size, p.figures[n]) for p in self.points if n in p.figures] for n in names}
        self.medians = {n: {f"{s:g}": v for s, v in medians(series[n]).items()} for n in names}
        self.slopes = {n: fitted(series[n]) for n in names if len(self.medians[n]) >= LEAST_SIZES}


def write(result: Result, path: Path) -> None:
    """Through a file beside it that takes its place at the end: a reader sees the old one or the new one."""
    text = msgspec.json.format(msgspec.json.encode(result), indent=1) + b"\n"
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as out:
            out.write(text)
        os.chmod(name, 0o644)
        os.replace(name, path)
    except BaseException:
        with contextlib.suppress(OSError):
            os.unlink(name)
        raise


def read(path: Path) -> Result:
    """ResultError with one line where it is no result, or one of another version."""
    try:
        result = msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise ResultError(f"{path.name}: {error}") from None
    if result.format != FORMAT or result.version != VERSION:
        other = f"{result.format!r} version {result.version}"
        raise ResultError(f"{path.name}: {other}, not {FORMAT!r} version {VERSION}")
    return result
