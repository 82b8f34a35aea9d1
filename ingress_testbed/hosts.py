"""The stand-ins as hosts in workers: what a run asks of each."""

from __future__ import annotations

import random

from ingress_testbed.model import entry, restarts
from ingress_testbed.standins.backend import BackendServer
from ingress_testbed.standins.counter import CounterServer
from ingress_testbed.standins.discovery import DiscoveryServer


class DiscoveryHost:
    """A discovery, and the backends that it lists."""

    _discovery: DiscoveryServer
    _rng: random.Random
    _backends: int
    _port: int

    async def start(self, backends: int, port: int, seed: int, capacity: float = 0.0) -> int:
        """Lists that many backends, each at `port` of its own address. Returns discovery's port."""
        entries = [entry(number, port) for number in range(backends)]
        self._discovery = DiscoveryServer(entries, capacity=capacity)
        self._rng = random.Random(seed)
        self._backends = backends
        self._port = port
        await self._discovery.start()
        return self._discovery.port

    def change(self, lines: int = 1, each: int = 1) -> int:
        """Sends so many lines, each with `each` restarted backends. Returns the new version."""
        for _ in range(lines):
            self._discovery.apply_change(restarts(self._rng, self._backends, each, self._port))
        return self._discovery.version

    def remove(self, fraction: float) -> int:
        """Takes that part of all backends off the list, in one line. Returns the new version."""
        count = round(fraction * self._backends)
        names = self._rng.sample(sorted(self._discovery.entries), count)
        return self._discovery.apply_change([{"name": name, "status": "removed"} for name in names])

    def set_capacity(self, capacity: float) -> None:
        """Limits the calls answered a second; 0 for any number."""
        self._discovery.capacity = capacity

    def abort_watches(self) -> None:
        """Ends all watches at once."""
        self._discovery.abort_watches()

    def counts(self) -> dict[str, int]:
        """Returns what has been counted so far."""
        discovery = self._discovery
        return {
            "watches": len(discovery.watches),
            "sent": discovery.bytes_sent,
            "lines": discovery.lines_sent,
            "lists": discovery.snapshots_sent,
            "calls": discovery.call_count,
            "rejected": discovery.rejected_calls,
            "unsent": sum(watch.transport.get_write_buffer_size() for watch in discovery.watches),
            "version": discovery.version,
        }


class CounterHost:
    """A counter."""

    _counter: CounterServer

    async def start(self, partitions: int = 1, capacity: float = 0.0) -> int:
        """Returns the counter's port."""
        self._counter = CounterServer(partitions, capacity)
        await self._counter.start()
        return self._counter.port

    def counts(self) -> dict[str, int]:
        """Returns what has been counted so far."""
        counter = self._counter
        return {
            "connections": len(counter.connections),
            "adds": counter.add_count,
            "pings": counter.ping_count,
            "busy": counter.busy_count,
            "received": counter.bytes_received,
            "names": sum(len(partition.totals) for partition in counter.partitions),
        }


class BackendsHost:
    """Backends, as many as are called."""

    _backends: BackendServer

    async def start(self, work: float = 0.0) -> int:
        """Answers each request `work` seconds after it came. Returns the backends' port."""
        self._backends = BackendServer(work)
        await self._backends.start()
        return self._backends.port

    def counts(self) -> dict[str, int]:
        """Returns what has been counted so far."""
        backends = self._backends
        return {
            "served": backends.served,
            "opened": backends.opened,
            "open": len(backends.connections),
            "max_open": backends.max_open,
        }
