"""A quote box hangs while a long request body is passed on to it."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from common import HOST, Fleet, Record, address_of, content_length, endpoint, header, main, request_head

FLEET_SIZE = 3
BOXES = 9
UPLOADS = 6  # one after another, two to each ingress
BODY_BYTES = 1_200_000  # of at most 32 MB
LAST_PART_BYTES = 60_000  # the client writes these PAUSE after the rest
PAUSE = 0.5  # s
TIMEOUT_MS = 2500  # half of the class's time; the pages allow 50 to 100% of it
ALLOWED_LATE = 0.5  # s after its time a request is lost
RECEIVE_BUFFER_BYTES = 65_536  # of a box
SLACK = 0.25  # s for this machine
WATCHED = 9.0  # s after which the client stops waiting
TIOCOUTQ = termios.TIOCOUTQ


class Box:
    """A quote box that reads each request whole and answers it. From `hang` on it reads and writes nothing."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.address = ""
        self.hangs = False
        self._end_of_hang = asyncio.Event()  # never set
        self.hangs_at_next_body = False
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        listening = socket.create_server((HOST, 0))
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._serve, sock=listening)
        self.address = address_of(self._server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if self.hangs:
                    await self._end_of_hang.wait()
                request_id = header(head, b"request-id").decode()
                self.record(f"box {self.name} reads the head of {request_id}")
                if self.hangs_at_next_body:
                    self.record(f"box {self.name} hangs from here on")
                    self.hangs = True
                    await self._end_of_hang.wait()
                await reader.readexactly(content_length(head))
                self.record(f"box {self.name} runs {request_id}")
                body = f"saved {request_id}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def upload(number: int, port: int, record: Record) -> tuple[str, float, float]:
    """Sends one `quote-save`.

    Returns its id, the seconds from its last byte's arrival at the ingress's machine to the end of the answer
    (or to the end of the wait), and the status (0: none).
    """
    loop = asyncio.get_running_loop()
    request_id = f"{number:016x}"
    sock = socket.socket()
    sock.setblocking(False)
    await loop.sock_connect(sock, (HOST, port))
    head = request_head(
        "quote-save",
        request_id,
        number,
        TIMEOUT_MS,
        FLEET_SIZE,
        f"Idempotency-Key: key-{request_id}",
        f"Content-Length: {BODY_BYTES}",
    )
    record(f"client sends {request_id} to port {port}: {BODY_BYTES} bytes, Request-Timeout {TIMEOUT_MS} ms")
    await loop.sock_sendall(sock, head + b"q" * (BODY_BYTES - LAST_PART_BYTES))
    await asyncio.sleep(PAUSE)
    await loop.sock_sendall(sock, b"q" * LAST_PART_BYTES)
    answer = b""
    arrived_at = 0.0
    end = loop.time() + WATCHED
    reading = loop.create_task(sock_read(sock))
    while loop.time() < end:
        if not arrived_at and unacknowledged(sock) == 0:
            arrived_at = loop.time()
            record(f"the last byte of {request_id} is at the ingress's machine")
        if reading.done():
            answer = reading.result()
            break
        await asyncio.sleep(0.005)
    else:
        reading.cancel()
    now = loop.time()
    sock.close()
    if not arrived_at:
        record(f"{request_id} was never taken: its last byte did not reach the ingress's machine")
        return request_id, 0.0, -1
    status = int(answer.split(b" ")[1]) if answer else 0
    record(
        f"client gets {status or 'no answer'} for {request_id}, {now - arrived_at:.3f} s after its last byte"
    )
    return request_id, now - arrived_at, status


async def sock_read(sock: socket.socket) -> bytes:
    """Returns what comes first: the head of an answer, or nothing at the connection's end."""
    try:
        return await asyncio.get_running_loop().sock_recv(sock, 65536)
    except OSError:
        return b""


def unacknowledged(sock: socket.socket) -> int:
    """Returns how many sent bytes the ingress's machine has not acknowledged."""
    return int.from_bytes(fcntl.ioctl(sock.fileno(), TIOCOUTQ, bytes(4)), "little")


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    boxes = [Box(f"s-{number:08x}", record) for number in range(BOXES)]
    for box in boxes:
        await box.start()
    limits = {"cores": 0.5, "memory_mb": 96, "sockets": 512}
    await fleet.start([endpoint(box.name, box.address) for box in boxes], FLEET_SIZE, limits)
    lost: list[str] = []
    taken = 0
    for number in range(1, UPLOADS + 1):
        ingress = fleet.ingresses[number % FLEET_SIZE]
        hanging = sum(box.hangs for box in boxes)
        for box in boxes:  # at most a third of the boxes hang, each in the middle of its work
            box.hangs_at_next_body = trouble and hanging < BOXES // 3
        request_id, seconds, status = await upload(number, ingress.port, record)
        if status < 0:
            continue
        taken += 1
        if not status or seconds > TIMEOUT_MS / 1000 + ALLOWED_LATE + SLACK:
            lost.append(f"{request_id}: status {status} after {seconds:.3f} s")
    record(f"{taken} requests were taken, {len(lost)} of them lost")
    for text in lost:
        record(f"lost: {text}")
    if not taken:
        raise RuntimeError("no request was taken")
    return not lost


if __name__ == "__main__":
    main(Path(__file__).resolve().parent, play)
