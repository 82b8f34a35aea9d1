"""Input that waits to be parsed, in turns, so that a client that sends much at once delays no other."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import threading

import pytest

from quota_ingress.net.downstream.client_input import PART_BYTES
from quota_ingress.net.downstream.connection import ClientConnection
from quota_ingress.net.downstream.input_queue import InputQueue, UnparsedInput
from quota_ingress.net.downstream.pipeline import MAX_PIPELINED_REQUESTS
from quota_ingress.net.http import MemoryBudget
from quota_ingress.net.http.memory_budget import READ_BYTES
from quota_ingress.net.http.message_reader import MESSAGE_OVERHEAD_BYTES, MessageReader
from tests.net_helpers import HOST, Ingress, PeerServer, read_response, request
from tests.support.streaming import save

HEALTH_CHECK = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
INVALID_REQUEST = b"GET / HTTP/1.1\r\n\r\n"


def send_much(port: int, head: bytes, data: bytes, stop: threading.Event) -> None:
    """Sends `data` over and over, and drops what is received, on a new connection when one ends."""
    while not stop.is_set():
        with contextlib.suppress(OSError), socket.create_connection((HOST, port)) as flooding:
            flooding.setblocking(False)
            send_until_closed(flooding, head, data, stop)


def send_until_closed(flooding: socket.socket, head: bytes, data: bytes, stop: threading.Event) -> None:
    unsent = head
    while not stop.is_set():
        unsent = unsent or data * (READ_BYTES // len(data))
        readable, writable, _ = select.select([flooding], [flooding], [], 0.1)
        if writable:
            unsent = unsent[flooding.send(unsent) :]
        if readable and not flooding.recv(READ_BYTES):
            return


@pytest.mark.parametrize("data", [HEALTH_CHECK, INVALID_REQUEST, request(X_Plan="tin"), b"1\r\nx\r\n"])
async def test_a_client_that_sends_much_at_once_delays_no_other(
    ingress: Ingress, monkeypatch: pytest.MonkeyPatch, data: bytes
) -> None:
    """Guards against parsing all that was read at once: other clients got their answers up to 2.8 s late."""
    parsed = 0
    feed = MessageReader.feed

    def count(message_reader: MessageReader, part: bytes) -> None:
        nonlocal parsed
        parsed += len(part)
        feed(message_reader, part)

    monkeypatch.setattr(MessageReader, "feed", count)
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    head = save("Transfer-Encoding: chunked") if data.startswith(b"1") else b""
    stop = threading.Event()
    flood = threading.Thread(target=send_much, args=(ingress.port, head, data, stop))
    flood.start()
    try:
        async with asyncio.timeout(10):
            while parsed < 4 * READ_BYTES:
                await asyncio.sleep(0.001)
        before = parsed
        writer.write(HEALTH_CHECK)
        assert (await read_response(reader)).startswith(b"HTTP/1.1 200 ")
        assert parsed - before < READ_BYTES // 2
    finally:
        stop.set()
        flood.join()
    writer.close()


async def test_small_requests_behind_an_open_one_stay_unparsed(ingress: Ingress, backend: PeerServer) -> None:
    """Guards against the memory of parsed messages, 80 times their bytes: 121 MB were in use of 80."""
    _, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0") + 20_000 * INVALID_REQUEST)
    await backend.wait_until(lambda: bool(backend.peers) and b"\r\n\r\n" in backend.peers[0].data)
    for _ in range(200):
        await asyncio.sleep(0)
    (connection,) = ingress.listener.connections
    assert isinstance(connection, ClientConnection)
    waiting = len(connection._pipeline.waiting)
    assert waiting <= MAX_PIPELINED_REQUESTS + PART_BYTES // len(INVALID_REQUEST) + 1
    held = sum(message.body.held for message in connection._pipeline.waiting)
    assert ingress.listener.memory_budget.used <= READ_BYTES + held + MESSAGE_OVERHEAD_BYTES + len(
        request("r0")
    )
    writer.close()


async def test_one_connection_has_its_turn_in_each_cycle() -> None:
    turns: list[str] = []

    class Owner:
        def __init__(self, name: str, count: int) -> None:
            self.name, self.left = name, count

        def parse_input(self) -> None:
            turns.append(self.name)
            self.left -= 1
            if self.left:
                queue.add(self)

    queue, first, second = InputQueue(), Owner("a", 3), Owner("b", 1)
    for owner in (first, second, first):  # a connection waits for one turn at a time
        queue.add(owner)
    for cycle in range(1, 5):
        await asyncio.sleep(0)
        assert len(turns) == cycle
    assert turns == ["a", "b", "a", "a"]


def test_unparsed_input_counts_as_memory_until_it_is_taken_or_dropped() -> None:
    budget = MemoryBudget()
    unparsed = UnparsedInput(budget)
    unparsed.append(b"012345")
    assert unparsed.take(2) == b"01" and len(unparsed) == budget.used == 4
    unparsed.append(b"67")
    assert unparsed.take(10) == b"234567" and budget.used == 0 and not unparsed
    unparsed.append(b"89")
    unparsed.clear()
    assert budget.used == 0 and unparsed.take(1) == b""
