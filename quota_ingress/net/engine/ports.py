"""The interfaces that the engine uses: policy, event loop, upstream client, counter and downstream client."""

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
    """The policy: decides on admission, load balancing and retries."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Processes one event at the time `now` (us) and returns the actions to execute."""

    def hand_over(self) -> PolicySnapshot:
        """Returns the leases and statistics for the other process of an upgrade, and gives up the leases."""

    def restore(self, snapshot: PolicySnapshot) -> None:
        """Adopts the leases and statistics that the other process of an upgrade handed over."""


class Timer(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancels the callback."""


class Loop(Protocol):
    """The part of an event loop that the engine uses."""

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> Timer:
        """Schedules `callback(*args)` after `delay` seconds."""


class Exchange(Protocol):
    """An attempt in flight in the upstream client."""

    written: bool  # the last byte of the request may have been written

    @property
    def delivered(self) -> bool:
        """Whether the backend's machine has acknowledged the whole request."""

    @property
    def response_bytes(self) -> int | None:
        """The number of body bytes of the response so far; None before the end of its head."""

    def stream_response(self) -> bool:
        """Streams a response that has begun and may be long. Returns whether it is being streamed."""

    def end_if_short(self) -> bool:
        """Truncates a streamed response that is short, as it is late. Returns whether that is still open."""

    def abort(self) -> bool:
        """Aborts the attempt. Returns whether it may have run: its last byte may have been written."""

    def withdraw(self) -> bool:
        """Aborts the attempt if its last byte has not been written, so that it never runs.

        Returns whether it was aborted.
        """


@dataclass(slots=True)
class AttemptResult:
    """The outcome of an attempt; for Outcome.OK, with the endpoint's response."""

    outcome: Outcome
    body: bytes = b""
    content_type: bytes = b""
    load: bytes = b""  # load report as received, not yet parsed
    declared_length: bytes = b""  # Content-Length as in the response head
    stream: Body | None = None  # the body, where it is too long to buffer and is streamed


class Upstream(Protocol):
    """The connections to endpoints."""

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None:
        """Adds or updates an entry of the endpoint list, before the policy is notified of it."""

    def reconcile(self, removed: Iterable[int]) -> None:
        """Closes the idle connections and fails the unwritten attempts of some endpoints.

        These are endpoints that have changed address, have restarted, accept no more requests or are in
        `removed`. The connection pools of `removed` are dropped.
        """

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
            head: The request's head without its last lines, which `authorize` returns.
            on_ended: Called once with the result.
            non_idempotent: The request cannot be retried after a connection reset, so it gets a new
                connection while reused connections often end before a response.
            body: The request's body, if it is streamed; None if `authorize` returns it.
            on_stream_started: Called with a streamed response when it begins, before `on_ended`.
            authorize: Called immediately before the write to check the send rules once more. Returns the data
                that is written after `head` and depends on the time of the write, or None if the attempt may
                no longer begin; it then ends with NOT_SENT.
        """

    def probe(self, backend: int, on_ended: Callable[[AttemptResult], None]) -> None:
        """Checks an endpoint's health."""

    def close_idle_connections(self, backend: int) -> None:
        """Closes the idle connections to an endpoint."""


OnAnswer = Callable[[Outcome, float], None]


class CounterService(Protocol):
    """The client of the counter that all gateways share."""

    def add(self, name: int, amount: float, ttl_us: int, on_answer: OnAnswer) -> None:
        """Adds `amount` units to the total of `name`; a new total expires `ttl_us` us after its creation.

        `on_answer` is called with the outcome and, for Outcome.OK, the total after the addition.
        """


class Client(Protocol):
    """The client of a request, to which exactly one final answer is sent."""

    def disconnected(self) -> bool:
        """Returns whether the client has closed its connection, even if the end of the stream is unread."""

    def may_have_disconnected(self) -> bool:
        """Returns whether the end of the stream may wait on the client's machine, behind unread input."""

    def respond(self, result: AttemptResult) -> None:
        """Sends an endpoint's complete response."""

    def stream_response(self, result: AttemptResult) -> None:
        """Streams a response whose body is still being received and may be truncated."""

    def reject(self, retry_after: int) -> None:
        """Sends a rejection: the client may safely retry, after `retry_after` us unless that is 0."""

    def fail(self, timed_out: bool) -> None:
        """Sends a failure: the request may or may not have taken effect."""
