"""The life of a request: from its arrival over its attempts to its final answer."""

import math
import random
from collections import deque

from quota_ingress.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    Fail,
    Reject,
    SendAttempt,
    SetTimer,
    SubscribeToEndpoints,
)
from quota_ingress.policy.call_pacing import CallPacing
from quota_ingress.policy.customer_quota import WIDE, CustomerQuota, counter_name
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
    StreamStarted,
    TimerFired,
)
from quota_ingress.policy.load_balancer import LoadBalancer
from quota_ingress.policy.request_state import Attempt, Request
from quota_ingress.policy.settings import DeduplicationScope, Idempotency, Settings
from quota_ingress.policy.snapshot import EndpointSnapshot, PolicySnapshot

LEASE_LIFE = 1.0  # s of demand taken ahead: long enough to save calls, short enough not to strand units
SPARE = 0.6  # part of the bound under which a fleet has room for second copies and paid units beyond a quota
EPOCH = 8  # windows that one name of a fading count lasts: its weights grow by e in each, and stay exact
HOLD = 0.25  # of what a wide customer's store has left: the most that one gateway takes ahead of it
PATIENCE = 0.1  # of a class's aim that a request may wait until a call to the counter can be made
LAST_CALL = 0.6  # the weight of the last call in the part of a customer's calls that brought units ...
PRIOR = 0.1  # ... and of its first one in that of its plan's customers
LAST = 0.03  # the weight of the last of their requests in the part that the counter was heard for
LAST_CHANCE = 0.5  # of the usual latency: a further attempt with less time left is work for nothing


class Gateway:
    def __init__(self, settings: Settings, seed: int) -> None:
        limits = settings.limits
        plans = all(0 <= p.rate < math.inf and 0 <= p.burst < math.inf for p in settings.plans)
        classes = settings.classes and all(
            c.latency_objective > 0 and c.deadline > 0 for c in settings.classes
        )
        if not (plans and classes and settings.fleet_size > 0 < limits.max_attempts):
            raise ValueError("settings: classes, plans, fleet_size or limits make no sense")
        self.settings, self.rng = settings, random.Random(seed)
        self.endpoints = EndpointSet(settings, self.rng)
        self.load_balancer = LoadBalancer(settings, self.endpoints, self.rng)
        self.accounts: dict[int, CustomerQuota] = {}
        self.requests: dict[int, Request] = {}
        self.flying: dict[tuple[int, int], tuple[Request, Attempt]] = {}
        self.calls: dict[int, deque[tuple[CustomerQuota, int, float, bool, float]]] = {}  # by name, in order
        self.pacing = CallPacing(settings.counter.timeout, settings.fleet_size)
        self.swept_at = self.now = 0
        self.heard_part = 1.0  # of wide customers' requests: those not sent without the counter's word
        self.success = dict.fromkeys(settings.plans, 1.0)  # of a wide customer of whom nothing is known
        self.slot_us = (
            limits.sends_retry_after * limits.max_retry_after or SECOND
        )  # d_0, T0: longest wait heeded
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
                    if request not in request.account.waiting:
                        self.admit(request)  # its turn to ask the counter may have come
                elif request and self.endpoints.utilization() < SPARE:
                    self.send(request)  # a second copy, only while backends have room for it
            case CounterAnswered():
                self.count_answered(event)
            case EndpointsListed(kind):
                self.endpoints.on_endpoints_listed(event)
                if self.settings.must_subscribe and kind in (ListKind.FAILED, ListKind.CACHED):
                    self.actions.append(SubscribeToEndpoints(True))
            case ClientDisconnected(number):
                self.finish(number)
            case StreamStarted(number, attempt):
                self.finish(number, but=attempt)
        if now - self.swept_at > SECOND:  # idle accounts go once their store must be full again
            self.swept_at = now
            self.accounts = {c: a for c, a in self.accounts.items() if now - a.demand_at < a.retention()}
        return self.actions

    def hand_over(self) -> PolicySnapshot:
        """Returns what has been leased and learned, for the process that takes this one's place.

        Leases and unreported units are no longer this gateway's: what it still has to finish asks the counter
        anew.
        """
        endpoints = self.endpoints
        customers = tuple(
            quota.hand_over(customer, self.settings.plans.index(quota.plan))
            for customer, quota in self.accounts.items()
        )
        return PolicySnapshot(
            baseline_latencies=tuple(endpoints.slowdowns.baseline_latencies),
            mean_slowdowns=tuple(endpoints.slowdowns.mean_slowdowns),
            fleet_headroom=endpoints.limits.fleet_headroom,
            counter_congestion=self.pacing.congestion,
            customers=customers,
            endpoints=tuple(
                EndpointSnapshot(number, endpoint.concurrency_limit, tuple(endpoint.slowdown_by_class))
                for number, endpoint in endpoints.candidates.items()
            ),
        )

    def restore(self, snapshot: PolicySnapshot) -> None:
        """Goes on where another process stopped; what does not fit these settings is left out."""
        settings, endpoints = self.settings, self.endpoints
        class_count = len(settings.classes)
        if len(snapshot.baseline_latencies) == len(snapshot.mean_slowdowns) == class_count:
            endpoints.slowdowns.restore(snapshot.baseline_latencies, snapshot.mean_slowdowns)
            endpoints.limits.fleet_headroom = max(0.0, snapshot.fleet_headroom)
            self.pacing.set(snapshot.counter_congestion)
        for learned in snapshot.endpoints:
            endpoint = endpoints.candidates.get(learned.id)
            if endpoint and len(learned.slowdown_by_class) == class_count:
                endpoint.concurrency_limit = max(endpoints.limits.minimum, learned.concurrency_limit)
                endpoint.slowdown_by_class = list(learned.slowdown_by_class)
        for customer in snapshot.customers:
            fits = (
                0 <= customer.plan < len(settings.plans) and 0 < customer.gateway_count <= settings.fleet_size
            )
            if fits and customer.customer not in self.accounts:
                plan = settings.plans[customer.plan]
                self.accounts[customer.customer] = CustomerQuota.restore(customer, plan, self.slot_us)

    def arrived(self, event: RequestArrived) -> None:
        s, account = self.settings, self.accounts.get(event.customer)
        valid = (
            event.request_class < len(s.classes) and event.plan < len(s.plans) and 0 <= event.units < math.inf
        )
        if event.request in self.requests or not valid or event.time_left <= 0:
            self.actions += [] if event.request in self.requests else [Reject(event.request)]
            return
        if account is None:
            spread = min(s.fleet_size, max(1, event.gateway_count))
            account = CustomerQuota(s.plans[event.plan], spread, self.slot_us, self.now)
        cls, self.accounts[event.customer] = s.classes[event.request_class], account
        span = (
            cls.deadline if cls.late_weight >= 0.5 or cls.objective_stretch > 0 else cls.latency_objective
        )  # worth a wait
        request = Request(event, cls, account, self.now + min(event.time_left, span), self.now)
        self.requests[event.request] = request
        account.record_arrival(self.now, event.units, event.is_retry)
        self.admit(request)

    def admit(self, request: Request, answered: bool = False) -> None:
        """First stage. `answered`: the counter has just been heard, so what the bucket lacks is overflow."""
        account, units, counter = request.account, request.event.units, self.settings.counter
        plan, late = account.plan, self.now + 2 * counter.timeout >= request.cut
        late = late or not counter.allowed
        if plan.max_in_flight and account.in_flight >= plan.max_in_flight:
            self.overflow(request)  # the cap on attempts at once: beyond the quota whatever the store holds
        elif plan.rate and account.gateway_count > WIDE and counter.allowed:
            self.admit_wide(request, answered)
        elif not plan.rate or (account.leased_units >= units and not account.waiting):
            account.remaining_upper_bound, account.remaining_at = account.remaining(self.now), self.now
            account.leased_units -= units if self.send(request) else 0.0
        elif answered or account.remaining(self.now) + account.leased_units < units:
            self.overflow(request)  # the store cannot hold it, whatever the siblings did: no call needed
        elif late or (not account.lease_requested and not self.pacing.may_call(self.now)):
            self.admit_unheard(request)  # no counter or time, or calls enough made
        else:
            account.waiting.append(request)
            if not account.lease_requested:
                self.ask(account, request.event.customer)

    def admit_wide(self, request: Request, answered: bool) -> None:
        """The same for a customer of many gateways, by the fading count of what all of them had."""
        account, units, event = request.account, request.event.units, request.event
        account.decay(self.now)
        room = account.usage_limit(units) - account.counted_usage + min(0.0, account.counted_lease)
        chance = account.lease_success_rate if account.lease_success_rate >= 0 else self.success[account.plan]
        if account.counted_lease >= units and not account.waiting:
            account.counted_lease -= units if self.send(request) else 0.0
        elif answered or (room < units and not account.lease_requested):
            self.overflow(request)  # used up, as far as is known; the others can but have used more
        elif account.lease_requested:
            account.waiting.append(request)
        elif self.pacing.unused(self.now) >= 1 - chance:  # calls that will likely bring nothing come last
            account.waiting.append(request)
            self.ask_wide(account, event.customer)
        elif (
            self.now - account.last_answer_at < account.window
            and room - units > account.usage_limit(units) / 2
        ):
            account.counted_lease -= units if self.send(request) else 0.0  # told with the next call
        elif chance > 0.5 and self.now < request.came + PATIENCE * request.cls.latency_objective:
            turn = max(self.now, self.pacing.next_at) + self.settings.tick
            self.actions.append(SetTimer(event.request, turn))
        else:
            self.admit_unheard(request)

    def admit_unheard(self, request: Request) -> None:  # without a call: a part, by a draw if under one
        account, units = request.account, request.event.units
        room = account.remaining(self.now)
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
        elif self.send(request):
            account.local_allowance = max(0.0, account.local_allowance - units)
            account.remaining_upper_bound, account.remaining_at = room - units, self.now
            if account.gateway_count > WIDE:
                self.heard_part -= LAST * self.heard_part
                account.decay(self.now)
                account.counted_lease -= units
            else:
                account.unreported_units = min(account.plan.burst, account.unreported_units + units)

    def ask_wide(self, account: CustomerQuota, customer: int) -> None:  # a lease, and what was spent untold
        units, epoch = account.waiting[0].event.units, EPOCH * account.window
        room = account.usage_limit(units) - account.counted_usage + min(0.0, account.counted_lease) - units
        ahead = min(account.demand_rate * LEASE_LIFE, HOLD * room)
        ahead = ahead // units * units if units else 0.0
        untold = max(0.0, -account.counted_lease)
        account.counted_lease, account.lease_requested = max(0.0, account.counted_lease), True
        name, start = counter_name(customer, self.now // epoch), self.now // epoch * epoch
        self.call_wide(account, name, start, units + ahead, True, untold)

    def call_wide(
        self, account: CustomerQuota, name: int, start: int, amount: float, lease: bool, untold: float = 0.0
    ) -> None:
        """Adds units weighted by when they were taken: what came before fades in the same measure."""
        weight = math.exp((self.now - start) / account.window)
        life = min(60 * SECOND, 2 * EPOCH * account.window)
        self.actions.append(AddToCounter(name, (amount + untold) * weight, life))
        self.called(name, account, start, amount, lease, untold)

    def counted_wide(
        self, account: CustomerQuota, event: CounterAnswered, start: int, amount: float, untold: float
    ) -> None:
        """The answer to a lease."""
        plan, known = account.plan, account.counted_usage
        self.heard_part += LAST * (1 - self.heard_part)
        left = math.exp(-event.latency / account.window)  # of what was added with the call
        total = event.total / math.exp((self.now - start) / account.window)
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
        account.counted_usage, account.last_answer_at = total - over, self.now
        account.counted_lease += (amount - over) / left
        account.refill_rate = min(plan.rate, (amount - over) / LEASE_LIFE)
        account.local_allowance = (
            max(0.0, account.local_allowance - (amount - over)) if over < amount else 0.0
        )
        brought, prior = float(over < amount), self.success[plan]
        if account.lease_success_rate < 0:
            self.success[plan], account.lease_success_rate = prior + PRIOR * (brought - prior), prior
        account.lease_success_rate += LAST_CALL * (brought - account.lease_success_rate)

    def ask(self, account: CustomerQuota, customer: int) -> None:  # a lease: what waits, and demand ahead
        room, units = account.remaining(self.now), account.waiting[0].event.units
        need = max(0.0, min(units - account.leased_units, room))
        ahead = min(max(account.demand_rate * LEASE_LIFE, units), (room - need) / (2 * account.gateway_count))
        ahead *= max(1.0, self.pacing.congestion)
        account.lease_requested, window = True, self.now // account.window
        name, start = counter_name(customer, window), window * account.window
        owed, account.unreported_units = account.unreported_units, 0.0
        self.call(account, name, start, need + max(0.0, min(ahead, room - need)), True, owed)

    def call(
        self, account: CustomerQuota, name: int, start: int, amount: float, lease: bool, owed: float = 0.0
    ) -> None:
        self.actions.append(AddToCounter(name, amount + owed, min(60 * SECOND, 2 * account.window)))
        self.called(name, account, start, amount, lease, owed)

    def called(
        self, name: int, account: CustomerQuota, start: int, amount: float, lease: bool, owed: float
    ) -> None:
        self.calls.setdefault(name, deque()).append((account, start, amount, lease, owed))
        self.pacing.called(self.now)

    def count_answered(self, event: CounterAnswered) -> None:
        if not (queue := self.calls.pop(event.name, None)):
            return
        account, start, amount, lease, owed = queue.popleft()
        self.calls.update({event.name: queue} if queue else {})
        heard = self.pacing.answered(self.now, event.outcome, event.total, event.latency)
        account.decay(self.now)
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
        plan, due = account.plan, account.plan.rate * (self.now - start) / SECOND
        raw, upper = plan.burst + due - event.total, account.remaining(self.now) - amount
        # Units the counter does not know of: burst spent before this window, time spent full, a flush,
        # use by share while it was silent. Put back where demand matters; harms if two do so at once.
        unknown = raw - upper if account.demand_rate * account.gateway_count > plan.rate else 0.0
        unknown, level = unknown if unknown > plan.burst / 8 else 0.0, min(raw, upper)
        over = min(amount, max(0.0, -level))  # past the allowance: that part is added back
        if unknown != over:
            self.call(account, event.name, start, unknown - over, False)
        account.remaining_upper_bound, account.remaining_at = min(plan.burst, level + over), self.now
        account.leased_units += amount - over
        account.local_allowance = max(
            0.0, account.local_allowance - (amount - over)
        )  # a part of the same store
        account.refill_rate = min(plan.rate, (amount - over) / LEASE_LIFE)
        for request in waiting:
            self.admit(request, answered=True)

    def overflow(self, request: Request) -> None:  # second stage: retry-after, or a firm refusal
        plan = request.account.plan
        if plan.over_quota_earnings > plan.over_quota_cost and self.endpoints.utilization() < SPARE:
            self.send(request)  # the plan pays for service beyond its quota while the fleet has room to spare
        else:
            wait = request.account.book(self.now, request.event.units)
            self.end(request, Reject(request.event.request, wait))

    def may_send(self, request: Request, backend: Endpoint) -> bool:
        """What may have run is repeated only if safe, or keyed within the scope and memory of its keys."""
        ran, cls, alone = request.ran(), request.cls, not self.settings.limits.may_hedge
        if any(a.out and (a.backend is backend or alone) for a in request.attempts):
            return False
        if ran is None or cls.idempotency is Idempotency.IDEMPOTENT:
            return True
        here, there, sent, tick = backend.entry, ran.backend.entry, ran.sent_at, self.settings.tick
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
        least = (
            0
            if first
            else int(LAST_CHANCE * self.endpoints.slowdowns.baseline_latencies[event.request_class])
        )
        over = len(request.attempts) >= self.settings.limits.max_attempts or self.now + least >= request.cut
        if first and account.plan.ceiling_rate:  # kept by fixed parts, whatever the counter says
            over = over or account.ceiling_allowance < event.units
        backend = (
            None
            if over
            else self.load_balancer.choose(self.now, event.request_class, lambda b: self.may_send(request, b))
        )
        if backend is None:
            if first:
                self.end(request, Reject(event.request, self.slot_us))
            return False
        account.ceiling_allowance -= event.units if first else 0.0
        number, timeout = len(request.attempts), request.cut - self.now
        patience = int(
            max(
                6
                * (
                    self.endpoints.slowdowns.baseline_latencies[event.request_class]
                    or cls.latency_objective / 6
                ),
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
        self.actions.append(SendAttempt(event.request, backend.entry.id, max(1, timeout)))
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
        self.load_balancer.on_attempt_ended(
            attempt.backend, self.now, request.event.request_class, event.outcome, event.latency
        )
        self.load_balancer.on_load_report(attempt.backend, self.now, event.load)
        if self.settings.settles_after_response and event.outcome is Outcome.OK and event.settled_units > 0:
            account.leased_units -= event.settled_units - request.event.units
        if event.request_ended:
            self.finish(event.request)
        if event.request not in self.requests or any(a.out for a in request.attempts) or self.send(request):
            return
        keyed = cls.idempotency is Idempotency.WITH_KEY and cls.deduplication_scope is DeduplicationScope.ALL
        harmless = keyed or cls.idempotency is Idempotency.IDEMPOTENT or request.ran() is None
        self.end(request, Reject(event.request) if harmless else Fail(event.request))

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
