"""One attempt of a request at an endpoint, as the engine keeps it."""

from __future__ import annotations

from quota_ingress.net.engine.ports import Exchange, Timer
from quota_ingress.policy.events import NEVER_RAN, Outcome

NOT_STARTED = -1  # latency of an attempt whose response has not begun


class Attempt:
    """One attempt. Moments are us of the process's clock.

    Attributes:
        response_timeout: us for a response, once the request's last byte is on its way.
        latency: us until the response began, where it is passed on as it comes; else NOT_STARTED.
        outcome: Is set once the attempt has ended.
    """

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

    def __init__(self, number: int, backend: int, sent_at: int) -> None:
        """Opens attempt `number` (from 0) of its request, at the endpoint numbered `backend`."""
        self.number = number
        self.backend = backend
        self.sent_at = sent_at
        self.ended = False
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None
        self.response_timeout = 0
        self.latency = NOT_STARTED
        self.outcome: Outcome | None = None

    @property
    def streaming(self) -> bool:
        """The response has begun, and is passed on as it comes."""
        return self.latency >= 0

    @property
    def may_have_run(self) -> bool:
        """The last byte may have been written, and no outcome has shown that the attempt never ran."""
        if self.outcome is not None:
            return self.outcome not in NEVER_RAN
        return self.exchange is not None and self.exchange.written
