"""One endpoint, as discovery lists it."""

from __future__ import annotations

from dataclasses import dataclass

from quota_ingress.policy.endpoint_list import EndpointState


@dataclass(slots=True)
class EndpointEntry:
    """An endpoint's entry in the list. Never changed once made.

    It is not frozen, as a frozen one is several times as expensive to make, and lists are long.

    Attributes:
        name: The same at every ingress.
        state: Whether it takes requests, drains or has been removed.
        address: Host and port, as this ingress reaches it.
        zone: Name of its failure domain; empty if none was given.
        machine_type: Name of its machine type; empty if none was given.
        group: Number of the group that it belongs to.
        weight: Its share of the traffic, relative to other endpoints.
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
