"""The settings of a gateway, as the platform provides them at start.

Times are whole microseconds. Endpoints, requests, customers and timers have opaque integer ids.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """The effect of a second execution of a request."""

    IDEMPOTENT = "idempotent"  # none, apart from the work
    WITH_KEY = "with key"  # for a limited time, endpoints of one scope recognize a key that they have seen
    NOT_IDEMPOTENT = "not idempotent"  # the request takes effect again


class DeduplicationScope(Enum):
    """Which endpoints recognize each other's idempotency keys."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A kind of request: its latency objective, its deadline and whether it may be retried."""

    name: str
    latency_objective: int  # us; an answer within it earns the full weight
    deadline: int  # us from the request's arrival
    idempotency: Idempotency
    priority_weight: float = 1.0
    late_weight: float = 0.0  # weight of an answer past the objective but within the deadline
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: int = 0  # us that a key is remembered, from the first attempt that may have run
    stream: bool = False
    objective_stretch: float = 0.0  # fraction by which the objective grows with the response's length


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's contract: quotas that apply to all gateways together."""

    name: str
    rate: float  # units a second for each customer; 0: no rate quota
    burst: float  # capacity of the customer's shared token bucket, in units
    max_in_flight: int = 0  # attempts at once; 0: no limit
    price: float = 1.0
    over_quota_earnings: float = 0.0  # fraction of a request's weight earned beyond the quota
    over_quota_cost: float = 0.0  # fraction of a request's weight that it costs beyond the quota
    ceiling_rate: float = 0.0  # hard ceiling in units a second; 0: none
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units


@dataclass(frozen=True, slots=True)
class Limits:
    """What a gateway is allowed to do, and its limits."""

    max_attempts: int = 1  # for each request
    may_hedge: bool = False  # two attempts of a request may be in flight at once
    may_cancel: bool = False
    may_probe: bool = False
    may_gossip: bool = False
    sends_retry_after: bool = True  # rejections may carry Retry-After
    max_retry_after: int = 0  # us; clients do not honor a longer Retry-After
    connect_timeout: int = 250_000  # us
    max_in_flight: int = 0  # requests at once at this gateway; 0: no limit


@dataclass(frozen=True, slots=True)
class Safety:
    """The parameters of the safety rules, which must never be violated."""

    answer_slack: int  # us
    drain_grace: int  # us
    initial_capacity_fraction: float  # fraction of its full capacity that a newly started endpoint has
    warmup_time: int  # us from an endpoint's start until it has its full capacity
    overload_multiple: float  # an endpoint fails if its load exceeds this times its current capacity ...
    overload_window: int  # us ... for this long
    poll_within: int = 0  # us


@dataclass(frozen=True, slots=True)
class CounterLimits:
    """Whether the shared counter may be called, and the timeout and price of a call."""

    allowed: bool = False
    timeout: int = 0  # us
    price: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one gateway."""

    gateway_index: int  # of this gateway, from 0
    fleet_size: int  # gateways in front of these endpoints
    zone: int
    tick: int  # us between two batches of events
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    limits: Limits
    safety: Safety
    counter: CounterLimits
    must_subscribe: bool = False  # the gateway has to subscribe to the endpoint list
    load_fields: tuple[str, ...] = ()  # names of the values in a load report, in order
    settles_after_response: bool = False  # a request's true units are known only with its response
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    probe_price: float = 0.0
