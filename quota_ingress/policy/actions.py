"""What a gateway decides, for its caller to carry out in the order given."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Forward a request to an endpoint."""

    request: int
    endpoint: int
    timeout: int  # us; 0: until the client leaves


@dataclass(frozen=True, slots=True)
class Reject:
    """A final rejection, with the promise that a new request does no harm."""

    request: int
    retry_after: int = 0  # us; 0: no advice


@dataclass(frozen=True, slots=True)
class Fail:
    """A final failure that promises nothing about effects."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop an attempt that is in flight."""

    request: int
    attempt: int  # from 0, in the order of SendAttempt


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired event."""

    token: int
    at: int  # us


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Call the shared counter."""

    name: int
    amount: float  # units; below 0: taken off
    ttl: int  # us after which the name is forgotten


@dataclass(frozen=True, slots=True)
class Probe:
    """Check an endpoint's health."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Send a message to another gateway."""

    peer: int | None  # None: to all
    data: bytes


@dataclass(frozen=True, slots=True)
class SubscribeToEndpoints:
    """Start or stop the watch on the endpoint list."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Poll discovery for the whole list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    SendAttempt
    | Reject
    | Fail
    | CancelAttempt
    | SetTimer
    | AddToCounter
    | Probe
    | CloseIdleConnections
    | SendToPeer
    | SubscribeToEndpoints
    | FetchEndpointList
    | Log
)
