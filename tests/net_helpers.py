"""Settings as an ingress receives them, and an ingress and its peers on loopback."""

from __future__ import annotations

import asyncio
import json
import socket
from collections.abc import Callable
from typing import Any

from quota_ingress.net.clock import Clock
from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_codec import decode_endpoint, decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.downstream.listener import Listener
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.upstream.client import UpstreamClient
from quota_ingress.policy.actions import Action, Fail, SendAttempt
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.events import AttemptEnded, Event, RequestArrived
from quota_ingress.settings_codec import settings_from_json

HOST = "127.0.0.1"
RAW: dict[str, Any] = {
    "me": 0,
    "fleet_size": 4,
    "period": 1000,
    "failure_domains": ["hall"],
    "flavors": ["big"],
    "services": [
        {"name": "read", "on_time": 2_000_000, "deadline": 4_000_000, "semantics": "retryable"},
        {"name": "order", "on_time": 2_000_000, "deadline": 4_000_000, "semantics": "fragile"},
        {
            "name": "save",
            "on_time": 2_000_000,
            "deadline": 4_000_000,
            "semantics": "dedup",
            "memory_span": 5_000_000,
        },
    ],
    "contracts": [{"name": "gold", "quota_rate": 5.0, "burst": 10.0}],
    "ceilings": {
        "max_attempts": 2,
        "cancel": True,
        "connect_timeout": 250_000,
        "retry_after": True,
        "conn_idle": 10_000_000,
        "max_retry_after": 500_000,
        "max_open": 100,
    },
    "safety": {
        "answer_slack": 8000,
        "drain_grace": 250_000,
        "cold_share": 0.2,
        "ramp_time": 10_000_000,
        "tip_multiple": 2.0,
        "fall": 1_000_000,
    },
    "telemetry": {"fields": ["pending"], "via": "inline"},
    "domain": {"may_count": True, "count_wait": 30_000, "units_top": 4},
}
SETTINGS = settings_from_json(json.dumps(RAW).encode())


def entry(name: str, port: int, status: str = "up", since_ms: int = 0) -> EndpointEntry:
    return decode_endpoint(
        {"name": name, "address": f"{HOST}:{port}", "status": status, "since_ms": since_ms}
    )


def single_endpoint_list(
    port: int, status: str = "up", index: int = 1, is_snapshot: bool = True
) -> EndpointList:
    entry = {"name": "s-1", "address": f"{HOST}:{port}", "status": status, "zone": "hall", "type": "big"}
    return decode_endpoint_list({"index": index, "snapshot": is_snapshot, "endpoints": [entry]})


class Script:
    """A scripted policy: `rule` returns the actions for an event; all events are recorded."""

    def __init__(self, rule: Callable[[Event], list[Action]] = lambda event: []) -> None:
        self.rule = rule
        self.events: list[Event] = []
        self.changed = asyncio.Event()

    def handle(self, now: int, event: Event) -> list[Action]:
        self.events.append(event)
        self.changed.set()
        return self.rule(event)

    def events_of_type(self, event_type: type) -> list[Any]:
        return [e for e in self.events if isinstance(e, event_type)]

    async def wait_for_events(self, event_type: type, count: int = 1) -> list[Any]:
        async with asyncio.timeout(10):
            while len(self.events_of_type(event_type)) < count:
                self.changed.clear()
                await self.changed.wait()
        return self.events_of_type(event_type)


def overrides_of_own_directory(
    now: Callable[[], int], observe: Callable[[EndpointList], None] = lambda endpoints: None
) -> OperatorOverrides:
    """Returns overrides without an engine.

    The lists that they publish are applied to a directory and then passed to `observe`.
    """
    directory = EndpointDirectory()

    def publish(endpoints: EndpointList, kind: ListKind | None) -> None:
        directory.apply(endpoints)
        observe(endpoints)

    return OperatorOverrides(now, publish, directory)


def send_first(event: Event) -> list[Action]:
    """Sends every request to backend 1, and fails the request if that attempt does not serve it."""
    if isinstance(event, RequestArrived):
        return [SendAttempt(event.request, 1, 0)]
    if isinstance(event, AttemptEnded) and not event.request_ended:
        return [Fail(event.request)]
    return []


class Peer(asyncio.Protocol):
    """The server side of one connection: `data` holds the bytes received and not yet consumed."""

    def __init__(self, server: PeerServer) -> None:
        self.server, self.data = server, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport
        self.server.peers.append(self)
        self.server.changed.set()

    def data_received(self, data: bytes) -> None:
        self.data += data
        self.server.changed.set()
        self.server.on_data(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.server.closed.append(self)
        self.server.changed.set()


class PeerServer:
    """A fake backend, counter or discovery service on loopback; `on_data` runs after each read."""

    def __init__(self, on_data: Callable[[Peer], None] = lambda peer: None) -> None:
        self.on_data = on_data
        self.peers: list[Peer] = []
        self.closed: list[Peer] = []
        self.watched: list[bytes] = []  # watch requests; filled by the test's `on_data`
        self.added: list[bytes] = []  # calls to the counter; filled likewise
        self.changed = asyncio.Event()
        self.port = 0

    async def start(self) -> PeerServer:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: Peer(self), HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def limit_receive_buffers(self, size: int) -> None:
        """Sets the kernel's receive buffer of the connections that are accepted from now on."""
        for sock in self._server.sockets:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                self.changed.clear()
                await self.changed.wait()

    def stop(self) -> None:
        self._server.close()
        for peer in self.peers:
            peer.transport.abort()


def respond_with(reply: bytes) -> Callable[[Peer], None]:
    """Returns a callback that sends `reply` for each complete request; requests must have no body."""

    def on_data(peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            _, _, peer.data = peer.data.partition(b"\r\n\r\n")
            peer.transport.write(reply)

    return on_data


OK = b"HTTP/1.1 200 OK\r\nServer-Load: queue=3\r\nContent-Length: 4\r\n\r\nwarm"


class Ingress:
    """An ingress with a scripted policy, without discovery and the counter."""

    def __init__(self, script: Script, descriptor_limit: int = 1024) -> None:
        clock, self.sockets, self.script = Clock(), DescriptorBudget(descriptor_limit), script
        settings_index, loop = SettingsIndex(SETTINGS, RAW), asyncio.get_running_loop()
        limits = SETTINGS.limits
        self.backends = UpstreamClient(
            self.sockets.backends, RAW["ceilings"]["conn_idle"], limits.connect_timeout
        )
        self.engine = Engine(script, SETTINGS, settings_index, self.backends, loop, clock.now)
        self.listener = Listener(self.engine, self.sockets, clock.now)

    async def start(self) -> int:
        self.port = await self.listener.listen(HOST, 0)
        return self.port

    def stop(self) -> None:
        self.listener.stop_listening()
        self.backends.stop()
        for connection in list(self.listener.connections):
            connection.transport.abort()

    async def fetch(self, request: bytes) -> bytes:
        """Sends `request` on a new connection and returns the complete response."""
        reader, writer = await asyncio.open_connection(HOST, self.port)
        try:
            writer.write(request)
            return await read_response(reader)
        finally:
            writer.close()


async def read_response(reader: asyncio.StreamReader) -> bytes:
    async with asyncio.timeout(10):
        head = await reader.readuntil(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        return head + await reader.readexactly(length)


def request(request_id: str = "a1", cls: str = "read", timeout: str = "3000m", **other_headers: str) -> bytes:
    headers = {
        "Host": "app.svc",
        "Request-Id": request_id,
        "X-Plan": "gold",
        "Cookie": f"customer={7:016x}",
        "Request-Timeout": timeout,
        "X-Quota": "units=2,spread=1,first=0",
    }
    headers |= {name.replace("_", "-"): value for name, value in other_headers.items()}
    method = "GET" if cls == "read" else "POST"
    headers |= {} if method == "GET" else {"Content-Length": "0"}
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items() if value != "-")
    return f"{method} /{cls}/x?y=1 HTTP/1.1\r\n{lines}\r\n".encode()


def received_request_ids(backend: PeerServer) -> list[bytes]:
    """Returns the first two bytes of each request id received, by connection in order of opening."""
    return [part[:2] for peer in backend.peers for part in peer.data.split(b"Request-Id: ")[1:]]


async def read_statuses(reader: asyncio.StreamReader, count: int) -> list[bytes]:
    """Returns the statuses of the next `count` responses, or of fewer if the connection ends first."""
    async with asyncio.timeout(5):
        data = await reader.read(100_000)
        while data.count(b"HTTP/1.1 ") < count and (more := await reader.read(100_000)):
            data += more
    return [part[:3] for part in data.split(b"HTTP/1.1 ")[1:]]
