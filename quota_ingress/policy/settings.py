"""The settings of a gateway, as the platform gives them at its start.

Times are whole microseconds. An opaque integer names an endpoint, a request, a customer or a timer.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What a second execution of a request would do."""

    IDEMPOTENT = "idempotent"  # no harm beyond the work
    WITH_KEY = "with key"  # endpoints of one scope recognize the key of an earlier execution for a while
    NOT_IDEMPOTENT = "not idempotent"  # it takes effect again


class DeduplicationScope(Enum):
    """The endpoints that share one memory of idempotency keys."""

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
    deduplication_window: int = 0  # us that endpoints remember a key, from the first send that may have run
    stream: bool = False
    objective_stretch: float = 0.0  # part by which the objective grows with the response's length


@dataclass(frozen=True, slots=True)
class Plan:
    """A customer's contract: quotas that hold over all gateways together."""

    name: str
    rate: float  # units a second for each customer; 0: no rate quota
    burst: float  # units that the customer's shared bucket holds
    max_in_flight: int = 0  # attempts at once; 0: no cap
    price: float = 1.0
    over_quota_earnings: float = 0.0  # part of the weight earned beyond the quota
    over_quota_cost: float = 0.0  # part of the weight that it costs
    ceiling_rate: float = 0.0  # units a second that are never exceeded; 0: none
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units


@dataclass(frozen=True, slots=True)
class Limits:
    """What a gateway may do, and how much of it."""

    max_attempts: int = 1  # for each request
    may_hedge: bool = False  # two attempts of a request may be in flight at once
    may_cancel: bool = False
    may_probe: bool = False
    may_gossip: bool = False
    sends_retry_after: bool = True  # clients are shown Retry-After
    max_retry_after: int = 0  # us; the longest wait that a client follows
    connect_timeout: int = 250_000  # us
    max_in_flight: int = 0  # requests at once at this gateway; 0: no cap


@dataclass(frozen=True, slots=True)
class Safety:
    """The figures of the rules that may never be broken."""

    answer_slack: int  # us
    drain_grace: int  # us
    initial_capacity_fraction: float  # what an endpoint that has just started can do, of its full capacity
    warmup_time: int  # us until it has all of it
    overload_multiple: float  # an endpoint fails under more than this times its present capacity ...
    overload_window: int  # us ... for this long
    poll_within: int = 0  # us


@dataclass(frozen=True, slots=True)
class CounterLimits:
    """Whether and how the shared counter may be called."""

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
    must_subscribe: bool = False  # the endpoint list has to be subscribed to
    load_fields: tuple[str, ...] = ()  # names of the values in a load report, in their order
    settles_after_response: bool = False  # the true units come with the response
    cross_zone_price: float = 0.0
    waste_price: float = 0.0
    probe_price: float = 0.0
