"""Configurations, starting and stopping of ingress processes, and a fake discovery service and counter."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path
from typing import IO, Any

from tests.net_helpers import HOST, RAW, Peer, read_response

ROOT = Path(__file__).parent.parent
LINE_TIMEOUT_S = 30.0  # as long as a start may take


def start_ingress(
    path: Path, inherited_descriptors: tuple[int, ...] = (), **environment: str
) -> subprocess.Popen[str]:
    """Starts the ingress as the platform does, with the configuration at `path`."""
    inherited_environment = {
        name: value for name, value in os.environ.items() if not name.startswith("EDGE_")
    }
    return subprocess.Popen(
        [sys.executable, "-m", "quota_ingress"],
        cwd=ROOT,
        env=inherited_environment | environment | {"EDGE_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
        pass_fds=inherited_descriptors,
    )


class SharedListener:
    """The clients' listening socket that the platform holds, and the directory that processes share."""

    def __init__(self, directory: Path) -> None:
        self.socket = socket.create_server((HOST, 0))
        self.port: int = self.socket.getsockname()[1]
        self.environment = {"EDGE_LISTEN_FD": str(self.socket.fileno()), "TMPDIR": str(directory)}

    def __enter__(self) -> SharedListener:
        return self

    def __exit__(self, *error: object) -> None:
        self.socket.close()

    def start(self, path: Path, **environment: str) -> subprocess.Popen[str]:
        """Starts a process that shares the socket with those already running."""
        return start_ingress(path, (self.socket.fileno(),), **(self.environment | environment))

    async def serve(self, path: Path, **environment: str) -> subprocess.Popen[str]:
        """Starts a process and returns it once it accepts connections."""
        process = self.start(path, **environment)
        assert await asyncio.to_thread(listening_port, process) == self.port
        return process


async def kill(*processes: subprocess.Popen[str]) -> None:
    """Kills processes and waits until they have ended."""
    for process in processes:
        process.kill()
        await asyncio.to_thread(process.communicate)


async def stop_orderly(process: subprocess.Popen[str], timeout_seconds: float = 60) -> str:
    """Sends SIGTERM, checks that the process exits with status 0, and returns the rest of its log."""
    process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(process.communicate, timeout=timeout_seconds)
    assert process.returncode == 0 and "Traceback" not in errors
    return errors


def wait_for_line(stream: IO[str] | None, process: subprocess.Popen[str], text: str = "") -> str:
    """Returns the next line, or the next one that contains `text`, of the process's output `stream`.

    Kills the process after LINE_TIMEOUT_S: a text that has changed fails the test and does not block it.
    """
    assert stream
    timer = threading.Timer(LINE_TIMEOUT_S, process.kill)
    timer.start()
    try:
        while (line := stream.readline()) and text not in line:
            pass
    finally:
        timer.cancel()
    assert line, f"the process ended, or was killed after {LINE_TIMEOUT_S:.0f} s, without a line {text!r}"
    return line


def listening_port(process: subprocess.Popen[str]) -> int:
    """Waits for the log line that says that the process listens; returns the port for clients."""
    return int(wait_for_line(process.stderr, process, "listening on ").rpartition(":")[2])


def config_document(**changes: Any) -> dict[str, Any]:
    """Returns a configuration without endpoints, whose discovery and counter are unreachable."""
    unreachable = f"{HOST}:1"
    document = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": unreachable,
        "counter": unreachable,
        "seed": "8c1f",
        "limits": {},
        "settings": RAW,
        "known": {"index": 1, "snapshot": True, "endpoints": []},
    }
    return document | changes


def answer_as_discovery(index: int, *backends: dict[str, Any]) -> Callable[[Peer], None]:
    """Returns a callback that serves the full list on request, and to watches from another version."""

    def on_data(peer: Peer) -> None:
        while b"\r\n\r\n" in peer.data:
            head, _, peer.data = peer.data.partition(b"\r\n\r\n")
            body = json.dumps({"index": index, "snapshot": True, "endpoints": backends}).encode()
            if b"watch=1" not in head:
                peer.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                continue
            peer.server.watched.append(head.partition(b" HTTP")[0])
            peer.transport.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            if b"from=%d " % index not in head:
                peer.transport.write(b"%x\r\n%b\n\r\n" % (len(body) + 1, body))
            peer.server.changed.set()

    return on_data


def answer_as_counter(peer: Peer) -> None:
    """Answers every `add` with the total 1 and every other call with pong; records the `add` calls."""
    while b"\r\n" in peer.data:
        call, _, peer.data = peer.data.partition(b"\r\n")
        if call.startswith(b"add "):
            peer.server.added.append(call)
            peer.server.changed.set()
        peer.transport.write(b"ok 1\r\n" if call.startswith(b"add ") else b"pong\r\n")


async def fetch(port: int, data: bytes) -> bytes:
    """Sends one request on a new connection and returns the response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    try:
        return await read_response(reader)
    finally:
        writer.close()
