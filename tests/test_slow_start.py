"""What warming endpoints get from all gateways: within the overload budget, and their share by the end."""

from __future__ import annotations

from typing import Any

import pytest

from quota_ingress.policy.actions import SendAttempt
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.gateway import Gateway
from tests.helpers import SECOND, UNLIMITED_PLANS, arrival, endpoint_entry, listed, of, settings
from tests.support.fleet_simulation import SAFETY, FleetSimulation

FLEET_SIZES = [1, 3, 8, 12, 16, 20, 30, 60, 200]
HEAVY_REQUESTS: dict[str, Any] = {
    "load": 0.8,
    "max_list_delay": 2,
    "equal_work": True,
    "mean_work": 480_000,
}  # the overload budget is 1.9 requests at the start


@pytest.mark.parametrize("size", FLEET_SIZES)
def test_warming_endpoints_keep_their_budget_and_get_their_share_in_a_fleet_of_any_size(size: int) -> None:
    """All hear of the start at once, in a burst beyond what the warm ones can do.

    Each of sixteen gateways had a whole credit to begin with: sixteen attempts for a budget of two, and a jam
    in which the warm-up passed unused.
    """
    for seed in range(4):
        played = FleetSimulation(size, seed, burst=1.8, **HEAVY_REQUESTS).play()
        assert max(played.overloads()) < -2
        assert played.warming_share(SAFETY.warmup_time * 3 // 4, SAFETY.warmup_time) > 0.6


@pytest.mark.parametrize("size", [3, 12, 20, 30, 200])
@pytest.mark.parametrize(
    "fault",
    [
        {"load": 0.3, "burst": 3.5, "burst_span": (5 * SECOND, 9 * SECOND)},  # credit might be saved up
        {"restart_after": 4 * SECOND},
        {"warming_count": 1, "traffic_skew": 1.5},
        {"warming_count": 8, "max_list_delay": 2 * SECOND},
    ],
    ids=["lull and burst", "restarts", "uneven", "as many warming as warm"],
)
def test_warming_endpoints_carry_their_share_under_faults(fault: dict[str, Any], size: int) -> None:
    runs = [FleetSimulation(size, seed, **fault).play() for seed in range(2)]
    assert max(overload for played in runs for overload in played.overloads()) < 0
    shares = [played.warming_share(9 * SECOND, SAFETY.warmup_time) for played in runs]
    assert sum(shares) / len(runs) > 0.5


@pytest.mark.parametrize("size", [12, 20, 60])
def test_warming_endpoints_keep_their_budget_at_twice_the_capacity_of_the_warm_ones(size: int) -> None:
    """Had a deferred request counted whole for them, three of 32 failed with twenty gateways."""
    runs = [FleetSimulation(size, seed, load=1.0, burst=2.0).play() for seed in range(8)]
    assert max(overload for played in runs for overload in played.overloads()) < 0


def test_credit_that_could_not_be_used_is_not_saved_up() -> None:
    """Thirty gateways had up to two requests' credit each: sixty attempts at one stroke."""
    at_once = 0
    for seed in range(30):
        gateway = Gateway(settings(fleet_size=30, plans=UNLIMITED_PLANS), seed)
        gateway.handle(
            SECOND, listed(*(endpoint_entry(n) for n in range(4)), endpoint_entry(9, started_at=SECOND))
        )
        gateway.endpoints.candidates[9].in_flight = 1  # and more it may not have, while others go on
        for n in range(200):
            now = 2 * SECOND + n
            for sent in of(gateway.handle(now, arrival(n)), SendAttempt):
                gateway.handle(now, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 9000, True))
        gateway.endpoints.candidates[9].in_flight = 0
        for n in range(200, 205):
            at_once += sum(
                sent.endpoint == 9 for sent in of(gateway.handle(3 * SECOND, arrival(n)), SendAttempt)
            )
    assert at_once < 15  # its share of the 150 requests is 8


def test_requests_rejected_in_a_jam_before_the_start_earn_a_warming_endpoint_nothing() -> None:
    at_once = 0
    for seed in range(30):
        gateway = Gateway(settings(fleet_size=30, plans=UNLIMITED_PLANS), seed)
        gateway.handle(0, listed(*(endpoint_entry(n) for n in range(4))))
        attempts = [sent for n in range(200) for sent in of(gateway.handle(n, arrival(n)), SendAttempt)]
        gateway.handle(SECOND, listed(endpoint_entry(9, started_at=SECOND), kind=ListKind.DELTA))
        for sent in attempts:
            gateway.handle(SECOND, AttemptEnded(sent.request, 0, sent.endpoint, Outcome.OK, 9000, True))
        at_once += sum(sent.endpoint == 9 for sent in of(gateway.handle(SECOND, arrival(300)), SendAttempt))
    assert at_once < 6  # its share of the 30 requests is one or two


def test_a_warming_endpoint_stays_inside_its_budget() -> None:
    gateway = Gateway(settings(plans=UNLIMITED_PLANS), seed=3)
    gateway.handle(0, listed(*(endpoint_entry(n) for n in range(1, 5))))
    now, sent_at = 0, []
    for n in range(4000):
        now += 5000  # 200 a second over four warm endpoints: 50 each
        if n == 2000:
            gateway.handle(now, listed(endpoint_entry(9, started_at=now), kind=ListKind.DELTA))
        for sent in of(gateway.handle(now, arrival(n)), SendAttempt):
            sent_at += [now] * (sent.endpoint == 9)
            gateway.handle(now, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 100_000, True))
    started_at = 2001 * 5000
    for at in sent_at:
        in_window = sum(1 for other in sent_at if at <= other < at + SECOND)
        capacity = 0.2 + 0.8 * min(1.0, (at - started_at) / (10 * SECOND))
        assert in_window <= 2.0 * capacity * 50 + 1
    assert len(sent_at) > 50


def test_a_warming_endpoint_keeps_its_budget_before_hundreds_of_gateways() -> None:
    fleet = [Gateway(settings(fleet_size=200, plans=UNLIMITED_PLANS), seed) for seed in range(200)]
    started_at, total = 10 * SECOND, 0
    for gateway in fleet:
        gateway.handle(0, listed(*(endpoint_entry(n) for n in range(1, 10))))
        gateway.handle(started_at, listed(endpoint_entry(10, started_at=started_at), kind=ListKind.DELTA))
    sent_at: list[int] = []
    for step in range(10):  # each gateway sends twice a second for five seconds: 40 a second to each endpoint
        now = started_at + step * SECOND // 2
        for gateway in fleet:
            for sent in of(gateway.handle(now, arrival(step)), SendAttempt):
                total += 1
                sent_at += [now] * (sent.endpoint == 10)
                gateway.handle(now, AttemptEnded(step, 0, sent.endpoint, Outcome.OK, 100_000, True))
    for second in range(5):
        in_window = sum(1 for at in sent_at if second * SECOND <= at - started_at < (second + 1) * SECOND)
        assert in_window <= 2.0 * (0.2 + 0.08 * (second + 1)) * 40
    assert len(sent_at) > 20 and total > 1900


def test_a_fleet_that_is_warming_up_as_a_whole_is_used() -> None:
    gateway = Gateway(settings(fleet_size=200, plans=UNLIMITED_PLANS), 3)
    gateway.handle(SECOND, listed(*(endpoint_entry(n, started_at=SECOND) for n in range(1, 5))))
    total = 0
    for n in range(100):
        now = SECOND + n * 1000
        for sent in of(gateway.handle(now, arrival(n)), SendAttempt):
            total += 1
            gateway.handle(now, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 9000, True))
    assert 5 < total < 60
