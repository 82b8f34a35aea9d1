"""A gateway's view of a customer's token bucket, which all gateways share."""

from __future__ import annotations

from quota_ingress.policy.durations import SECOND


class TokenBucket:
    """An upper bound of the units in the shared bucket, and the units that this gateway has leased from it.

    The gateway knows only its own use and the counter's answers, so the bucket may hold fewer units than the
    bound, but never more.
    """

    __slots__ = ("capacity", "leased_units", "rate", "remaining_at", "remaining_upper_bound")

    def __init__(self, rate: float, capacity: float, now: int) -> None:
        """Creates a full bucket of `capacity` units that gains `rate` units a second."""
        self.rate = rate
        self.capacity = capacity
        self.remaining_upper_bound = capacity  # units at `remaining_at`, excluding those leased here
        self.remaining_at = now
        self.leased_units = 0.0  # leased here and not yet spent

    def remaining(self, now: int) -> float:
        """Returns the most units that the bucket can hold at `now`, excluding those leased here."""
        refilled = self.remaining_upper_bound + self.rate * (now - self.remaining_at) / SECOND
        return min(self.capacity - self.leased_units, refilled)

    def advance_to(self, now: int) -> None:
        """Restates the bound for time `now`, with the units refilled since."""
        self.set_remaining(self.remaining(now), now)

    def set_remaining(self, units: float, now: int) -> None:
        """Sets the bound to `units` at `now`."""
        self.remaining_upper_bound = units
        self.remaining_at = now
