"""Runs attempts: checks the send rules, sets the timeout, performs the exchange and reports the outcome."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from quota_ingress.net.engine.attempts import Attempt
from quota_ingress.net.engine.ports import AttemptResult, Loop, Upstream
from quota_ingress.net.engine.requests import Request
from quota_ingress.net.engine.send_rules import (
    DISCONNECT_GRACE,
    PREDICTABLE_DENIALS,
    Denial,
    delivery_deadline,
    denial,
)
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.event_log import EventLog
from quota_ingress.policy.events import AttemptEnded, Event, Outcome, StreamStarted
from quota_ingress.policy.settings import Idempotency, Settings

RESPONSE_MARGIN = 15_000  # us; attempts time out this long before the client's deadline
LATE_ANSWER_TIME = 400_000  # us past the client's deadline; it waits for 500 ms
LATE_CHECK_INTERVAL_S = 0.1
US_PER_SECOND = 1e6


class RequestOwner(Protocol):
    """The owner of the requests whose attempts are run."""

    def post(self, event: Event) -> None:
        """Passes an event to the policy."""

    def mark_answered(self, request: Request) -> None:
        """Marks a request as answered, so that its client gets no other answer."""

    def check_disconnected(self, request: Request) -> None:
        """Ends the request if its client has disconnected."""


class AttemptRunner:
    """Runs attempts on the upstream client where `send_rules` allows them."""

    def __init__(
        self,
        owner: RequestOwner,
        upstream: Upstream,
        settings: Settings,
        settings_index: SettingsIndex,
        loop: Loop,
        now: Callable[[], int],
        event_log: EventLog,
    ) -> None:
        """`now` returns the process's clock in us."""
        self.settings = settings
        self._owner = owner
        self._upstream = upstream
        self._settings_index = settings_index
        self._loop = loop
        self._now = now
        self._event_log = event_log

    def begin(self, request: Request, endpoint: int, timeout: int) -> None:
        """Begins an attempt at `endpoint`.

        It times out after `timeout` us, unless that is 0, and at the latest RESPONSE_MARGIN before the
        client's deadline.
        """
        now = self._now()
        attempt = Attempt(len(request.attempts), endpoint, now)
        self._owner.check_disconnected(request)
        parsed = request.parsed
        time_left = request.time_left(now) - RESPONSE_MARGIN
        attempt.response_timeout = min(timeout, time_left) if timeout else time_left
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        if self._is_denied(request, attempt, now):
            self.end(request, attempt, AttemptResult(Outcome.NOT_SENT))
            return
        if not request.receiving_body:
            self.start_timer(request, attempt)
        body_is_buffered = parsed.body.complete and not parsed.body.is_long
        request_class = self.settings.classes[parsed.request_class]
        attempt.exchange = self._upstream.send(
            endpoint,
            parsed.head,
            lambda result: self.end(request, attempt, result),
            request_class.idempotency is Idempotency.NOT_IDEMPOTENT,
            None if body_is_buffered else parsed.body,
            lambda result: self._on_stream_started(request, attempt, result),
            lambda: self._authorize(request, attempt),
        )
        for each in _in_flight(request):
            self._limit_delivery(request, each)

    def cancel(self, request: Request, number: int) -> None:
        """Cancels attempt `number` of a request if it is in flight."""
        if number >= len(request.attempts):
            return
        self._abort(request, request.attempts[number], Outcome.CANCELLED)

    def withdraw_unwritten(self, request: Request) -> None:
        """Ends those attempts of a request whose last byte has not been written; the others continue."""
        for attempt in _in_flight(request):
            if attempt.exchange and attempt.exchange.withdraw():
                self.end(request, attempt, AttemptResult(Outcome.NOT_SENT))

    def abort_streaming(self, request: Request) -> None:
        """Cancels the attempt whose response is being streamed to a client that has disconnected."""
        for attempt in _in_flight(request):
            if attempt.streaming:
                if attempt.exchange:
                    attempt.exchange.abort()
                self.end(request, attempt, AttemptResult(Outcome.CANCELLED))

    def stream_begun_response(self, request: Request) -> bool:
        """Streams a response that an attempt has begun and that may be long. Returns whether there is one."""
        return any(attempt.exchange and attempt.exchange.stream_response() for attempt in _in_flight(request))

    def abort_waiting_for_body(self, request: Request) -> None:
        """Cancels the attempts that wait for the rest of a request body that will not be received."""
        for attempt in _in_flight(request):
            if not attempt.streaming and attempt.exchange:
                attempt.exchange.abort()
                self.end(request, attempt, AttemptResult(Outcome.CANCELLED))

    def start_timer(self, request: Request, attempt: Attempt) -> None:
        """Starts the attempt's response timeout."""
        delay = attempt.response_timeout / US_PER_SECOND
        attempt.timer = self._loop.call_later(delay, self._on_timeout, request, attempt)

    def end(self, request: Request, attempt: Attempt, result: AttemptResult) -> None:
        """Ends an attempt with its result and notifies the policy; does nothing if it has already ended."""
        if attempt.ended:
            return
        response_bytes = attempt.exchange.response_bytes if attempt.exchange else None
        attempt.ended = True
        attempt.exchange = None
        attempt.outcome = result.outcome
        request.attempts_in_flight -= 1
        self._event_log.event(
            "attempt",
            result.outcome.value,
            id=request.parsed.id,
            n=attempt.number,
            backend=attempt.backend,
            response_bytes=response_bytes,
        )
        for timer in (attempt.timer, attempt.delivery_timer):
            if timer:
                timer.cancel()
        if result.outcome is Outcome.OK and not request.answered and not attempt.streaming:
            self._event_log.event("ended", "served", id=request.parsed.id)
            self._owner.mark_answered(request)
            request.client.respond(result)
        event = AttemptEnded(
            request.number,
            attempt.number,
            attempt.backend,
            result.outcome,
            attempt.latency if attempt.streaming else self._latency(request, attempt),
            request.answered,
            self._settings_index.parse_load_report(result.load) if result.load else (),
        )
        self._owner.post(event)

    def _authorize(self, request: Request, attempt: Attempt) -> bytes | None:
        """Checks the send rules and returns the data after the head: Request-Timeout and a buffered body.

        Returns None if the attempt may no longer begin.
        """
        now = self._now()
        self._owner.check_disconnected(request)
        if self._is_denied(request, attempt, now):
            return None
        body = request.parsed.body
        time_left = _time_left(request, attempt, now)
        self._event_log.event(
            "attempt",
            "begun",
            id=request.parsed.id,
            n=attempt.number,
            backend=attempt.backend,
            timeout_us=time_left,
        )
        buffered_body = bytes(body.data) if body.complete and not body.is_long else b""
        return b"Request-Timeout: %dm\r\n\r\n%b" % (max(1, time_left // 1000), buffered_body)

    def _is_denied(self, request: Request, attempt: Attempt, now: int) -> bool:
        reason = denial(
            request,
            attempt,
            self.settings.classes[request.parsed.request_class],
            self.settings.limits,
            now,
            now + _time_left(request, attempt, now),
        )
        if reason is None and self._client_is_uncertain(request, now):
            reason = Denial.CLIENT_UNCERTAIN
        if reason is None:
            return False
        if reason is Denial.REQUEST_ANSWERED and request.client.disconnected():
            reason = Denial.CLIENT_DISCONNECTED
        if reason in PREDICTABLE_DENIALS:
            self._event_log.violation(f"attempt: {reason.value}", id=request.parsed.id, n=attempt.number)
        self._event_log.event("denied", reason.value, id=request.parsed.id, n=attempt.number)
        return True

    def _client_is_uncertain(self, request: Request, now: int) -> bool:
        """Returns whether the client may have disconnected longer ago than an attempt may begin after that.

        It was connected when its request was passed on. A request that is still being received is exempt.
        """
        if request.receiving_body or now - request.created_at <= DISCONNECT_GRACE:
            return False
        return request.client.may_have_disconnected()

    def _on_stream_started(self, request: Request, attempt: Attempt, result: AttemptResult) -> None:
        """Streams the response to the client.

        From here on no other attempt can answer the request, and its deadline no longer applies.
        """
        if attempt.timer:
            attempt.timer.cancel()
        if request.answered or attempt.ended:
            if result.stream:
                result.stream.release()  # frees the buffer: no client reads it
            if attempt.exchange:
                attempt.exchange.abort()
            self.end(request, attempt, AttemptResult(Outcome.CANCELLED))
            return
        now = self._now()
        attempt.latency = self._latency(request, attempt)
        self._event_log.event("ended", "served", id=request.parsed.id)
        self._owner.mark_answered(request)
        self._owner.post(StreamStarted(request.number, attempt.number, attempt.backend, attempt.latency))
        request.client.stream_response(result)
        if result.stream and not result.stream.is_long:
            delay = max(0, request.deadline - now + LATE_ANSWER_TIME) / US_PER_SECOND
            attempt.timer = self._loop.call_later(delay, self._end_if_short, attempt)

    def _end_if_short(self, attempt: Attempt) -> None:
        """Truncates a response that is not going to be long: a short one is due by now."""
        if attempt.exchange and attempt.exchange.end_if_short():
            attempt.timer = self._loop.call_later(LATE_CHECK_INTERVAL_S, self._end_if_short, attempt)

    def _limit_delivery(self, request: Request, attempt: Attempt) -> None:
        """Starts the timer of the attempt's delivery deadline, if it has one."""
        if attempt.delivery_timer:
            attempt.delivery_timer.cancel()
        request_class = self.settings.classes[request.parsed.request_class]
        deadline = delivery_deadline(request, attempt, request_class)
        if deadline is not None:
            delay = max(0, deadline - self._now()) / US_PER_SECOND
            attempt.delivery_timer = self._loop.call_later(
                delay, self._on_delivery_deadline, request, attempt
            )

    def _on_delivery_deadline(self, request: Request, attempt: Attempt) -> None:
        """Aborts an attempt whose last byte would arrive after the deduplication window.

        The deadline may have moved since the timer was started, as other attempts have ended without running.
        """
        if attempt.ended or attempt.streaming or attempt.exchange is None or attempt.exchange.delivered:
            return
        request_class = self.settings.classes[request.parsed.request_class]
        deadline = delivery_deadline(request, attempt, request_class)
        if deadline is None or self._now() < deadline:
            self._limit_delivery(request, attempt)
            return
        self._event_log.event("undelivered", Denial.WINDOW_OVER.value, id=request.parsed.id, n=attempt.number)
        self._abort(request, attempt, Outcome.TIMEOUT, outcome_if_unwritten=Outcome.NOT_SENT)

    def _on_timeout(self, request: Request, attempt: Attempt) -> None:
        if attempt.ended or not (attempt.exchange and attempt.exchange.stream_response()):
            self._abort(request, attempt, Outcome.TIMEOUT)

    def _abort(
        self,
        request: Request,
        attempt: Attempt,
        outcome_if_written: Outcome,
        outcome_if_unwritten: Outcome = Outcome.CONNECT_FAILED,
    ) -> None:
        if not attempt.ended and attempt.exchange:
            may_have_run = attempt.exchange.abort()
            outcome = outcome_if_written if may_have_run else outcome_if_unwritten
            self.end(request, attempt, AttemptResult(outcome))

    def _latency(self, request: Request, attempt: Attempt) -> int:
        """Returns the attempt's latency in us, without the time spent waiting for the request's last byte."""
        started_at = max(attempt.sent_at, request.body_complete_at or attempt.sent_at)
        return max(0, self._now() - started_at)


def _time_left(request: Request, attempt: Attempt, now: int) -> int:
    """Returns how long, in us, an attempt may wait for a response from `now` on.

    Its own timeout does not run while the body of the request is being received.
    """
    elapsed = 0 if request.receiving_body else now - attempt.sent_at
    return min(attempt.response_timeout - elapsed, request.time_left(now) - RESPONSE_MARGIN)


def _in_flight(request: Request) -> list[Attempt]:
    return [attempt for attempt in request.attempts if not attempt.ended]
