"""Hollow ingresses, many to a process: clients and backends are simulated in memory, without sockets.

The discovery watch, the counter client, the engine and the policy are the real ones: each ingress applies
changes of the list and paces its calls as a real one does.
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
LAST_ANSWERS_TIME = 1.0  # s to wait for answers after the last request

OnResult = Callable[[AttemptResult], None]


class HollowExchange:
    """An attempt without a socket: it succeeds after ATTEMPT_LATENCY."""

    written = True
    response_bytes = None

    def __init__(self, on_result: OnResult) -> None:
        """Schedules `on_result` with a result of OK."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(ATTEMPT_LATENCY, on_result, AttemptResult(Outcome.OK))

    @property
    def delivered(self) -> bool:
        """Whether the backend has the whole request: from the start, as nothing is sent."""
        return True

    def stream_response(self) -> bool:
        """Returns False: no response is ever under way."""
        return False

    def end_if_short(self) -> bool:
        """Returns False: no response is ever streamed."""
        return False

    def abort(self) -> bool:
        """Cancels the attempt; returns True, as the backend may have processed it."""
        self._timer.cancel()
        return True

    def withdraw(self) -> bool:
        """Returns False: the attempt counts as written, so it cannot be withdrawn."""
        return False


class HollowUpstream:
    """Simulated backends that answer every attempt and health check with OK."""

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Does nothing: there are no connections to set up."""

    def reconcile(self, gone: Iterable[int]) -> None:
        """Does nothing: there are no connections to close."""

    def close_idle_connections(self, backend: int) -> None:
        """Does nothing: there are no connections to close."""

    def send(
        self,
        backend: int,
        head: bytes,
        on_ended: OnResult,
        non_idempotent: bool = False,
        body: Body | None = None,
        on_stream_started: OnResult | None = None,
        authorize: Callable[[], bytes | None] = lambda: b"",
    ) -> HollowExchange:
        """Starts an attempt at once, without waiting for a connection."""
        authorize()
        return HollowExchange(on_ended)

    def probe(self, backend: int, on_ended: OnResult) -> None:
        """Answers a health check with OK after ATTEMPT_LATENCY."""
        HollowExchange(on_ended)


class HollowClient:
    """Counts the responses to the clients of one hollow ingress, by kind."""

    def __init__(self) -> None:
        self.served = 0
        self.refused = 0
        self.failed = 0

    def respond(self, answer: AttemptResult) -> None:
        """Counts a response from a backend."""
        self.served += 1

    stream_response = respond

    def disconnected(self) -> bool:
        """Returns False: simulated clients never disconnect."""
        return False

    may_have_disconnected = disconnected

    def reject(self, retry_after: int) -> None:
        """Counts a rejection by the ingress."""
        self.refused += 1

    def fail(self, timed_out: bool) -> None:
        """Counts a failed request."""
        self.failed += 1


class HollowIngress:
    """One ingress without sockets for clients and backends.

    Attributes:
        in_force_at: When each version of the endpoint list was applied, in seconds of the monotonic clock.
        client: Counts the responses.
        watch: The watch on the endpoint list.
        counter: The client of the counter.
    """

    def __init__(
        self, settings: Settings, raw: dict[str, Any], discovery: tuple[str, int], counter: tuple[str, int]
    ) -> None:
        """Builds the ingress; `start` opens its connections.

        Args:
            settings: The decoded settings, with this ingress's `gateway_index`.
            raw: The same settings as a JSON object.
            discovery: Host and port of discovery.
            counter: Host and port of the counter.
        """
        clock = Clock()
        self.in_force_at: dict[int, float] = {}
        self.client = HollowClient()
        self._rng = random.Random(settings.gateway_index)
        self._memory = MemoryBudget()
        self._last_request_number = 0
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
        """Closes the connections to discovery and the counter."""
        self.watch.stop()
        self.counter.stop()

    def in_force_since(self, version: int) -> float | None:
        """Returns when `version` or a later one was applied (monotonic s); None if it has not been."""
        times = (at for applied_version, at in self.in_force_at.items() if applied_version >= version)
        return min(times, default=None)

    async def play(self, rate: float, seconds: float, customers: int, spread: int) -> None:
        """Sends Poisson arrivals of `rate` requests a second straight to the engine.

        Args:
            rate: Mean requests per second.
            seconds: How long requests are sent.
            customers: Number of customers, drawn uniformly.
            spread: Number of ingresses that each customer's requests come through.
        """
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + seconds
        while (due := due + self._rng.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, due - loop.time()))
            request = self._build_request(self._rng.randrange(customers), spread)
            self._engine.on_request(request, self.client)

    def _build_request(self, customer: int, spread: int) -> ParsedRequest:
        self._last_request_number += 1
        body = Body(self._memory)
        body.complete = True
        return ParsedRequest(
            id=b"%x-%x" % (self._engine.settings.gateway_index, self._last_request_number),
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
    """The hollow ingresses of one worker process."""

    def __init__(self) -> None:
        self._ingresses: list[HollowIngress] = []

    async def start(
        self, first: int, count: int, fleet_size: int, discovery: list[Any], counter: int, pace: float
    ) -> int:
        """Starts ingresses, and returns how many this worker runs.

        Each connects to the counter at a different loopback address: the counter limits the connections of
        each caller to each of its addresses.

        Args:
            first: `gateway_index` of the first one.
            count: How many to start.
            fleet_size: Ingresses of the whole fleet, for the settings.
            discovery: Host and port of discovery.
            counter: Port of the counter.
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
        """Closes the connections of all ingresses."""
        for ingress in self._ingresses:
            ingress.stop()

    def in_force(self, version: int) -> list[float]:
        """Returns when each ingress applied `version` or a later one (s of the machine's monotonic clock).

        Ingresses that have not applied it yet are left out.
        """
        times = (ingress.in_force_since(version) for ingress in self._ingresses)
        return [at for at in times if at is not None]

    async def requests(self, rate: float, seconds: float, customers: int, spread: int) -> dict[str, int]:
        """Sends `rate` requests a second to each ingress; returns the number of responses by kind."""
        plays = (ingress.play(rate, seconds, customers, spread) for ingress in self._ingresses)
        await asyncio.gather(*plays)
        await asyncio.sleep(LAST_ANSWERS_TIME)
        clients = [ingress.client for ingress in self._ingresses]
        return {
            "served": sum(client.served for client in clients),
            "refused": sum(client.refused for client in clients),
            "failed": sum(client.failed for client in clients),
        }
