"""The state of a client's request, and the table of all unfinished requests."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

from quota_ingress.net.engine.attempts import Attempt
from quota_ingress.net.engine.ports import Client, Timer
from quota_ingress.net.http import Body

KEPT_ID_LIFETIME_US = 60_000_000
MAX_KEPT_IDS = 10_000  # beyond the shortest lifetime, to bound their memory
NO_REQUEST = 0  # in place of the number of a request that this process does not have


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

    An id stays in use after its request has finished: for `shortest_id_lifetime` us, and beyond that for
    KEPT_ID_LIFETIME_US while there are no more than MAX_KEPT_IDS. Until then, another request with that id
    is a duplicate.
    """

    def __init__(self, shortest_id_lifetime: int, now: Callable[[], int]) -> None:
        """Starts empty; numbers begin at 1. `now` returns the process's clock in us."""
        self._shortest_id_lifetime = shortest_id_lifetime
        self._now = now
        self._requests: dict[int, Request] = {}
        self._numbers: dict[bytes, int] = {}
        self._finished: deque[tuple[int, bytes]] = deque()  # time of finishing and id, oldest first
        self._last_number = NO_REQUEST

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[Request]:
        return iter(list(self._requests.values()))

    def get(self, number: int) -> Request | None:
        """Returns the unfinished request with that number, or None."""
        return self._requests.get(number)

    def with_id(self, request_id: bytes) -> Request | None:
        """Returns the unfinished request with that id, or None."""
        return self._requests.get(self._numbers.get(request_id, NO_REQUEST))

    def is_duplicate(self, request_id: bytes) -> bool:
        """Returns whether the id is in use, after releasing ids whose lifetime has expired."""
        while self._finished and self._is_expired(self._now() - self._finished[0][0]):
            del self._numbers[self._finished.popleft()[1]]
        return request_id in self._numbers

    def used_ids(self) -> list[bytes]:
        """Returns all ids in use."""
        return list(self._numbers)

    def mark_used(self, request_ids: Iterable[bytes]) -> None:
        """Marks ids as in use, as if their requests had just finished."""
        for request_id in request_ids:
            if request_id not in self._numbers:
                self._numbers[request_id] = NO_REQUEST
                self._finished.append((self._now(), request_id))

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

    def _is_expired(self, age: int) -> bool:
        """Returns whether the oldest id of a finished request, of that age in us, is released."""
        if age < self._shortest_id_lifetime:
            return False
        return age >= KEPT_ID_LIFETIME_US or len(self._finished) > MAX_KEPT_IDS
