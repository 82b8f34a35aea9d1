"""What happens to a gateway. Every event is handled with the present moment, in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quota_ingress.policy.endpoint_list import EndpointsListed


class Outcome(Enum):
    """What became of an attempt, a probe or a call to the counter."""

    OK = "ok"
    ERROR = "error"  # may have run
    REJECTED = "rejected"  # never ran: the endpoint is full or draining
    TIMEOUT = "timeout"  # may have run, may still run
    CONNECT_FAILED = "connect failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "not sent"


NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A client's request."""

    request: int
    request_class: int  # index into Settings.classes
    plan: int  # index into Settings.plans
    customer: int
    units: float
    time_left: int  # us until the client's deadline
    first_gateway: int = 0  # first of the gateways that this customer's requests come through
    gateway_count: int = 1  # how many these are
    is_retry: bool = False  # the client's, after a rejection


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over, with its outcome."""

    request: int
    attempt: int  # from 0, in the order of SendAttempt
    endpoint: int
    outcome: Outcome
    latency: int  # us
    request_ended: bool  # the client has its final answer
    load: tuple[float, ...] = ()  # load report, in the order of Settings.load_fields
    settled_units: float = 0.0  # true units, where they are settled afterwards


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed response has begun: no other attempt can answer any more."""

    request: int
    attempt: int
    endpoint: int
    latency: int  # us


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has left."""

    request: int


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer is due."""

    token: int


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """A call to the counter is over."""

    name: int
    outcome: Outcome
    total: float  # units under that name, this call's included
    latency: int  # us


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A health check is over."""

    endpoint: int
    outcome: Outcome
    latency: int  # us
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message of another gateway."""

    sender: int
    data: bytes


Event = (
    RequestArrived
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | CounterAnswered
    | EndpointsListed
    | ProbeAnswered
    | PeerMessage
)
