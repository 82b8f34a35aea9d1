"""The endpoint list as discovery tells it: entries, their states, and the event that brings them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class EndpointState(Enum):
    """Whether an endpoint takes requests."""

    READY = "ready"
    DRAINING = "draining"  # finishes what it has, takes nothing new
    REMOVED = "removed"


class ListKind(Enum):
    """How much of the list an event tells."""

    DELTA = "delta"  # only what changed
    FULL = "full"
    CACHED = "cached"  # whole, as last held, perhaps out of date
    FAILED = "failed"  # the poll failed; no entries


@dataclass(frozen=True, slots=True)
class ListedEndpoint:
    """One entry of the list."""

    id: int
    state: EndpointState
    zone: int
    cell: int
    kind: int
    weight: float
    started_at: int  # us; 0: long ago
    hash_key: int = 0  # the same at every gateway; 0: the id serves


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """Discovery has told the list, or a change of it."""

    kind: ListKind
    version: int
    endpoints: tuple[ListedEndpoint, ...]
    ready_total: int = 0  # ready endpoints in all, where only a part of the list is told; 0: all are told
