"""The moving average of a customer's demand."""

from __future__ import annotations

import pytest

from quota_ingress.policy.demand_rate import DemandRate
from tests.helpers import SECOND


def test_the_rate_converges_to_steady_demand_within_some_time_constants() -> None:
    demand = DemandRate(time_constant=2 * SECOND, now=0)
    for request in range(1, 201):
        elapsed_s = demand.record(request * SECOND // 10, units=0.5, is_retry=False)
        assert elapsed_s == pytest.approx(0.1)
    assert demand.rate == pytest.approx(5.0, rel=0.03)


def test_retries_do_not_count_as_demand() -> None:
    demand = DemandRate(time_constant=2 * SECOND, now=0)
    demand.record(SECOND, units=1.0, is_retry=True)
    assert demand.rate == 0.0
