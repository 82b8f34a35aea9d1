"""A request's life as the engine keeps it, and what the engine expects of those who carry it out."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from quota_ingress.net.discovery.endpoint_list import EndpointEntry
from quota_ingress.net.http import Body
from quota_ingress.policy.events import NEVER_RAN, Outcome


class Timer(Protocol):
    """A call that has been put off."""

    def cancel(self) -> None:
        """It will not be made."""


class Loop(Protocol):
    """What the engine needs of an event loop."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Calls back after `delay` s."""


class Exchange(Protocol):
    """An attempt on its way, as who carries it out knows it."""

    written: bool  # its last byte may have been

    def abort(self) -> bool:
        """Gives the attempt up; True if it may have run, False if its last byte was never written."""

    def withdraw(self) -> bool:
        """Gives it up if its last byte has not been written: it has not run, and will not. True if so."""


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended: for OK, with the backend's body."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""
    load: bytes = b""
    declared_length: bytes = b""  # as the backend's head has it
    stream: Body | None = None  # the body, where it is too long to be held, as it comes


class Upstream(Protocol):
    """The connections to backends."""

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Takes in an entry, before the module hears of it."""

    def reconcile(self, gone: Iterable[int]) -> None:
        """Closes and withdraws what the entries taken in have made void, and forgets those gone."""

    def send(
        self,
        backend: int,
        head: bytes,
        ended: Callable[[AttemptResult], None],
        once: bool = False,
        body: Body | None = None,
        started: Callable[[AttemptResult], None] | None = None,
        permit: Callable[[], bytes | None] = ...,
    ) -> Exchange:
        """`permit` is asked in the moment of the write, and tells the rest of the data, which depends on it;
        None: the attempt may not begin any more, and ends as MOOT.
        """

    def probe(self, backend: int, ended: Callable[[AttemptResult], None]) -> None:
        """Asks a backend how it is."""

    def close_idle_connections(self, backend: int) -> None:
        """Closes the connections to it that rest."""


Answered = Callable[[Outcome, float], None]


class CounterClient(Protocol):
    """The counter that all gateways share."""

    def add(self, name: int, amount: float, ttl_us: int, answered: Answered) -> None:
        """Adds to a name, which lives for `ttl_us` if it is new, and tells the total."""


class Client(Protocol):
    """Who waits for a request's one answer."""

    def disconnected(self) -> bool:
        """Whether it has left, told by the socket itself: its end may be unread as yet."""

    def respond(self, answer: AttemptResult) -> None:
        """The whole answer of a backend."""

    def stream_response(self, answer: AttemptResult) -> None:
        """The answer has begun, and goes on as its body comes; it may yet break."""

    def reject(self, retry_after: int) -> None:
        """A refusal: to try again, after so many us, is harmless."""

    def fail(self, timed_out: bool) -> None:
        """A failure, which promises nothing."""


@dataclass(slots=True)
class ParsedRequest:
    """A client's request, read and found sound."""

    id: bytes
    request_class: int
    plan: int
    customer: int
    units: float
    gateway_count: int
    first_gateway: int
    timeout: int  # us
    received_at: int  # the clock when its last byte came to this machine; void while the body is still coming
    is_retry: bool
    head: bytes  # what goes on to a backend, but for the time left
    body: Body


class Attempt:
    """One attempt of a request at a backend. Moments are us of the process's clock."""

    __slots__ = (
        "backend",
        "ended",
        "exchange",
        "latency",
        "number",
        "outcome",
        "response_timeout",
        "sent_at",
        "timer",
    )

    def __init__(self, number: int, backend: int, sent: int) -> None:
        self.number, self.backend, self.sent_at, self.ended = number, backend, sent, False
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None
        self.response_timeout = 0  # us for an answer, once the request's last byte is on its way
        self.latency = -1  # us until its answer began, where that is passed on as it comes
        self.outcome: Outcome | None = None  # once it has ended

    @property
    def may_have_run(self) -> bool:
        """Its last byte may have been written, and no outcome has shown that it never ran."""
        if self.outcome is not None:
            return self.outcome not in NEVER_RAN
        return self.exchange is not None and self.exchange.written


class Request:
    """A client's request from its arrival until all of its attempts have ended. Moments are us."""

    __slots__ = (
        "answered",
        "attempts",
        "attempts_in_flight",
        "body_complete_at",
        "client",
        "deadline",
        "number",
        "parsed",
        "timer",
    )

    def __init__(self, number: int, wanted: ParsedRequest, client: Client, deadline: int) -> None:
        self.number, self.parsed, self.client, self.deadline = number, wanted, client, deadline
        self.answered, self.attempts_in_flight = False, 0
        self.body_complete_at: int | None = None  # None: its body is still coming, and no time runs
        self.attempts: list[Attempt] = []
        self.timer: Timer | None = None

    @property
    def body_coming(self) -> bool:
        """Its last byte has not come."""
        return self.body_complete_at is None

    @property
    def body_forwarded(self) -> bool:
        """Some of its body has gone to a backend and is not held any more."""
        return self.parsed.body.discarded > 0
