"""The state of a client's request, and the table of all unfinished requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from quota_ingress.net.engine.attempts import Attempt
from quota_ingress.net.engine.ports import Client, Timer
from quota_ingress.net.http import Body


@dataclass(slots=True)
class ParsedRequest:
    """A client's request, parsed and validated. Times are us."""

    id: bytes
    request_class: int
    plan: int
    customer: int
    units: float
    gateway_count: int
    first_gateway: int
    timeout: int
    received_at: int  # when its last byte reached this machine; meaningless until the body is complete
    is_retry: bool
    head: bytes  # as forwarded, up to the Request-Timeout header, which is written last
    body: Body


class Request:
    """A client's request from its arrival until all of its attempts have ended. Timestamps are us.

    Attributes:
        answered: Whether the final answer has been sent, or the client has disconnected.
        attempts_in_flight: The number of attempts that have not ended.
        body_complete_at: When the whole body had been received; None before.
        created_at: When the request was passed to the engine: its client was connected.
        timer: The timer of the deadline; None before the last byte has arrived at this machine.
    """

    __slots__ = (
        "answered",
        "attempts",
        "attempts_in_flight",
        "body_complete_at",
        "client",
        "created_at",
        "deadline",
        "number",
        "parsed",
        "timer",
    )

    def __init__(
        self, number: int, parsed: ParsedRequest, client: Client, deadline: int, created_at: int
    ) -> None:
        """Creates a request that the policy knows as `number`."""
        self.created_at = created_at
        self.number = number
        self.parsed = parsed
        self.client = client
        self.deadline = deadline
        self.answered = False
        self.attempts_in_flight = 0
        self.body_complete_at: int | None = None
        self.attempts: list[Attempt] = []
        self.timer: Timer | None = None

    @property
    def receiving_body(self) -> bool:
        """Whether the body is incomplete. Its last byte may have arrived but be unread in the socket."""
        return self.body_complete_at is None

    def time_left(self, now: int) -> int:
        """Returns the time until the deadline in us; before the last byte has arrived, all of the timeout."""
        return self.parsed.timeout if self.timer is None else self.deadline - now

    @property
    def body_forwarded(self) -> bool:
        """Whether part of the body has been sent to an endpoint and is no longer buffered."""
        return self.parsed.body.discarded > 0


class RequestTable:
    """The unfinished requests, by number and by the client's request id.

    An id stays in use until `id_lifetime` us after its request has finished; until then, another request with
    that id is a duplicate.
    """

    def __init__(self, id_lifetime: int, now: Callable[[], int]) -> None:
        """Starts empty; numbers begin at 1. `now` returns the process's clock in us."""
        self._id_lifetime = id_lifetime
        self._now = now
        self._requests: dict[int, Request] = {}
        self._numbers: dict[bytes, int] = {}
        self._finished: deque[tuple[int, bytes]] = deque()  # time of finishing and id, oldest first
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        return iter(list(self._requests.values()))

    def get(self, number: int) -> Request | None:
        """Returns the unfinished request with that number, or None."""
        return self._requests.get(number)

    def with_id(self, request_id: bytes) -> Request | None:
        """Returns the unfinished request with that id, or None."""
        return self._requests.get(self._numbers.get(request_id, 0))

    def is_duplicate(self, request_id: bytes, now: int) -> bool:
        """Returns whether the id is in use, after releasing ids whose lifetime has expired."""
        oldest = now - self._id_lifetime
        while self._finished and self._finished[0][0] < oldest:
            del self._numbers[self._finished.popleft()[1]]
        return request_id in self._numbers

    def add(self, parsed: ParsedRequest, client: Client, deadline: int) -> Request:
        """Creates a request under the next number; numbers are never reused."""
        self._last_number += 1
        request = Request(self._last_number, parsed, client, deadline, self._now())
        self._requests[request.number] = request
        self._numbers[parsed.id] = request.number
        return request

    def remove_if_finished(self, number: int) -> None:
        """Removes a request that has been answered and has no attempt in flight."""
        request = self._requests.get(number)
        if request and request.answered and request.attempts_in_flight == 0:
            del self._requests[number]
            self._finished.append((self._now(), request.parsed.id))
