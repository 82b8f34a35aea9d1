"""The leases and statistics of a gateway that are handed over to the new process in an upgrade.

`quota_ingress.net.engine.snapshot_codec` encodes and decodes the message between the processes.
"""

from __future__ import annotations

from dataclasses import dataclass

NO_LEASE_REQUESTED = -1.0  # as a lease success rate


@dataclass(frozen=True, slots=True)
class CustomerQuotaSnapshot:
    """A customer's quota state. Timestamps are microseconds of a clock that both processes share.

    Both kinds of quota use the same fields; fields that a kind lacks have the values of a new customer.
    """

    customer: int
    plan: int  # index into Settings.plans
    gateway_count: int
    remaining_upper_bound: float  # units
    remaining_at: int
    local_allowance: float  # units
    unreported_units: float
    leased_units: float
    refill_rate: float  # units a second
    last_answer_at: int
    demand_rate: float  # units a second
    demand_at: int
    ceiling_allowance: float  # units
    counted_usage: float  # units
    counted_lease: float  # units
    decayed_at: int
    lease_success_rate: float  # below 0: no lease was requested


@dataclass(frozen=True, slots=True)
class EndpointSnapshot:
    """The learned limit and slowdowns of an endpoint."""

    id: int
    concurrency_limit: float
    slowdown_by_class: tuple[float, ...]  # latency divided by the baseline latency


@dataclass(frozen=True, slots=True)
class PolicySnapshot:
    """The complete state that one gateway hands over."""

    baseline_latencies: tuple[float, ...]  # us, by class
    mean_slowdowns: tuple[float, ...]  # by class
    fleet_headroom: float
    counter_congestion: float  # factor on the interval between calls to a healthy counter
    customers: tuple[CustomerQuotaSnapshot, ...]
    endpoints: tuple[EndpointSnapshot, ...]
