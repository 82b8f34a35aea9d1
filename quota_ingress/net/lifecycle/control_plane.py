"""Owns the discovery and counter clients, and replaces them when a reload changes their addresses."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from quota_ingress.config import Config
from quota_ingress.net.counter.client import CounterClient
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.discovery.watch import DiscoveryWatch
from quota_ingress.net.discovery.watch_retry import NOTIFICATION_DEADLINE
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.lifecycle.upgrade_messages import EndpointListChange

RELOAD_DEADLINE_SECONDS = 4.0  # after SIGHUP, until the new discovery's endpoint list must be in use
COUNTER_SWITCH_SECONDS = 1.0  # after SIGHUP; below the 1.5 s after which the old counter closes connections
MAX_FORWARDED_ENTRIES = 10_000  # in a list change; a longer one is not forwarded. About 2 MB


class ControlPlaneClients:
    """The clients of discovery and of the quota counter.

    Attributes:
        on_list_change: Called with each list change of up to MAX_FORWARDED_ENTRIES entries from discovery, to
            forward it to the other process of an upgrade. None: nothing is forwarded.
    """

    def __init__(self, engine: Engine, overrides: OperatorOverrides, config: Config) -> None:
        """Opens no connection until `start`."""
        self.on_list_change: Callable[[EndpointListChange], None] | None = None
        self._engine = engine
        self._overrides = overrides
        self._config = config
        self._discovery: DiscoveryWatch | None = None  # None: not started
        self._next_discovery: DiscoveryWatch | None = None  # of a reload, until its first list arrives
        self._counter: CounterClient | None = None
        self._counter_switch: asyncio.Task[None] | None = None
        self._retiring: set[asyncio.Task[None]] = set()  # tasks that drain replaced counter clients
        self._list_version: int | None = None  # the last version applied at start or received from discovery
        self._early_changes: list[EndpointListChange] = []  # received from the other process before `start`

    def start(self, list_version: int | None) -> None:
        """Connects to discovery and the counter.

        Args:
            list_version: The version of the endpoint list that is already applied; None if there is none.
        """
        self._list_version = list_version
        self._discovery = self._new_discovery(self._config, list_version, NOTIFICATION_DEADLINE)
        self._counter = self._start_counter(self._config)
        self._engine.counter = self._counter
        self._discovery.start()
        early_changes = self._early_changes
        self._early_changes = []
        for change in early_changes:
            self.apply_list_change(change)

    async def wait_for_list(self, timeout_seconds: float) -> None:
        """Returns once discovery has sent a snapshot or a delta, or after the timeout."""
        if self._discovery:
            await _wait_for(self._discovery.first_list_received, timeout_seconds)

    async def wait_for_counter(self, timeout_seconds: float) -> None:
        """Returns once the counter is connected, or after the timeout."""
        if self._counter:
            await _wait_for(self._counter.connected, timeout_seconds)

    def apply(self, config: Config) -> None:
        """Starts clients for addresses that a reload changed.

        The old discovery stays in use until the new one has sent its list; for the counter see
        `_switch_counter`.
        """
        newest = self._next_discovery or self._discovery
        if newest is None or config.discovery != newest.address:
            if self._next_discovery:
                self._next_discovery.stop()
            self._next_discovery = self._new_discovery(config, None, RELOAD_DEADLINE_SECONDS)
            self._next_discovery.start()
        if config.counter != self._config.counter:
            if self._counter_switch:
                self._counter_switch.cancel()
            self._counter_switch = asyncio.get_running_loop().create_task(self._switch_counter(config))
        self._config = config

    def apply_list_change(self, change: EndpointListChange) -> None:
        """Applies a list change forwarded by the other process of an upgrade.

        A change from a discovery at another address is ignored; one that arrives before `start` is kept until
        then.
        """
        if self._discovery is None:
            self._early_changes.append(change)
        elif change.discovery == self._discovery.address:
            self._discovery.receive_from_peer(change.endpoints, change.after)

    def stop(self) -> None:
        """Closes all connections immediately."""
        for task in (self._counter_switch, *self._retiring):
            if task:
                task.cancel()
        for client in (self._discovery, self._next_discovery, self._counter):
            if client:
                client.stop()

    def _new_discovery(
        self, config: Config, list_version: int | None, deadline_seconds: float
    ) -> DiscoveryWatch:
        discovery = DiscoveryWatch(
            config.discovery,
            list_version,
            lambda endpoints: self._on_list(discovery, endpoints),
            config.settings.fleet_size,
            deadline_seconds,
            self._engine.directory,
            self._engine.event_log,
        )
        return discovery

    def _start_counter(self, config: Config) -> CounterClient | None:
        if config.counter is None:
            return None
        counter = CounterClient(config.counter, config.settings.counter.timeout, config.settings.fleet_size)
        counter.start()
        return counter

    def _on_list(self, discovery: DiscoveryWatch, endpoints: EndpointList) -> None:
        if discovery is self._next_discovery:
            if self._discovery:
                self._discovery.stop()
            self._discovery = discovery
            self._next_discovery = None
        if discovery is not self._discovery:
            return  # a replaced client may still deliver one more line before it closes
        previous_version = self._list_version
        self._list_version = endpoints.version
        if self.on_list_change and len(endpoints.packed) <= MAX_FORWARDED_ENTRIES:
            # Forwarded without the operator overrides: the other process applies its own.
            self.on_list_change(EndpointListChange(discovery.address, previous_version, endpoints))
        self._overrides.apply_list(endpoints)

    async def _switch_counter(self, config: Config) -> None:
        """Uses the old counter until the new one is connected, at most for COUNTER_SWITCH_SECONDS."""
        new = self._start_counter(config)
        old = self._counter
        try:
            if new:
                await _wait_for(new.connected, COUNTER_SWITCH_SECONDS)
        except asyncio.CancelledError:  # another reload, or the process is stopping
            if new:
                new.stop()
            raise
        self._counter = new
        self._engine.counter = new
        if old:
            task = asyncio.get_running_loop().create_task(old.drain())
            self._retiring.add(task)
            task.add_done_callback(self._retiring.discard)


async def _wait_for(event: asyncio.Event, timeout_seconds: float) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_seconds):
            await event.wait()
