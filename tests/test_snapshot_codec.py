"""What a policy has leased and learned, from one process to the next."""

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
    """A request of customer 7, its actions, and what was asked of the counter for it."""
    actions = gateway.handle(now, RequestArrived(number, 0, 0, 7, 1.0, 3_000_000))
    calls = [a for a in actions if isinstance(a, AddToCounter)]
    for call in calls:
        answer = CounterAnswered(call.name, Outcome.OK, call.amount, 1000)
        actions = actions + gateway.handle(now, answer)
    return actions, sum(c.amount for c in calls)


def listed(gateway: Gateway, now: int) -> None:
    box = ListedEndpoint(1, EndpointState.READY, 0, 0, 0, 1.0, 0)
    gateway.handle(now, EndpointsListed(ListKind.FULL, 1, (box,)))


def test_leases_go_on_in_the_new_process_and_are_no_longer_the_olds() -> None:
    now, old, new = 1_000_000_000, Gateway(SETTINGS, 1), Gateway(SETTINGS, 2)
    for gateway in (old, new):
        listed(gateway, now)
    number = 0
    while not (left := old.admission.customers[7].bucket.leased_units if number else 0.0):
        number, now = number + 1, now + 100_000
        lease(old, now, number)
        assert number < 50
    old.endpoints.candidates[1].concurrency_limit = 9.0
    carried = old.hand_over()
    new.restore(carried)
    assert (
        new.admission.customers[7].bucket.leased_units == left
        and old.admission.customers[7].bucket.leased_units == 0
    )
    assert new.endpoints.candidates[1].concurrency_limit == 9.0
    actions, asked = lease(new, now, 1)
    assert asked == 0 and any(isinstance(a, SendAttempt) for a in actions)  # from the lease
    assert lease(old, now, 99)[1] > 0  # what it has still to finish asks the counter


def test_what_a_module_learned_is_read_with_suspicion(caplog: pytest.LogCaptureFixture) -> None:
    class Loop:
        def call_later(self, *_: object) -> Any: ...

    def engine() -> Engine:
        upstream = type("None", (), {"register_endpoint": lambda *_: None, "reconcile": lambda *_: None})()
        index = SettingsIndex(SETTINGS, RAW)
        return Engine(Gateway(SETTINGS, 1), SETTINGS, index, upstream, Loop(), lambda: 1_000_000_000)

    whole = json.loads(json.dumps(engine().hand_over()))
    engine().restore(whole)
    assert not caplog.records
    account = {"customer": 7, "plan": 0, "spread": 1, "sums": [1.0] * len(CUSTOMER_VALUES)}
    bad = [{}, {"accounts": 7}, whole | {"more": "x"}, whole | {"more": float("nan")}, whole | {"usual": 0}]
    bad += [whole | {"accounts": [{}]}, whole | {"accounts": [account | {"sums": ["x"]}]}]
    for count, raw in enumerate(bad, 1):
        engine().restore(raw)
        assert len(caplog.records) == count
    odd = [account | {"plan": 9}, account | {"spread": 0}, account | {"sums": [1.0]}, account]
    kept = engine()
    kept.restore(whole | {"accounts": odd})
    assert len(kept._policy.admission.customers) == 1  # type: ignore[attr-defined]
