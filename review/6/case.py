"""A peer sends a GET whose body comes in chunks, after the head: does a backend get it as a request?"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))
import bench2 as b  # noqa: E402

WORK_S = 0.25  # of a full-quote, within the 140 to 260 ms of the deployment
CLIENTS = 3
THINK_S = (0.05, 0.2, 0.35)  # of each client between an answer and its next request
PAUSE_S = 0.15  # between the peer's head and its body
PLAY_S = 12.0


async def play(world: b.World, record: b.Record) -> bool:
    sent: dict[str, str] = {}  # request line by id, of each request that a client or the peer sent as its own
    foreign: list[str] = []
    unsent: list[str] = []

    async def answer(request: b.Request, writer: asyncio.StreamWriter) -> None:
        if sent.get(request.id) != request.line:
            unsent.append(f"{request.line!r} id={request.id!r}")
            record("backend: NO CLIENT SENT THIS REQUEST:", repr(request.head))
        await asyncio.sleep(WORK_S)
        writer.write(b.ok(f"quote for {request.id}".encode()))

    await world.backend("s-1", answer)
    ingress = world.ingress()
    await ingress.start()
    await ingress.wait_up()
    end = asyncio.get_running_loop().time() + PLAY_S

    async def client(number: int) -> None:
        """A client as the protocol describes it: one request at a time on a kept connection."""
        reader, writer = await asyncio.open_connection(*ingress.address)
        while asyncio.get_running_loop().time() < end:
            rid = b.request_id("c")
            target = f"/full-quote/{number}"
            sent[rid] = f"GET {target} HTTP/1.1"
            record(f"client {number}: sends {rid}")
            writer.write(b.get(target, rid, 6000, customer=number + 1))
            try:
                async with asyncio.timeout(7.0):
                    status, headers, body = await b.read_answer(reader)
            except (OSError, EOFError, TimeoutError) as error:
                record(f"client {number}: {rid}: no answer: {error!r}")
                writer.close()
                reader, writer = await asyncio.open_connection(*ingress.address)
                continue
            record(f"client {number}: {rid} answered {status} {body!r}")
            if status == 200 and body != f"quote for {rid}".encode():
                foreign.append(f"{rid} got {body!r}")
                record(f"client {number}: FOREIGN ANSWER")
            if headers.get("connection") == "close":
                writer.close()
                reader, writer = await asyncio.open_connection(*ingress.address)
            await asyncio.sleep(THINK_S[number])
        writer.close()

    async def peer() -> None:
        """A peer that sends something that is not a proper request: a GET with a body."""
        while b.trouble() and asyncio.get_running_loop().time() < end:
            rid = b.request_id("p")
            target = "/full-quote/peer"
            sent[rid] = f"GET {target} HTTP/1.1"
            inner = b.get("/full-quote/inner", b.request_id("i"), 6000)
            reader, writer = await asyncio.open_connection(*ingress.address)
            record(f"peer: sends {rid}: GET with Transfer-Encoding: chunked")
            writer.write(b.get(target, rid, 6000, customer=99, extra="Transfer-Encoding: chunked\r\n"))
            await asyncio.sleep(PAUSE_S)
            writer.write(b.chunk(inner) + b"0\r\n\r\n")
            try:
                async with asyncio.timeout(7.0):
                    status, _, body = await b.read_answer(reader)
                record(f"peer: {rid} answered {status} {body!r}")
            except (OSError, EOFError, TimeoutError) as error:
                record(f"peer: {rid}: no answer: {error!r}")
            writer.close()
            await asyncio.sleep(0.5)

    await asyncio.gather(*(client(number) for number in range(CLIENTS)), peer())
    record(
        f"requests that reached a backend and that nobody sent: {len(unsent)}; foreign answers: {len(foreign)}"
    )
    return not unsent and not foreign


b.main(__file__, play)
