"""Injects the faults of a run into its nodes, discoveries, counters, endpoints and clients."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import random
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from ingress_testbed.faults import SHORT_TRANSFER, SystemCall
from ingress_testbed.soak.backend_behaviour import NORMAL
from ingress_testbed.soak.discovery import NodeDiscovery
from ingress_testbed.soak.endpoints import EndpointTable
from ingress_testbed.soak.nodes import Node
from ingress_testbed.soak.records import Fault
from ingress_testbed.standins.counter import CounterServer
from ingress_testbed.worker import Worker

CLOCK_STEPS = (3.0, -3.0, 3600.0, -3600.0, 0.0)  # s by which a wall clock is then off the real time
REJECTING_CAPACITY = 2.0  # calls a second that discovery still answers while it rejects callers


class FailingCall(NamedTuple):
    """A system call of which each `every`-th invocation fails with `error`."""

    call: SystemCall
    error: int
    every: int


FAILING_CALLS = [
    FailingCall(SystemCall.ACCEPT, errno.ENFILE, 5),
    FailingCall(SystemCall.ACCEPT, errno.ECONNABORTED, 5),
    FailingCall(SystemCall.ACCEPT, errno.EMFILE, 3),
    FailingCall(SystemCall.ACCEPT, errno.ENOBUFS, 7),
    FailingCall(SystemCall.CONNECT, errno.EADDRNOTAVAIL, 5),
    FailingCall(SystemCall.CONNECT, errno.ENETUNREACH, 7),
    FailingCall(SystemCall.SOCKET, errno.ENFILE, 5),
    FailingCall(SystemCall.SOCKET, errno.ENOBUFS, 7),
    FailingCall(SystemCall.WAIT, errno.EINTR, 3),
    FailingCall(SystemCall.READ, SHORT_TRANSFER, 3),
    FailingCall(SystemCall.WRITE, SHORT_TRANSFER, 3),
]


class Fleet(Protocol):
    """The parts of a run that faults are injected into."""

    nodes: list[Node]
    discoveries: list[NodeDiscovery]
    counters: list[CounterServer]
    clients: Worker
    backends: Worker
    endpoints: EndpointTable
    descriptor_limit: int  # open descriptors that each node's settings allow

    def configure(self, number: int, stand_in_index: int) -> None:
        """Writes a node's configuration, with discovery and counter number `stand_in_index`."""


class FaultInjector:
    """Injects faults, of which several may be active at a time.

    Attributes:
        discovery_outages: Spans in which discovery answered no call, or rejected callers.
    """

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.discovery_outages: list[tuple[float, float]] = []
        self._fleet = fleet
        self._rng = rng
        self._handlers: dict[str, Callable[[Fault, Node], Awaitable[None]]] = {
            "stop node": self._stop_node,
            "kill node": self._kill_node,
            "upgrade node": self._upgrade_node,
            "failed upgrade": self._fail_upgrade,
            "reload": self._reload,
            "reload twice": self._reload,
            "hold node up": self._suspend,
            "crowd": self._crowd,
            "discovery silent": self._silence_discovery,
            "discovery cut": self._abort_watches,
            "discovery turns away": self._reject_at_discovery,
            "counter silent": self._silence_counter,
            "counter cut": self._abort_counter_connections,
            "counter spoilt": self._return_malformed_counts,
            "drain node": self._drain_node,
            "clients leave": self._disconnect_clients,
            "drain backends": self._drain_endpoints,
            "remove backends": self._remove_endpoints,
            "restart backends": self._restart_endpoints,
            "system calls": self._fail_system_calls,
            "wall clock": self._step_wall_clock,
            "ban backend": self._ban_endpoint,
        }

    async def inject(self, fault: Fault) -> None:
        """Injects a fault, and returns once it is over."""
        handler = self._handlers.get(fault.kind, self._misbehave)
        await handler(fault, self._fleet.nodes[fault.target])

    async def _stop_node(self, fault: Fault, node: Node) -> None:
        await node.restart(by_kill=False)

    async def _kill_node(self, fault: Fault, node: Node) -> None:
        await node.restart(by_kill=True)

    async def _upgrade_node(self, fault: Fault, node: Node) -> None:
        if node.socket:
            await node.upgrade(fails=False)

    async def _fail_upgrade(self, fault: Fault, node: Node) -> None:
        if node.socket:
            await node.upgrade(fails=True)

    async def _reload(self, fault: Fault, node: Node) -> None:
        for reload_index in range(2 if fault.kind == "reload twice" else 1):
            self._fleet.configure(fault.target, (self._rng.randrange(2) + reload_index) % 2)
            node.process.reload()
            await asyncio.sleep(self._rng.uniform(0, 0.4))

    async def _suspend(self, fault: Fault, node: Node) -> None:
        await node.process.suspend(fault.seconds)

    async def _crowd(self, fault: Fault, node: Node) -> None:
        count = self._fleet.descriptor_limit
        await self._fleet.clients.call("crowd", node=fault.target, count=count, seconds=fault.seconds)

    async def _disconnect_clients(self, fault: Fault, node: Node) -> None:
        await self._fleet.clients.call("leave", node=fault.target)

    async def _silence_discovery(self, fault: Fault, node: Node) -> None:
        if any(discovery.is_silent for discovery in self._fleet.discoveries):
            return
        began_at = time.monotonic()
        for discovery in self._fleet.discoveries:
            discovery.fall_silent()
        await asyncio.sleep(fault.seconds)
        for discovery in self._fleet.discoveries:
            discovery.resume()
        self.discovery_outages.append((began_at, time.monotonic()))

    async def _abort_watches(self, fault: Fault, node: Node) -> None:
        for discovery in self._fleet.discoveries:
            discovery.abort_watches()

    async def _reject_at_discovery(self, fault: Fault, node: Node) -> None:
        began_at = time.monotonic()
        for discovery in self._fleet.discoveries:
            discovery.capacity = REJECTING_CAPACITY
            discovery.abort_watches()
        await asyncio.sleep(fault.seconds)
        for discovery in self._fleet.discoveries:
            discovery.capacity = 0.0
        self.discovery_outages.append((began_at, time.monotonic()))

    async def _silence_counter(self, fault: Fault, node: Node) -> None:
        for counter in self._fleet.counters:
            counter.is_silent = True
        await asyncio.sleep(fault.seconds)
        for counter in self._fleet.counters:
            counter.is_silent = False

    async def _abort_counter_connections(self, fault: Fault, node: Node) -> None:
        for counter in self._fleet.counters:
            for connection in list(counter.connections):
                connection.transport.abort()

    async def _return_malformed_counts(self, fault: Fault, node: Node) -> None:
        for counter in self._fleet.counters:
            counter.malformed_fraction = self._rng.choice((0.05, 0.5))
        await asyncio.sleep(fault.seconds)
        for counter in self._fleet.counters:
            counter.malformed_fraction = 0.0

    async def _drain_node(self, fault: Fault, node: Node) -> None:
        process = node.process
        await process.call("/control/out-of-service")
        await asyncio.sleep(fault.seconds)
        await process.call("/control/in-service")

    async def _fail_system_calls(self, fault: Fault, node: Node) -> None:
        failing = self._rng.choice(FAILING_CALLS)
        node.faults.set(failing.call, failing.error, failing.every)
        await asyncio.sleep(fault.seconds)
        with contextlib.suppress(ValueError):  # the run has ended, and the control file is unmapped
            node.faults.set(failing.call, SHORT_TRANSFER, 0)

    async def _step_wall_clock(self, fault: Fault, node: Node) -> None:
        node.faults.shift_wall_clock(self._rng.choice(CLOCK_STEPS))

    async def _ban_endpoint(self, fault: Fault, node: Node) -> None:
        name = self._rng.choice(self._fleet.endpoints.names)
        await node.process.call(f"/control/backends/{name}/offline")
        await asyncio.sleep(fault.seconds)
        await node.process.call(f"/control/backends/{name}/online")

    async def _misbehave(self, fault: Fault, node: Node) -> None:
        """Lets an eighth of the endpoints answer with the fault's behaviour for its duration."""
        behaviour = fault.kind.removeprefix("backend ")
        names = self._fleet.endpoints.sample(self._rng, 8)
        fraction = 1.0 if behaviour in ("down", "hang") else self._rng.choice((0.1, 0.5, 1.0))
        hosts = [self._fleet.endpoints.host(name) for name in names]
        for host in hosts:
            await self._fleet.backends.call("behave", address=host, kind=behaviour, fraction=fraction)
        await asyncio.sleep(fault.seconds)
        for host in hosts:
            await self._fleet.backends.call("behave", address=host, kind=NORMAL, fraction=1.0)

    async def _drain_endpoints(self, fault: Fault, node: Node) -> None:
        names = self._fleet.endpoints.sample(self._rng, 6)
        self._announce(self._fleet.endpoints.replace(names, "draining"))

    async def _remove_endpoints(self, fault: Fault, node: Node) -> None:
        names = self._fleet.endpoints.sample(self._rng, 6)
        self._announce(self._fleet.endpoints.replace(names, "removed"))

    async def _restart_endpoints(self, fault: Fault, node: Node) -> None:
        await asyncio.sleep(fault.seconds)
        names = self._fleet.endpoints.sample(self._rng, 6)
        self._announce(self._fleet.endpoints.restart(names))

    def _announce(self, entries: list[dict[str, object]]) -> None:
        for discovery in self._fleet.discoveries:
            discovery.apply_change([dict(entry) for entry in entries])
