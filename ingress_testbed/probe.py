"""The policy alone, in a process of its own: what lists, customers, classes and plans cost it."""

from __future__ import annotations

import gc
import json
import os
import time
from collections.abc import Callable

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

SECOND = 1_000_000  # us
REQUESTS = 1000  # over which the cost of one is averaged
MIN_REQUESTS = 20
MAX_REQUEST_CLASSES = 2_000_000  # requests times classes that are played at most
CHANGES = 20  # over which the cost of one is averaged
REQUEST_TIMEOUT = 3 * SECOND
ATTEMPT_LATENCY = 9000  # us
COUNTER_LATENCY = 500  # us
SWEEP_TIMER = -1  # the policy's timer that drops idle customers
ENDPOINTS_FOR_CUSTOMERS = 24
ZONES = 27
GROUPS = 8


def cpu_of(work: Callable[[], object]) -> float:
    """Returns the seconds of this process's CPU that `work` takes."""
    start = time.process_time()
    work()
    return time.process_time() - start


def resident_memory() -> float:
    """Returns the MB of memory that this process holds."""
    gc.collect()
    resident, _ = proc.memory(os.getpid())
    return resident


def build_list(
    numbers: range, kind: ListKind, started_at: int = 0, is_removed: bool = False
) -> EndpointsListed:
    """Returns the event that lists the endpoints of these numbers."""
    state = EndpointState.REMOVED if is_removed else EndpointState.READY
    endpoints = tuple(
        ListedEndpoint(
            id=number + 1,
            state=state,
            zone=number % ZONES,
            cell=number % GROUPS,
            kind=0,
            weight=1.0,
            started_at=started_at,
            hash_key=number + 1,
        )
        for number in numbers
    )
    return EndpointsListed(kind, 1, endpoints)


def play_requests(gateway: Gateway, now: int, customers: range, spread: int = 1, classes: int = 1) -> None:
    """Plays a request of each customer: its calls are answered and its attempt is served at once.

    A request that would wait for its turn at the counter is given up by its client, so that only what the
    customer leaves behind is held.
    """
    for number in customers:
        moment = now + number
        event = RequestArrived(
            moment, number % classes, 0, number, 1.0, REQUEST_TIMEOUT, gateway_count=spread
        )
        actions = gateway.handle(moment, event)
        while actions:
            action = actions.pop(0)
            if isinstance(action, SendAttempt):
                served = AttemptEnded(action.request, 0, action.endpoint, Outcome.OK, ATTEMPT_LATENCY, True)
                actions += gateway.handle(moment, served)
            elif isinstance(action, AddToCounter):
                answer = CounterAnswered(action.name, Outcome.OK, action.amount, COUNTER_LATENCY)
                actions += gateway.handle(moment, answer)
        gateway.handle(moment, ClientDisconnected(moment))


class Probe:
    """A policy in a worker. Each method is called once in a fresh process; memory is what it grew by."""

    def backends(self, size: int, fleet_size: int) -> dict[str, float]:
        """Returns what a list of `size` endpoints costs."""
        document = {"index": 1, "snapshot": True, "endpoints": [entry(n, 7070) for n in range(size)]}
        text = json.dumps(document, separators=(",", ":"))
        del document
        settings = _settings(Shape(fleet_size=fleet_size))
        before = resident_memory()
        read = cpu_of(lambda: decode_endpoint_list(json.loads(text)))
        gateway = Gateway(settings, 1)
        snapshot = build_list(range(size), ListKind.FULL)
        whole = cpu_of(lambda: gateway.handle(0, snapshot))
        changes = [build_list(range(n, n + 1), ListKind.DELTA, SECOND + n) for n in range(CHANGES)]
        change = cpu_of(lambda: [gateway.handle(2 * SECOND, event) for event in changes]) / CHANGES
        request = cpu_of(lambda: play_requests(gateway, 60 * SECOND, range(REQUESTS))) / REQUESTS
        preferred = len(gateway.endpoints.preferred)
        lost_zone = build_list(range(round(OUTAGE * size)), ListKind.DELTA, is_removed=True)
        zone = cpu_of(lambda: gateway.handle(90 * SECOND, lost_zone))
        return {
            "list_b": float(len(text)),
            "cpu_read_ms": read * 1e3,
            "cpu_whole_ms": whole * 1e3,
            "cpu_change_ms": change * 1e3,
            "cpu_zone_ms": zone * 1e3,
            "cpu_request_us": request * 1e6,
            "own_part_n": float(preferred),
            "grown_mb": resident_memory() - before,
        }

    def customers(self, size: int, spread: int, fleet_size: int) -> dict[str, float]:
        """Returns what `size` customers cost."""
        gateway = Gateway(_settings(Shape(fleet_size=fleet_size)), 1)
        gateway.handle(0, build_list(range(ENDPOINTS_FOR_CUSTOMERS), ListKind.FULL))
        before = resident_memory()
        first = cpu_of(lambda: play_requests(gateway, 2 * SECOND, range(size), spread)) / size
        held = float(len(gateway.admission.customers))
        grown = resident_memory() - before
        again = cpu_of(lambda: play_requests(gateway, 3 * SECOND, range(REQUESTS), spread)) / REQUESTS
        sweep = cpu_of(lambda: gateway.handle(5 * SECOND, TimerFired(SWEEP_TIMER)))
        return {
            "held_n": held,
            "grown_mb": grown,
            "cpu_first_us": first * 1e6,
            "cpu_request_us": again * 1e6,
            "cpu_sweep_ms": sweep * 1e3,
        }

    def classes(self, size: int, backends: int, fleet_size: int) -> dict[str, float]:
        """Returns what `size` classes cost; requests are spread over all of them."""
        return self._tables(Shape(fleet_size=fleet_size, classes=size), backends)

    def plans(self, size: int, backends: int, fleet_size: int) -> dict[str, float]:
        """Returns what `size` plans cost."""
        return self._tables(Shape(fleet_size=fleet_size, plans=size), backends)

    def _tables(self, shape: Shape, backends: int) -> dict[str, float]:
        """Returns what the settings' tables cost."""
        text = json.dumps(shape.settings()).encode()
        before = resident_memory()
        decoded: list[Settings] = []
        read = cpu_of(lambda: decoded.append(settings_from_json(text)))
        tables = resident_memory() - before
        gateway = Gateway(decoded[0], 1)
        snapshot = build_list(range(backends), ListKind.FULL)
        whole = cpu_of(lambda: gateway.handle(0, snapshot))
        count = min(REQUESTS, max(MIN_REQUESTS, MAX_REQUEST_CLASSES // shape.classes))
        requests = cpu_of(lambda: play_requests(gateway, 2 * SECOND, range(count), classes=shape.classes))
        return {
            "settings_b": float(len(text)),
            "cpu_read_ms": read * 1e3,
            "tables_mb": tables,
            "cpu_list_ms": whole * 1e3,
            "grown_mb": resident_memory() - before,
            "cpu_request_us": requests / count * 1e6,
        }


def _settings(shape: Shape) -> Settings:
    return settings_from_json(json.dumps(shape.settings()).encode())
