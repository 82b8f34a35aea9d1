"""The operators' interface: HTTP/1.1 on its own address, one call per connection.

Each call must be answered within 1 s, whatever the load of the ingress and however many other connections are
open to this interface.
"""

from __future__ import annotations

import asyncio
import logging
import re
from collections.abc import Callable
from enum import IntEnum
from functools import partial
from typing import NamedTuple, Protocol

from quota_ingress.net.acceptor import Acceptor, listening_socket
from quota_ingress.net.http import FramingError, HttpConnection, MemoryBudget, Message, RequestReader

LIST_WAIT_SECONDS = 0.7  # at start; a call is then answered without the previous endpoint list and bans
CALL_TIMEOUT_SECONDS = 3.0  # for a call to arrive completely
READY_PATH = "/control/ready"
OUT_OF_SERVICE_PATH = "/control/out-of-service"
IN_SERVICE_PATH = "/control/in-service"
PERCENT_ENCODED = re.compile(rb"%([0-9A-Fa-f]{2})")
BACKEND_PATH = re.compile(r"/control/backends/(?P<name>[^/]+)/(?P<state>offline|online)")

log = logging.getLogger(__name__)


class Status(IntEnum):
    """The status codes of answers; importing `http.HTTPStatus` would take a tenth of the start-up time."""

    OK = 200
    BAD_REQUEST = 400
    NOT_FOUND = 404
    METHOD_NOT_ALLOWED = 405
    REQUEST_TIMEOUT = 408
    CONTENT_TOO_LARGE = 413
    REQUEST_HEADER_FIELDS_TOO_LARGE = 431
    NOT_IMPLEMENTED = 501
    SERVICE_UNAVAILABLE = 503

    @property
    def reason(self) -> str:
        """The reason phrase for the status line."""
        return "OK" if self is Status.OK else self.name.replace("_", " ").title()


class OperatorControls(Protocol):
    """Carries out operators' calls."""

    def ready(self) -> bool:
        """Returns whether connections are accepted, and any endpoint accepts requests."""

    def take_offline(self, name: str) -> bool:
        """Bans an endpoint; returns False if it is unknown, e.g. never listed."""

    def put_online(self, name: str) -> bool:
        """Ends an endpoint's ban; returns False if it is unknown, e.g. never listed."""

    def drain(self, is_draining: bool) -> None:
        """Takes the ingress out of service if `is_draining`, else puts it back in service."""


def decode_percent(text: str) -> str:
    """Returns the same as `urllib.parse.unquote`, whose import would add 5 ms to each start."""
    encoded = text.encode()
    return PERCENT_ENCODED.sub(lambda match: bytes.fromhex(match[1].decode()), encoded).decode(
        "utf-8", "replace"
    )


class Answer(NamedTuple):
    """The answer to a call: its status, and its body as one line of text."""

    status: Status
    text: str


class Route(NamedTuple):
    """The method that a path accepts, and the function that carries out the call."""

    method: str
    carry_out: Callable[[], Answer]


class AdminServer:
    """Listens for operators' calls, and carries them out.

    Attributes:
        connections: The open connections, oldest first, with the timer of each one's CALL_TIMEOUT_SECONDS.
    """

    def __init__(self, controls: OperatorControls, max_connections: int) -> None:
        """Listens on nothing until `listen`. Beyond `max_connections`, a new connection closes the oldest."""
        self.connections: dict[AdminConnection, asyncio.TimerHandle] = {}
        self._controls = controls
        self._max_connections = max_connections
        self._acceptor: Acceptor | None = None
        self._is_previous_state_applied = False
        self._deferred: list[Callable[[], None]] = []  # answers that wait for the previous state
        self._routes = {
            READY_PATH: Route("GET", self._ready),
            OUT_OF_SERVICE_PATH: Route("POST", partial(self._drain, True)),
            IN_SERVICE_PATH: Route("POST", partial(self._drain, False)),
        }

    async def listen(self, host: str, port: int) -> int:
        """Listens on `host` and `port`; returns the port, which the system chooses if `port` is 0."""
        listening = await listening_socket(host, port)
        self._acceptor = Acceptor(listening, lambda queued_since: AdminConnection(self))
        self._acceptor.start()
        bound_port: int = listening.getsockname()[1]
        return bound_port

    def stop(self) -> None:
        """Closes the listening socket and all connections immediately."""
        if self._acceptor:
            self._acceptor.close()
        for connection in list(self.connections):
            connection.transport.abort()

    def register(self, connection: AdminConnection) -> None:
        """Adds a new connection and starts its timeout; closes the oldest one if there are too many."""
        if len(self.connections) >= self._max_connections:
            oldest = next(iter(self.connections))
            self.unregister(oldest)
            oldest.transport.abort()
        loop = asyncio.get_running_loop()
        timeout = Answer(Status.REQUEST_TIMEOUT, "the call did not come whole")
        self.connections[connection] = loop.call_later(CALL_TIMEOUT_SECONDS, connection.answer, timeout)

    def unregister(self, connection: AdminConnection) -> None:
        """Removes a connection that has been answered or closed."""
        if timer := self.connections.pop(connection, None):
            timer.cancel()

    def on_previous_state_applied(self) -> None:
        """Answers the deferred calls. Is called at start, also if there is no previous state.

        The previous state is the predecessor's endpoint list, bans and drain, or the configuration's list.
        """
        self._is_previous_state_applied = True
        deferred = self._deferred
        self._deferred = []
        for answer in deferred:
            answer()

    def on_call(self, connection: AdminConnection, method: bytes, target: bytes) -> None:
        """Answers a call; at start, waits up to LIST_WAIT_SECONDS for `on_previous_state_applied`.

        Before that, a listed endpoint would be answered as unknown, and a ban would be undone when the
        predecessor's state is restored. Calls to READY_PATH do not wait.
        """

        def answer() -> None:
            if connection in self.connections:
                connection.answer(self._carry_out(method, target))

        if self._is_previous_state_applied or target == READY_PATH.encode():
            answer()
        else:
            self._deferred.append(answer)
            asyncio.get_running_loop().call_later(LIST_WAIT_SECONDS, answer)

    def _carry_out(self, method: bytes, target: bytes) -> Answer:
        route = self._route(target.decode("ascii", "replace"))
        if route is None:
            return Answer(Status.NOT_FOUND, "no such call")
        if route.method.encode() != method:
            return Answer(Status.METHOD_NOT_ALLOWED, f"this call takes {route.method}")
        return route.carry_out()

    def _route(self, path: str) -> Route | None:
        if (backend := BACKEND_PATH.fullmatch(path)) is None:
            return self._routes.get(path)
        return Route("POST", partial(self._override, decode_percent(backend["name"]), backend["state"]))

    def _ready(self) -> Answer:
        if self._controls.ready():
            return Answer(Status.OK, "ready")
        return Answer(Status.SERVICE_UNAVAILABLE, "not ready")

    def _drain(self, is_draining: bool) -> Answer:
        state = "out of service" if is_draining else "in service"
        log.info("operators: %s", state)
        self._controls.drain(is_draining)
        return Answer(Status.OK, state)

    def _override(self, name: str, state: str) -> Answer:
        change = self._controls.take_offline if state == "offline" else self._controls.put_online
        is_known = change(name)
        log.info("operators: backend %s %s%s", name, state, "" if is_known else ": not applied, never listed")
        if not is_known:
            return Answer(Status.NOT_FOUND, f"{name} was never listed")
        return Answer(Status.OK, f"{name} is {state}")


class AdminConnection(HttpConnection):
    """One operator's connection, which carries one call; further data is ignored."""

    def __init__(self, server: AdminServer) -> None:
        super().__init__(RequestReader(MemoryBudget()))
        self._server = server

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See asyncio.BaseProtocol."""
        super().connection_made(transport)
        self._server.register(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """See asyncio.BaseProtocol."""
        super().connection_lost(exc)
        self.reader.message.body.release()
        self._server.unregister(self)

    def message_received(self, message: Message) -> None:
        """Answers a complete call; a body is ignored, and a long one is rejected."""
        if message.body.is_long:
            self.answer(Answer(Status.CONTENT_TOO_LARGE, "a call has no body"))
        elif message.body.complete and self in self._server.connections:
            self._server.on_call(self, message.method, message.target)

    def protocol_error(self, error: FramingError) -> None:
        """Answers a call that is not valid HTTP."""
        self.answer(Answer(Status(error.status), "not understood"))

    def answer(self, answer: Answer) -> None:
        """Writes the answer and closes the connection; has no effect once it was answered or closed."""
        if self not in self._server.connections:
            return
        self._server.unregister(self)
        body = answer.text.encode() + b"\n"
        head = b"HTTP/1.1 %d %b\r\nConnection: close\r\nContent-Type: text/plain\r\n"
        self.transport.write(head % (answer.status, answer.status.reason.encode()))
        self.transport.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        self.transport.close()
