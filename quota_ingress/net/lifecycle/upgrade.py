"""Coordinates an upgrade: a new process, started beside the one that serves, takes over from it.

The process that serves listens on a Unix socket in the shared directory. A new process connects to it, asks
for its state (`Question.HELLO`), prepares itself, and takes over (`Question.TAKE`). While both live, each
forwards operators' calls and what discovery sends it, since the other one's own watch may not be answered.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable, Iterable, Mapping
from typing import Protocol

from quota_ingress.net.acceptor import Acceptor
from quota_ingress.net.discovery.packed_entry import PackedEntry
from quota_ingress.net.lifecycle.upgrade_channel import ANSWER_TIMEOUT_SECONDS, UpgradeChannel
from quota_ingress.net.lifecycle.upgrade_messages import (
    Document,
    EndpointListChange,
    ListPart,
    MessageError,
    OperatorCall,
    Question,
    ServingState,
    decode_state,
    encode_state,
)

SOCKET_NAME = "handover"  # in the shared directory; versions find one another by it
LISTEN_RETRY_SECONDS = 1.0

log = logging.getLogger(__name__)


class UpgradeParticipant(Protocol):
    """What a process does at its side of an upgrade."""

    def serving_state(self) -> ServingState:
        """Returns what this process holds, but for the entries of the endpoint list."""

    def list_parts(self) -> Iterable[Mapping[str, PackedEntry]]:
        """Returns the endpoint list, packed, by name, some entries at a time."""

    def restore_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        """Takes such a part of the other process's list."""

    def restore_state(self, state: ServingState) -> None:
        """Takes over the other process's state, after all parts of its list."""

    def hand_over(self) -> Document:
        """Stops accepting, and returns the policy's snapshot: another process serves from now on."""

    def apply_operator_call(self, call: OperatorCall) -> None:
        """Follows an operator's call that the other process has answered."""

    def apply_list_change(self, change: EndpointListChange) -> None:
        """Follows what discovery has sent to the other process."""

    def share_descriptors(self, with_other: bool) -> None:
        """Another process holds descriptors under the same limit from now on, or no longer does."""

    def on_successor_lost(self) -> None:
        """The process that took over is gone: serves again."""


class UpgradeCoordinator:
    """One process's side of an upgrade.

    A new process calls `find_predecessor` and `take_over`; the serving process calls `listen_for_successor`.
    """

    def __init__(self, participant: UpgradeParticipant, directory: str) -> None:
        """Does nothing yet.

        Args:
            participant: This process.
            directory: A directory that all processes of this ingress share.
        """
        self._participant = participant
        self._path = os.path.join(directory, SOCKET_NAME)
        self._own_path = f"{self._path}.{os.getpid()}"
        self._has_handed_over = False
        self._channel: UpgradeChannel | None = None  # to the other process, if there is one
        self._other_has_list = False  # the other process holds the endpoint list that this one does
        self._acceptor: Acceptor | None = None
        self._listen_retry: asyncio.TimerHandle | None = None

    async def find_predecessor(self) -> bool:
        """Looks for a process that serves, and has the participant take over its state.

        Returns False where there is none, or it does not answer.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                _, channel = await loop.create_unix_connection(lambda: UpgradeChannel(self), self._path)
        except (OSError, ValueError) as error:  # missing or stale, or a path too long for a socket
            log.info("upgrade: no process to take over from: %s", error)
            return False
        self._channel = channel
        self._participant.share_descriptors(with_other=True)
        found = await self._ask(Question.HELLO, self._restore_state) is not None
        self._other_has_list = found
        return found

    async def take_over(self) -> Document | None:
        """Makes the process found by `find_predecessor` stop accepting, and returns its policy's snapshot.

        Returns None if no process was found, or it did not answer.
        """
        return await self._ask(Question.TAKE)

    def listen_for_successor(self) -> None:
        """Listens for a new process. Where that fails it is tried again until `stop`."""
        self._stop_listening()
        try:
            self._acceptor = self._listen()
        except OSError as error:
            log.warning("upgrade: no upgrade can be offered: %s", error)
            loop = asyncio.get_running_loop()
            self._listen_retry = loop.call_later(LISTEN_RETRY_SECONDS, self.listen_for_successor)
            return
        self._acceptor.start()

    def send_operator_call(self, call: OperatorCall) -> None:
        """Passes on an operator's call that this process has answered."""
        if self._channel:
            self._channel.send(call)

    def send_list_change(self, change: EndpointListChange) -> None:
        """Passes on what discovery has sent, to a process that holds the list before it."""
        if self._channel and self._other_has_list:
            self._channel.send(change)

    def stop(self) -> None:
        """Ends the channel and the offer. The socket's name stays: it is stale now, or the next process's."""
        self._stop_listening()
        channel = self._channel
        self._channel = None
        if channel:
            channel.abort()
        with contextlib.suppress(OSError):
            os.unlink(self._own_path)

    # The channel's handler.

    def on_question(self, channel: UpgradeChannel, question: Question) -> Document:
        """Answers the new process."""
        if self._channel not in (None, channel):
            raise MessageError("there is another process already")
        self._channel = channel
        match question:
            case Question.HELLO:
                return self._describe(channel)
            case Question.TAKE if not self._has_handed_over:
                self._has_handed_over = True
                return self._participant.hand_over()
            case Question.TAKE:
                raise MessageError("another process has taken over already")

    def on_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        """See ChannelHandler."""
        self._participant.restore_list_part(entries)

    def on_operator_call(self, call: OperatorCall) -> None:
        """See ChannelHandler."""
        self._participant.apply_operator_call(call)

    def on_list_change(self, change: EndpointListChange) -> None:
        """See ChannelHandler."""
        self._participant.apply_list_change(change)

    def on_closed(self, channel: UpgradeChannel) -> None:
        """The other process is gone; if it had taken over, this one serves again."""
        if channel is not self._channel:
            return
        self._channel = None
        self._other_has_list = False
        self._participant.share_descriptors(with_other=False)
        if self._has_handed_over:
            self._has_handed_over = False
            self._participant.on_successor_lost()
            self.listen_for_successor()  # the other one may have offered itself under the same name

    def _describe(self, channel: UpgradeChannel) -> Document:
        self._participant.share_descriptors(with_other=True)
        for entries in self._participant.list_parts():
            channel.send(ListPart(entries))
        self._other_has_list = True
        return encode_state(self._participant.serving_state())

    def _restore_state(self, content: Document) -> None:
        try:
            self._participant.restore_state(decode_state(content))
        except ValueError as error:
            log.warning("upgrade: the other process's state cannot be read: %r", error)

    async def _ask(
        self, question: Question, on_answer: Callable[[Document], None] | None = None
    ) -> Document | None:
        if not self._channel:
            return None
        try:
            return await self._channel.ask(question, on_answer)
        except (OSError, TimeoutError) as error:
            log.warning("upgrade: %s: %s", question.value, error or "no answer")
            return None

    def _listen(self) -> Acceptor:
        """Binds under a name of its own and renames, so that whoever finds the shared name can connect."""
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._own_path)
            listening.bind(self._own_path)
            acceptor = Acceptor(listening, lambda waited_since: UpgradeChannel(self))
            os.rename(self._own_path, self._path)
        except OSError:
            listening.close()
            raise
        return acceptor

    def _stop_listening(self) -> None:
        if self._listen_retry:
            self._listen_retry.cancel()
            self._listen_retry = None
        if self._acceptor:
            self._acceptor.close()
            self._acceptor = None
