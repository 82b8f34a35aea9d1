"""The decaying count of a customer's use by all its gateways.

Every unit fades by e in a window, the time in which the customer's bucket fills. So no start of a window
forgets what was used just before it, and no clock has to tell when the bucket was full. At the counter a unit
is added with a weight that grows by e in a window, from the start of the epoch in which one counter name is
used. The total divided by the present weight is the decayed count.
"""

from __future__ import annotations

import math

EPOCH_WINDOWS = 8  # that one counter name is used for: weights grow by e in each, and stay exact


class DecayingCount:
    """What one gateway knows of the count, and the units of it that it has leased."""

    __slots__ = ("capacity", "decayed_at", "leased_units", "usage", "window")

    def __init__(self, capacity: float, window: int) -> None:
        """Makes an empty count for a bucket of `capacity` units that fills in `window` us."""
        self.capacity = capacity
        self.window = window
        self.usage = 0.0  # units used or leased by all gateways, as the counter last told
        self.leased_units = 0.0  # leased here and not spent; below 0: spent here and not reported
        self.decayed_at = 0

    def decay_to(self, now: int) -> None:
        """Lets both figures fade until `now`."""
        fraction = math.exp(min(0, self.decayed_at - now) / self.window)
        self.usage *= fraction
        self.leased_units *= fraction
        self.decayed_at = now

    def limit(self, request_units: float) -> float:
        """Returns the count up to which requests of that size are granted.

        Asked without a pause it grants just the rate. It is half a request over the capacity, as what fades
        between two grants is less than what a bucket gains.
        """
        return self.capacity + request_units / 2

    def available(self, request_units: float) -> float:
        """Returns the units under the limit, as far as they are known here."""
        return self.limit(request_units) - self.usage + min(0.0, self.leased_units)

    def take_unreported(self) -> float:
        """Returns the units spent here and not reported, which are the caller's to report from now on."""
        unreported = max(0.0, -self.leased_units)
        self.leased_units = max(0.0, self.leased_units)
        return unreported

    def epoch_number(self, now: int) -> int:
        """Returns which of the successive counter names is in use at `now`."""
        return now // (EPOCH_WINDOWS * self.window)

    def epoch_start(self, now: int) -> int:
        """Returns the moment when the counter name in use at `now` began."""
        return self.epoch_number(now) * (EPOCH_WINDOWS * self.window)

    def weight(self, now: int, epoch_start: int) -> float:
        """Returns what a unit used at `now` counts at the counter."""
        return math.exp((now - epoch_start) / self.window)
