"""One gateway's part of a bucket."""

from __future__ import annotations

from quota_ingress.policy.local_allowance import LocalAllowance


def test_a_part_refills_at_its_share_of_the_rate_up_to_its_share_of_the_burst() -> None:
    part = LocalAllowance(rate=2.0, burst=4.0, gateway_count=4, units=0.0)
    part.refill(elapsed_s=1.0)
    assert part.units == 0.5
    part.refill(elapsed_s=60.0)
    assert part.units == 1.0


def test_a_part_smaller_than_a_request_can_be_saved_up_for_it() -> None:
    part = LocalAllowance(rate=2.0, burst=4.0, gateway_count=16, units=0.0)
    part.refill_to_fit(elapsed_s=60.0, request_units=1.0)
    assert part.units == 1.0


def test_spending_more_than_is_left_leaves_nothing() -> None:
    part = LocalAllowance(rate=2.0, burst=4.0, gateway_count=4, units=1.0)
    part.spend(0.25)
    assert part.units == 0.75
    part.spend(2.0)
    assert part.units == 0.0
