"""The clients' listener: accepts connections, holds what they share, and drains them at the end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_ingress.net.acceptor import Acceptor, listening_socket
from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.downstream.close_reason import CloseReason
from quota_ingress.net.downstream.connection import ClientConnection
from quota_ingress.net.downstream.eviction import evict_one
from quota_ingress.net.downstream.process_delay import ProcessDelayMonitor
from quota_ingress.net.downstream.request_parser import RequestParser
from quota_ingress.net.downstream.stages import ConnectionStages, StagedConnection
from quota_ingress.net.downstream.timeouts import REQUEST_TIMEOUT_STATUS, US_PER_S, enforce_timeouts
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.http import MemoryBudget

SWEEP_INTERVAL_S = 0.25
CAPACITY_CHECK_INTERVAL_S = 0.01  # between looks for capacity while the backlog is accepted at the end
MIN_MAX_IDLE = 4
MAX_IDLE_FRACTION = 0.25  # of the clients' descriptors: clients, too, have only so many connections


class Listener:
    """Accepts clients' connections, and is the host of all of them.

    Attributes:
        stages: The open connections by what they wait for.
        hard_limit: Connections above which clients wait in the accept queue, unread.
        max_idle: Idle connections above which the longest idle is closed.
        stopping: The process ends, or another one accepts.
        handed_over: Another process accepts.
        out_of_service: Operators have taken this ingress out of service, until they put it back.
    """

    def __init__(
        self,
        engine: Engine,
        descriptor_budget: DescriptorBudget,
        now: Callable[[], int],
        memory_budget: MemoryBudget | None = None,
    ) -> None:
        """Accepts nothing until `listen`. `now` is the process's clock in us."""
        self.engine = engine
        self.memory_budget = memory_budget or MemoryBudget()
        self.descriptors = descriptor_budget.clients
        self.hard_limit = descriptor_budget.client_hard_limit
        self.max_idle = max(MIN_MAX_IDLE, int(self.descriptors.limit * MAX_IDLE_FRACTION))
        self.now = now
        self.request_parser = RequestParser(engine.settings, engine.index)
        self.stages = ConnectionStages()
        self.stopping = False
        self.handed_over = False
        self.out_of_service = False
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._acceptor: Acceptor | None = None
        self._delay_monitor = ProcessDelayMonitor(engine.event_log, int(SWEEP_INTERVAL_S * US_PER_S))
        self.descriptors.evict = self._evict
        self.descriptors.on_freed = self.resume_accepting

    @property
    def connections(self) -> set[StagedConnection]:
        """All open connections."""
        return self.stages.open

    @property
    def is_accepting(self) -> bool:
        """Whether this process accepts connections, now or as soon as there is capacity."""
        return self._acceptor is not None and not self.handed_over

    @property
    def is_draining(self) -> bool:
        """Whether connections end with their responses."""
        return self.stopping or self.out_of_service

    @property
    def in_service(self) -> bool:
        """Whether health checks are answered with 200.

        They are while another process accepts: a 503 on a connection that is left here would take the whole
        ingress out of service.
        """
        return not self.out_of_service and (not self.stopping or self.handed_over)

    async def listen(self, host: str, port: int, inherited: int | None = None) -> int:
        """Accepts connections from now on. Returns the port.

        `inherited`: the descriptor of a socket that listens already and that others hold, too. It is copied,
        so closing the copy ends nothing for them.
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
        """Leaves what connects from now on in the accept queue."""
        if self._acceptor:
            self._acceptor.pause()

    def resume_accepting(self) -> None:
        """Accepts again, if this process is the one that does and there is capacity."""
        if self._acceptor and not self.handed_over and self._has_capacity(0):
            self._acceptor.start()

    def stop_listening(self) -> None:
        """Accepts nothing more. Open connections are left to end, or to ask: a request may be on its way."""
        if self._acceptor:
            self._acceptor.close()
            self._acceptor = None

    def hand_over(self) -> None:
        """Another process accepts from now on, from the same queue; what was accepted here ends here."""
        self.handed_over = True
        self.stopping = True
        self.pause_accepting()

    def resume_serving(self) -> None:
        """Accepts again: the process that took over is gone."""
        self.handed_over = False
        self.stopping = False
        self.resume_accepting()

    def set_out_of_service(self, out: bool) -> None:
        """Takes the ingress out of service, or puts it back. It goes on accepting, unlike at a shutdown."""
        self.out_of_service = out

    def begin_shutdown(self) -> None:
        """Begins to drain: idle connections are closed now, the others after their response."""
        self.stopping = True
        for connection in list(self.stages.idle):
            connection.close_if_idle()

    async def accept_backlog(self, until: float) -> None:
        """Accepts all that wait in the queue, as closing it would reset them, requests and all.

        Where there is no capacity, they wait for it, until that moment of the loop's clock at the longest.
        """
        if self._acceptor:
            await self._acceptor.drain_queue(until, CAPACITY_CHECK_INTERVAL_S)

    def close_remaining(self) -> None:
        """Ends what has no request open: the silent are closed, those in the middle of a head get a 408."""
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

    def _new_connection(self, queued_since: float | None) -> ClientConnection:
        """Makes the protocol of a connection. `queued_since`: s of the loop's clock, or None."""
        if queued_since is None:
            return ClientConnection(self)
        queued_s = asyncio.get_running_loop().time() - queued_since
        return ClientConnection(self, self.now() - int(queued_s * US_PER_S))

    def _has_capacity(self, opening: int) -> bool:
        return self.descriptors.in_use + opening < self.hard_limit

    def _evict(self) -> bool:
        return evict_one(self.stages, self.now())

    def _sweep(self) -> None:
        self._sweep_timer = asyncio.get_running_loop().call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self.now()
        self._delay_monitor.note_call(now)
        enforce_timeouts(self.stages, now, self.is_draining)
