"""Operators' calls over loopback sockets; maintenance and the drain without any."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from quota_ingress.net.admin import AdminServer
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.downstream import listener as listener_module
from quota_ingress.policy.actions import AddToCounter, SendAttempt
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import AttemptEnded, CounterAnswered, Outcome, RequestArrived
from quota_ingress.policy.gateway import Gateway
from tests.net_helpers import (
    HOST,
    OK,
    SETTINGS,
    Ingress,
    PeerServer,
    Script,
    answers,
    overrides_of_own_directory,
    read_answer,
    request,
    send_first,
)


class Asked:
    """Controls that only note what they are asked for."""

    def __init__(self) -> None:
        self.is_ready, self.drained = False, list[bool]()
        self.named: list[tuple[str, str]] = []

    def ready(self) -> bool:
        return self.is_ready

    def take_offline(self, name: str) -> bool:
        self.named.append(("offline", name))
        return name == "s 1"

    def put_online(self, name: str) -> bool:
        self.named.append(("online", name))
        return name == "s 1"

    def drain(self, is_draining: bool) -> None:
        self.drained.append(is_draining)


class Operators:
    def __init__(self) -> None:
        self.controls = Asked()
        self.admin = AdminServer(self.controls, 3)
        self.admin.on_list_known()

    async def call(self, line: str) -> int:
        reader, writer = await asyncio.open_connection(HOST, self.port)
        writer.write(f"{line} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        answer = await read_answer(reader)
        assert b"\r\nConnection: close\r\n" in answer and await reader.read() == b""
        writer.close()
        return int(answer.split(b" ")[1])


@pytest_asyncio.fixture
async def operators() -> AsyncIterator[Operators]:
    operators = Operators()
    operators.port = await operators.admin.listen(HOST, 0)
    yield operators
    operators.admin.stop()


async def test_each_call_does_what_it_says_and_nothing_else_is_one(operators: Operators) -> None:
    asked = operators.controls
    assert await operators.call("GET /control/ready") == 503
    asked.is_ready = True
    assert await operators.call("GET /control/ready") == 200
    assert await operators.call("POST /control/backends/s%201/offline") == 200
    assert await operators.call("POST /control/backends/s%201/online") == 200
    assert await operators.call("POST /control/backends/s-9/offline") == 404
    assert asked.named == [("offline", "s 1"), ("online", "s 1"), ("offline", "s-9")]
    assert await operators.call("POST /control/out-of-service") == 200
    assert await operators.call("POST /control/in-service") == 200
    assert asked.drained == [True, False]
    for line in ("POST /control/ready", "GET /control/out-of-service", "GET /control/backends/s%201/online"):
        assert await operators.call(line) == 405
    unknown = ["GET /up", "GET /control", "GET /control/ready/", "DELETE /", "POST /x/control/in-service"]
    unknown += ["POST /control/backends//offline", "POST /control/backends/x/gone"]
    for line in unknown:
        assert await operators.call(line) == 404
    assert len(asked.named) == 3 and asked.drained == [True, False]


async def test_callers_that_hold_on_shut_nobody_out(operators: Operators) -> None:
    held = [await asyncio.open_connection(HOST, operators.port) for _ in range(20)]
    for _, writer in held:
        writer.write(b"GET /control/re")
    operators.controls.is_ready = True
    assert await operators.call("GET /control/ready") == 200
    assert len(operators.admin.connections) <= 3
    for _, writer in held:
        writer.close()


async def test_what_is_no_call_gets_an_error(operators: Operators) -> None:
    reader, writer = await asyncio.open_connection(HOST, operators.port)
    writer.write(b"nonsense\r\n\r\n")
    assert (await read_answer(reader)).startswith(b"HTTP/1.1 400 ")
    writer.close()


class Told:
    """Maintenance between a pretended discovery and the engine."""

    def __init__(self) -> None:
        self.time, self.heard = 5_000_000, list[EndpointList]()
        self.maintenance = overrides_of_own_directory(lambda: self.time, self.heard.append)

    def list(self, *entries: dict[str, object], whole: bool = True) -> None:
        named = [{"address": f"{HOST}:1", "status": "up"} | e for e in entries]
        self.maintenance.apply_list(EndpointList({"index": 4, "snapshot": whole, "endpoints": named}))

    @property
    def last(self) -> dict[str, tuple[str, int]]:
        return {e.name: (e.status, e.started_us) for e in self.heard[-1].entries}


def test_a_backend_taken_out_is_told_as_draining_whatever_discovery_says() -> None:
    told = Told()
    told.list({"name": "a"}, {"name": "b"})
    assert told.maintenance.take_offline("a") and told.maintenance.take_offline("a")
    assert len(told.heard) == 2 and not told.heard[-1].is_snapshot and told.last == {"a": ("draining", 0)}
    told.list({"name": "a"}, {"name": "b"})
    assert told.last == {"a": ("draining", 0), "b": ("up", 0)}
    told.list({"name": "a", "since_ms": 4000}, whole=False)  # it was restarted meanwhile
    assert told.last == {"a": ("draining", 4_000_000)}
    told.list({"name": "a", "status": "removed"}, whole=False)
    assert told.last["a"][0] == "removed"
    told.list({"name": "a"}, whole=False)
    assert told.last["a"][0] == "draining"


def test_a_backend_put_back_is_cold_whatever_the_list_says() -> None:
    told = Told()
    told.list({"name": "a"})
    told.maintenance.take_offline("a")
    told.maintenance.take_offline("a")
    told.time = 9_000_000
    assert told.maintenance.put_online("a")  # one call back ends it
    assert told.last == {"a": ("up", 9_000_000)}
    told.list({"name": "a"})
    assert told.last == {"a": ("up", 9_000_000)}
    told.list({"name": "a", "since_ms": 12_000}, whole=False)
    assert told.last == {"a": ("up", 12_000_000)}
    count = len(told.heard)
    told.time = 20_000_000
    assert told.maintenance.put_online("a") and len(told.heard) == count  # it was not out: nothing changes


def test_a_backend_never_listed_is_owed_a_no_and_one_removed_is_not() -> None:
    told = Told()
    told.list({"name": "a"}, {"name": "b"})
    assert not told.maintenance.take_offline("c") and not told.maintenance.put_online("c")
    told.list({"name": "b", "status": "removed"}, whole=False)
    assert told.maintenance.take_offline("b") and len(told.heard) == 2


async def test_a_drain_says_no_closes_after_answers_and_is_undone(monkeypatch: pytest.MonkeyPatch) -> None:
    up = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
    server = await PeerServer(answers(OK)).start()
    ingress = Ingress(Script(send_first))
    await ingress.start()
    box = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    ingress.engine.update_endpoints(EndpointList({"index": 1, "snapshot": True, "endpoints": [box]}))
    idle, idle_writer = await asyncio.open_connection(HOST, ingress.port)
    idle_writer.write(up)
    assert (await read_answer(idle)).startswith(b"HTTP/1.1 200 ")
    busy, busy_writer = await asyncio.open_connection(HOST, ingress.port)
    server.heard = lambda peer: None
    busy_writer.write(request("r1") + request("r2"))
    await ingress.script.seen(RequestArrived)
    monkeypatch.setattr(listener_module, "QUIET", 0.0)
    monkeypatch.setattr(listener_module, "KEPT", 1000.0)
    ingress.listener.drain(True)
    async with asyncio.timeout(10):
        assert await idle.read() == b""  # long before an idle connection is closed otherwise
    assert (await ingress.ask(up)).startswith(b"HTTP/1.1 503 ")
    server.heard = answers(OK)
    await server.until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    server.heard(server.peers[0])
    first, second = await read_answer(busy), await read_answer(busy)
    assert first.startswith(b"HTTP/1.1 200 ") and second.startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" in second and await busy.read() == b""
    late = await ingress.ask(request("late"))  # what comes all the same is served
    assert late.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in late
    ingress.listener.drain(False)
    assert (await ingress.ask(up)).startswith(b"HTTP/1.1 200 ")
    assert b"Connection: close" not in await ingress.ask(request("r3"))
    for writer in (idle_writer, busy_writer):
        writer.close()
    ingress.stop()
    server.stop()


async def test_a_process_that_has_handed_over_does_not_take_the_ingress_out_of_service() -> None:
    up = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"
    ingress = Ingress(Script(send_first))
    await ingress.start()
    open_ones = [await asyncio.open_connection(HOST, ingress.port) for _ in range(3)]
    while len(ingress.listener.connections) < 3:
        await asyncio.sleep(0)
    ends = []
    listener = ingress.listener
    for state in (listener.hand_over, lambda: listener.drain(True), listener.begin_stop):
        state()
        reader, writer = open_ones[len(ends)]
        writer.write(up)
        answer = await read_answer(reader)
        assert b"Connection: close" in answer
        ends.append(answer.split(b" ")[1])
        ingress.listener.drain(False)
        writer.close()
    assert ends == [b"200", b"503", b"200"]
    ingress.stop()


async def test_a_backend_taken_out_gets_nothing_and_put_back_gets_requests_again() -> None:
    """Through the real module: an ordinary drain, then an ordinary cold start."""
    gateway, time = Gateway(SETTINGS, 1), [1_000_000_000]
    boxes: dict[str, int] = {"a": 1, "b": 2}

    def tell(listing: EndpointList) -> None:
        states = {"up": EndpointState.READY, "draining": EndpointState.DRAINING}
        told = [
            ListedEndpoint(boxes[e.name], states[e.status], 0, 0, 0, 1.0, e.started_us)
            for e in listing.entries
        ]
        way = ListKind.FULL if listing.is_snapshot else ListKind.DELTA
        gateway.handle(time[0], EndpointsListed(way, listing.index, tuple(told)))

    maintenance = overrides_of_own_directory(lambda: time[0], tell)
    up = [{"name": name, "address": f"{HOST}:1", "status": "up"} for name in boxes]
    maintenance.apply_list(EndpointList({"index": 1, "snapshot": True, "endpoints": up}))
    number = 0

    def sends() -> set[int]:
        nonlocal number
        went: set[int] = set()
        for _ in range(60):
            number, time[0] = number + 1, time[0] + 40_000
            arrived = RequestArrived(number, 0, 0, number, 1.0, 3_000_000)
            actions = gateway.handle(time[0], arrived)
            for call in [a for a in actions if isinstance(a, AddToCounter)]:
                actions += gateway.handle(time[0], CounterAnswered(call.name, Outcome.OK, call.amount, 1))
            for sent in [a for a in actions if isinstance(a, SendAttempt)]:
                went.add(sent.endpoint)
                ended = AttemptEnded(number, 0, sent.endpoint, Outcome.OK, 20_000, True)
                gateway.handle(time[0], ended)
        return went

    assert sends() == {1, 2}
    maintenance.take_offline("a")
    assert sends() == {2}
    maintenance.put_online("a")
    assert sends() == {1, 2}
