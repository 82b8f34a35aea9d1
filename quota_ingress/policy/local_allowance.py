"""One gateway's fixed part of a bucket that all gateways of a customer share."""

from __future__ import annotations


class LocalAllowance:
    """Units that may be spent without asking the counter: the bucket over the number of gateways."""

    __slots__ = ("capacity", "refill_rate", "units")

    def __init__(self, rate: float, burst: float, gateway_count: int, units: float) -> None:
        """Makes the part of a bucket of `burst` units that gains `rate` units a second; it holds `units`."""
        fraction = 1 / gateway_count
        self.refill_rate = rate * fraction  # units a second
        self.capacity = burst * fraction
        self.units = units

    def refill(self, elapsed_s: float) -> None:
        """Adds what came in during `elapsed_s` seconds."""
        self.units = min(self.capacity, self.units + self.refill_rate * elapsed_s)

    def refill_to_fit(self, elapsed_s: float, request_units: float) -> None:
        """Does the same, with room for one request even where that is larger than the part."""
        self.units = min(max(request_units, self.capacity), self.units + self.refill_rate * elapsed_s)

    def spend(self, units: float) -> None:
        """Takes `units` off, as far as they are there."""
        self.units = max(0.0, self.units - units)
