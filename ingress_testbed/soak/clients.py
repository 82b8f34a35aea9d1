"""The clients of a run in one worker process: sound ones, and such that leave, dawdle or send nonsense."""

from __future__ import annotations

import asyncio
import random
import time
import weakref
from collections import deque
from collections.abc import Callable, Coroutine
from typing import Any

import httptools
import msgspec

from ingress_testbed.soak.records import BadPeer, Call, Ending
from ingress_testbed.soak.setup import CLASSES, CUSTOMERS, KEYED, SAFE, expected, key_of
from ingress_testbed.standins.sockets import Connection, reset

HOST = "127.0.0.1"
PATIENCE = 1.5  # s past its time that a client still waits for its answer, to see whether one comes
OWED = 3.0  # s in which a peer that sends no request gets an error or a close
STAYS = 4.5  # s that such a peer stays
NONSENSE = (b"\x16\x03\x01\x02\x00\x01\x00", b"HELO there\r\n\r\n", b"GET / HTTP/9\r\n\r\n")
LONGEST_PIPELINED = 2_000  # bytes of a body
BODIES = (0, 200, 5_000, 70_000, 300_000)
BODY_WEIGHTS = (4, 4, 2, 1, 1)
SIZES = (0, 1_000, 60_000, 200_000)
SIZE_WEIGHTS = (8, 8, 1, 1)


class Wish:
    """What one request is, and the bytes that ask for it."""

    def __init__(self, rng: random.Random, id: str, node: int, nodes: int) -> None:
        self.id, self.cls = id, rng.choices(CLASSES, (5, 2, 3))[0]
        self.timeout = rng.choices((rng.uniform(0.005, 0.05), rng.uniform(0.2, 1.0), 2.8), (1, 4, 5))[0]
        self.body = b""
        if self.cls != SAFE:
            self.body = rng.randbytes(rng.choices(BODIES, BODY_WEIGHTS)[0])
        self.size = rng.choices(SIZES, SIZE_WEIGHTS)[0]
        self.customer = rng.randrange(CUSTOMERS)
        self.chunked = self.cls != SAFE and rng.random() < 0.2
        self._node, self._nodes = node, nodes

    @property
    def answer(self) -> bytes:
        return expected(self.id, self.body, self.size)

    def data(self) -> bytes:
        target = f"/{self.cls}/x?id={self.id}&body={len(self.body)}&size={self.size}"
        lines = [
            f"{'GET' if self.cls == SAFE else 'POST'} {target} HTTP/1.1",
            "Host: app.svc",
            f"Request-Id: {self.id}",
            "X-Plan: gold",
            f"Cookie: customer={self.customer:016x}",
            f"Request-Timeout: {max(1, round(self.timeout * 1000))}m",
            f"X-Quota: units=1,spread=2,first={self._node % self._nodes}",
        ]
        if self.cls == KEYED:
            lines.append(f"Idempotency-Key: {key_of(self.id)}")
        body = self.body
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
            body = (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + b"0\r\n\r\n"
        elif self.cls != SAFE:
            lines.append(f"Content-Length: {len(body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Link(Connection):
    """A client's connection: requests that have no answer yet, in their order."""

    def __init__(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self.open: deque[tuple[Call, Wish, asyncio.Future[None]]] = deque()
        self.asked = 0
        self.heard = False  # some of the next answer has come
        self.ended_at = 0.0
        self.over: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._body = bytearray()
        self._drained = asyncio.Event()
        self._drained.set()

    def ask(self, call: Call, wish: Wish) -> asyncio.Future[None]:
        """Notes that a request has been handed over; done once it has ended."""
        done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        call.first_on_connection, call.behind_others = self.asked == 0, bool(self.open)
        self.asked += 1
        if self.transport.is_closing():
            self._end(call, Ending.CLOSED, done)
        else:
            self.open.append((call, wish, done))
        return done

    async def send(self, data: bytes) -> None:
        """Returns once the system has taken it all."""
        if not self.transport.is_closing():
            self.transport.write(data)
            await self._drained.wait()

    def pause_writing(self) -> None:
        self._drained.clear()

    def resume_writing(self) -> None:
        self._drained.set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=0)

    def connection_lost(self, exc: Exception | None) -> None:
        self.ended_at = time.monotonic()
        self._drained.set()
        ending = Ending.RESET if exc else Ending.CLOSED
        while self.open:
            call, _, done = self.open.popleft()
            self._end(call, Ending.BROKEN if self.heard else ending, done)
            self.heard = False
        if not self.over.done():
            self.over.set_result(None)

    def data_received(self, data: bytes) -> None:
        self.heard = True
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_message_begin(self) -> None:
        self._body = bytearray()

    def on_body(self, part: bytes) -> None:
        self._body += part

    def on_message_complete(self) -> None:
        status = self._parser.get_status_code()
        if status == 100 or not self.open:
            return
        self.heard = False
        call, wish, done = self.open.popleft()
        call.status = status
        call.sound = status != 200 or bytes(self._body) == wish.answer
        self._end(call, Ending.ANSWERED, done)
        if not self._parser.should_keep_alive():
            self.transport.close()

    def _end(self, call: Call, ending: Ending, done: asyncio.Future[None]) -> None:
        if call.ending is Ending.NO_ANSWER:
            call.ending, call.ended_at = ending, time.monotonic()
        if not done.done():
            done.set_result(None)


class Clients:
    def __init__(self, seed: int, ports: list[int]) -> None:
        self.rng, self.ports = random.Random(seed), ports
        self.calls: list[Call] = []
        self.bad: list[BadPeer] = []
        self.lag = 0.0
        self._idle: dict[int, list[Link]] = {node: [] for node in range(len(ports))}
        self._links = {node: weakref.WeakSet[Link]() for node in range(len(ports))}
        self._tasks: set[asyncio.Task[None]] = set()
        self._number = 0
        self._ways: list[tuple[Callable[[int], Coroutine[Any, Any, None]], float]] = [
            (self._plain, 74),
            (self._leaves, 8),
            (self._pipelines, 4),
            (self._dawdles, 5),
            (self._stops_in_head, 2),
            (self._stops_in_body, 2),
            (self._silent, 2),
            (self._nonsense, 1),
            (self._crosses_idle_close, 2),
        ]

    async def run(self, rate: float, seconds: float) -> None:
        """Open loop; returns once all has ended."""
        end = due = time.monotonic()
        end += seconds
        ways, weights = zip(*self._ways, strict=True)
        while (due := due + self.rng.expovariate(rate)) < end:
            if (wait := due - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, time.monotonic() - due)
            (way,) = self.rng.choices(ways, weights)
            self._start(way(self.rng.randrange(len(self.ports))))
        while self._tasks:
            await asyncio.wait(self._tasks)
        for links in self._idle.values():
            for link in links:
                link.transport.close()

    async def crowd(self, node: int, count: int, seconds: float) -> None:
        """Connections that say nothing, all at once."""
        links = [await self._connect(node) for _ in range(count)]
        await asyncio.sleep(seconds)
        for link in links:
            if link:
                link.transport.close()

    def leave(self, node: int) -> None:
        """All clients of a node that wait for an answer go at once."""
        for link in list(self._links[node]):
            if not link.open or link.transport.is_closing():
                continue
            now = time.monotonic()
            for call, _, done in link.open:
                call.ending, call.ended_at = Ending.LEFT, now
                if not done.done():
                    done.set_result(None)
            link.open.clear()
            reset(link.transport) if self.rng.random() < 0.5 else link.transport.close()

    def _start(self, what: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        task.result()

    def _wish(self, node: int) -> Wish:
        self._number += 1
        return Wish(self.rng, f"q{self._number:06x}-{node}", node, len(self.ports))

    def _call(self, wish: Wish, node: int, again: bool = False) -> Call:
        call = Call(wish.id, node, wish.cls, wish.timeout, time.monotonic(), False, again=again)
        self.calls.append(call)
        return call

    async def _connect(self, node: int) -> Link | None:
        try:
            async with asyncio.timeout(3.0):
                made = asyncio.get_running_loop().create_connection(Link, HOST, self.ports[node])
                _, link = await made
                self._links[node].add(link)
                return link
        except OSError:
            return None

    async def _link(self, node: int) -> Link | None:
        """A kept connection, however long it has rested, or a new one."""
        links = self._idle[node]
        while links:
            link = links.pop(self.rng.randrange(len(links)))
            if not link.transport.is_closing():
                return link
        return await self._connect(node)

    def _keep(self, node: int, link: Link) -> None:
        if not link.transport.is_closing() and not link.open and len(self._idle[node]) < 12:
            self._idle[node].append(link)
        else:
            link.transport.close()

    async def _ended_within(self, call: Call, done: asyncio.Future[None], link: Link) -> None:
        left = call.sent_at + call.timeout + PATIENCE - time.monotonic()
        await asyncio.wait([done], timeout=max(0.0, left))
        link.open = deque(asked for asked in link.open if asked[0] is not call)  # its end is not the call's

    async def _ask(self, wish: Wish, node: int, link: Link | None, again: bool = False) -> Call:
        call = self._call(wish, node, again)
        if link is None:
            call.ending, call.ended_at = Ending.REFUSED, time.monotonic()
            return call
        done = link.ask(call, wish)
        await link.send(wish.data())
        call.sent_at = time.monotonic()
        await self._ended_within(call, done, link)
        return call

    # The ways to behave.

    async def _plain(self, node: int) -> None:
        wish, link = self._wish(node), await self._link(node)
        call = await self._ask(wish, node, link)
        crossed = call.ending in (Ending.CLOSED, Ending.RESET) and not call.first_on_connection
        if crossed:  # once more, on a new connection, as the protocol has it
            link = await self._connect(node)
            call = await self._ask(wish, node, link, again=True)
        if link:
            self._keep(node, link) if call.ending is Ending.ANSWERED else link.transport.close()

    async def _leaves(self, node: int) -> None:
        wish, link = self._wish(node), await self._link(node)
        call = self._call(wish, node)
        if link is None:
            call.ending, call.ended_at = Ending.REFUSED, time.monotonic()
            return
        done = link.ask(call, wish)
        await link.send(wish.data())
        call.sent_at = time.monotonic()
        await asyncio.wait([done], timeout=min(wish.timeout, self.rng.expovariate(20)))
        if call.ending is Ending.NO_ANSWER:
            call.ending, call.ended_at = Ending.LEFT, time.monotonic()
            reset(link.transport) if self.rng.random() < 0.5 else link.transport.close()
        else:
            self._keep(node, link)

    async def _pipelines(self, node: int) -> None:
        wishes = [self._wish(node) for _ in range(self.rng.choice((2, 3, 5, 14)))]
        for wish in wishes:  # more than the ingress's machine takes in waits on the client's, unseen by it
            wish.body = wish.body[:LONGEST_PIPELINED]
        link = await self._connect(node)
        calls = [self._call(wish, node) for wish in wishes]
        if link is None:
            for call in calls:
                call.ending, call.ended_at = Ending.REFUSED, time.monotonic()
            return
        done = [link.ask(call, wish) for call, wish in zip(calls, wishes, strict=True)]
        await link.send(b"".join(wish.data() for wish in wishes))
        for call in calls:
            call.sent_at = time.monotonic()
        longest = max(wish.timeout for wish in wishes) * len(wishes) + PATIENCE
        await asyncio.wait(done, timeout=min(longest, 20.0))
        link.open.clear()
        link.transport.close()

    async def _dawdles(self, node: int) -> None:
        """Sends in pieces, over up to a second and a half."""
        wish, link = self._wish(node), await self._link(node)
        call = self._call(wish, node)
        if link is None:
            call.ending, call.ended_at = Ending.REFUSED, time.monotonic()
            return
        data = wish.data()
        done = link.ask(call, wish)
        cuts = sorted(self.rng.sample(range(1, len(data)), min(4, len(data) - 1)))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            await link.send(data[start:end])
            if end < len(data):
                await asyncio.sleep(self.rng.uniform(0, 0.35))
        call.sent_at = time.monotonic()
        await self._ended_within(call, done, link)
        self._keep(node, link) if call.ending is Ending.ANSWERED else link.transport.close()

    async def _bad(self, kind: str, node: int, link: Link | None, data: bytes) -> None:
        if link is None:
            return
        peer = BadPeer(kind, node, time.monotonic(), OWED)
        self.bad.append(peer)
        await link.send(data)
        heard = asyncio.get_running_loop().create_task(self._heard(link))
        await asyncio.wait([heard], timeout=STAYS)
        if heard.done():
            peer.ended_at = time.monotonic()
        heard.cancel()
        link.transport.close()

    async def _heard(self, link: Link) -> None:
        while not link.heard and not link.over.done():
            await asyncio.sleep(0.01)

    async def _stops_in_head(self, node: int) -> None:
        data, link = self._wish(node).data(), await self._connect(node)
        await self._bad("stops in head", node, link, data[: self.rng.randrange(1, 60)])

    async def _stops_in_body(self, node: int) -> None:
        wish = self._wish(node)
        wish.cls, wish.body, wish.chunked = KEYED, bytes(9_000), False
        link = await self._connect(node)
        await self._bad("stops in body", node, link, wish.data()[: -self.rng.randrange(1, 8_000)])

    async def _silent(self, node: int) -> None:
        await self._bad("silent", node, await self._connect(node), b"")

    async def _nonsense(self, node: int) -> None:
        data = self.rng.choice(NONSENSE)
        await self._bad("nonsense", node, await self._connect(node), data)

    async def _crosses_idle_close(self, node: int) -> None:
        """Asks about when a resting connection is closed."""
        wish, link = self._wish(node), await self._connect(node)
        call = await self._ask(wish, node, link)
        if link is None or call.ending is not Ending.ANSWERED:
            return
        await asyncio.sleep(self.rng.uniform(1.9, 2.35))
        if link.transport.is_closing():
            return
        wish = self._wish(node)
        call = await self._ask(wish, node, link)
        if call.ending in (Ending.CLOSED, Ending.RESET):
            link = await self._connect(node)
            await self._ask(wish, node, link, again=True)
        if link:
            link.transport.close()


class Host:
    """The worker's host."""

    async def start(self, seed: int, ports: list[int]) -> None:
        self._clients = Clients(seed, ports)

    async def run(self, rate: float, seconds: float) -> None:
        await self._clients.run(rate, seconds)

    async def begin(self, rate: float, seconds: float) -> None:
        """The same, without waiting for its end."""
        self._running = asyncio.get_running_loop().create_task(self._clients.run(rate, seconds))

    async def crowd(self, node: int, count: int, seconds: float) -> None:
        self._clients._start(self._clients.crowd(node, count, seconds))

    def leave(self, node: int) -> None:
        self._clients.leave(node)

    async def told(self) -> dict[str, Any]:
        """Once all has ended."""
        await self._running
        return {
            "calls": msgspec.to_builtins(self._clients.calls),
            "bad_peers": msgspec.to_builtins(self._clients.bad),
            "lag": self._clients.lag,
        }
