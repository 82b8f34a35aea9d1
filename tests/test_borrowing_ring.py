"""The borrowing ring: the order in which slots are booked, borrowed retries, slots without capacity."""

from __future__ import annotations

from quota_ingress.policy.borrowing_ring import RETRY_OFFSETS, BorrowingRing, Slot


def book(ring: BorrowingRing, now: int, refill_rate: float = 4.0, demand_rate: float = 0.0) -> int:
    """Books one unit; with the default rates, a slot has (4 - 0) * 0.5 = 2 units (W_a in the paper)."""
    return ring.book(now, 1.0, refill_rate, demand_rate)


def test_slots_are_booked_by_increasing_offset_until_none_has_capacity() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    assert [book(ring, 0) for _ in range(7)] == [500_000] * 6 + [0]
    assert [slot.capacity for slot in ring.slots] == [2, 0, 2, 0, 2, 2, 2, 0]
    retries_by_offset = [ring.slots[offset].borrowed_retries for offset in RETRY_OFFSETS]
    assert retries_by_offset == [4, 2, 0]  # one for each search that skipped the slot


def test_borrowed_retries_wait_for_another_slot_without_a_new_booking() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    for _ in range(6):
        book(ring, 0)
    assert [book(ring, 500_000, refill_rate=0.0) for _ in range(4)] == [500_000] * 4  # all 4 borrowed retries
    assert ring.slots[0].borrowed_retries == 0


def test_spare_capacity_is_never_negative() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    assert book(ring, 0, refill_rate=0.0, demand_rate=50.0) == 0
    assert all(slot == Slot(0.0, 0) for slot in ring.slots)
