"""Operators' calls over loopback sockets."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from urllib.parse import unquote

import pytest_asyncio
from hypothesis import example, given
from hypothesis import strategies as st

from quota_ingress.net.admin import AdminServer, Status, decode_percent
from tests.net_helpers import (
    HOST,
    read_response,
)


class RecordingControls:
    """Records operators' calls; one endpoint, "s 1", is listed."""

    def __init__(self) -> None:
        self.is_ready = False
        self.drain_calls: list[bool] = []
        self.endpoint_calls: list[tuple[str, str]] = []

    def ready(self) -> bool:
        return self.is_ready

    def take_offline(self, name: str) -> bool:
        self.endpoint_calls.append(("offline", name))
        return name == "s 1"

    def put_online(self, name: str) -> bool:
        self.endpoint_calls.append(("online", name))
        return name == "s 1"

    def drain(self, is_draining: bool) -> None:
        self.drain_calls.append(is_draining)


class Operators:
    """An AdminServer, and operators that call it."""

    def __init__(self) -> None:
        self.controls = RecordingControls()
        self.admin = AdminServer(self.controls, 3)
        self.admin.on_previous_state_applied()
        self.port = 0

    async def call(self, line: str) -> int:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(f"{line} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        answer = await read_response(reader)
        assert b"\r\nConnection: close\r\n" in answer and await reader.read() == b""
        writer.close()
        return int(answer.split(b" ")[1])


@pytest_asyncio.fixture
async def operators() -> AsyncIterator[Operators]:
    operators = Operators()
    operators.port = await operators.admin.listen(HOST, 0)
    yield operators
    operators.admin.stop()


async def test_each_route_carries_out_its_call_and_other_paths_get_404(operators: Operators) -> None:
    controls = operators.controls
    assert await operators.call("GET /control/ready") == 503
    controls.is_ready = True
    assert await operators.call("GET /control/ready") == 200
    assert await operators.call("POST /control/backends/s%201/offline") == 200
    assert await operators.call("POST /control/backends/s%201/online") == 200
    assert await operators.call("POST /control/backends/s-9/offline") == 404
    assert controls.endpoint_calls == [("offline", "s 1"), ("online", "s 1"), ("offline", "s-9")]
    assert await operators.call("POST /control/out-of-service") == 200
    assert await operators.call("POST /control/in-service") == 200
    assert controls.drain_calls == [True, False]
    for line in ("POST /control/ready", "GET /control/out-of-service", "GET /control/backends/s%201/online"):
        assert await operators.call(line) == 405
    unknown = ["GET /up", "GET /control", "GET /control/ready/", "DELETE /", "POST /x/control/in-service"]
    unknown += ["POST /control/backends//offline", "POST /control/backends/x/gone"]
    for line in unknown:
        assert await operators.call(line) == 404
    assert len(controls.endpoint_calls) == 3 and controls.drain_calls == [True, False]


@given(st.text(st.sampled_from("%aFé\ufffd/0c9Ee2 +-")))
@example("s%20%C3%A9%")
@example("%C3")
@example("%zz%4")
def test_names_are_decoded_as_by_urllib(text: str) -> None:
    assert decode_percent(text) == unquote(text)


async def test_incomplete_calls_do_not_block_further_connections(operators: Operators) -> None:
    incomplete_calls = [await asyncio.open_connection(HOST, operators.port) for _ in range(20)]
    for _, writer in incomplete_calls:
        writer.write(b"GET /control/re")
    operators.controls.is_ready = True
    assert await operators.call("GET /control/ready") == 200
    assert len(operators.admin.connections) <= 3
    for _, writer in incomplete_calls:
        writer.close()


async def test_bytes_that_are_not_http_get_400(operators: Operators) -> None:
    reader, writer = await asyncio.open_connection(HOST, operators.port)
    writer.write(b"nonsense\r\n\r\n")
    assert (await read_response(reader)).startswith(b"HTTP/1.1 400 ")
    writer.close()


async def test_a_call_with_an_unsupported_transfer_coding_gets_501(operators: Operators) -> None:
    """Guards against a framing error code that `Status` lacks: no response, and a traceback in the log."""
    reader, writer = await asyncio.open_connection(HOST, operators.port)
    writer.write(b"POST /control/in-service HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n")
    assert (await read_response(reader)).startswith(b"HTTP/1.1 501 Not Implemented\r\n")
    writer.close()


def test_each_status_has_its_reason_phrase() -> None:
    assert {status.value: status.reason for status in Status} == {
        200: "OK",
        400: "Bad Request",
        404: "Not Found",
        405: "Method Not Allowed",
        408: "Request Timeout",
        413: "Content Too Large",
        431: "Request Header Fields Too Large",
        501: "Not Implemented",
        503: "Service Unavailable",
    }
