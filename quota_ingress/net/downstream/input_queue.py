"""Input that has been read from clients and waits to be parsed, a little at a time and in turns."""

from __future__ import annotations

import asyncio
from typing import Protocol

from quota_ingress.net.http import MemoryBudget


class UnparsedInput:
    """The bytes that have been read from one connection and not yet parsed. The memory budget counts them."""

    __slots__ = ("_budget", "_data", "_offset")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._data = b""
        self._offset = 0

    def __len__(self) -> int:
        return len(self._data) - self._offset

    def append(self, data: bytes) -> None:
        """Adds bytes that have been read."""
        self._budget.used += len(data)
        if self:
            data = self._data[self._offset :] + data
        self._data = data
        self._offset = 0

    def take(self, size: int) -> bytes:
        """Removes and returns the first `size` bytes, or all if there are fewer."""
        part = self._data[self._offset : self._offset + size]
        self._budget.used -= len(part)
        self._offset += len(part)
        if not self:
            self._data = b""
            self._offset = 0
        return part

    def clear(self) -> None:
        """Drops all bytes."""
        self.take(len(self))


class InputOwner(Protocol):
    """A connection with unparsed input."""

    def parse_input(self) -> None:
        """Parses for one turn."""


class InputQueue:
    """The connections whose input waits to be parsed, in order.

    One of them has its turn in each cycle of the event loop, however many there are: clients that send much
    at once, valid or not, wait for one another, and all others are served in between.
    """

    def __init__(self) -> None:
        """Starts empty, and schedules calls on the running event loop from the first `add` on."""
        self._owners: dict[InputOwner, None] = {}  # in order; a dictionary finds one at once
        self._scheduled = False

    def add(self, owner: InputOwner) -> None:
        """Gives the connection one turn later, unless it waits for one already."""
        self._owners.setdefault(owner)
        self._schedule()

    def _schedule(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            asyncio.get_running_loop().call_soon(self._take_turn)

    def _take_turn(self) -> None:
        self._scheduled = False
        owner = next(iter(self._owners))
        del self._owners[owner]
        owner.parse_input()
        if self._owners:
            self._schedule()
