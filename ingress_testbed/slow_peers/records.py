"""What the peers of a play have seen. Times are in seconds of the event loop's clock."""

from __future__ import annotations

from dataclasses import dataclass, field

from ingress_testbed.slow_peers.scenario import Answer, Upload


@dataclass(slots=True)
class Response:
    """One response that a backend has begun."""

    head_at: float
    body_at: float = 0.0  # its first body byte was written; 0: none was
    written: int = 0  # body bytes
    ended_at: float = 0.0  # it was written whole, or its connection ended
    is_complete: bool = False


@dataclass(slots=True)
class Call:
    """One measured request, and what its client saw."""

    id: str
    timeout: float  # s
    answer: Answer
    upload: Upload
    sent_at: float = 0.0  # its last byte was written; 0: it never was
    first_byte_at: float = 0.0
    first_body_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    body_bytes: int = 0
    is_complete: bool = False
    responses: list[Response] = field(default_factory=list)  # of all attempts


@dataclass(slots=True)
class Play:
    """The records of one play."""

    seed: int
    memory_mb: int  # the limit
    calls: list[Call] = field(default_factory=list)
    peak_mb: float = 0.0
    peak_after_s: float = 0.0
    exit_code: int | None = None  # of a process that ended though the play did not stop it
    lag: float = 0.0  # the longest delay of the peers' event loop
    log: list[str] = field(default_factory=list)
