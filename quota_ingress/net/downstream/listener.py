"""The clients' listener: what all client connections share, who makes room, and how a process ends them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from quota_ingress.net.acceptor import Acceptor, listening_socket
from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.downstream.connection import HALF_SENT, ClientConnection, CloseReason
from quota_ingress.net.downstream.request_parser import RequestParser
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.send_rules import WRITE_DELAY
from quota_ingress.net.http import MemoryBudget

LINGERS = 1.0  # s that a client may go on sending after an early answer, so that it comes to read that
QUIET = 0.25  # s of silence after which an idle connection is closed in a drain: it has surely been answered
KEPT = 2.0  # s that a connection may stand idle between requests: clients have only so many at once
UNREAD = 4.0  # s without a byte read by the client, while an answer waits for it
SWEEP = 0.25  # s between looks for such connections
STALLED = 0.7  # s without a byte more of a head, after which it may make room: the slow send on, in pieces
YOUNG = 250_000  # us from connecting in which the first request of an honest client is on its way
FEW_SILENT = 4  # connections that have said nothing yet: as many may well be honest ones
TURN = 0.01  # s between looks for room, at the end


class Listener:
    """What all client connections share."""

    def __init__(
        self,
        engine: Engine,
        sockets: DescriptorBudget,
        now: Callable[[], int],
        room: MemoryBudget | None = None,
    ) -> None:
        self.memory_budget = room or MemoryBudget()
        self.engine, self.descriptors, self.hard_limit, self.now = (
            engine,
            sockets.clients,
            sockets.client_hard_limit,
            now,
        )
        self.requests = RequestParser(engine.settings, engine.index)
        self.stopping = False  # for good, at SIGTERM
        self.handed_over = False  # another process accepts
        self.out_of_service = False  # for as long as operators want
        self.max_idle = max(4, self.descriptors.limit // 4)  # clients, too, have only so many connections
        # Each with the moment since when, the longest first. A connection is in one of the first three when
        # no request of it is open: none has come whole yet, the next has begun, none is on the way.
        self.awaiting_first_request: dict[ClientConnection, int] = {}
        self.receiving_head: dict[ClientConnection, int] = {}
        self.idle: dict[ClientConnection, int] = {}
        self.write_blocked: dict[ClientConnection, int] = {}  # the client does not read what it is sent
        self.receiving_body: set[ClientConnection] = (
            set()
        )  # a request's head has come, and its body is coming
        self.lingering: dict[ClientConnection, int] = {}  # answered, and then what still comes is thrown away
        self.connections: set[ClientConnection] = set()
        self._sweep: asyncio.TimerHandle | None = None
        self._acceptor: Acceptor | None = None
        self._ticked: tuple[int, float] | None = (
            None  # the last sweep: when (us), and the CPU used so far (s)
        )
        self.descriptors.evict = self._evict
        self.descriptors.on_freed = self.resume_accepting

    async def listen(self, host: str, port: int, inherited: int | None = None) -> int:
        """`inherited`: the descriptor of a socket that listens already and that others hold, too. This is a
        copy of it: closing it ends nothing for them.
        """
        listening = await listening_socket(host, port, inherited)
        self._acceptor = Acceptor(listening, self._connected, self._has_place, inherited is not None)
        self._acceptor.start()
        self._tick()
        bound: int = listening.getsockname()[1]
        return bound

    def _connected(self, waited_since: float | None) -> ClientConnection:
        if waited_since is None:
            return ClientConnection(self)
        waited = asyncio.get_running_loop().time() - waited_since
        return ClientConnection(self, self.now() - int(waited * 1e6))

    def _has_place(self, opening: int) -> bool:
        """Past the top not even refusals can be afforded: clients wait in the queue until others leave."""
        return self.descriptors.in_use + opening < self.hard_limit

    def pause_accepting(self) -> None:
        """What connects from now on waits in the queue."""
        if self._acceptor:
            self._acceptor.pause()

    def resume_accepting(self) -> None:
        """Takes connections again, if this process is the one that does and there is room."""
        if self._acceptor and not self.handed_over and self._has_place(0):
            self._acceptor.start()

    @property
    def is_accepting(self) -> bool:
        """This process takes connections, now or as soon as there is room."""
        return self._acceptor is not None and not self.handed_over

    def hand_over(self) -> None:
        """Another process accepts from now on, from the same line; what has been accepted here is finished
        here, and a connection that has not asked yet is given its time to.
        """
        self.handed_over = self.stopping = True
        self.pause_accepting()

    def resume_serving(self) -> None:
        """The process that accepted is gone: this one accepts again."""
        self.handed_over = self.stopping = False
        self.resume_accepting()

    @property
    def is_draining(self) -> bool:
        """Connections end with their answers."""
        return self.stopping or self.out_of_service

    @property
    def in_service(self) -> bool:
        """Whether clients may come. Once another process accepts, they may, if not to this one: a no on a
        connection that is left here would take the whole ingress out of service.
        """
        return not self.out_of_service and (not self.stopping or self.handed_over)

    def set_out_of_service(self, on: bool) -> None:
        """Out of service, and back: unlike a stop, it takes in what still comes, and it can be undone."""
        self.out_of_service = on

    def begin_shutdown(self) -> None:
        """New connections still come in; each is closed after its answer, and those that are idle now."""
        self.stopping = True
        for connection in list(self.idle):
            connection.close_if_idle()

    async def accept_backlog(self, until: float) -> None:
        """Takes in those who wait in line: they are connected, and closing would reset them, requests and
        all. Where there is no room, they wait for it, until then at the longest.
        """
        if self._acceptor:
            await self._acceptor.drain_queue(until, TURN)

    def close_remaining(self) -> None:
        """The process is about to end: of those with no request open, the silent are closed, and those in the
        middle of a head are told so.
        """
        for connection in list(self.connections):
            if connection.is_busy and connection.is_stalled(self.now()):
                connection.reject_unreadable(408)
            else:
                connection.close_if_idle()

    def stop_listening(self) -> None:
        """Connections with a request under way are left to end, and those that have not asked yet are given
        their time to: a head may take seconds, and its first byte may still be on its way.
        """
        if self._acceptor:
            self._acceptor.close()
            self._acceptor = None

    def stop(self) -> None:
        """Ends all connections."""
        self.stop_listening()
        if self._sweep:
            self._sweep.cancel()
        for connection in list(self.connections):
            connection.abort(CloseReason.PROCESS_END)

    def _tick(self) -> None:
        """A client that never finishes sending, or asks no more, would hold its descriptor for good."""
        self._sweep = asyncio.get_running_loop().call_later(SWEEP, self._tick)
        now = self.now()
        self._note_delay(now)
        for connection in _older(self.awaiting_first_request, now - int(HALF_SENT * 1e6)):
            connection.reject_unreadable(408)
        for connection in _older(self.receiving_head, now - int(HALF_SENT * 1e6)):
            connection.reject_unreadable(408)
        for connection in _older(self.idle, now - int((QUIET if self.is_draining else KEPT) * 1e6)):
            connection.close_if_idle()
        for connection in [c for c in self.receiving_body if c.is_too_slow(now)]:
            connection.reject_unreadable(408)
        for connection in _older(self.lingering, now - int(LINGERS * 1e6)):
            connection.abort(CloseReason.LINGERED)
        for connection in list(self.write_blocked):
            connection.note_read_progress(now)
        for connection in [c for c, since in self.write_blocked.items() if since < now - int(UNREAD * 1e6)]:
            connection.abort(CloseReason.ANSWER_UNREAD)

    def _note_delay(self, now: int) -> None:
        """Tells a process that was held up from one that was busy, by the processor time that it used."""
        used, before = time.process_time(), self._ticked
        self._ticked = (now, used)
        if before and (late := now - before[0] - int(SWEEP * 1e6)) > WRITE_DELAY:
            cpu = int(1e6 * (used - before[1]))
            self.engine.event_log.event("process", "held up", late_us=late, cpu_us=cpu)

    def _evict(self) -> bool:
        """Those that have had their last answer go first, then those that say nothing, those that stopped in
        the middle of a head, and the longest idle; with a request unread, none of these. Of one that has just
        come up the request is on its way: a few of those go last, a crowd of them does not.
        """
        if self.lingering:
            longest = next(iter(self.lingering))
            del self.lingering[longest]
            longest.abort(CloseReason.LINGERED)
            return True
        silent = (
            list(self.awaiting_first_request)
            if len(self.awaiting_first_request) > FEW_SILENT
            else _older(self.awaiting_first_request, self.now() - YOUNG)
        )
        if any(c.close_if_idle(CloseReason.EVICTED) for c in silent):
            return True
        before = self.now() - int(STALLED * 1e6)
        stopped = (
            c
            for held in (self.awaiting_first_request, self.receiving_head)
            for c in held
            if c.is_stalled(before)
        )
        if (connection := next(stopped, None)) is not None:
            connection.evict_incomplete()
            return True
        return any(c.close_if_idle(CloseReason.EVICTED) for c in (*self.idle, *self.awaiting_first_request))


def _older(held: dict[ClientConnection, int], than: int) -> list[ClientConnection]:
    found = []
    for connection, since in held.items():
        if since >= than:
            break
        found.append(connection)
    return found
