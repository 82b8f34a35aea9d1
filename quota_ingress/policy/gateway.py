"""The life cycle of a request: arrival, attempts and final answer.

`Gateway.handle` takes one event and returns the actions that the caller has to carry out. It does no I/O and
reads no clock: equal seeds and equal sequences of events lead to equal actions.
"""

from __future__ import annotations

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
from quota_ingress.policy.admission import OPTIONAL_WORK_MAX_UTILIZATION, AdmissionController
from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.endpoint_list import EndpointsListed, ListKind
from quota_ingress.policy.endpoint_set import EndpointSet
from quota_ingress.policy.events import (
    NEVER_RAN,
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    RequestArrived,
    RequestReceived,
    StreamStarted,
    TimerFired,
)
from quota_ingress.policy.load_balancer import LoadBalancer
from quota_ingress.policy.request_state import Attempt, Request
from quota_ingress.policy.retry_policy import RetryPolicy, is_harmless_to_repeat
from quota_ingress.policy.settings import RequestClass, Settings
from quota_ingress.policy.snapshot import PolicySnapshot

SWEEP_INTERVAL = SECOND  # us between two sweeps that discard idle customers
MIN_LATE_WEIGHT = 0.5  # of a late answer; at or above it, requests are attempted up to their deadline


class InvalidSettingsError(ValueError):
    """A value of the settings is missing or out of its range."""


class Gateway:
    """Makes all decisions of one gateway in response to events."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Creates a gateway that knows no endpoints yet; `seed` initializes its random numbers.

        Raises:
            InvalidSettingsError: A value of the settings is out of its range.
        """
        _validate(settings)
        rng = random.Random(seed)
        self.settings = settings
        self.now = 0  # us; the time of the current event
        self.actions: list[Action] = []  # collected so far for the current event
        self.requests: dict[int, Request] = {}  # by id; those without a final answer
        self.attempts_in_flight: dict[tuple[int, int], Request] = {}  # by request id and attempt index
        self.endpoints = EndpointSet(settings, rng)
        self.load_balancer = LoadBalancer(settings, self.endpoints, rng)
        self.retry_policy = RetryPolicy(settings, self.endpoints.slowdowns)
        self.admission = AdmissionController(settings, rng, self.endpoints.utilization, self)
        self._swept_at = 0  # us

    def handle(self, now: int, event: Event) -> list[Action]:
        """Processes one event at time `now` (us); returns the actions to carry out, in order."""
        self.now = now
        self.actions = []
        match event:
            case RequestArrived():
                self._on_request(event)
            case RequestReceived(request_id):
                self._on_request_received(request_id)
            case AttemptEnded():
                self._on_attempt_ended(event)
            case TimerFired(request_id):
                self._on_timer(request_id)
            case CounterAnswered():
                self.admission.on_counter_answer(event)
            case EndpointsListed():
                self._on_endpoints_listed(event)
            case ClientDisconnected(request_id):
                self._finish(request_id)
            case StreamStarted(request_id, attempt):
                self._finish(request_id, kept_attempt=attempt)
        if now - self._swept_at > SWEEP_INTERVAL:
            self._swept_at = now
            self.admission.discard_idle_customers()
        return self.actions

    def hand_over(self) -> PolicySnapshot:
        """Returns the leases and statistics for the process that replaces this one in an upgrade.

        This gateway keeps neither leases nor unreported units. If requests that it still has to finish need
        units, it requests new leases from the counter.
        """
        return PolicySnapshot(
            baseline_latencies=tuple(self.endpoints.slowdowns.baseline_latencies),
            mean_slowdowns=tuple(self.endpoints.slowdowns.mean_slowdowns),
            pooled_headroom=self.endpoints.limits.pooled_headroom,
            counter_congestion=self.admission.call_pacing.congestion,
            customers=self.admission.hand_over(),
            endpoints=self.endpoints.hand_over(),
        )

    def restore(self, snapshot: PolicySnapshot) -> None:
        """Adopts the state that another process handed over; skips parts that do not fit the settings."""
        class_count = len(self.settings.classes)
        if len(snapshot.baseline_latencies) == len(snapshot.mean_slowdowns) == class_count:
            self.endpoints.slowdowns.restore(snapshot.baseline_latencies, snapshot.mean_slowdowns)
            self.endpoints.limits.pooled_headroom = max(0.0, snapshot.pooled_headroom)
            self.admission.call_pacing.set_congestion(snapshot.counter_congestion)
        self.endpoints.restore(snapshot.endpoints)
        self.admission.restore(snapshot.customers)

    def send(self, request: Request) -> bool:
        """Sends the request's next attempt if one is allowed and an endpoint has capacity.

        Returns:
            Whether an attempt was sent. If not, and the request had no attempt before, it has been rejected.
        """
        endpoint = self._choose_endpoint(request)
        if endpoint is None:
            if not request.attempts:
                self.reject(request, self.admission.retry_after)
            return False
        self._start_attempt(request, endpoint)
        return True

    def reject(self, request: Request, retry_after: int) -> None:
        """Answers the request with a rejection; `retry_after` in us, 0 for no Retry-After."""
        self._answer(request, Reject(request.event.request, retry_after))

    def _choose_endpoint(self, request: Request) -> Endpoint | None:
        """Returns the endpoint for the request's next attempt; None if no attempt is allowed or possible."""
        quota = request.quota
        if not self.retry_policy.has_attempt_left(request, self.now):
            return None
        ceiling_applies = quota.plan.ceiling_rate and not request.attempts
        if ceiling_applies and quota.ceiling.units < request.event.units:
            return None  # the hard ceiling applies even to units that the counter has granted
        return self.load_balancer.choose(
            self.now,
            request.event.request_class,
            lambda endpoint: self.retry_policy.may_send_to(endpoint, request, self.now),
        )

    def _start_attempt(self, request: Request, endpoint: Endpoint) -> None:
        request_id = request.event.request
        if not request.attempts:
            request.quota.ceiling.units -= request.event.units
        request.quota.in_flight += 1
        timing = self.retry_policy.timing(request, self.now)
        if timing.hedge_after is not None:
            self.actions.append(SetTimer(request_id, self.now + timing.hedge_after))
        self.actions.append(SendAttempt(request_id, endpoint.entry.id, max(1, timing.timeout)))
        self.attempts_in_flight[request_id, len(request.attempts)] = request
        request.attempts.append(Attempt(endpoint, self.now, is_load=not request.is_receiving))
        if not request.is_receiving:
            self.load_balancer.add_load(endpoint)

    def _on_request(self, event: RequestArrived) -> None:
        if event.request in self.requests:
            return
        if not self._is_valid(event):
            self.actions.append(Reject(event.request))
            return
        request_class = self.settings.classes[event.request_class]
        request = Request(
            event,
            request_class,
            self.admission.quota_for(event),
            arrived_at=self.now,
            useful_until=self.now + min(event.time_left, _useful_time(request_class)),
            is_receiving=event.is_receiving,
        )
        self.requests[event.request] = request
        self.admission.on_arrival(request)

    def _on_request_received(self, request_id: int) -> None:
        """Counts the request's attempts as load: the endpoints begin with it now."""
        request = self.requests.get(request_id)
        if request is None:
            return
        request.is_receiving = False
        for attempt in request.attempts:
            if attempt.in_flight and not attempt.is_load:
                attempt.is_load = True
                self.load_balancer.add_load(attempt.endpoint)

    def _is_valid(self, event: RequestArrived) -> bool:
        return (
            event.request_class < len(self.settings.classes)
            and event.plan < len(self.settings.plans)
            and 0 <= event.units < math.inf
            and event.time_left > 0
        )

    def _on_attempt_ended(self, event: AttemptEnded) -> None:
        request = self.attempts_in_flight.pop((event.request, event.attempt), None)
        if request is None:
            return
        attempt = request.attempts[event.attempt]
        attempt.in_flight = False
        attempt.may_have_run = event.outcome not in NEVER_RAN
        request.quota.in_flight -= 1
        if attempt.is_load:
            self.load_balancer.remove_load(attempt.endpoint)
        self.load_balancer.on_attempt_ended(
            attempt.endpoint, self.now, request.event.request_class, event.outcome, event.latency
        )
        self.load_balancer.on_load_report(attempt.endpoint, self.now, event.load)
        if self.settings.settles_after_response and event.outcome is Outcome.OK and event.settled_units > 0:
            request.quota.settle(event.settled_units, request.event.units)
        if event.request_ended:
            self._finish(event.request)
        elif event.request in self.requests:
            self._retry_or_answer(request)

    def _retry_or_answer(self, request: Request) -> None:
        """Retries a request after a failed attempt, or answers it if no retry is possible.

        A request with another attempt in flight waits for that one.
        """
        if any(attempt.in_flight for attempt in request.attempts) or self.send(request):
            return
        request_id = request.event.request
        self._answer(request, Reject(request_id) if is_harmless_to_repeat(request) else Fail(request_id))

    def _on_timer(self, request_id: int) -> None:
        """Decides on a deferred request again, or hedges a sent one while endpoints have spare capacity."""
        request = self.requests.get(request_id)
        if request is None:
            return
        if not request.attempts:
            self.admission.on_timer(request)
        elif self.endpoints.utilization() < OPTIONAL_WORK_MAX_UTILIZATION:
            self.send(request)

    def _on_endpoints_listed(self, event: EndpointsListed) -> None:
        self.endpoints.on_endpoints_listed(event)
        if self.settings.must_subscribe and event.kind in (ListKind.FAILED, ListKind.CACHED):
            self.actions.append(SubscribeToEndpoints(True))

    def _answer(self, request: Request, answer: Reject | Fail) -> None:
        self.actions.append(answer)
        self._finish(request.event.request)

    def _finish(self, request_id: int, kept_attempt: int | None = None) -> None:
        """Removes an answered request and cancels its other attempts where the settings allow it."""
        request = self.requests.pop(request_id, None)
        if request is None:
            return
        if request.quota.waiting:
            request.quota.waiting = [other for other in request.quota.waiting if other is not request]
        if not self.settings.limits.may_cancel:
            return
        for index, attempt in enumerate(request.attempts):
            if attempt.in_flight and index != kept_attempt:
                self.actions.append(CancelAttempt(request_id, index))


def _useful_time(request_class: RequestClass) -> int:
    """Returns how long after a request's arrival, in us, an answer is still worth the work."""
    if request_class.late_weight >= MIN_LATE_WEIGHT or request_class.objective_stretch > 0:
        return request_class.deadline
    return request_class.latency_objective


def _validate(settings: Settings) -> None:
    if settings.fleet_size <= 0:
        raise InvalidSettingsError(f"settings: fleet_size is {settings.fleet_size}, must be above 0")
    if settings.limits.max_attempts <= 0:
        raise InvalidSettingsError(
            f"settings: limits.max_attempts is {settings.limits.max_attempts}, must be above 0"
        )
    if not settings.classes:
        raise InvalidSettingsError("settings: no request classes, at least one is needed")
    for number, request_class in enumerate(settings.classes):
        if request_class.latency_objective <= 0 or request_class.deadline <= 0:
            raise InvalidSettingsError(
                f"settings: class {number}: latency objective {request_class.latency_objective} us"
                f" and deadline {request_class.deadline} us must be above 0"
            )
    for number, plan in enumerate(settings.plans):
        if not (0 <= plan.rate < math.inf and 0 <= plan.burst < math.inf):
            raise InvalidSettingsError(
                f"settings: plan {number}: rate {plan.rate} and burst {plan.burst}"
                " must be finite and at least 0"
            )
