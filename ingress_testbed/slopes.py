"""A straight line through what was measured at three sizes or more, with its error and a word on the fit."""

from __future__ import annotations

import statistics
from collections.abc import Sequence

import msgspec
import numpy as np

LEAST_SIZES = 3
BENT = 0.35  # of it, beyond the scatter: a slope that changes by more between the sizes is no one slope
NOTHING = 0.05  # of the mean: a rise over all the sizes that is no more is none
WIDE = 0.5  # of the mean: values that lie further apart hide what a slope would be
OFF = 0.2  # of what the figure spans, beyond the scatter: a size further off is not on the line
VAGUE = 0.25  # of the slope: an error over that, and the slope is no more than an order of magnitude


class Slope(msgspec.Struct, frozen=True):
    """figure = intercept + slope * size. `error` is the slope's standard error. `fit`: `line`; `flat` (no
    growth to speak of, or none that stands out from a small scatter); or `poor`, and `why`.
    """

    slope: float
    error: float
    intercept: float
    r2: float
    fit: str
    why: str = ""

    def at(self, size: float) -> float:
        return self.intercept + self.slope * size


def medians(points: Sequence[tuple[float, float]]) -> dict[float, float]:
    """By size, the median of its repetitions."""
    sizes = sorted({size for size, _ in points})
    return {size: statistics.median(v for s, v in points if s == size) for size in sizes}


def fitted(points: Sequence[tuple[float, float]]) -> Slope:
    """Least squares over all points (size, figure); ValueError for fewer than three sizes."""
    middle = medians(points)
    if len(middle) < LEAST_SIZES:
        raise ValueError(f"a slope needs {LEAST_SIZES} sizes or more, not {len(middle)}")
    x, y = (np.array(values, dtype=float) for values in zip(*points, strict=True))
    design = np.column_stack([np.ones_like(x), x])
    (intercept, slope), *_ = np.linalg.lstsq(design, y, rcond=None)
    left = y - intercept - slope * x
    spread = float(((x - x.mean()) ** 2).sum())
    free = max(1, len(x) - 2)
    error = float(np.sqrt((left**2).sum() / free / spread))
    total = float(((y - y.mean()) ** 2).sum())
    r2 = 1.0 - float((left**2).sum()) / total if total else 1.0
    fit, why = _judged(points, float(slope), error, float(intercept))
    return Slope(float(slope), error, float(intercept), r2, fit, why)


def _judged(
    points: Sequence[tuple[float, float]], slope: float, error: float, intercept: float
) -> tuple[str, str]:
    middle = medians(points)
    sizes, values = list(middle), [value for _, value in points]
    level = statistics.fmean(abs(v) for v in middle.values())
    reach = sizes[-1] - sizes[0]
    if abs(slope) <= 2 * error or abs(slope) * reach <= NOTHING * level:
        if max(values) - min(values) <= WIDE * level:
            return "flat", ""
        return "poor", "the scatter hides any slope"
    lower, below = _between(points, sizes[0], sizes[-2])
    upper, above = _between(points, sizes[-2], sizes[-1])
    if abs(upper - lower) > BENT * max(abs(upper), abs(lower)) + below + above:
        return "poor", f"bent: {upper:.3g} at the top, {lower:.3g} below"
    spans = max(middle.values()) - min(middle.values())
    for size, value in middle.items():
        if abs(value - intercept - slope * size) > OFF * spans + 2 * _scatter(points, size):
            return "poor", f"size {size:g} lies off the line: {value:.3g}, not {intercept + slope * size:.3g}"
    if error > VAGUE * abs(slope):
        return "poor", f"the slope's error is {error / abs(slope):.0%} of it"
    return "line", ""


def _between(points: Sequence[tuple[float, float]], low: float, high: float) -> tuple[float, float]:
    """The slope from one size's median to another's, and what the scatter of their repetitions lets it be
    off by.
    """
    middle = medians(points)
    off = (_scatter(points, low) ** 2 + _scatter(points, high) ** 2) ** 0.5
    return (middle[high] - middle[low]) / (high - low), 2 * off / (high - low)


def _scatter(points: Sequence[tuple[float, float]], size: float) -> float:
    """The standard deviation of a size's repetitions; 0 for one."""
    values = [v for s, v in points if s == size]
    return statistics.stdev(values) if len(values) > 1 else 0.0
