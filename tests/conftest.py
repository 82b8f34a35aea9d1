"""Shared fixtures, uvloop as the event loop as in the ingress, and the expected failures in KNOWN-RED.txt."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Mapping
from pathlib import Path

import pytest
import pytest_asyncio
import uvloop

from quota_ingress.net.upstream import pool as upstream_pool
from tests.net_helpers import OK, Ingress, PeerServer, Script, respond_with, send_first, single_endpoint_list
from tests.support.known_red import KnownFailure, KnownRedError, check_tests_exist, mark, parse
from tests.support.streaming import IngressAndBackend
from tests.support.upstream import PooledBackend

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"


def pytest_asyncio_loop_factories(
    config: pytest.Config, item: pytest.Item
) -> Mapping[str, Callable[[], asyncio.AbstractEventLoop]]:
    return {"uvloop": uvloop.new_event_loop}


@pytest.fixture
def no_reuse_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets connections to backends be reused immediately after a response."""
    monkeypatch.setattr(upstream_pool, "REUSE_DELAY_S", 0.0)


@pytest_asyncio.fixture
async def backend() -> AsyncIterator[PeerServer]:
    """A backend that sends nothing unless the test sets `on_data`."""
    server = await PeerServer().start()
    yield server
    server.stop()


@pytest_asyncio.fixture
async def server() -> AsyncIterator[PeerServer]:
    """A counter or discovery service that sends nothing unless the test sets `on_data`."""
    server = await PeerServer().start()
    yield server
    server.stop()


@pytest.fixture
def waits(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Replaces asyncio.sleep and records the delays (s); sleeps return after one cycle of the event loop."""
    delays: list[float] = []
    sleep = asyncio.sleep

    async def record(delay: float) -> None:
        delays.append(delay)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", record)
    return delays


@pytest_asyncio.fixture
async def ingress(backend: PeerServer) -> AsyncIterator[Ingress]:
    """An ingress whose policy sends every request to `backend`."""
    ingress = Ingress(Script(send_first))
    await ingress.start()
    ingress.engine.update_endpoints(single_endpoint_list(backend.port))
    yield ingress
    ingress.stop()


@pytest.fixture
def backend_answers(backend: PeerServer) -> None:
    """Makes the backend answer each request with 200."""
    backend.on_data = respond_with(OK)


@pytest_asyncio.fixture
async def pair() -> AsyncIterator[IngressAndBackend]:
    """An ingress and one backend that sends nothing unless the test sets `on_data`."""
    pair = IngressAndBackend()
    await pair.start()
    yield pair
    pair.ingress.stop()
    pair.server.stop()


@pytest_asyncio.fixture
async def pooled() -> AsyncIterator[PooledBackend]:
    """The connection pools and one backend that answers each request with 200."""
    server = await PeerServer(respond_with(OK)).start()
    pooled = PooledBackend(server)
    yield pooled
    pooled.backends.stop()
    server.stop()


def known_failures() -> list[KnownFailure]:
    """Returns the entries of KNOWN-RED.txt, which exists only while it lists something."""
    try:
        return parse(KNOWN_RED.read_text() if KNOWN_RED.exists() else "")
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures. A run of the whole suite has to contain all of them."""
    failures = known_failures()
    if config.args == config.getini("testpaths"):
        try:
            check_tests_exist(failures, {item.nodeid for item in items})
        except KnownRedError as error:
            raise pytest.UsageError(str(error)) from None
    mark(items, failures)


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for failure in known_failures():
        terminalreporter.write_line(
            f"known red: {failure.subject}: {failure.frequency.value}: {failure.description}"
        )
