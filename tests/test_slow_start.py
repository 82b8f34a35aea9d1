"""What a cold backend gets from all gateways together: within its budget, and its part by the ramp's end."""

from typing import Any

import pytest

from quota_ingress.policy.actions import SendAttempt
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Plan
from tests.fleet_sim import SAFETY, Day
from tests.helpers import SECOND, arrival, backend, listed, of, settings

SIZES = [1, 3, 8, 12, 16, 20, 30, 60, 200]
HEAVY: dict[str, Any] = {"load": 0.8, "late": 2, "even": True, "work": 480_000}  # N is 1.9 at the start


@pytest.mark.parametrize("size", SIZES)
def test_cold_backends_keep_their_budget_and_get_their_part_whatever_the_fleets_size(size: int) -> None:
    """All hear of the start at once, in a burst beyond what the warm can do. Each of sixteen had a whole turn
    to begin with: sixteen sends for a budget of two, and a jam in which the ramp passed unused."""
    for seed in range(4):
        day = Day(size, seed, burst=1.8, **HEAVY).play()
        assert max(day.excess()) < -2
        assert day.part(SAFETY.warmup_time * 3 // 4, SAFETY.warmup_time) > 0.6


@pytest.mark.parametrize("size", [3, 12, 20, 30, 200])
@pytest.mark.parametrize(
    "trouble",
    [
        {"load": 0.3, "burst": 3.5, "span": (5 * SECOND, 9 * SECOND)},  # turns might be saved up
        {"restart": 4 * SECOND},
        {"cold": 1, "skew": 1.5},
        {"cold": 8, "late": 2 * SECOND},
    ],
    ids=["lull and burst", "restarts", "uneven", "as many cold as warm"],
)
def test_cold_backends_carry_their_part_in_trouble(trouble: dict[str, Any], size: int) -> None:
    days = [Day(size, seed, **trouble).play() for seed in range(2)]
    assert max(over for day in days for over in day.excess()) < 0
    assert sum(day.part(9 * SECOND, SAFETY.warmup_time) for day in days) / len(days) > 0.5


@pytest.mark.parametrize("size", [12, 20, 60])
def test_cold_backends_keep_their_budget_at_twice_what_the_warm_can_do(size: int) -> None:
    """Had a request that was turned away counted whole for them, three of 32 fell with twenty gateways."""
    days = [Day(size, seed, load=1.0, burst=2.0).play() for seed in range(8)]
    assert max(over for day in days for over in day.excess()) < 0


def test_turns_that_could_not_be_taken_are_not_saved_up() -> None:
    """Thirty gateways had up to two each: sixty sends at one stroke."""
    free, at_once = (Plan("free", rate=0.0, burst=0.0),), 0
    for seed in range(30):
        g = Gateway(settings(fleet_size=30, plans=free), seed)
        g.handle(SECOND, listed(*(backend(n) for n in range(4)), backend(9, started_at=SECOND)))
        g.endpoints.candidates[9].in_flight = 1  # one is out, and more it may not have, while others go on
        for n in range(200):
            for s in of(g.handle(2 * SECOND + n, arrival(n)), SendAttempt):
                g.handle(2 * SECOND + n, AttemptEnded(n, 0, s.endpoint, Outcome.OK, 9000, True))
        g.endpoints.candidates[9].in_flight = 0
        for n in range(200, 205):
            at_once += sum(s.endpoint == 9 for s in of(g.handle(3 * SECOND, arrival(n)), SendAttempt))
    assert at_once < 15  # its part of the 150 requests is 8


def test_requests_turned_away_in_a_jam_before_the_start_earn_a_cold_backend_nothing() -> None:
    free, at_once = (Plan("free", rate=0.0, burst=0.0),), 0
    for seed in range(30):
        g = Gateway(settings(fleet_size=30, plans=free), seed)
        g.handle(0, listed(*(backend(n) for n in range(4))))
        out = [s for n in range(200) for s in of(g.handle(n, arrival(n)), SendAttempt)]
        g.handle(SECOND, listed(backend(9, started_at=SECOND), kind=ListKind.DELTA))
        for s in out:
            g.handle(SECOND, AttemptEnded(s.request, 0, s.endpoint, Outcome.OK, 9000, True))
        at_once += sum(s.endpoint == 9 for s in of(g.handle(SECOND, arrival(300)), SendAttempt))
    assert at_once < 6  # its part of the 30 requests is one or two
