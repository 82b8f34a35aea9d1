"""The borrowing ring: the second stage of Abacus Filters.

A request that the token bucket does not cover is matched with the capacity of future slots. Where a slot
has some, it is booked and the client is told to come back after one slot; otherwise the rejection is firm.
Every empty slot that the search passed over counts one borrowed retry: a client that returns in it is put off
once more, without another search, until it meets the slot that was booked for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from quota_ingress.policy.durations import SECOND

RETRY_OFFSETS = (1, 3, 7)  # slots ahead: the first wait, then twice as far; clients seldom retry more often
RING_SLOTS = 1 + RETRY_OFFSETS[-1]
CURRENT_SLOT = 0


@dataclass(slots=True)
class Slot:
    """A span of the near future."""

    capacity: float  # units that can still be booked; A in the paper
    borrowed_retries: int = 0  # clients that return in it and are to be put off once more; B in the paper


class BorrowingRing:
    """The slots from the present one on; opened as time goes on."""

    __slots__ = ("_current_number", "slot_duration", "slots")

    def __init__(self, slot_duration: int) -> None:
        """Makes an empty ring; `slot_duration`, in us, is also the wait that a client is told."""
        self.slot_duration = slot_duration
        self.slots: list[Slot] = []  # the present one first
        self._current_number = 0

    def book(self, now: int, units: float, refill_rate: float, demand_rate: float) -> int:
        """Books `units` in the first slot with capacity.

        Args:
            now: The moment, in us.
            units: The units of the request.
            refill_rate: Units a second that the token bucket gains.
            demand_rate: Units a second that are newly asked for.

        Returns:
            The wait before the retry in us, or 0 where no slot within the ring has capacity.
        """
        self._advance_to(now)
        self._open_slots(refill_rate, demand_rate)
        if self.slots[CURRENT_SLOT].borrowed_retries > 0:
            self.slots[CURRENT_SLOT].borrowed_retries -= 1
            return self.slot_duration
        for tried, offset in enumerate(RETRY_OFFSETS):
            if self.slots[offset].capacity > 0:
                self.slots[offset].capacity -= units
                for skipped in RETRY_OFFSETS[:tried]:
                    self.slots[skipped].borrowed_retries += 1
                return self.slot_duration
        return 0

    def _advance_to(self, now: int) -> None:
        number = now // self.slot_duration
        del self.slots[: max(0, number - self._current_number)]
        self._current_number = number

    def _open_slots(self, refill_rate: float, demand_rate: float) -> None:
        missing = RING_SLOTS - len(self.slots)
        if missing > 0:
            spare_capacity = max(0.0, (refill_rate - demand_rate) * self.slot_duration / SECOND)
            self.slots.extend(Slot(spare_capacity) for _ in range(missing))
