"""Divides the process's file descriptors between client and backend connections."""

from __future__ import annotations

from collections.abc import Callable

UNCOUNTED_DESCRIPTORS = 30
"""Standard streams, event loop, listening socket; discovery and the counter, twice during a reload."""
ADMIN_DESCRIPTORS = 12  # reserved, so that operators' calls are answered when all others are in use
USABLE_FRACTION = 0.92  # of the rest: a closed descriptor is free only in the event loop's next iteration
CLIENT_FRACTION = 0.52  # of the usable ones: a third of the limit for requests, the rest for idle connections
CLIENT_OVERFLOW_FRACTION = 0.04  # of the limit, beyond the clients' share: accepted only to reject requests


class DescriptorShare:
    """The descriptors of one side, so that neither clients nor backends can use up those of the other.

    Attributes:
        limit: The number of connections that may be open.
        in_use: The number of connections that are open or being opened.
        evict: Closes a connection that is not needed now; returns whether there was one.
        on_freed: Is called after a connection was closed.
    """

    def __init__(self, limit: int, evict: Callable[[], bool] = lambda: False) -> None:
        self.limit = limit
        self.in_use = 0
        self.evict = evict
        self.on_freed: Callable[[], None] = lambda: None

    def ensure_capacity(self) -> bool:
        """Evicts a connection if the limit is reached; returns whether one more may be opened.

        An evicted connection may still count as in use until it has closed.
        """
        return self.in_use < self.limit or self.evict()

    def acquire(self) -> None:
        """Counts a connection that is being opened."""
        self.in_use += 1

    def release(self) -> None:
        """Stops counting a connection that was closed, and calls `on_freed`."""
        self.in_use -= 1
        self.on_freed()


class DescriptorBudget:
    """The process's descriptors, divided between clients and backends.

    Attributes:
        clients: The share for connections from clients.
        backends: The share for connections to backends.
        client_hard_limit: The number of client connections at which no more are accepted, not even to reject
            their requests.
    """

    def __init__(self, limit: int, admin_descriptors: int = 0) -> None:
        """Divides `limit` descriptors, less those reserved for operators' calls."""
        self._limit = limit
        self._admin_descriptors = admin_descriptors
        self.clients = DescriptorShare(0)
        self.backends = DescriptorShare(0)
        self.client_hard_limit = 0
        self.allocate(limit)

    def set_shared(self, shared: bool) -> None:
        """Halves the budget while another process of this ingress holds descriptors under the same limit."""
        self.allocate(self._limit // 2 if shared else self._limit)

    def allocate(self, limit: int) -> None:
        """Divides `limit` descriptors again, and evicts connections beyond the new shares."""
        counted = max(2, int((limit - UNCOUNTED_DESCRIPTORS - self._admin_descriptors) * USABLE_FRACTION))
        self.clients.limit = max(1, int(counted * CLIENT_FRACTION))
        self.backends.limit = max(1, counted - self.clients.limit)
        overflow = max(1, int(limit * CLIENT_OVERFLOW_FRACTION))
        self.client_hard_limit = self.clients.limit + overflow
        for share in (self.clients, self.backends):
            for _ in range(share.in_use - share.limit):
                if not share.evict():
                    break
