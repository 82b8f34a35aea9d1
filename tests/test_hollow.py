"""Hollow ingresses: real ingresses without sockets for clients and backends."""

from __future__ import annotations

import asyncio
import time

from ingress_testbed.hollow import HollowFleet
from ingress_testbed.model import entry
from ingress_testbed.standins.counter import CounterServer
from ingress_testbed.standins.discovery import DiscoveryServer
from tests.net_helpers import HOST
from tests.support.standins import serving


async def test_hollow_ingresses_apply_list_changes_and_call_the_counter() -> None:
    entries = [entry(n, 80) for n in range(6)]
    async with serving(DiscoveryServer(entries)) as discovery, serving(CounterServer()) as counter:
        fleet = HollowFleet()
        await fleet.start(0, 3, 4, [HOST, discovery.port], counter.port, pace=0.0)
        async with asyncio.timeout(10):
            while len(discovery.watches) < 3:
                await asyncio.sleep(0.01)
            since = time.monotonic()
            version = discovery.apply_change([entry(0, 80, "draining")])
            while len(fleet.in_force(version)) < 3:
                await asyncio.sleep(0.01)
        assert min(fleet.in_force(version)) >= since and fleet.in_force(version + 1) == []
        responses = await fleet.requests(20.0, 0.5, customers=3, spread=4)
        assert responses["served"] > 10 and responses["failed"] == 0 and counter.add_count > 0
        fleet.stop()
