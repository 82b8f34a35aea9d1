"""What both kinds of customer quota hand over to another process."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from quota_ingress.policy.counted_quota import WIDE_CUSTOMER_GATEWAYS, CountedQuota
from quota_ingress.policy.lease import LeaseStatistics
from quota_ingress.policy.leased_quota import LeasedQuota
from quota_ingress.policy.snapshot import NO_LEASE_REQUESTED, CustomerQuotaSnapshot
from tests.helpers import PLANS, SECOND, arrival, gateway_with_endpoints

COMMON_FIGURES: dict[str, Any] = {
    "remaining_upper_bound": 1.0,
    "remaining_at": 2,
    "local_allowance": 3.0,
    "leased_units": 4.0,
    "refill_rate": 5.0,
    "demand_rate": 6.0,
    "demand_at": 7,
    "ceiling_allowance": 8.0,
}
LEASED_FIGURES = {"unreported_units": 9.0}
COUNTED_FIGURES: dict[str, Any] = {
    "last_answer_at": 10,
    "counted_usage": 11.0,
    "counted_lease": 12.0,
    "decayed_at": 13,
    "lease_success_rate": 0.25,
}
OF_A_NEW_CUSTOMER: dict[str, Any] = {
    "unreported_units": 0.0,
    "last_answer_at": -60 * SECOND,
    "counted_usage": 0.0,
    "counted_lease": 0.0,
    "decayed_at": 0,
    "lease_success_rate": NO_LEASE_REQUESTED,
}
NO_LONGER_HELD: dict[str, Any] = {
    "local_allowance": 0.0,
    "unreported_units": 0.0,
    "leased_units": 0.0,
    "ceiling_allowance": 0.0,
    "counted_lease": 0.0,
}


def new_quota(gateway_count: int) -> LeasedQuota | CountedQuota:
    if gateway_count <= WIDE_CUSTOMER_GATEWAYS:
        return LeasedQuota(PLANS[0], gateway_count, SECOND, 0)
    statistics = LeaseStatistics(PLANS)
    return CountedQuota(PLANS[0], gateway_count, SECOND, 0, counter_allowed=True, statistics=statistics)


def snapshot_of_both_kinds(gateway_count: int) -> CustomerQuotaSnapshot:
    figures = COMMON_FIGURES | LEASED_FIGURES | COUNTED_FIGURES
    return CustomerQuotaSnapshot(customer=7, plan=0, gateway_count=gateway_count, **figures)


@pytest.mark.parametrize(
    ("gateway_count", "kept"),
    [
        (WIDE_CUSTOMER_GATEWAYS, COMMON_FIGURES | LEASED_FIGURES),
        (WIDE_CUSTOMER_GATEWAYS + 1, COMMON_FIGURES | COUNTED_FIGURES),
    ],
)
def test_each_kind_hands_over_what_it_restored(gateway_count: int, kept: dict[str, Any]) -> None:
    quota = new_quota(gateway_count)
    written = snapshot_of_both_kinds(gateway_count)
    quota.restore(written)
    handed_over = quota.hand_over(customer=7, plan=0)
    assert handed_over == replace(written, **(OF_A_NEW_CUSTOMER | kept))
    assert quota.hand_over(customer=7, plan=0) == replace(handed_over, **NO_LONGER_HELD)


@pytest.mark.parametrize("gateway_count", [1, WIDE_CUSTOMER_GATEWAYS, WIDE_CUSTOMER_GATEWAYS + 1, 40])
def test_the_kind_goes_by_the_number_of_gateways(gateway_count: int) -> None:
    gateway = gateway_with_endpoints(fleet_size=40)
    gateway.handle(0, arrival(1, gateway_count=gateway_count))
    assert type(gateway.admission.customers[7]) is type(new_quota(gateway_count))


def test_a_customer_without_leases_is_handed_over_as_such() -> None:
    quota = new_quota(40)
    assert quota.hand_over(customer=7, plan=0).lease_success_rate == NO_LEASE_REQUESTED
    written = replace(snapshot_of_both_kinds(40), lease_success_rate=NO_LEASE_REQUESTED)
    quota.restore(written)
    assert quota.hand_over(customer=7, plan=0).lease_success_rate == NO_LEASE_REQUESTED
