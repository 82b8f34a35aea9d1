"""The load on warming endpoints from all gateways: within the overload budget, yet close to their share."""

from __future__ import annotations

from typing import Any

import pytest

from quota_ingress.policy.actions import SendAttempt
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.gateway import Gateway
from tests.helpers import (
    SECOND,
    UNLIMITED_PLANS,
    arrival,
    endpoint_entry,
    endpoints_listed,
    of_type,
    settings,
)
from tests.support.fleet_simulation import SAFETY, FleetSimulation

FLEET_SIZES = [1, 3, 8, 12, 16, 20, 30, 60, 200]
HEAVY_REQUESTS: dict[str, Any] = {
    "load": 0.8,
    "max_list_delay": 2,
    "equal_work": True,
    "mean_work": 480_000,
}  # with these, the overload budget of an endpoint is 1.9 requests at its start


@pytest.mark.parametrize("size", FLEET_SIZES)
def test_warming_endpoints_keep_their_budget_and_get_their_share_in_a_fleet_of_any_size(size: int) -> None:
    """All gateways learn of the start at the same time, in a burst beyond the capacity of warm endpoints.

    Guards against synchronized credits: when each of 16 gateways began with a credit of 1, they sent 16
    attempts for a budget of 2, and the overload lasted until the warm-up was over.
    """
    for seed in range(4):
        simulation = FleetSimulation(size, seed, burst=1.8, **HEAVY_REQUESTS).play()
        assert max(simulation.overloads()) < -2
        assert simulation.warming_share(SAFETY.warmup_time * 3 // 4, SAFETY.warmup_time) > 0.6


@pytest.mark.parametrize("size", [3, 12, 20, 30, 200])
@pytest.mark.parametrize(
    "fault",
    [
        {"load": 0.3, "burst": 3.5, "burst_span": (5 * SECOND, 9 * SECOND)},  # credit accumulates at low load
        {"restart_after": 4 * SECOND},
        {"warming_count": 1, "traffic_skew": 1.5},
        {"warming_count": 8, "max_list_delay": 2 * SECOND},
    ],
    ids=["low load, then burst", "restarts", "uneven traffic", "as many warming as warm"],
)
def test_warming_endpoints_carry_their_share_under_faults(fault: dict[str, Any], size: int) -> None:
    runs = [FleetSimulation(size, seed, **fault).play() for seed in range(2)]
    assert max(overload for simulation in runs for overload in simulation.overloads()) < 0
    shares = [simulation.warming_share(9 * SECOND, SAFETY.warmup_time) for simulation in runs]
    assert sum(shares) / len(runs) > 0.5


@pytest.mark.parametrize("size", [12, 20, 60])
def test_warming_endpoints_keep_their_budget_at_twice_the_capacity_of_the_warm_ones(size: int) -> None:
    """Guards against too much credit for deferred requests.

    With 20 gateways and a weight of 1 for a deferred request, 3 of 32 warming endpoints failed.
    """
    runs = [FleetSimulation(size, seed, load=1.0, burst=2.0).play() for seed in range(8)]
    assert max(overload for simulation in runs for overload in simulation.overloads()) < 0


def test_credit_that_could_not_be_used_is_not_saved_up() -> None:
    """Guards against a burst of saved credit.

    30 gateways, each with credit for up to two requests, sent 60 attempts at the same time.
    """
    sent_to_warming = 0
    for seed in range(30):
        gateway = Gateway(settings(fleet_size=30, plans=UNLIMITED_PLANS), seed)
        gateway.handle(
            SECOND,
            endpoints_listed(*(endpoint_entry(n) for n in range(4)), endpoint_entry(9, started_at=SECOND)),
        )
        gateway.endpoints.candidates[9].in_flight = 1  # the endpoint is at its limit, the others are not
        for n in range(200):
            now = 2 * SECOND + n
            for sent in of_type(gateway.handle(now, arrival(n)), SendAttempt):
                gateway.handle(now, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 9000, True))
        gateway.endpoints.candidates[9].in_flight = 0
        for n in range(200, 205):
            sent_to_warming += sum(
                sent.endpoint == 9 for sent in of_type(gateway.handle(3 * SECOND, arrival(n)), SendAttempt)
            )
    assert sent_to_warming < 15  # the endpoint's share of the 150 requests is 8


def test_requests_rejected_before_its_start_earn_a_warming_endpoint_no_credit() -> None:
    sent_to_warming = 0
    for seed in range(30):
        gateway = Gateway(settings(fleet_size=30, plans=UNLIMITED_PLANS), seed)
        gateway.handle(0, endpoints_listed(*(endpoint_entry(n) for n in range(4))))
        attempts = [sent for n in range(200) for sent in of_type(gateway.handle(n, arrival(n)), SendAttempt)]
        gateway.handle(SECOND, endpoints_listed(endpoint_entry(9, started_at=SECOND), kind=ListKind.DELTA))
        for sent in attempts:
            gateway.handle(SECOND, AttemptEnded(sent.request, 0, sent.endpoint, Outcome.OK, 9000, True))
        sent_to_warming += sum(
            sent.endpoint == 9 for sent in of_type(gateway.handle(SECOND, arrival(300)), SendAttempt)
        )
    assert sent_to_warming < 6  # the endpoint's share of the 30 requests is 1 or 2


def test_one_gateway_keeps_a_warming_endpoint_within_its_budget() -> None:
    gateway = Gateway(settings(plans=UNLIMITED_PLANS), seed=3)
    gateway.handle(0, endpoints_listed(*(endpoint_entry(n) for n in range(1, 5))))
    now, sent_at = 0, []
    for n in range(4000):
        now += 5000  # 200 requests a second for four warm endpoints: 50 for each
        if n == 2000:
            gateway.handle(now, endpoints_listed(endpoint_entry(9, started_at=now), kind=ListKind.DELTA))
        for sent in of_type(gateway.handle(now, arrival(n)), SendAttempt):
            sent_at += [now] * (sent.endpoint == 9)
            gateway.handle(now, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 100_000, True))
    started_at = 2001 * 5000
    for at in sent_at:
        in_window = sum(1 for other in sent_at if at <= other < at + SECOND)
        capacity = 0.2 + 0.8 * min(1.0, (at - started_at) / (10 * SECOND))
        assert in_window <= 2.0 * capacity * 50 + 1
    assert len(sent_at) > 50


def test_hundreds_of_gateways_keep_a_warming_endpoint_within_its_budget() -> None:
    fleet = [Gateway(settings(fleet_size=200, plans=UNLIMITED_PLANS), seed) for seed in range(200)]
    started_at, total = 10 * SECOND, 0
    for gateway in fleet:
        gateway.handle(0, endpoints_listed(*(endpoint_entry(n) for n in range(1, 10))))
        gateway.handle(
            started_at, endpoints_listed(endpoint_entry(10, started_at=started_at), kind=ListKind.DELTA)
        )
    sent_at: list[int] = []
    for step in range(10):  # each gateway sends twice a second for 5 s: 40 requests a second per endpoint
        now = started_at + step * SECOND // 2
        for gateway in fleet:
            for sent in of_type(gateway.handle(now, arrival(step)), SendAttempt):
                total += 1
                sent_at += [now] * (sent.endpoint == 10)
                gateway.handle(now, AttemptEnded(step, 0, sent.endpoint, Outcome.OK, 100_000, True))
    for second in range(5):
        in_window = sum(1 for at in sent_at if second * SECOND <= at - started_at < (second + 1) * SECOND)
        assert in_window <= 2.0 * (0.2 + 0.08 * (second + 1)) * 40
    assert len(sent_at) > 20 and total > 1900


def test_requests_are_sent_while_all_endpoints_are_warming_up() -> None:
    gateway = Gateway(settings(fleet_size=200, plans=UNLIMITED_PLANS), 3)
    gateway.handle(SECOND, endpoints_listed(*(endpoint_entry(n, started_at=SECOND) for n in range(1, 5))))
    total = 0
    for n in range(100):
        now = SECOND + n * 1000
        for sent in of_type(gateway.handle(now, arrival(n)), SendAttempt):
            total += 1
            gateway.handle(now, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 9000, True))
    assert 5 < total < 60
