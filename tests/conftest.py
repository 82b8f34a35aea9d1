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
from tests.support.streaming import IngressAndBackend
from tests.support.upstream import PooledBackend

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"  # one test a line: its node id | cause, issue
MAX_KNOWN_RED = 3


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


def known_red() -> dict[str, str]:
    """Returns the cause and issue of each listed test by its id."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {
        test.strip(): cause.strip() for test, _, cause in (line.partition(" | ") for line in lines if line)
    }


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected failures.

    A listed test that passes fails the run, so that a fix removes its entry from the list.
    """
    listed = known_red()
    if len(listed) > MAX_KNOWN_RED:
        raise pytest.UsageError(f"KNOWN-RED.txt lists {len(listed)} tests: {MAX_KNOWN_RED} at most")
    for item in items:
        if item.nodeid in listed:
            item.add_marker(pytest.mark.xfail(reason=listed[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for test, cause in known_red().items():
        terminalreporter.write_line(f"known red: {test}: {cause}")
