"""A client's request as the engine keeps it, and the table of all that are not finished."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from quota_ingress.net.engine.attempts import Attempt
from quota_ingress.net.engine.ports import Client, Timer
from quota_ingress.net.http import Body


@dataclass(slots=True)
class ParsedRequest:
    """A client's request, read and found valid. Times are us."""

    id: bytes
    request_class: int
    plan: int
    customer: int
    units: float
    gateway_count: int
    first_gateway: int
    timeout: int
    received_at: int  # when its last byte came to this machine; void while the body is still coming
    is_retry: bool
    head: bytes  # what is forwarded, but for the time left
    body: Body


class Request:
    """A client's request from its arrival until all of its attempts have ended. Moments are us.

    Attributes:
        answered: The client has its final answer, or has left.
        attempts_in_flight: How many attempts have not ended.
        body_complete_at: When the body's last byte had come; None while it is coming, and no time runs.
    """

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

    def __init__(self, number: int, parsed: ParsedRequest, client: Client, deadline: int) -> None:
        """Opens a request that is known to the policy as `number`."""
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
    def body_coming(self) -> bool:
        """The body's last byte has not come."""
        return self.body_complete_at is None

    @property
    def body_forwarded(self) -> bool:
        """Some of the body has gone to an endpoint and is not held any more."""
        return self.parsed.body.discarded > 0


class RequestTable:
    """The requests that are not finished, by number and by the client's id.

    An id is taken until `id_lifetime` us after its request is finished: one that comes twice is a duplicate.
    """

    def __init__(self, id_lifetime: int, now: Callable[[], int]) -> None:
        """Starts empty; numbers begin at 1. `now` returns the process's clock in us."""
        self._id_lifetime = id_lifetime
        self._now = now
        self._requests: dict[int, Request] = {}
        self._numbers: dict[bytes, int] = {}
        self._finished: deque[tuple[int, bytes]] = deque()  # moment and id, oldest first
        self._last_number = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        return iter(list(self._requests.values()))

    def get(self, number: int) -> Request | None:
        """Returns the request with that number unless it is finished."""
        return self._requests.get(number)

    def with_id(self, request_id: bytes) -> Request | None:
        """Returns the request with that id unless it is finished."""
        return self._requests.get(self._numbers.get(request_id, 0))

    def is_duplicate(self, request_id: bytes, now: int) -> bool:
        """Returns whether the id is taken, after giving free those whose time is over."""
        oldest = now - self._id_lifetime
        while self._finished and self._finished[0][0] < oldest:
            del self._numbers[self._finished.popleft()[1]]
        return request_id in self._numbers

    def add(self, parsed: ParsedRequest, client: Client, deadline: int) -> Request:
        """Opens a request under the next number, which is never used again."""
        self._last_number += 1
        request = Request(self._last_number, parsed, client, deadline)
        self._requests[request.number] = request
        self._numbers[parsed.id] = request.number
        return request

    def remove_if_finished(self, number: int) -> None:
        """Forgets a request that is answered and has no attempt in flight."""
        request = self._requests.get(number)
        if request and request.answered and request.attempts_in_flight == 0:
            del self._requests[number]
            self._finished.append((self._now(), request.parsed.id))
