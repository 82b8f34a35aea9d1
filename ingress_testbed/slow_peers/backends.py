"""Backends that read requests and write responses at the pace that the target of the request asks for."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from urllib.parse import parse_qs, urlsplit

from ingress_testbed.slow_peers.records import Call, Response
from ingress_testbed.slow_peers.scenario import Answer, Framing, Pattern

HOST = "127.0.0.1"
RECEIVE_BUFFER_BYTES = 65536
READER_LIMIT_BYTES = 16384
READS_PER_S = 20
STEADY_PARTS = 40
LUMPS = 4
LATE_BODY_FRACTION = 0.4  # of the response's time, before its body
BACKLOG = 1024
ANSWER_TO_SLOW_CLIENTS = Answer(4_000_000, Framing.LENGTH, Pattern.AT_ONCE, 0.0)
HEADS = {
    Framing.LENGTH: b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
    Framing.CHUNKED: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    Framing.CLOSE: b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
}


class Backend:
    """One backend; requests with an id in `calls` are answered as their call says."""

    def __init__(self, calls: dict[str, Call]) -> None:
        self._calls = calls
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server
        self.port = 0

    async def start(self) -> None:
        """Listens on a free port."""
        listening = socket.create_server((HOST, 0), backlog=BACKLOG)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=READER_LIMIT_BYTES)
        self.port = listening.getsockname()[1]

    def stop(self) -> None:
        """Ends all connections."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        try:
            with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
                while await self._answer_request(reader, writer):
                    pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort() if writer.transport.is_closing() else writer.close()

    async def _answer_request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answers the next request. Returns whether the connection stays open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        target = urlsplit(head.split(" ", 2)[1])
        query = parse_qs(target.query)
        call = self._calls.get(query.get("id", [""])[0])
        rate = call.upload.backend_rate if call else int(query.get("rate", ["64000"])[0])
        await _read_body(reader, head.lower(), rate)
        answer = call.answer if call else ANSWER_TO_SLOW_CLIENTS
        response = Response(head_at=asyncio.get_running_loop().time())
        if call:
            call.responses.append(response)
        try:
            await _write_answer(writer, answer, response)
        finally:
            response.ended_at = asyncio.get_running_loop().time()
        return answer.framing is not Framing.CLOSE


async def _read_body(reader: asyncio.StreamReader, head: str, rate: int) -> None:
    part_bytes = max(1, rate // READS_PER_S)
    if "transfer-encoding: chunked" in head:
        end = b""
        while not end.endswith(b"\r\n0\r\n\r\n"):
            end = (end + await _read_part(reader, part_bytes, rate))[-7:]
        return
    missing = int(head.partition("content-length:")[2].split()[0]) if "content-length:" in head else 0
    while missing:
        missing -= len(await _read_part(reader, min(part_bytes, missing), rate))


async def _read_part(reader: asyncio.StreamReader, size: int, rate: int) -> bytes:
    part = await reader.read(size)
    if not part:
        raise EOFError
    await asyncio.sleep(len(part) / rate)
    return part


async def _write_answer(writer: asyncio.StreamWriter, answer: Answer, response: Response) -> None:
    head = HEADS[answer.framing]
    writer.write(head % answer.size if answer.framing is Framing.LENGTH else head)
    pause = answer.seconds * LATE_BODY_FRACTION if answer.pattern is Pattern.LATE_BODY else 0.0
    await asyncio.sleep(pause)
    parts = {Pattern.AT_ONCE: 1, Pattern.LUMPS: LUMPS}.get(answer.pattern, STEADY_PARTS)
    interval = (answer.seconds - pause) / parts if parts > 1 else 0.0
    for number in range(parts):
        if writer.transport.is_closing():
            raise EOFError
        part = bytes(answer.size * (number + 1) // parts - response.written)
        writer.write(b"%x\r\n%b\r\n" % (len(part), part) if answer.framing is Framing.CHUNKED else part)
        response.body_at = response.body_at or asyncio.get_running_loop().time()
        response.written += len(part)
        await writer.drain()
        await asyncio.sleep(interval)
    if answer.framing is Framing.CHUNKED:
        writer.write(b"0\r\n\r\n")
    response.is_complete = True
