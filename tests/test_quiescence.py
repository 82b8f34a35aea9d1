"""Once no request, call or timer is open, a gateway holds nothing of them, whatever the order of events."""

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
MAX_STEPS_TO_REST = 3000


class RandomEvents:
    """Random events for a gateway: lost answers, forgotten counters, clients that leave, changes of the
    endpoint list, and hand-overs; customers of few gateways and of many."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.size = self.rng.choice([2, 4, 20, 40])
        self.gateway_count = self.rng.choice([1, 2, min(self.size, 13), self.size])
        limits = {"may_hedge": self.rng.random() < 0.5, "may_cancel": self.rng.random() < 0.5}
        self.gateway = Gateway(settings(fleet_size=self.size, limits=limits), seed)
        self.now = 0
        self.number = 0
        self.open: dict[int, int] = {}  # requests with no final answer, and their deadlines
        self.in_flight: list[tuple[int, int, int, int]] = []  # request, attempt, endpoint, sent at
        self.sent: dict[int, int] = {}
        self.calls: list[tuple[AddToCounter, int]] = []
        self.timers: list[SetTimer] = []
        self.totals: dict[int, float] = {}
        self.handle(endpoints_listed(*(endpoint_entry(n) for n in range(1, 7))))

    def handle(self, event: Event) -> None:
        for action in self.gateway.handle(self.now, event):
            match action:
                case SendAttempt(request, endpoint, _):
                    self.sent[request] = self.sent.get(request, -1) + 1
                    self.in_flight.append((request, self.sent[request], endpoint, self.now))
                case Reject(request) | Fail(request):
                    assert self.open.pop(request, None) is not None, "a second final answer"
                case AddToCounter(_, amount, ttl):
                    assert math.isfinite(amount) and ttl > 0
                    self.calls.append((action, self.now))
                case SetTimer():
                    self.timers.append(action)

    def advance(self, us: int) -> None:
        self.now += us
        for timer in [t for t in self.timers if t.at <= self.now]:
            self.timers.remove(timer)
            self.handle(TimerFired(timer.token))
        for request in [r for r, deadline in self.open.items() if deadline <= self.now]:
            if self.open.pop(request, None) is not None:
                self.handle(ClientDisconnected(request))

    def arrive(self) -> None:
        self.number += 1
        time_left = self.rng.choice([5000, 200_000, 3 * SECOND])
        self.open[self.number] = self.now + time_left
        event = arrival(
            self.number,
            plan=self.rng.randrange(len(PLANS)),
            units=self.rng.choice([0.5, 1.0, 2.0]),
            request_class=self.rng.randrange(3),
            is_retry=self.rng.random() < 0.2,
            customer=self.rng.randrange(3),
            time_left=time_left,
            gateway_count=self.gateway_count,
        )
        self.handle(event)

    def end_attempt(self, at: int) -> None:
        request, attempt, endpoint, sent_at = self.in_flight.pop(at)
        outcome = self.rng.choice(OUTCOMES)
        final = request not in self.open or outcome is Outcome.OK
        if final:
            self.open.pop(request, None)
        self.handle(AttemptEnded(request, attempt, endpoint, outcome, self.now - sent_at, final))

    def answer_call(self, outcome: Outcome) -> None:
        call, called_at = self.calls.pop(0)
        if outcome in MAY_HAVE_BEEN_ADDED:
            self.totals[call.name] = self.totals.get(call.name, 0.0) + call.amount
        if self.rng.random() < 0.03:
            self.totals[call.name] = 0.0  # forgotten
        self.handle(
            CounterAnswered(call.name, outcome, self.totals.get(call.name, 0.0), self.now - called_at)
        )

    def step(self) -> None:
        self.advance(self.rng.choice([0, 500, 5000, 30_000, 400_000]))
        chance = self.rng.random()
        if chance < 0.4:
            self.arrive()
        elif chance < 0.6 and self.in_flight:
            self.end_attempt(self.rng.randrange(len(self.in_flight)))
        elif chance < 0.8 and self.calls:
            self.answer_call(self.rng.choice(CALL_OUTCOMES))
        elif chance < 0.86 and self.open:
            request = self.rng.choice(sorted(self.open))
            del self.open[request]
            self.handle(ClientDisconnected(request))
        elif chance < 0.93:
            state = self.rng.choice([READY, READY, DRAINING, REMOVED])
            started_at = self.rng.choice([0, self.now])
            changed = endpoint_entry(self.rng.randrange(1, 7), state, started_at=started_at)
            self.handle(endpoints_listed(changed, kind=ListKind.DELTA))
        elif chance < 0.95:
            self.gateway.hand_over()

    def run_until_quiet(self) -> None:
        for _ in range(MAX_STEPS_TO_REST):
            if not (self.in_flight or self.calls or self.timers):
                assert not self.open, "requests that nothing will answer any more"
                return
            self.advance(20_000)
            if self.calls:
                self.answer_call(Outcome.OK)
            if self.in_flight:
                self.end_attempt(0)
        raise AssertionError("it never came to rest")


@examples(derandomize=True, deadline=None, max_examples=120)
@given(st.integers(0, 1 << 30))
def test_nothing_is_left_once_all_is_quiet(seed: int) -> None:
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
