"""The real connection pools with one backend."""

from __future__ import annotations

import asyncio

from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.upstream.client import UpstreamClient
from quota_ingress.policy.events import Outcome
from tests.net_helpers import PeerServer, entry

REQUEST = b"GET /read HTTP/1.1\r\nHost: a\r\n\r\n"


class PooledBackend:
    """The connection pools of an UpstreamClient with one registered backend."""

    def __init__(self, server: PeerServer, idle_us: int = 10_000_000) -> None:
        self.server, self.sockets = server, DescriptorBudget(1024).backends
        self.backends = UpstreamClient(self.sockets, idle_us, 250_000)
        self.register()

    def register(self, status: str = "up", port: int = 0, since_ms: int = 0) -> None:
        self.backends.register_endpoint(entry("s-1", port or self.server.port, status, since_ms), 1)
        self.backends.reconcile([1] if status == "removed" else [])

    def send(self, data: bytes = REQUEST) -> asyncio.Future[AttemptResult]:
        result: asyncio.Future[AttemptResult] = asyncio.get_running_loop().create_future()
        self.exchange = self.backends.send(1, data, result.set_result)
        return result

    async def outcome(self) -> Outcome:
        async with asyncio.timeout(10):
            return (await self.send()).outcome
