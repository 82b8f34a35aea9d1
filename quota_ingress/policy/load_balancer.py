"""Load balancing: chooses an endpoint for an attempt, and learns from the attempt's outcome.

From a random sample of the candidates, the endpoint with the lowest cost is chosen. The cost is the expected
latency for the work in flight there, plus a random component that spreads the choices of gateways with the
same information.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from quota_ingress.policy.concurrency_limit import limit_step
from quota_ingress.policy.durations import SECOND
from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.endpoint_set import CandidateSet, EndpointSet
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.settings import Settings

SAMPLE_SIZE = 16  # endpoints considered per attempt; covers all endpoints of a short list
LOAD_REPORT_LIFETIME = SECOND  # us; older load reports are ignored
LOAD_FIELDS = ("queue", "inflight", "util")  # fields of a load report that grow with an endpoint's load
MAX_REPORTED_LOAD = 1e6
MIN_WEIGHT = 1e-3  # lower weights of endpoints count as this
OTHER_ZONE_COST = 1.1  # cost factor for endpoints in another zone, if cross-zone traffic has a price
BUSY_LIMIT_FRACTION = 0.7  # of an endpoint's limit; if this is in use, fast answers raise the limit
BUSY_UTILIZATION = 0.5  # of the pooled limit; if more is in use, fast answers raise `pooled_headroom`


class LoadBalancer:
    """Chooses endpoints for the attempts of one gateway and adjusts their concurrency limits."""

    def __init__(self, settings: Settings, endpoints: EndpointSet, rng: random.Random) -> None:
        self._endpoints = endpoints
        self._slowdowns = endpoints.slowdowns
        self._slow_start = endpoints.slow_start
        self._limits = endpoints.limits
        self._latency_objectives = [class_settings.latency_objective for class_settings in settings.classes]
        self._is_load = [name in LOAD_FIELDS for name in settings.load_fields]
        self._zone = settings.zone
        self._other_zone_cost = OTHER_ZONE_COST if settings.cross_zone_price > 0 else 1.0
        self._rng = rng

    def choose(self, now: int, request_class: int, may_send: Callable[[Endpoint], bool]) -> Endpoint | None:
        """Returns the endpoint for an attempt that begins now, or None if none has capacity.

        `may_send` returns whether the request may be sent to an endpoint.
        """
        endpoints = self._endpoints
        if endpoints.utilization() >= 1:
            self._slow_start.record_unsent_request(len(endpoints.preferred))
            return None
        chosen = self._choose_among(endpoints.preferred, now, request_class, may_send)
        self._slow_start.unsent_requests = 0.0
        if chosen is None and len(endpoints.preferred) < len(endpoints.ready):
            chosen = self._choose_among(endpoints.ready, now, request_class, may_send)
        return chosen

    def add_load(self, endpoint: Endpoint) -> None:
        """Counts an attempt that its endpoint works on."""
        endpoint.in_flight += 1
        self._endpoints.in_flight += 1

    def remove_load(self, endpoint: Endpoint) -> None:
        """Stops counting an attempt that `add_load` has counted."""
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        self._endpoints.in_flight -= 1

    def on_attempt_ended(
        self, endpoint: Endpoint, now: int, request_class: int, outcome: Outcome, latency: int
    ) -> None:
        """Updates slowdowns and limits after an attempt, which is no load any more; latency in us."""
        self._slowdowns.record(endpoint, now, request_class, outcome, latency)
        step = limit_step(outcome, latency, self._latency_objectives[request_class])
        if step < 0 or (outcome is Outcome.OK and self._was_busy(endpoint, now)):
            self._limits.adjust(endpoint, step)
            if step < 0 or self._endpoints.utilization() > BUSY_UTILIZATION:
                self._limits.adjust_headroom(step)

    def on_load_report(self, endpoint: Endpoint, now: int, load: Sequence[float]) -> None:
        """Stores an endpoint's load report, whose values are in the order of Settings.load_fields."""
        for is_load, value in zip(self._is_load, load, strict=False):
            if is_load:
                endpoint.reported_load = value if 0 <= value < MAX_REPORTED_LOAD else 0.0
                endpoint.reported_at = now

    def _was_busy(self, endpoint: Endpoint, now: int) -> bool:
        """Returns whether the endpoint was near its limit, counting the attempt that has just ended."""
        limit = endpoint.concurrency_limit
        fraction = self._slow_start.warmup_fraction(endpoint, now)
        return endpoint.in_flight + 1 >= BUSY_LIMIT_FRACTION * limit * fraction

    def _choose_among(
        self,
        candidates: CandidateSet,
        now: int,
        request_class: int,
        may_send: Callable[[Endpoint], bool],
    ) -> Endpoint | None:
        sample = self._rng.sample(candidates.members, min(SAMPLE_SIZE, len(candidates)))
        warmup_fraction = self._slow_start.warmup_fraction
        warm = [endpoint for endpoint in sample if warmup_fraction(endpoint, now) >= 1]
        if len(warm) < len(sample):
            warming = self._slow_start.next_warming_endpoint(sample, warm, now, request_class)
            if warming and may_send(warming):
                return warming
        fresh_loads = [e.reported_load for e in sample if now - e.reported_at < LOAD_REPORT_LIFETIME]
        mean_load = sum(fresh_loads) / max(1, len(fresh_loads)) or 1.0
        best: Endpoint | None = None
        lowest_cost = math.inf
        for endpoint in warm:
            if endpoint.in_flight >= max(1.0, endpoint.concurrency_limit) or not may_send(endpoint):
                continue
            cost = self._cost(endpoint, now, request_class, mean_load)
            if cost < lowest_cost:
                best = endpoint
                lowest_cost = cost
        return best

    def _cost(self, endpoint: Endpoint, now: int, request_class: int, mean_load: float) -> float:
        """Returns the expected latency of one more attempt, in baseline latencies, plus a random component.

        Idle endpoints are chosen in proportion to their weight.
        """
        is_fresh = now - endpoint.reported_at < LOAD_REPORT_LIFETIME
        reported = endpoint.reported_load if is_fresh else mean_load
        load = endpoint.in_flight + self._rng.expovariate(1.0) + reported / mean_load
        slowdown = self._slowdowns.slowdown(endpoint, request_class, now)
        cost = max(0.0, load - 1) * slowdown / max(endpoint.entry.weight, MIN_WEIGHT) + slowdown
        return cost if endpoint.entry.zone == self._zone else cost * self._other_zone_cost
