"""Deterministic subsetting: which endpoints of a long list a gateway uses, without coordination.

Every endpoint's hash key, which is equal at every gateway, is hashed once for each group of gateways with
consecutive indexes. The hash divides the list into parts. In a group of as many gateways as there are parts,
each endpoint belongs to exactly one gateway, so every endpoint is used by equally many gateways ("Site
Reliability Engineering", O'Reilly 2016, chapter 20). The number of parts is a power of two: when the list
shrinks, two parts are merged, and a gateway's open connections remain useful.
"""

from __future__ import annotations

from dataclasses import dataclass

SUBSET_GROUP_SIZE = 8  # gateways in a group while there are at most this many parts; a power of two
MIN_PREFERRED = 12  # endpoints in a preferred subset, for at most SUBSET_GROUP_SIZE parts
MIN_PREFERRED_WIDE = 64  # endpoints in a preferred subset, for more parts
MIN_CANDIDATES = 512  # endpoints in a candidate subset
RESIZE_HYSTERESIS = 0.75  # of the endpoints at which the parts doubled; below that, their number is halved
GOLDEN_RATIO_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 / golden ratio, odd


def mix(number: int, salt: int) -> int:
    """Returns a 64-bit hash that is equal at every gateway (modelled on SplitMix64's finalizer)."""
    mixed = number * GOLDEN_RATIO_MULTIPLIER + salt
    for shift in (30, 27, 31):
        mixed = (mixed ^ (mixed >> shift)) * GOLDEN_RATIO_MULTIPLIER & (1 << 64) - 1
    return mixed


@dataclass(frozen=True, slots=True)
class Subset:
    """One gateway's two subsets of the list.

    The gateway sends to the preferred subset while that has capacity, and otherwise to the candidate subset,
    which contains it. It ignores all other endpoints.
    """

    gateway_index: int
    subset_group: int  # number of the gateway's group, salt of the hash
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

    All endpoints of a short list are candidates of every gateway. A `current` subset is kept while the number
    of endpoints is only slightly below that for which it was assigned, since a new one costs a pass over the
    whole list.
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
    # The groups of a large fleet have as many gateways as there can be parts. A change of the number of parts
    # then splits or merges parts, and moves no endpoint between unrelated parts.
    group_size = SUBSET_GROUP_SIZE if preferred <= SUBSET_GROUP_SIZE else 1 << fleet_size.bit_length() - 1
    return Subset(gateway_index, gateway_index // group_size, preferred, candidate)


def _required_endpoints(parts: int, endpoints_each: int, current_parts: int) -> float:
    """Returns the ready endpoints needed for that many parts.

    Hysteresis applies to the parts that exist already, but not to parts of MIN_PREFERRED endpoints, which are
    resized immediately.
    """
    keeps = parts <= current_parts and endpoints_each > MIN_PREFERRED
    return parts * endpoints_each * (RESIZE_HYSTERESIS if keeps else 1.0)
