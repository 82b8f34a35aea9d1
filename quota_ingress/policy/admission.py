"""Admission: whether a request is within its customer's quota, and the calls to the shared counter for it."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Callable
from typing import Protocol

from quota_ingress.policy.actions import Action, AddToCounter, SetTimer
from quota_ingress.policy.call_pacing import CallPacing
from quota_ingress.policy.customer_quota import WIDE, CustomerQuota, counter_name
from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.events import NEVER_RAN, CounterAnswered, RequestArrived
from quota_ingress.policy.request_state import Request
from quota_ingress.policy.settings import Settings
from quota_ingress.policy.snapshot import CustomerQuotaSnapshot

LEASE_LIFE = 1.0  # s of demand taken ahead: long enough to save calls, short enough not to strand units
SPARE = 0.6  # part of the bound under which a fleet has room for second copies and paid units beyond a quota
EPOCH = 8  # windows that one name of a fading count lasts: its weights grow by e in each, and stay exact
HOLD = 0.25  # of what a wide customer's store has left: the most that one gateway takes ahead of it
PATIENCE = 0.1  # of a class's aim that a request may wait until a call to the counter can be made
LAST_CALL = 0.6  # the weight of the last call in the part of a customer's calls that brought units ...
PRIOR = 0.1  # ... and of its first one in that of its plan's customers
LAST = 0.03  # the weight of the last of their requests in the part that the counter was heard for


class RequestLifecycle(Protocol):
    """What admission needs of the part that forwards and answers requests."""

    now: int  # us
    actions: list[Action]  # decided so far in answer to the present event

    def send(self, request: Request) -> bool:
        """Sends the request's next attempt; returns whether one was sent. Otherwise it may be answered."""

    def reject(self, request: Request, retry_after: int) -> None:
        """Answers the request with a rejection; `retry_after` in us, 0 for no advice."""


class AdmissionController:
    """The quotas of all customers, and who may pass."""

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        fleet_usage: Callable[[], float],
        requests: RequestLifecycle,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.fleet_usage = fleet_usage
        self.requests = requests
        self.customers: dict[int, CustomerQuota] = {}
        self.pending_calls: dict[
            int, deque[tuple[CustomerQuota, int, float, bool, float]]
        ] = {}  # by name, in order
        self.call_pacing = CallPacing(settings.counter.timeout, settings.fleet_size)
        self.heard_part = 1.0  # of wide customers' requests: those not sent without the counter's word
        self.success = dict.fromkeys(settings.plans, 1.0)  # of a wide customer of whom nothing is known
        limits = settings.limits
        self.slot_us = (
            limits.sends_retry_after * limits.max_retry_after or SECOND
        )  # d_0, T0: longest wait heeded

    def quota_for(self, event: RequestArrived) -> CustomerQuota:
        """Returns the quota of the request's customer, a new one for a customer not seen lately."""
        quota = self.customers.get(event.customer)
        if quota is None:
            gateway_count = min(self.settings.fleet_size, max(1, event.gateway_count))
            plan = self.settings.plans[event.plan]
            quota = CustomerQuota(plan, gateway_count, self.slot_us, self.requests.now)
            self.customers[event.customer] = quota
        return quota

    def on_arrival(self, request: Request) -> None:
        """Counts a new request as demand of its customer, and decides on it."""
        event = request.event
        request.account.record_arrival(self.requests.now, event.units, event.is_retry)
        self.admit(request)

    def on_timer(self, request: Request) -> None:
        """Decides on a request that was deferred until the counter may be called."""
        if request not in request.account.waiting:
            self.admit(request)

    def discard_idle_customers(self) -> None:
        """Drops the customers whose shared bucket must be full again."""
        now = self.requests.now
        self.customers = {c: a for c, a in self.customers.items() if now - a.demand_at < a.retention()}

    def hand_over(self) -> tuple[CustomerQuotaSnapshot, ...]:
        """Returns the state of all customers; leases and unreported units are no longer this gateway's."""
        return tuple(
            quota.hand_over(customer, self.settings.plans.index(quota.plan))
            for customer, quota in self.customers.items()
        )

    def restore(self, snapshots: tuple[CustomerQuotaSnapshot, ...]) -> None:
        """Takes over customers from another process, but for those known here or unfit for the settings."""
        settings = self.settings
        for customer in snapshots:
            fits = (
                0 <= customer.plan < len(settings.plans) and 0 < customer.gateway_count <= settings.fleet_size
            )
            if fits and customer.customer not in self.customers:
                plan = settings.plans[customer.plan]
                self.customers[customer.customer] = CustomerQuota.restore(customer, plan, self.slot_us)

    def admit(self, request: Request, answered: bool = False) -> None:
        """First stage. `answered`: the counter has just been heard, so what the bucket lacks is overflow."""
        account, units, counter = request.account, request.event.units, self.settings.counter
        plan, late = account.plan, self.requests.now + 2 * counter.timeout >= request.cut
        late = late or not counter.allowed
        if plan.max_in_flight and account.in_flight >= plan.max_in_flight:
            self.overflow(request)  # the cap on attempts at once: beyond the quota whatever the store holds
        elif plan.rate and account.gateway_count > WIDE and counter.allowed:
            self.admit_wide(request, answered)
        elif not plan.rate or (account.leased_units >= units and not account.waiting):
            account.remaining_upper_bound, account.remaining_at = (
                account.remaining(self.requests.now),
                self.requests.now,
            )
            account.leased_units -= units if self.requests.send(request) else 0.0
        elif answered or account.remaining(self.requests.now) + account.leased_units < units:
            self.overflow(request)  # the store cannot hold it, whatever the siblings did: no call needed
        elif late or (not account.lease_requested and not self.call_pacing.may_call(self.requests.now)):
            self.admit_unheard(request)  # no counter or time, or calls enough made
        else:
            account.waiting.append(request)
            if not account.lease_requested:
                self.ask(account, request.event.customer)

    def admit_wide(self, request: Request, answered: bool) -> None:
        """The same for a customer of many gateways, by the fading count of what all of them had."""
        account, units, event = request.account, request.event.units, request.event
        account.decay(self.requests.now)
        room = account.usage_limit(units) - account.counted_usage + min(0.0, account.counted_lease)
        chance = account.lease_success_rate if account.lease_success_rate >= 0 else self.success[account.plan]
        if account.counted_lease >= units and not account.waiting:
            account.counted_lease -= units if self.requests.send(request) else 0.0
        elif answered or (room < units and not account.lease_requested):
            self.overflow(request)  # used up, as far as is known; the others can but have used more
        elif account.lease_requested:
            account.waiting.append(request)
        elif (
            self.call_pacing.unused(self.requests.now) >= 1 - chance
        ):  # calls that will likely bring nothing come last
            account.waiting.append(request)
            self.ask_wide(account, event.customer)
        elif (
            self.requests.now - account.last_answer_at < account.window
            and room - units > account.usage_limit(units) / 2
        ):
            account.counted_lease -= units if self.requests.send(request) else 0.0  # told with the next call
        elif chance > 0.5 and self.requests.now < request.came + PATIENCE * request.cls.latency_objective:
            turn = max(self.requests.now, self.call_pacing.next_at) + self.settings.tick
            self.requests.actions.append(SetTimer(event.request, turn))
        else:
            self.admit_unheard(request)

    def admit_unheard(self, request: Request) -> None:
        """Without a call: a part, by a draw if under one."""
        account, units = request.account, request.event.units
        room = account.remaining(self.requests.now)
        even = account.plan.burst / account.gateway_count if request.event.is_retry else room
        part = min(account.local_allowance, room, even) / units if units else 1.0
        if account.plan.burst >= units * account.gateway_count:
            part = part // 1  # else never as much as one
        if account.gateway_count > WIDE and account.lease_success_rate < 0:
            part *= self.success[account.plan]  # nothing is known of it, but of its plan's customers
        if self.rng.random() >= part:
            account.local_allowance -= (
                units * part
            )  # the draw was for all of it: a second one would make it more
            self.overflow(request)
        elif self.requests.send(request):
            account.local_allowance = max(0.0, account.local_allowance - units)
            account.remaining_upper_bound, account.remaining_at = room - units, self.requests.now
            if account.gateway_count > WIDE:
                self.heard_part -= LAST * self.heard_part
                account.decay(self.requests.now)
                account.counted_lease -= units
            else:
                account.unreported_units = min(account.plan.burst, account.unreported_units + units)

    def ask_wide(self, account: CustomerQuota, customer: int) -> None:
        """Requests a lease, and reports what was spent without one."""
        units, epoch = account.waiting[0].event.units, EPOCH * account.window
        room = account.usage_limit(units) - account.counted_usage + min(0.0, account.counted_lease) - units
        ahead = min(account.demand_rate * LEASE_LIFE, HOLD * room)
        ahead = ahead // units * units if units else 0.0
        untold = max(0.0, -account.counted_lease)
        account.counted_lease, account.lease_requested = max(0.0, account.counted_lease), True
        name, start = counter_name(customer, self.requests.now // epoch), self.requests.now // epoch * epoch
        self.call_wide(account, name, start, units + ahead, True, untold)

    def call_wide(
        self, account: CustomerQuota, name: int, start: int, amount: float, lease: bool, untold: float = 0.0
    ) -> None:
        """Adds units weighted by when they were taken: what came before fades in the same measure."""
        weight = math.exp((self.requests.now - start) / account.window)
        life = min(60 * SECOND, 2 * EPOCH * account.window)
        self.requests.actions.append(AddToCounter(name, (amount + untold) * weight, life))
        self._called(name, account, start, amount, lease, untold)

    def counted_wide(
        self, account: CustomerQuota, event: CounterAnswered, start: int, amount: float, untold: float
    ) -> None:
        """The answer to a lease."""
        plan, known = account.plan, account.counted_usage
        self.heard_part += LAST * (1 - self.heard_part)
        left = math.exp(-event.latency / account.window)  # of what was added with the call
        total = event.total / math.exp((self.requests.now - start) / account.window)
        amount, added = amount * left, (amount + untold) * left
        if total < 0.99 * added or known + added - total > plan.burst / 2:  # a new name, or it was lost
            missing = max(0.0, known + added - max(total, 0.0))
            self.call_wide(account, event.name, start, missing, False)
            total = max(total, 0.0) + missing
        units = account.waiting[0].event.units if account.waiting else 0.0
        over = min(amount, max(0.0, total - account.usage_limit(units)))  # past the allowance: added back
        if account.counted_lease + amount - over < units * left:
            over = amount  # the rest would cover no request
        # What goes on unheard is missing in the count. In that measure, what was refused is left in it: the
        # counter has no room to be asked for all, this saves calls, and it is of the same customers, those
        # at their limit. Left in beyond that, it would starve who asks several times its quota.
        if over > 0 and self.rng.random() < self.heard_part**2:
            self.call_wide(account, event.name, start, -over, False)
        account.counted_usage, account.last_answer_at = total - over, self.requests.now
        account.counted_lease += (amount - over) / left
        account.refill_rate = min(plan.rate, (amount - over) / LEASE_LIFE)
        account.local_allowance = (
            max(0.0, account.local_allowance - (amount - over)) if over < amount else 0.0
        )
        brought, prior = float(over < amount), self.success[plan]
        if account.lease_success_rate < 0:
            self.success[plan], account.lease_success_rate = prior + PRIOR * (brought - prior), prior
        account.lease_success_rate += LAST_CALL * (brought - account.lease_success_rate)

    def ask(self, account: CustomerQuota, customer: int) -> None:
        """Requests a lease: what waits, and demand ahead."""
        room, units = account.remaining(self.requests.now), account.waiting[0].event.units
        need = max(0.0, min(units - account.leased_units, room))
        ahead = min(max(account.demand_rate * LEASE_LIFE, units), (room - need) / (2 * account.gateway_count))
        ahead *= max(1.0, self.call_pacing.congestion)
        account.lease_requested, window = True, self.requests.now // account.window
        name, start = counter_name(customer, window), window * account.window
        owed, account.unreported_units = account.unreported_units, 0.0
        self._call(account, name, start, need + max(0.0, min(ahead, room - need)), True, owed)

    def _call(
        self, account: CustomerQuota, name: int, start: int, amount: float, lease: bool, owed: float = 0.0
    ) -> None:
        self.requests.actions.append(AddToCounter(name, amount + owed, min(60 * SECOND, 2 * account.window)))
        self._called(name, account, start, amount, lease, owed)

    def _called(
        self, name: int, account: CustomerQuota, start: int, amount: float, lease: bool, owed: float
    ) -> None:
        self.pending_calls.setdefault(name, deque()).append((account, start, amount, lease, owed))
        self.call_pacing.called(self.requests.now)

    def on_counter_answer(self, event: CounterAnswered) -> None:
        """Settles the oldest call under that name, and decides on the requests that waited for it."""
        if not (queue := self.pending_calls.pop(event.name, None)):
            return
        account, start, amount, lease, owed = queue.popleft()
        self.pending_calls.update({event.name: queue} if queue else {})
        heard = self.call_pacing.answered(self.requests.now, event.outcome, event.total, event.latency)
        account.decay(self.requests.now)
        if event.outcome in NEVER_RAN:  # nothing was added
            account.counted_lease -= owed if account.gateway_count > WIDE else 0.0
            account.unreported_units += owed if account.gateway_count <= WIDE else 0.0
        if not lease:
            return
        if account.gateway_count > WIDE and heard:
            self.counted_wide(account, event, start, amount, owed)
        waiting, account.waiting, account.lease_requested = account.waiting, [], False
        if account.gateway_count > WIDE and heard:
            for request in waiting:
                self.admit(request, answered=True)
            return
        if not heard:
            for request in waiting:
                self.admit_unheard(request)
            return
        self._counted(account, event, start, amount)
        for request in waiting:
            self.admit(request, answered=True)

    def _counted(self, account: CustomerQuota, event: CounterAnswered, start: int, amount: float) -> None:
        """The answer to a lease of a customer of few gateways."""
        plan, due = account.plan, account.plan.rate * (self.requests.now - start) / SECOND
        raw, upper = plan.burst + due - event.total, account.remaining(self.requests.now) - amount
        # Units the counter does not know of: burst spent before this window, time spent full, a flush,
        # use by share while it was silent. Put back where demand matters; harms if two do so at once.
        unknown = raw - upper if account.demand_rate * account.gateway_count > plan.rate else 0.0
        unknown, level = unknown if unknown > plan.burst / 8 else 0.0, min(raw, upper)
        over = min(amount, max(0.0, -level))  # past the allowance: that part is added back
        if unknown != over:
            self._call(account, event.name, start, unknown - over, False)
        account.remaining_upper_bound, account.remaining_at = min(plan.burst, level + over), self.requests.now
        account.leased_units += amount - over
        account.local_allowance = max(
            0.0, account.local_allowance - (amount - over)
        )  # a part of the same store
        account.refill_rate = min(plan.rate, (amount - over) / LEASE_LIFE)

    def overflow(self, request: Request) -> None:
        """Second stage: a rejection with Retry-After, or a firm one."""
        plan = request.account.plan
        if plan.over_quota_earnings > plan.over_quota_cost and self.fleet_usage() < SPARE:
            self.requests.send(
                request
            )  # the plan pays for service beyond its quota while the fleet has room to spare
        else:
            wait = request.account.book(self.requests.now, request.event.units)
            self.requests.reject(request, wait)
