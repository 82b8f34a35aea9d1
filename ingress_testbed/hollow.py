"""Hollow ingresses, many to a process: real but for clients and backends, which are not on sockets.

The watch, the counter's client, the engine and the policy are the real ones: each ingress applies changes and
paces its calls as a real one does.
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

ATTEMPT_LATENCY = 0.005  # s
REQUEST_TIMEOUT_US = 3_000_000
LAST_ANSWERS_TIME = 1.0  # s after the last request

OnResult = Callable[[AttemptResult], None]


class HollowExchange:
    """An attempt that no socket carries: it is served after ATTEMPT_LATENCY."""

    written = True

    def __init__(self, on_result: OnResult) -> None:
        """Reports to `on_result`."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(ATTEMPT_LATENCY, on_result, AttemptResult(Outcome.OK))

    def abort(self) -> bool:
        """Gives the attempt up. Returns that it may have run."""
        self._timer.cancel()
        return True

    def withdraw(self) -> bool:
        """Returns that the attempt has been written already."""
        return False


class HollowUpstream:
    """Backends that serve all."""

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Does nothing."""

    def reconcile(self, gone: Iterable[int]) -> None:
        """Does nothing."""

    def close_idle_connections(self, backend: int) -> None:
        """Does nothing."""

    def send(
        self,
        backend: int,
        head: bytes,
        ended: OnResult,
        once: bool = False,
        body: Body | None = None,
        started: OnResult | None = None,
        permit: Callable[[], bytes | None] = lambda: b"",
    ) -> HollowExchange:
        """Begins an attempt at once."""
        permit()
        return HollowExchange(ended)

    def probe(self, backend: int, ended: OnResult) -> None:
        """Answers a health check."""
        HollowExchange(ended)


class HollowClient:
    """Counts what the clients of one hollow ingress got."""

    def __init__(self) -> None:
        self.served = 0
        self.refused = 0
        self.failed = 0

    def respond(self, answer: AttemptResult) -> None:
        """Counts an answer."""
        self.served += 1

    stream_response = respond

    def disconnected(self) -> bool:
        """Returns that the client is still there."""
        return False

    def reject(self, retry_after: int) -> None:
        """Counts a rejection."""
        self.refused += 1

    def fail(self, timed_out: bool) -> None:
        """Counts a failure."""
        self.failed += 1


class HollowIngress:
    """One ingress without sockets for clients and backends.

    Attributes:
        in_force_at: By version of the list, when it was in force (monotonic clock).
        client: Counts the answers.
        watch: Its watch on the endpoint list.
        counter: Its client of the counter.
    """

    def __init__(
        self, settings: Settings, raw: dict[str, Any], discovery: tuple[str, int], counter: tuple[str, int]
    ) -> None:
        """Opens no connection before `start`.

        Args:
            settings: The settings, with this ingress's number.
            raw: The settings as JSON has them.
            discovery: Host and port.
            counter: Host and port.
        """
        clock = Clock()
        self.in_force_at: dict[int, float] = {}
        self.client = HollowClient()
        self._rng = random.Random(settings.gateway_index)
        self._memory = MemoryBudget()
        self._last_number = 0
        self._engine = Engine(
            Gateway(settings, settings.gateway_index + 1),
            settings,
            SettingsIndex(settings, raw),
            HollowUpstream(),
            asyncio.get_running_loop(),
            clock.now,
        )
        directory = self._engine.directory
        self._overrides = OperatorOverrides(clock.now, self._engine.update_endpoints, directory=directory)
        self.counter = CounterClient(counter, settings.counter.timeout, settings.fleet_size)
        self._engine.counter = self.counter
        self.watch = DiscoveryWatch(
            discovery, None, self._apply_list, settings.fleet_size, directory=directory
        )

    def start(self) -> None:
        """Connects to discovery and the counter."""
        self.watch.start()
        self.counter.start()

    def stop(self) -> None:
        """Ends these connections."""
        self.watch.stop()
        self.counter.stop()

    def in_force_since(self, version: int) -> float | None:
        """Returns when that version or a later one was in force; None if none is yet."""
        moments = (moment for known, moment in self.in_force_at.items() if known >= version)
        return min(moments, default=None)

    async def play(self, rate: float, seconds: float, customers: int, spread: int) -> None:
        """Plays `rate` requests a second at drawn moments, straight into the engine."""
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + seconds
        while (due := due + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            request = self._build_request(self._rng.randrange(customers), spread)
            self._engine.on_request(request, self.client)

    def _build_request(self, customer: int, spread: int) -> ParsedRequest:
        self._last_number += 1
        body = Body(self._memory)
        body.complete = True
        return ParsedRequest(
            id=b"%x-%x" % (self._engine.settings.gateway_index, self._last_number),
            request_class=0,
            plan=0,
            customer=customer,
            units=1.0,
            gateway_count=spread,
            first_gateway=0,
            timeout=REQUEST_TIMEOUT_US,
            received_at=self._engine.now(),
            is_retry=False,
            head=b"",
            body=body,
        )

    def _apply_list(self, endpoint_list: EndpointList) -> None:
        self._overrides.apply_list(endpoint_list)
        self.in_force_at[endpoint_list.version] = time.monotonic()


class HollowFleet:
    """A part of the fleet, in a worker."""

    def __init__(self) -> None:
        self._ingresses: list[HollowIngress] = []

    async def start(
        self, first: int, count: int, fleet_size: int, discovery: list[Any], counter: int, pace: float
    ) -> int:
        """Starts ingresses, and returns how many there are.

        Each calls the counter at an address of its own, so that the counter, which holds so many connections
        of one caller, can tell them apart.

        Args:
            first: Number of the first one.
            count: How many to start.
            fleet_size: Ingresses of the whole fleet, as the settings have it.
            discovery: Host and port.
            counter: The counter's port.
            pace: Seconds between two starts.
        """
        raw = Shape(fleet_size=fleet_size).settings()
        settings = settings_from_json(json.dumps(raw).encode())
        for number in range(first, first + count):
            counter_host, _, _ = address(number, counter).partition(":")
            own_settings = dataclasses.replace(settings, gateway_index=number)
            ingress = HollowIngress(own_settings, raw, tuple(discovery), (counter_host, counter))
            self._ingresses.append(ingress)
            ingress.start()
            await asyncio.sleep(pace)
        return len(self._ingresses)

    def stop(self) -> None:
        """Ends all of them."""
        for ingress in self._ingresses:
            ingress.stop()

    def in_force(self, version: int) -> list[float]:
        """Returns when each had that version or a later one, by a clock of the whole machine.

        Those that have none yet are left out.
        """
        moments = (ingress.in_force_since(version) for ingress in self._ingresses)
        return [moment for moment in moments if moment is not None]

    async def requests(self, rate: float, seconds: float, customers: int, spread: int) -> dict[str, int]:
        """Plays `rate` requests a second at each of them. Returns the answers by kind."""
        plays = (ingress.play(rate, seconds, customers, spread) for ingress in self._ingresses)
        await asyncio.gather(*plays)
        await asyncio.sleep(LAST_ANSWERS_TIME)
        clients = [ingress.client for ingress in self._ingresses]
        return {
            "served": sum(client.served for client in clients),
            "refused": sum(client.refused for client in clients),
            "failed": sum(client.failed for client in clients),
        }
