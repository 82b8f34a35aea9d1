"""The upper bound of the units in the shared bucket."""

from __future__ import annotations

from quota_ingress.policy.token_bucket import TokenBucket
from tests.helpers import SECOND


def test_a_new_bucket_is_full_and_refills_up_to_its_capacity() -> None:
    bucket = TokenBucket(rate=2.0, capacity=4.0, now=0)
    assert bucket.remaining(0) == 4.0
    bucket.set_remaining(1.0, now=0)
    assert [bucket.remaining(second * SECOND) for second in (0, 1, 2)] == [1.0, 3.0, 4.0]


def test_leased_units_count_towards_the_capacity() -> None:
    bucket = TokenBucket(rate=2.0, capacity=4.0, now=0)
    bucket.leased_units = 1.5
    assert bucket.remaining(60 * SECOND) == 2.5


def test_advancing_the_bound_does_not_change_later_values() -> None:
    bucket = TokenBucket(rate=2.0, capacity=4.0, now=0)
    bucket.set_remaining(1.0, now=0)
    bucket.advance_to(SECOND // 2)
    assert bucket.remaining_upper_bound == 2.0
    assert bucket.remaining(SECOND) == 3.0
