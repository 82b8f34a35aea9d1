"""A backend's machine vanishes in the middle of a long answer, and discovery then removes the backend."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))
import bench2 as b  # noqa: E402

BACKENDS = 9
ANSWER_BYTES = 400_000
FIRST_BYTES = 150_000  # that the backend has given when its machine vanishes
REMOVED_AFTER_S = 4.3  # discovery notices a silent backend after 4.1 to 11 s
DEADLINE_S = 6.0
WATCH_S = 60.0  # after the first byte


async def play(world: b.World, record: b.Record) -> bool:
    vanished: asyncio.Future[str] = asyncio.get_running_loop().create_future()

    async def answer(name: str, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)
        body = b"x" * ANSWER_BYTES
        if not b.trouble():
            writer.write(b.ok(body))
            return
        writer.write(b.ok(body)[:FIRST_BYTES])
        await writer.drain()
        record(f"backend {name}: its machine vanishes: the connection stays open and silent")
        vanished.set_result(name)
        await asyncio.sleep(b.CASE_LIMIT_S)

    def answer_of(name: str) -> b.Answer:
        return lambda request, writer: answer(name, writer)

    for number in range(BACKENDS):
        await world.backend(f"s-{number}", answer_of(f"s-{number}"))
    ingress = world.ingress()
    await ingress.start()
    await ingress.wait_up()
    reader, writer = await asyncio.open_connection(*ingress.address)
    rid = b.request_id("c")
    loop = asyncio.get_running_loop()
    sent_at = loop.time()
    record(f"client: sends {rid}")
    writer.write(b.get("/full-quote/long", rid, int(1000 * DEADLINE_S)))

    async def discovery() -> None:
        name = await vanished
        await asyncio.sleep(REMOVED_AFTER_S)
        record(f"discovery: tells that {name} is removed")
        world.discovery.change(name, status="removed")

    removal = asyncio.create_task(discovery())
    received = 0
    ended = ""
    try:
        async with asyncio.timeout(WATCH_S):
            while part := await reader.read(65536):
                received += len(part)
                if received >= ANSWER_BYTES + 40 and not b.trouble():
                    ended = "whole"
                    break
            else:
                ended = "closed"
    except TimeoutError:
        ended = ""
    except OSError as error:
        ended = repr(error)
    removal.cancel()
    after = loop.time() - sent_at
    record(
        f"client: {received} bytes, {after:.1f} s after the request: {ended or 'neither the rest nor an end'}"
    )
    writer.close()
    return bool(ended)


b.main(__file__, play)
