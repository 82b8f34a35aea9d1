"""Clients whose requests are measured: they write as fast as they can, and read at once what comes."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import httptools

from ingress_testbed.slow_peers.records import Call
from ingress_testbed.slow_peers.requests import encode_head
from ingress_testbed.slow_peers.scenario import IDEMPOTENT, WITH_KEY, Framing

HOST = "127.0.0.1"
PATIENCE_S = 30.0  # after which a client gives up
READ_BYTES = 65536


class MeasuredClient:
    """One request on a connection of its own."""

    def __init__(self, port: int, call: Call, customer: int) -> None:
        self._port = port
        self._call = call
        self._customer = customer
        self._socket = socket.socket()
        self._parser = httptools.HttpResponseParser(self)

    async def run(self) -> None:
        """Sends the request and records its answer."""
        loop = asyncio.get_running_loop()
        self._socket.setblocking(False)
        with contextlib.suppress(OSError, TimeoutError), self._socket:
            async with asyncio.timeout(PATIENCE_S):
                await loop.sock_connect(self._socket, (HOST, self._port))
                writing = loop.create_task(self._write())
                try:
                    await self._read()
                finally:
                    writing.cancel()
                    await asyncio.gather(writing, return_exceptions=True)
        self._call.ended_at = loop.time()

    async def _write(self) -> None:
        loop = asyncio.get_running_loop()
        upload, call = self._call.upload, self._call
        framing = ""
        if upload.size:
            is_chunked = upload.framing is Framing.CHUNKED
            framing = "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {upload.size}"
        request_class = WITH_KEY if upload.size else IDEMPOTENT
        await loop.sock_sendall(
            self._socket, encode_head(request_class, call.id, self._customer, call.timeout, framing)
        )
        for offset in range(0, upload.size, upload.part_bytes):
            part = bytes(min(upload.part_bytes, upload.size - offset))
            data = b"%x\r\n%b\r\n" % (len(part), part) if upload.framing is Framing.CHUNKED else part
            await loop.sock_sendall(self._socket, data)
        if upload.size and upload.framing is Framing.CHUNKED:
            await loop.sock_sendall(self._socket, b"0\r\n\r\n")
        call.sent_at = loop.time()

    async def _read(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._call.is_complete:
            data = await loop.sock_recv(self._socket, READ_BYTES)
            if not data:
                return
            self._call.first_byte_at = self._call.first_byte_at or loop.time()
            self._parser.feed_data(data)

    # Callbacks of the parser.

    def on_headers_complete(self) -> None:
        """The head of the answer is complete."""
        self._call.status = self._parser.get_status_code()

    def on_body(self, part: bytes) -> None:
        """A part of the answer's body."""
        self._call.first_body_at = self._call.first_body_at or asyncio.get_running_loop().time()
        self._call.body_bytes += len(part)

    def on_message_complete(self) -> None:
        """The answer is complete."""
        self._call.is_complete = True
