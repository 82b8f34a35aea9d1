"""Listening sockets that only this machine reaches, and a protocol's shared parts."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from typing import cast

BACKLOG = 4096


def everywhere_on_loopback() -> socket.socket:
    """At a free port of every loopback address (127.0.0.0/8) and, bound to that device, of no other."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_BINDTODEVICE, b"lo\0")
    sock.bind(("0.0.0.0", 0))
    return sock


def reset(transport: asyncio.Transport) -> None:
    """Ends the connection by a reset, whatever is unread or unsent."""
    if not transport.is_closing():
        transport.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
        transport.abort()


class Connection(asyncio.Protocol):
    transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass


class Server:
    """A stand-in's listener; `port` is known once started."""

    port: int = 0
    _server: asyncio.Server | None = None
    _timer: asyncio.TimerHandle | None = None

    async def serve(self, made: Callable[[], asyncio.Protocol]) -> None:
        loop, sock = asyncio.get_running_loop(), everywhere_on_loopback()
        self.port = sock.getsockname()[1]
        self._server = await loop.create_server(made, sock=sock, backlog=BACKLOG)

    def every(self, seconds: float, what: Callable[[], None]) -> None:
        """Now, and then each so many seconds until the end. One such task a stand-in."""
        what()
        self._timer = asyncio.get_running_loop().call_later(seconds, self.every, seconds, what)

    def end(self, connections: Iterable[Connection]) -> None:
        """Listens no more, and resets these."""
        if self._server:
            self._server.close()
        if self._timer:
            self._timer.cancel()
        for connection in list(connections):
            connection.transport.abort()
