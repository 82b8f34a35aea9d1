"""The borrowing ring: the order of booking, borrowed retries, and slots without capacity."""

from __future__ import annotations

from quota_ingress.policy.borrowing_ring import RETRY_OFFSETS, BorrowingRing, Slot


def book(ring: BorrowingRing, now: int, refill_rate: float = 4.0, demand_rate: float = 0.0) -> int:
    """Books one unit; by default W_a = (4 - 0) * 0.5 = 2 units a slot."""
    return ring.book(now, 1.0, refill_rate, demand_rate)


def test_ring_books_d0_then_doubling_offsets_then_rejects() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    assert [book(ring, 0) for _ in range(7)] == [500_000] * 6 + [0]
    assert [slot.capacity for slot in ring.slots] == [2, 0, 2, 0, 2, 2, 2, 0]
    passed_over = [ring.slots[offset].borrowed_retries for offset in RETRY_OFFSETS]
    assert passed_over == [4, 2, 0]  # empty slots gained one each


def test_borrowed_retries_are_put_off_first_in_their_slot() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    for _ in range(6):
        book(ring, 0)
    assert [book(ring, 500_000, refill_rate=0.0) for _ in range(4)] == [500_000] * 4  # B[0] was 4
    assert ring.slots[0].borrowed_retries == 0


def test_spare_capacity_is_never_negative() -> None:
    ring = BorrowingRing(slot_duration=500_000)
    assert book(ring, 0, refill_rate=0.0, demand_rate=50.0) == 0
    assert all(slot == Slot(0.0, 0) for slot in ring.slots)
