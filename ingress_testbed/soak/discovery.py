"""The run's discovery: one agent address a node, and a note of what each node has been told, and when."""

from __future__ import annotations

import time
from typing import Any

from ingress_testbed.soak.records import Withdrawal, Written
from ingress_testbed.standins.discovery import Caller, Discovery


def agent(node: int, port: int) -> str:
    """Returns the address at which node number `node` calls discovery."""
    return f"127.9.0.{node + 1}:{port}"


class NodeDiscovery(Discovery):
    """Which node a caller is shows in the address that it calls."""

    def __init__(self, entries: list[dict[str, Any]], index: int = 1) -> None:
        super().__init__(entries, index)
        self.withdrawals: list[Withdrawal] = []
        self.written: list[Written] = []

    async def start(self) -> None:
        """Listens at every loopback address, and beats each 2 s."""
        await self.serve(lambda: NodeCaller(self))
        self.every(2.0, self._beat)

    def change(self, entries: list[dict[str, Any]]) -> int:
        """Tells changed entries, and records those that leave. Returns the new version."""
        now = time.monotonic()
        for entry in entries:
            if entry["status"] != "up":
                self.withdrawals.append(Withdrawal(self.index + 1, entry["name"], now))
        return super().change(entries)

    def _tell(self, line: bytes) -> None:
        super()._tell(line)
        for watch in self.watches:
            self.note(watch)

    def note(self, caller: Caller) -> None:
        """It has been written all up to the present version."""
        host = caller.transport.get_extra_info("sockname")
        if host:
            node = int(host[0].rpartition(".")[2]) - 1
            self.written.append(Written(node, self.index, time.monotonic()))


class NodeCaller(Caller):
    """A call of a node: what it has been written is recorded."""

    _discovery: NodeDiscovery

    def _answer(self, target: str) -> None:
        turned_away = self._discovery.turned_away
        super()._answer(target)
        if self._discovery.turned_away == turned_away:
            self._discovery.note(self)
