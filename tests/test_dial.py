"""A connection that comes up in the moment in which its time to come up is over."""

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

LIMIT = 0.05  # s for a connection to come up


def late_once(monkeypatch: pytest.MonkeyPatch, kind: type[Any]) -> list[Any]:
    """The first connection of that kind is up only as its time is over, as where the process is held up; all
    that are made are noted."""
    made, real = list[Any](), kind.connection_made

    def connection_made(self: Any, transport: asyncio.BaseTransport) -> None:
        made.append(self)
        real(self, transport)
        if len(made) == 1:
            time.sleep(LIMIT * 1.5)

    monkeypatch.setattr(kind, "connection_made", connection_made)
    return made


def errors() -> list[dict[str, Any]]:
    """What callbacks of the loop raise from now on."""
    found: list[dict[str, Any]] = []
    asyncio.get_running_loop().set_exception_handler(lambda loop, context: found.append(context))
    return found


async def test_a_counter_connection_that_times_out_as_it_comes_up_leaves_no_timer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its beat went on, and wrote to what had been closed."""
    monkeypatch.setattr(counter_module, "CONNECT_TIMEOUT", LIMIT)
    monkeypatch.setattr(connection_module, "PING_INTERVAL", 0.1)
    monkeypatch.setattr(counter_module, "MAX_CONNECTIONS", 1)
    made, raised = late_once(monkeypatch, CounterConnection), errors()
    server = await PeerServer(lambda peer: peer.transport.write(b"pong\r\n")).start()
    counter = CounterClient((HOST, server.port), 30_000, 24)
    counter.start()
    async with asyncio.timeout(5):
        while len(made) < 2:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.4)
    assert not raised and made[0].closed.is_set()
    counter.stop()
    server.stop()


async def test_a_watch_that_times_out_as_it_comes_up_leaves_no_timer(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """It told later on that discovery was silent, while another watch was open."""
    monkeypatch.setattr(discovery_module, "CONNECT_TIMEOUT", LIMIT)
    monkeypatch.setattr(watch_connection, "HEARTBEAT_TIMEOUT", 0.3)
    made, raised = late_once(monkeypatch, WatchConnection), errors()

    def beat(peer: Any) -> None:
        peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")

    server = await PeerServer(beat).start()
    discovery = DiscoveryWatch((HOST, server.port), 4, lambda listing: None)
    discovery.start()
    async with asyncio.timeout(5):
        while len(made) < 2:
            await asyncio.sleep(0.01)
    await asyncio.sleep(0.2)
    for _ in range(4):  # the second watch goes on being answered
        server.peers[-1].transport.write(b"1\r\n\n\r\n")
        await asyncio.sleep(0.1)
    assert not raised and made[0].closed.is_set() and len(made) == 2
    assert "silent" not in caplog.text
    discovery.stop()
    server.stop()
