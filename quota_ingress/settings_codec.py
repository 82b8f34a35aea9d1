"""Decodes the platform's JSON settings into `quota_ingress.policy.settings`.

A few other keys of these settings are read by `quota_ingress.config` (the idle timeout) and `SettingsIndex`
(names and the maximum units of a request). Times are whole microseconds in the JSON and in `Settings`.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from quota_ingress.policy.settings import (
    CounterLimits,
    DeduplicationScope,
    Idempotency,
    Limits,
    Plan,
    RequestClass,
    Safety,
    Settings,
)

Document = Mapping[str, Any]

_IDEMPOTENCY = {
    "retryable": Idempotency.IDEMPOTENT,
    "dedup": Idempotency.WITH_KEY,
    "fragile": Idempotency.NOT_IDEMPOTENT,
}
_LOAD_FIELDS = {
    "busy_reqs": "inflight",
    "pending": "queue",
    "cpu_share": "util",
    "svc_ms": "latency_ms",
    "served_ps": "qps",
    "failed_ps": "eps",
}


class SettingsError(ValueError):
    """The settings are invalid; the message names the missing key or the fault."""


def settings_from_json(text: bytes) -> Settings:
    """Returns the settings from a JSON document; unknown keys are ignored.

    Raises:
        SettingsError: A key is missing, or a value is of the wrong type or unknown.
    """
    try:
        return _settings(json.loads(text))
    except KeyError as error:
        raise SettingsError(f"{error.args[0]} is missing") from None
    except SettingsError:
        raise
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(str(error)) from None


def _settings(raw: Document) -> Settings:
    domain = raw.get("domain", {})
    fees = raw.get("fees", {})
    load_fields = raw.get("telemetry", {}).get("fields", ())
    return Settings(
        gateway_index=int(raw["me"]),
        fleet_size=int(raw["fleet_size"]),
        zone=int(raw.get("my_zone", 0)),
        tick=int(raw.get("period", 0)),
        classes=tuple(_request_class(service) for service in raw["services"]),
        plans=tuple(_plan(contract) for contract in raw["contracts"]),
        limits=_limits(raw["ceilings"]),
        safety=_safety(raw["safety"]),
        counter=_counter(domain),
        must_subscribe=raw.get("membership_mode") == "ask",
        load_fields=tuple(_LOAD_FIELDS.get(str(field), str(field)) for field in load_fields),
        settles_after_response=bool(domain.get("post_paid", False)),
        cross_zone_price=float(fees.get("cross_zone", 0)),
        waste_price=float(fees.get("waste", 0)),
        probe_price=float(fees.get("probe", 0)),
    )


def _request_class(raw: Document) -> RequestClass:
    return RequestClass(
        name=str(raw["name"]),
        latency_objective=int(raw["on_time"]),
        deadline=int(raw["deadline"]),
        idempotency=_idempotency(raw["semantics"]),
        priority_weight=float(raw.get("worth", 1)),
        late_weight=float(raw.get("late_worth", 0)),
        deduplication_scope=DeduplicationScope(raw.get("dedup_scope", "all")),
        deduplication_window=int(raw.get("memory_span", 0)),
        stream=bool(raw.get("stream", False)),
        objective_stretch=float(raw.get("aim_stretch", 0)),
    )


def _idempotency(semantics: Any) -> Idempotency:
    try:
        return _IDEMPOTENCY[semantics]
    except (KeyError, TypeError):
        raise SettingsError(f"services[].semantics: unknown value {semantics!r}") from None


def _plan(raw: Document) -> Plan:
    return Plan(
        name=str(raw["name"]),
        rate=float(raw.get("quota_rate", 0)),
        burst=float(raw.get("burst", 0)),
        max_in_flight=int(raw.get("at_once", 0)),
        price=float(raw.get("price", 1)),
        over_quota_earnings=float(raw.get("beyond_earns", 0)),
        over_quota_cost=float(raw.get("overrun_cost", 0)),
        ceiling_rate=float(raw.get("never_over_rate", 0)),
        ceiling_burst=float(raw.get("never_over_depth", 0)),
        ceiling_slack=float(raw.get("tolerance", 0)),
    )


def _limits(raw: Document) -> Limits:
    return Limits(
        max_attempts=int(raw.get("max_attempts", 1)),
        may_hedge=bool(raw.get("may_duplicate", False)),
        may_cancel=bool(raw.get("cancel", False)),
        may_probe=bool(raw.get("probing", False)),
        may_gossip=bool(raw.get("may_tell", False)),
        sends_retry_after=bool(raw.get("retry_after", False)),
        max_retry_after=int(raw.get("max_retry_after", 0)),
        connect_timeout=int(raw.get("connect_timeout", 0)),
        max_in_flight=int(raw.get("max_open", 0)),
    )


def _safety(raw: Document) -> Safety:
    return Safety(
        answer_slack=int(raw["answer_slack"]),
        drain_grace=int(raw["drain_grace"]),
        initial_capacity_fraction=float(raw["cold_share"]),
        warmup_time=int(raw["ramp_time"]),
        overload_multiple=float(raw["tip_multiple"]),
        overload_window=int(raw["fall"]),
        poll_within=int(raw.get("ask_within", 0)),
    )


def _counter(domain: Document) -> CounterLimits:
    return CounterLimits(
        allowed=bool(domain.get("may_count", False)),
        timeout=int(domain.get("count_wait", 0)),
        price=float(domain.get("count_fee", 0)),
    )
