"""Admission control: whether a request is within its customer's quota.

The checks run in this order:

1. The plan's limit on attempts in flight.
2. The customer's quota: units leased from the shared counter, or a new lease (`leased_quota`,
   `counted_quota`).
3. If the counter cannot be called, this gateway's share of the quota (`local_allowance`).

A request that fails them is rejected, with Retry-After if the borrowing ring has capacity. If requests over
the plan's quota earn more than they cost, and the endpoints have spare capacity, it is sent instead.

The design follows "Re-synchronization and Controllability of Bursty Service Requests" (Abacus Filters). The
leases are an addition: the paper has a single filter in front of its service.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from quota_ingress.policy.actions import Action, AddToCounter, SetTimer
from quota_ingress.policy.call_pacing import CallPacing
from quota_ingress.policy.counted_quota import MAX_LEASED_QUOTA_GATEWAYS, CountedQuota
from quota_ingress.policy.customer_quota import CustomerQuota, Decision
from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.events import NEVER_RAN, CounterAnswered, RequestArrived
from quota_ingress.policy.lease import CounterCall, LeaseStatistics
from quota_ingress.policy.leased_quota import LeasedQuota
from quota_ingress.policy.request_state import Request
from quota_ingress.policy.settings import Plan, Settings
from quota_ingress.policy.snapshot import CustomerQuotaSnapshot

OPTIONAL_WORK_MAX_UTILIZATION = 0.6  # of the pooled limit; from it on, no hedged or over-quota attempts


class PendingCall(NamedTuple):
    """A call that the counter has not answered, and the quota that it was made for."""

    quota: CustomerQuota
    call: CounterCall


class RequestLifecycle(Protocol):
    """The interface through which admission control forwards and answers requests."""

    now: int  # us
    actions: list[Action]  # collected so far for the current event

    def send(self, request: Request) -> bool:
        """Sends the request's next attempt; returns whether one was sent.

        If the request's first attempt cannot be sent, the request is rejected.
        """

    def reject(self, request: Request, retry_after: int) -> None:
        """Answers the request with a rejection; `retry_after` in us, 0 for no Retry-After."""


class AdmissionController:
    """Holds the quotas of all customers and decides which requests are admitted."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        endpoint_utilization: Callable[[], float],
        lifecycle: RequestLifecycle,
    ) -> None:
        """Creates a controller without customers.

        Args:
            settings: The gateway's settings.
            rng: The gateway's source of random numbers.
            endpoint_utilization: Returns the attempts in flight as a fraction of the pooled limit.
            lifecycle: Forwards and answers requests once admission has decided on them.
        """
        self._settings = settings
        self._rng = rng
        self._endpoint_utilization = endpoint_utilization
        self._lifecycle = lifecycle
        self._statistics = LeaseStatistics(settings.plans)
        self.customers: dict[int, CustomerQuota] = {}
        self.pending_calls: dict[int, deque[PendingCall]] = {}  # by counter name, the oldest first
        self.call_pacing = CallPacing(settings.counter, settings.fleet_size)
        limits = settings.limits
        longest_retry_after = limits.max_retry_after if limits.sends_retry_after else 0
        # Also the slot duration of the borrowing ring; T0 and d_0 in the paper.
        self.retry_after = longest_retry_after or SECOND  # us

    def quota_for(self, event: RequestArrived) -> CustomerQuota:
        """Returns the quota of the request's customer; creates one for a customer without recent requests."""
        quota = self.customers.get(event.customer)
        if quota is None:
            gateway_count = min(self._settings.fleet_size, max(1, event.gateway_count))
            quota = self._new_quota(self._settings.plans[event.plan], gateway_count, self._lifecycle.now)
            self.customers[event.customer] = quota
        return quota

    def _new_quota(self, plan: Plan, gateway_count: int, now: int) -> CustomerQuota:
        if gateway_count <= MAX_LEASED_QUOTA_GATEWAYS:
            return LeasedQuota(plan, gateway_count, self.retry_after, now)
        return CountedQuota(
            plan,
            gateway_count,
            self.retry_after,
            now,
            counter_allowed=self._settings.counter.allowed,
            statistics=self._statistics,
        )

    def on_arrival(self, request: Request) -> None:
        """Counts a new request towards its customer's demand and decides on it."""
        event = request.event
        request.quota.record_arrival(self._lifecycle.now, event.units, event.is_retry)
        self._admit(request)

    def on_timer(self, request: Request) -> None:
        """Decides again on a request that was deferred until the counter may be called."""
        if request not in request.quota.waiting:
            self._admit(request)

    def _admit(self, request: Request, answered: bool = False) -> None:
        """Decides on a request; `answered`: the counter has just answered the lease call it awaited."""
        quota = request.quota
        now = self._lifecycle.now
        if quota.plan.max_in_flight and quota.in_flight >= quota.plan.max_in_flight:
            self._handle_over_quota(request)
            return
        match quota.assess(request, now, self.call_pacing, answered):
            case Decision.ADMIT:
                if self._lifecycle.send(request):
                    quota.spend(request.event.units)
            case Decision.OVER_QUOTA:
                self._handle_over_quota(request)
            case Decision.WITHOUT_COUNTER:
                self._admit_without_counter(request)
            case Decision.DEFER:
                call_at = max(now, self.call_pacing.next_call_at) + self._settings.tick
                self._lifecycle.actions.append(SetTimer(request.event.request, call_at))
            case Decision.AWAIT_LEASE:
                quota.waiting.append(request)
            case Decision.REQUEST_LEASE:
                quota.waiting.append(request)
                self._call(quota, quota.request_lease(now, self.call_pacing.congestion))

    def _admit_without_counter(self, request: Request) -> None:
        """Decides by the local allowance; at random if the allowance covers only part of the request."""
        quota = request.quota
        units = request.event.units
        now = self._lifecycle.now
        fraction = quota.admitted_fraction_without_counter(now, units, request.event.is_retry)
        if self._rng.random() >= fraction:
            # Deducted although the request is rejected: if these units stayed, there would be a second random
            # draw for them, which would raise the probability of admission.
            quota.local_allowance.units -= units * fraction
            self._handle_over_quota(request)
        elif self._lifecycle.send(request):
            quota.spend_without_counter(now, units)

    def _handle_over_quota(self, request: Request) -> None:
        """Rejects a request over its quota, with Retry-After if the borrowing ring has capacity.

        If requests over the plan's quota earn more than they cost, and the endpoints have spare capacity, the
        request is sent instead.
        """
        plan = request.quota.plan
        if (
            plan.over_quota_earnings > plan.over_quota_cost
            and self._endpoint_utilization() < OPTIONAL_WORK_MAX_UTILIZATION
        ):
            self._lifecycle.send(request)
        else:
            retry_after = request.quota.book_retry(self._lifecycle.now, request.event.units)
            self._lifecycle.reject(request, retry_after)

    def _call(self, quota: CustomerQuota, call: CounterCall) -> None:
        self._lifecycle.actions.append(AddToCounter(call.counter_name, call.amount, call.ttl))
        self.pending_calls.setdefault(call.counter_name, deque()).append(PendingCall(quota, call))
        self.call_pacing.on_call(self._lifecycle.now)

    def on_counter_answer(self, event: CounterAnswered) -> None:
        """Completes the oldest pending call for that counter name and decides on the requests waiting for it.

        An answer that belongs to no pending call is ignored.
        """
        pending = self._take_pending_call(event.name)
        if pending is None:
            return
        quota, call = pending
        now = self._lifecycle.now
        answered = self.call_pacing.on_answer(now, event.outcome, event.total, event.latency)
        quota.on_call_ended(call, now, was_added=event.outcome not in NEVER_RAN)
        if not call.is_lease:
            return
        if answered:
            for correction in quota.on_lease_answer(call, event, now, self._rng):
                self._call(quota, correction)
        for request in quota.take_waiting():
            if answered:
                self._admit(request, answered=True)
            else:
                self._admit_without_counter(request)

    def _take_pending_call(self, name: int) -> PendingCall | None:
        calls = self.pending_calls.get(name)
        if calls is None:
            return None
        call = calls.popleft()
        if not calls:
            del self.pending_calls[name]
        return call

    def discard_idle_customers(self) -> None:
        """Discards customers idle for so long that their buckets must be full again."""
        now = self._lifecycle.now
        self.customers = {
            customer: quota
            for customer, quota in self.customers.items()
            if now - quota.demand.updated_at < quota.retention
        }

    def hand_over(self) -> tuple[CustomerQuotaSnapshot, ...]:
        """Returns the state of all customers; the gateway keeps neither leases nor unreported units."""
        return tuple(
            quota.hand_over(customer, self._settings.plans.index(quota.plan))
            for customer, quota in self.customers.items()
        )

    def restore(self, snapshots: tuple[CustomerQuotaSnapshot, ...]) -> None:
        """Adopts customers from another process; skips those already known.

        Also skips those whose plan is not in the settings or whose number of gateways exceeds the fleet.
        """
        plans = self._settings.plans
        for snapshot in snapshots:
            has_plan = 0 <= snapshot.plan < len(plans)
            fits_fleet = 0 < snapshot.gateway_count <= self._settings.fleet_size
            if has_plan and fits_fleet and snapshot.customer not in self.customers:
                plan = plans[snapshot.plan]
                quota = self._new_quota(plan, snapshot.gateway_count, snapshot.remaining_at)
                quota.restore(snapshot)
                self.customers[snapshot.customer] = quota
