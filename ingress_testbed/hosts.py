"""The stand-ins as workers' hosts: what a run asks of each."""

from __future__ import annotations

import random

from ingress_testbed.model import entry, restarts
from ingress_testbed.standins.backend import Backends
from ingress_testbed.standins.counter import Counter
from ingress_testbed.standins.discovery import Discovery


class DiscoveryHost:
    _discovery: Discovery

    async def start(self, backends: int, port: int, seed: int, capacity: float = 0.0) -> int:
        """Lists that many backends at `port`; the port it listens on itself."""
        entries = [entry(n, port) for n in range(backends)]
        self._discovery = Discovery(entries, capacity=capacity)
        self._rng, self._backends, self._port = random.Random(seed), backends, port
        await self._discovery.start()
        return self._discovery.port

    def change(self, lines: int = 1, each: int = 1) -> int:
        """So many lines, each with so many backends that have restarted; the new version."""
        for _ in range(lines):
            self._discovery.change(restarts(self._rng, self._backends, each, self._port))
        return self._discovery.index

    def lose(self, part: float) -> int:
        """Takes that part of all backends off the list, in one line; the new version."""
        gone = self._rng.sample(sorted(self._discovery.entries), round(part * self._backends))
        return self._discovery.change([{"name": name, "status": "removed"} for name in gone])

    def limit(self, capacity: float) -> None:
        self._discovery.capacity = capacity

    def cut(self) -> None:
        self._discovery.cut()

    def told(self) -> dict[str, int]:
        d = self._discovery
        unsent = sum(w.transport.get_write_buffer_size() for w in d.watches)
        return {
            "watches": len(d.watches),
            "sent": d.sent,
            "told": d.told,
            "lists": d.lists,
            "calls": d.calls,
            "turned_away": d.turned_away,
            "unsent": unsent,
            "index": d.index,
        }


class CounterHost:
    _counter: Counter

    async def start(self, parts: int = 1, capacity: float = 0.0) -> int:
        self._counter = Counter(parts, capacity)
        await self._counter.start()
        return self._counter.port

    def told(self) -> dict[str, int]:
        c = self._counter
        names = sum(len(p.totals) for p in c.parts)
        return {
            "connections": len(c.callers),
            "adds": c.adds,
            "pings": c.pings,
            "busy": c.busy,
            "received": c.received,
            "names": names,
        }


class BackendsHost:
    _backends: Backends

    async def start(self, work: float = 0.0) -> int:
        self._backends = Backends(work)
        await self._backends.start()
        return self._backends.port

    def told(self) -> dict[str, int]:
        b = self._backends
        held = len(b.links)
        return {"served": b.served, "opened": b.opened, "open": held, "most_open": b.most_open}
