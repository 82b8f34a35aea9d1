"""The records of a run, written to its result file. Times are in seconds of CLOCK_MONOTONIC."""

from __future__ import annotations

from enum import Enum

import msgspec


class Ending(Enum):
    """How a request ended for its client."""

    ANSWERED = "answered"
    TRUNCATED = "broken"  # the answer began and was cut short, in a way that the client can detect
    CLOSED = "closed"  # the connection was closed in order before the first byte of an answer
    RESET = "reset"  # the connection was reset before the first byte of an answer
    REFUSED = "connection refused"
    CLIENT_CLOSED = "left"  # the client closed the connection first
    NO_ANSWER = "no answer"  # nothing came until well past the request's timeout


class Call(msgspec.Struct):
    """One request as its client saw it. A request that is sent again is recorded as another call."""

    id: str
    node: int
    request_class: str
    timeout: float  # s
    sent_at: float  # its last byte was handed to the kernel
    first_on_connection: bool
    behind_others: bool = False  # sent while earlier requests on its connection had no answer
    is_resend: bool = msgspec.field(default=False, name="again")  # after a close that crossed the request
    ending: Ending = Ending.NO_ANSWER
    ended_at: float = 0.0
    status: int = 0
    has_expected_body: bool = msgspec.field(default=True, name="sound")  # a 200 has this request's answer


class Arrival(msgspec.Struct):
    """One complete request as a backend received it."""

    id: str
    backend: str
    began_at: float  # its first byte arrived
    received_at: float = msgspec.field(name="whole_at")  # its last byte arrived
    forwarded_timeout: float = msgspec.field(name="told")  # s that the ingress will wait, by the header
    ended_at: float = 0.0  # its answer was written, or its connection ended
    never_ran: bool = False  # rejected as not started
    is_unchanged: bool = msgspec.field(default=True, name="sound")  # body, key and target as sent


class BadPeer(msgspec.Struct):
    """A client that sent nothing, an incomplete request or an invalid one."""

    kind: str
    node: int
    connected_at: float
    close_limit: float = msgspec.field(name="owed_within")  # s in which the node must send an error or close
    ended_at: float = 0.0  # the node sent an error or closed; 0: it did neither


class Withdrawal(msgspec.Struct):
    """Discovery lists a backend as draining or removed, from `at` on."""

    version: int
    backend: str
    at: float


class ListWrite(msgspec.Struct):
    """Discovery has written the endpoint list up to `version` to a node."""

    node: int
    version: int
    at: float


class ProcessRecord(msgspec.Struct):
    """One process of a node."""

    node: int
    started_at: float
    ready_at: float = 0.0
    stopped_at: float = 0.0  # SIGTERM was sent; 0: it was not
    killed_at: float = 0.0  # the run sent SIGKILL; 0: it did not
    handed_over_at: float = 0.0  # another process was started to take over; 0: none was
    ended_at: float = 0.0
    exit_code: int | None = None
    arrived: dict[str, float] = {}  # when it read each request, by id
    ended: dict[str, list[str]] = {}  # the outcomes that it logged for each request, by id
    violations: list[str] = msgspec.field(default_factory=list, name="rules")  # that it counted itself
    # Its events about the endpoint list, reloads and its own state, and all lines that are not events.
    log_excerpt: list[str] = msgspec.field(default_factory=list, name="states")
    tracebacks: int = 0
    descriptors: int = 0  # open at the end of a run, once all requests have ended
    memory_mb: float = 0.0  # peak of the resident memory


class Fault(msgspec.Struct):
    """A fault that is injected into the run."""

    at: float  # s from the start of the run
    kind: str
    target: int = 0
    seconds: float = 0.0


class Run(msgspec.Struct):
    """All records of a run."""

    seed: int
    began_at: float
    dedup_window: float = msgspec.field(name="window")  # s in which a keyed class may repeat
    may_hedge: bool
    faults: list[Fault]
    calls: list[Call]
    arrivals: list[Arrival]
    bad_peers: list[BadPeer]
    withdrawals: list[Withdrawal]
    list_writes: list[ListWrite] = msgspec.field(name="written")
    # Spans in which discovery answered no call, or rejected callers.
    discovery_outages: list[tuple[float, float]] = msgspec.field(name="silences")
    process_records: list[ProcessRecord] = msgspec.field(name="lives")
    lag: dict[str, float]  # the longest delay of each part of the test itself, in s
