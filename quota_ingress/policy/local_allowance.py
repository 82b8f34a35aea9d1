"""One gateway's fixed share of a token bucket that all gateways of a customer share."""

from __future__ import annotations


class LocalAllowance:
    """A token bucket that needs no counter: the shared bucket divided by the number of gateways."""

    __slots__ = ("capacity", "refill_rate", "units")

    def __init__(self, rate: float, burst: float, gateway_count: int, units: float) -> None:
        """Creates the share of a bucket of `burst` units and `rate` units a second; starts with `units`."""
        fraction = 1 / gateway_count
        self.refill_rate = rate * fraction  # units a second
        self.capacity = burst * fraction
        self.units = units

    def refill(self, elapsed_s: float) -> None:
        """Refills the share for `elapsed_s` seconds, up to its capacity."""
        self.units = min(self.capacity, self.units + self.refill_rate * elapsed_s)

    def refill_to_fit(self, elapsed_s: float, request_units: float) -> None:
        """Refills the share for `elapsed_s` seconds, up to its capacity or `request_units`, if more."""
        self.units = min(max(request_units, self.capacity), self.units + self.refill_rate * elapsed_s)

    def spend(self, units: float) -> None:
        """Deducts `units`, down to 0."""
        self.units = max(0.0, self.units - units)
