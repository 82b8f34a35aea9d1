"""Connections that are established just as their connect timeout expires."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import pytest

from quota_ingress.net.counter import client as counter_module
from quota_ingress.net.counter import connection as connection_module
from quota_ingress.net.counter.client import CounterClient
from quota_ingress.net.counter.connection import CounterConnection
from quota_ingress.net.discovery import watch as discovery_module
from quota_ingress.net.discovery import watch_connection
from quota_ingress.net.discovery.watch import DiscoveryWatch
from quota_ingress.net.discovery.watch_connection import WatchConnection
from tests.net_helpers import HOST, PeerServer

CONNECT_TIMEOUT_S = 0.05


def delay_first_connection(monkeypatch: pytest.MonkeyPatch, kind: type[Any]) -> list[Any]:
    """Delays the first connection of class `kind` until its timeout expires, as in a process that was not
    scheduled. Returns a list to which all connections are added."""
    connections, original = list[Any](), kind.connection_made

    def connection_made(self: Any, transport: asyncio.BaseTransport) -> None:
        connections.append(self)
        original(self, transport)
        if len(connections) == 1:
            time.sleep(CONNECT_TIMEOUT_S * 1.5)

    monkeypatch.setattr(kind, "connection_made", connection_made)
    return connections


def record_callback_errors() -> list[dict[str, Any]]:
    """Returns a list to which the errors of event loop callbacks are added."""
    recorded: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: recorded.append(context))
    return recorded


async def test_a_counter_connection_that_times_out_once_established_leaves_no_timer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A ping timer left running would write to the closed connection."""
    monkeypatch.setattr(counter_module, "CONNECT_TIMEOUT", CONNECT_TIMEOUT_S)
    monkeypatch.setattr(connection_module, "PING_INTERVAL", 0.1)
    monkeypatch.setattr(counter_module, "MAX_CONNECTIONS", 1)
    connections, callback_errors = (
        delay_first_connection(monkeypatch, CounterConnection),
        record_callback_errors(),
    )
    server = await PeerServer(lambda peer: peer.transport.write(b"pong\r\n")).start()
    counter = CounterClient((HOST, server.port), 30_000, 24)
    counter.start()
    async with asyncio.timeout(5):
        while len(connections) < 2:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.4)
    assert not callback_errors and connections[0].closed.is_set()
    counter.stop()
    server.stop()


async def test_a_watch_that_times_out_once_established_leaves_no_timer(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """A heartbeat timer left running would report discovery as silent while another watch is open."""
    monkeypatch.setattr(discovery_module, "CONNECT_TIMEOUT", CONNECT_TIMEOUT_S)
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT", 0.3)
    connections, callback_errors = (
        delay_first_connection(monkeypatch, WatchConnection),
        record_callback_errors(),
    )

    def send_heartbeat(peer: Any) -> None:
        peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")

    server = await PeerServer(send_heartbeat).start()
    discovery = DiscoveryWatch((HOST, server.port), 4, lambda listing: None)
    discovery.start()
    async with asyncio.timeout(5):
        while len(connections) < 2:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    for _ in range(4):  # the second watch keeps getting heartbeats
        server.peers[-1].transport.write(b"1\r\n\n\r\n")
        await asyncio.sleep(0.1)
    assert not callback_errors and connections[0].closed.is_set() and len(connections) == 2
    assert "silent" not in caplog.text
    discovery.stop()
    server.stop()
