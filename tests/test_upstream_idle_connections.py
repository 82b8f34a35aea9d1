"""How many idle connections to a backend are kept."""

from __future__ import annotations

import asyncio

import pytest

from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.upstream.client import UpstreamClient
from quota_ingress.policy.events import Outcome
from tests.net_helpers import OK, PeerServer, answers, entry


@pytest.mark.parametrize(("size", "kept"), [(4, 3), (48, 1)])
async def test_a_large_fleet_keeps_fewer_idle_connections_to_a_backend(size: int, kept: int) -> None:
    backend = await PeerServer(answers(OK)).start()
    backends = UpstreamClient(DescriptorBudget(1024).backends, 10_000_000, 250_000, fleet_size=size)
    backends.register_endpoint(entry("s-1", backend.port), 1)
    asked: list[asyncio.Future[AttemptResult]] = []
    for _ in range(3):
        asked.append(asyncio.get_running_loop().create_future())
        backends.send(1, b"GET /read HTTP/1.1\r\nHost: a\r\n\r\n", asked[-1].set_result)
    assert [(await each).outcome for each in asked] == [Outcome.OK] * 3
    assert len(backends._pools[1].idle) == kept
    backends.stop()
    backend.stop()
