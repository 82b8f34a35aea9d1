"""Exponential backoff with jitter."""

from __future__ import annotations

from quota_ingress.net.backoff import Backoff


def test_waits_double_up_to_a_limit_have_jitter_and_are_reset_on_success() -> None:
    fraction = [0.0]
    backoff = Backoff(0.1, 0.5, lambda: fraction[0])
    assert [round(backoff.next_wait(), 3) for _ in range(4)] == [0.05, 0.1, 0.2, 0.25]
    fraction[0] = 1.0
    assert round(backoff.next_wait(), 3) == 0.75
    backoff.on_success()
    assert round(backoff.next_wait(), 3) == 0.15
