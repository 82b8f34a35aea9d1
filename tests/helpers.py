"""Settings, events and a fake counter for the tests of the policy; all figures are arbitrary."""

from __future__ import annotations

from dataclasses import replace
from types import UnionType
from typing import Any

from quota_ingress.policy.actions import Action, AddToCounter, SendAttempt
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import AttemptEnded, CounterAnswered, Event, Outcome, RequestArrived
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import (
    CounterLimits,
    DeduplicationScope,
    Idempotency,
    Limits,
    Plan,
    RequestClass,
    Safety,
    Settings,
)

SECOND = 1_000_000
READY, DRAINING, REMOVED = EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED

CLASSES = (
    RequestClass("read", latency_objective=SECOND, deadline=4 * SECOND, idempotency=Idempotency.IDEMPOTENT),
    RequestClass(
        "pay",
        SECOND,
        3 * SECOND,
        Idempotency.WITH_KEY,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window=5 * SECOND,
    ),
    RequestClass("order", 2 * SECOND, 5 * SECOND, Idempotency.NOT_IDEMPOTENT),
)
PLANS = (
    Plan("small", rate=2.0, burst=4.0),
    Plan("paid over quota", rate=2.0, burst=4.0, over_quota_earnings=0.3),
    Plan("capped", rate=0.0, burst=0.0, max_in_flight=2),
    Plan("ceiling", rate=2.0, burst=4.0, ceiling_rate=4.0, ceiling_burst=8.0),
)
UNLIMITED_PLANS = (Plan("free", rate=0.0, burst=0.0),)


def settings(**changes: Any) -> Settings:
    limits = changes.pop("limits", {})
    base = Settings(
        gateway_index=0,
        fleet_size=2,
        zone=0,
        tick=1000,
        classes=CLASSES,
        plans=PLANS,
        limits=replace(
            Limits(max_attempts=3, may_hedge=True, may_cancel=True, max_retry_after=500_000), **limits
        ),
        safety=Safety(
            8000,
            500_000,
            initial_capacity_fraction=0.2,
            warmup_time=10 * SECOND,
            overload_multiple=2.0,
            overload_window=SECOND,
        ),
        counter=CounterLimits(True, 30_000, 0.01),
    )
    return replace(base, **changes)


def endpoint_entry(
    number: int, state: EndpointState = READY, started_at: int = 0, **overrides: Any
) -> ListedEndpoint:
    fields: dict[str, Any] = {"zone": 0, "cell": number % 2, "kind": 0, "weight": 1.0} | overrides
    return ListedEndpoint(id=number, state=state, started_at=started_at, **fields)


def endpoints_listed(*entries: ListedEndpoint, kind: ListKind = ListKind.FULL) -> EndpointsListed:
    return EndpointsListed(kind, 1, entries)


def arrival(number: int, **changes: Any) -> RequestArrived:
    base = RequestArrived(
        number, request_class=0, plan=0, customer=7, units=1.0, time_left=3 * SECOND, gateway_count=2
    )
    return replace(base, **changes)


def gateway_with_endpoints(endpoint_count: int = 4, **changes: Any) -> Gateway:
    """Returns a gateway with a full list of endpoints 1 to `endpoint_count`."""
    gateway = Gateway(settings(**changes), seed=1)
    gateway.handle(0, endpoints_listed(*endpoint_entries(endpoint_count)))
    return gateway


def endpoint_entries(count: int) -> list[ListedEndpoint]:
    """Returns entries of the endpoints 1 to `count`."""
    return [endpoint_entry(number) for number in range(1, count + 1)]


def unlimited_gateway(*entries: ListedEndpoint, **changes: Any) -> Gateway:
    """Returns a gateway with a full list of `entries`, whose customers have no quotas."""
    gateway = Gateway(settings(plans=UNLIMITED_PLANS, **changes), seed=3)
    gateway.handle(0, endpoints_listed(*entries))
    return gateway


def answer_attempts(gateway: Gateway, now: int, actions: list[Action]) -> int:
    """Reports success at `now` for every attempt among `actions`; returns the number of attempts."""
    sent = of_type(actions, SendAttempt)
    for attempt in sent:
        gateway.handle(now, AttemptEnded(attempt.request, 0, attempt.endpoint, Outcome.OK, 50_000, True))
    return len(sent)


def chosen_endpoints(gateway: Gateway, now: int, requests: range, **changes: Any) -> list[int]:
    """Returns the endpoints that `requests` are sent to when all of them arrive at `now`."""
    attempts = [
        sent for n in requests for sent in of_type(gateway.handle(now, arrival(n, **changes)), SendAttempt)
    ]
    return [sent.endpoint for sent in attempts]


def endpoints_used(gateway: Gateway, now: int, first_request: int) -> set[int]:
    """Returns the endpoints of 200 requests, each of which is served before the next one arrives."""
    used = set()
    for number in range(first_request, first_request + 200):
        for sent in of_type(gateway.handle(now, arrival(number)), SendAttempt):
            used.add(sent.endpoint)
            gateway.handle(now, AttemptEnded(number, 0, sent.endpoint, Outcome.OK, 50_000, True))
    return used


def of_type(actions: list[Action], action_type: type | UnionType) -> list[Any]:
    return [a for a in actions if isinstance(a, action_type)]


class FakeCounter:
    """A counter that answers every call immediately."""

    def __init__(self) -> None:
        self.totals: dict[int, float] = {}

    def apply(self, actions: list[Action]) -> list[CounterAnswered]:
        results = []
        for add in of_type(actions, AddToCounter):
            self.totals[add.name] = self.totals.get(add.name, 0.0) + add.amount
            results.append(CounterAnswered(add.name, Outcome.OK, self.totals[add.name], 1000))
        return results


def handle_with_counter(gateway: Any, now: int, event: Event, counter: FakeCounter) -> list[Action]:
    """Handles `event` and the counter's answers to the calls that result; returns all actions in order."""
    all_actions: list[Action] = []
    queue: list[Event] = [event]
    while queue:
        actions = gateway.handle(now, queue.pop(0))
        all_actions += actions
        queue += counter.apply(actions)
    return all_actions
