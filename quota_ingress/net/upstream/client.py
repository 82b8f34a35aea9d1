"""Client for all backends: sends attempts and health checks over one connection pool per backend."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from quota_ingress.net.descriptors import DescriptorShare
from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import Body, MemoryBudget
from quota_ingress.net.upstream.close_reason import UpstreamCloseReason
from quota_ingress.net.upstream.exchange import Authorize, Exchange, ResultCallback, always_authorized
from quota_ingress.net.upstream.pool import ConnectionPool, PoolOptions, ReuseFailureRate
from quota_ingress.policy.endpoint_list import EndpointState
from quota_ingress.policy.events import Outcome

IDLE_TIMEOUT_FRACTION = 0.75  # of the backend's idle timeout, so that this side closes first
SWEEP_INTERVAL_S = 1.0
STALL_TIMEOUT_S = 5.0  # without a byte of a request body accepted, or of a response of a removed backend
RESPONSE_STALL_TIMEOUT_S = (
    20.0  # without a byte of a streamed response of a listed backend, which may be slow
)
HEALTH_CHECK_TIMEOUT_S = 0.25
HEALTH_CHECK = b"GET /metrics/load HTTP/1.1\r\nHost: app.svc\r\n\r\n"
MAX_REUSE_FAILURE_RATE = 0.01  # above this, non-idempotent requests get new connections
MAX_IDLE_PER_BACKEND = 8
MAX_FLEET_IDLE_PER_BACKEND = 32  # for all gateways together; open connections cost the backend capacity
US_PER_S = 1e6


class UpstreamClient:
    """Sends attempts and health checks to backends, identified by the engine's backend numbers."""

    def __init__(
        self,
        descriptors: DescriptorShare,
        idle_timeout_us: int,
        connect_timeout_us: int,
        budget: MemoryBudget | None = None,
        fleet_size: int = 1,
        event_log: EventLog | None = None,
    ) -> None:
        """Starts the periodic sweep of idle and stalled connections, which runs until `stop`.

        `idle_timeout_us` is the idle timeout of the backends. `fleet_size` is the number of gateways that
        share the backends.
        """
        self._event_log = event_log or EventLog()
        self._descriptors = descriptors
        self._reuse_failures = ReuseFailureRate()
        self._options = PoolOptions(
            descriptors=descriptors,
            budget=budget or MemoryBudget(),
            reuse_failures=self._reuse_failures,
            event_log=self._event_log,
            max_idle_connections=_max_idle_connections(fleet_size),
            idle_timeout_s=idle_timeout_us / US_PER_S * IDLE_TIMEOUT_FRACTION,
            connect_timeout_s=connect_timeout_us / US_PER_S,
        )
        self._pools: dict[int, ConnectionPool] = {}
        self._dropped_pools: list[ConnectionPool] = []  # of removed backends, until their attempts have ended
        self._to_withdraw: set[int] = set()  # backends that changed address, restarted or accept no requests
        self._loop = asyncio.get_running_loop()
        self._sweep_timer: asyncio.TimerHandle | None = None
        descriptors.evict = self._evict_idle
        self._sweep()

    def stop(self) -> None:
        """Stops the sweep and closes all connections."""
        if self._sweep_timer:
            self._sweep_timer.cancel()
        for pool in self._all_pools():
            pool.withdraw()
            pool.close_busy(UpstreamCloseReason.PROCESS_END)

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Applies an entry of the endpoint list. `reconcile` then closes connections that became invalid."""
        pool = self._pools.get(backend)
        if pool is None:
            if entry.state is not EndpointState.REMOVED:
                self._pools[backend] = ConnectionPool(entry, self._options)
            return
        pool.accepts_requests = entry.state is EndpointState.READY
        replaced = False
        if entry.state is not EndpointState.REMOVED:
            replaced = pool.address != entry.address or pool.started_us != entry.started_us
            pool.address = entry.address
            pool.started_us = entry.started_us
        if replaced or not pool.accepts_requests:
            self._to_withdraw.add(backend)

    def reconcile(self, removed: Iterable[int]) -> None:
        """Closes the connections that registered entries made invalid; drops the pools of `removed`.

        Attempts that a removed backend is at work on continue, and are swept until they end.
        """
        for backend in removed:
            if pool := self._pools.pop(backend, None):
                pool.accepts_requests = False
                pool.withdraw()
                if pool.busy:
                    self._dropped_pools.append(pool)
        to_withdraw = self._to_withdraw
        self._to_withdraw = set()
        for backend in to_withdraw & self._pools.keys():
            self._pools[backend].withdraw()

    def send(
        self,
        backend: int,
        head: bytes,
        on_ended: ResultCallback,
        non_idempotent: bool = False,
        body: Body | None = None,
        on_stream_started: ResultCallback | None = None,
        authorize: Authorize = always_authorized,
    ) -> Exchange:
        """Begins an attempt. The other arguments are described at `Exchange`.

        A `non_idempotent` request cannot be retried after a connection reset, so it gets a new connection
        if reused connections have often ended before a response, and a descriptor is available.
        """
        exchange = Exchange(head, on_ended, body, on_stream_started, authorize)
        pool = self._pools.get(backend)
        if pool is None or not pool.accepts_requests:
            self._event_log.event("connect", "not listed as up", backend=backend)
            exchange.fail()
            return exchange
        reuse_is_risky = non_idempotent and self._reuse_failures.value > MAX_REUSE_FAILURE_RATE
        pool.send(exchange, new_connection=reuse_is_risky and self._descriptors.ensure_capacity())
        return exchange

    def probe(self, backend: int, on_ended: ResultCallback) -> None:
        """Sends a health check, which times out after HEALTH_CHECK_TIMEOUT_S."""
        exchange = self.send(backend, HEALTH_CHECK, on_ended)

        def time_out() -> None:
            if not exchange.ended:
                exchange.abort()
                on_ended(AttemptResult(Outcome.TIMEOUT))

        self._loop.call_later(HEALTH_CHECK_TIMEOUT_S, time_out)

    def close_idle_connections(self, backend: int) -> None:
        """Closes the idle connections to a backend, if it is known."""
        if pool := self._pools.get(backend):
            pool.close_idle(UpstreamCloseReason.IDLE)

    def _evict_idle(self) -> bool:
        return any(pool.evict_idle() for pool in self._pools.values())

    def _all_pools(self) -> list[ConnectionPool]:
        return [*self._pools.values(), *self._dropped_pools]

    def _sweep(self) -> None:
        now = self._loop.time()
        for pool in self._pools.values():
            pool.close_expired()
            pool.fail_stalled(now - STALL_TIMEOUT_S, now - RESPONSE_STALL_TIMEOUT_S)
        for pool in self._dropped_pools:
            pool.fail_stalled(now - STALL_TIMEOUT_S, now - STALL_TIMEOUT_S)
        self._dropped_pools = [pool for pool in self._dropped_pools if pool.busy]
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)


def _max_idle_connections(fleet_size: int) -> int:
    """Returns the maximum number of idle connections to one backend."""
    return min(MAX_IDLE_PER_BACKEND, max(1, MAX_FLEET_IDLE_PER_BACKEND // fleet_size))
