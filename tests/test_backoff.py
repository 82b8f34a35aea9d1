"""Exponential backoff with jitter."""

from __future__ import annotations

from quota_ingress.net.backoff import Backoff


def test_waits_double_up_to_a_bound_spread_by_chance_and_begin_anew() -> None:
    chance = [0.0]
    tries = Backoff(0.1, 0.5, lambda: chance[0])
    assert [round(tries.next_wait(), 3) for _ in range(4)] == [0.05, 0.1, 0.2, 0.25]
    chance[0] = 1.0
    assert round(tries.next_wait(), 3) == 0.75
    tries.on_success()
    assert round(tries.next_wait(), 3) == 0.15
