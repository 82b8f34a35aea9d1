"""The slowdowns of endpoints and their averages by request class."""

from __future__ import annotations

import random

import pytest

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.outlier import FAILURE_SLOWDOWN, UNREACHABLE_SLOWDOWN, SlowdownTracker
from tests.helpers import SECOND, endpoint_entry

CLASS_COUNT = 2


def make_tracker() -> SlowdownTracker:
    return SlowdownTracker(CLASS_COUNT, initial_limit=8.0)


def make_endpoint() -> Endpoint:
    return Endpoint(endpoint_entry(1), slowdown_by_class=[1.0] * CLASS_COUNT)


def lowest_mean(tracker: SlowdownTracker) -> float:
    """Computes the lowest mean slowdown of the classes that have a baseline."""
    averages = zip(tracker.mean_slowdowns, tracker.baseline_latencies, strict=True)
    return min((mean for mean, baseline in averages if baseline), default=1.0)


def test_the_lowest_mean_slowdown_is_that_of_the_classes_with_a_baseline() -> None:
    rng = random.Random(1)
    tracker, endpoint = make_tracker(), make_endpoint()
    for n in range(500):
        outcome = rng.choice(list(Outcome))
        tracker.record(endpoint, n * SECOND, rng.randrange(CLASS_COUNT), outcome, rng.randrange(1, SECOND))
        assert tracker.lowest_mean_slowdown == lowest_mean(tracker)
    tracker.restore((100.0, 0.0), (3.0, 2.0))
    assert tracker.lowest_mean_slowdown == 3.0


def test_a_failure_counts_as_a_slow_answer_of_its_class_only() -> None:
    tracker, endpoint = make_tracker(), make_endpoint()
    tracker.record(endpoint, 0, 0, Outcome.ERROR, 1000)
    assert 1.0 < tracker.slowdown(endpoint, 0, 0) < FAILURE_SLOWDOWN
    assert tracker.slowdown(endpoint, 1, 0) == 1.0


@pytest.mark.parametrize("outcome", [Outcome.CONNECT_FAILED, Outcome.RESET])
def test_an_unreachable_endpoint_counts_as_slow_for_all_classes_until_the_slowdown_decays(
    outcome: Outcome,
) -> None:
    tracker, endpoint = make_tracker(), make_endpoint()
    tracker.record(endpoint, 0, 0, outcome, 1000)
    assert [tracker.slowdown(endpoint, n, 0) for n in range(CLASS_COUNT)] == [UNREACHABLE_SLOWDOWN] * 2
    assert tracker.slowdown(endpoint, 1, 60 * SECOND) < 1.1


@pytest.mark.parametrize("outcome", [Outcome.REJECTED, Outcome.CANCELLED, Outcome.NOT_SENT])
def test_outcomes_without_information_on_latency_are_ignored(outcome: Outcome) -> None:
    tracker, endpoint = make_tracker(), make_endpoint()
    tracker.record(endpoint, SECOND, 0, outcome, 1000)
    assert tracker.mean_slowdowns == [1.0] * CLASS_COUNT and endpoint.last_outcome_at == 0
