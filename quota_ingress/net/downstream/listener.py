"""The clients' listener: what all client connections share, who makes room, and how a process ends them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from quota_ingress.net.acceptor import Acceptor, listening_socket
from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.downstream.connection import HALF_SENT, ClientConnection, CloseReason
from quota_ingress.net.downstream.request_parser import RequestReader
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
        self.room = room or MemoryBudget()
        self.engine, self.share, self.top, self.now = engine, sockets.clients, sockets.top, now
        self.requests = RequestReader(engine.settings, engine.index)
        self.stopping = False  # for good, at SIGTERM
        self.handed = False  # another process accepts
        self.draining = False  # for as long as operators want
        self.idle_most = max(4, self.share.most // 4)  # clients, too, have only so many connections
        # Each with the moment since when, the longest first. A connection is in one of the first three when
        # no request of it is open: none has come whole yet, the next has begun, none is on the way.
        self.new: dict[ClientConnection, int] = {}
        self.begun: dict[ClientConnection, int] = {}
        self.idle: dict[ClientConnection, int] = {}
        self.choked: dict[ClientConnection, int] = {}  # the client does not read what it is sent
        self.coming: set[ClientConnection] = set()  # a request's head has come, and its body is coming
        self.lingering: dict[ClientConnection, int] = {}  # answered, and then what still comes is thrown away
        self.connections: set[ClientConnection] = set()
        self._sweep: asyncio.TimerHandle | None = None
        self._acceptor: Acceptor | None = None
        self._ticked: tuple[int, float] | None = (
            None  # the last sweep: when (us), and the CPU used so far (s)
        )
        self.share.evict = self._evict
        self.share.freed = self.resume

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
        return self.share.open + opening < self.top

    def pause(self) -> None:
        """What connects from now on waits in the queue."""
        if self._acceptor:
            self._acceptor.pause()

    def resume(self) -> None:
        """Takes connections again, if this process is the one that does and there is room."""
        if self._acceptor and not self.handed and self._has_place(0):
            self._acceptor.start()

    @property
    def listening(self) -> bool:
        """This process takes connections, now or as soon as there is room."""
        return self._acceptor is not None and not self.handed

    def hand_over(self) -> None:
        """Another process accepts from now on, from the same line; what has been accepted here is finished
        here, and a connection that has not asked yet is given its time to.
        """
        self.handed = self.stopping = True
        self.pause()

    def take_back(self) -> None:
        """The process that accepted is gone: this one accepts again."""
        self.handed = self.stopping = False
        self.resume()

    @property
    def leaving(self) -> bool:
        """Connections end with their answers."""
        return self.stopping or self.draining

    @property
    def up(self) -> bool:
        """Whether clients may come. Once another process accepts, they may, if not to this one: a no on a
        connection that is left here would take the whole ingress out of service.
        """
        return not self.draining and (not self.stopping or self.handed)

    def drain(self, on: bool) -> None:
        """Out of service, and back: unlike a stop, it takes in what still comes, and it can be undone."""
        self.draining = on

    def begin_stop(self) -> None:
        """New connections still come in; each is closed after its answer, and those that are idle now."""
        self.stopping = True
        for connection in list(self.idle):
            connection.close_if_quiet()

    async def take_line(self, until: float) -> None:
        """Takes in those who wait in line: they are connected, and closing would reset them, requests and
        all. Where there is no room, they wait for it, until then at the longest.
        """
        if self._acceptor:
            await self._acceptor.drain_queue(until, TURN)

    def last_call(self) -> None:
        """The process is about to end: of those with no request open, the silent are closed, and those in the
        middle of a head are told so.
        """
        for connection in list(self.connections):
            if connection.busy and connection.stalled(self.now()):
                connection.garbage(408)
            else:
                connection.close_if_quiet()

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
        for connection in _older(self.new, now - int(HALF_SENT * 1e6)):
            connection.garbage(408)
        for connection in _older(self.begun, now - int(HALF_SENT * 1e6)):
            connection.garbage(408)
        for connection in _older(self.idle, now - int((QUIET if self.leaving else KEPT) * 1e6)):
            connection.close_if_quiet()
        for connection in [c for c in self.coming if c.slow(now)]:
            connection.garbage(408)
        for connection in _older(self.lingering, now - int(LINGERS * 1e6)):
            connection.abort(CloseReason.LINGERED)
        for connection in list(self.choked):
            connection.reads(now)
        for connection in [c for c, since in self.choked.items() if since < now - int(UNREAD * 1e6)]:
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
        silent = list(self.new) if len(self.new) > FEW_SILENT else _older(self.new, self.now() - YOUNG)
        if any(c.close_if_quiet(CloseReason.EVICTED) for c in silent):
            return True
        before = self.now() - int(STALLED * 1e6)
        stopped = (c for held in (self.new, self.begun) for c in held if c.stalled(before))
        if (connection := next(stopped, None)) is not None:
            connection.leave()
            return True
        return any(c.close_if_quiet(CloseReason.EVICTED) for c in (*self.idle, *self.new))


def _older(held: dict[ClientConnection, int], than: int) -> list[ClientConnection]:
    found = []
    for connection, since in held.items():
        if since >= than:
            break
        found.append(connection)
    return found
