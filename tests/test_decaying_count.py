"""The decaying count of the units that a customer uses through all its gateways."""

from __future__ import annotations

import math

import pytest

from quota_ingress.policy.decaying_count import EPOCH_WINDOWS, DecayingCount
from tests.helpers import SECOND

WINDOW = 2 * SECOND


def test_usage_and_leases_decay_by_a_factor_of_e_per_window() -> None:
    count = DecayingCount(capacity=4.0, window=WINDOW)
    count.usage = 3.0
    count.leased_units = 1.0
    count.decay_to(WINDOW)
    assert count.usage == pytest.approx(3.0 / math.e)
    assert count.leased_units == pytest.approx(1.0 / math.e)


def test_a_clock_that_goes_backwards_does_not_change_the_count() -> None:
    count = DecayingCount(capacity=4.0, window=WINDOW)
    count.decay_to(WINDOW)
    count.usage = 3.0
    count.decay_to(0)
    assert count.usage == 3.0


def test_unreported_units_are_not_available_and_are_taken_once() -> None:
    count = DecayingCount(capacity=4.0, window=WINDOW)
    count.usage = 1.0
    count.leased_units = -0.5
    assert count.available(request_units=1.0) == 4.0 + 0.5 - 1.0 - 0.5
    assert [count.take_unreported(), count.take_unreported()] == [0.5, 0.0]


def test_weights_grow_by_a_factor_of_e_per_window_from_the_start_of_the_epoch() -> None:
    count = DecayingCount(capacity=4.0, window=WINDOW)
    now = 3 * EPOCH_WINDOWS * WINDOW + WINDOW
    assert count.epoch_number(now) == 3
    assert count.epoch_start(now) == 3 * EPOCH_WINDOWS * WINDOW
    assert count.weight(now, count.epoch_start(now)) == pytest.approx(math.e)
