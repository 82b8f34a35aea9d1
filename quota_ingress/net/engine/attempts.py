"""The state of one attempt of a request at an endpoint."""

from __future__ import annotations

from quota_ingress.net.engine.ports import Exchange, Timer
from quota_ingress.policy.events import NEVER_RAN, Outcome

NOT_STARTED = -1  # latency of an attempt whose response is not being streamed


class Attempt:
    """One attempt. Timestamps are us of the process's clock.

    Attributes:
        response_timeout: us to wait for a response once the whole request body has been received.
        latency: us until a streamed response began; otherwise NOT_STARTED.
        outcome: Set once the attempt has ended; None before.
    """

    __slots__ = (
        "backend",
        "delivery_timer",
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
        """Creates attempt `number` (from 0) of a request, at the endpoint numbered `backend`."""
        self.number = number
        self.backend = backend
        self.sent_at = sent_at
        self.ended = False
        self.exchange: Exchange | None = None
        self.timer: Timer | None = None
        self.delivery_timer: Timer | None = None  # due at the delivery deadline
        self.response_timeout = 0
        self.latency = NOT_STARTED
        self.outcome: Outcome | None = None

    @property
    def streaming(self) -> bool:
        """Whether the response is being streamed to the client."""
        return self.latency >= 0

    @property
    def may_have_run(self) -> bool:
        """Whether the last byte may have been written and no outcome has shown that the attempt never ran."""
        if self.outcome is not None:
            return self.outcome not in NEVER_RAN
        return self.exchange is not None and self.exchange.written
