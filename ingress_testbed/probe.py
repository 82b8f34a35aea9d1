"""Measures the CPU and memory of the policy alone: endpoint lists, customers, request classes and plans."""

from __future__ import annotations

import gc
import json
import os
import time
from collections.abc import Callable

from ingress_testbed import proc
from ingress_testbed.model import ZONE_FRACTION, Shape, entry
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
REQUEST_COUNT = 1000  # requests averaged for the cost of one
MIN_REQUEST_COUNT = 20
MAX_REQUESTS_TIMES_CLASSES = 2_000_000  # upper limit of requests times classes in one measurement
CHANGE_COUNT = 20  # list changes averaged for the cost of one
REQUEST_TIMEOUT = 3 * SECOND
ATTEMPT_LATENCY = 9000  # us
COUNTER_LATENCY = 500  # us
SWEEP_TIMER = -1  # token of the policy's timer that drops idle customers
ENDPOINTS_FOR_CUSTOMERS = 24
ZONES = 27
GROUPS = 8


def cpu_of(work: Callable[[], object]) -> float:
    """Calls `work`, and returns the seconds of CPU that this process used for it."""
    start = time.process_time()
    work()
    return time.process_time() - start


def resident_memory() -> float:
    """Returns the resident memory of this process in MB, after a garbage collection."""
    gc.collect()
    resident, _ = proc.memory(os.getpid())
    return resident


def build_list(
    numbers: range, kind: ListKind, started_at: int = 0, is_removed: bool = False
) -> EndpointsListed:
    """Returns the event that lists (or removes) the endpoints with these numbers."""
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
    """Plays one request of each customer; counter calls and attempts succeed at once.

    If the request still waits for the counter, its client disconnects, so that the only memory held is the
    customer's own state.
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
    """Measures the policy in a worker process.

    Each method is called once in a new process; memory figures are the growth of its resident memory.
    """

    def backends(self, size: int, fleet_size: int) -> dict[str, float]:
        """Returns the cost of a list of `size` endpoints, of its changes and of requests under it."""
        document = {"index": 1, "snapshot": True, "endpoints": [entry(n, 7070) for n in range(size)]}
        text = json.dumps(document, separators=(",", ":"))
        del document
        settings = _settings(Shape(fleet_size=fleet_size))
        mb_before = resident_memory()
        read_cpu = cpu_of(lambda: decode_endpoint_list(json.loads(text)))
        gateway = Gateway(settings, 1)
        snapshot = build_list(range(size), ListKind.FULL)
        snapshot_cpu = cpu_of(lambda: gateway.handle(0, snapshot))
        changes = [build_list(range(n, n + 1), ListKind.DELTA, SECOND + n) for n in range(CHANGE_COUNT)]
        change_cpu = cpu_of(lambda: [gateway.handle(2 * SECOND, event) for event in changes]) / CHANGE_COUNT
        request_cpu = (
            cpu_of(lambda: play_requests(gateway, 60 * SECOND, range(REQUEST_COUNT))) / REQUEST_COUNT
        )
        preferred_count = len(gateway.endpoints.preferred)
        lost_zone = build_list(range(round(ZONE_FRACTION * size)), ListKind.DELTA, is_removed=True)
        zone_cpu = cpu_of(lambda: gateway.handle(90 * SECOND, lost_zone))
        return {
            "list_b": float(len(text)),
            "cpu_read_ms": read_cpu * 1e3,
            "cpu_whole_ms": snapshot_cpu * 1e3,
            "cpu_change_ms": change_cpu * 1e3,
            "cpu_zone_ms": zone_cpu * 1e3,
            "cpu_request_us": request_cpu * 1e6,
            "own_part_n": float(preferred_count),
            "grown_mb": resident_memory() - mb_before,
        }

    def customers(self, size: int, spread: int, fleet_size: int) -> dict[str, float]:
        """Returns the cost of `size` customers, each of which sends one request."""
        gateway = Gateway(_settings(Shape(fleet_size=fleet_size)), 1)
        gateway.handle(0, build_list(range(ENDPOINTS_FOR_CUSTOMERS), ListKind.FULL))
        mb_before = resident_memory()
        first_request_cpu = cpu_of(lambda: play_requests(gateway, 2 * SECOND, range(size), spread)) / size
        customer_count = float(len(gateway.admission.customers))
        grown_mb = resident_memory() - mb_before
        repeated_request_cpu = (
            cpu_of(lambda: play_requests(gateway, 3 * SECOND, range(REQUEST_COUNT), spread)) / REQUEST_COUNT
        )
        sweep_cpu = cpu_of(lambda: gateway.handle(5 * SECOND, TimerFired(SWEEP_TIMER)))
        return {
            "held_n": customer_count,
            "grown_mb": grown_mb,
            "cpu_first_us": first_request_cpu * 1e6,
            "cpu_request_us": repeated_request_cpu * 1e6,
            "cpu_sweep_ms": sweep_cpu * 1e3,
        }

    def classes(self, size: int, backends: int, fleet_size: int) -> dict[str, float]:
        """Returns the cost of `size` request classes, with requests spread over all of them."""
        return self._tables(Shape(fleet_size=fleet_size, classes=size), backends)

    def plans(self, size: int, backends: int, fleet_size: int) -> dict[str, float]:
        """Returns the cost of `size` plans."""
        return self._tables(Shape(fleet_size=fleet_size, plans=size), backends)

    def _tables(self, shape: Shape, backends: int) -> dict[str, float]:
        """Returns the cost of decoding settings, of a list with `backends` entries and of requests."""
        text = json.dumps(shape.settings()).encode()
        mb_before = resident_memory()
        decoded: list[Settings] = []
        read_cpu = cpu_of(lambda: decoded.append(settings_from_json(text)))
        tables_mb = resident_memory() - mb_before
        gateway = Gateway(decoded[0], 1)
        snapshot = build_list(range(backends), ListKind.FULL)
        snapshot_cpu = cpu_of(lambda: gateway.handle(0, snapshot))
        count = min(REQUEST_COUNT, max(MIN_REQUEST_COUNT, MAX_REQUESTS_TIMES_CLASSES // shape.classes))
        requests_cpu = cpu_of(lambda: play_requests(gateway, 2 * SECOND, range(count), classes=shape.classes))
        return {
            "settings_b": float(len(text)),
            "cpu_read_ms": read_cpu * 1e3,
            "tables_mb": tables_mb,
            "cpu_list_ms": snapshot_cpu * 1e3,
            "grown_mb": resident_memory() - mb_before,
            "cpu_request_us": requests_cpu / count * 1e6,
        }


def _settings(shape: Shape) -> Settings:
    return settings_from_json(json.dumps(shape.settings()).encode())
