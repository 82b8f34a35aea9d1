"""The decaying count of the units that a customer uses through all its gateways.

Every unit decays by a factor of e per window, the time in which the customer's bucket fills. So units used
just before a window's end are not forgotten at its end, and the time when the bucket was full need not be
known. A unit is added at the counter with a weight that grows by a factor of e per window from the start of
the epoch, the period for which one counter name is used. The total divided by the current weight is the
decayed count.
"""

from __future__ import annotations

import math

EPOCH_WINDOWS = 8  # windows per epoch; weights grow by a factor of e in each, few enough to stay exact


class DecayingCount:
    """One gateway's copy of the count, and the units that the gateway has leased from it."""

    __slots__ = ("capacity", "decayed_at", "leased_units", "usage", "window")

    def __init__(self, capacity: float, window: int) -> None:
        """Creates an empty count for a bucket of `capacity` units that fills in `window` us."""
        self.capacity = capacity
        self.window = window
        self.usage = 0.0  # units used or leased by all gateways, by the counter's last answer
        self.leased_units = 0.0  # leased here and not spent; below 0: spent here and not reported
        self.decayed_at = 0

    def decay_to(self, now: int) -> None:
        """Decays `usage` and `leased_units` up to `now`."""
        fraction = math.exp(min(0, self.decayed_at - now) / self.window)
        self.usage *= fraction
        self.leased_units *= fraction
        self.decayed_at = now

    def limit(self, request_units: float) -> float:
        """Returns the count up to which requests of that size are granted.

        With this limit, continuous demand is granted exactly the plan's rate. It exceeds the capacity by half
        a request, since the count decays less between two grants than a bucket refills.
        """
        return self.capacity + request_units / 2

    def available(self, request_units: float) -> float:
        """Returns the units left under the limit, by this gateway's knowledge."""
        return self.limit(request_units) - self.usage + min(0.0, self.leased_units)

    def take_unreported(self) -> float:
        """Returns the units spent here and not yet reported, and clears them: the caller reports them."""
        unreported = max(0.0, -self.leased_units)
        self.leased_units = max(0.0, self.leased_units)
        return unreported

    def epoch_number(self, now: int) -> int:
        """Returns the number of the epoch at `now`; each epoch has its own counter name."""
        return now // (EPOCH_WINDOWS * self.window)

    def epoch_start(self, now: int) -> int:
        """Returns the start, in us, of the epoch at `now`."""
        return self.epoch_number(now) * (EPOCH_WINDOWS * self.window)

    def weight(self, now: int, epoch_start: int) -> float:
        """Returns the weight with which a unit used at `now` is added at the counter."""
        return math.exp((now - epoch_start) / self.window)
