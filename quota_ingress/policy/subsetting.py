"""Deterministic subsetting: which backends of a long list a gateway has to do with. No gateway asks another.

Every backend draws a number for each row of gateways from a mark that is the same everywhere. Among as many
neighbouring gateways as there are parts, each backend falls to exactly one, so all get as many gateways (as
in "Site Reliability Engineering", O'Reilly 2016, chapter 20). As parts come in powers of two, a list that
shrinks joins another part to this one, and connections stay of use.
"""

from __future__ import annotations

from dataclasses import dataclass

ROW = 8  # gateways that deal backends out among them while there are few: a power of two, as the parts are
OWN = 12  # backends that a gateway of a large fleet keeps to, at the least: it learns more of each, and the
# fleet opens fewer connections; another gateway keeps to those that this one leaves
WIDE_OWN = 64  # ... and with more parts than ROW: a slow or lost one of them matters little by then
HELD = 512  # backends that a gateway holds at all, at the least, for when those that it keeps to have no room
STICKY = 0.75  # of the count at which parts were doubled, under which they are halved again: dealing anew
# costs a pass over the whole list, and a count may go to and fro
MIX = 0x9E3779B97F4A7C15  # odd 64-bit multiplier (golden ratio): spreads neighbouring numbers


def mix(number: int, salt: int) -> int:
    """64 bits that look drawn by chance, the same at every gateway."""
    mixed = number * MIX + salt
    for shift in (30, 27, 31):
        mixed = (mixed ^ (mixed >> shift)) * MIX & (1 << 64) - 1
    return mixed


@dataclass(frozen=True, slots=True)
class Subset:
    """One gateway's part: what it holds contains what it keeps to (`own`). Both are counts of equal parts."""

    me: int
    row: int
    own: int
    held: int

    def owns(self, mark: int) -> bool:
        """Whether the gateway keeps to the backend of that mark."""
        return (mix(mark, self.row) ^ self.me) % self.own == 0

    def holds(self, mark: int) -> bool:
        """Whether it has to do with it at all."""
        return self.held == 1 or (mix(mark, self.row) ^ self.me) % self.held == 0


def deal(me: int, fleet_size: int, ready: int, before: Subset | None = None) -> Subset:
    """The part of the gateway `me` of a list with `ready` backends; a short list is held whole. `before`: the
    part until now, which stays while the count is just under the one that it was dealt for.
    """
    own = held = 1
    was_own, was_held = (before.own, before.held) if before else (1, 1)
    while 2 * own <= fleet_size and ready >= _least(2 * own, OWN if own < ROW else WIDE_OWN, was_own):
        own *= 2
    while 4 * held <= own and ready >= _least(2 * held, HELD, was_held):
        held *= 2
    # Rows of a large fleet are as wide as parts can become: more parts then split these, and deal no others.
    width = ROW if own <= ROW else 1 << fleet_size.bit_length() - 1
    return Subset(me, me // width, own, held)


def _least(parts: int, each: int, was: int) -> float:
    """Backends for that many parts; those of a few are dealt anew at once, as that costs little."""
    return parts * each * (STICKY if parts <= was and each > OWN else 1.0)
