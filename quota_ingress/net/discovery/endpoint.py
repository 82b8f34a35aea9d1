"""Entry of one endpoint in discovery's list."""

from __future__ import annotations

from dataclasses import dataclass

from quota_ingress.policy.endpoint_list import EndpointState


@dataclass(slots=True)
class EndpointEntry:
    """An endpoint's entry in the list, treated as immutable.

    It is not a frozen dataclass: creating one costs several times as much, and lists are long.

    Attributes:
        name: Identifies the endpoint; the same at every ingress.
        state: Whether the endpoint takes requests, is draining or has been removed.
        address: Host and port at which this ingress reaches the endpoint.
        zone: Name of its failure domain; empty if none was given.
        machine_type: Name of its machine type; empty if none was given.
        group: Number of its group.
        weight: Share of the traffic relative to other endpoints.
        started_us: Unix time of its last start in microseconds; 0 means long ago.
    """

    name: str
    state: EndpointState
    address: tuple[str, int]
    zone: str
    machine_type: str
    group: int
    weight: float
    started_us: int
