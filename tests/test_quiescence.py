"""Once no request, call or timer is open, a gateway keeps no state of them, whatever the order of events."""

from __future__ import annotations

import math
import random

from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from quota_ingress.policy.actions import AddToCounter, Fail, Reject, SendAttempt, SetTimer
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    TimerFired,
)
from quota_ingress.policy.gateway import Gateway
from tests.helpers import (
    DRAINING,
    PLANS,
    READY,
    REMOVED,
    SECOND,
    arrival,
    endpoint_entry,
    endpoints_listed,
    settings,
)

OUTCOMES = list(Outcome)
CALL_OUTCOMES = [Outcome.OK] * 5 + [
    Outcome.TIMEOUT,
    Outcome.REJECTED,
    Outcome.RESET,
    Outcome.CONNECT_FAILED,
]
MAY_HAVE_BEEN_ADDED = (Outcome.OK, Outcome.TIMEOUT, Outcome.RESET)
MAX_STEPS_UNTIL_QUIET = 3000


class RandomEvents:
    """Random events for a gateway, and the state of its requests, attempts, calls and timers.

    Answers of attempts and counter calls are lost, the counter drops totals, clients disconnect, the endpoint
    list changes and customers are handed over. A customer's requests reach few gateways or many.
    """

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.fleet_size = self.rng.choice([2, 4, 20, 40])
        self.gateway_count = self.rng.choice([1, 2, min(self.fleet_size, 13), self.fleet_size])
        limits = {"may_hedge": self.rng.random() < 0.5, "may_cancel": self.rng.random() < 0.5}
        self.gateway = Gateway(settings(fleet_size=self.fleet_size, limits=limits), seed)
        self.now = 0
        self.last_request = 0
        self.open_requests: dict[int, int] = {}  # requests without a final answer, and their deadlines
        self.in_flight: list[tuple[int, int, int, int]] = []  # request, attempt, endpoint, time of sending
        self.attempt_numbers: dict[int, int] = {}
        self.calls: list[tuple[AddToCounter, int]] = []
        self.timers: list[SetTimer] = []
        self.totals: dict[int, float] = {}
        self.handle(endpoints_listed(*(endpoint_entry(n) for n in range(1, 7))))

    def handle(self, event: Event) -> None:
        for action in self.gateway.handle(self.now, event):
            match action:
                case SendAttempt(request, endpoint, _):
                    self.attempt_numbers[request] = self.attempt_numbers.get(request, -1) + 1
                    self.in_flight.append((request, self.attempt_numbers[request], endpoint, self.now))
                case Reject(request) | Fail(request):
                    assert self.open_requests.pop(request, None) is not None, (
                        "the request got a second final answer"
                    )
                case AddToCounter(_, amount, ttl):
                    assert math.isfinite(amount) and ttl > 0
                    self.calls.append((action, self.now))
                case SetTimer():
                    self.timers.append(action)

    def advance(self, microseconds: int) -> None:
        self.now += microseconds
        for timer in [t for t in self.timers if t.at <= self.now]:
            self.timers.remove(timer)
            self.handle(TimerFired(timer.token))
        for request in [r for r, deadline in self.open_requests.items() if deadline <= self.now]:
            if self.open_requests.pop(request, None) is not None:
                self.handle(ClientDisconnected(request))

    def send_request(self) -> None:
        self.last_request += 1
        time_left = self.rng.choice([5000, 200_000, 3 * SECOND])
        self.open_requests[self.last_request] = self.now + time_left
        event = arrival(
            self.last_request,
            plan=self.rng.randrange(len(PLANS)),
            units=self.rng.choice([0.5, 1.0, 2.0]),
            request_class=self.rng.randrange(3),
            is_retry=self.rng.random() < 0.2,
            customer=self.rng.randrange(3),
            time_left=time_left,
            gateway_count=self.gateway_count,
        )
        self.handle(event)

    def end_attempt(self, index: int) -> None:
        request, attempt, endpoint, sent_at = self.in_flight.pop(index)
        outcome = self.rng.choice(OUTCOMES)
        is_final = request not in self.open_requests or outcome is Outcome.OK
        if is_final:
            self.open_requests.pop(request, None)
        self.handle(AttemptEnded(request, attempt, endpoint, outcome, self.now - sent_at, is_final))

    def answer_call(self, outcome: Outcome) -> None:
        call, called_at = self.calls.pop(0)
        if outcome in MAY_HAVE_BEEN_ADDED:
            self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        if self.rng.random() < 0.03:
            self.totals[call.name] = 0.0  # the counter has dropped the name
        self.handle(
            CounterAnswered(call.name, outcome, self.totals.get(call.name, 0.0), self.now - called_at)
        )

    def step(self) -> None:
        self.advance(self.rng.choice([0, 500, 5000, 30_000, 400_000]))
        draw = self.rng.random()
        if draw < 0.4:
            self.send_request()
        elif draw < 0.6 and self.in_flight:
            self.end_attempt(self.rng.randrange(len(self.in_flight)))
        elif draw < 0.8 and self.calls:
            self.answer_call(self.rng.choice(CALL_OUTCOMES))
        elif draw < 0.86 and self.open_requests:
            request = self.rng.choice(sorted(self.open_requests))
            del self.open_requests[request]
            self.handle(ClientDisconnected(request))
        elif draw < 0.93:
            state = self.rng.choice([READY, READY, DRAINING, REMOVED])
            started_at = self.rng.choice([0, self.now])
            changed = endpoint_entry(self.rng.randrange(1, 7), state, started_at=started_at)
            self.handle(endpoints_listed(changed, kind=ListKind.DELTA))
        elif draw < 0.95:
            self.gateway.hand_over()

    def run_until_quiet(self) -> None:
        for _ in range(MAX_STEPS_UNTIL_QUIET):
            if not (self.in_flight or self.calls or self.timers):
                assert not self.open_requests, "requests are open that no attempt, call or timer can answer"
                return
            self.advance(20_000)
            if self.calls:
                self.answer_call(Outcome.OK)
            if self.in_flight:
                self.end_attempt(0)
        raise AssertionError(f"the gateway still had open work after {MAX_STEPS_UNTIL_QUIET} steps")


@examples(derandomize=True, deadline=None, max_examples=120)
@given(st.integers(0, 1 << 30))
def test_no_state_is_left_once_all_requests_calls_and_timers_have_ended(seed: int) -> None:
    events = RandomEvents(seed)
    for _ in range(events.rng.choice([60, 250])):
        events.step()
    events.run_until_quiet()
    gateway = events.gateway
    assert not gateway.requests and not gateway.attempts_in_flight and not gateway.admission.pending_calls
    assert gateway.endpoints.in_flight == 0 and not any(
        b.in_flight for b in gateway.endpoints.candidates.values()
    )
    for customer, quota in gateway.admission.customers.items():
        assert quota.in_flight == 0 and not quota.waiting and not quota.lease_requested
        state = quota.hand_over(customer, plan=0)
        sums = (
            state.leased_units,
            state.unreported_units,
            state.counted_lease,
            state.counted_usage,
            state.local_allowance,
            state.remaining_upper_bound,
        )
        assert all(map(math.isfinite, sums)) and state.unreported_units >= 0
