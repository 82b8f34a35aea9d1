"""The client listener: accepts connections, holds the state they share, and drains them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_ingress.net.acceptor import Acceptor, listening_socket
from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.connection import ClientConnection
from quota_ingress.net.downstream.eviction import MAX_QUEUE_WAIT_S, STALL_TIMEOUT_S, evict_one
from quota_ingress.net.downstream.input_queue import InputQueue
from quota_ingress.net.downstream.memory_monitor import MemoryMonitor
from quota_ingress.net.downstream.process_delay import ProcessDelayMonitor
from quota_ingress.net.downstream.request_parser import RequestParser
from quota_ingress.net.downstream.stages import ConnectionStages, StagedConnection
from quota_ingress.net.downstream.timeouts import REQUEST_TIMEOUT_STATUS, US_PER_S, enforce_timeouts
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.http import MemoryBudget

SWEEP_INTERVAL_S = 0.25
CAPACITY_CHECK_INTERVAL_S = 0.01  # while the backlog is accepted at shutdown
EVICTION_INTERVAL_S = 0.05  # at the hard limit, while no connection closes
MIN_MAX_IDLE = 4  # lower bound of `max_idle`
MAX_IDLE_FRACTION = 0.25  # of the client descriptors; clients have a limited number of connections, too


class Listener:
    """Accepts client connections and is their `ConnectionHost`.

    Attributes:
        stages: The open connections by stage.
        input_queue: The connections whose input waits to be parsed.
        hard_limit: Number of connections at which no more are accepted; further clients wait in the queue.
        max_idle: Number of idle connections above which the longest idle one is closed.
        stopping: The process is ending, or another process accepts connections.
        handed_over: Another process accepts connections.
        out_of_service: Operators have taken this ingress out of service and not put it back.
        draining_since: When (us) connections began to be closed after their responses; None if they are not.
    """

    def __init__(
        self,
        engine: Engine,
        descriptor_budget: DescriptorBudget,
        now: Callable[[], int],
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """Creates a listener that accepts nothing until `listen`. `now` is the process clock in us."""
        self.engine = engine
        self.memory_budget = memory_budget or MemoryBudget()
        self.descriptors = descriptor_budget.clients
        self.hard_limit = descriptor_budget.client_hard_limit
        self.max_idle = max(MIN_MAX_IDLE, int(self.descriptors.limit * MAX_IDLE_FRACTION))
        self.now = now
        self.request_parser = RequestParser(engine.settings, engine.settings_index)
        self.stages = ConnectionStages()
        self.input_queue = InputQueue()
        self.stopping = False
        self.handed_over = False
        self.out_of_service = False
        self.draining_since: int | None = None
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._eviction_timer: asyncio.TimerHandle | None = None
        self._acceptor: Acceptor | None = None
        self._delay_monitor = ProcessDelayMonitor(engine.event_log, int(SWEEP_INTERVAL_S * US_PER_S))
        self._memory_monitor = MemoryMonitor(self.memory_budget, engine.event_log)
        self.descriptors.evict = self._evict
        self.descriptors.on_freed = self.resume_accepting

    @property
    def connections(self) -> set[StagedConnection]:
        """All open connections."""
        return self.stages.open

    @property
    def is_responding(self) -> bool:
        """Whether any connection owes a response or is writing one."""
        return any(connection.is_responding for connection in self.connections)

    @property
    def is_accepting(self) -> bool:
        """Whether this process accepts connections, now or when capacity becomes available."""
        return self._acceptor is not None and not self.handed_over

    @property
    def in_service(self) -> bool:
        """Whether health checks are answered with 200.

        They are also answered with 200 while another process accepts connections. A 503 on a connection
        that remains in this process would take the whole ingress out of service.
        """
        return not self.out_of_service and (not self.stopping or self.handed_over)

    async def listen(self, host: str, port: int, inherited: int | None = None) -> int:
        """Starts accepting connections. Returns the port.

        `inherited` is the descriptor of a listening socket that other processes hold, too. It is duplicated,
        so closing it here does not affect them.
        """
        listening = await listening_socket(host, port, inherited)
        self._acceptor = Acceptor(
            listening, self._new_connection, self._has_capacity, queued_before=inherited is not None
        )
        self._acceptor.start()
        self._sweep()
        bound_port: int = listening.getsockname()[1]
        return bound_port

    def pause_accepting(self) -> None:
        """Leaves new connections in the accept queue."""
        self._cancel_eviction()
        if self._acceptor:
            self._acceptor.pause()

    def resume_accepting(self) -> None:
        """Accepts connections again, unless another process does or there is no capacity."""
        if self._acceptor and not self.handed_over and self._has_capacity(0):
            self._acceptor.start()

    def stop_listening(self) -> None:
        """Closes the listening socket. Open connections remain, as a request may be on its way on them."""
        self._cancel_eviction()
        if self._acceptor:
            self._acceptor.close()
            self._acceptor = None

    def hand_over(self) -> None:
        """Stops accepting, as another process accepts from the same queue. Open connections are drained."""
        self.handed_over = True
        self.stopping = True
        self._update_draining()
        self.pause_accepting()

    def resume_serving(self) -> None:
        """Undoes `hand_over` after the process that took over has ended."""
        self.handed_over = False
        self.stopping = False
        self._update_draining()
        self.resume_accepting()

    def set_out_of_service(self, out_of_service: bool) -> None:
        """Takes the ingress out of service or puts it back. Unlike at shutdown, it continues to accept."""
        self.out_of_service = out_of_service
        self._update_draining()

    def begin_shutdown(self) -> None:
        """Begins to drain: closes idle connections now, and the others after their current responses."""
        self.stopping = True
        self._update_draining()
        for connection in list(self.stages.idle):
            connection.close_if_idle()

    async def accept_backlog(self, deadline: float) -> None:
        """Accepts the connections in the accept queue, as closing the socket would reset them.

        Without capacity, waits for it until `deadline` (s of the loop's clock) at the latest.
        """
        if self._acceptor:
            await self._acceptor.drain_queue(deadline, CAPACITY_CHECK_INTERVAL_S)

    def close_remaining(self) -> None:
        """Closes connections without an open request; those with an incomplete head get a 408."""
        for connection in list(self.connections):
            if connection.is_busy and connection.is_stalled(self.now()):
                connection.reject_unreadable(REQUEST_TIMEOUT_STATUS)
            else:
                connection.close_if_idle()

    def stop(self) -> None:
        """Closes the listening socket and all connections at once."""
        self.stop_listening()
        if self._sweep_timer:
            self._sweep_timer.cancel()
        for connection in list(self.connections):
            connection.abort(CloseReason.PROCESS_END)

    def _update_draining(self) -> None:
        if not (self.stopping or self.out_of_service):
            self.draining_since = None
        elif self.draining_since is None:
            self.draining_since = self.now()

    def _new_connection(self, queued_since: float | None) -> ClientConnection:
        """Creates the protocol of a connection.

        `queued_since` (s of the loop's clock) is the earliest time at which the connection may have entered
        the accept queue. None: it has not waited there.
        """
        if queued_since is None:
            return ClientConnection(self)
        queued_s = asyncio.get_running_loop().time() - queued_since
        return ClientConnection(self, self.now() - int(queued_s * US_PER_S))

    def _has_capacity(self, pending: int) -> bool:
        """Returns whether one more connection may be accepted; if not, makes room for one that waits."""
        if self.descriptors.in_use + pending < self.hard_limit:
            return True
        if self._acceptor and self._acceptor.has_waiting():
            self._evict()
        if self._eviction_timer is None:
            loop = asyncio.get_running_loop()
            self._eviction_timer = loop.call_later(EVICTION_INTERVAL_S, self._retry_accepting)
        return False

    def _cancel_eviction(self) -> None:
        if self._eviction_timer:
            self._eviction_timer.cancel()
            self._eviction_timer = None

    def _retry_accepting(self) -> None:
        self._eviction_timer = None
        self.resume_accepting()

    def _evict(self) -> bool:
        """Evicts a connection, one with a head that has just stalled only if clients wait for long."""
        queued_since = self._acceptor.queued_since if self._acceptor else None
        waited_s = 0.0 if queued_since is None else asyncio.get_running_loop().time() - queued_since
        stall_timeout_s = 0.0 if waited_s > MAX_QUEUE_WAIT_S else STALL_TIMEOUT_S
        return evict_one(self.stages, self.now(), stall_timeout_s)

    def _sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.now()
        self._delay_monitor.record_call(now)
        self._memory_monitor.record()
        enforce_timeouts(self.stages, now, self.draining_since is not None)
