"""The operators' calls: a listener of its own, one call a connection."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol
from urllib.parse import unquote

from quota_ingress.net.acceptor import Acceptor, listening_socket
from quota_ingress.net.http import FramingError, HttpConnection, MemoryBudget, Message, RequestReader

LIST_WAIT = 0.7  # s that a call waits at a start until the list and the bans in force are known
READY = b"/control/ready"
HOLDS = 3.0  # s for a call to come whole: its answer is owed in 1 s, so nobody who means one takes longer
REASONS = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
}

log = logging.getLogger(__name__)


class Controls(Protocol):
    """What operators can ask for. False: there is no backend of that name."""

    def ready(self) -> bool: ...
    def take_offline(self, name: str) -> bool: ...
    def put_online(self, name: str) -> bool: ...
    def drain(self, on: bool) -> None: ...


class Admin:
    """Holds at most `most` callers; a further one takes the place of the one that has held on longest."""

    def __init__(self, controls: Controls, most: int) -> None:
        self.controls, self.most = controls, most
        self.callers: dict[Caller, asyncio.TimerHandle] = {}  # the longest held first
        self._acceptor: Acceptor | None = None
        self._list_known = False
        self._held: list[Callable[[], None]] = []  # calls that wait for that

    async def listen(self, host: str, port: int) -> int:
        listening = await listening_socket(host, port)
        self._acceptor = Acceptor(listening, lambda waited_since: Caller(self))
        self._acceptor.start()
        bound: int = listening.getsockname()[1]
        return bound

    def stop(self) -> None:
        if self._acceptor:
            self._acceptor.close()
        for caller in list(self.callers):
            caller.transport.abort()

    def came(self, caller: Caller) -> None:
        if len(self.callers) >= self.most:
            longest = next(iter(self.callers))
            self.left(longest)
            longest.transport.abort()
        loop = asyncio.get_running_loop()
        self.callers[caller] = loop.call_later(HOLDS, caller.answer, 408, "the call did not come whole")

    def left(self, caller: Caller) -> None:
        if timer := self.callers.pop(caller, None):
            timer.cancel()

    def list_known(self) -> None:
        """The list and the bans of the process that this one takes over from, if any, are known now."""
        self._list_known = True
        held, self._held = self._held, []
        for answer in held:
            answer()

    def called(self, caller: Caller, method: bytes, target: bytes) -> None:
        """Before the list is known a backend in it would get a no, and what a call changes would be undone by
        what the other process tells: such a call waits, but not beyond its time.
        """

        def answer() -> None:
            if caller in self.callers:
                caller.answer(*self.carry_out(method, target))

        if self._list_known or target == READY:
            answer()
        else:
            self._held.append(answer)
            asyncio.get_running_loop().call_later(LIST_WAIT, answer)

    def carry_out(self, method: bytes, target: bytes) -> tuple[int, str]:
        parts = target.decode("ascii", "replace").split("/")
        calls: dict[tuple[str, ...], tuple[bytes, Callable[[], tuple[int, str]]]] = {
            ("ready",): (b"GET", self._ready),
            ("out-of-service",): (b"POST", lambda: self._drain(True)),
            ("in-service",): (b"POST", lambda: self._drain(False)),
        }
        if len(parts) == 5 and parts[2] == "backends" and parts[3]:
            name, way = unquote(parts[3]), parts[4]
            calls["backends", parts[3], "offline"] = (b"POST", lambda: self._backend(name, way))
            calls["backends", parts[3], "online"] = (b"POST", lambda: self._backend(name, way))
        known = calls.get(tuple(parts[2:])) if parts[:2] == ["", "control"] else None
        if known is None:
            return 404, "no such call"
        if known[0] != method:
            return 405, f"this call takes {known[0].decode()}"
        return known[1]()

    def _ready(self) -> tuple[int, str]:
        return (200, "ready") if self.controls.ready() else (503, "not ready")

    def _drain(self, on: bool) -> tuple[int, str]:
        log.info("operators: %s", "out of service" if on else "in service")
        self.controls.drain(on)
        return 200, "out of service" if on else "in service"

    def _backend(self, name: str, way: str) -> tuple[int, str]:
        known = (self.controls.take_offline if way == "offline" else self.controls.put_online)(name)
        log.info("operators: backend %s %s%s", name, way, "" if known else ": never listed")
        return (200, f"{name} is {way}") if known else (404, f"{name} was never listed")


class Caller(HttpConnection):
    def __init__(self, admin: Admin) -> None:
        super().__init__(RequestReader(MemoryBudget()))
        self._admin = admin

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._admin.came(self)

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.reader.message.body.release()
        self._admin.left(self)

    def message_received(self, message: Message) -> None:
        """One call a connection: what comes behind it is void, and so is a body, but for its end."""
        if message.body.is_long:
            self.answer(413, "a call has no body")
        elif message.body.complete and self in self._admin.callers:
            self._admin.called(self, message.method, message.target)

    def protocol_error(self, error: FramingError) -> None:
        self.answer(error.status, "not understood")

    def answer(self, status: int, text: str) -> None:
        if self in self._admin.callers:
            self._admin.left(self)
            body = text.encode() + b"\n"
            head = b"HTTP/1.1 %d %b\r\nConnection: close\r\nContent-Type: text/plain\r\n"
            self.transport.write(head % (status, REASONS[status]))
            self.transport.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
            self.transport.close()
