"""Watch on the endpoint list, reopened from the current version whenever it ends or falls silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_ingress.net.dial import dial
from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.watch_connection import WatchConnection
from quota_ingress.net.discovery.watch_retry import (
    CONNECT_TIMEOUT,
    NOTIFICATION_DEADLINE,
    CallEnd,
    WatchRetryPolicy,
)
from quota_ingress.net.event_log import EventLog


class DiscoveryWatch:
    """Keeps the endpoint list up to date with one discovery service.

    Attributes:
        address: Host and port of the discovery service.
        version: The current version of the list, or None without one.
        directory: The current list, if it may be long; snapshots that repeat its entries share its strings.
        first_list_received: Set once a snapshot or delta has been received.
        retry: Determines waits and timeouts of the calls.
    """

    def __init__(
        self,
        address: tuple[str, int],
        version: int | None,
        on_list: Callable[[EndpointList], None],
        fleet_size: int = 1,
        first_list_deadline: float = NOTIFICATION_DEADLINE,
        directory: EndpointDirectory | None = None,
        trace: EventLog | None = None,
    ) -> None:
        """Makes no call before `start`.

        Args:
            address: Host and port of the discovery service.
            version: The current version of the list; without one, a snapshot is fetched first.
            on_list: Called with each snapshot and each delta.
            fleet_size: Number of ingresses that share the discovery service.
            first_list_deadline: Seconds within which the first list must arrive if discovery is reachable.
            directory: The current list, if it may be long.
            trace: Receives an event for each list received and for the end of each call.
        """
        self.address = address
        self.version = version
        self.directory = directory
        self.first_list_received = asyncio.Event()
        self.retry = WatchRetryPolicy(fleet_size, first_list_deadline)
        self._on_list = on_list
        self._trace = trace or EventLog()
        self._peer_version = 0  # of the last list from the other process of an upgrade; 0 after a newer list
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Opens the watch in a new task."""
        self._task = asyncio.get_running_loop().create_task(self._keep_watching())

    def stop(self) -> None:
        """Ends the watch and its connection."""
        if self._task:
            self._task.cancel()

    def receive_from_peer(self, endpoint_list: EndpointList, base_version: int | None) -> None:
        """Applies a list that the other process of an upgrade received from the same discovery service.

        A delta whose base version has not been received here is ignored, since the changes between the two
        versions would be missed. This process's own watch may deliver the same and earlier deltas again;
        `receive` ignores them.

        Args:
            endpoint_list: The snapshot or delta.
            base_version: The version that the delta builds on; None if the peer had none.
        """
        if self.version is None or endpoint_list.version <= self.version:
            return
        has_base_version = base_version is not None and base_version <= self.version
        if endpoint_list.is_snapshot or has_base_version:
            self.receive(endpoint_list)
            self._peer_version = endpoint_list.version

    def receive(self, endpoint_list: EndpointList) -> None:
        """Applies a list from the watch, unless it is a delta that the peer process has delivered already."""
        if not endpoint_list.is_snapshot and endpoint_list.version <= self._peer_version:
            return
        self._peer_version = 0
        self._trace.event(
            "endpoint list received",
            "snapshot" if endpoint_list.is_snapshot else "delta",
            version=endpoint_list.version,
            entries=len(endpoint_list.packed),
        )
        self.version = endpoint_list.version
        self._on_list(endpoint_list)
        self.first_list_received.set()

    async def _keep_watching(self) -> None:
        loop = asyncio.get_running_loop()
        needs_snapshot = self.version is None
        while True:
            self.retry.on_call(loop.time())
            end = await self._call(needs_snapshot)
            self._trace.event("watch ended", end.name.lower(), version=self.version)
            # After an empty response, further watches may be empty, too.
            needs_snapshot = end is CallEnd.EMPTY or self.version is None
            if wait := self.retry.next_wait(end, loop.time()):
                await asyncio.sleep(wait)

    async def _call(self, needs_snapshot: bool) -> CallEnd:
        """Makes one call, waits until its connection closes, and returns how it ended."""
        connection = WatchConnection(self, needs_snapshot)
        try:
            await dial(connection, self.address, CONNECT_TIMEOUT)
        except OSError:
            return CallEnd.DISCONNECTED
        try:
            await connection.closed.wait()
        finally:
            connection.transport.abort()
        if connection.has_message:
            self.retry.on_call_success(connection.end)
        return connection.end
