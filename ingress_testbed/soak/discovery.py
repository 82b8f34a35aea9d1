"""The run's discovery: one address for each node, and records of the lists written to each node."""

from __future__ import annotations

import time
from typing import Any

from ingress_testbed.soak.records import ListWrite, Withdrawal
from ingress_testbed.standins.discovery import DiscoveryConnection, DiscoveryServer


def agent_address(node: int, port: int) -> str:
    """Returns the address and port at which node number `node` calls discovery."""
    return f"127.9.0.{node + 1}:{port}"


class NodeDiscovery(DiscoveryServer):
    """Discovery with one address for each node; the address that is called identifies the node."""

    def __init__(self, entries: list[dict[str, Any]], version: int = 1) -> None:
        super().__init__(entries, version)
        self.withdrawals: list[Withdrawal] = []
        self.list_writes: list[ListWrite] = []

    async def start(self) -> None:
        """Listens at every loopback address, and sends a heartbeat every 2 s."""
        await self.serve(lambda: NodeConnection(self))
        self.every(2.0, self._send_heartbeat)

    def apply_change(self, entries: list[dict[str, Any]]) -> int:
        """Announces changed entries, and records those that are no longer up. Returns the new version."""
        now = time.monotonic()
        for entry in entries:
            if entry["status"] != "up":
                self.withdrawals.append(Withdrawal(self.version + 1, entry["name"], now))
        return super().apply_change(entries)

    def _send_to_watches(self, line: bytes) -> None:
        super()._send_to_watches(line)
        for watch in self.watches:
            self.record_write(watch)

    def record_write(self, connection: DiscoveryConnection) -> None:
        """Records that the list up to the current version has been written to the connection's node."""
        host = connection.transport.get_extra_info("sockname")
        if host:
            node = int(host[0].rpartition(".")[2]) - 1
            self.list_writes.append(ListWrite(node, self.version, time.monotonic()))


class NodeConnection(DiscoveryConnection):
    """A connection of a node: records the lists that are written to it."""

    _server: NodeDiscovery

    def _answer(self, target: str) -> None:
        rejected_calls = self._server.rejected_calls
        super()._answer(target)
        if self._server.rejected_calls == rejected_calls:
            self._server.record_write(self)
