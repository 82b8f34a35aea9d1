"""The actions that a gateway decides on; the caller carries them out in the order given."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Forwards a request to an endpoint."""

    request: int
    endpoint: int
    timeout: int  # us; 0: until the client disconnects


@dataclass(frozen=True, slots=True)
class Reject:
    """Answers a request with a final rejection, which asserts that repeating the request does no harm."""

    request: int
    retry_after: int = 0  # us; 0: no Retry-After


@dataclass(frozen=True, slots=True)
class Fail:
    """Answers a request with a final failure, which leaves open whether the request took effect."""

    request: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancels an attempt in flight."""

    request: int
    attempt: int  # index from 0, in the order of SendAttempt


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Schedules a TimerFired event."""

    token: int
    at: int  # us


@dataclass(frozen=True, slots=True)
class AddToCounter:
    """Adds to a total of the shared counter."""

    name: int
    amount: float  # units; below 0: subtracted
    ttl: int  # us after which the counter discards the name


@dataclass(frozen=True, slots=True)
class Probe:
    """Checks an endpoint's health."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Closes the idle connections to an endpoint."""

    endpoint: int


@dataclass(frozen=True, slots=True)
class SendToPeer:
    """Sends a message to one or all other gateways."""

    peer: int | None  # None: to all
    data: bytes


@dataclass(frozen=True, slots=True)
class SubscribeToEndpoints:
    """Starts or stops the watch on the endpoint list."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class FetchEndpointList:
    """Polls discovery for the full endpoint list."""


@dataclass(frozen=True, slots=True)
class Log:
    """Writes a line to the log."""

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
