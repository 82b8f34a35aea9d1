"""Clients that write slowly, stop half way, send very many fields, or read slowly."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
import string
from collections.abc import Awaitable, Callable
from functools import cache

from ingress_testbed.slow_peers.requests import encode_head
from ingress_testbed.slow_peers.scenario import IDEMPOTENT, WITH_KEY

HOST = "127.0.0.1"
RECEIVE_BUFFER_BYTES = 16384
SLOW_BYTES_PER_S = 64_000
PART_INTERVAL_S = 0.05
SHORT_FIELDS = 1800  # in one head: nearly as many as a head of 16 KiB may hold
LONG_FIELD_BYTES = 15_000
REQUESTS_AHEAD = 12
READ_NOTHING_S = 6.0


class SlowClient:
    """One client, which repeats one behaviour until it is cancelled."""

    def __init__(self, port: int, number: int, timeout_s: float) -> None:
        self._port = port
        self._number = number
        self._timeout_s = timeout_s
        self._rng = random.Random(number)
        self._count = 0
        self._socket = socket.socket()

    async def run(self, kind: str) -> None:
        """Repeats the behaviour `kind` on new connections."""
        while True:
            loop = asyncio.get_running_loop()
            self._socket = socket.socket()
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._socket.setblocking(False)
            with contextlib.suppress(OSError), self._socket:
                await loop.sock_connect(self._socket, (HOST, self._port))
                await KINDS[kind](self)
            await asyncio.sleep(self._rng.uniform(0.01, 0.2))

    def _head(self, request_class: str, framing: str = "", fields: str = "") -> bytes:
        self._count += 1
        request_id = f"slow-{self._number}-{self._count}"
        return encode_head(request_class, request_id, self._number, self._timeout_s, framing, fields)

    async def _write(self, data: bytes) -> None:
        await asyncio.get_running_loop().sock_sendall(self._socket, data)

    async def _write_slowly(self, data: bytes) -> None:
        part_bytes = int(SLOW_BYTES_PER_S * PART_INTERVAL_S)
        for offset in range(0, len(data), part_bytes):
            await self._write(data[offset : offset + part_bytes])
            await asyncio.sleep(PART_INTERVAL_S)

    async def _read_to_end(self) -> None:
        while await asyncio.get_running_loop().sock_recv(self._socket, 65536):
            pass

    async def write_body_slowly(self) -> None:
        """Writes a body at SLOW_BYTES_PER_S."""
        size = self._rng.choice((60_000, 300_000))
        await self._write(self._head(WITH_KEY, f"Content-Length: {size}"))
        await self._write_slowly(bytes(size))
        await self._read_to_end()

    async def write_small_chunks(self) -> None:
        """Writes a body in chunks of one byte."""
        await self._write(self._head(WITH_KEY, "Transfer-Encoding: chunked"))
        await self._write_slowly(b"1\r\nx\r\n" * 30_000)
        await self._read_to_end()

    async def stop_in_body(self) -> None:
        """Stops half way through a large body."""
        size = self._rng.choice((65_536, 500_000, 2_000_000))
        await self._write(self._head(WITH_KEY, f"Content-Length: {size}"))
        await self._write(bytes(size - self._rng.choice((4_000, size // 2))))
        await self._read_to_end()

    async def stop_in_head(self) -> None:
        """Stops in a head, behind many fields."""
        await self._write(self._head(IDEMPOTENT, fields=_many_fields())[:-2])
        await self._read_to_end()

    async def send_many_fields(self) -> None:
        """Sends requests ahead whose heads have very many short fields."""
        heads = [self._head(WITH_KEY, "Content-Length: 0", _many_fields()) for _ in range(REQUESTS_AHEAD)]
        await self._write(b"".join(heads))
        await self._read_to_end()

    async def send_many_fields_slowly(self) -> None:
        """Sends such a head slowly, and reads the long answer slowly."""
        await self._write_slowly(self._head(IDEMPOTENT, fields=_many_fields()))
        await self.read_answer_slowly(sends=False)

    async def send_long_fields(self) -> None:
        """Sends requests ahead with a long value in a field that the ingress uses."""
        field = f"Content-Type: {'t' * LONG_FIELD_BYTES}\r\n"
        heads = [self._head(WITH_KEY, "Content-Length: 0", field) for _ in range(REQUESTS_AHEAD)]
        await self._write(b"".join(heads))
        await self._read_to_end()

    async def send_bodies_ahead(self) -> None:
        """Sends several bodies without waiting for answers."""
        for _ in range(REQUESTS_AHEAD):
            await self._write(self._head(WITH_KEY, "Content-Length: 65536") + bytes(65_536))
        await self._read_to_end()

    async def read_answer_slowly(self, sends: bool = True) -> None:
        """Reads a long answer at SLOW_BYTES_PER_S."""
        if sends:
            await self._write(self._head(IDEMPOTENT))
        loop = asyncio.get_running_loop()
        while await loop.sock_recv(self._socket, int(SLOW_BYTES_PER_S * PART_INTERVAL_S)):
            await asyncio.sleep(PART_INTERVAL_S)

    async def read_nothing(self) -> None:
        """Sends requests for long answers ahead, and reads nothing."""
        await self._write(b"".join(self._head(IDEMPOTENT) for _ in range(REQUESTS_AHEAD)))
        await asyncio.sleep(READ_NOTHING_S)


@cache
def _many_fields() -> str:
    names = ("".join(letters) for letters in itertools.product(string.ascii_lowercase, repeat=3))
    return "".join(f"{name}:\r\n" for name in itertools.islice(names, SHORT_FIELDS))


KINDS: dict[str, Callable[[SlowClient], Awaitable[None]]] = {
    method.__name__: method
    for method in (
        SlowClient.write_body_slowly,
        SlowClient.write_small_chunks,
        SlowClient.stop_in_body,
        SlowClient.stop_in_head,
        SlowClient.send_many_fields,
        SlowClient.send_many_fields_slowly,
        SlowClient.send_long_fields,
        SlowClient.send_bodies_ahead,
        SlowClient.read_answer_slowly,
        SlowClient.read_nothing,
    )
}


class Host:
    """The slow clients as a worker's host; its public methods are called from the play's process."""

    def start(self, port: int, seed: int, kinds: list[str], count: int, timeout_s: float) -> None:
        """Starts `count` clients, each with a behaviour drawn from `kinds`."""
        rng = random.Random(seed)
        loop = asyncio.get_running_loop()
        self._tasks = [
            loop.create_task(SlowClient(port, number, timeout_s).run(rng.choice(kinds)))
            for number in range(count)
        ]
