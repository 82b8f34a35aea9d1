"""Encodes the policy's snapshot as a message between the two processes of an upgrade, and decodes it.

The keys and the order of a customer's values are those of the versions in service and must not change: a
process must be able to hand over to an older version and to take over from one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from quota_ingress.policy.snapshot import CustomerQuotaSnapshot, EndpointSnapshot, PolicySnapshot

CUSTOMER_VALUES = (  # fields of CustomerQuotaSnapshot, in the order of the message
    "remaining_upper_bound",
    "remaining_at",
    "local_allowance",
    "unreported_units",
    "leased_units",
    "refill_rate",
    "last_answer_at",
    "demand_rate",
    "demand_at",
    "ceiling_allowance",
    "counted_usage",
    "counted_lease",
    "decayed_at",
    "lease_success_rate",
)
TIMESTAMPS = frozenset({"remaining_at", "last_answer_at", "demand_at", "decayed_at"})


class SnapshotError(ValueError):
    """A snapshot message is malformed."""


def encode(snapshot: PolicySnapshot, endpoint_names: Mapping[int, str]) -> dict[str, Any]:
    """Returns the message for `snapshot`.

    Endpoints are identified by name, as each process assigns its own numbers; one without a name is omitted.
    """
    return {
        "usual": list(snapshot.baseline_latencies),
        "typical": list(snapshot.mean_slowdowns),
        "more": snapshot.fleet_headroom,
        "congestion": snapshot.counter_congestion,
        "accounts": [_encode_customer(customer) for customer in snapshot.customers],
        "backends": [
            {
                "id": endpoint_names[endpoint.id],
                "limit": endpoint.concurrency_limit,
                "slow": list(endpoint.slowdown_by_class),
            }
            for endpoint in snapshot.endpoints
            if endpoint.id in endpoint_names
        ],
    }


def decode(message: Mapping[str, Any], endpoint_ids: Mapping[str, int]) -> PolicySnapshot:
    """Returns the snapshot in `message`; endpoints that are not in `endpoint_ids` are omitted.

    Raises:
        SnapshotError: A part of the message is missing, has the wrong type or is not finite.
    """
    try:
        congestion = message.get("congestion", message.get("crowd"))  # versions before 2026-12 wrote "crowd"
        fleet_headroom, counter_congestion = _finite((message["more"], congestion))
        return PolicySnapshot(
            baseline_latencies=_finite(message["usual"]),
            mean_slowdowns=_finite(message["typical"]),
            fleet_headroom=fleet_headroom,
            counter_congestion=counter_congestion,
            customers=tuple(_decode_customers(message["accounts"])),
            endpoints=tuple(
                _decode_endpoint(endpoint, endpoint_ids[endpoint["id"]])
                for endpoint in message["backends"]
                if endpoint["id"] in endpoint_ids
            ),
        )
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise SnapshotError(repr(error)) from error


def _encode_customer(customer: CustomerQuotaSnapshot) -> dict[str, Any]:
    return {
        "customer": customer.customer,
        "plan": customer.plan,
        "spread": customer.gateway_count,
        "sums": [float(getattr(customer, name)) for name in CUSTOMER_VALUES],
    }


def _decode_customers(raw: Iterable[Mapping[str, Any]]) -> Iterator[CustomerQuotaSnapshot]:
    """Skips customers with a different number of values, which another version wrote."""
    for customer in raw:
        number, plan, gateway_count = (
            int(customer["customer"]),
            int(customer["plan"]),
            int(customer["spread"]),
        )
        values = _finite(customer["sums"])
        if len(values) == len(CUSTOMER_VALUES):
            values_by_name: dict[str, Any] = {
                name: int(value) if name in TIMESTAMPS else value
                for name, value in zip(CUSTOMER_VALUES, values, strict=True)
            }
            yield CustomerQuotaSnapshot(number, plan, gateway_count, **values_by_name)


def _decode_endpoint(raw: Mapping[str, Any], endpoint_id: int) -> EndpointSnapshot:
    (limit,) = _finite((raw["limit"],))
    return EndpointSnapshot(endpoint_id, limit, _finite(raw["slow"]))


def _finite(values: Iterable[Any]) -> tuple[float, ...]:
    numbers = tuple(float(value) for value in values)
    if not all(map(math.isfinite, numbers)):
        raise ValueError(f"expected finite numbers, got {numbers}")
    return numbers
