"""The endpoint list from discovery: its entries, their states, and the event that delivers them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Whether an endpoint accepts requests."""

    READY = "ready"
    DRAINING = "draining"  # finishes its requests, accepts no new ones
    REMOVED = "removed"


class ListKind(Enum):
    """Which part of the list an event contains."""

    DELTA = "delta"  # only the changed entries
    FULL = "full"
    CACHED = "cached"  # all entries, from a cache that may be out of date
    FAILED = "failed"  # no entries: the poll failed


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of the list."""

    id: int
    state: EndpointState
    zone: int
    cell: int
    kind: int  # machine type
    weight: float
    started_at: int  # us; 0: started long ago, warmed up
    hash_key: int = 0  # for subsetting, equal at every gateway; 0: the id is used


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """Discovery has delivered the endpoint list or a change to it."""

    kind: ListKind
    version: int
    endpoints: tuple[ListedEndpoint, ...]
    ready_total: int = 0  # number of all ready endpoints where only part of the list is sent; 0: all of it is
