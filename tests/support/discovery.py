"""A fake discovery service with scripted responses, and a watch that records the lists it receives."""

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
    """Returns an endpoint list as JSON has it; `status` gives the status of each endpoint by its name."""
    endpoints = [{"name": name, "address": f"{HOST}:1", "status": value} for name, value in status.items()]
    return {"index": version, "snapshot": is_snapshot, "endpoints": endpoints}


def list_line(document: dict[str, Any], indent: int | None = None) -> bytes:
    """Encodes a document as a watch sends it: one line, or several with `indent`."""
    return json.dumps(document, indent=indent).encode() + b"\n"


def chunk(data: bytes) -> bytes:
    """Encodes one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def snapshot_answer(data: bytes) -> bytes:
    """Returns the complete response to a request for the list, with the body `data`."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(data), data)


def endpoint_fields(number: int, status: str = "up", since_ms: int = 0) -> dict[str, Any]:
    """Returns endpoint `number` of a long list as JSON has it."""
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
    """Decodes an endpoint list from entries as JSON has them."""
    return decode_endpoint_list({"index": version, "snapshot": is_snapshot, "endpoints": list(entries)})


class DiscoveryAgent(PeerServer):
    """Sends the next of `replies` for each call, and nothing after the last; None resets the connection."""

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
    """An open watch and the lists that it has received."""

    def __init__(self, agent: PeerServer, version: int | None, fleet_size: int = LARGE_FLEET) -> None:
        self.lists: list[EndpointList] = []
        self._changed = asyncio.Event()
        self.watch = DiscoveryWatch((HOST, agent.port), version, self._record, fleet_size)
        self.watch.start()

    def _record(self, received: EndpointList) -> None:
        self.lists.append(received)
        self._changed.set()

    async def wait_for_lists(self, count: int) -> list[tuple[int, bool, list[str]]]:
        """Waits for `count` lists; returns version, is_snapshot and entries (name=status) of all so far."""
        async with asyncio.timeout(10):
            while len(self.lists) < count:
                self._changed.clear()
                await self._changed.wait()
        return [
            (each.version, each.is_snapshot, [f"{e.name}={STATUS_BY_STATE[e.state]}" for e in each.entries])
            for each in self.lists
        ]
