"""The run's discovery: one agent address a node, and a note of what each node has been told, and when."""

from __future__ import annotations

import time
from typing import Any

from fleetlab.soak.records import Told
from fleetlab.standins.discovery import Caller, Discovery

DEADLINE = 6.0  # s after which a change counts as told, once discovery has it and can be reached


def agent(node: int, port: int) -> str:
    return f"127.9.0.{node + 1}:{port}"


class NodeDiscovery(Discovery):
    """Which node a caller is shows in the address that it calls."""

    def __init__(self, entries: list[dict[str, Any]], index: int = 1) -> None:
        super().__init__(entries, index)
        self.ends: list[tuple[int, str, float]] = []  # version, backend, when: it drains or is removed
        self.written: dict[tuple[int, int], float] = {}  # by node and version: when it was first written
        self.silences: list[tuple[float, float]] = []

    async def start(self) -> None:
        await self.serve(lambda: NodeCaller(self))
        self.every(2.0, self._beat)

    def change(self, entries: list[dict[str, Any]]) -> int:
        now = time.monotonic()
        for entry in entries:
            if entry["status"] != "up":
                self.ends.append((self.index + 1, entry["name"], now))
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
            self.written.setdefault((node, self.index), time.monotonic())

    def fall_silent(self) -> None:
        super().fall_silent()
        self.silences.append((time.monotonic(), float("inf")))

    def speak(self) -> None:
        self.silences[-1] = (self.silences[-1][0], time.monotonic())
        super().speak()

    def told_by_node(self, nodes: int) -> list[Told]:
        """For each end of a backend and each node: when it counts as told."""
        found = []
        for version, name, at in self.ends:
            reached = max([at, *(until for since, until in self.silences if since <= at < until)])
            for node in range(nodes):
                written = [t for (n, v), t in self.written.items() if n == node and v >= version]
                due = reached + DEADLINE
                if written and min(written) <= due:
                    found.append(Told(node, name, min(written)))
                elif due < float("inf"):
                    found.append(Told(node, name, due, by_deadline=True))
        return found


class NodeCaller(Caller):
    _discovery: NodeDiscovery

    def _answer(self, target: str) -> None:
        turned_away = self._discovery.turned_away
        super()._answer(target)
        if self._discovery.turned_away == turned_away:
            self._discovery.note(self)


