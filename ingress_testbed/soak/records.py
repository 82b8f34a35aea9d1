"""What a run records. Moments are seconds of CLOCK_MONOTONIC."""

from __future__ import annotations

from enum import Enum

import msgspec


class Ending(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    BROKEN = "broken"  # the answer began and was cut short, in a way that the client can tell
    CLOSED = "closed"  # the connection ended in order, with no byte of an answer
    RESET = "reset"  # the same by a reset
    REFUSED = "connection refused"
    LEFT = "left"  # the client closed first
    NO_ANSWER = "no answer"  # until well past its time


class Call(msgspec.Struct):
    """One request as its client saw it. A request that is sent once more is a call of its own."""

    id: str
    node: int
    request_class: str
    timeout: float  # s
    sent_at: float  # its last byte was handed to the system
    first_on_connection: bool
    behind_others: bool = False  # sent while others on its connection had no answer
    again: bool = False  # sent once more after a close that crossed it
    ending: Ending = Ending.NO_ANSWER
    ended_at: float = 0.0
    status: int = 0
    sound: bool = True  # a 200 holds what the backends made for this request


class Arrival(msgspec.Struct):
    """One request as a backend got it, whole."""

    id: str
    backend: str
    began_at: float  # its first byte
    whole_at: float
    told: float  # s that the ingress will wait
    ended_at: float = 0.0  # its answer was written, or its connection ended
    never_ran: bool = False  # rejected as not started
    sound: bool = True  # body, key and target are as the client sent them


class BadPeer(msgspec.Struct):
    """One that sent nothing, or no proper request."""

    kind: str
    node: int
    connected_at: float
    owed_within: float  # s
    ended_at: float = 0.0  # it got an error or a close; 0: neither


class Withdrawal(msgspec.Struct):
    """Discovery has a backend as draining or removed, from `at` on."""

    version: int
    backend: str
    at: float


class Written(msgspec.Struct):
    """Discovery has written the list up to a version to a node."""

    node: int
    version: int
    at: float


class Life(msgspec.Struct):
    """One process of a node."""

    node: int
    started_at: float
    ready_at: float = 0.0
    stopped_at: float = 0.0  # SIGTERM; 0: none
    killed_at: float = 0.0  # by the run; 0: not
    handed_over_at: float = 0.0  # another process was started to take over; 0: none
    ended_at: float = 0.0
    exit_code: int | None = None
    arrived: dict[str, float] = {}  # requests that it read, by id
    ended: dict[str, list[str]] = {}  # what it says became of them
    rules: list[str] = []  # violations that it counted itself
    states: list[str] = []  # its own events about the list, the counter, reloads and its stop; its other log
    tracebacks: int = 0
    descriptors: int = 0  # at the end of a run, once all was quiet
    memory_mb: float = 0.0


class Fault(msgspec.Struct):
    """A fault that is injected into the run."""

    at: float  # s from the start of the run
    kind: str
    target: int = 0
    seconds: float = 0.0


class Run(msgspec.Struct):
    """All that was recorded of a run."""

    seed: int
    began_at: float
    window: float  # s of a keyed class
    may_hedge: bool
    faults: list[Fault]
    calls: list[Call]
    arrivals: list[Arrival]
    bad_peers: list[BadPeer]
    withdrawals: list[Withdrawal]
    written: list[Written]
    silences: list[tuple[float, float]]  # in which discovery answered nobody, or turned callers away
    lives: list[Life]
    lag: dict[str, float]  # s by which a part of the test itself was late, at the most
