"""The stand-ins as workers' hosts: what a run asks of each."""

from __future__ import annotations

import random

from ingress_testbed.model import entry, restarts
from ingress_testbed.standins.backend import BackendServer
from ingress_testbed.standins.counter import CounterServer
from ingress_testbed.standins.discovery import DiscoveryServer


class DiscoveryHost:
    _discovery: DiscoveryServer

    async def start(self, backends: int, port: int, seed: int, capacity: float = 0.0) -> int:
        """Lists that many backends at `port`; the port it listens on itself."""
        entries = [entry(n, port) for n in range(backends)]
        self._discovery = DiscoveryServer(entries, capacity=capacity)
        self._rng, self._backends, self._port = random.Random(seed), backends, port
        await self._discovery.start()
        return self._discovery.port

    def change(self, lines: int = 1, each: int = 1) -> int:
        """So many lines, each with so many backends that have restarted; the new version."""
        for _ in range(lines):
            self._discovery.apply_change(restarts(self._rng, self._backends, each, self._port))
        return self._discovery.version

    def lose(self, part: float) -> int:
        """Takes that part of all backends off the list, in one line; the new version."""
        gone = self._rng.sample(sorted(self._discovery.entries), round(part * self._backends))
        return self._discovery.apply_change([{"name": name, "status": "removed"} for name in gone])

    def limit(self, capacity: float) -> None:
        self._discovery.capacity = capacity

    def cut(self) -> None:
        self._discovery.abort_watches()

    def told(self) -> dict[str, int]:
        d = self._discovery
        unsent = sum(w.transport.get_write_buffer_size() for w in d.watches)
        return {
            "watches": len(d.watches),
            "sent": d.bytes_sent,
            "told": d.lines_sent,
            "lists": d.snapshots_sent,
            "calls": d.call_count,
            "turned_away": d.rejected_calls,
            "unsent": unsent,
            "index": d.version,
        }


class CounterHost:
    _counter: CounterServer

    async def start(self, parts: int = 1, capacity: float = 0.0) -> int:
        self._counter = CounterServer(parts, capacity)
        await self._counter.start()
        return self._counter.port

    def told(self) -> dict[str, int]:
        c = self._counter
        names = sum(len(p.totals) for p in c.partitions)
        return {
            "connections": len(c.connections),
            "adds": c.add_count,
            "pings": c.ping_count,
            "busy": c.busy_count,
            "received": c.bytes_received,
            "names": names,
        }


class BackendsHost:
    _backends: BackendServer

    async def start(self, work: float = 0.0) -> int:
        self._backends = BackendServer(work)
        await self._backends.start()
        return self._backends.port

    def told(self) -> dict[str, int]:
        b = self._backends
        held = len(b.connections)
        return {"served": b.served, "opened": b.opened, "open": held, "most_open": b.max_open}
