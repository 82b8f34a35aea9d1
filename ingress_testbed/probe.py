"""The module alone, in a process of its own: what lists, customers, classes and plans cost it."""

from __future__ import annotations

import gc
import json
import os
import time
from collections.abc import Callable
from typing import Any

from ingress_testbed import proc
from ingress_testbed.model import OUTAGE, Shape, entry
from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.policy.actions import AddToCounter, SendAttempt
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Outcome,
    RequestArrived,
    TimerFired,
)
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Settings
from quota_ingress.settings_codec import settings_from_json

SECOND = 1_000_000
REQUESTS = 1000


def used(work: Callable[[], Any]) -> float:
    """S of this process's CPU."""
    start = time.process_time()
    work()
    return time.process_time() - start


def resident() -> float:
    gc.collect()
    return proc.memory(os.getpid())[0]


def listed(numbers: range, kind: ListKind, started: int = 0, gone: bool = False) -> EndpointsListed:
    state = EndpointState.REMOVED if gone else EndpointState.READY
    boxes = (ListedEndpoint(n + 1, state, n % 27, n % 8, 0, 1.0, started, n + 1) for n in numbers)
    return EndpointsListed(kind, 1, tuple(boxes))


def served(gateway: Gateway, now: int, customers: range, spread: int = 1, classes: int = 1) -> None:
    """A request of each, its calls answered and its attempt served at once; one that is to wait for its turn
    at the counter is given up by its client, so that only what the customer leaves behind is held.
    """
    for n in customers:
        event = RequestArrived(now + n, n % classes, 0, n, 1.0, 3 * SECOND, gateway_count=spread)
        todo = gateway.handle(now + n, event)
        while todo:
            action = todo.pop(0)
            if isinstance(action, SendAttempt):
                outcome = AttemptEnded(action.request, 0, action.endpoint, Outcome.OK, 9000, True)
                todo += gateway.handle(now + n, outcome)
            elif isinstance(action, AddToCounter):
                answer = CounterAnswered(action.name, Outcome.OK, action.amount, 500)
                todo += gateway.handle(now + n, answer)
        gateway.handle(now + n, ClientDisconnected(now + n))


class Probe:
    """The worker's host. Each method is asked once in a fresh process; memory is what it grew by."""

    def backends(self, size: int, fleet_size: int) -> dict[str, float]:
        settings = _settings(Shape(fleet_size=fleet_size))
        raw = {"index": 1, "snapshot": True, "endpoints": [entry(n, 7070) for n in range(size)]}
        text = json.dumps(raw, separators=(",", ":"))
        del raw
        before = resident()
        read = used(lambda: decode_endpoint_list(json.loads(text)))
        gateway, events = Gateway(settings, 1), listed(range(size), ListKind.FULL)
        whole = used(lambda: gateway.handle(0, events))
        changes = [listed(range(n, n + 1), ListKind.DELTA, started=SECOND + n) for n in range(20)]
        change = used(lambda: [gateway.handle(2 * SECOND, c) for c in changes]) / len(changes)
        request = used(lambda: served(gateway, 60 * SECOND, range(REQUESTS))) / REQUESTS
        own = len(getattr(gateway.endpoints, "preferred", ()))
        lost = listed(range(round(OUTAGE * size)), ListKind.DELTA, gone=True)
        zone = used(lambda: gateway.handle(90 * SECOND, lost))
        return {
            "list_b": float(len(text)),
            "cpu_read_ms": read * 1e3,
            "cpu_whole_ms": whole * 1e3,
            "cpu_change_ms": change * 1e3,
            "cpu_zone_ms": zone * 1e3,
            "cpu_request_us": request * 1e6,
            "own_part_n": float(own),
            "grown_mb": resident() - before,
        }

    def customers(self, size: int, spread: int, fleet_size: int) -> dict[str, float]:
        gateway = Gateway(_settings(Shape(fleet_size=fleet_size)), 1)
        gateway.handle(0, listed(range(24), ListKind.FULL))
        before = resident()
        first = used(lambda: served(gateway, 2 * SECOND, range(size), spread)) / size
        held = float(len(gateway.admission.customers))
        grown = resident() - before
        again = used(lambda: served(gateway, 3 * SECOND, range(REQUESTS), spread)) / REQUESTS
        sweep = used(lambda: gateway.handle(5 * SECOND, TimerFired(-1)))
        return {
            "held_n": held,
            "grown_mb": grown,
            "cpu_first_us": first * 1e6,
            "cpu_request_us": again * 1e6,
            "cpu_sweep_ms": sweep * 1e3,
        }

    def classes(self, size: int, backends: int, fleet_size: int) -> dict[str, float]:
        """Requests are spread over all classes."""
        return self._tables(Shape(fleet_size=fleet_size, classes=size), backends)

    def plans(self, size: int, backends: int, fleet_size: int) -> dict[str, float]:
        return self._tables(Shape(fleet_size=fleet_size, plans=size), backends)

    def _tables(self, shape: Shape, backends: int) -> dict[str, float]:
        text = json.dumps(shape.settings()).encode()
        before = resident()
        found: list[Settings] = []
        read = used(lambda: found.append(settings_from_json(text)))
        tables = resident() - before
        gateway = Gateway(found[0], 1)
        listing = listed(range(backends), ListKind.FULL)
        whole = used(lambda: gateway.handle(0, listing))
        count = min(REQUESTS, max(20, 2_000_000 // shape.classes))
        request = used(lambda: served(gateway, 2 * SECOND, range(count), classes=shape.classes)) / count
        return {
            "settings_b": float(len(text)),
            "cpu_read_ms": read * 1e3,
            "tables_mb": tables,
            "cpu_list_ms": whole * 1e3,
            "grown_mb": resident() - before,
            "cpu_request_us": request * 1e6,
        }


def _settings(shape: Shape) -> Settings:
    return settings_from_json(json.dumps(shape.settings()).encode())
