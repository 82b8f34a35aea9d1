"""Connections to the backends, one request on each: attempts, their outcomes, probes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Iterable
from enum import Enum

import httptools

from quota_ingress.net.descriptors import Share
from quota_ingress.net.discovery.endpoint_list import EndpointEntry
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import BUFFERED, KERNEL_BUFFER, SLICE, Body, HttpConnection, MemoryBudget, Message
from quota_ingress.policy.events import Outcome

IDLE_PART = 0.75  # of the time after which a backend closes an idle connection: ours is closed by then
SWEEP = 1.0  # s between looks for such connections
STUCK = 5.0  # s without a byte taken of a body, or given of a long answer, after which it is given up
RESTS = 0.02  # s after an answer before the next request: a copy of that answer may come some ms late, and
# would pass for the next one's
PROBE_TIMEOUT = 0.25
FRAGILE = 0.01  # part of the kept connections that end at the next request: past it, unsafe ones get a new
FORGET = 0.02  # the weight of the last in that part
KEEP = 8  # idle connections to a backend: more are of no use ...
FLEET_KEEP = 32  # ... and of all ingresses together: each costs the backend some of what it can do


class LinkEnd(Enum):
    """Why a connection to a backend was ended, or had ended."""

    IDLE = "idle"
    EVICTED = "evicted"  # its descriptor was needed, or enough others rest
    NOT_STANDING = "not standing"  # at its next use: the backend had ended it, or said what nobody asked for
    WITHDRAWN = "withdrawn"  # the backend drains, has gone or has been restarted
    ABORTED = "aborted"  # its attempt was given up
    DENIED = "denied"  # its attempt might not begin any more
    WRITE_FAILED = "write failed"
    NOT_REUSABLE = "not reusable"  # answered, but the next request could not be told from this one
    NOT_UNDERSTOOD = "not understood"
    STUCK = "stuck"
    BODY_GONE = "body gone"  # its beginning went with another attempt
    UNWANTED = "unwanted"  # a long answer that nobody reads
    BY_BACKEND = "by backend"
    PROCESS_END = "process end"


Ended = Callable[[AttemptResult], None]
Started = Callable[[AttemptResult], None]
log = logging.getLogger(__name__)


Permit = Callable[[], bytes | None]  # the rest of the data, or None if the attempt may not begin any more


def always() -> bytes:
    """A permit that has nothing to add."""
    return b""


class Exchange:
    """An attempt: waits for its connection, then is written, then answered. Ends once. `head` is written
    first, then what `permit` tells in that moment, and then `body` as it comes, if it is not held. `started`
    is called once with an answer too long to be held; without it, such an answer is an error.
    """

    __slots__ = (
        "_ended",
        "at",
        "body",
        "dial",
        "head",
        "keeps",
        "link",
        "moved_at",
        "over",
        "permit",
        "started",
        "written",
    )

    def __init__(
        self,
        head: bytes,
        ended: Ended,
        body: Body | None = None,
        started: Started | None = None,
        permit: Permit = always,
    ) -> None:
        self.permit = permit
        self.head, self.body, self.at, self._ended, self.started = head, body, 0, ended, started
        self.keeps = body is not None and body.whole
        self.dial: asyncio.Task[None] | None = None
        self.link: Link | None = None
        self.written = self.over = False
        self.moved_at = 0.0  # when some of it was last written or read, on its way through

    def end(self, answer: AttemptResult) -> None:
        if not self.over:
            self.over = True
            self._leave_body()
            self._ended(answer)

    def lost(self) -> None:
        """No answer will come: whether it has run depends on whether its last byte was written."""
        self.end(AttemptResult(Outcome.RESET if self.written else Outcome.CONNECT_FAILED))

    def abort(self) -> bool:
        self.over = True
        self._leave_body()
        if self.dial:
            self.dial.cancel()
        if self.link:
            self.link.drop(LinkEnd.ABORTED)
        return self.written

    def withdraw(self) -> bool:
        if not self.written:
            self.abort()
        return not self.written

    def _leave_body(self) -> None:
        if self.body and self.link and self.body.grew == self.link.pass_on:
            self.body.leave()


class Link(HttpConnection):
    """One connection to a backend. The socket is ours, so that a send tells how much was written, a look
    tells whether the connection still stands, and giving up takes effect before anything else is sent.
    """

    def __init__(self, pool: Pool, sock: socket.socket) -> None:
        super().__init__(httptools.HttpResponseParser, pool.room)
        self.pool, self.sock, self.address = pool, sock, pool.address
        self.exchange: Exchange | None = None
        self.stream: Body | None = None  # the answer that is being passed on
        self.idle_since = 0.0
        self.kept = False  # it has carried another request before this one
        self.dead = False
        self._full = self._paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=2 * SLICE)

    def send(self, exchange: Exchange) -> None:
        """Asks for leave first, as the attempt may not be allowed to begin any more."""
        rest = exchange.permit()
        if rest is None or exchange.over:
            self.drop(LinkEnd.DENIED)
            exchange.end(AttemptResult(Outcome.NOT_SENT))
            return
        data = exchange.head + rest
        self.exchange, exchange.link = exchange, self
        self.bodiless = exchange.head.startswith(b"HEAD ")
        exchange.moved_at = self.pool.now()
        try:
            sent = self.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            self.drop(LinkEnd.WRITE_FAILED)
            exchange.lost()
            return
        if sent < len(data):  # from here on the last byte may be written at any time
            self.transport.write(data[sent:])
        if exchange.body is None:
            exchange.written = True
        else:
            exchange.body.grew = self.pass_on
            self.pass_on()

    def pass_on(self) -> None:
        """The request's body, as far as it has come and as the backend takes it. One that was whole when it
        was first sent stays, for another attempt.
        """
        exchange = self.exchange
        body = exchange.body if exchange else None
        if self.dead or exchange is None or body is None:
            return
        if exchange.at < body.gone:  # its beginning has gone with another attempt
            self.give_up(LinkEnd.BODY_GONE)
            return
        while not (self._full or exchange.written or body.released):
            if exchange.at == body.came and not body.whole:
                return
            data, exchange.at = body.framed(exchange.at)
            exchange.written = body.whole and exchange.at == body.came
            exchange.moved_at = self.pool.now()
            self.transport.write(data)
            if not exchange.keeps:
                body.drop(exchange.at)

    def pause_writing(self) -> None:
        self._full = True

    def resume_writing(self) -> None:
        self._full = False
        self.pass_on()

    def stands(self) -> bool:
        """False if the backend has ended it, or said something nobody asked for."""
        try:
            self.sock.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return not self.dead
        except OSError:
            pass
        return False

    def drop(self, reason: LinkEnd) -> None:
        if not self.dead:
            self.dead = True
            self.pool.trace.event("backend connection closed", reason.value, backend=self.pool.name)
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_RDWR)
            self.transport.abort()
            if not self._message.body.whole and self._message.body is not self.stream:
                self._message.body.release()
            self.pool.left(self)

    def came(self, message: Message) -> None:
        if 100 <= message.status < 200 and self.exchange:
            return
        body, exchange = message.body, self.exchange
        if self.stream is body and exchange:
            exchange.moved_at = self.pool.now()
            if body.whole:
                self._whole(message, exchange, AttemptResult(Outcome.OK))
            body.grew()
            self._ease()
        elif body.whole:
            self._whole(message, exchange, _answer(message))
            body.release()
        elif body.long and message.status == 200 and exchange and exchange.started:
            if not body.came:
                return
            exchange.moved_at = self.pool.now()
            self.stream, body.eased = body, self._ease
            answer = _answer(message)
            answer.stream = body
            exchange.started(answer)
            self._ease()
        elif body.long:  # nobody wants to know how it goes on
            failed = AttemptResult(Outcome.ERROR) if message.status == 200 else _answer(message)
            self.give_up(LinkEnd.UNWANTED, failed)

    def _whole(self, message: Message, exchange: Exchange | None, answer: AttemptResult) -> None:
        self.exchange = self.stream = None
        if self._paused:
            self._paused = False
            self.transport.resume_reading()
        if self.kept and exchange:
            self.pool.kept.ended(well=True)
        # Answered before it had all been read, or more said than was asked for: a copy of the answer right
        # behind it would be taken for the next request's.
        more = self._more or self._begun or self._lost_framing
        unsound = self.transport.get_write_buffer_size() > 0 or more or (exchange and not exchange.written)
        if exchange is None or not message.keep_alive or unsound:
            self.drop(LinkEnd.NOT_REUSABLE)
        elif not self.dead:
            self.pool.rest(self)
        if exchange:
            exchange.end(answer)

    def _ease(self) -> None:
        """Reads no faster than the client does."""
        body, room = self.stream, self.pool.room
        if body is None or self.dead:
            return
        most = 0 if room.full else BUFFERED
        if body.held > most and not self._paused:
            self._paused = True
            self.transport.pause_reading()
        elif body.held <= most // 2 and self._paused:
            self._paused = False
            if self.exchange:
                self.exchange.moved_at = self.pool.now()
            self.transport.resume_reading()

    def stuck(self, before: float) -> bool:
        """The backend has neither taken nor given anything since, though it could have."""
        exchange = self.exchange
        if exchange is None or exchange.moved_at >= before or self._paused:
            return False
        unread = exchange.body is not None and not exchange.written and self._full
        return unread or self.stream is not None

    def garbage(self, status: int) -> None:
        """It has answered, so it is up and may have run the request; a reset would say that it is down."""
        log.warning("backend %s: answer not understood: %s", self.pool.name, self.wrong)
        self.give_up(LinkEnd.NOT_UNDERSTOOD, AttemptResult(Outcome.ERROR))

    def give_up(self, reason: LinkEnd, answer: AttemptResult | None = None) -> None:
        """The attempt has failed, and with it the connection: an answer that was begun is cut short."""
        exchange, self.exchange = self.exchange, None
        self.drop(reason)
        stream, self.stream = self.stream, None
        if stream:
            stream.cut()
        if exchange and answer:
            exchange.end(answer)
        elif exchange:
            exchange.lost()

    def eof_received(self) -> None:
        self.ended_by_close()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        if self.kept and self.exchange and not (self._begun or self._lost_framing):
            self.pool.kept.ended(well=False)
        self.give_up(LinkEnd.BY_BACKEND)


def _answer(message: Message) -> AttemptResult:
    headers, status = message.headers, message.status
    load, kind = headers.get(b"server-load", b""), headers.get(b"content-type", b"")
    if status == 200:
        body = bytes(message.body.data) if message.body.whole else b""
        return AttemptResult(Outcome.OK, body, kind, load, declared_length=_told_length(headers))
    if status in (503, 504) and headers.get(b"not-started") == b"1":
        return AttemptResult(Outcome.REJECTED, load=load)
    return AttemptResult(Outcome.ERROR, load=load)  # nothing says that it never ran


def _told_length(headers: dict[bytes, bytes]) -> bytes:
    """What an answer to HEAD says of the body that it has not."""
    return headers.get(b"content-length", b"")


class Kept:
    """How often connections that were kept end at the next request, not a byte of an answer come."""

    def __init__(self) -> None:
        self.failing = 0.0

    def ended(self, well: bool) -> None:
        self.failing += FORGET * ((0.0 if well else 1.0) - self.failing)


class Pool:
    """The connections to one backend."""

    __slots__ = (
        "address",
        "busy",
        "dials",
        "idle",
        "keep",
        "kept",
        "name",
        "now",
        "ready",
        "room",
        "share",
        "started",
        "trace",
    )

    def __init__(
        self,
        entry: EndpointEntry,
        share: Share,
        kept: Kept,
        room: MemoryBudget,
        keep: int,
        trace: EventLog | None = None,
    ) -> None:
        self.keep, self.trace = keep, trace or EventLog()
        self.name, self.address, self.share, self.kept, self.room = (
            entry.name,
            entry.address,
            share,
            kept,
            room,
        )
        self.now = asyncio.get_running_loop().time
        self.ready, self.started = entry.status == "up", entry.started_us
        self.idle: list[Link] = []  # the most recently used last
        self.busy: set[Link] = set()
        self.dials: set[Exchange] = set()

    def rest(self, link: Link) -> None:
        self.busy.discard(link)
        if self.ready and link.address == self.address:
            link.idle_since = asyncio.get_running_loop().time()
            self.idle.append(link)
            if len(self.idle) > self.keep:
                self.idle[0].drop(LinkEnd.EVICTED)
        else:
            link.drop(LinkEnd.WITHDRAWN)

    def left(self, link: Link) -> None:
        self.share.closed()
        self.busy.discard(link)
        if link in self.idle:
            self.idle.remove(link)

    def take(self, oldest: float) -> Link | None:
        """The most recently used connection that surely still stands; those that may be dying are closed."""
        rested = self.now() - RESTS
        for link in reversed(self.idle[:]):
            if link.idle_since > rested:
                continue
            self.idle.remove(link)
            if link.idle_since > oldest and link.stands():
                link.kept = True
                self.busy.add(link)
                return link
            link.drop(LinkEnd.IDLE if link.idle_since <= oldest else LinkEnd.NOT_STANDING)
        return None

    def close_idle(self, reason: LinkEnd) -> None:
        for link in self.idle[:]:
            link.drop(reason)

    def withdraw(self) -> None:
        """Attempts that wait for a connection have not been written, and will not be."""
        self.close_idle(LinkEnd.WITHDRAWN)
        for exchange in list(self.dials):
            if exchange.dial:
                exchange.dial.cancel()
            exchange.lost()


class UpstreamClient:
    def __init__(
        self,
        share: Share,
        conn_idle_us: int,
        connect_timeout_us: int,
        room: MemoryBudget | None = None,
        fleet_size: int = 1,
        trace: EventLog | None = None,
    ) -> None:
        self._trace = trace or EventLog()
        self._keep = min(KEEP, max(1, FLEET_KEEP // fleet_size))
        self._room = room or MemoryBudget()
        self._share, self._idle = share, conn_idle_us / 1e6 * IDLE_PART
        self._connect_timeout = connect_timeout_us / 1e6
        self._pools: dict[int, Pool] = {}
        self._void: set[int] = set()  # of these: what they hold leads nowhere, or must not be used
        self._kept = Kept()
        self._loop = asyncio.get_running_loop()
        self._sweep: asyncio.TimerHandle | None = None
        share.evict = self._evict
        self._tick()

    def stop(self) -> None:
        if self._sweep:
            self._sweep.cancel()
        for pool in self._pools.values():
            pool.withdraw()
            for link in list(pool.busy):
                link.drop(LinkEnd.PROCESS_END)

    # The list.

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        pool = self._pools.get(backend)
        if pool is None:
            if entry.status != "removed":
                self._pools[backend] = Pool(
                    entry, self._share, self._kept, self._room, self._keep, self._trace
                )
            return
        pool.ready, stale = entry.status == "up", False
        if entry.status != "removed":  # a new start or address: what was connected leads to the one before
            stale = pool.address != entry.address or pool.started != entry.started_us
            pool.address, pool.started = entry.address, entry.started_us
        if stale or not pool.ready:
            self._void.add(backend)

    def reconcile(self, gone: Iterable[int]) -> None:
        for backend in gone:
            if pool := self._pools.pop(backend, None):
                pool.ready = False
                pool.withdraw()
        void, self._void = self._void, set()
        for backend in void & self._pools.keys():
            self._pools[backend].withdraw()

    # Attempts.

    def send(
        self,
        backend: int,
        head: bytes,
        ended: Ended,
        once: bool = False,
        body: Body | None = None,
        started: Started | None = None,
        permit: Permit = always,
    ) -> Exchange:
        """`once`: it may not run again, so a reset is the end of it. Where kept connections often end at the
        next request, a new one is worth its price then.
        """
        exchange, pool = Exchange(head, ended, body, started, permit), self._pools.get(backend)
        if pool is None or not pool.ready:
            self._trace.event("connect", "not listed as up", backend=backend)
            exchange.lost()
            return exchange
        new = once and self._kept.failing > FRAGILE and self._share.room()
        if not new and (link := pool.take(self._loop.time() - self._idle)):
            link.send(exchange)
        elif self._share.room():
            self._share.open += 1
            pool.dials.add(exchange)
            exchange.dial = self._loop.create_task(self._connect(pool, exchange))
            exchange.dial.add_done_callback(lambda task: self._dialled(pool, exchange))
        else:
            self._trace.event("connect", "no descriptor", backend=pool.name)
            exchange.lost()
        return exchange

    async def _connect(self, pool: Pool, exchange: Exchange) -> None:
        sock: socket.socket | None = None
        link: Link | None = None
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for buffer in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                sock.setsockopt(socket.SOL_SOCKET, buffer, KERNEL_BUFFER)
            async with asyncio.timeout(self._connect_timeout):
                await self._loop.sock_connect(sock, pool.address)
                link = Link(pool, sock)
                await self._loop.create_connection(lambda: link, sock=sock)
        except (OSError, ValueError) as error:  # refused, timed out, out of descriptors
            self._trace.event("connect", type(error).__name__, backend=pool.name)
            exchange.lost()
        finally:
            pool.dials.discard(exchange)
            exchange.dial = None
            if link is None or not hasattr(link, "transport"):
                self._share.closed()
                if sock:
                    sock.close()
            elif exchange.over:
                link.drop(LinkEnd.DENIED)
            else:
                pool.busy.add(link)
                link.send(exchange)

    def _dialled(self, pool: Pool, exchange: Exchange) -> None:
        """A task that is cancelled before its first step never runs, what cleans up behind it included."""
        if exchange in pool.dials:
            pool.dials.discard(exchange)
            exchange.dial = None
            self._share.closed()

    def probe(self, backend: int, ended: Ended) -> None:
        exchange = self.send(backend, b"GET /metrics/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", ended)

        def give_up() -> None:
            if not exchange.over:
                exchange.abort()
                ended(AttemptResult(Outcome.TIMEOUT))

        self._loop.call_later(PROBE_TIMEOUT, give_up)

    def close_idle_connections(self, backend: int) -> None:
        if pool := self._pools.get(backend):
            pool.close_idle(LinkEnd.IDLE)

    # Idle connections.

    def _evict(self) -> bool:
        for pool in self._pools.values():
            if pool.idle:
                pool.idle[0].drop(LinkEnd.EVICTED)
                return True
        return False

    def _tick(self) -> None:
        oldest = self._loop.time() - self._idle
        for pool in self._pools.values():
            while pool.idle and pool.idle[0].idle_since <= oldest:
                pool.idle[0].drop(LinkEnd.IDLE)
            for link in [x for x in pool.busy if x.stuck(self._loop.time() - STUCK)]:
                log.warning("backend %s: stuck half way through a body", pool.name)
                link.give_up(LinkEnd.STUCK)
        self._sweep = self._loop.call_later(SWEEP, self._tick)
