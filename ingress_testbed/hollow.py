"""Hollow ingresses, many to a process: the real watch, counter client, engine and module, with neither
clients nor backends on sockets. Each applies changes and paces its calls as a real one does.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import random
import time
from collections.abc import Callable, Iterable
from typing import Any

from ingress_testbed.model import Shape, address
from quota_ingress.net.clock import Clock
from quota_ingress.net.counter.client import CounterClient
from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.discovery.watch import DiscoveryWatch
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.http import Body, MemoryBudget
from quota_ingress.policy.events import Outcome
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Settings
from quota_ingress.settings_codec import settings_from_json

WORK = 0.005  # s until an attempt is answered


class Attempt:
    """An exchange that no socket carries."""

    written = True

    def __init__(self, ended: Callable[[AttemptResult], None]) -> None:
        self._timer = asyncio.get_running_loop().call_later(WORK, ended, AttemptResult(Outcome.OK))

    def abort(self) -> bool:
        self._timer.cancel()
        return True

    def withdraw(self) -> bool:
        return False


class HollowUpstream:
    """Backends that answer all."""

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None: ...
    def reconcile(self, gone: Iterable[int]) -> None: ...
    def close_idle_connections(self, backend: int) -> None: ...

    def send(
        self,
        backend: int,
        head: bytes,
        ended: Callable[[AttemptResult], None],
        once: bool = False,
        body: Body | None = None,
        started: Callable[[AttemptResult], None] | None = None,
        permit: Callable[[], bytes | None] = lambda: b"",
    ) -> Attempt:
        permit()
        return Attempt(ended)

    def probe(self, backend: int, ended: Callable[[AttemptResult], None]) -> None:
        Attempt(ended)


class Client:
    """Counts what the clients of one hollow ingress got."""

    def __init__(self) -> None:
        self.served = self.refused = self.failed = 0

    def respond(self, answer: AttemptResult) -> None:
        self.served += 1

    stream_response = respond

    def disconnected(self) -> bool:
        return False

    def reject(self, retry_after: int) -> None:
        self.refused += 1

    def fail(self, timed_out: bool) -> None:
        self.failed += 1


class Hollow:
    def __init__(
        self, settings: Settings, raw: dict[str, Any], discovery: tuple[str, int], counter: tuple[str, int]
    ) -> None:
        loop, clock = asyncio.get_running_loop(), Clock()
        self.seen: dict[int, float] = {}  # by version of the list, when it was in force (monotonic clock)
        self.client, self._rng = Client(), random.Random(settings.gateway_index)
        gateway = Gateway(settings, settings.gateway_index + 1)
        index = SettingsIndex(settings, raw)
        self.engine = Engine(gateway, settings, index, HollowUpstream(), loop, clock.now)
        directory = self.engine.directory
        self.maintenance = OperatorOverrides(clock.now, self.engine.update_endpoints, directory=directory)
        self.counter = CounterClient(counter, settings.counter.timeout, settings.fleet_size)
        self.engine.counter = self.counter
        self.discovery = DiscoveryWatch(
            discovery, None, self._listed, settings.fleet_size, directory=directory
        )
        self._room = MemoryBudget()
        self._number = 0

    def start(self) -> None:
        self.discovery.start()
        self.counter.start()

    def _listed(self, listing: EndpointList) -> None:
        self.maintenance.apply_list(listing)
        self.seen[listing.version] = time.monotonic()

    async def asks(self, rate: float, seconds: float, customers: int, spread: int) -> None:
        """Requests at drawn moments, straight into the engine."""
        loop, settings = asyncio.get_running_loop(), self.engine.settings
        due, end = loop.time(), loop.time() + seconds
        while (due := due + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            self._number += 1
            body = Body(self._room)
            body.complete = True
            wanted = ParsedRequest(
                b"%x-%x" % (settings.gateway_index, self._number),
                0,
                0,
                self._rng.randrange(customers),
                1.0,
                spread,
                0,
                3_000_000,
                self.engine.now(),
                False,
                b"",
                body,
            )
            self.engine.on_request(wanted, self.client)


class Crowd:
    """The worker's host: a part of the fleet."""

    def __init__(self) -> None:
        self._all: list[Hollow] = []

    async def start(
        self, first: int, count: int, fleet_size: int, discovery: list[Any], counter: int, pace: float
    ) -> int:
        """Starts ingresses number `first` and on, `pace` s apart. Each calls the counter at an address of its
        own, so that the counter, which holds so many connections of one, can tell them apart.
        """
        raw = Shape(fleet_size=fleet_size).settings()
        settings = settings_from_json(json.dumps(raw).encode())
        for me in range(first, first + count):
            own = (address(me, counter).partition(":")[0], counter)
            made = Hollow(dataclasses.replace(settings, gateway_index=me), raw, tuple(discovery), own)
            self._all.append(made)
            made.start()
            await asyncio.sleep(pace)
        return len(self._all)

    def in_force(self, version: int) -> list[float]:
        """When each had that version, or a later one; a machine-wide clock. Missing ones are left out."""
        return [t for h in self._all if (t := _first(h.seen, version)) is not None]

    async def requests(self, rate: float, seconds: float, customers: int, spread: int) -> dict[str, int]:
        """`rate` a second at each of them."""
        await asyncio.gather(*(h.asks(rate, seconds, customers, spread) for h in self._all))
        await asyncio.sleep(1.0)
        clients = [h.client for h in self._all]
        return {n: sum(getattr(c, n) for c in clients) for n in ("served", "refused", "failed")}


def _first(seen: dict[int, float], version: int) -> float | None:
    return min((at for index, at in seen.items() if index >= version), default=None)
