"""When a client may have written what is read from it, while its machine may have held bytes back."""

from __future__ import annotations

import pytest

from quota_ingress.net.downstream.write_time import FULL_SETTLE_US, ROOM_BYTES, SETTLE_US, WriteTime

START = 1_000_000


class Reads:
    """Reads of one connection, the first of which empties it at START."""

    def __init__(self, size: int = 100) -> None:
        self.write_time = WriteTime()
        self.write_time.restart(START)
        self.since_after(0, size)

    def since_after(self, after: int, size: int, all_read: bool = True, age: int = 0) -> int:
        """Returns `since` after a read `after` us from START, whose last byte arrived `age` us before."""
        now = START + after
        self.write_time.record_read(now, size, all_read, lambda: now - age)
        return self.write_time.since - START


def test_bytes_that_come_after_a_silence_have_just_been_written() -> None:
    assert Reads().since_after(5 * SETTLE_US, 100) == 5 * SETTLE_US


def test_a_large_write_after_a_silence_has_just_arrived() -> None:
    assert Reads().since_after(50 * SETTLE_US, 4 * ROOM_BYTES, all_read=False) == 49 * SETTLE_US


def test_bytes_that_arrived_at_the_start_of_a_silence_may_have_been_held_back() -> None:
    """Guards against answers seconds late: a busy process took its own delay for a silence of the client."""
    assert Reads().since_after(5 * SETTLE_US, 4 * ROOM_BYTES, age=5 * SETTLE_US - 100) == 0


@pytest.mark.parametrize("all_read", [False, True])
def test_bytes_that_fill_each_read_may_have_been_held_back_since_the_first(all_read: bool) -> None:
    """Guards against answers seconds late: what had waited counted from the last pause of reading."""
    reads = Reads(4 * ROOM_BYTES)
    for after in range(0, 100 * SETTLE_US, SETTLE_US // 2):
        assert reads.since_after(after, 4 * ROOM_BYTES, all_read) == 0
        reads.write_time.record_pause(START + after)


def test_a_client_that_writes_little_at_a_time_holds_nothing_back() -> None:
    reads = Reads()
    for after in range(0, 100 * SETTLE_US, SETTLE_US // 4):
        since = reads.since_after(after, 100)
        assert after - since <= 2 * SETTLE_US


def test_what_waits_during_a_pause_may_have_been_written_at_its_start() -> None:
    reads = Reads()
    reads.write_time.record_pause(START + 2 * SETTLE_US)
    assert reads.since_after(90 * SETTLE_US, 100) == 2 * SETTLE_US
    reads.write_time.restart(START + 95 * SETTLE_US)
    assert reads.since_after(96 * SETTLE_US, 10) == 96 * SETTLE_US


def test_behind_a_full_buffer_a_short_silence_shows_nothing() -> None:
    """Guards against answers seconds late: the client's kernel tried only 0.2 s later to send more."""
    reads = Reads()
    reads.write_time.record_full(START + 1)
    assert reads.since_after(FULL_SETTLE_US - SETTLE_US, 100) == 0
    assert reads.since_after(2 * FULL_SETTLE_US, 100) == 2 * FULL_SETTLE_US
