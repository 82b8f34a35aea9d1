"""Requests that come as a connection is about to end: each that is read gets its answer."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import AsyncIterator

import pytest_asyncio

from tests.net_helpers import HOST, OK, Ingress, PeerServer, answers, request


@pytest_asyncio.fixture
async def backend() -> AsyncIterator[PeerServer]:
    server = await PeerServer(answers(OK)).start()
    yield server
    server.stop()


async def statuses(reader: asyncio.StreamReader, count: int) -> list[bytes]:
    """Of so many answers, in their order; fewer if the connection ends before."""
    async with asyncio.timeout(5):
        data = await reader.read(100_000)
        while data.count(b"HTTP/1.1 ") < count and (more := await reader.read(100_000)):
            data += more
    return [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]


async def test_over_the_clients_share_all_that_has_come_is_answered(ingress: Ingress) -> None:
    ingress.listener.descriptors.limit = 0
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0") + request("r1") + request("r2"))
    assert await statuses(reader, 3) == [b"503"] * 3
    assert await reader.read() == b"" and ingress.engine.event_log.violations == 0
    writer.close()


async def test_requests_read_together_as_the_process_ends_are_all_answered(ingress: Ingress) -> None:
    """The first one was refused at once, with a close, before the second was looked at."""
    ingress.listener.begin_shutdown()
    ingress.engine.fail_all()
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0") + request("r1"))
    assert await statuses(reader, 2) == [b"429"] * 2
    assert await reader.read() == b"" and ingress.engine.event_log.violations == 0
    writer.close()


async def test_a_sound_request_behind_an_unsound_one_is_answered(ingress: Ingress) -> None:
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0", X_Plan="tin") + request("r1"))
    assert await statuses(reader, 2) == [b"400", b"200"]
    writer.close()


async def test_a_request_unread_in_the_moment_of_the_last_answer_is_answered(
    ingress: Ingress, backend: PeerServer
) -> None:
    """It was left unread, and the close over it reset the connection."""
    backend.heard = lambda peer: None
    reader, writer = await asyncio.open_connection(HOST, ingress.port)
    writer.write(request("r0"))
    await backend.until(lambda: any(b"r0" in peer.data for peer in backend.peers))
    ingress.listener.begin_shutdown()
    (connection,) = ingress.listener.connections
    serve = connection.respond

    def crossed(answer: object) -> None:
        os.write(writer.get_extra_info("socket").fileno(), request("r1"))
        time.sleep(0.02)  # it is in our socket by now
        connection.respond = serve  # type: ignore[method-assign]
        serve(answer)  # type: ignore[arg-type]

    connection.respond = crossed  # type: ignore[method-assign, assignment]
    backend.heard = answers(OK)
    backend.peers[0].transport.write(OK)
    assert await statuses(reader, 2) == [b"200"] * 2
    assert await reader.read() == b""
    writer.close()


async def test_a_connection_that_has_just_come_up_makes_room_last(ingress: Ingress) -> None:
    """Its first request is on its way: one that rests between requests goes before it."""
    resting = await asyncio.open_connection(HOST, ingress.port)
    resting[1].write(request("r0"))
    assert await statuses(resting[0], 1) == [b"200"]
    fresh = await asyncio.open_connection(HOST, ingress.port)
    async with asyncio.timeout(5):
        while not ingress.listener.stages.awaiting_first_request:
            await asyncio.sleep(0)
    assert ingress.listener._evict()
    assert await resting[0].read() == b""
    fresh[1].write(request("r1"))
    assert await statuses(fresh[0], 1) == [b"200"]
    for _, writer in (resting, fresh):
        writer.close()
