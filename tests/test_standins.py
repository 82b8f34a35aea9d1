"""The stand-ins for discovery, the counter and backends follow the documented protocols."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest

from ingress_testbed.model import entry
from ingress_testbed.standins import counter as counter_module
from ingress_testbed.standins import discovery as discovery_module
from ingress_testbed.standins.backend import BackendServer
from ingress_testbed.standins.counter import CounterServer
from ingress_testbed.standins.discovery import DiscoveryServer
from tests.support.standins import serving

HOST = "127.0.0.1"


class Caller:
    """One connection to a stand-in."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer

    async def request(self, data: bytes, until: bytes) -> bytes:
        self.writer.write(data)
        return await self.until(until)

    async def until(self, end: bytes) -> bytes:
        async with asyncio.timeout(5):
            return await self.reader.readuntil(end)


async def connect(server: Any, host: str = HOST) -> Caller:
    return Caller(*await asyncio.open_connection(host, server.port))


def watch_request(version: int) -> bytes:
    return b"GET /discovery/hosts?watch=1&from=%d HTTP/1.1\r\nHost: d\r\n\r\n" % version


async def next_list(caller: Caller) -> Any:
    """Returns the next chunk that is not a heartbeat."""
    while True:
        size = int(await caller.until(b"\r\n"), 16)
        data = (await caller.until(b"\r\n"))[:-2] if size else b""
        if data.strip():
            assert len(data) == size and data.endswith(b"\n") and data.count(b"\n") == 1
            return json.loads(data)


async def test_discovery_sends_a_snapshot_and_a_watch_sends_each_change_after_its_version() -> None:
    async with serving(DiscoveryServer([entry(n, 80) for n in range(3)])) as discovery:
        caller = await connect(discovery)
        head = await caller.request(b"GET /discovery/hosts HTTP/1.1\r\nHost: d\r\n\r\n", b"\r\n\r\n")
        length = int(head.partition(b"Content-Length: ")[2].split()[0])
        listing = json.loads(await caller.reader.readexactly(length))
        assert listing["snapshot"] and listing["index"] == 1
        assert listing["endpoints"] == [entry(n, 80) for n in range(3)]
        discovery.apply_change([entry(1, 80, "draining")])
        assert b"chunked" in await caller.request(watch_request(1), b"\r\n\r\n")
        line = await next_list(caller)
        assert (line["index"], line["snapshot"]) == (2, False)
        assert [e["status"] for e in line["endpoints"]] == ["draining"]
        discovery.apply_change([{"name": entry(2, 80)["name"], "status": "removed"}])
        assert (await next_list(caller))["index"] == 3 and len(discovery.entries) == 2


@pytest.mark.parametrize("version", [99, -1])
async def test_a_watch_from_an_unknown_version_begins_with_a_snapshot(
    version: int,
) -> None:
    async with serving(DiscoveryServer([entry(0, 80)], version=5)) as discovery:
        caller = await connect(discovery)
        await caller.request(watch_request(version), b"\r\n\r\n")
        line = await next_list(caller)
        assert line["snapshot"] and line["index"] == 5


async def test_a_watch_gets_heartbeats_but_nothing_while_discovery_is_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(discovery_module, "HEARTBEAT_INTERVAL", 0.02)
    async with serving(DiscoveryServer([entry(0, 80)])) as discovery:
        caller = await connect(discovery)
        await caller.request(watch_request(1), b"\r\n\r\n")
        assert await caller.until(b"1\r\n\n\r\n1\r\n\n\r\n") == b"1\r\n\n\r\n1\r\n\n\r\n"
        discovery.fall_silent()
        discovery.apply_change([entry(0, 80, "draining")])
        await asyncio.sleep(0.1)
        other = await connect(discovery)
        other.writer.write(watch_request(1))
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await other.reader.read(1)
        discovery.resume()
        assert (await next_list(caller))["index"] == 2


async def test_discovery_rejects_calls_beyond_its_capacity() -> None:
    async with serving(DiscoveryServer([entry(0, 80)], capacity=0.001)) as discovery:
        discovery._allowance = 1.0
        callers = [await connect(discovery) for _ in range(3)]
        answers = [(await each.request(watch_request(1), b"\r\n\r\n")).split(b" ")[1] for each in callers]
        assert answers == [b"200", b"503", b"503"] and discovery.rejected_calls == 2


async def test_the_counter_adds_by_name_until_the_name_expires() -> None:
    async with serving(CounterServer(partitions=3)) as counter:
        caller = await connect(counter)
        calls = b"add a 2.5 60\r\nadd b 1 60000\r\nadd a -0.5 60000\r\nping\r\nadd a 1\r\nadd c 1e10 5\r\n"
        answers = await caller.request(calls, b"error\r\nerror\r\n")
        assert answers == b"ok 2.5\r\nok 1\r\nok 2\r\npong\r\nerror\r\nerror\r\n"
        await asyncio.sleep(0.08)
        # `a` has expired and starts again at 0.
        assert await caller.request(b"add a 1 1000\r\nadd b 0 1\r\n", b"ok 1\r\nok 1\r\n")
        assert (counter.add_count, counter.ping_count) == (5, 1)


async def test_a_counter_at_capacity_answers_in_order_and_rejects_calls_that_would_queue_too_long() -> None:
    async with serving(CounterServer(capacity=50.0, max_queue_time=0.05)) as counter:
        loop, caller = asyncio.get_running_loop(), await connect(counter)
        began = loop.time()  # the clock that the stand-in uses, with a resolution of 1 ms
        answers = await caller.request(b"add n 1 1000\r\n" * 5 + b"ping\r\n", b"pong\r\n")
        assert answers == b"ok 1\r\nok 2\r\n" + b"busy\r\n" * 3 + b"pong\r\n"
        assert round(loop.time() - began, 6) >= 0.04


async def test_the_counter_resets_the_33rd_connection_of_an_address_and_closes_idle_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(counter_module, "IDLE_TIMEOUT", 0.5)
    async with serving(CounterServer()) as counter:
        callers = [await connect(counter) for _ in range(32)]
        assert await callers[31].request(b"ping\r\n", b"pong\r\n")
        # The limit holds for a pair of addresses: the counter takes this connection for another ingress's.
        other = await connect(counter, "127.3.3.3")
        assert await other.request(b"ping\r\n", b"pong\r\n")
        excess = await connect(counter)
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await excess.request(b"ping\r\n", b"pong\r\n")
        async with asyncio.timeout(5):
            assert await callers[0].reader.read() == b""


async def test_many_backends_share_a_socket_and_each_counts_its_own_connections() -> None:
    async with serving(BackendServer(work=0.05, max_in_flight=1)) as backends:
        request = b"GET /read/x HTTP/1.1\r\nRequest-Id: a\r\n\r\n"
        hosts = ("127.1.0.1", "127.9.9.9", "127.1.0.1")
        first, other, second = [await connect(backends, host) for host in hosts]
        for caller in (first, other):
            caller.writer.write(request)
        await asyncio.sleep(0.02)
        assert b"Not-Started: 1" in await second.request(request, b"\r\n\r\n")
        for caller in (first, other):
            assert (await caller.until(b"warm")).startswith(b"HTTP/1.1 200 ")
        assert (await second.request(b"GET /x HTTP/1.1\r\n\r\n", b"\r\n\r\n")).startswith(b"HTTP/1.1 404 ")
        assert (backends.served, backends.opened, backends.open_by_address["127.1.0.1"]) == (2, 3, 2)
