"""An ingress in front of one backend, and helpers for long bodies."""

from __future__ import annotations

import asyncio

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.http import MemoryBudget
from tests.net_helpers import (
    HOST,
    Ingress,
    Peer,
    PeerServer,
    Script,
    request,
    send_first,
)

MEGABYTE = bytes(range(256)) * 4096


KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class IngressAndBackend:
    """An ingress in front of one backend that sends nothing unless the test sets `server.on_data`."""

    def __init__(self) -> None:
        self.server, self.ingress = PeerServer(), Ingress(Script(send_first))

    async def start(self) -> None:
        await self.server.start()
        await self.ingress.start()
        endpoint = {"name": "s-1", "address": f"{HOST}:{self.server.port}", "status": "up"}
        self.ingress.engine.update_endpoints(
            decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": [endpoint]})
        )

    async def connect(self, data: bytes) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection(HOST, self.ingress.port)
        writer.write(data)
        return reader, writer

    async def wait_for_data(self, expected: bytes = b"\r\n\r\n") -> Peer:
        await self.server.wait_until(
            lambda: bool(self.server.peers) and expected in self.server.peers[-1].data
        )
        return self.server.peers[-1]

    @property
    def memory_budget(self) -> MemoryBudget:
        return self.ingress.listener.memory_budget


def save(framing: str, **other_headers: str) -> bytes:
    head = request(cls="save", Idempotency_Key=KEY, **other_headers)
    return head.replace(b"Content-Length: 0", framing.encode())


async def read_chunked(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        assert await reader.readexactly(2) == b"\r\n"
    assert await reader.readline() == b"\r\n"
    return body
