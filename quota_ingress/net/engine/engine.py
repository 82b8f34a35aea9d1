"""The only caller of Gateway.handle: owns requests, attempts, deadlines and timers, and turns actions into
calls on the other files. It does for the module what the simulator does; it needs no sockets itself.
"""

from __future__ import annotations

import logging
import zlib
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint_list import EndpointEntry, EndpointList
from quota_ingress.net.discovery.start_times import StartTimes, reserve
from quota_ingress.net.engine import snapshot_codec
from quota_ingress.net.engine.attempts import (
    Attempt,
    AttemptResult,
    Client,
    CounterClient,
    Loop,
    ParsedRequest,
    Request,
    Upstream,
)
from quota_ingress.net.engine.names import SettingsIndex
from quota_ingress.net.engine.send_rules import FORESEEABLE, Denial, denial
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
from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    Outcome,
    ProbeAnswered,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from quota_ingress.policy.settings import Idempotency, Settings
from quota_ingress.policy.snapshot import PolicySnapshot
from quota_ingress.policy.subsetting import deal

ANSWER_MARGIN = 10_000  # us before the client's deadline by which its answer is on the way
LAST_ATTEMPT = 15_000  # us before it by which no attempt is waited for any longer
STATES = {"up": EndpointState.READY, "draining": EndpointState.DRAINING}

log = logging.getLogger(__name__)


class Decider(Protocol):
    """The module that decides."""

    def handle(self, now: int, event: Event) -> list[Action]:
        """Takes one event, and returns what is to be done."""

    def hand_over(self) -> PolicySnapshot:
        """Gives away what it has leased and learned."""

    def restore(self, snapshot: PolicySnapshot) -> None:
        """Goes on with what another one gave away."""


class Engine:
    """Carries out what the module decides, and tells it what becomes of that."""

    def __init__(
        self,
        gateway: Decider,
        settings: Settings,
        names: SettingsIndex,
        loop: Loop,
        now: Callable[[], int],
        trace: EventLog | None = None,
    ) -> None:
        self.settings, self.names, self.now = settings, names, now
        self.trace = trace or EventLog()
        self.upstream: Upstream
        self.counter: CounterClient | None = None
        self.in_flight = 0  # requests not yet answered
        self.ending = False  # the process is: what comes now is refused, as no answer would come in time
        self._gateway, self._loop = gateway, loop
        self._requests: dict[int, Request] = {}
        self._ids: dict[bytes, int] = {}
        self._next = 0
        self._past: deque[tuple[int, bytes]] = deque()  # ids that have ended of late: still not new
        self._longest = max(c.deadline for c in settings.classes)
        self.directory = EndpointDirectory()
        self.restored_at: Callable[[str], int] = lambda name: 0  # us, by operators; 0: it has not been
        self._starts = StartTimes(reserve(settings.safety))
        self._subset = deal(
            settings.gateway_index, settings.fleet_size, 0
        )  # what of it is told to the module
        self._backends: dict[str, int] = {}  # those told, by name; a number is never used again
        self._numbers = 0
        self._up: set[str] = set()  # of these
        self._events: deque[Event] = deque()
        self._busy = False

    # What the other files tell.

    def on_request(self, wanted: ParsedRequest, client: Client) -> bool:
        """False if a request with this id is still alive, or was of late."""
        now = self.now()
        while self._past and self._past[0][0] < now - self._longest:
            del self._ids[self._past.popleft()[1]]
        if wanted.id in self._ids:
            return False
        left = wanted.timeout - (now - wanted.received_at if wanted.body.complete else 0)
        if unheard := self._refused_unheard(left):
            self.trace.event("refused", unheard, id=wanted.id, left_us=left)
            client.reject(0)  # nothing was sent: harmless, and the module never hears of it
            return True
        self.trace.event("arrived", id=wanted.id, left_us=left, waited_us=now - wanted.received_at)
        self._next += 1
        request = Request(self._next, wanted, client, now + left)
        self._requests[request.number], self._ids[wanted.id] = request, request.number
        self.in_flight += 1
        if wanted.body.complete:
            self._run(request, now)
        self._post(
            RequestArrived(
                request.number,
                wanted.request_class,
                wanted.plan,
                wanted.customer,
                wanted.units,
                left,
                wanted.first_gateway,
                wanted.gateway_count,
                wanted.is_retry,
            )
        )
        return True

    def _refused_unheard(self, left: int) -> str:
        """Why a request is refused before the module hears of it; empty if it is not."""
        if self.ending:
            return "process ending"
        if left <= ANSWER_MARGIN:
            return "no time left"
        return "too many open" if 0 < self.settings.limits.max_in_flight <= self.in_flight else ""

    def on_body_complete(self, id: bytes, came: int) -> None:
        """The last byte of a body that was handed on as it came, at the moment `came` (us)."""
        request, now = self._requests.get(self._ids.get(id, 0)), self.now()
        if request and not request.answered and request.body_complete_at is None:
            request.deadline = came + request.parsed.timeout
            self._run(request, now)
            for attempt in request.attempts:
                if not attempt.ended:
                    self._wait(request, attempt)

    def _run(self, request: Request, now: int) -> None:
        request.body_complete_at = now
        left = request.deadline - now - ANSWER_MARGIN
        request.timer = self._loop.call_later(left / 1e6, self._overdue, request)

    def on_disconnect(self, id: bytes) -> None:
        """The client of that request has left."""
        request = self._requests.get(self._ids.get(id, 0))
        if request and not request.answered:
            self._leave(request)
        elif request:  # an answer that is passed on has no reader any more
            for attempt in [a for a in request.attempts if a.latency >= 0 and not a.ended]:
                if attempt.exchange:
                    attempt.exchange.abort()
                self._ended(request, attempt, AttemptResult(Outcome.CANCELLED))

    def _leave(self, request: Request) -> None:
        self.trace.event("ended", "client gone", id=request.parsed.id)
        self._close(request)
        for attempt in [a for a in request.attempts if not a.ended]:  # no cancelling: never written
            if attempt.exchange and attempt.exchange.withdraw():
                self._ended(request, attempt, AttemptResult(Outcome.NOT_SENT))
        self._post(ClientDisconnected(request.number))

    def _gone(self, request: Request) -> bool:
        """Asked at the moment an attempt begins: none does once the client has left, though the loop may be
        late to read its end, or does not read on while enough waits. A look costs a microsecond.
        """
        if not request.answered and request.client.disconnected():
            self._leave(request)
        return request.answered

    def update_endpoints(self, listing: EndpointList, kind: ListKind | None = None) -> None:
        """The module hears first, then attempts are withdrawn: what it sends anew goes by the new list."""
        kind = kind or (ListKind.FULL if listing.is_snapshot else ListKind.DELTA)
        self.directory.take(listing)
        before = self._subset
        self._subset = deal(self.settings.gateway_index, self.settings.fleet_size, self.directory.up, before)
        changed: Iterable[str] = listing.packed
        if listing.is_snapshot:
            changed = [*self.directory, *(n for n in self._backends if n not in self.directory)]
        found: list[tuple[EndpointEntry, int]] = []
        gone: list[int] = []
        for name in changed:
            self._tell(name, found, gone)
        if (
            self._subset != before and not listing.is_snapshot
        ):  # dealt anew: some come in by it, and some leave
            for name in [n for n in self.directory if self._holds(n) != (n in self._backends)]:
                self._tell(name, found, gone)
        now = self.now()
        older: set[str] = set()  # than they counted for, as a later start has been told
        for entry, _ in found:
            if entry.started_us != self.restored_at(entry.name):
                older.update(self._starts.observe(entry.started_us, now))
        older -= {entry.name for entry, _ in found}
        found += [(self.directory[name], self._backends[name]) for name in older if name in self._backends]
        listed = [self._listed_backend(entry, number, now) for entry, number in found]
        if not listing.is_snapshot:
            listed += [ListedEndpoint(n, EndpointState.REMOVED, 0, 0, 0, 1.0, 0) for n in gone]
        ready = self.directory.up if self._subset.held > 1 else 0
        self._events.append(EndpointsListed(kind, listing.index, tuple(listed), ready))
        self.upstream.reconcile(gone)
        self._drain()

    def _holds(self, name: str) -> bool:
        """One that is draining is not taken in for its place in the subset, but stays where it was."""
        if name not in self.directory or not self._subset.holds(_mark(name)):
            return False
        return self._subset.held == 1 or name in self._backends or self.directory.is_up(name)

    def _tell(self, name: str, found: list[tuple[EndpointEntry, int]], gone: list[int]) -> None:
        if self._holds(name):
            if name not in self._backends:
                self._numbers += 1
                self._backends[name] = self._numbers
            entry, number = self.directory[name], self._backends[name]
            found.append((entry, number))
            self.upstream.register_endpoint(entry, number)
            (self._up.add if entry.status == "up" else self._up.discard)(name)
        elif number := self._backends.pop(name, 0):
            gone.append(number)
            self._up.discard(name)
            self._starts.forget(name)

    def hand_over(self) -> dict[str, Any]:
        """What the policy has leased and learned, as a message for another process."""
        names = {number: name for name, number in self._backends.items()}
        return snapshot_codec.encode(self._gateway.hand_over(), names)

    def restore(self, message: dict[str, Any]) -> None:
        """Takes over what another process's policy had learned; nothing where any of it cannot be read."""
        try:
            snapshot = snapshot_codec.decode(message, self._backends)
        except snapshot_codec.SnapshotError as error:
            log.warning("handover: what the other process learned cannot be read: %s", error)
            return
        self._gateway.restore(snapshot)

    @property
    def unfinished(self) -> int:
        """Requests that are not forgotten: not answered, or with an attempt still out."""
        return len(self._requests)

    @property
    def can_send(self) -> bool:
        """Some backend would take a request."""
        return bool(self._up)

    def fail_all(self) -> None:
        """Fails all that is open, and takes nothing in any more: the process is about to end."""
        self.ending = True
        for request in list(self._requests.values()):
            self._overdue(request)

    # Events to the module, actions from it.

    def _post(self, event: Event) -> None:
        self._events.append(event)
        self._drain()

    def _drain(self) -> None:
        """What happens while actions are carried out waits its turn: the module is never entered twice."""
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event = self._events.popleft()
                try:
                    for action in self._gateway.handle(self.now(), event):
                        self._carry_out(action)
                except Exception:  # one event's failure must not end the process; deadlines answer the client
                    log.exception("while handling %s", type(event).__name__)
                if isinstance(event, AttemptEnded | RequestArrived | ClientDisconnected):
                    self._forget(event.request)
        finally:
            self._busy = False

    def _carry_out(self, action: Action) -> None:
        match action:
            case SendAttempt(number, backend, timeout):
                self._send(number, backend, timeout)
            case Reject(number, retry_after):
                if request := self._open(number):
                    self.trace.event("ended", "refused", id=request.parsed.id, retry_after_us=retry_after)
                    self._close(request)
                    request.client.reject(retry_after if self.settings.limits.sends_retry_after else 0)
                    self._forget(number)  # no event of its own need follow
            case Fail(number):
                if request := self._open(number):
                    self.trace.event("ended", "failed", id=request.parsed.id)
                    self._close(request)
                    request.client.fail(timed_out=False)
                    self._forget(number)
            case CancelAttempt(number, attempt):
                self._cancel(number, attempt)
            case SetTimer(token, at):
                self._loop.call_later(max(0, at - self.now()) / 1e6, self._fire, token)
            case AddToCounter(name, amount, ttl):
                self._add(name, amount, ttl)
            case Probe(backend):
                self._probe(backend)
            case CloseIdleConnections(backend):
                self.upstream.close_idle_connections(backend)
            case Log(text):
                log.info("%s", text)
            case _:  # the watch is always on, and real ingresses have no peers to tell
                log.debug("not for real ingresses: %s", action)

    def _open(self, number: int) -> Request | None:
        request = self._requests.get(number)
        return None if request is None or request.answered else request

    def _close(self, request: Request) -> None:
        request.answered = True
        if request.timer:
            request.timer.cancel()
        if request.body_complete_at is None:  # what its attempts wait for will not come
            for attempt in [a for a in request.attempts if a.latency < 0 and not a.ended]:
                if attempt.exchange:
                    attempt.exchange.abort()
                    self._ended(request, attempt, AttemptResult(Outcome.CANCELLED))
        self.in_flight -= 1

    def _forget(self, number: int) -> None:
        """The id is free again a while after nothing of the request is under way."""
        request = self._requests.get(number)
        if request and request.answered and request.attempts_in_flight == 0:
            del self._requests[number]
            self._past.append((self.now(), request.parsed.id))

    def _overdue(self, request: Request) -> None:
        if not request.answered:
            reason = "process ending" if self.ending else "out of time"
            self.trace.event("ended", reason, id=request.parsed.id)
            self._close(request)
            request.client.fail(timed_out=True)
            self._post(ClientDisconnected(request.number))

    # Attempts.

    def _send(self, number: int, backend: int, timeout: int) -> None:
        request, now = self._requests.get(number), self.now()
        attempt = Attempt(len(request.attempts) if request else 0, backend, now)
        if request is None:
            self._events.append(AttemptEnded(number, 0, backend, Outcome.NOT_SENT, 0, True))
            return
        self._gone(request)
        wanted, coming = request.parsed, request.body_coming
        left = (wanted.timeout if coming else request.deadline - now) - LAST_ATTEMPT
        request.attempts.append(attempt)
        request.attempts_in_flight += 1
        attempt.response_timeout = min(timeout, left) if timeout else left
        if self._denied(request, attempt, now):
            self._ended(request, attempt, AttemptResult(Outcome.NOT_SENT))
            return
        if not coming:
            self._wait(request, attempt)
        held = wanted.body.complete and not wanted.body.is_long
        attempt.exchange = self.upstream.send(
            backend,
            wanted.head,
            lambda answer: self._ended(request, attempt, answer),
            self.settings.classes[wanted.request_class].idempotency is Idempotency.NOT_IDEMPOTENT,
            None if held else wanted.body,
            lambda answer: self._started(request, attempt, answer),
            lambda: self._permitted(request, attempt),
        )

    def _permitted(self, request: Request, attempt: Attempt) -> bytes | None:
        """What is written behind the head: the time that the backend has from now on, and a body that is
        held. None if the attempt may not begin any more.
        """
        now, body = self.now(), request.parsed.body
        self._gone(request)
        if self._denied(request, attempt, now):
            return None
        left = attempt.response_timeout - (0 if request.body_coming else now - attempt.sent_at)
        number, backend = attempt.number, attempt.backend
        self.trace.event("attempt", "begun", id=request.parsed.id, n=number, backend=backend, told_us=left)
        held = bytes(body.data) if body.complete and not body.is_long else b""
        return b"Request-Timeout: %dm\r\n\r\n%b" % (max(1, left // 1000), held)

    def _denied(self, request: Request, attempt: Attempt, now: int) -> bool:
        until = (
            now + attempt.response_timeout
            if request.body_coming
            else attempt.sent_at + attempt.response_timeout
        )
        cls, limits = self.settings.classes[request.parsed.request_class], self.settings.limits
        reason = denial(request, attempt, cls, limits, now, until)
        if reason is Denial.REQUEST_OVER and request.client.disconnected():
            reason = Denial.CLIENT_GONE
        if reason in FORESEEABLE:
            self.trace.violation(f"attempt: {reason.value}", id=request.parsed.id, n=attempt.number)
        if reason:
            self.trace.event("denied", reason.value, id=request.parsed.id, n=attempt.number)
        return reason is not None

    def _wait(self, request: Request, attempt: Attempt) -> None:
        attempt.timer = self._loop.call_later(
            attempt.response_timeout / 1e6, self._timed_out, request, attempt
        )

    def _latency(self, request: Request, attempt: Attempt) -> int:
        """Of the backend's own work: it begins with the request's last byte."""
        return max(0, self.now() - max(attempt.sent_at, request.body_complete_at or attempt.sent_at))

    def _started(self, request: Request, attempt: Attempt, answer: AttemptResult) -> None:
        """From here on no other attempt can answer, and no deadline holds."""
        if attempt.timer:
            attempt.timer.cancel()
        if request.answered or attempt.ended:
            if answer.stream:
                answer.stream.release()  # there is nobody to pass it on
            if attempt.exchange:
                attempt.exchange.abort()
            self._ended(request, attempt, AttemptResult(Outcome.CANCELLED))
            return
        attempt.latency = self._latency(request, attempt)
        self.trace.event("ended", "served", id=request.parsed.id)
        self._close(request)
        self._post(StreamStarted(request.number, attempt.number, attempt.backend, attempt.latency))
        request.client.stream_response(answer)

    def _timed_out(self, request: Request, attempt: Attempt) -> None:
        if not attempt.ended and attempt.exchange:
            ran = attempt.exchange.abort()
            self._ended(request, attempt, AttemptResult(Outcome.TIMEOUT if ran else Outcome.CONNECT_FAILED))

    def _cancel(self, number: int, index: int) -> None:
        request = self._requests.get(number)
        if request and index < len(request.attempts):
            attempt = request.attempts[index]
            if not attempt.ended and attempt.exchange:
                ran = attempt.exchange.abort()
                self._ended(
                    request, attempt, AttemptResult(Outcome.CANCELLED if ran else Outcome.CONNECT_FAILED)
                )

    def _ended(self, request: Request, attempt: Attempt, answer: AttemptResult) -> None:
        if attempt.ended:
            return
        attempt.ended, attempt.exchange, attempt.outcome = True, None, answer.outcome
        request.attempts_in_flight -= 1
        self.trace.event("attempt", answer.outcome.value, id=request.parsed.id, n=attempt.number)
        if attempt.timer:
            attempt.timer.cancel()
        if answer.outcome is Outcome.OK and not request.answered and attempt.latency < 0:
            self.trace.event("ended", "served", id=request.parsed.id)
            self._close(request)
            request.client.respond(answer)
        load = self.names.load(answer.load) if answer.load else ()
        latency = attempt.latency if attempt.latency >= 0 else self._latency(request, attempt)
        event = AttemptEnded(
            request.number, attempt.number, attempt.backend, answer.outcome, latency, request.answered, load
        )
        self._post(event)

    # The rest.

    def _fire(self, token: int) -> None:
        self._post(TimerFired(token))

    def _add(self, name: int, amount: float, ttl: int) -> None:
        called = self.now()

        def answered(outcome: Outcome, total: float) -> None:
            self._post(CounterAnswered(name, outcome, total, self.now() - called))

        if self.counter:
            self.counter.add(name, amount, ttl, answered)
        else:
            answered(Outcome.CONNECT_FAILED, 0.0)

    def _probe(self, backend: int) -> None:
        sent = self.now()

        def ended(answer: AttemptResult) -> None:
            load = self.names.load(answer.load) if answer.load else ()
            self._post(ProbeAnswered(backend, answer.outcome, self.now() - sent, load))

        self.upstream.probe(backend, ended)

    def _listed_backend(self, entry: EndpointEntry, number: int, now: int) -> ListedEndpoint:
        zone, kind = self.names.zones.get(entry.zone, 0), self.names.kinds.get(entry.kind, 0)
        started = entry.started_us  # of this process's clock already, where operators put it back
        if started != self.restored_at(entry.name):
            started = self._starts.local(entry.name, entry.started_us, now)
        return ListedEndpoint(
            number, STATES[entry.status], zone, entry.group, kind, entry.weight, started, _mark(entry.name)
        )


def _mark(name: str) -> int:
    """The same at every ingress, and not 0."""
    return zlib.crc32(name.encode(errors="surrogatepass")) or 1
