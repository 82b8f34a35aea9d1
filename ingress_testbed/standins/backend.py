"""Backends: HTTP/1.1 servers on every loopback address at one port; each address is one backend."""

from __future__ import annotations

import asyncio
import math
from collections import Counter

from ingress_testbed.standins.sockets import Connection, Server

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nwarm"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
NOT_STARTED = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
SWEEP_INTERVAL = 1.0  # s


class BackendServer(Server):
    """All backends, distinguished by the address that a connection calls.

    Attributes:
        served: Requests answered with 200.
        opened: Connections accepted so far.
        rejected: Requests rejected as not started.
        open_by_address: Number of open connections, by address.
        max_open: The highest number of connections that one address has had open.
        in_flight_by_address: Number of requests that have not been answered yet, by address.
        connections: Open connections of all addresses.
    """

    def __init__(self, work: float = 0.0, max_in_flight: int = 0, idle_timeout: float = 10.0) -> None:
        """Creates a server that listens once `start` has been called.

        Args:
            work: Seconds from a request's last byte to its answer.
            max_in_flight: Requests that one address serves at a time; 0 for any number.
            idle_timeout: Seconds after which an idle connection is closed.
        """
        self.work = work
        self.max_in_flight = max_in_flight
        self.idle_timeout = idle_timeout
        self.served = 0
        self.opened = 0
        self.rejected = 0
        self.open_by_address: Counter[str] = Counter()
        self.max_open = 0
        self.in_flight_by_address: Counter[str] = Counter()
        self.connections: set[BackendConnection] = set()

    async def start(self) -> None:
        """Starts to listen, and to close idle connections."""
        await self.serve(lambda: BackendConnection(self))
        self.every(SWEEP_INTERVAL, self._close_idle)

    def stop(self) -> None:
        """Stops listening, and aborts all connections."""
        self.end(self.connections)

    def _close_idle(self) -> None:
        oldest = asyncio.get_running_loop().time() - self.idle_timeout
        for connection in list(self.connections):
            if connection.idle_since < oldest:
                connection.transport.close()


class BackendConnection(Connection):
    """A connection to one backend, which serves one request at a time.

    Attributes:
        address: The address of the backend.
        idle_since: Seconds of the loop's clock; infinity while a request is in flight.
    """

    def __init__(self, server: BackendServer) -> None:
        """Updates the counts of `server`."""
        self.address = ""
        self.idle_since = asyncio.get_running_loop().time()
        self._server = server
        self._unread = b""
        self._is_busy = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Counts the connection."""
        super().connection_made(transport)
        server = self._server
        self.address = self.transport.get_extra_info("sockname")[0]
        server.opened += 1
        server.open_by_address[self.address] += 1
        server.max_open = max(server.max_open, server.open_by_address[self.address])
        server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Counts the connection's end."""
        self._server.open_by_address[self.address] -= 1
        self._server.in_flight_by_address[self.address] -= self._is_busy
        self._server.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Handles a request once it is complete."""
        self._unread += data
        head, separator, rest = self._unread.partition(b"\r\n\r\n")
        if not separator or self._is_busy:
            return
        length = _content_length(head)
        if len(rest) >= length:
            self._unread = rest[length:]
            self._handle_request(head)

    def _handle_request(self, head: bytes) -> None:
        server = self._server
        in_flight = server.in_flight_by_address[self.address]
        if head.startswith(b"GET /alive "):
            self.transport.write(OK)
        elif b"\r\nrequest-id:" not in head.lower():
            self.transport.write(NOT_FOUND)
        elif 0 < server.max_in_flight <= in_flight:
            server.rejected += 1
            self.transport.write(NOT_STARTED)
        elif server.work:
            self._is_busy = True
            self.idle_since = math.inf
            server.in_flight_by_address[self.address] += 1
            asyncio.get_running_loop().call_later(server.work, self._finish_work)
        else:
            self._serve()

    def _finish_work(self) -> None:
        if not self.transport.is_closing():
            self._is_busy = False
            self._server.in_flight_by_address[self.address] -= 1
            self._serve()

    def _serve(self) -> None:
        self._server.served += 1
        self.idle_since = asyncio.get_running_loop().time()
        self.transport.write(OK)


def _content_length(head: bytes) -> int:
    _, _, rest = head.lower().partition(b"\r\ncontent-length:")
    value, _, _ = rest.partition(b"\r\n")
    return int(value or 0)
