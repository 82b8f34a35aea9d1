"""The life cycle of a request: safety rules over random event sequences, and unexpected or invalid events."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from quota_ingress.policy.actions import (
    Action,
    AddToCounter,
    Fail,
    Reject,
    SendAttempt,
    SetTimer,
    SubscribeToEndpoints,
)
from quota_ingress.policy.endpoint_list import EndpointsListed, ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    PeerMessage,
    ProbeAnswered,
    StreamStarted,
    TimerFired,
)
from quota_ingress.policy.gateway import Gateway, InvalidSettingsError
from quota_ingress.policy.settings import Idempotency, RequestClass
from tests.helpers import (
    CLASSES,
    DRAINING,
    PLANS,
    READY,
    REMOVED,
    SECOND,
    UNLIMITED_PLANS,
    arrival,
    endpoint_entry,
    endpoints_listed,
    gateway_with_endpoints,
    of_type,
    settings,
)

OUTCOMES = list(Outcome)
NEVER_RAN = {Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT}
ANSWER_SLACK = 8000  # us
COUNTER_TIMEOUT = 30_000  # us
MAX_ATTEMPTS = 3


class ObservedAttempt(NamedTuple):
    """An attempt that the gateway sent; times in us."""

    endpoint: int
    sent_at: int
    timeout: int


class PendingCall(NamedTuple):
    """A call to the counter without an answer so far."""

    called_at: int
    call: AddToCounter


@dataclass
class ObservedRequest:
    """What an outside observer knows about one request."""

    request_class: RequestClass
    deadline: int
    attempts: list[ObservedAttempt] = field(default_factory=list)
    outcomes: dict[int, Outcome] = field(default_factory=dict)  # by attempt
    answers: int = 0

    def may_have_run(self, attempt: int) -> bool:
        return self.outcomes.get(attempt) not in NEVER_RAN


class RuleChecker:
    """Passes events to a gateway and checks each of its actions against the safety rules."""

    def __init__(self, seed: int, may_hedge: bool) -> None:
        self.rng = random.Random(seed)
        self.may_hedge = may_hedge
        self.gateway = Gateway(settings(limits={"may_hedge": may_hedge}), seed)
        self.now = 0
        self.cells = {n: n % 2 for n in range(1, 6)}
        self.states = dict.fromkeys(self.cells, READY)
        self.requests: dict[int, ObservedRequest] = {}
        self.calls: list[PendingCall] = []
        self.timers: list[SetTimer] = []
        self.feed(endpoints_listed(*(endpoint_entry(n) for n in self.cells)))

    def feed(self, event: Event) -> None:
        for action in self.gateway.handle(self.now, event):
            self.check(action)

    def check(self, action: Action) -> None:
        if isinstance(action, SendAttempt):
            self.check_attempt(action)
        elif isinstance(action, Reject | Fail):
            self.check_answer(action)
        elif isinstance(action, AddToCounter):
            self.calls.append(PendingCall(self.now, action))
        elif isinstance(action, SetTimer):
            self.timers.append(action)

    def check_answer(self, action: Reject | Fail) -> None:
        request = self.requests[action.request]
        request.answers += 1
        assert request.answers == 1, "request got a second final answer"
        assert self.now <= request.deadline + ANSWER_SLACK, "request was answered after its deadline"
        if isinstance(action, Reject) and request.request_class.idempotency is not Idempotency.IDEMPOTENT:
            assert not any(request.may_have_run(n) for n in range(len(request.attempts)))

    def check_attempt(self, action: SendAttempt) -> None:
        request = self.requests[action.request]
        assert request.answers == 0, "attempt sent after the request's final answer"
        assert self.states[action.endpoint] is READY, "attempt sent to an endpoint that is not ready"
        assert 0 < action.timeout <= request.deadline - self.now
        numbers = range(len(request.attempts))
        in_flight = [n for n in numbers if n not in request.outcomes]
        assert self.may_hedge or not in_flight, "two attempts in flight without hedging"
        runs = [request.attempts[n] for n in numbers if request.may_have_run(n)]
        if runs:
            self.check_repeated_run(request.request_class, runs[0], action.endpoint)
        request.attempts.append(ObservedAttempt(action.endpoint, self.now, action.timeout))
        assert len(request.attempts) <= MAX_ATTEMPTS

    def check_repeated_run(self, request_class: RequestClass, first: ObservedAttempt, endpoint: int) -> None:
        idempotency = request_class.idempotency
        assert idempotency is not Idempotency.NOT_IDEMPOTENT, "request that is not idempotent sent again"
        if idempotency is Idempotency.WITH_KEY:
            assert self.cells[first.endpoint] == self.cells[endpoint]
            assert self.now - first.sent_at < request_class.deduplication_window

    def step(self, choice: int) -> None:
        if choice < 4:
            self.arrive()
        elif choice < 6:
            self.end_some_attempt()
        elif choice == 6:
            number = self.rng.choice(list(self.states))
            self.states[number] = self.rng.choice([READY, READY, DRAINING, REMOVED])
            self.feed(endpoints_listed(endpoint_entry(number, self.states[number]), kind=ListKind.DELTA))
        elif choice == 7 and self.calls:
            self.answer_call(self.rng.choice([Outcome.OK, Outcome.OK, Outcome.REJECTED]))
        else:
            self.advance(self.rng.choice([1000, 20_000, 300_000]))

    def arrive(self) -> None:
        number = len(self.requests) + 1
        request_class = self.rng.randrange(3)
        time_left = self.rng.choice([1000, SECOND // 4, SECOND, 3 * SECOND])
        plan = self.rng.randrange(4)
        customer = self.rng.randrange(4)
        self.requests[number] = ObservedRequest(CLASSES[request_class], self.now + time_left)
        self.feed(
            arrival(number, request_class=request_class, plan=plan, customer=customer, time_left=time_left)
        )

    def end_some_attempt(self) -> None:
        in_flight = [
            (number, attempt)
            for number, request in self.requests.items()
            for attempt in range(len(request.attempts))
            if attempt not in request.outcomes
        ]
        if in_flight:
            number, attempt = self.rng.choice(in_flight)
            self.end_attempt(number, attempt, self.rng.choice(OUTCOMES))

    def end_attempt(self, number: int, attempt: int, outcome: Outcome) -> None:
        request = self.requests[number]
        sent = request.attempts[attempt]
        request.outcomes[attempt] = outcome
        request.answers += outcome is Outcome.OK and not request.answers
        latency = self.now - sent.sent_at
        self.feed(AttemptEnded(number, attempt, sent.endpoint, outcome, latency, request.answers > 0))

    def answer_call(self, outcome: Outcome) -> None:
        call = self.calls.pop(0).call
        self.feed(CounterAnswered(call.name, outcome, self.rng.choice([0.0, 1.0, 3.0, 9.0, -4.0]), 900))

    def advance(self, duration: int) -> None:
        end = self.now + duration
        while self.now < end:
            self.now = min(end, self.now + 1000)
            while self.calls and self.calls[0].called_at + COUNTER_TIMEOUT <= self.now:
                self.answer_call(Outcome.TIMEOUT)
            for number, request in self.requests.items():
                for attempt, sent in enumerate(request.attempts):
                    if attempt not in request.outcomes and sent.sent_at + sent.timeout <= self.now:
                        self.end_attempt(number, attempt, Outcome.TIMEOUT)
            for timer in [timer for timer in self.timers if timer.at <= self.now]:
                self.timers.remove(timer)
                self.feed(TimerFired(timer.token))


@hypothesis_settings(derandomize=True, deadline=None, max_examples=60)
@given(st.integers(0, 10**6), st.booleans(), st.lists(st.integers(0, 9), min_size=20, max_size=120))
def test_safety_rules_hold_for_random_events(seed: int, may_hedge: bool, choices: list[int]) -> None:
    checker = RuleChecker(seed, may_hedge)
    for choice in choices:
        checker.step(choice)
    for _ in range(8):
        checker.advance(500_000)
    assert all(request.answers == 1 for request in checker.requests.values()), "request without an answer"


def actions_of_random_run(seed: int) -> list[list[Action]]:
    """Returns a gateway's actions for each event of a random sequence."""
    checker = RuleChecker(seed, may_hedge=True)
    handle = checker.gateway.handle
    recorded: list[list[Action]] = []

    def record(now: int, event: Event) -> list[Action]:
        recorded.append(handle(now, event))
        return recorded[-1]

    checker.gateway.handle = record  # type: ignore[method-assign]
    for choice in random.Random(seed).choices(range(10), k=80):
        checker.step(choice)
    return recorded


@hypothesis_settings(derandomize=True, deadline=None, max_examples=20)
@given(st.integers(0, 10**6))
def test_equal_seeds_and_events_lead_to_equal_actions(seed: int) -> None:
    assert actions_of_random_run(seed) == actions_of_random_run(seed)


@pytest.mark.parametrize(
    "event",
    [
        AttemptEnded(99, 0, 42, Outcome.OK, 5, True),
        TimerFired(12345),
        CounterAnswered(5, Outcome.OK, 1.0, 5),
        ClientDisconnected(77),
        StreamStarted(77, 0, 1, 5),
        ProbeAnswered(77, Outcome.OK, 5, (float("nan"), -1.0)),
        PeerMessage(9, b"\xff\x00 nonsense"),
        EndpointsListed(ListKind.FAILED, 0, ()),
    ],
)
def test_events_with_unknown_ids_cause_no_action(event: Event) -> None:
    assert RuleChecker(1, may_hedge=True).gateway.handle(5, event) == []


@pytest.mark.parametrize(
    "invalid_fields",
    [{"request_class": 9}, {"plan": 9}, {"units": float("nan")}, {"units": -1.0}, {"time_left": 0}],
)
def test_requests_with_invalid_fields_are_rejected(invalid_fields: dict[str, float]) -> None:
    assert RuleChecker(1, may_hedge=True).gateway.handle(5, arrival(1, **invalid_fields)) == [Reject(1)]


def test_load_reports_with_invalid_values_raise_no_error() -> None:
    checker = RuleChecker(1, may_hedge=True)
    checker.requests[1] = ObservedRequest(CLASSES[0], 3 * SECOND)
    checker.feed(arrival(1, plan=2))
    endpoint = checker.requests[1].attempts[0].endpoint
    load = (float("nan"), float("inf"), -3.0)
    checker.feed(AttemptEnded(1, 0, endpoint, Outcome.OK, 5, True, load))
    checker.feed(AttemptEnded(1, 0, endpoint, Outcome.OK, 5, True, load))


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"fleet_size": 0}, "fleet_size is 0"),
        ({"limits": {"max_attempts": 0}}, "max_attempts is 0"),
        ({"classes": ()}, "no request classes"),
        ({"classes": (replace(CLASSES[0], latency_objective=0),)}, "class 0"),
        ({"plans": (PLANS[0], replace(PLANS[0], burst=math.nan))}, "plan 1"),
    ],
)
def test_errors_about_settings_name_the_setting_out_of_range(changes: dict[str, Any], message: str) -> None:
    with pytest.raises(InvalidSettingsError, match=message):
        Gateway(settings(**changes), seed=1)


def test_subscribes_to_the_endpoint_list_if_the_settings_require_it() -> None:
    gateway = Gateway(settings(must_subscribe=True), 1)
    assert of_type(
        gateway.handle(0, endpoints_listed(endpoint_entry(1), kind=ListKind.CACHED)), SubscribeToEndpoints
    )
    assert of_type(gateway.handle(9, EndpointsListed(ListKind.FAILED, 0, ())), SubscribeToEndpoints)


def test_idle_customers_are_discarded_once_their_bucket_must_be_full() -> None:
    gateway = Gateway(settings(plans=UNLIMITED_PLANS), seed=3)
    gateway.handle(0, endpoints_listed(endpoint_entry(1)))
    for n in range(40):  # a window is two seconds long
        gateway.handle(n * SECOND, arrival(n, customer=n))
        gateway.handle(n * SECOND, ClientDisconnected(n))
    assert len(gateway.admission.customers) <= 8


def test_reordered_repeated_and_stray_events_cause_no_second_answer() -> None:
    gateway = gateway_with_endpoints(20, fleet_size=100, plans=UNLIMITED_PLANS)
    rejections: dict[int, int] = {}
    ended: list[Event] = []
    for n in range(50):
        actions = gateway.handle(SECOND, arrival(n))
        attempts = of_type(actions, SendAttempt)
        ended += [AttemptEnded(n, 0, sent.endpoint, Outcome.OK, 1000, True) for sent in attempts]
        for rejection in of_type(actions, Reject):
            rejections[rejection.request] = rejections.get(rejection.request, 0) + 1
    stray_events: list[Event] = [
        ClientDisconnected(777),
        CounterAnswered(5, Outcome.OK, -3.0, 1),
        PeerMessage(9, b"\xff"),
        TimerFired(3),
        AttemptEnded(4000, 2, 1, Outcome.ERROR, 5, True),
    ]
    for event in [*reversed(ended), *stray_events, *ended]:
        for action in gateway.handle(5 * SECOND, event):
            assert not isinstance(action, SendAttempt | Reject | Fail)
    assert not gateway.requests and not gateway.attempts_in_flight and gateway.endpoints.in_flight == 0
    assert all(count == 1 for count in rejections.values())
