"""SIGTERM for a planned restart comes while a long answer is being passed on."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))
import bench2 as b  # noqa: E402

PARTS = 60
PART_BYTES = 10_000
PART_INTERVAL_S = 0.08  # the backend gives 600 kB in 4.8 s
TERM_AFTER_S = 0.6  # after the request was sent
KILL_AFTER_TERM_S = 10.0  # no sooner than 3 s plus 0.7 s
REQUEST_TIMEOUT_MS = 6000


async def play(world: b.World, record: b.Record) -> bool:
    given: list[int] = []

    async def answer(request: b.Request, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(0.2)
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (PARTS * PART_BYTES))
        for number in range(PARTS):
            if writer.is_closing():
                break
            writer.write(b"%c" % (97 + number % 26) * PART_BYTES)
            given.append(number)
            await asyncio.sleep(PART_INTERVAL_S)
        record(f"backend s-1: gave {len(given)} of {PARTS} parts")

    await world.backend("s-1", answer)
    ingress = world.ingress()
    await ingress.start()
    await ingress.wait_up()
    loop = asyncio.get_running_loop()
    reader, writer = await asyncio.open_connection(*ingress.address)
    rid = b.request_id("c")
    sent_at = loop.time()
    record(f"client: sends {rid}")
    writer.write(b.get("/full-quote/long", rid, REQUEST_TIMEOUT_MS))

    async def platform() -> None:
        await asyncio.sleep(TERM_AFTER_S)
        ingress.signal(signal.SIGTERM)
        await asyncio.sleep(KILL_AFTER_TERM_S)
        ingress.signal(signal.SIGKILL)

    restart = asyncio.create_task(platform()) if b.trouble() else None
    assert ingress.process
    ended = asyncio.create_task(ingress.process.wait())
    ended.add_done_callback(lambda task: record(f"platform: the process ended with {task.result()}"))
    whole = False
    received = 0
    try:
        async with asyncio.timeout(20.0):
            head = await reader.readuntil(b"\r\n\r\n")
            record("client: head", head)
            while received < PARTS * PART_BYTES:
                part = await reader.read(65536)
                if not part:
                    break
                received += len(part)
            whole = received == PARTS * PART_BYTES
    except (OSError, EOFError, TimeoutError) as error:
        record(f"client: {error!r}")
    record(
        f"client: {received} of {PARTS * PART_BYTES} bytes after {loop.time() - sent_at:.2f} s: whole: {whole}"
    )
    await asyncio.sleep(0.5)
    if restart:
        restart.cancel()
    return whole


b.main(__file__, play)
