"""Upgrades between real processes that share one listening socket, and failures during an upgrade."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
import time
from pathlib import Path

import pytest

from ingress_testbed.faults import Faults, SystemCall, build
from ingress_testbed.soak.nodes import free_port
from quota_ingress.config import load_config
from quota_ingress.net.discovery.endpoint_codec import decode_endpoint
from quota_ingress.net.discovery.packed_entry import pack_entry
from quota_ingress.net.lifecycle.ingress import Ingress
from quota_ingress.net.lifecycle.upgrade import SOCKET_NAME, UpgradeCoordinator
from quota_ingress.policy.events import RequestArrived
from quota_ingress.policy.lease import counter_name
from tests.net_helpers import (
    HOST,
    OK,
    RAW,
    Peer,
    PeerServer,
    read_response,
    request,
    respond_with,
)
from tests.process_helpers import SharedListener, config_document, fetch, kill, stop_orderly
from tests.support.upgrade import RecordingParticipant

UP = b"GET /up HTTP/1.1\r\nHost: a\r\n\r\n"

REQUEST_TIME_US = 20_000_000  # so that a request outlasts the start of another process on a slow machine
LONG_DEADLINE_SETTINGS = RAW | {
    "services": [
        service | {"on_time": REQUEST_TIME_US, "deadline": REQUEST_TIME_US} for service in RAW["services"]
    ]
}


@pytest.mark.parametrize("call", [SystemCall.SOCKET, SystemCall.BIND, SystemCall.LISTEN, SystemCall.RENAME])
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.ENFILE], ids=errno.errorcode.get)
async def test_system_calls_that_fail_in_the_shared_directory_only_delay_an_upgrade(
    tmp_path: Path, call: SystemCall, error: int
) -> None:
    """Calls fail as a process starts to listen for a successor: it serves, and is found later."""
    faults = Faults(build(tmp_path), tmp_path / "faults")
    path, directory = tmp_path / "config.json", tmp_path / "shared"
    directory.mkdir()
    path.write_text(json.dumps(config_document()))
    with SharedListener(directory) as shared:
        faults.set(call, error, 1 if call is SystemCall.RENAME else 2)
        serving = await shared.serve(path, **faults.environment())
        faults.clear()
        successor = UpgradeCoordinator(RecordingParticipant(), str(directory))
        async with asyncio.timeout(10):
            while not await successor.find_predecessor():
                await asyncio.sleep(0.05)
        successor.stop()
        await stop_orderly(serving, timeout_seconds=30)
    faults.close()


@pytest.mark.parametrize("step", [3, 3600, -3600])
async def test_a_step_of_the_wall_clock_before_an_upgrade_changes_no_quota_window(
    tmp_path: Path, step: int
) -> None:
    """The new process continues the old one's clock: both count a customer's units under the same name."""
    added: list[tuple[int, float]] = []

    def answer_and_record(peer: Peer) -> None:
        *lines, peer.data = peer.data.split(b"\r\n")
        for line in lines:
            if line.startswith(b"add "):
                added.append((int(line.split()[1], 16), time.time()))
            peer.transport.write(b"ok 1\r\n" if line.startswith(b"add ") else b"pong\r\n")

    server, counter = await PeerServer(respond_with(OK)).start(), await PeerServer(answer_and_record).start()
    faults = Faults(build(tmp_path), tmp_path / "faults")
    path = tmp_path / "config.json"
    listed = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    known = {"index": 1, "snapshot": True, "endpoints": [listed]}
    path.write_text(json.dumps(config_document(known=known, counter=f"{HOST}:{counter.port}")))
    with SharedListener(tmp_path) as shared:
        old = await shared.serve(path, **faults.environment())
        faults.shift_wall_clock(step)
        new = await shared.serve(path, **faults.environment())
        for number in range(12):
            customer = f"customer={number:016x}"
            assert b" 200 " in await fetch(
                shared.port, request(f"r{number}", X_Quota="units=1,spread=2,first=0", Cookie=customer)
            )
        await kill(new, old)
    window = 2  # s: burst over rate of the plan
    expected = {counter_name(n, int(at) // window - d) for n in range(12) for _, at in added for d in (0, 1)}
    assert added and {name for name, _ in added} <= expected
    faults.close()
    server.stop()
    counter.stop()


async def test_a_delta_that_the_old_process_receives_after_sending_its_list_reaches_the_new_one(
    tmp_path: Path,
) -> None:
    """Discovery leaves the new process's watch unanswered, and sends deltas to the old process only."""
    servers = [await PeerServer(respond_with(OK)).start() for _ in range(2)]
    watches: list[Peer] = []

    def answer_first_watch(peer: Peer) -> None:
        if b"\r\n\r\n" in peer.data and not watches:
            watches.append(peer)
            peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n")

    agent = await PeerServer(answer_first_watch).start()
    entries = [
        {"name": f"s-{n}", "address": f"{HOST}:{server.port}", "status": "up"}
        for n, server in enumerate(servers)
    ]
    path, known = tmp_path / "config.json", {"index": 4, "snapshot": True, "endpoints": entries}
    path.write_text(json.dumps(config_document(known=known, discovery=f"{HOST}:{agent.port}")))
    with SharedListener(tmp_path) as shared:
        old = await shared.serve(path)
        # The old process runs until this connection is closed.
        _, idle_writer = await asyncio.open_connection(HOST, shared.port)
        new = await shared.serve(path)
        delta = {"index": 5, "snapshot": False, "endpoints": [entries[0] | {"status": "draining"}]}
        line = json.dumps(delta).encode() + b"\n"
        watches[0].transport.write(b"%x\r\n%b\r\n" % (len(line), line))
        await asyncio.sleep(0.3)  # longer than drain_grace
        for number in range(20):
            assert b" 200 " in await fetch(
                shared.port, request(f"r{number}", Cookie=f"customer={number:016x}")
            )
        idle_writer.close()
        await kill(new, old)
    assert not servers[0].peers and servers[1].peers
    for server in (*servers, agent):
        server.stop()


@pytest.mark.parametrize("delay_s", [0.0, 0.5])
async def test_operators_calls_at_a_start_wait_for_the_predecessors_list_and_bans(
    tmp_path: Path, delay_s: float
) -> None:
    """Without the wait, a call before the predecessor's slow state finds a listed backend unknown, and the
    state undoes the call."""
    state = {"listed": {"index": 1, "count": 1}, "out": [], "back": {}, "gone": [], "drained": False}
    listed = {"name": "a", "address": f"{HOST}:1", "status": "up"}

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.readline():
            await asyncio.sleep(delay_s)
            lines = {"part": {"a": pack_entry(decode_endpoint(listed))}}, {"answer": state}
            writer.write(b"".join(json.dumps({"version": 1} | line).encode() + b"\n" for line in lines))

    server = await asyncio.start_unix_server(answer, tmp_path / SOCKET_NAME)
    path, admin = tmp_path / "config.json", free_port()
    path.write_text(json.dumps(config_document(admin=f"{HOST}:{admin}")))
    with SharedListener(tmp_path) as shared:
        starting = shared.start(path)
        started_at = time.monotonic()
        while True:  # until the process accepts calls
            try:
                status = await operators_call(admin, "POST /control/backends/a/offline")
                break
            except OSError:
                await asyncio.sleep(0.005)
        assert time.monotonic() - started_at < delay_s + 1.5 and status == 200
        assert await operators_call(admin, "POST /control/backends/b/offline") == 404
        assert await operators_call(admin, "POST /control/backends/a/online") == 200
        await kill(starting)
    server.close()


async def operators_call(port: int, line: str) -> int:
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{line} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
    status = int((await read_response(reader)).split(b" ")[1])
    writer.close()
    return status


async def test_a_process_stays_for_a_while_after_the_handover_to_serve_if_its_successor_dies(
    tmp_path: Path,
) -> None:
    """Guards against an old process that ends immediately: none would serve if the successor died early."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document()))
    with SharedListener(tmp_path) as shared:
        old = await shared.serve(path)
        new = await shared.serve(path)
        await asyncio.sleep(0.2)
        await kill(new)
        assert (await fetch(shared.port, UP)).startswith(b"HTTP/1.1 200 ")  # the old process answers
        await kill(old)


async def test_an_upgrade_between_real_processes_loses_no_request(tmp_path: Path) -> None:
    """The old process answers the request that it accepted and ends; the new one serves the others."""
    server = await PeerServer().start()
    endpoints = [
        {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"},
        {"name": "s-2", "address": f"{HOST}:1", "status": "up"},
    ]
    path = tmp_path / "config.json"
    known = {"index": 1, "snapshot": True, "endpoints": endpoints}
    path.write_text(json.dumps(config_document(known=known, settings=LONG_DEADLINE_SETTINGS)))
    old_admin, new_admin = free_port(), free_port()
    shared = SharedListener(tmp_path)

    old = await shared.serve(path, EDGE_ADMIN=f"{HOST}:{old_admin}")
    assert await operators_call(old_admin, "POST /control/backends/s-2/offline") == 200
    reader, writer = await asyncio.open_connection(HOST, shared.port)
    writer.write(request("old", "order", timeout=f"{REQUEST_TIME_US // 1000}m"))
    await server.wait_until(lambda: bool(server.peers) and b"\r\n\r\n" in server.peers[0].data)
    new = await shared.serve(path, EDGE_ADMIN=f"{HOST}:{new_admin}")
    assert await operators_call(new_admin, "GET /control/ready") == 200
    server.on_data = respond_with(OK)
    for number in range(4):  # s-2 is banned and would refuse them; the old process accepts none
        answer = await fetch(shared.port, request(f"new{number}", "order", Cookie=f"customer={number:016x}"))
        assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" not in answer
    server.on_data(server.peers[0])
    answer = await read_response(reader)
    assert answer.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in answer
    writer.close()
    _, errors = await asyncio.to_thread(old.communicate, timeout=60)  # ends once it has no request left
    assert old.returncode == 0 and "Traceback" not in errors
    assert await operators_call(new_admin, "POST /control/backends/s-2/online") == 200
    assert (await fetch(shared.port, UP)).startswith(b"HTTP/1.1 200 ")
    await stop_orderly(new)
    os.fstat(shared.socket.fileno())
    with socket.create_connection((HOST, shared.port)):  # still listening: the platform holds the socket
        pass
    shared.socket.close()
    server.stop()


async def test_an_id_that_the_other_process_has_accepted_is_a_duplicate(tmp_path: Path) -> None:
    """Guards against running a request twice: its client had left the old process and came to the new one."""
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document(counter=None)))
    with SharedListener(tmp_path) as shared:
        old = await shared.serve(path)
        _, writer = await asyncio.open_connection(HOST, shared.port)
        writer.write(request("r1"))
        kept_reader, kept_writer = await asyncio.open_connection(HOST, shared.port)
        kept_writer.write(UP)
        assert (await read_response(kept_reader)).startswith(b"HTTP/1.1 200 ")
        writer.close()
        new = await shared.serve(path)
        assert (await fetch(shared.port, request("r1"))).startswith(b"HTTP/1.1 409 ")
        kept_writer.write(request("r2"))  # still at the old process
        assert not (await read_response(kept_reader)).startswith(b"HTTP/1.1 409 ")
        kept_writer.close()
        assert (await fetch(shared.port, request("r2"))).startswith(b"HTTP/1.1 409 ")
        await kill(old, new)


async def test_the_new_process_restores_the_leases_and_uses_half_of_the_descriptors(tmp_path: Path) -> None:
    """Both ingresses run in this process, so that their state can be inspected."""
    shared = SharedListener(tmp_path)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document(counter=None)))
    old = Ingress(load_config(str(path), shared.environment))
    new = Ingress(load_config(str(path), shared.environment))
    full_limit = old.listener.hard_limit
    await old.start()
    old.engine.post(RequestArrived(1, 0, 0, 7, 1.0, 3_000_000))
    await new.start()
    assert old.listener.hard_limit < full_limit and new.listener.hard_limit < full_limit
    assert 7 in new.engine._policy.admission.customers  # type: ignore[attr-defined]
    assert not old.ready() and old.listener.handed_over and not new.listener.handed_over
    async with asyncio.timeout(10):
        await old.stopping.wait()  # no request is left
    await old.stop()
    async with asyncio.timeout(10):
        while new.listener.hard_limit < full_limit:
            await asyncio.sleep(0)
    await new.stop()
    shared.socket.close()
