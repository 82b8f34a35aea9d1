"""The endpoints that a run's discovery lists."""

from __future__ import annotations

import random
import time
from typing import Any

from ingress_testbed.model import address, entry


class EndpointTable:
    """The entries of the list, by name, and the numbers that are still to be used."""

    def __init__(self, count: int, port: int) -> None:
        """Starts with `count` endpoints that all listen at `port`, each at an address of its own."""
        self._port = port
        self._entries = {made["name"]: made for made in (entry(n, port) for n in range(count))}
        self._next_number = count

    @property
    def entries(self) -> list[dict[str, Any]]:
        """The entries as discovery tells them."""
        return list(self._entries.values())

    @property
    def names(self) -> list[str]:
        """The names, sorted."""
        return sorted(self._entries)

    def host(self, name: str) -> str:
        """Returns the address of a listed endpoint, without its port."""
        return str(self._entries[name]["address"].partition(":")[0])

    def sample(self, rng: random.Random, parts: int) -> list[str]:
        """Draws one in `parts` of the names, one at the least."""
        return rng.sample(self.names, max(1, len(self._entries) // parts))

    def replace(self, names: list[str], status: str) -> list[dict[str, Any]]:
        """Takes endpoints off the list with a last `status`, and lists as many new ones.

        Returns:
            The changed entries, those that leave before those that come.
        """
        leaving = [self._entries.pop(name) | {"status": status} for name in names]
        coming = []
        for _ in names:
            made = entry(self._next_number, self._port, since_ms=_now_ms())
            self._next_number += 1
            self._entries[made["name"]] = made
            coming.append(made)
        return leaving + coming

    def restart(self, names: list[str]) -> list[dict[str, Any]]:
        """Lists endpoints as started just now. Returns the changed entries."""
        restarted = [self._entries[name] | {"since_ms": _now_ms()} for name in names]
        self._entries |= {made["name"]: made for made in restarted}
        return restarted


def host_of(name: str) -> str:
    """Returns the address of the endpoint of that name, listed or not."""
    return address(int(name.partition("-")[2], 16), 0).partition(":")[0]


def _now_ms() -> int:
    return round(time.time() * 1000)
