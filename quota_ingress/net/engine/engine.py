"""The only caller of the policy: passes it events and executes its actions.

The engine owns the requests with their attempts, deadlines and timers, and uses no sockets itself. In a
simulation, the policy is called by the simulator instead.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.engine import snapshot_codec
from quota_ingress.net.engine.attempt_runner import AttemptRunner
from quota_ingress.net.engine.endpoint_registry import EndpointRegistry
from quota_ingress.net.engine.ports import AttemptResult, Client, CounterService, Loop, Policy, Upstream
from quota_ingress.net.engine.requests import ParsedRequest, Request, RequestTable
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.event_log import EventLog
from quota_ingress.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    Log,
    Probe,
    Reject,
    SendAttempt,
    SetTimer,
)
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    ProbeAnswered,
    RequestArrived,
    RequestReceived,
    TimerFired,
)
from quota_ingress.policy.settings import Settings

ANSWER_MARGIN = 10_000  # us; an unanswered request fails this long before the client's deadline
US_PER_SECOND = 1e6

log = logging.getLogger(__name__)


class Engine:
    """Executes the policy's actions and reports their results to it.

    Attributes:
        in_flight: The number of requests without a final answer.
        shutting_down: Whether the process is about to end. New requests are rejected, as no response would
            arrive in time.
        counter: The client of the shared counter in use; None if there is none.
        on_id_used: Called with the id of each request that is accepted.
        attempt_runner: Runs the attempts of all requests.
        endpoints: The endpoints that the policy knows.
    """

    def __init__(
        self,
        policy: Policy,
        settings: Settings,
        settings_index: SettingsIndex,
        upstream: Upstream,
        loop: Loop,
        now: Callable[[], int],
        event_log: EventLog | None = None,
    ) -> None:
        """`now` returns the process's clock in us."""
        self.settings = settings
        self.settings_index = settings_index
        self.upstream = upstream
        self.now = now
        self.event_log = event_log or EventLog()
        self.counter: CounterService | None = None
        self.on_id_used: Callable[[bytes], object] = lambda request_id: None
        self.in_flight = 0
        self.shutting_down = False
        self.attempt_runner = AttemptRunner(
            self, upstream, settings, settings_index, loop, now, self.event_log
        )
        self.endpoints = EndpointRegistry(settings, settings_index, upstream)
        self._policy = policy
        self._loop = loop
        self._requests = RequestTable(max(c.deadline for c in settings.classes), now)
        self._events: deque[Event] = deque()
        self._handling = False

    @property
    def directory(self) -> EndpointDirectory:
        """All listed endpoints, including those outside this gateway's subset."""
        return self.endpoints.directory

    @property
    def unfinished_count(self) -> int:
        """The number of requests that have no final answer or have an attempt in flight."""
        return len(self._requests)

    @property
    def can_send(self) -> bool:
        """Whether any endpoint accepts requests."""
        return self.endpoints.any_ready

    # Events from clients.

    def on_request(self, parsed: ParsedRequest, client: Client) -> bool:
        """Passes a request to the policy, or rejects it at once.

        Returns False, without an answer to the client, if another request uses the id.
        """
        now = self.now()
        if self._requests.is_duplicate(parsed.id):
            return False
        waited = now - parsed.received_at
        time_left = parsed.timeout - (waited if parsed.body.complete else 0)
        if reason := self._early_rejection(time_left):
            self.event_log.event("rejected", reason, id=parsed.id, left_us=time_left)
            client.reject(0)  # the client may safely retry, as nothing was sent; the policy is not involved
            return True
        self.event_log.event("arrived", id=parsed.id, left_us=time_left, waited_us=waited)
        request = self._requests.add(parsed, client, now + time_left)
        self.on_id_used(parsed.id)
        self.in_flight += 1
        if parsed.body.complete:
            request.body_complete_at = now
            self._start_deadline(request, request.deadline)
        self.post(
            RequestArrived(
                request.number,
                parsed.request_class,
                parsed.plan,
                parsed.customer,
                parsed.units,
                time_left,
                parsed.first_gateway,
                parsed.gateway_count,
                parsed.is_retry,
                not parsed.body.complete,
            )
        )
        return True

    def on_body_arrived(self, request_id: bytes, arrived_at: int) -> None:
        """Starts the deadline of a request whose last byte may have arrived at `arrived_at` (us).

        The rest of its streamed body is still unread, as the backend does not accept more. If more arrives,
        this is called again with a later time.
        """
        request = self._requests.with_id(request_id)
        if request and not request.answered and request.receiving_body:
            if request.timer is None:
                self.event_log.event("body", "unread", id=request_id, waited_us=self.now() - arrived_at)
            self._start_deadline(request, arrived_at + request.parsed.timeout)

    def on_body_missing(self, request_id: bytes) -> None:
        """Stops the deadline of a request: the last byte of its streamed body has not arrived after all."""
        request = self._requests.with_id(request_id)
        if request and not request.answered and request.receiving_body and request.timer:
            request.timer.cancel()
            request.timer = None

    def on_body_complete(self, request_id: bytes, arrived_at: int) -> None:
        """Starts the deadline and the attempts' timeouts: the whole body has been read.

        `arrived_at` (us) is when its last byte arrived at this machine.
        """
        request = self._requests.with_id(request_id)
        if request and not request.answered and request.body_complete_at is None:
            request.body_complete_at = self.now()
            self._start_deadline(request, arrived_at + request.parsed.timeout)
            for attempt in request.attempts:
                if not attempt.ended:
                    self.attempt_runner.start_timer(request, attempt)
            self.post(RequestReceived(request.number))

    def on_disconnect(self, request_id: bytes) -> None:
        """Ends the request of a client that has disconnected, or the streaming of its response."""
        request = self._requests.with_id(request_id)
        if request and not request.answered:
            self._end_disconnected(request)
        elif request:
            self.attempt_runner.abort_streaming(request)

    def check_disconnected(self, request: Request) -> None:
        """Ends the request if its client has disconnected.

        Called when an attempt begins, so that none begins after the client has disconnected: the event loop
        may read the end of the stream late, and reading is paused while the connection's pipeline is full.
        The check takes about 1 us.
        """
        if not request.answered and request.client.disconnected():
            self._end_disconnected(request)

    def mark_answered(self, request: Request) -> None:
        """Marks a request as answered: its client has the final answer or has disconnected."""
        request.answered = True
        if request.timer:
            request.timer.cancel()
        if request.receiving_body:
            self.attempt_runner.abort_waiting_for_body(request)
        self.in_flight -= 1

    def fail_all(self) -> None:
        """Fails all unanswered requests and rejects new ones, as the process is about to end."""
        self.shutting_down = True
        for request in self._requests:
            self._on_deadline(request)

    def _early_rejection(self, time_left: int) -> str:
        """Returns why a request is rejected without the policy; empty if the policy is to decide."""
        if self.shutting_down:
            return "process ending"
        if time_left <= ANSWER_MARGIN:
            return "no time left"
        if 0 < self.settings.limits.max_in_flight <= self.in_flight:
            return "too many in flight"
        return ""

    def _start_deadline(self, request: Request, deadline: int) -> None:
        """Starts the timer of the deadline, or moves it."""
        if request.timer:
            if request.deadline == deadline:
                return
            request.timer.cancel()
        request.deadline = deadline
        time_left = deadline - self.now() - ANSWER_MARGIN
        request.timer = self._loop.call_later(time_left / US_PER_SECOND, self._on_deadline, request)

    def _on_deadline(self, request: Request) -> None:
        if request.answered or self.attempt_runner.stream_begun_response(request):
            return
        reason = "process ending" if self.shutting_down else "out of time"
        self.event_log.event("ended", reason, id=request.parsed.id)
        self.mark_answered(request)
        request.client.fail(timed_out=True)
        # To the policy this is the same as a disconnect: the client no longer waits for an answer.
        self.post(ClientDisconnected(request.number))

    def _end_disconnected(self, request: Request) -> None:
        self.event_log.event("ended", "client disconnected", id=request.parsed.id)
        self.mark_answered(request)
        self.attempt_runner.withdraw_unwritten(request)
        self.post(ClientDisconnected(request.number))

    # Events from discovery and from the other process of an upgrade.

    def update_endpoints(self, listing: EndpointList, kind: ListKind | None = None) -> None:
        """Applies a snapshot or a delta of the endpoint list; `kind` is as in `EndpointRegistry.update`.

        The policy receives the new list before attempts are withdrawn, so that their retries use it.
        """
        update = self.endpoints.update(listing, kind, self.now())
        self._events.append(update.event)
        self.upstream.reconcile(update.removed)
        self._handle_events()

    def hand_over(self) -> dict[str, Any]:
        """Returns the policy's leases and statistics as a message for the other process of an upgrade."""
        names = {number: name for name, number in self.endpoints.numbers.items()}
        return snapshot_codec.encode(self._policy.hand_over(), names)

    def used_ids(self) -> list[bytes]:
        """Returns the request ids that are in use."""
        return self._requests.used_ids()

    def mark_ids_used(self, request_ids: Iterable[bytes]) -> None:
        """Marks request ids as in use: the other process has accepted requests with them."""
        self._requests.mark_used(request_ids)

    def restore(self, message: dict[str, Any]) -> None:
        """Restores the state handed over by the other process; a malformed message is ignored as a whole."""
        try:
            snapshot = snapshot_codec.decode(message, self.endpoints.numbers)
        except snapshot_codec.SnapshotError as error:
            log.warning("upgrade: policy snapshot of the other process ignored: %s", error)
            return
        self._policy.restore(snapshot)

    # Events to the policy and actions from it.

    def post(self, event: Event) -> None:
        """Passes an event to the policy, after the events that are already queued."""
        self._events.append(event)
        self._handle_events()

    def _handle_events(self) -> None:
        """Handles the queued events; those posted during an action wait, as the policy is not reentrant."""
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._handling = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self._policy.handle(self.now(), event):
                self._execute(action)
        except Exception:  # must not end the process; an affected request fails at its deadline
            log.exception("engine: failed to handle %s", type(event).__name__)
        if isinstance(event, AttemptEnded | RequestArrived | ClientDisconnected):
            self._requests.remove_if_finished(event.request)

    def _execute(self, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send(action)
            case Reject():
                self._reject(action)
            case Fail():
                self._fail(action)
            case CancelAttempt():
                self._cancel(action)
            case SetTimer(token, at):
                delay = max(0, at - self.now()) / US_PER_SECOND
                self._loop.call_later(delay, self.on_timer, token)
            case AddToCounter():
                self._add_to_counter(action)
            case Probe(endpoint):
                self._probe(endpoint)
            case CloseIdleConnections(endpoint):
                self.upstream.close_idle_connections(endpoint)
            case Log(text):
                log.info("%s", text)
            case _:  # polling of discovery and messages between gateways exist only in the simulator
                log.debug("engine: action not supported outside the simulator: %s", action)

    def _send(self, action: SendAttempt) -> None:
        request = self._requests.get(action.request)
        if request:
            self.attempt_runner.begin(request, action.endpoint, action.timeout)
        else:
            self._events.append(
                AttemptEnded(action.request, 0, action.endpoint, Outcome.NOT_SENT, 0, request_ended=True)
            )

    def _cancel(self, action: CancelAttempt) -> None:
        if request := self._requests.get(action.request):
            self.attempt_runner.cancel(request, action.attempt)

    def _reject(self, action: Reject) -> None:
        request = self._requests.get(action.request)
        if request is None or request.answered:
            return
        self.event_log.event(
            "ended",
            "rejected",
            id=request.parsed.id,
            retry_after_us=action.retry_after,
            attempts=len(request.attempts),
        )
        self.mark_answered(request)
        request.client.reject(action.retry_after if self.settings.limits.sends_retry_after else 0)
        self._requests.remove_if_finished(action.request)

    def _fail(self, action: Fail) -> None:
        request = self._requests.get(action.request)
        if request is None or request.answered:
            return
        self.event_log.event("ended", "failed", id=request.parsed.id)
        self.mark_answered(request)
        request.client.fail(timed_out=False)
        self._requests.remove_if_finished(action.request)

    def on_timer(self, token: int) -> None:
        """Notifies the policy that its timer `token` is due."""
        self.post(TimerFired(token))

    def _add_to_counter(self, action: AddToCounter) -> None:
        called_at = self.now()

        def on_answer(outcome: Outcome, total: float) -> None:
            self.post(CounterAnswered(action.name, outcome, total, self.now() - called_at))

        if self.counter:
            self.counter.add(action.name, action.amount, action.ttl, on_answer)
        else:
            on_answer(Outcome.CONNECT_FAILED, 0.0)

    def _probe(self, endpoint: int) -> None:
        sent_at = self.now()

        def on_ended(result: AttemptResult) -> None:
            load = self.settings_index.parse_load_report(result.load) if result.load else ()
            self.post(ProbeAnswered(endpoint, result.outcome, self.now() - sent_at, load))

        self.upstream.probe(endpoint, on_ended)
