"""Connection pool of one backend."""

from __future__ import annotations

import asyncio
import logging
import socket
from dataclasses import dataclass

from quota_ingress.net.descriptors import DescriptorShare
from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import MemoryBudget, limit_socket_buffers
from quota_ingress.net.upstream.close_reason import UpstreamCloseReason
from quota_ingress.net.upstream.connection import UpstreamConnection
from quota_ingress.net.upstream.exchange import Exchange
from quota_ingress.policy.endpoint_list import EndpointState

# After a response, before its connection is reused. A duplicate of the response that arrives meanwhile is
# detected at reuse; a later one would be taken for the response to the next request.
REUSE_DELAY_S = 0.02
REUSE_FAILURE_WEIGHT = 0.02  # weight of the last reuse in the moving average

log = logging.getLogger(__name__)


class ReuseFailureRate:
    """Moving average of how often reused connections end before any byte of the next response."""

    def __init__(self) -> None:
        self.value = 0.0  # moving average, 0 to 1

    def record(self, failed: bool) -> None:
        """Adds one request on a reused connection to the average."""
        self.value += REUSE_FAILURE_WEIGHT * (float(failed) - self.value)


@dataclass(frozen=True, slots=True)
class PoolOptions:
    """Limits and objects shared by the pools of all backends."""

    descriptors: DescriptorShare
    budget: MemoryBudget
    reuse_failures: ReuseFailureRate
    event_log: EventLog
    max_idle_connections: int  # per backend
    idle_timeout_s: float
    connect_timeout_s: float


class ConnectionPool:
    """The connections to one backend: idle, busy, and being opened.

    Each connection holds a descriptor from the start of the connect until it is closed.
    """

    __slots__ = (
        "_loop",
        "_options",
        "accepts_requests",
        "address",
        "budget",
        "busy",
        "connecting",
        "event_log",
        "idle",
        "name",
        "now",
        "started_us",
    )

    def __init__(self, entry: EndpointEntry, options: PoolOptions) -> None:
        self._options = options
        self._loop = asyncio.get_running_loop()
        self.name = entry.name
        self.address = entry.address
        self.started_us = entry.started_us
        self.accepts_requests = entry.state is EndpointState.READY
        self.budget = options.budget
        self.event_log = options.event_log
        self.now = self._loop.time  # s
        self.idle: list[UpstreamConnection] = []  # the most recently used last
        self.busy: set[UpstreamConnection] = set()
        self.connecting: set[Exchange] = set()  # waiting for a new connection

    def send(self, exchange: Exchange, new_connection: bool) -> None:
        """Sends on an idle connection, or on a new one if there is none or `new_connection` is set.

        The attempt fails if no descriptor is available for a new connection.
        """
        descriptors = self._options.descriptors
        if not new_connection and (connection := self._take_idle()):
            connection.send(exchange)
        elif descriptors.ensure_capacity():
            descriptors.acquire()
            self.connecting.add(exchange)
            exchange.dial = self._loop.create_task(self._connect(exchange))
            exchange.dial.add_done_callback(lambda task: self._clean_up_cancelled_dial(exchange))
        else:
            self.event_log.event("connect", "no descriptor", backend=self.name)
            exchange.fail()

    def park_idle(self, connection: UpstreamConnection) -> None:
        """Keeps a connection for reuse.

        Closes it instead if the backend accepts no requests or has changed its address.
        """
        self.busy.discard(connection)
        if not (self.accepts_requests and connection.address == self.address):
            connection.close(UpstreamCloseReason.WITHDRAWN)
            return
        connection.idle_since = self._loop.time()
        self.idle.append(connection)
        if len(self.idle) > self._options.max_idle_connections:
            self.idle[0].close(UpstreamCloseReason.EVICTED)

    def remove(self, connection: UpstreamConnection) -> None:
        """Removes a closed connection and releases its descriptor."""
        self._options.descriptors.release()
        self.busy.discard(connection)
        if connection in self.idle:
            self.idle.remove(connection)

    def record_reuse(self, failed: bool) -> None:
        """Records whether a reused connection ended before any byte of a response."""
        self._options.reuse_failures.record(failed)

    def close_idle(self, reason: UpstreamCloseReason) -> None:
        """Closes all idle connections, for `reason`."""
        for connection in self.idle[:]:
            connection.close(reason)

    def evict_idle(self) -> bool:
        """Closes the longest idle connection. Returns whether there was one."""
        if not self.idle:
            return False
        self.idle[0].close(UpstreamCloseReason.EVICTED)
        return True

    def withdraw(self) -> None:
        """Closes idle connections, and fails the attempts whose connections are still being opened.

        Nothing of these attempts has been written.
        """
        self.close_idle(UpstreamCloseReason.WITHDRAWN)
        for exchange in list(self.connecting):
            if exchange.dial:
                exchange.dial.cancel()
            exchange.fail()

    def close_expired(self) -> None:
        """Closes the connections that have exceeded the idle timeout."""
        cutoff = self._idle_cutoff()
        while self.idle and self.idle[0].idle_since <= cutoff:
            self.idle[0].close(UpstreamCloseReason.IDLE)

    def fail_stalled(self, request_since: float, response_since: float) -> None:
        """Fails the attempts without progress on a request or response body after these times.

        The times are s of the loop's clock.
        """
        for connection in [c for c in self.busy if c.is_stalled(request_since, response_since)]:
            log.warning("backend %s: transfer of a request or response body stalled", self.name)
            connection.fail_exchange(UpstreamCloseReason.STALLED)

    def close_busy(self, reason: UpstreamCloseReason) -> None:
        """Closes the connections that carry an attempt."""
        for connection in list(self.busy):
            connection.close(reason)

    def _idle_cutoff(self) -> float:
        return self._loop.time() - self._options.idle_timeout_s

    def _take_idle(self) -> UpstreamConnection | None:
        """Takes the most recently used idle connection that can be reused.

        Skips connections within the reuse delay. Closes expired and dead ones that it comes across.
        """
        cutoff = self._idle_cutoff()
        latest_reusable = self.now() - REUSE_DELAY_S
        for connection in reversed(self.idle[:]):
            if connection.idle_since > latest_reusable:
                continue
            self.idle.remove(connection)
            expired = connection.idle_since <= cutoff
            if not expired and connection.is_alive():
                connection.reused = True
                self.busy.add(connection)
                return connection
            connection.close(UpstreamCloseReason.IDLE if expired else UpstreamCloseReason.NOT_ALIVE)
        return None

    async def _connect(self, exchange: Exchange) -> None:
        sock: socket.socket | None = None
        connection: UpstreamConnection | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            limit_socket_buffers(sock)
            async with asyncio.timeout(self._options.connect_timeout_s):
                await self._loop.sock_connect(sock, self.address)
                connection = UpstreamConnection(self, sock)
                await self._loop.create_connection(lambda: connection, sock=sock)
        except (OSError, ValueError) as error:  # refused, timed out, out of descriptors
            self.event_log.event("connect", type(error).__name__, backend=self.name)
            exchange.fail()
        finally:
            self._finish_dial(exchange, sock, connection)

    def _finish_dial(
        self, exchange: Exchange, sock: socket.socket | None, connection: UpstreamConnection | None
    ) -> None:
        self.connecting.discard(exchange)
        exchange.dial = None
        if connection is None or not hasattr(connection, "transport"):  # not established
            self._options.descriptors.release()
            if sock:
                sock.close()
        elif exchange.ended:  # aborted or failed while its connection was being opened
            connection.close(UpstreamCloseReason.NOT_AUTHORIZED)
        else:
            self.busy.add(connection)
            connection.send(exchange)

    def _clean_up_cancelled_dial(self, exchange: Exchange) -> None:
        """Cleans up after a dial task cancelled before its first step, whose `finally` never ran."""
        if exchange in self.connecting:
            self.connecting.discard(exchange)
            exchange.dial = None
            self._options.descriptors.release()
