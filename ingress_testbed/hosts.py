"""Classes that run the fake discovery service, counter and backends in worker processes.

Experiments call their methods by name.
"""

from __future__ import annotations

import random

from ingress_testbed.model import draw_restarts, entry
from ingress_testbed.standins.backend import BackendServer
from ingress_testbed.standins.counter import CounterServer
from ingress_testbed.standins.discovery import DiscoveryServer


class DiscoveryHost:
    """Runs a discovery server, which lists backends and sends changes when the experiment asks for them."""

    _discovery: DiscoveryServer
    _rng: random.Random
    _backends: int
    _port: int

    async def start(self, backends: int, port: int, seed: int, capacity: float = 0.0) -> int:
        """Starts the discovery server; returns its port.

        Args:
            backends: Number of listed backends, each at a different loopback address.
            port: Port of every backend.
            seed: Seed of the random changes.
            capacity: Calls answered per second; 0 for no limit.
        """
        entries = [entry(number, port) for number in range(backends)]
        self._discovery = DiscoveryServer(entries, capacity=capacity)
        self._rng = random.Random(seed)
        self._backends = backends
        self._port = port
        await self._discovery.start()
        return self._discovery.port

    def change(self, lines: int = 1, each: int = 1) -> int:
        """Sends `lines` change lines, each of which restarts `each` random backends.

        Returns the list's new version.
        """
        for _ in range(lines):
            self._discovery.apply_change(draw_restarts(self._rng, self._backends, each, self._port))
        return self._discovery.version

    def remove(self, fraction: float) -> int:
        """Removes random backends in one change line; returns the list's new version.

        Their number is `fraction` of the initial number of backends, also after earlier removals.
        """
        count = round(fraction * self._backends)
        names = self._rng.sample(sorted(self._discovery.entries), count)
        return self._discovery.apply_change([{"name": name, "status": "removed"} for name in names])

    def set_capacity(self, capacity: float) -> None:
        """Sets the calls answered per second; 0 for no limit."""
        self._discovery.capacity = capacity

    def abort_watches(self) -> None:
        """Aborts the connections of all watches at once."""
        self._discovery.abort_watches()

    def counts(self) -> dict[str, int]:
        """Returns totals since the start, and the current `watches`, `version` and `unsent` bytes."""
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
    """Runs a counter server."""

    _counter: CounterServer

    async def start(self, partitions: int = 1, capacity: float = 0.0) -> int:
        """Starts the counter; returns its port.

        Args:
            partitions: Number of partitions, which serve calls independently.
            capacity: Calls answered per second by each partition; 0 for no limit.
        """
        self._counter = CounterServer(partitions, capacity)
        await self._counter.start()
        return self._counter.port

    def counts(self) -> dict[str, int]:
        """Returns totals since the start, and the current numbers of `connections` and `names`."""
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
    """Runs one server that stands for all backends: it answers at every loopback address."""

    _backends: BackendServer

    async def start(self, work: float = 0.0) -> int:
        """Starts the backends, which answer each request after `work` seconds; returns their port."""
        self._backends = BackendServer(work)
        await self._backends.start()
        return self._backends.port

    def counts(self) -> dict[str, int]:
        """Returns totals since the start, the current number of `open` connections, and `max_open`.

        `max_open` is the highest number of connections that one backend has had open at once.
        """
        backends = self._backends
        return {
            "served": backends.served,
            "opened": backends.opened,
            "open": len(backends.connections),
            "max_open": backends.max_open,
        }
