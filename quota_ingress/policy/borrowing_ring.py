"""The borrowing ring: the second stage of Abacus Filters.

A request that the token bucket does not cover books capacity in a future slot. If a slot has capacity, the
client is told to retry after one slot; otherwise it is rejected without Retry-After. Every slot without
capacity that the search skipped counts one borrowed retry: a client that retries in it is told to wait one
more slot, without another search, until it reaches the slot that was booked for it.
"""

from __future__ import annotations

from dataclasses import dataclass

from quota_ingress.policy.durations import SECOND

RETRY_OFFSETS = (1, 3, 7)  # slots ahead, each gap twice the last; clients rarely retry more than three times
RING_SLOTS = 1 + RETRY_OFFSETS[-1]
CURRENT_SLOT = 0


@dataclass(slots=True)
class Slot:
    """A time slot in the near future."""

    capacity: float  # units that can still be booked; A in the paper
    borrowed_retries: int = 0  # clients that retry in this slot and have to wait one more; B in the paper


class BorrowingRing:
    """The current and the next slots; further slots are opened as time advances."""

    __slots__ = ("_current_number", "slot_duration", "slots")

    def __init__(self, slot_duration: int) -> None:
        """Creates an empty ring; `slot_duration`, in us, is also the wait in Retry-After."""
        self.slot_duration = slot_duration
        self.slots: list[Slot] = []  # the current one first
        self._current_number = 0

    def book(self, now: int, units: float, refill_rate: float, demand_rate: float) -> int:
        """Books `units` in the first slot with capacity.

        Args:
            now: The current time, in us.
            units: The units of the request.
            refill_rate: Units a second that the token bucket gains.
            demand_rate: Units a second that new requests ask for, retries not included.

        Returns:
            The wait before the retry in us, or 0 if no slot of the ring has capacity.
        """
        self._advance_to(now)
        self._open_slots(refill_rate, demand_rate)
        if self.slots[CURRENT_SLOT].borrowed_retries > 0:
            self.slots[CURRENT_SLOT].borrowed_retries -= 1
            return self.slot_duration
        for skipped_count, offset in enumerate(RETRY_OFFSETS):
            if self.slots[offset].capacity > 0:
                self.slots[offset].capacity -= units
                for skipped in RETRY_OFFSETS[:skipped_count]:
                    self.slots[skipped].borrowed_retries += 1
                return self.slot_duration
        return 0

    def _advance_to(self, now: int) -> None:
        number = now // self.slot_duration
        del self.slots[: max(0, number - self._current_number)]
        self._current_number = number

    def _open_slots(self, refill_rate: float, demand_rate: float) -> None:
        missing_slots = RING_SLOTS - len(self.slots)
        if missing_slots > 0:
            spare_capacity = max(0.0, (refill_rate - demand_rate) * self.slot_duration / SECOND)
            self.slots.extend(Slot(spare_capacity) for _ in range(missing_slots))
