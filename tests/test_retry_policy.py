"""Which further attempts are sent, and how long one is waited for."""

from __future__ import annotations

from quota_ingress.policy.actions import Action, Reject, SendAttempt
from quota_ingress.policy.events import AttemptEnded, Outcome
from quota_ingress.policy.gateway import Gateway
from tests.helpers import SECOND, UNLIMITED_PLANS, arrival, endpoint_entry, listed, of, settings


def gateway(endpoint_count: int, **changes: object) -> Gateway:
    made = Gateway(settings(plans=UNLIMITED_PLANS, **changes), seed=3)
    made.handle(0, listed(*(endpoint_entry(n) for n in range(1, endpoint_count + 1))))
    return made


def actions_after_failure(latency: int) -> list[Action]:
    """What is done when an attempt fails after `latency` of the 300 ms that its client waits."""
    g = gateway(2)
    for n in range(5):
        for sent in of(g.handle(n * SECOND, arrival(n)), SendAttempt):
            g.handle(n * SECOND, AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 100_000, True))
    (sent,) = of(g.handle(9 * SECOND, arrival(9, time_left=300_000)), SendAttempt)
    ended = AttemptEnded(9, 0, sent.endpoint, Outcome.ERROR, latency, False)
    return g.handle(9 * SECOND + latency, ended)


def test_no_retry_is_sent_that_cannot_end_in_time() -> None:
    assert of(actions_after_failure(150_000), SendAttempt)  # answers usually take 100 ms
    too_late = actions_after_failure(299_000)
    assert not of(too_late, SendAttempt) and of(too_late, Reject)


def test_an_answer_is_waited_for_until_half_of_the_objective_has_passed() -> None:
    g = gateway(1, limits={"may_hedge": False})
    for n in range(4):
        (sent,) = of(g.handle(n, arrival(n)), SendAttempt)
        assert sent.timeout >= SECOND // 2  # a third cut off many an answer
        g.handle(n, AttemptEnded(n, 0, 1, Outcome.OK, 20_000, True))
