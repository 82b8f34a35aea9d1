"""Clients send many keyed requests at once on their connections: does the ingress stay under its memory limit?"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "shared-2"))
import bench2 as b  # noqa: E402

MEMORY_MB = 80
SOCKETS = 384
CLIENTS = 120  # under a third of the descriptors
REQUESTS = 12  # of each client
BODY_BYTES = 64 * 1024  # the most that a body holds
BACKENDS = 9
WORK_S = 0.2
PLAY_S = 60.0


def resident_mb(pid: int) -> float:
    """Returns the anonymous resident memory of a process in MB; 0 once it has ended.

    Pages of files, which other processes may share, are left out.
    """
    try:
        for line in Path(f"/proc/{pid}/status").read_text().splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
    except OSError:
        pass
    return 0.0


async def play(world: b.World, record: b.Record) -> bool:
    served = Counter[str]()

    async def answer(request: b.Request, writer: asyncio.StreamWriter) -> None:
        served["by a backend"] += 1
        await asyncio.sleep(WORK_S)
        writer.write(b.ok(b"saved " + request.id.encode()))

    world.record = lambda *words: None  # type: ignore[assignment]
    for number in range(BACKENDS):
        await world.backend(f"s-{number}", answer)
    world.record = record
    ingress = world.ingress(limits={"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS})
    await ingress.start()
    await ingress.wait_up()
    assert ingress.process
    pid = ingress.process.pid
    record(f"platform: {resident_mb(pid):.1f} MB of anonymous memory at rest, the limit is {MEMORY_MB} MB")
    ends = Counter[str]()

    async def client(number: int) -> None:
        body = bytes([65 + number % 26]) * BODY_BYTES
        ids = [b.request_id("c") for _ in range(REQUESTS)]
        requests = [
            b.post("/quote-save/x", rid, 5000, f"k-{rid}", body, customer=1000 + number) for rid in ids
        ]
        reader, writer = await asyncio.open_connection(*ingress.address)
        waiting = len(ids)
        try:
            if b.trouble():
                for request in requests:
                    writer.write(request)
            for request in requests:
                if not b.trouble():
                    writer.write(request)
                async with asyncio.timeout(PLAY_S):
                    status, headers, _ = await b.read_answer(reader)
                ends[f"answered {status}"] += 1
                waiting -= 1
                if headers.get("connection") == "close":
                    break
        except (OSError, EOFError, TimeoutError):
            ends["not answered"] += waiting
        writer.close()

    clients = [asyncio.create_task(client(number)) for number in range(CLIENTS)]
    peak = 0.0
    killed = False
    while not all(task.done() for task in clients):
        resident = resident_mb(pid)
        peak = max(peak, resident)
        if resident > MEMORY_MB and not killed:
            killed = True
            record(
                f"platform: {resident:.1f} MB of anonymous memory, over {MEMORY_MB} MB: the ingress is killed for memory"
            )
            ingress.signal(signal.SIGKILL)
        await asyncio.sleep(0.005)
    sent = CLIENTS * REQUESTS
    record(
        f"clients: {sent} requests on {CLIENTS} connections, {sent * BODY_BYTES / 1e6:.0f} MB: {dict(ends)}"
    )
    record(
        f"backends: {served['by a backend']} attempts; the ingress had {peak:.1f} MB of anonymous memory at most"
    )
    return not killed


b.main(__file__, play)
