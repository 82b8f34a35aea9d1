"""A keyed request is repeated at a box that reads slowly: its last byte arrives after the window of the key."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import (
    HOST,
    SETTINGS,
    Fleet,
    Record,
    content_length,
    endpoint,
    header,
    main,
    request_head,
)

FLEET_SIZE = 3
BOXES = 9
RESETTING = 3  # boxes that reset the connection RESET_AFTER s after they began a request; the others are slow
RESET_AFTER = 0.3  # s
WINDOW = 1.0  # s: memory_span of quote-save; the short days' settings may give a shorter one than the site
SLACK = 0.05 + 0.15  # s: of the rules on sockets, and for an ingress that is held up
UPLOADS = 36
AT_ONCE = 3
BODY_BYTES = 700_000  # of at most 32 MB
READ_BYTES = 20_000  # at a time
READ_BYTES_PER_S = 500_000  # of a slow box; the pages name 64 kB/s
RECEIVE_BUFFER_BYTES = 65_536  # of a box; the kernel doubles it
LONGEST_IN_BOX = (2 * RECEIVE_BUFFER_BYTES + READ_BYTES) / READ_BYTES_PER_S  # s from arrival to reading
TIMEOUT_MS = 5000
MAX_WAIT = 7.0  # s
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Boxes:
    """All quote boxes. Together they drop a repeat of a key for WINDOW s from the begin of its first run."""

    def __init__(self, record: Record, trouble: bool) -> None:
        self.record, self.trouble = record, trouble
        self.runs: dict[str, list[float]] = {}  # by key: when each run began
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> list[dict[str, Any]]:
        endpoints = []
        for number in range(BOXES):
            listening = socket.create_server((HOST, 0))
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            listening.setblocking(False)
            self._tasks.add(asyncio.get_running_loop().create_task(self._accept(number, listening)))
            address = f"{HOST}:{listening.getsockname()[1]}"
            endpoints.append(endpoint(f"s-{number:08x}", address))
        return endpoints

    async def _accept(self, number: int, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(listening)
            task = loop.create_task(self._serve(number, sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, number: int, sock: socket.socket) -> None:
        """Serves one connection; it reads without a buffer of its own, so that the kernel's is the only one."""
        loop = asyncio.get_running_loop()
        resets = self.trouble and number < RESETTING
        try:
            while True:
                data = b""
                while b"\r\n\r\n" not in data:
                    part = await loop.sock_recv(sock, READ_BYTES)
                    if not part:
                        return
                    data += part
                head, _, rest = data.partition(b"\r\n\r\n")
                request_id = header(head, b"request-id").decode()
                self.record(f"box {number} reads the head of {request_id}")
                left = content_length(head) - len(rest)
                if not await self._read_body(sock, left, is_slow=self.trouble and not resets):
                    self.record(f"box {number} drops {request_id}: given up before its last byte was read")
                    return
                self._run(number, request_id, header(head, b"idempotency-key").decode())
                if resets:
                    await asyncio.sleep(RESET_AFTER)
                    self.record(f"box {number} resets the connection under {request_id}")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                    return
                await loop.sock_sendall(sock, b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsaved")
        except OSError:
            pass
        finally:
            sock.close()

    async def _read_body(self, sock: socket.socket, size: int, is_slow: bool) -> bool:
        """Reads `size` bytes. Returns whether all came and the ingress has not ended the connection."""
        loop = asyncio.get_running_loop()
        began_at, left = loop.time(), size
        while left > 0:
            part = await loop.sock_recv(sock, min(left, READ_BYTES))
            if not part:
                return False
            left -= len(part)
            if is_slow:
                await asyncio.sleep(max(0.0, began_at + (size - left) / READ_BYTES_PER_S - loop.time()))
        try:
            return bool(sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True

    def _run(self, number: int, request_id: str, key: str) -> None:
        """Runs a request, unless its last byte arrived while its key was remembered."""
        now = asyncio.get_running_loop().time()
        earlier = self.runs.setdefault(key, [])
        if not earlier:
            self.record(f"box {number} runs {request_id}, {key}")
            earlier.append(now)
            return
        since = now - earlier[-1]
        if since - LONGEST_IN_BOX <= WINDOW + SLACK:
            self.record(f"box {number} drops {request_id}: {key} ran {since:.3f} s ago")
            return
        self.record(f"box {number} runs {request_id}, {key}, again, {since:.3f} s after its first run")
        earlier.append(now)


async def upload(number: int, port: int, record: Record, turn: asyncio.Semaphore) -> None:
    """Sends one `quote-save` and waits for its answer."""
    async with turn:
        request_id = f"{number:016x}"
        reader, writer = await asyncio.open_connection(HOST, port)
        key, length = f"Idempotency-Key: key-{number}", f"Content-Length: {BODY_BYTES}"
        head = request_head("quote-save", request_id, number, TIMEOUT_MS, FLEET_SIZE, key, length)
        record(f"client sends {request_id} to port {port}, once")
        result = "no answer"
        try:
            async with asyncio.timeout(MAX_WAIT):
                writer.write(head + b"q" * BODY_BYTES)
                answer = await reader.readuntil(b"\r\n\r\n")
                result = answer.split(b"\r\n")[0].decode()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        writer.close()
        record(f"client gets for {request_id}: {result}")


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    for service in SETTINGS["services"]:
        if service["name"] == "quote-save":
            service["memory_span"] = int(WINDOW * 1e6)
    boxes = Boxes(record, trouble)
    await fleet.start(await boxes.start(), FLEET_SIZE, {"cores": 0.5, "memory_mb": 96, "sockets": 512})
    turn = asyncio.Semaphore(AT_ONCE)
    numbers = range(1, UPLOADS + 1)
    ports = [fleet.ingresses[number % FLEET_SIZE].port for number in numbers]
    await asyncio.gather(*(upload(n, port, record, turn) for n, port in zip(numbers, ports, strict=True)))
    await asyncio.sleep(1.0)
    twice = {key: times for key, times in boxes.runs.items() if len(times) > 1}
    record(f"{len(boxes.runs)} requests ran, {len(twice)} of them more than once")
    for key, times in twice.items():
        record(f"ran more than once: {key}, {', '.join(f'{t - times[0]:.3f}' for t in times[1:])} s later")
    if not boxes.runs:
        raise RuntimeError("no request ran")
    return not twice


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
