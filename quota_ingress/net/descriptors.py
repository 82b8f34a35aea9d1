"""Shares out the process's descriptors between clients and backends."""

from __future__ import annotations

from collections.abc import Callable

UNCOUNTED_DESCRIPTORS = 30
"""Standard streams, the loop's own, the listener; discovery and the counter, twice during a reload."""
ADMIN_DESCRIPTORS = 12  # kept apart: operators' calls are answered however crowded the rest is
USABLE_FRACTION = 0.92  # of the rest: a closed descriptor is free only when the loop has come round
CLIENT_FRACTION = 0.52  # of that: a third of the limit is for requests, the rest may be idle
CLIENT_OVERFLOW_FRACTION = 0.04  # of the limit: clients above their share, whose requests are rejected


class DescriptorShare:
    """The connections to one side: clients cannot crowd out the backends, nor the other way round.

    Attributes:
        limit: How many may be open.
        in_use: How many are open, or being opened.
        evict: Closes one that is of no use now; returns whether there was one.
        on_freed: Is called when one has been closed.
    """

    def __init__(self, limit: int, evict: Callable[[], bool] = lambda: False) -> None:
        self.limit = limit
        self.in_use = 0
        self.evict = evict
        self.on_freed: Callable[[], None] = lambda: None

    def has_capacity(self) -> bool:
        """Returns whether one more may be opened, if need be after another one has been evicted."""
        return self.in_use < self.limit or self.evict()

    def acquire(self) -> None:
        """Counts one that is opened."""
        self.in_use += 1

    def release(self) -> None:
        """Counts one that has been closed."""
        self.in_use -= 1
        self.on_freed()


class DescriptorBudget:
    """The descriptors of the process, shared out to both sides.

    Attributes:
        clients: The share for clients' requests.
        backends: The share for connections to backends.
        client_hard_limit: Clients above which no more are accepted, not even to be rejected.
    """

    def __init__(self, limit: int, admin_descriptors: int = 0) -> None:
        """Shares out `limit` descriptors, less those held back for operators' calls."""
        self._limit = limit
        self._admin_descriptors = admin_descriptors
        self.clients = DescriptorShare(0)
        self.backends = DescriptorShare(0)
        self.client_hard_limit = 0
        self.allocate(limit)

    def set_shared(self, shared: bool) -> None:
        """Halves the budget while another process of the same ingress holds descriptors under this limit."""
        self.allocate(self._limit // 2 if shared else self._limit)

    def allocate(self, limit: int) -> None:
        """Shares out that many anew, and closes what is over."""
        counted = max(2, int((limit - UNCOUNTED_DESCRIPTORS - self._admin_descriptors) * USABLE_FRACTION))
        self.clients.limit = max(1, int(counted * CLIENT_FRACTION))
        self.backends.limit = max(1, counted - self.clients.limit)
        overflow = max(1, int(limit * CLIENT_OVERFLOW_FRACTION))
        self.client_hard_limit = self.clients.limit + overflow
        for share in (self.clients, self.backends):
            for _ in range(share.in_use - share.limit):
                if not share.evict():
                    break
