"""The clients of a run in one worker process.

Most send valid requests; others disconnect early, send slowly, stop halfway or send invalid requests.
"""

from __future__ import annotations

import asyncio
import random
import time
import weakref
from collections.abc import Callable, Coroutine
from typing import Any

import msgspec

from ingress_testbed.soak.client_connection import ClientConnection, end_call
from ingress_testbed.soak.client_request import ClientRequest
from ingress_testbed.soak.records import BadPeer, Call, Ending
from ingress_testbed.soak.setup import WITH_KEY
from ingress_testbed.standins.sockets import reset

HOST = "127.0.0.1"
CONNECT_TIMEOUT = 3.0  # s
LATE_ANSWER_WAIT = 1.5  # s past the timeout for which a client still waits for a late answer
BAD_PEER_CLOSE_LIMIT = 3.0  # s in which a peer without a valid request has to get an error or a close
BAD_PEER_LIFETIME = 4.5  # s after which such a peer closes its connection itself
INVALID_REQUESTS = (b"\x16\x03\x01\x02\x00\x01\x00", b"HELO there\r\n\r\n", b"GET / HTTP/9\r\n\r\n")
MAX_PIPELINED_BODY = 2_000  # bytes; what exceeds the kernel's receive buffer would wait unseen by the ingress
MAX_PIPELINE_WAIT = 20.0  # s
MAX_IDLE = 12  # idle connections to a node that are kept
IDLE_CLOSE_WINDOW = (1.9, 2.35)  # s: the ingress may close an idle connection after 2 s

Behaviour = Callable[[int], Coroutine[Any, Any, None]]


class Clients:
    """Starts clients at random times, whether or not earlier ones have ended; each draws its behaviour.

    Attributes:
        ports: The listening ports of the nodes, by the nodes' numbers.
        lag: The longest delay in s with which a client was started.
    """

    def __init__(self, seed: int, ports: list[int]) -> None:
        """Sends nothing before `run`."""
        self.rng = random.Random(seed)
        self.ports = ports
        self.calls: list[Call] = []
        self.bad_peers: list[BadPeer] = []
        self.lag = 0.0
        self._idle: dict[int, list[ClientConnection]] = {node: [] for node in range(len(ports))}
        self._connections = {node: weakref.WeakSet[ClientConnection]() for node in range(len(ports))}
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self._behaviours: dict[Behaviour, int] = {  # behaviours and the weights with which they are drawn
            self._send_and_retry: 74,
            self._disconnect_early: 8,
            self._send_pipelined: 4,
            self._send_slowly: 5,
            self._stop_in_head: 2,
            self._stop_in_body: 2,
            self._send_nothing: 2,
            self._send_invalid: 1,
            self._cross_idle_close: 2,
        }

    async def run(self, rate: float, seconds: float) -> None:
        """Starts `rate` clients a second for `seconds`; returns once all have ended."""
        behaviours = list(self._behaviours)
        weights = list(self._behaviours.values())
        due = time.monotonic()
        end = due + seconds
        while (due := due + self.rng.expovariate(rate)) < end:
            if (wait := due - time.monotonic()) > 0:
                await asyncio.sleep(wait)
            self.lag = max(self.lag, time.monotonic() - due)
            (behaviour,) = self.rng.choices(behaviours, weights)
            self.start(behaviour(self.rng.randrange(len(self.ports))))
        while self._tasks:
            await asyncio.wait(self._tasks)
        for connections in self._idle.values():
            for connection in connections:
                connection.transport.close()

    async def open_idle_connections(self, node: int, count: int, seconds: float) -> None:
        """Opens `count` connections that send nothing, and closes them after `seconds`."""
        connections = [await self._connect(node) for _ in range(count)]
        await asyncio.sleep(seconds)
        for connection in connections:
            if connection:
                connection.transport.close()

    def disconnect_waiting(self, node: int) -> None:
        """Closes the connections of all clients that wait for an answer of a node."""
        for connection in list(self._connections[node]):
            if not connection.pending or connection.transport.is_closing():
                continue
            now = time.monotonic()
            for pending in connection.pending:
                pending.call.ending = Ending.CLIENT_CLOSED
                pending.call.ended_at = now
                if not pending.done.done():
                    pending.done.set_result(None)
            connection.pending.clear()
            self._close_or_reset(connection)

    def start(self, client: Coroutine[Any, Any, None]) -> None:
        """Starts a client; `run` returns only after it has ended."""
        task = asyncio.get_running_loop().create_task(client)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        task.result()

    # Helpers of the behaviours.

    def _draw_request(self, node: int) -> ClientRequest:
        self._request_count += 1
        request_id = f"q{self._request_count:06x}-{node}"
        return ClientRequest(self.rng, request_id, node, len(self.ports))

    def _record_call(self, request: ClientRequest, node: int, is_resend: bool = False) -> Call:
        sent_at = time.monotonic()
        call = Call(
            request.id, node, request.request_class, request.timeout, sent_at, False, is_resend=is_resend
        )
        self.calls.append(call)
        return call

    async def _connect(self, node: int) -> ClientConnection | None:
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, connection = await loop.create_connection(ClientConnection, HOST, self.ports[node])
        except OSError:
            return None
        self._connections[node].add(connection)
        return connection

    async def _idle_or_new_connection(self, node: int) -> ClientConnection | None:
        """Returns an idle connection, however long it has been idle, or else a new one; None if refused."""
        idle = self._idle[node]
        while idle:
            connection = idle.pop(self.rng.randrange(len(idle)))
            if not connection.transport.is_closing():
                return connection
        return await self._connect(node)

    def _keep_alive(self, node: int, connection: ClientConnection) -> None:
        usable = not connection.transport.is_closing() and not connection.pending
        if usable and len(self._idle[node]) < MAX_IDLE:
            self._idle[node].append(connection)
        else:
            connection.transport.close()

    def _keep_alive_if_answered(self, node: int, connection: ClientConnection, call: Call) -> None:
        if call.ending is Ending.ANSWERED:
            self._keep_alive(node, connection)
        else:
            connection.transport.close()

    def _close_or_reset(self, connection: ClientConnection) -> None:
        if self.rng.random() < 0.5:
            reset(connection.transport)
        else:
            connection.transport.close()

    async def _wait_for_end(
        self, call: Call, done: asyncio.Future[None], connection: ClientConnection
    ) -> None:
        time_left = call.sent_at + call.timeout + LATE_ANSWER_WAIT - time.monotonic()
        await asyncio.wait([done], timeout=max(0.0, time_left))
        connection.remove_call(call)

    async def _send(
        self, request: ClientRequest, node: int, connection: ClientConnection | None, is_resend: bool = False
    ) -> Call:
        """Sends a request and waits until it has ended. No connection: the call is recorded as refused."""
        call = self._record_call(request, node, is_resend)
        if connection is None:
            end_call(call, Ending.REFUSED)
            return call
        done = connection.register_request(call, request)
        await connection.send(request.encode())
        call.sent_at = time.monotonic()
        await self._wait_for_end(call, done, connection)
        return call

    # The behaviours.

    async def _send_and_retry(self, node: int) -> None:
        """Sends a request; resends it on a new connection if a close crossed it, as the protocol requires."""
        request = self._draw_request(node)
        connection = await self._idle_or_new_connection(node)
        call = await self._send(request, node, connection)
        crossed = call.ending in (Ending.CLOSED, Ending.RESET) and not call.first_on_connection
        if crossed:
            connection = await self._connect(node)
            call = await self._send(request, node, connection, is_resend=True)
        if connection:
            self._keep_alive_if_answered(node, connection, call)

    async def _disconnect_early(self, node: int) -> None:
        """Closes or resets the connection after a random time if no answer has arrived by then."""
        request = self._draw_request(node)
        connection = await self._idle_or_new_connection(node)
        call = self._record_call(request, node)
        if connection is None:
            end_call(call, Ending.REFUSED)
            return
        done = connection.register_request(call, request)
        await connection.send(request.encode())
        call.sent_at = time.monotonic()
        await asyncio.wait([done], timeout=min(request.timeout, self.rng.expovariate(20)))
        if call.ending is Ending.NO_ANSWER:
            end_call(call, Ending.CLIENT_CLOSED)
            self._close_or_reset(connection)
        else:
            self._keep_alive(node, connection)

    async def _send_pipelined(self, node: int) -> None:
        """Sends several requests on one connection without waiting for answers."""
        requests = [self._draw_request(node) for _ in range(self.rng.choice((2, 3, 5, 14)))]
        for request in requests:
            request.body = request.body[:MAX_PIPELINED_BODY]
        connection = await self._connect(node)
        calls = [self._record_call(request, node) for request in requests]
        if connection is None:
            for call in calls:
                end_call(call, Ending.REFUSED)
            return
        done = [
            connection.register_request(call, request) for call, request in zip(calls, requests, strict=True)
        ]
        await connection.send(b"".join(request.encode() for request in requests))
        for call in calls:
            call.sent_at = time.monotonic()
        longest = max(request.timeout for request in requests) * len(requests) + LATE_ANSWER_WAIT
        await asyncio.wait(done, timeout=min(longest, MAX_PIPELINE_WAIT))
        connection.pending.clear()
        connection.transport.close()

    async def _send_slowly(self, node: int) -> None:
        """Sends a request in pieces, over up to 1.5 s."""
        request = self._draw_request(node)
        connection = await self._idle_or_new_connection(node)
        call = self._record_call(request, node)
        if connection is None:
            end_call(call, Ending.REFUSED)
            return
        data = request.encode()
        done = connection.register_request(call, request)
        cuts = sorted(self.rng.sample(range(1, len(data)), min(4, len(data) - 1)))
        for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
            await connection.send(data[start:end])
            if end < len(data):
                await asyncio.sleep(self.rng.uniform(0, 0.35))
        call.sent_at = time.monotonic()
        await self._wait_for_end(call, done, connection)
        self._keep_alive_if_answered(node, connection, call)

    async def _stop_in_head(self, node: int) -> None:
        data = self._draw_request(node).encode()
        connection = await self._connect(node)
        await self._run_bad_peer("stops in head", node, connection, data[: self.rng.randrange(1, 60)])

    async def _stop_in_body(self, node: int) -> None:
        request = self._draw_request(node)
        request.request_class = WITH_KEY
        request.body = bytes(9_000)
        request.chunked = False
        connection = await self._connect(node)
        data = request.encode()[: -self.rng.randrange(1, 8_000)]
        await self._run_bad_peer("stops in body", node, connection, data)

    async def _send_nothing(self, node: int) -> None:
        await self._run_bad_peer("silent", node, await self._connect(node), b"")

    async def _send_invalid(self, node: int) -> None:
        data = self.rng.choice(INVALID_REQUESTS)
        await self._run_bad_peer("nonsense", node, await self._connect(node), data)

    async def _run_bad_peer(
        self, kind: str, node: int, connection: ClientConnection | None, data: bytes
    ) -> None:
        """Sends incomplete or invalid `data`, and records whether an error or a close follows."""
        if connection is None:
            return
        peer = BadPeer(kind, node, time.monotonic(), BAD_PEER_CLOSE_LIMIT)
        self.bad_peers.append(peer)
        await connection.send(data)
        answered = asyncio.get_running_loop().create_task(_wait_for_answer_or_close(connection))
        await asyncio.wait([answered], timeout=BAD_PEER_LIFETIME)
        if answered.done():
            peer.ended_at = time.monotonic()
        answered.cancel()
        connection.transport.close()

    async def _cross_idle_close(self, node: int) -> None:
        """Sends a request at about the time at which the ingress closes the idle connection."""
        request = self._draw_request(node)
        connection = await self._connect(node)
        call = await self._send(request, node, connection)
        if connection is None or call.ending is not Ending.ANSWERED:
            return
        await asyncio.sleep(self.rng.uniform(*IDLE_CLOSE_WINDOW))
        if connection.transport.is_closing():
            return
        request = self._draw_request(node)
        call = await self._send(request, node, connection)
        if call.ending in (Ending.CLOSED, Ending.RESET):
            connection = await self._connect(node)
            await self._send(request, node, connection, is_resend=True)
        if connection:
            connection.transport.close()


async def _wait_for_answer_or_close(connection: ClientConnection) -> None:
    while not connection.answer_begun and not connection.closed.done():
        await asyncio.sleep(0.01)


class Host:
    """The clients as a worker's host; its public methods are called from the run's process."""

    async def start(self, seed: int, ports: list[int]) -> None:
        """Creates the clients of the nodes that listen at `ports`."""
        self._clients = Clients(seed, ports)

    async def begin(self, rate: float, seconds: float) -> None:
        """Starts `rate` clients a second for `seconds`, without waiting for their end."""
        self._running = asyncio.get_running_loop().create_task(self._clients.run(rate, seconds))

    async def crowd(self, node: int, count: int, seconds: float) -> None:
        """Opens `count` connections to a node that send nothing, and closes them after `seconds`."""
        self._clients.start(self._clients.open_idle_connections(node, count, seconds))

    def leave(self, node: int) -> None:
        """Closes the connections of all clients that wait for an answer of a node."""
        self._clients.disconnect_waiting(node)

    async def result(self) -> dict[str, Any]:
        """Returns the records and the longest delay as JSON values, once all clients have ended."""
        await self._running
        return {
            "calls": msgspec.to_builtins(self._clients.calls),
            "bad_peers": msgspec.to_builtins(self._clients.bad_peers),
            "lag": self._clients.lag,
        }
