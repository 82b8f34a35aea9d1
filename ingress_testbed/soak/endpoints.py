"""The endpoints that a run's discovery lists."""

from __future__ import annotations

import random
import time
from typing import Any

from ingress_testbed.model import address, entry


class EndpointTable:
    """The current entries of the endpoint list. Each new endpoint gets a number not used before."""

    def __init__(self, count: int, port: int) -> None:
        """Starts with `count` endpoints that all listen at `port`, each at a different address."""
        self._port = port
        self._entries = {listed["name"]: listed for listed in (entry(n, port) for n in range(count))}
        self._next_number = count

    @property
    def entries(self) -> list[dict[str, Any]]:
        """The entries in the form that discovery sends."""
        return list(self._entries.values())

    @property
    def names(self) -> list[str]:
        """The names of the listed endpoints, sorted."""
        return sorted(self._entries)

    def host(self, name: str) -> str:
        """Returns the address of a listed endpoint, without its port."""
        return str(self._entries[name]["address"].partition(":")[0])

    def sample(self, rng: random.Random, parts: int) -> list[str]:
        """Draws 1/`parts` of the names, at least one."""
        return rng.sample(self.names, max(1, len(self._entries) // parts))

    def replace(self, names: list[str], status: str) -> list[dict[str, Any]]:
        """Replaces endpoints by as many new ones; `status` is the status of the replaced ones from now on.

        Returns:
            The changed entries: those of the replaced endpoints, then those of the new ones.
        """
        replaced = [self._entries.pop(name) | {"status": status} for name in names]
        added = []
        for _ in names:
            listed = entry(self._next_number, self._port, since_ms=_now_ms())
            self._next_number += 1
            self._entries[listed["name"]] = listed
            added.append(listed)
        return replaced + added

    def restart(self, names: list[str]) -> list[dict[str, Any]]:
        """Lists endpoints as started now. Returns the changed entries."""
        restarted = [self._entries[name] | {"since_ms": _now_ms()} for name in names]
        self._entries |= {listed["name"]: listed for listed in restarted}
        return restarted


def host_of(name: str) -> str:
    """Returns the address, without its port, of the endpoint of that name, listed or not."""
    return address(int(name.partition("-")[2], 16), 0).partition(":")[0]


def _now_ms() -> int:
    return round(time.time() * 1000)
