"""Open-loop clients."""

from __future__ import annotations

import random

from ingress_testbed.load import LoadGenerator
from ingress_testbed.standins.backend import BackendServer
from tests.net_helpers import HOST
from tests.support.standins import serving


async def test_arrival_times_do_not_depend_on_slow_responses() -> None:
    async with serving(BackendServer(work=0.3)) as backends:
        figures = await LoadGenerator(HOST, backends.port).run(
            100.0, 0.5, seed=7, customers=5, spread=1, routes=1
        )
    rng, due, arrival_count = random.Random(7), 0.0, 0
    rng.getrandbits(48)  # the run's number
    while (due := due + rng.expovariate(100.0)) < 0.5:
        arrival_count += 1
        rng.randrange(5), rng.randrange(1)
    assert figures["sent_n"] == figures["served_n"] == arrival_count
    assert figures["p50_ms"] >= 300 and figures["opened_n"] > 20  # no request waited for an earlier response
