"""One run: starts everything, carries out the troubles in their time, and gathers what was recorded."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import random
import signal
import tempfile
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec

from ingress_testbed.faults import SHORT, build
from ingress_testbed.faults import Call as SystemCall
from ingress_testbed.model import address, entry
from ingress_testbed.soak.discovery import NodeDiscovery, agent
from ingress_testbed.soak.nodes import Node
from ingress_testbed.soak.records import Arrival, BadPeer, Call, Run, Trouble
from ingress_testbed.soak.setup import Setup
from ingress_testbed.soak.troubles import draw
from ingress_testbed.standins.counter import Counter
from ingress_testbed.worker import HERE, Worker

SETTLE = 3.5  # s after the last client, in which all that is left has to end
LOOK = 0.02
STEPS = (3.0, -3.0, 3600.0, -3600.0, 0.0)  # s by which a wall clock is stepped
SYSTEM_CALLS = [
    (SystemCall.ACCEPT, errno.ENFILE, 5),
    (SystemCall.ACCEPT, errno.ECONNABORTED, 5),
    (SystemCall.ACCEPT, errno.EMFILE, 3),
    (SystemCall.ACCEPT, errno.ENOBUFS, 7),
    (SystemCall.CONNECT, errno.EADDRNOTAVAIL, 5),
    (SystemCall.CONNECT, errno.ENETUNREACH, 7),
    (SystemCall.SOCKET, errno.ENFILE, 5),
    (SystemCall.SOCKET, errno.ENOBUFS, 7),
    (SystemCall.WAIT, errno.EINTR, 3),
    (SystemCall.READ, SHORT, 3),
    (SystemCall.WRITE, SHORT, 3),
]


class Soak:
    def __init__(
        self, seed: int, seconds: float, nodes: int, backends: int, rate: float, gap: float, folder: Path
    ) -> None:
        self.rng, self._seed, self._seconds, self._rate = random.Random(seed), seed, seconds, rate
        self.setup = Setup.draw(self.rng, nodes)
        self._backends, self._folder = backends, folder
        self.troubles = draw(self.rng, seconds, nodes, gap)
        self.nodes: list[Node] = []
        self._listed: dict[str, dict[str, Any]] = {}  # entries by name, as discovery has them
        self._next_backend = backends
        self._tasks: set[asyncio.Task[None]] = set()
        self._workers: list[Worker] = []
        self._lag = 0.0
        self._silences: list[tuple[float, float]] = []
        self.problems: list[str] = []  # of the run itself

    async def play(self) -> Run:
        try:
            return await self._play()
        finally:
            for node in self.nodes:
                node.kill()
            for worker in self._workers:
                await worker.stop()

    async def _play(self) -> Run:
        await self._start()
        began_at = time.monotonic()
        watching = asyncio.get_running_loop().create_task(self._watch_lag())
        await self.clients.ask("begin", rate=self._rate, seconds=self._seconds)
        for trouble in self.troubles:
            await asyncio.sleep(max(0.0, began_at + trouble.at - time.monotonic()))
            self._spawn(self._trouble(trouble))
        asked = await self.clients.ask("result")
        while self._tasks:
            await asyncio.wait(self._tasks)
        await asyncio.sleep(SETTLE)
        for node in self.nodes:
            node.process.look()
        await asyncio.gather(*(node.end() for node in self.nodes))
        watching.cancel()
        served = await self.served.ask("told")
        lag = {"clients": asked["lag"], "backends": served["lag"], "run": self._lag}
        return Run(
            self._seed,
            began_at,
            self.setup.window,
            self.setup.may_hedge,
            self.troubles,
            msgspec.convert(asked["calls"], list[Call]),
            msgspec.convert(served["arrivals"], list[Arrival]),
            msgspec.convert(asked["bad_peers"], list[BadPeer]),
            self.discoveries[0].withdrawals,
            [w for d in self.discoveries for w in d.written],
            self._silences,
            [life for node in self.nodes for life in node.lives],
            lag,
        )

    async def _start(self) -> None:
        self.served = await self._worker("ingress_testbed.soak.backends:Host")
        self._port = int(await self.served.ask("start", seed=self._seed, idle=self.setup.idle))
        entries = [entry(n, self._port) for n in range(self._backends)]
        self._listed = {e["name"]: e for e in entries}
        self.discoveries = [NodeDiscovery(entries), NodeDiscovery(entries)]  # a reload goes to and fro
        for discovery in self.discoveries:
            await discovery.start()
        self.counters = [Counter(), Counter()]
        for counter in self.counters:
            await counter.start()
        library = build(self._folder)
        for number in range(self.setup.nodes):
            self.nodes.append(Node(number, self._folder, library, HERE, inherits=number % 2 == 0))
            self._configure(number, 0)
        await asyncio.gather(*(node.start() for node in self.nodes))
        self.clients = await self._worker("ingress_testbed.soak.clients:Host")
        await self.clients.ask("start", seed=self._seed, ports=[node.port for node in self.nodes])

    async def _worker(self, target: str) -> Worker:
        worker = await Worker.start(target, HERE, dict(os.environ))
        self._workers.append(worker)
        return worker

    def _configure(self, number: int, which: int) -> None:
        """`which` of the two discoveries and counters."""
        known = {"index": 1, "snapshot": True, "endpoints": list(self._listed.values())}
        self.nodes[number].configure(
            {
                "name": f"n{number}",
                "seed": f"{self.rng.getrandbits(60):x}",
                "discovery": agent(number, self.discoveries[which].port),
                "counter": f"127.9.1.{number + 1}:{self.counters[which].port}",
                "known": known,
                "limits": {"sockets": self.setup.sockets, "memory_mb": 96},
                "settings": self.setup.settings(number),
            }
        )

    async def _watch_lag(self) -> None:
        while True:
            at = time.monotonic() + LOOK
            await asyncio.sleep(LOOK)
            self._lag = max(self._lag, time.monotonic() - at)

    def _spawn(self, what: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(what)
        self._tasks.add(task)
        task.add_done_callback(self._ended)

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if error := task.exception():
            self.problems.append(f"{type(error).__name__}: {error}")

    async def _trouble(self, trouble: Trouble) -> None:
        kind, seconds, node = trouble.kind, trouble.seconds, self.nodes[trouble.target]
        word, _, rest = kind.partition(" ")
        match kind:
            case "stop node" | "kill node":
                await node.restart(by_kill=kind == "kill node")
            case "upgrade node" | "failed upgrade":
                if node.socket:
                    await node.upgrade(fails=kind == "failed upgrade")
            case "reload" | "reload twice":
                for turn in range(1 + (kind == "reload twice")):
                    self._configure(trouble.target, (self.rng.randrange(2) + turn) % 2)
                    node.process.reload()
                    await asyncio.sleep(self.rng.uniform(0, 0.4))
            case "hold node up":
                await node.process.hold_up(seconds)
            case "crowd":
                count = self.setup.sockets
                await self.clients.ask("crowd", node=trouble.target, count=count, seconds=seconds)
            case "discovery silent":
                await self._silent(seconds)
            case "discovery cut":
                for discovery in self.discoveries:
                    discovery.cut()
            case "discovery turns away":
                await self._turns_away(seconds)
            case "counter silent":
                for counter in self.counters:
                    counter.silent = True
                await asyncio.sleep(seconds)
                for counter in self.counters:
                    counter.silent = False
            case "counter cut":
                for counter in self.counters:
                    for caller in list(counter.callers):
                        caller.transport.abort()
            case "counter spoilt":
                for counter in self.counters:
                    counter.spoilt = self.rng.choice((0.05, 0.5))
                await asyncio.sleep(seconds)
                for counter in self.counters:
                    counter.spoilt = 0.0
            case "drain node":
                process = node.process
                await process.call("/control/out-of-service")
                await asyncio.sleep(seconds)
                await process.call("/control/in-service")
            case "clients leave":
                await self.clients.ask("leave", node=trouble.target)
            case "system calls":
                await self._system_calls(node, seconds)
            case "wall clock":
                node.faults.shift_wall_clock(self.rng.choice(STEPS))
            case "ban backend":
                await self._ban(node, seconds)
            case _ if word == "backend":
                await self._behave(rest, seconds)
            case _:
                await self._change(word, seconds)

    async def _silent(self, seconds: float) -> None:
        if any(discovery.silent for discovery in self.discoveries):
            return
        began = time.monotonic()
        for discovery in self.discoveries:
            discovery.fall_silent()
        await asyncio.sleep(seconds)
        for discovery in self.discoveries:
            discovery.speak()
        self._silences.append((began, time.monotonic()))

    async def _turns_away(self, seconds: float) -> None:
        began = time.monotonic()
        for discovery in self.discoveries:
            discovery.capacity = 2.0
            discovery.cut()
        await asyncio.sleep(seconds)
        for discovery in self.discoveries:
            discovery.capacity = 0.0
        self._silences.append((began, time.monotonic()))

    async def _system_calls(self, node: Node, seconds: float) -> None:
        call, error, every = self.rng.choice(SYSTEM_CALLS)
        node.faults.set(call, error, every)
        await asyncio.sleep(seconds)
        with contextlib.suppress(ValueError):  # the run has ended
            node.faults.set(call, SHORT, 0)

    async def _ban(self, node: Node, seconds: float) -> None:
        name = self.rng.choice(sorted(self._listed))
        await node.process.call(f"/control/backends/{name}/offline")
        await asyncio.sleep(seconds)
        await node.process.call(f"/control/backends/{name}/online")

    async def _behave(self, kind: str, seconds: float) -> None:
        names = self.rng.sample(sorted(self._listed), max(1, len(self._listed) // 8))
        part = 1.0 if kind in ("down", "hang") else self.rng.choice((0.1, 0.5, 1.0))
        at = [self._listed[name]["address"].partition(":")[0] for name in names]
        for host in at:
            await self.served.ask("behave", address=host, kind=kind, part=part)
        await asyncio.sleep(seconds)
        for host in at:
            await self.served.ask("behave", address=host, kind="sound", part=1.0)

    async def _change(self, word: str, seconds: float) -> None:
        """Drains, removes or restarts some; others come in for those that leave."""
        if word == "restart":
            await asyncio.sleep(seconds)
        names = self.rng.sample(sorted(self._listed), max(1, len(self._listed) // 6))
        if word == "restart":
            changed = [self._listed[n] | {"since_ms": round(time.time() * 1000)} for n in names]
        else:
            status = "draining" if word == "drain" else "removed"
            changed = [self._listed.pop(name) | {"status": status} for name in names]
            for _ in names:
                fresh = entry(self._next_backend, self._port, since_ms=round(time.time() * 1000))
                self._next_backend += 1
                changed.append(fresh)
        for made in changed:
            if made["status"] == "up":
                self._listed[made["name"]] = made
        for discovery in self.discoveries:
            discovery.change([dict(made) for made in changed])


def host_of(name: str) -> str:
    """The address of the backend of that name."""
    return address(int(name.partition("-")[2], 16), 0).partition(":")[0]


async def play(
    seed: int, seconds: float, nodes: int, backends: int, rate: float, gap: float
) -> tuple[Run, list[str]]:
    """What was recorded, and the problems of the run itself. SIGTERM ends it with all that it has started."""
    task = asyncio.current_task()
    assert task
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, seconds, nodes, backends, rate, gap, Path(folder))
        return await soak.play(), soak.problems
