"""Fits of a line to measurements."""

from __future__ import annotations

import random

import pytest

from ingress_testbed import slopes


def test_a_known_slope_is_fitted_within_its_error_despite_noise() -> None:
    rng = random.Random(3)
    points = [(x, 40 + 0.25 * x + rng.gauss(0, 20)) for x in (100, 1000, 10_000) for _ in range(5)]
    fitted = slopes.fit_line(points)
    assert fitted.fit == "line" and 0 < fitted.error < 0.01
    assert abs(fitted.slope - 0.25) < 3 * fitted.error and fitted.at(20_000) == pytest.approx(5040, rel=0.02)


@pytest.mark.parametrize(
    ("points", "fit", "why"),
    [
        ([(x, x * x) for x in (1.0, 10.0, 100.0, 1000.0, 1500.0)], "poor", "bent"),
        ([(x, y) for x in (1.0, 2.0, 3.0) for y in (1.0, 90.0)], "poor", "scatter"),
        ([(1.0, 1.0), (2.0, 60.0), (3.0, 3.0), (100.0, 100.0), (200.0, 200.0)], "poor", "size 2 lies off"),
        ([(x, 50.0 + x % 2) for x in (1.0, 2.0, 3.0, 4.0)], "flat", ""),
        ([(1.0, 0.0), (2.0, 0.0), (3.0, 0.0)], "flat", ""),
    ],
)
def test_poor_and_flat_fits_are_labelled(points: list[tuple[float, float]], fit: str, why: str) -> None:
    fitted = slopes.fit_line(points)
    assert fitted.fit == fit and why in fitted.why


def test_two_sizes_are_too_few_for_a_slope() -> None:
    with pytest.raises(ValueError, match="3 sizes"):
        slopes.fit_line([(1.0, 1.0), (2.0, 2.0), (2.0, 3.0)])
