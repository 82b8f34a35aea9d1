"""Case 3: a crowd of clients stops half way through a request's head; other clients' requests wait behind it."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import sys
import termios
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
from common import HOST, Fleet, Record, address_of, content_length, endpoint, header, main, request_head

FLEET_SIZE = 3
BOXES = 9
SOCKETS = 512  # descriptors of an ingress; the pages allow 256 to 1,024
CROWD_PROCESSES = 3
CROWD_EACH = 400  # 1,200 connections in all, to one ingress
CROWD_SECONDS = 40.0
REQUESTS = 20  # each on a new connection
INTERVAL = 0.25  # s
TIMEOUT_MS = 2500
ALLOWED_LATE = 0.5  # s after its time a request is lost
SLACK = 0.25  # s for this machine
WATCHED = 15.0  # s after which the client stops waiting
WORK = 0.02  # s


class Box:
    """A quote box that answers each request after a short time."""

    def __init__(self, name: str, record: Record) -> None:
        self.name, self.record = name, record
        self.address = ""
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = address_of(self._server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(content_length(head))
                self.record(f"box {self.name} runs {header(head, b'request-id').decode()}")
                await asyncio.sleep(WORK)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nquote")
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def send_request(number: int, port: int, record: Record) -> tuple[str, str, float]:
    """Sends one `rate-check` on a new connection. Returns its id, what came of it, and after how long (s)."""
    loop = asyncio.get_running_loop()
    request_id = f"{number:016x}"
    sock = socket.socket()
    sock.setblocking(False)
    try:
        await loop.sock_connect(sock, (HOST, port))
        await loop.sock_sendall(sock, request_head("rate-check", request_id, number, TIMEOUT_MS, FLEET_SIZE))
        sent_at = loop.time()
        await asyncio.sleep(0.01)
        unacknowledged = int.from_bytes(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)), "little")
        taken = unacknowledged == 0
        record(
            f"client sends {request_id} on a new connection; all of it is at the ingress's machine: {taken}"
        )
        if not taken:
            return request_id, "not taken", 0.0
        async with asyncio.timeout(WATCHED):
            answer = await loop.sock_recv(sock, 65536)
        result = answer.split(b"\r\n")[0].decode() if answer else "closed without an answer"
    except TimeoutError:
        result = "nothing"
    except OSError as error:
        result = f"closed without an answer ({type(error).__name__})"
        sent_at = loop.time()
    finally:
        sock.close()
    seconds = loop.time() - sent_at
    record(f"client gets for {request_id} after {seconds:.3f} s: {result}")
    return request_id, result, seconds


async def start_crowd(port: int, record: Record) -> list[asyncio.subprocess.Process]:
    processes = []
    for _ in range(CROWD_PROCESSES):
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-B",
            str(FOLDER / "crowd.py"),
            str(port),
            str(CROWD_EACH),
            str(CROWD_SECONDS),
            stdout=asyncio.subprocess.PIPE,
        )
        processes.append(process)
    for process in processes:
        assert process.stdout
        line = (await asyncio.wait_for(process.stdout.readline(), 20)).decode().strip()
        if not line:
            raise RuntimeError("the crowd could not connect")
        record(f"crowd: {line}")
    return processes


async def play(fleet: Fleet, record: Record, trouble: bool) -> bool:
    boxes = [Box(f"s-{number:08x}", record) for number in range(BOXES)]
    for box in boxes:
        await box.start()
    limits = {"cores": 0.5, "memory_mb": 96, "sockets": SOCKETS}
    await fleet.start([endpoint(box.name, box.address) for box in boxes], FLEET_SIZE, limits)
    port = fleet.ingresses[0].port
    crowd = await start_crowd(port, record) if trouble else []
    try:
        tasks = []
        for number in range(1, REQUESTS + 1):
            tasks.append(asyncio.create_task(send_request(number, port, record)))
            await asyncio.sleep(INTERVAL)
        results = await asyncio.gather(*tasks)
        for process in crowd:
            assert process.stdout
            line = await asyncio.wait_for(process.stdout.readline(), CROWD_SECONDS + 10)
            record(f"crowd: {line.decode().strip()}")
    finally:
        for process in crowd:
            if process.returncode is None:
                process.kill()
    taken = [result for result in results if result[1] != "not taken"]
    # A close instead of an answer is no fault here: a crowd's new connections may be shut unread.
    bound = TIMEOUT_MS / 1000 + ALLOWED_LATE + SLACK
    lost = [result for result in taken if result[2] > bound]
    record(f"{len(taken)} requests were taken, {len(lost)} of them lost")
    for request_id, result, seconds in lost:
        record(f"lost: {request_id}: {result} after {seconds:.3f} s")
    if not taken:
        raise RuntimeError("no request was taken")
    return not lost


if __name__ == "__main__":
    main(FOLDER, play)
