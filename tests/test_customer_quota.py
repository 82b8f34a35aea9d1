"""The hand-over of both kinds of customer quota to another process."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import pytest

from quota_ingress.policy.counted_quota import MAX_LEASED_QUOTA_GATEWAYS, CountedQuota
from quota_ingress.policy.lease import LeaseStatistics
from quota_ingress.policy.leased_quota import LeasedQuota
from quota_ingress.policy.snapshot import NO_LEASE_REQUESTED, CustomerQuotaSnapshot
from tests.helpers import PLANS, SECOND, arrival, gateway_with_endpoints

COMMON_FIELDS: dict[str, Any] = {
    "remaining_upper_bound": 1.0,
    "remaining_at": 2,
    "local_allowance": 3.0,
    "leased_units": 4.0,
    "refill_rate": 5.0,
    "demand_rate": 6.0,
    "demand_at": 7,
    "ceiling_allowance": 8.0,
}
LEASED_QUOTA_FIELDS = {"unreported_units": 9.0}
COUNTED_QUOTA_FIELDS: dict[str, Any] = {
    "last_answer_at": 10,
    "counted_usage": 11.0,
    "counted_lease": 12.0,
    "decayed_at": 13,
    "lease_success_rate": 0.25,
}
NEW_CUSTOMER_FIELDS: dict[str, Any] = {
    "unreported_units": 0.0,
    "last_answer_at": -60 * SECOND,
    "counted_usage": 0.0,
    "counted_lease": 0.0,
    "decayed_at": 0,
    "lease_success_rate": NO_LEASE_REQUESTED,
}
FIELDS_AFTER_HAND_OVER: dict[str, Any] = {
    "local_allowance": 0.0,
    "unreported_units": 0.0,
    "leased_units": 0.0,
    "ceiling_allowance": 0.0,
    "counted_lease": 0.0,
}


def new_quota(gateway_count: int) -> LeasedQuota | CountedQuota:
    if gateway_count <= MAX_LEASED_QUOTA_GATEWAYS:
        return LeasedQuota(PLANS[0], gateway_count, SECOND, 0)
    statistics = LeaseStatistics(PLANS)
    return CountedQuota(PLANS[0], gateway_count, SECOND, 0, counter_allowed=True, statistics=statistics)


def snapshot_of_both_kinds(gateway_count: int) -> CustomerQuotaSnapshot:
    all_fields = COMMON_FIELDS | LEASED_QUOTA_FIELDS | COUNTED_QUOTA_FIELDS
    return CustomerQuotaSnapshot(customer=7, plan=0, gateway_count=gateway_count, **all_fields)


@pytest.mark.parametrize(
    ("gateway_count", "kept_fields"),
    [
        (MAX_LEASED_QUOTA_GATEWAYS, COMMON_FIELDS | LEASED_QUOTA_FIELDS),
        (MAX_LEASED_QUOTA_GATEWAYS + 1, COMMON_FIELDS | COUNTED_QUOTA_FIELDS),
    ],
)
def test_each_kind_hands_over_the_state_that_it_restored(
    gateway_count: int, kept_fields: dict[str, Any]
) -> None:
    quota = new_quota(gateway_count)
    restored = snapshot_of_both_kinds(gateway_count)
    quota.restore(restored)
    handed_over = quota.hand_over(customer=7, plan=0)
    assert handed_over == replace(restored, **(NEW_CUSTOMER_FIELDS | kept_fields))
    assert quota.hand_over(customer=7, plan=0) == replace(handed_over, **FIELDS_AFTER_HAND_OVER)


@pytest.mark.parametrize("gateway_count", [1, MAX_LEASED_QUOTA_GATEWAYS, MAX_LEASED_QUOTA_GATEWAYS + 1, 40])
def test_the_kind_of_quota_depends_on_the_number_of_gateways(gateway_count: int) -> None:
    gateway = gateway_with_endpoints(fleet_size=40)
    gateway.handle(0, arrival(1, gateway_count=gateway_count))
    assert type(gateway.admission.customers[7]) is type(new_quota(gateway_count))


def test_the_state_without_any_lease_survives_the_hand_over() -> None:
    quota = new_quota(40)
    assert quota.hand_over(customer=7, plan=0).lease_success_rate == NO_LEASE_REQUESTED
    restored = replace(snapshot_of_both_kinds(40), lease_success_rate=NO_LEASE_REQUESTED)
    quota.restore(restored)
    assert quota.hand_over(customer=7, plan=0).lease_success_rate == NO_LEASE_REQUESTED
