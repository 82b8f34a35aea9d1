"""The engine without sockets: with a fake event loop, upstream and client."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.ports import AttemptResult
from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.http import Body, MemoryBudget
from quota_ingress.policy.actions import Action, SendAttempt
from quota_ingress.policy.events import Event, Outcome, RequestArrived
from tests.net_helpers import RAW, SETTINGS, Script

START = 1_000_000_000  # us


class FakeTimer:
    """A callback scheduled on the fake clock."""

    def __init__(self, at: float, run: Callable[[], object]) -> None:
        self.at, self.run, self.cancelled = at, run, False

    def cancel(self) -> None:
        self.cancelled = True


class FakeExchange:
    """An attempt that ends when the test calls `on_ended`."""

    def __init__(self, data: bytes, on_ended: Callable[[AttemptResult], None]) -> None:
        self.data, self.on_ended, self.aborted, self.may_have_run = data, on_ended, False, True
        self.written = self.delivered = True
        self.response_bytes: int | None = None
        self.on_stream_started: Callable[[AttemptResult], None] = lambda result: None

    def stream_response(self) -> bool:
        return False

    def end_if_short(self) -> bool:
        return False

    def abort(self) -> bool:
        self.aborted = True
        return self.may_have_run

    def withdraw(self) -> bool:
        return False


class FakeNetwork:
    """An engine, and its fake event loop, upstream and client; only `pass_time` advances the clock."""

    def __init__(self, script: Script) -> None:
        self.time, self.timers = START, list[FakeTimer]()
        self.sent: list[FakeExchange] = []
        self.removed_endpoints: list[int] = []
        self.responses: list[Any] = []
        self.script = script
        self.has_uncertain_client = False
        settings_index = SettingsIndex(SETTINGS, RAW)
        self.engine = Engine(script, SETTINGS, settings_index, self, self, lambda: self.time)

    def call_later(self, delay: float, callback: Callable[..., object], *args: Any) -> FakeTimer:
        self.timers.append(FakeTimer(self.time + round(delay * 1e6), lambda: callback(*args)))
        return self.timers[-1]

    def pass_time(self, us: int) -> None:
        end = self.time + us
        while due := [t for t in self.timers if t.at <= end and not t.cancelled]:
            first = min(due, key=lambda t: t.at)
            self.timers.remove(first)
            self.time = max(self.time, int(first.at))
            first.run()
        self.time = end

    def register_endpoint(self, entry: EndpointEntry, backend: int) -> None: ...

    def reconcile(self, removed: Iterable[int]) -> None:
        self.removed_endpoints += removed
        for exchange in self.sent:
            exchange.on_ended(AttemptResult(Outcome.CONNECT_FAILED))

    def send(
        self,
        backend: int,
        head: bytes,
        on_ended: Callable[[AttemptResult], None],
        non_idempotent: bool,
        body: Body | None,
        on_stream_started: Callable[[AttemptResult], None],
        authorize: Callable[[], bytes | None],
    ) -> FakeExchange:
        self.sent.append(FakeExchange(head + (authorize() or b""), on_ended))
        self.sent[-1].on_stream_started = on_stream_started
        return self.sent[-1]

    def probe(self, backend: int, on_ended: Callable[[AttemptResult], None]) -> None: ...

    def close_idle_connections(self, backend: int) -> None: ...

    def disconnected(self) -> bool:
        return False

    def may_have_disconnected(self) -> bool:
        return self.has_uncertain_client

    def respond(self, result: AttemptResult) -> None:
        self.responses.append(result.body)

    def reject(self, retry_after: int) -> None:
        self.responses.append(retry_after)

    def fail(self, timed_out: bool) -> None:
        self.responses.append("late" if timed_out else "failed")

    def submit_request(self, request_id: bytes = b"a", timeout: int = 1_000_000, age: int = 0) -> bool:
        body = Body(MemoryBudget())
        body.complete = True
        parsed = ParsedRequest(
            request_id, 0, 0, 7, 1.0, 1, 0, timeout, self.time - age, False, b"GET / HTTP/1.1\r\n", body
        )
        return self.engine.on_request(parsed, self)


def send_on_arrival(*further_actions: Action, timeout: int = 0) -> Callable[[Event], list[Action]]:
    def rule(event: Event) -> list[Action]:
        if isinstance(event, RequestArrived):
            return [SendAttempt(event.request, 1, timeout), *further_actions]
        return []

    return rule
