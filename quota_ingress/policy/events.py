"""The events that a gateway handles. Each is passed with the current time in microseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from quota_ingress.policy.endpoint_list import EndpointsListed


class Outcome(Enum):
    """The result of an attempt, a probe or a call to the counter."""

    OK = "ok"
    ERROR = "error"  # may have run
    REJECTED = "rejected"  # never ran: the endpoint is full or draining
    TIMEOUT = "timeout"  # may have run or still be running
    CONNECT_FAILED = "connect failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "not sent"


NEVER_RAN = (Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A request has arrived from a client."""

    request: int  # id
    request_class: int  # index into Settings.classes
    plan: int  # index into Settings.plans
    customer: int
    units: float
    time_left: int  # us until the client's deadline
    first_gateway: int = 0  # index of the first gateway that this customer's requests come through
    gateway_count: int = 1  # number of gateways that they come through
    is_retry: bool = False  # the client repeats a rejected request
    is_receiving: bool = False  # its body is still being received: endpoints do not begin with it yet


@dataclass(frozen=True, slots=True)
class RequestReceived:
    """The body of a request that arrived with `is_receiving` is complete."""

    request: int  # id


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt has ended."""

    request: int  # id
    attempt: int  # index from 0, in the order of SendAttempt
    endpoint: int
    outcome: Outcome
    latency: int  # us
    request_ended: bool  # the client has received its final answer
    load: tuple[float, ...] = ()  # load report, in the order of Settings.load_fields
    settled_units: float = 0.0  # true units, if Settings.settles_after_response


@dataclass(frozen=True, slots=True)
class StreamStarted:
    """A streamed response has begun: no other attempt can answer the request any more."""

    request: int  # id
    attempt: int
    endpoint: int
    latency: int  # us


@dataclass(frozen=True, slots=True)
class ClientDisconnected:
    """The client of a request has disconnected."""

    request: int  # id


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer set by SetTimer has expired."""

    token: int  # id of the request for which it was set


@dataclass(frozen=True, slots=True)
class CounterAnswered:
    """A call to the counter has ended."""

    name: int
    outcome: Outcome
    total: float  # of that name, including this call's amount
    latency: int  # us


@dataclass(frozen=True, slots=True)
class ProbeAnswered:
    """A health check has ended."""

    endpoint: int
    outcome: Outcome
    latency: int  # us
    load: tuple[float, ...] = ()


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway has arrived."""

    sender: int
    data: bytes


Event = (
    RequestArrived
    | RequestReceived
    | AttemptEnded
    | StreamStarted
    | ClientDisconnected
    | TimerFired
    | CounterAnswered
    | EndpointsListed
    | ProbeAnswered
    | PeerMessage
)
