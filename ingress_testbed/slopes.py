"""Fits a line to measurements at MIN_SIZES sizes or more, with its error and a verdict on the fit."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
import numpy as np

MIN_SIZES = 3
MAX_BEND = 0.35  # change of slope between the sizes beyond the scatter, as a fraction of the slope
MIN_RISE = 0.05  # rise over all sizes below which a line counts as flat, as a fraction of the mean
MAX_FLAT_SPREAD = 0.5  # range of values above which a slope cannot be told, as a fraction of the mean
MAX_OFFSET = 0.2  # distance of a size from the line beyond the scatter, as a fraction of the figure's range
MAX_RELATIVE_ERROR = 0.25  # standard error, as a fraction of the slope
SIGNIFICANCE = 2  # standard errors

FIT_LINE = "line"
FIT_FLAT = "flat"
FIT_POOR = "poor"

Measurement = tuple[float, float]  # size and figure


class TooFewSizesError(ValueError):
    """The measurements are at fewer than MIN_SIZES sizes."""


class Slope(msgspec.Struct, frozen=True):
    """figure = intercept + slope * size. The field names are those of the result files.

    Attributes:
        slope: Slope of the line, in units of the figure per unit of size.
        error: Standard error of the slope.
        intercept: Value of the line at size 0.
        r2: Coefficient of determination.
        fit: `line`; `flat` (no significant growth, and a small scatter); or `poor`.
        why: Why the fit is poor; empty for the others.
    """

    slope: float
    error: float
    intercept: float
    r2: float
    fit: str
    why: str = ""

    def at(self, size: float) -> float:
        """Returns the value of the line at `size`."""
        return self.intercept + self.slope * size


class _Verdict(NamedTuple):
    """The verdict on a fit (`line`, `flat` or `poor`), and the reason if it is poor."""

    fit: str
    why: str = ""


class _Segment(NamedTuple):
    """The slope between the medians of two sizes, and its uncertainty from the scatter."""

    slope: float
    uncertainty: float


def medians(points: Sequence[Measurement]) -> dict[float, float]:
    """Returns the median of each size's repetitions, by size in ascending order."""
    sizes = sorted({size for size, _ in points})
    return {size: statistics.median(v for s, v in points if s == size) for size in sizes}


def fit_line(points: Sequence[Measurement]) -> Slope:
    """Fits a line to all points by least squares, and judges the fit.

    Raises:
        TooFewSizesError: There are fewer than MIN_SIZES sizes.
    """
    size_count = len(medians(points))
    if size_count < MIN_SIZES:
        raise TooFewSizesError(f"a slope needs {MIN_SIZES} sizes or more, not {size_count}")
    x, y = (np.array(values, dtype=float) for values in zip(*points, strict=True))
    design = np.column_stack([np.ones_like(x), x])
    (intercept, slope), *_ = np.linalg.lstsq(design, y, rcond=None)
    residuals = y - intercept - slope * x
    residual_sum = (residuals**2).sum()
    x_spread = float(((x - x.mean()) ** 2).sum())
    degrees_of_freedom = max(1, len(x) - 2)
    error = float(np.sqrt(residual_sum / degrees_of_freedom / x_spread))
    total = float(((y - y.mean()) ** 2).sum())
    r2 = 1.0 - float(residual_sum) / total if total else 1.0
    verdict = _judge(points, float(slope), error, float(intercept))
    return Slope(float(slope), error, float(intercept), r2, verdict.fit, verdict.why)


def _judge(points: Sequence[Measurement], slope: float, error: float, intercept: float) -> _Verdict:
    """Returns whether the points are described by the line, by a constant, or by neither."""
    by_size = medians(points)
    sizes = list(by_size)
    mean = statistics.fmean(abs(value) for value in by_size.values())
    rise = abs(slope) * (sizes[-1] - sizes[0])
    if abs(slope) <= SIGNIFICANCE * error or rise <= MIN_RISE * mean:
        return _judge_without_slope([value for _, value in points], mean)
    lower = _segment(points, sizes[0], sizes[-2])
    upper = _segment(points, sizes[-2], sizes[-1])
    allowed_bend = MAX_BEND * max(abs(upper.slope), abs(lower.slope))
    if abs(upper.slope - lower.slope) > allowed_bend + lower.uncertainty + upper.uncertainty:
        return _Verdict(FIT_POOR, f"bent: {upper.slope:.3g} at the top, {lower.slope:.3g} below")
    span = max(by_size.values()) - min(by_size.values())
    for size, value in by_size.items():
        expected = intercept + slope * size
        if abs(value - expected) > MAX_OFFSET * span + SIGNIFICANCE * _scatter(points, size):
            return _Verdict(FIT_POOR, f"size {size:g} lies off the line: {value:.3g}, not {expected:.3g}")
    if error > MAX_RELATIVE_ERROR * abs(slope):
        return _Verdict(FIT_POOR, f"the slope's error is {error / abs(slope):.0%} of it")
    return _Verdict(FIT_LINE)


def _judge_without_slope(values: Sequence[float], mean: float) -> _Verdict:
    """Returns whether values without a significant slope are close enough to be called flat."""
    if max(values) - min(values) <= MAX_FLAT_SPREAD * mean:
        return _Verdict(FIT_FLAT)
    return _Verdict(FIT_POOR, "the scatter hides any slope")


def _segment(points: Sequence[Measurement], low: float, high: float) -> _Segment:
    by_size = medians(points)
    scatter = math.sqrt(_scatter(points, low) ** 2 + _scatter(points, high) ** 2)
    slope = (by_size[high] - by_size[low]) / (high - low)
    return _Segment(slope, SIGNIFICANCE * scatter / (high - low))


def _scatter(points: Sequence[Measurement], size: float) -> float:
    """Returns the standard deviation of a size's repetitions; 0 for a single one."""
    values = [v for s, v in points if s == size]
    return statistics.stdev(values) if len(values) > 1 else 0.0
