"""The run's discovery: one agent address a node, and a note of what each node has been told, and when."""

from __future__ import annotations

import time
from typing import Any

from ingress_testbed.soak.records import Withdrawal, Written
from ingress_testbed.standins.discovery import DiscoveryConnection, DiscoveryServer


def agent(node: int, port: int) -> str:
    """Returns the address at which node number `node` calls discovery."""
    return f"127.9.0.{node + 1}:{port}"


class NodeDiscovery(DiscoveryServer):
    """Which node a caller is shows in the address that it calls."""

    def __init__(self, entries: list[dict[str, Any]], version: int = 1) -> None:
        super().__init__(entries, version)
        self.withdrawals: list[Withdrawal] = []
        self.written: list[Written] = []

    async def start(self) -> None:
        """Listens at every loopback address, and beats each 2 s."""
        await self.serve(lambda: NodeCaller(self))
        self.every(2.0, self._send_heartbeat)

    def apply_change(self, entries: list[dict[str, Any]]) -> int:
        """Tells changed entries, and records those that leave. Returns the new version."""
        now = time.monotonic()
        for entry in entries:
            if entry["status"] != "up":
                self.withdrawals.append(Withdrawal(self.version + 1, entry["name"], now))
        return super().apply_change(entries)

    def _send_to_watches(self, line: bytes) -> None:
        super()._send_to_watches(line)
        for watch in self.watches:
            self.note(watch)

    def note(self, caller: DiscoveryConnection) -> None:
        """It has been written all up to the present version."""
        host = caller.transport.get_extra_info("sockname")
        if host:
            node = int(host[0].rpartition(".")[2]) - 1
            self.written.append(Written(node, self.version, time.monotonic()))


class NodeCaller(DiscoveryConnection):
    """A call of a node: what it has been written is recorded."""

    _server: NodeDiscovery

    def _answer(self, target: str) -> None:
        rejected_calls = self._server.rejected_calls
        super()._answer(target)
        if self._server.rejected_calls == rejected_calls:
            self._server.note(self)
