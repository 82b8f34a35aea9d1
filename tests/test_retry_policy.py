"""Retries and hedging: which further attempts are sent, and the timeouts of attempts."""

from __future__ import annotations

from dataclasses import replace

import pytest

from quota_ingress.policy.actions import Action, Reject, SendAttempt
from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.leased_quota import LeasedQuota
from quota_ingress.policy.outlier import SlowdownTracker
from quota_ingress.policy.request_state import Attempt, Request
from quota_ingress.policy.retry_policy import RetryPolicy
from quota_ingress.policy.settings import DeduplicationScope, Idempotency
from tests.helpers import (
    CLASSES,
    SECOND,
    UNLIMITED_PLANS,
    arrival,
    endpoint_entries,
    endpoint_entry,
    of_type,
    settings,
    unlimited_gateway,
)


def actions_after_failure(latency: int) -> list[Action]:
    """Returns the actions after an attempt that failed `latency` us after its start.

    The client waits for 300 ms.
    """
    gateway = unlimited_gateway(*endpoint_entries(2))
    for n in range(5):
        for sent in of_type(gateway.handle(n * SECOND, arrival(n)), SendAttempt):
            gateway.handle(n * SECOND, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 100_000, True))
    (sent,) = of_type(gateway.handle(9 * SECOND, arrival(9, time_left=300_000)), SendAttempt)
    ended = AttemptEnded(9, 0, sent.endpoint, Outcome.ERROR, latency, False)
    return gateway.handle(9 * SECOND + latency, ended)


def test_no_retry_is_sent_without_enough_time_for_an_answer() -> None:
    assert of_type(actions_after_failure(150_000), SendAttempt)  # the baseline latency is 100 ms
    actions_near_deadline = actions_after_failure(299_000)
    assert not of_type(actions_near_deadline, SendAttempt) and of_type(actions_near_deadline, Reject)


def test_an_attempt_times_out_no_earlier_than_at_half_of_the_objective() -> None:
    gateway = unlimited_gateway(*endpoint_entries(1), limits={"may_hedge": False})
    for n in range(4):
        (sent,) = of_type(gateway.handle(n, arrival(n)), SendAttempt)
        assert sent.timeout >= SECOND // 2  # a timeout of a third cut off many answers
        gateway.handle(n, AttemptEnded(n, 0, 1, Outcome.OK, 20_000, True))


def request_that_may_have_run(idempotency: Idempotency, scope: DeduplicationScope) -> Request:
    """Returns a request sent at time 0 to an endpoint in zone 0 and cell 0, which may have executed it."""
    request_class = replace(
        CLASSES[0], idempotency=idempotency, deduplication_scope=scope, deduplication_window=SECOND
    )
    quota = LeasedQuota(UNLIMITED_PLANS[0], gateway_count=1, slot_duration=SECOND, now=0)
    request = Request(arrival(1), request_class, quota, arrived_at=0, useful_until=4 * SECOND)
    first = Endpoint(endpoint_entry(2, zone=0, cell=0))
    request.attempts.append(Attempt(first, sent_at=0, in_flight=False))
    return request


@pytest.mark.parametrize(
    ("idempotency", "scope", "zone", "cell", "now", "expected"),
    [
        (Idempotency.IDEMPOTENT, DeduplicationScope.CELL, 1, 1, 2 * SECOND, True),
        (Idempotency.NOT_IDEMPOTENT, DeduplicationScope.ALL, 0, 0, 0, False),
        (Idempotency.WITH_KEY, DeduplicationScope.ALL, 1, 1, 0, True),
        (Idempotency.WITH_KEY, DeduplicationScope.ZONE, 0, 1, 0, True),
        (Idempotency.WITH_KEY, DeduplicationScope.ZONE, 1, 0, 0, False),
        (Idempotency.WITH_KEY, DeduplicationScope.CELL, 1, 0, 0, True),
        (Idempotency.WITH_KEY, DeduplicationScope.CELL, 0, 1, 0, False),
        (Idempotency.WITH_KEY, DeduplicationScope.ALL, 0, 0, SECOND - 1001, True),  # a tick is 1000 us
        (Idempotency.WITH_KEY, DeduplicationScope.ALL, 0, 0, SECOND - 1000, False),
    ],
)
def test_a_request_that_may_have_run_is_sent_again_only_where_a_second_run_does_no_harm(
    idempotency: Idempotency, scope: DeduplicationScope, zone: int, cell: int, now: int, expected: bool
) -> None:
    policy = RetryPolicy(settings(), SlowdownTracker(class_count=len(CLASSES), initial_limit=8.0))
    request = request_that_may_have_run(idempotency, scope)
    other = Endpoint(endpoint_entry(3, zone=zone, cell=cell))
    assert policy.may_send_to(other, request, now) is expected
    request.attempts[0].may_have_run = False
    assert policy.may_send_to(other, request, now)


@pytest.mark.parametrize("may_hedge", [False, True])
def test_a_second_attempt_in_flight_is_sent_only_with_hedging_and_to_another_endpoint(
    may_hedge: bool,
) -> None:
    slowdowns = SlowdownTracker(class_count=len(CLASSES), initial_limit=8.0)
    policy = RetryPolicy(settings(limits={"may_hedge": may_hedge}), slowdowns)
    request = request_that_may_have_run(Idempotency.IDEMPOTENT, DeduplicationScope.ALL)
    request.attempts[0].in_flight = True
    assert not policy.may_send_to(request.attempts[0].endpoint, request, 0)
    assert policy.may_send_to(Endpoint(endpoint_entry(3)), request, 0) is may_hedge
