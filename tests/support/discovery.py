"""A discovery that answers as a test says, and a watch that records what it receives."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from quota_ingress.net.discovery.endpoint_codec import STATUS_BY_STATE, decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.watch import DiscoveryWatch
from tests.net_helpers import HOST, Peer, PeerServer

WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LARGE_FLEET = 200  # ingresses


def list_document(version: int, is_snapshot: bool, **status: str) -> dict[str, Any]:
    """A document of discovery with the endpoints that are named, each with its status."""
    endpoints = [{"name": name, "address": f"{HOST}:1", "status": word} for name, word in status.items()]
    return {"index": version, "snapshot": is_snapshot, "endpoints": endpoints}


def list_line(document: dict[str, Any], indent: int | None = None) -> bytes:
    """The document as a line of a watch, or as several."""
    return json.dumps(document, indent=indent).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    """A chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def snapshot_answer(data: bytes) -> bytes:
    """The whole answer to a call for the list."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)


def endpoint_fields(number: int, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
    """An entry of a long list, as JSON has it."""
    return {
        "name": f"s-{number:08x}",
        "address": f"10.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:7070",
        "status": status,
        "zone": "hall",
        "type": "big",
        "group": number % 50,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def endpoint_list(*entries: dict[str, Any], version: int = 1, is_snapshot: bool = True) -> EndpointList:
    """A list of entries that are given as JSON has them."""
    return decode_endpoint_list({"index": version, "snapshot": is_snapshot, "endpoints": list(entries)})


class DiscoveryAgent(PeerServer):
    """Answers each call by the next of `replies`, then no more. None: the connection is reset."""

    def __init__(self, *replies: bytes | None) -> None:
        super().__init__(self._answer)
        self.replies = list(replies)
        self.calls: list[bytes] = []

    def _answer(self, peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            call, _, peer.data = peer.data.partition(b"\r\n\r\n")
            self.calls.append(call.partition(b" HTTP/1.1")[0])
            reply = self.replies.pop(0) if self.replies else b""
            if reply is None:
                peer.transport.abort()
                return
            peer.transport.write(reply)


class RecordedWatch:
    """A watch that is open, and the lists that it has received."""

    def __init__(self, agent: PeerServer, version: int | None, fleet_size: int = LARGE_FLEET) -> None:
        self.lists: list[EndpointList] = []
        self._changed = asyncio.Event()
        self.watch = DiscoveryWatch((HOST, agent.port), version, self._record, fleet_size)
        self.watch.start()

    def _record(self, received: EndpointList) -> None:
        self.lists.append(received)
        self._changed.set()

    async def received(self, count: int) -> list[tuple[int, bool, list[str]]]:
        """Waits for `count` lists; version, whether it is a snapshot, and entries as name=status, of each."""
        async with asyncio.timeout(10):
            while len(self.lists) < count:
                self._changed.clear()
                await self._changed.wait()
        return [
            (each.version, each.is_snapshot, [f"{e.name}={STATUS_BY_STATE[e.state]}" for e in each.entries])
            for each in self.lists
        ]
