"""Handing over the leases and the learned state of a policy in an upgrade."""

from __future__ import annotations

import json
from typing import Any

import pytest

from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.engine.snapshot_codec import CUSTOMER_VALUES
from quota_ingress.policy.actions import Action, AddToCounter, SendAttempt
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import CounterAnswered, Outcome, RequestArrived
from quota_ingress.policy.gateway import Gateway
from tests.net_helpers import (
    RAW,
    SETTINGS,
)


def lease(gateway: Gateway, now: int, number: int) -> tuple[list[Action], float]:
    """Sends a request of customer 7; returns its actions and the units added to the counter for it."""
    actions = gateway.handle(now, RequestArrived(number, 0, 0, 7, 1.0, 3_000_000))
    calls = [a for a in actions if isinstance(a, AddToCounter)]
    for call in calls:
        answer = CounterAnswered(call.name, Outcome.OK, call.amount, 1000)
        actions = actions + gateway.handle(now, answer)
    return actions, sum(c.amount for c in calls)


def list_endpoint(gateway: Gateway, now: int) -> None:
    endpoint = ListedEndpoint(1, EndpointState.READY, 0, 0, 0, 1.0, 0)
    gateway.handle(now, EndpointsListed(ListKind.FULL, 1, (endpoint,)))


def test_leases_move_to_the_new_process_and_leave_the_old_one() -> None:
    now, old, new = 1_000_000_000, Gateway(SETTINGS, 1), Gateway(SETTINGS, 2)
    for gateway in (old, new):
        list_endpoint(gateway, now)
    number = 0
    while not (leased_units := old.admission.customers[7].bucket.leased_units if number else 0.0):
        number, now = number + 1, now + 100_000
        lease(old, now, number)
        assert number < 50
    old.endpoints.candidates[1].concurrency_limit = 9.0
    snapshot = old.hand_over()
    new.restore(snapshot)
    assert (
        new.admission.customers[7].bucket.leased_units == leased_units
        and old.admission.customers[7].bucket.leased_units == 0
    )
    assert new.endpoints.candidates[1].concurrency_limit == 9.0
    actions, units_added = lease(new, now, 1)
    assert units_added == 0 and any(isinstance(a, SendAttempt) for a in actions)  # served from the lease
    assert lease(old, now, 99)[1] > 0  # the old process uses the counter for the requests that it still has


def test_malformed_snapshots_are_ignored_and_invalid_customers_skipped(
    caplog: pytest.LogCaptureFixture,
) -> None:
    class Loop:
        def call_later(self, *_: object) -> Any: ...

    def engine() -> Engine:
        upstream = type("None", (), {"register_endpoint": lambda *_: None, "reconcile": lambda *_: None})()
        index = SettingsIndex(SETTINGS, RAW)
        return Engine(Gateway(SETTINGS, 1), SETTINGS, index, upstream, Loop(), lambda: 1_000_000_000)

    valid = json.loads(json.dumps(engine().hand_over()))
    engine().restore(valid)
    assert not caplog.records
    account = {"customer": 7, "plan": 0, "spread": 1, "sums": [1.0] * len(CUSTOMER_VALUES)}
    malformed = [
        {},
        {"accounts": 7},
        valid | {"more": "x"},
        valid | {"more": float("nan")},
        valid | {"usual": 0},
    ]
    malformed += [valid | {"accounts": [{}]}, valid | {"accounts": [account | {"sums": ["x"]}]}]
    for count, raw in enumerate(malformed, 1):
        engine().restore(raw)
        assert len(caplog.records) == count
    accounts = [account | {"plan": 9}, account | {"spread": 0}, account | {"sums": [1.0]}, account]
    restored = engine()
    restored.restore(valid | {"accounts": accounts})
    assert len(restored._policy.admission.customers) == 1  # type: ignore[attr-defined]
