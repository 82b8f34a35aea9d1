"""The life of a request: from its arrival over its attempts to its final answer."""

import math
import random

from quota_ingress.policy.actions import (
    Action,
    CancelAttempt,
    Fail,
    Reject,
    SendAttempt,
    SetTimer,
    SubscribeToEndpoints,
)
from quota_ingress.policy.admission import OPTIONAL_WORK_MAX_USAGE, AdmissionController
from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.endpoint_list import EndpointsListed, ListKind
from quota_ingress.policy.endpoint_set import Endpoint, EndpointSet
from quota_ingress.policy.events import (
    NEVER_RAN,
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from quota_ingress.policy.request_state import Attempt, Request
from quota_ingress.policy.settings import DeduplicationScope, Idempotency, Settings
from quota_ingress.policy.snapshot import EndpointSnapshot, PolicySnapshot

LAST_CHANCE = 0.5  # of the usual latency: a further attempt with less time left is work for nothing
BUSY = ("queue", "inflight", "util")  # reports that grow with what a backend has to do


class Gateway:
    def __init__(self, settings: Settings, seed: int) -> None:
        limits = settings.limits
        plans = all(0 <= p.rate < math.inf and 0 <= p.burst < math.inf for p in settings.plans)
        classes = settings.classes and all(
            c.latency_objective > 0 and c.deadline > 0 for c in settings.classes
        )
        if not (plans and classes and settings.fleet_size > 0 < limits.max_attempts):
            raise ValueError("settings: classes, plans, fleet_size or limits make no sense")
        self.settings, self.fleet = settings, EndpointSet(settings, random.Random(seed))
        self.requests: dict[int, Request] = {}
        self.flying: dict[tuple[int, int], tuple[Request, Attempt]] = {}
        self.admission = AdmissionController(settings, self.fleet.rng, self.fleet.used, self)
        self.swept_at = self.now = 0
        self.actions: list[Action] = []

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now, self.actions = now, []
        match event:
            case RequestArrived():
                self.arrived(event)
            case AttemptEnded():
                self.attempt_ended(event)
            case TimerFired(token):
                if (request := self.requests.get(token)) and not request.attempts:
                    self.admission.on_timer(request)
                elif request and self.fleet.used() < OPTIONAL_WORK_MAX_USAGE:
                    self.send(request)  # a second copy, only while backends have room for it
            case CounterAnswered():
                self.admission.on_counter_answer(event)
            case EndpointsListed(kind):
                self.fleet.listed(event)
                if self.settings.must_subscribe and kind in (ListKind.FAILED, ListKind.CACHED):
                    self.actions.append(SubscribeToEndpoints(True))
            case ClientDisconnected(number):
                self.finish(number)
            case StreamStarted(number, attempt):
                self.finish(number, but=attempt)
        if now - self.swept_at > SECOND:  # idle accounts go once their store must be full again
            self.swept_at = now
            self.admission.discard_idle_customers()
        return self.actions

    def hand_over(self) -> PolicySnapshot:
        """Returns what has been leased and learned, for the process that takes this one's place.

        Leases and unreported units are no longer this gateway's: what it still has to finish asks the counter
        anew.
        """
        endpoints = self.fleet
        return PolicySnapshot(
            baseline_latencies=tuple(endpoints.usual),
            mean_slowdowns=tuple(endpoints.typical),
            fleet_headroom=endpoints.more,
            counter_congestion=self.admission.call_pacing.congestion,
            customers=self.admission.hand_over(),
            endpoints=tuple(
                EndpointSnapshot(number, endpoint.limit, tuple(endpoint.slow))
                for number, endpoint in endpoints.backends.items()
            ),
        )

    def restore(self, snapshot: PolicySnapshot) -> None:
        """Goes on where another process stopped; what does not fit these settings is left out."""
        settings, endpoints = self.settings, self.fleet
        class_count = len(settings.classes)
        if len(snapshot.baseline_latencies) == len(snapshot.mean_slowdowns) == class_count:
            endpoints.usual = list(snapshot.baseline_latencies)
            endpoints.typical = list(snapshot.mean_slowdowns)
            endpoints.more = max(0.0, snapshot.fleet_headroom)
            self.admission.call_pacing.set_congestion(snapshot.counter_congestion)
        for learned in snapshot.endpoints:
            endpoint = endpoints.backends.get(learned.id)
            if endpoint and len(learned.slowdown_by_class) == class_count:
                endpoint.limit = max(min(1.0, endpoints.first / 4), learned.concurrency_limit)
                endpoint.slow = list(learned.slowdown_by_class)
        self.admission.restore(snapshot.customers)

    def arrived(self, event: RequestArrived) -> None:
        s = self.settings
        valid = (
            event.request_class < len(s.classes) and event.plan < len(s.plans) and 0 <= event.units < math.inf
        )
        if event.request in self.requests or not valid or event.time_left <= 0:
            self.actions += [] if event.request in self.requests else [Reject(event.request)]
            return
        account = self.admission.quota_for(event)
        cls = s.classes[event.request_class]
        span = (
            cls.deadline if cls.late_weight >= 0.5 or cls.objective_stretch > 0 else cls.latency_objective
        )  # worth a wait
        request = Request(event, cls, account, self.now + min(event.time_left, span), self.now)
        self.requests[event.request] = request
        self.admission.on_arrival(request)

    def may_send(self, request: Request, backend: Endpoint) -> bool:
        """What may have run is repeated only if safe, or keyed within the scope and memory of its keys."""
        ran, cls, alone = request.ran(), request.cls, not self.settings.limits.may_hedge
        if any(a.out and (a.backend is backend or alone) for a in request.attempts):
            return False
        if ran is None or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        here, there, sent, tick = backend.info, ran.backend.info, ran.sent_at, self.settings.tick
        same = {
            DeduplicationScope.ALL: True,
            DeduplicationScope.ZONE: here.zone == there.zone,
            DeduplicationScope.CELL: here.cell == there.cell,
        }
        return (
            cls.idempotency is Idempotency.WITH_KEY
            and same[cls.deduplication_scope]
            and self.now + tick < sent + cls.deduplication_window
        )

    def send(self, request: Request) -> bool:
        event, account, cls, first = request.event, request.account, request.cls, not request.attempts
        least = 0 if first else int(LAST_CHANCE * self.fleet.usual[event.request_class])
        over = len(request.attempts) >= self.settings.limits.max_attempts or self.now + least >= request.cut
        if first and account.plan.ceiling_rate:  # kept by fixed parts, whatever the counter says
            over = over or account.ceiling.units < event.units
        backend = (
            None
            if over
            else self.fleet.pick(self.now, event.request_class, lambda b: self.may_send(request, b))
        )
        if backend is None:
            if first:
                self.end(request, Reject(event.request, self.admission.retry_after))
            return False
        account.ceiling.units -= event.units if first else 0.0
        number, timeout = len(request.attempts), request.cut - self.now
        patience = int(
            max(
                6 * (self.fleet.usual[event.request_class] or cls.latency_objective / 6),
                cls.latency_objective / 2,
            )
        )  # older: stuck
        more = (
            cls.idempotency is not Idempotency.NOT_IDEMPOTENT
            and number + 1 < self.settings.limits.max_attempts
        )
        if more and self.settings.limits.may_hedge and patience < timeout:
            self.actions.append(SetTimer(event.request, self.now + patience))
        elif more and timeout > 1.5 * patience:
            timeout = patience
        self.actions.append(SendAttempt(event.request, backend.info.id, max(1, timeout)))
        request.attempts.append(Attempt(backend, self.now))
        self.flying[event.request, number] = (request, request.attempts[-1])
        account.in_flight += 1
        return True

    def attempt_ended(self, event: AttemptEnded) -> None:
        if not (flown := self.flying.pop((event.request, event.attempt), None)):
            return
        request, attempt = flown
        account, cls = request.account, request.cls
        account.in_flight -= 1
        attempt.out, attempt.may_have_run = False, event.outcome not in NEVER_RAN
        self.fleet.ended(attempt.backend, self.now, request.event.request_class, event.outcome, event.latency)
        for load in [v for n, v in zip(self.settings.load_fields, event.load, strict=False) if n in BUSY]:
            attempt.backend.load, attempt.backend.load_at = load if 0 <= load < 1e6 else 0.0, self.now
        if self.settings.settles_after_response and event.outcome is Outcome.OK and event.settled_units > 0:
            account.settle(event.settled_units, request.event.units)
        if event.request_ended:
            self.finish(event.request)
        if event.request not in self.requests or any(a.out for a in request.attempts) or self.send(request):
            return
        keyed = cls.idempotency is Idempotency.WITH_KEY and cls.deduplication_scope is DeduplicationScope.ALL
        harmless = keyed or cls.idempotency is Idempotency.IDEMPOTENT or request.ran() is None
        self.end(request, Reject(event.request) if harmless else Fail(event.request))

    def reject(self, request: Request, retry_after: int) -> None:
        """Answers the request with a rejection; `retry_after` in us, 0 for no advice."""
        self.end(request, Reject(request.event.request, retry_after))

    def end(self, request: Request, answer: Action) -> None:
        self.actions.append(answer)
        self.finish(request.event.request)

    def finish(self, number: int, but: int = -1) -> None:
        """The request is over here; attempts still out are stopped where that is allowed."""
        if not (request := self.requests.pop(number, None)):
            return
        request.account.waiting = [r for r in request.account.waiting if r is not request]
        for attempt in range(len(request.attempts) if self.settings.limits.may_cancel else 0):
            if attempt != but and request.attempts[attempt].out:
                self.actions.append(CancelAttempt(number, attempt))
