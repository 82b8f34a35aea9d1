"""What a connection of a draining ingress still does for requests that its client sends ahead."""

from __future__ import annotations

from enum import Enum, auto

from quota_ingress.net.downstream.timeouts import US_PER_S

READ_AHEAD_S = 0.5  # requests that are sent ahead are read for so long, and so may arrive in many pieces
SERVE_AHEAD_S = 2.5  # and served for so long; operators' drains have to be empty after 4 s


class DrainStage(Enum):
    """The stages of a connection, in order. A client that sends nothing ahead leaves after its response."""

    SERVING = auto()  # the ingress does not drain
    READING = auto()  # requests that have been sent ahead are read and served, then the connection ends
    ANSWERING = auto()  # no further request is read; those that were read are served, then it ends
    REJECTING = auto()  # those that still wait are rejected, then it ends


def drain_stage(draining_since: int, accepted_at: int, now: int) -> DrainStage:
    """Returns the stage at the time `now` of a connection of an ingress that drains. Times are us.

    Args:
        draining_since: When the ingress began to drain.
        accepted_at: When the connection was accepted: the stages of a newer one begin then.
        now: The present time.
    """
    elapsed_us = now - max(draining_since, accepted_at)
    if elapsed_us < READ_AHEAD_S * US_PER_S:
        return DrainStage.READING
    if elapsed_us < SERVE_AHEAD_S * US_PER_S:
        return DrainStage.ANSWERING
    return DrainStage.REJECTING
