"""Deterministic subsetting: which endpoints of a long list a gateway deals with, without coordination.

Every endpoint's hash key, which is the same at every gateway, is hashed once for each group of neighbouring
gateways. Within a group of as many gateways as there are parts, each endpoint falls to exactly one, so all
endpoints get equally many gateways ("Site Reliability Engineering", O'Reilly 2016, chapter 20). The number
of parts is a power of two: when a list shrinks, a gateway's part is joined with another one, and the
connections that it has stay useful.
"""

from __future__ import annotations

from dataclasses import dataclass

SUBSET_GROUP_SIZE = 8  # gateways in a group while there are at most as many parts; a power of two
MIN_PREFERRED = 12  # endpoints in a preferred subset of at most SUBSET_GROUP_SIZE parts
MIN_PREFERRED_WIDE = 64  # endpoints in a preferred subset of more parts
MIN_CANDIDATES = 512  # endpoints in a candidate subset
RESIZE_HYSTERESIS = 0.75  # of the endpoints at which the parts doubled: below it, their number is halved
GOLDEN_RATIO_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 / golden ratio, odd


def mix(number: int, salt: int) -> int:
    """Returns a 64-bit hash that is the same at every gateway (after SplitMix64's finalizer)."""
    mixed = number * GOLDEN_RATIO_MULTIPLIER + salt
    for shift in (30, 27, 31):
        mixed = (mixed ^ (mixed >> shift)) * GOLDEN_RATIO_MULTIPLIER & (1 << 64) - 1
    return mixed


@dataclass(frozen=True, slots=True)
class Subset:
    """One gateway's subsets of the list: it sends to the preferred one while that has capacity.

    The candidate subset contains the preferred one; the gateway ignores every other endpoint.
    """

    gateway_index: int
    subset_group: int  # salt of the hash
    preferred_parts: int  # equal parts of the list, one of which is this gateway's preferred subset
    candidate_parts: int  # the same for the candidate subset; 1: the whole list

    def is_preferred(self, hash_key: int) -> bool:
        """Returns whether the endpoint with that key is in the preferred subset."""
        return (mix(hash_key, self.subset_group) ^ self.gateway_index) % self.preferred_parts == 0

    def is_candidate(self, hash_key: int) -> bool:
        """Returns whether the endpoint with that key is in the candidate subset."""
        if self.candidate_parts == 1:
            return True
        return (mix(hash_key, self.subset_group) ^ self.gateway_index) % self.candidate_parts == 0


def assign_subset(
    gateway_index: int, fleet_size: int, ready_endpoints: int, current: Subset | None = None
) -> Subset:
    """Returns the subset of one gateway for a list with that many ready endpoints.

    Every gateway of a short list has all of it as candidates. A `current` subset is kept while the number of
    endpoints is just under the one for which it was assigned, as a new one costs a pass over the whole list.
    """
    current_preferred = current.preferred_parts if current else 1
    current_candidate = current.candidate_parts if current else 1
    preferred = 1
    while 2 * preferred <= fleet_size and ready_endpoints >= _required_endpoints(
        2 * preferred,
        MIN_PREFERRED if preferred < SUBSET_GROUP_SIZE else MIN_PREFERRED_WIDE,
        current_preferred,
    ):
        preferred *= 2
    candidate = 1
    while 4 * candidate <= preferred and ready_endpoints >= _required_endpoints(
        2 * candidate, MIN_CANDIDATES, current_candidate
    ):
        candidate *= 2
    # The groups of a large fleet are as wide as parts can become: a change of the number of parts then splits
    # or joins parts, and moves no endpoint between unrelated ones.
    group_size = SUBSET_GROUP_SIZE if preferred <= SUBSET_GROUP_SIZE else 1 << fleet_size.bit_length() - 1
    return Subset(gateway_index, gateway_index // group_size, preferred, candidate)


def _required_endpoints(parts: int, endpoints_each: int, current_parts: int) -> float:
    """Returns the ready endpoints from which on the list has that many parts; small parts resize at once."""
    keeps = parts <= current_parts and endpoints_each > MIN_PREFERRED
    return parts * endpoints_each * (RESIZE_HYSTERESIS if keeps else 1.0)
