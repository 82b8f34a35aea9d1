"""HTTP/1.1 message forms that are accepted, and forms that are rejected to prevent request smuggling."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.net.downstream.request_parser import encode_forwarded_head
from quota_ingress.net.http import MemoryBudget, RequestReader
from quota_ingress.net.http.message_reader import HEAD_COPIES, MESSAGE_OVERHEAD_BYTES
from quota_ingress.policy.events import RequestArrived
from tests.net_helpers import (
    OK,
    read_response,
    request,
    respond_with,
)
from tests.support.streaming import IngressAndBackend, save


async def test_chunk_extensions_and_trailers_of_a_request_are_not_forwarded(pair: IngressAndBackend) -> None:
    data = b'3;a=b\r\nabc\r\n004;c="d;e"\r\ndefg\r\n0\r\nX-Plan: tin\r\nX-More: y\r\n\r\n'
    reader, writer = await pair.connect(save("Transfer-Encoding: chunked") + data + request("b2"))
    peer = await pair.wait_for_data(b"abcdefg")
    assert b"\r\nContent-Length: 7\r\n" in peer.data and peer.data.endswith(b"\r\n\r\nabcdefg")
    peer.transport.write(OK)
    assert (await read_response(reader)).endswith(b"warm")
    await pair.wait_for_data(b"Request-Id: b2")  # the bytes after the trailer are the next request
    writer.close()


async def test_trailing_whitespace_is_not_part_of_a_field_value(pair: IngressAndBackend) -> None:
    """Guards against treating messages with `Transfer-Encoding: chunked ` as malformed.

    The trailing space made 59 to 87 responses a day fail.
    """
    first, *lines = save("Transfer-Encoding: chunked").split(b"\r\n")[:-2]
    head = b" \t\r\n".join(line for line in lines if b"chunked" not in line)
    head = first + b"\r\nTransfer-Encoding: chunked \r\n" + head + b" \t\r\n\r\n"
    reader, writer = await pair.connect(head + b"4\r\nfour\r\n0\r\n\r\n")
    peer = await pair.wait_for_data(b"four")
    assert b"\r\nRequest-Id: a1\r\n" in peer.data
    peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \r\n\r\n4\r\nwarm\r\n0\r\n\r\n")
    assert (await read_response(reader)).endswith(b"warm")
    writer.close()


async def test_an_expected_100_continue_precedes_the_response(pair: IngressAndBackend) -> None:
    reader, writer = await pair.connect(save("Content-Length: 4", Expect="100-continue"))
    async with asyncio.timeout(10):
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
    writer.write(b"four")
    peer = await pair.wait_for_data(b"four")
    assert b"Expect" not in peer.data
    peer.transport.write(OK)
    assert (await read_response(reader)).startswith(b"HTTP/1.1 200 ")
    writer.close()


async def test_a_rejected_request_gets_no_100_continue(pair: IngressAndBackend) -> None:
    reader, writer = await pair.connect(save("Content-Length: 4", Expect="100-continue", X_Plan="tin"))
    assert (await read_response(reader)).startswith(b"HTTP/1.1 400 ")
    other, other_writer = await pair.connect(save("Content-Length: 4", Expect="a-miracle"))
    assert (await read_response(other)).startswith(b"HTTP/1.1 417 ")
    for client_writer in (writer, other_writer):
        client_writer.close()


async def test_a_response_to_head_has_no_body(pair: IngressAndBackend) -> None:
    reader, writer = await pair.connect(request("h1").replace(b"GET", b"HEAD"))
    peer = await pair.wait_for_data()
    assert peer.data.startswith(b"HEAD /read/x?y=1 HTTP/1.1\r\n")
    peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 500000\r\n\r\n")
    async with asyncio.timeout(10):
        head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ") and b"Content-Length: 500000\r\n" in head
    pair.server.on_data = respond_with(OK)
    writer.write(request("h2"))
    assert (await read_response(reader)).endswith(b"warm")
    assert len(pair.server.peers) == 2  # a connection is not reused after a response to HEAD
    writer.close()


async def test_an_upgrade_request_is_ignored_and_its_body_forwarded(pair: IngressAndBackend) -> None:
    upgrade = {"Connection": "Upgrade", "Upgrade": "h2c"}
    reader, writer = await pair.connect(save("Content-Length: 4", **upgrade) + b"four" + request("b2"))
    peer = await pair.wait_for_data(b"four")
    peer.transport.write(OK)
    assert (await read_response(reader)).endswith(b"warm")
    await pair.wait_for_data(b"Request-Id: b2")
    writer.close()


async def test_the_absolute_form_is_forwarded_as_a_path(pair: IngressAndBackend) -> None:
    _, writer = await pair.connect(request().replace(b"GET /", b"GET http://app.svc/"))
    assert (await pair.wait_for_data()).data.startswith(b"GET /read/x?y=1 HTTP/1.1\r\n")
    writer.close()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (save("Transfer-Encoding: gzip, chunked") + b"0\r\n\r\n", b"501"),
        (save("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked") + b"0\r\n\r\n", b"400"),
        (save("Transfer-Encoding: chunked").replace(b"HTTP/1.1", b"HTTP/1.0") + b"0\r\n\r\n", b"400"),
        (save("Transfer-Encoding: chunked\r\nContent-Length: 5") + b"0\r\n\r\n", b"400"),
        (save("Content-Length: 4\r\nContent-Length: 5") + b"fours", b"400"),
        (save("Content-Length: 4, 4") + b"four", b"400"),
        (save("Content-Length: +4") + b"four", b"400"),
        (save("Transfer-Encoding: chunked") + b"4\r\nfourX\r\n0\r\n\r\n", b"400"),
        (save("Transfer-Encoding: chunked") + b"-4\r\nfour\r\n0\r\n\r\n", b"400"),
        (save("Transfer-Encoding: chunked") + b"0\r\n" + b"T: x\r\n" * 5000 + b"\r\n", b"431"),
    ],
)
async def test_request_smuggling_is_rejected(pair: IngressAndBackend, data: bytes, status: bytes) -> None:
    reader, writer = await pair.connect(data)
    answer = await read_response(reader)
    assert answer.split(b" ")[1] == status and b"Connection: close" in answer
    assert not pair.server.peers and not pair.ingress.script.events_of_type(RequestArrived)
    writer.close()


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("ending", [b"0\r\n\r\n", b""])
async def test_a_body_that_follows_a_get_in_chunks_is_rejected_and_reaches_no_backend(
    pair: IngressAndBackend, method: bytes, ending: bytes
) -> None:
    """Guards against request smuggling: the chunks were forwarded without a length, as a second request."""
    pair.server.on_data = respond_with(OK)
    head = request(Transfer_Encoding="chunked").replace(b"GET", method)
    reader, writer = await pair.connect(head)
    async with asyncio.timeout(10):
        while not pair.ingress.listener.stages.receiving_body:
            await asyncio.sleep(0)
    smuggled = request("b2")
    writer.write(b"%x\r\n%b\r\n%b" % (len(smuggled), smuggled, ending))
    assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 400 ")
    assert not pair.ingress.script.events_of_type(RequestArrived) and not pair.server.peers
    writer.close()


async def test_a_get_whose_chunked_body_is_empty_is_forwarded_without_a_body(pair: IngressAndBackend) -> None:
    pair.server.on_data = respond_with(OK)
    reader, writer = await pair.connect(request(Transfer_Encoding="chunked"))
    writer.write(b"0\r\n\r\n")
    assert (await read_response(reader)).endswith(b"warm")
    writer.close()


def test_a_body_is_framed_whatever_the_method() -> None:
    """Guards against request smuggling, should a check of methods ever miss a body."""
    reader = RequestReader(MemoryBudget())
    reader.feed(b"GET /read HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n")
    (message,) = reader.take_updated()
    assert b"\r\nContent-Length: 2\r\n" in encode_forwarded_head(message, b"a1")


def test_a_reader_keeps_only_the_fields_that_are_used_and_counts_the_head_of_a_request() -> None:
    budget = MemoryBudget()
    reader = RequestReader(budget, {b"host"})
    reader.feed(b"GET /read HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\nMore: b\r\n\r\nhi")
    (message,) = reader.take_updated()
    assert message.headers == {b"host": b"a", b"content-length": b"2"}
    assert budget.used == MESSAGE_OVERHEAD_BYTES + HEAD_COPIES * message.head_bytes + 2
    message.body.release()
    assert budget.used == 0


def test_an_incomplete_head_counts_as_memory_until_it_is_complete_or_the_connection_ends() -> None:
    """Guards against heads in parts that are not counted: 340 of 15 kB held 12 MB."""
    budget = MemoryBudget()
    reader = RequestReader(budget, [b"host"])
    reader.feed(b"GET /read HTTP/1.1\r\nHost: a")
    assert budget.used == reader.incomplete_head_bytes == 27
    reader.feed(b"bc\r\n\r\n")
    (message,) = reader.take_updated()
    message.body.release()
    assert budget.used == reader.incomplete_head_bytes == 0
    reader.feed(b"GET /re")
    assert budget.used == 7
    reader.close()
    assert budget.used == 0
