"""Listening sockets on loopback only, and base classes of the stand-ins' servers and connections."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from typing import cast

BACKLOG = 4096  # connections
LOOPBACK_DEVICE = b"lo\0"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, for 0 s


def bind_all_loopback_addresses() -> socket.socket:
    """Returns a socket bound to a free port of every loopback address (127.0.0.0/8), on no other device."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, LOOPBACK_DEVICE)
    sock.bind(("0.0.0.0", 0))
    return sock


def reset(transport: asyncio.Transport) -> None:
    """Resets the connection and discards unread and unsent data."""
    if not transport.is_closing():
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        transport.abort()


class Connection(asyncio.Protocol):
    """A connection to a stand-in.

    Attributes:
        transport: The connection's transport, once it is established.
    """

    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass


class Server:
    """A stand-in's listener.

    Attributes:
        port: The port that it listens on; 0 before it is started.
    """

    port: int = 0
    _server: asyncio.Server | None = None
    _timer: asyncio.TimerHandle | None = None

    async def serve(self, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        """Listens at every loopback address."""
        sock = bind_all_loopback_addresses()
        self.port = sock.getsockname()[1]
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(make_protocol, sock=sock, backlog=BACKLOG)

    def every(self, seconds: float, run: Callable[[], None]) -> None:
        """Calls `run` now and then every `seconds` until `end`; a stand-in may have one such task."""
        run()
        self._timer = asyncio.get_running_loop().call_later(seconds, self.every, seconds, run)

    def end(self, connections: Iterable[Connection]) -> None:
        """Stops listening, and aborts `connections`."""
        if self._server:
            self._server.close()
        if self._timer:
            self._timer.cancel()
        for connection in list(connections):
            connection.transport.abort()
