"""A backend's second answer, which begins some milliseconds late and comes in pieces."""

from __future__ import annotations

import asyncio
import random
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import HOST, Fleet, Record, address_of, content_length, endpoint, header, main, request_head

FLEET_SIZE = 3
BOXES = 9
CLIENTS = 8  # a front connection each, to each ingress
SECONDS = 20.0
WORK = (0.005, 0.03)  # s
SPOILT_SHARE = 0.1  # of the answers are followed by a second one
SECOND_AFTER = (0.002, 0.008)  # s after the first answer
PIECES = 4  # of the second answer
BETWEEN_PIECES = 0.01  # s
TIMEOUT_MS = 2500


class Box:
    """A quote box: answers each request with a body made from its id; now and then it answers twice."""

    def __init__(self, name: str, spoils: bool, record: Record) -> None:
        self.name, self.spoils, self.record = name, spoils, record
        self.address = ""
        self._random = random.Random(name)
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = address_of(self._server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(content_length(head))
                request_id = header(head, b"request-id").decode()
                self.record(f"box {self.name} runs {request_id}")
                await asyncio.sleep(self._random.uniform(*WORK))
                body = f"quote for {request_id}".encode()
                answer = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%b" % (
                    len(body),
                    body,
                )
                writer.write(answer)
                if self.spoils and self._random.random() < SPOILT_SHARE:
                    self.record(f"box {self.name} will answer {request_id} a second time")
                    asyncio.get_running_loop().create_task(self._answer_again(writer, answer, request_id))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer_again(self, writer: asyncio.StreamWriter, answer: bytes, request_id: str) -> None:
        await asyncio.sleep(self._random.uniform(*SECOND_AFTER))
        size = len(answer) // PIECES + 1
        for start in range(0, len(answer), size):
            if writer.is_closing():
                return
            writer.write(answer[start : start + size])
            self.record(f"box {self.name} writes bytes {start} to {start + size} of the second {request_id}")
            await asyncio.sleep(BETWEEN_PIECES)


class Client:
    """Sends one request at a time on one connection, and compares each answer with the request."""

    def __init__(self, number: int, port: int, record: Record) -> None:
        self.number, self.port, self.record = number, port, record
        self.answered = 0
        self.foreign: list[str] = []

    async def run(self, until: float) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(self.number)
        reader, writer = await asyncio.open_connection(HOST, self.port)
        count = 0
        while loop.time() < until:
            count += 1
            request_id = f"{self.number:04x}{count:012x}"
            self.record(f"client {self.number} sends {request_id} to port {self.port}")
            try:
                writer.write(request_head("rate-check", request_id, self.number, TIMEOUT_MS, FLEET_SIZE))
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(content_length(head))
            except (OSError, asyncio.IncompleteReadError):  # closed between requests
                writer.close()
                reader, writer = await asyncio.open_connection(HOST, self.port)
                continue
            status = int(head.split(b" ")[1])
            self.record(f"client {self.number} gets {status} {body!r} for {request_id}")
            if status == 200:
                self.answered += 1
                if body != f"quote for {request_id}".encode():
                    self.foreign.append(f"{request_id}: {body!r}")
            if b"connection: close" in head.lower():
                writer.close()
                reader, writer = await asyncio.open_connection(HOST, self.port)
            await asyncio.sleep(rng.uniform(0.02, 0.1))
        writer.close()


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    boxes = [Box(f"s-{number:08x}", trouble, record) for number in range(BOXES)]
    for box in boxes:
        await box.start()
    limits = {"cores": 0.5, "memory_mb": 96, "sockets": 512}
    await fleet.start([endpoint(box.name, box.address) for box in boxes], FLEET_SIZE, limits)
    clients = [
        Client(100 * ingress.number + number + 1, ingress.port, record)
        for ingress in fleet.ingresses
        for number in range(CLIENTS)
    ]
    until = asyncio.get_running_loop().time() + SECONDS
    await asyncio.gather(*(client.run(until) for client in clients))
    answered = sum(client.answered for client in clients)
    foreign = [text for client in clients for text in client.foreign]
    record(f"{answered} requests were answered with 200, {len(foreign)} of them with the body of another one")
    for text in foreign:
        record(f"wrong body: {text}")
    if answered < 200:
        raise RuntimeError("too few requests were answered for a result")
    return not foreign


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
