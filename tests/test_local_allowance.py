"""One gateway's share of a token bucket."""

from __future__ import annotations

from quota_ingress.policy.local_allowance import LocalAllowance


def test_an_allowance_refills_at_its_share_of_the_rate_up_to_its_share_of_the_burst() -> None:
    allowance = LocalAllowance(rate=2.0, burst=4.0, gateway_count=4, units=0.0)
    allowance.refill(elapsed_s=1.0)
    assert allowance.units == 0.5
    allowance.refill(elapsed_s=60.0)
    assert allowance.units == 1.0


def test_an_allowance_with_a_capacity_below_one_request_can_be_saved_up_for_it() -> None:
    allowance = LocalAllowance(rate=2.0, burst=4.0, gateway_count=16, units=0.0)
    allowance.refill_to_fit(elapsed_s=60.0, request_units=1.0)
    assert allowance.units == 1.0


def test_spending_more_than_the_allowance_leaves_zero_units() -> None:
    allowance = LocalAllowance(rate=2.0, burst=4.0, gateway_count=4, units=1.0)
    allowance.spend(0.25)
    assert allowance.units == 0.75
    allowance.spend(2.0)
    assert allowance.units == 0.0
