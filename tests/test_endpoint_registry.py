"""The numbers and hash keys of endpoints in events to the policy."""

from __future__ import annotations

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.policy.endpoint_list import EndpointsListed
from tests.net_helpers import Script
from tests.support.fake_network import FakeNetwork, send_on_arrival


def test_removed_endpoints_are_forgotten_and_their_numbers_never_reused() -> None:
    network = FakeNetwork(Script(send_on_arrival()))
    for index in range(50):
        entries = [{"name": f"s-{index}", "address": "127.0.0.1:1", "status": "up"}]
        if index:
            entries.append({"name": f"s-{index - 1}", "status": "removed"})
        network.engine.update_endpoints(
            decode_endpoint_list({"index": index, "snapshot": False, "endpoints": entries})
        )
    assert len(network.engine.endpoints.numbers) == 1 and network.removed_endpoints == list(range(1, 50))
    relisted = {"name": "s-3", "address": "127.0.0.1:1", "status": "up"}
    network.engine.update_endpoints(
        decode_endpoint_list({"index": 60, "snapshot": False, "endpoints": [relisted]})
    )
    assert network.script.events_of_type(EndpointsListed)[-1].endpoints[0].id == 51


def test_an_endpoint_has_the_same_hash_key_whenever_it_was_first_listed() -> None:
    def hash_keys(names: list[str]) -> dict[str, int]:
        network = FakeNetwork(Script(send_on_arrival()))
        entries = [{"name": name, "address": "127.0.0.1:1", "status": "up"} for name in names]
        network.engine.update_endpoints(
            decode_endpoint_list({"index": 1, "snapshot": True, "endpoints": entries})
        )
        (event,) = network.script.events_of_type(EndpointsListed)
        return {name: b.hash_key for name, b in zip(names, event.endpoints, strict=True)}

    assert hash_keys(["s-1", "s-2", "s-3"]) == hash_keys(["s-3", "s-1", "s-2"])
    assert len(set(hash_keys(["s-1", "s-2", "s-3"]).values())) == 3
