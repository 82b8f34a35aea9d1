"""From an old process to a new one that was started beside it: a channel over a Unix socket in `$TMPDIR`.

JSON, a line a message. The new one asks `hello` and later `take`; each is answered once, `hello` after a
`part` for each thousand backends. A `note` goes either way, for an operators' call that the other process
must follow, too, and so does `listed`, for what discovery tells after `hello`: the other one's own watch may
not be answered. The channel stays open while both live: its end tells each that the
other is gone. A message of another kind is passed over.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import socket
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Protocol, cast

from quota_ingress.net.acceptor import Acceptor

VERSION = 1  # of the messages: another one's are not understood, and the start goes on without them
NAME = "handover"
MAX_LINE = 16 * 1024 * 1024
OFFER_AGAIN = 1.0  # s until the next try where the folder does not take the name, as when its disk is full
PATIENCE = 1.5  # s for an answer: the new process has 6 s in all until it must serve

log = logging.getLogger(__name__)
Message = dict[str, Any]


class Process(Protocol):
    """What the process does at its end of the channel."""

    def described(self) -> Message:
        """What operators asked for, and how long the list of backends is that `parts` are of."""

    def parts(self) -> Iterable[Message]:
        """The list of backends, told in pieces before it is described."""

    def take_part(self, part: Message) -> None:
        """Such a piece of the other's list."""

    def hand_over(self) -> Message:
        """Stops accepting, and gives away what the module has learned."""

    def noted(self, note: Message) -> None:
        """Operators called at the other process."""

    def listed_elsewhere(self, change: Message) -> None:
        """Discovery has told the other process a change of the list."""

    def shares(self, with_other: bool) -> None:
        """From now on another process holds descriptors, too, or no longer does."""

    def deserted(self) -> None:
        """The process that took over is gone."""


class Channel(asyncio.Protocol):
    def __init__(self, handover: Handover) -> None:
        self._handover = handover
        self._rest = bytearray()
        self._asked: asyncio.Future[Message] | None = None
        self._take: Callable[[Message], None] | None = None
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is not a subclass

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail("the channel ended")
        self._handover.lost(self)

    def data_received(self, data: bytes) -> None:
        self._rest += data
        *lines, rest = self._rest.split(b"\n")
        self._rest = bytearray(rest)
        try:
            if len(rest) > MAX_LINE:
                raise ValueError("a line without end")
            for line in lines:
                message = json.loads(line)
                if not isinstance(message, dict) or message.get("version") != VERSION:
                    raise ValueError("a message of another version, or none")
                self._told(message)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            log.warning("handover: not understood: %s", error)
            self._fail("not understood")
            self.abort()

    def _told(self, message: Message) -> None:
        if "ask" in message:
            self.tell({"answer": self._handover.asked(self, message["ask"])})
        elif "part" in message and self._take:
            self._handover.process.take_part(message["part"])
        elif "note" in message:
            self._handover.process.noted(message["note"])
        elif "listed" in message:
            self._handover.process.listed_elsewhere(message["listed"])
        elif "answer" in message and self._asked and not self._asked.done():
            if not isinstance(message["answer"], dict):
                raise TypeError("an answer that is none")
            if self._take:  # now: a note may come right behind it, and goes by what it says
                self._take(message["answer"])
            self._asked.set_result(message["answer"])

    def tell(self, message: Message) -> None:
        if self.transport and not self.transport.is_closing():
            self.transport.write(json.dumps({"version": VERSION} | message).encode() + b"\n")

    async def ask(self, what: str, take: Callable[[Message], None] | None = None) -> Message:
        self._take = take
        self._asked = asyncio.get_running_loop().create_future()
        self.tell({"ask": what})
        async with asyncio.timeout(PATIENCE):
            return await self._asked

    def abort(self) -> None:
        if self.transport:
            self.transport.abort()

    def _fail(self, why: str) -> None:
        if self._asked and not self._asked.done():
            self._asked.set_exception(ConnectionError(why))


class Handover:
    """Both ends: `find` and `take` of the new process, `offer` of the one that serves."""

    def __init__(self, process: Process, directory: str) -> None:
        self.process = process
        self.gave = False  # a new process has taken over here
        self._path = Path(directory, NAME)
        self._channel: Channel | None = None  # to the other process, if there is one
        self._told_list = False  # it has been told the list by this one
        self._acceptor: Acceptor | None = None
        self._offer_again: asyncio.TimerHandle | None = None

    async def find(self, take: Callable[[Message], None]) -> Message | None:
        """What the process that serves tells, once `take` has had it; None where there is none, or none that
        can be understood.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(PATIENCE):
                _, channel = await loop.create_unix_connection(lambda: Channel(self), str(self._path))
        except (OSError, ValueError) as error:  # missing or stale, or a path too long for a socket
            log.info("handover: no process to take over from: %s", error)
            return None
        self._channel = channel
        self.process.shares(with_other=True)
        described = await self._ask("hello", take)
        self._told_list = described is not None
        return described

    async def take(self) -> Message | None:
        """What the other's module has learned; from here on it accepts no more."""
        return await self._ask("take") if self._channel else None

    async def _ask(self, what: str, take: Callable[[Message], None] | None = None) -> Message | None:
        try:
            return await self._channel.ask(what, take) if self._channel else None
        except (OSError, TimeoutError) as error:
            log.warning("handover: %s: %s", what, error or "no answer")
            return None

    def offer(self) -> None:
        """Listens for the next one. Renamed into place: whoever finds the name can connect. Where that fails
        it is tried again until `stop`.
        """
        self._withdraw_offer()
        made = self._path.with_name(f"{NAME}.{os.getpid()}")
        sock: socket.socket | None = None
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
            made.unlink(missing_ok=True)
            sock.bind(str(made))
            acceptor = Acceptor(sock, lambda waited_since: Channel(self))
            made.rename(self._path)
        except OSError as error:
            if sock:
                sock.close()
            log.warning("handover: no upgrade can be offered: %s", error)
            loop = asyncio.get_running_loop()
            self._offer_again = loop.call_later(OFFER_AGAIN, self.offer)
            return
        acceptor.start()
        self._acceptor = acceptor

    def _withdraw_offer(self) -> None:
        if self._offer_again:
            self._offer_again.cancel()
            self._offer_again = None
        if self._acceptor:
            self._acceptor.close()
            self._acceptor = None

    def note(self, note: Message) -> None:
        if self._channel:
            self._channel.tell({"note": note})

    def pass_on(self, change: Message) -> None:
        """A list or a change of it, to a process that has been told the list before it."""
        if self._channel and self._told_list:
            self._channel.tell({"listed": change})

    def asked(self, channel: Channel, what: str) -> Message:
        if self._channel not in (None, channel):
            raise ValueError("there is another process already")
        self._channel = channel
        if what == "hello":
            self.process.shares(with_other=True)
            for part in self.process.parts():
                channel.tell({"part": part})
            self._told_list = True
            return self.process.described()
        if what == "take" and not self.gave:
            self.gave = True
            return self.process.hand_over()
        raise ValueError("an unknown question")

    def lost(self, channel: Channel) -> None:
        if channel is not self._channel:
            return
        self._channel, self._told_list = None, False
        self.process.shares(with_other=False)
        if self.gave:
            self.gave = False
            self.process.deserted()
            self.offer()  # the other one may have offered itself under the same name

    def stop(self) -> None:
        """The name is left: it is stale now, or the next process's."""
        self._withdraw_offer()
        channel, self._channel = self._channel, None
        if channel:
            channel.abort()
        with contextlib.suppress(OSError):
            self._path.with_name(f"{NAME}.{os.getpid()}").unlink(missing_ok=True)
