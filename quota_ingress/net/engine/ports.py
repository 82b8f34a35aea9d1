"""What the engine expects of those around it: the event loop, both sides of the network, and the counter."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.http import Body
from quota_ingress.policy.actions import Action
from quota_ingress.policy.events import Event, Outcome
from quota_ingress.policy.snapshot import PolicySnapshot


class Policy(Protocol):
    """The module that decides."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Takes one event at the moment `now` (us), and returns what is to be done."""

    def hand_over(self) -> PolicySnapshot:
        """Returns what has been leased and learned, and gives it away."""

    def restore(self, snapshot: PolicySnapshot) -> None:
        """Goes on with what another process gave away."""


class Timer(Protocol):
    """A call that has been put off."""

    def cancel(self) -> None:
        """It will not be made."""


class Loop(Protocol):
    """What the engine needs of an event loop."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Calls back after `delay` s."""


class Exchange(Protocol):
    """An attempt in flight, as the upstream client knows it."""

    written: bool  # its last byte may have been

    def abort(self) -> bool:
        """Gives the attempt up. Returns whether it may have run: its last byte may have been written."""

    def withdraw(self) -> bool:
        """Gives the attempt up if its last byte has not been written, so that it never runs.

        Returns whether it did.
        """


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended; for OK, with the endpoint's response."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""
    load: bytes = b""  # load report, as the endpoint wrote it
    declared_length: bytes = b""  # Content-Length, as the endpoint's head has it
    stream: Body | None = None  # the body as it comes, where it is too long to be held


class Upstream(Protocol):
    """The connections to endpoints."""

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Takes in an entry of the list, before the policy hears of it."""

    def reconcile(self, gone: Iterable[int]) -> None:
        """Closes and withdraws what the registered entries have made void; forgets the endpoints `gone`."""

    def send(
        self,
        backend: int,
        head: bytes,
        on_ended: Callable[[AttemptResult], None],
        non_idempotent: bool = False,
        body: Body | None = None,
        on_stream_started: Callable[[AttemptResult], None] | None = None,
        authorize: Callable[[], bytes | None] = ...,
    ) -> Exchange:
        """Begins an attempt.

        Args:
            backend: The endpoint's number.
            head: The request's head but for its last lines.
            on_ended: Is called once with the result.
            non_idempotent: The request must not be written a second time, on another connection.
            body: The request's body, where it is forwarded as it comes.
            on_stream_started: Is called with a response that is streamed, before `on_ended`.
            authorize: Is asked in the moment of the write, and returns the rest of the data, which depends on
                that moment; None: the attempt may not begin any more, and ends as NOT_SENT.
        """

    def probe(self, backend: int, on_ended: Callable[[AttemptResult], None]) -> None:
        """Checks an endpoint's health."""

    def close_idle_connections(self, backend: int) -> None:
        """Closes the idle connections to an endpoint."""


Answered = Callable[[Outcome, float], None]


class CounterService(Protocol):
    """The counter that all gateways share."""

    def add(self, name: int, amount: float, ttl_us: int, answered: Answered) -> None:
        """Adds `amount` units to a name, which lives for `ttl_us` if it is new, and tells the total."""


class Client(Protocol):
    """Who waits for a request's one final answer."""

    def disconnected(self) -> bool:
        """Returns whether the client has left, as the socket tells: its end may be unread as yet."""

    def respond(self, answer: AttemptResult) -> None:
        """Sends an endpoint's whole response."""

    def stream_response(self, answer: AttemptResult) -> None:
        """Sends a response that has begun, as its body comes; it may yet break."""

    def reject(self, retry_after: int) -> None:
        """Sends a rejection: a new request after `retry_after` us (0: no advice) does no harm."""

    def fail(self, timed_out: bool) -> None:
        """Sends a failure, which promises nothing about effects."""
