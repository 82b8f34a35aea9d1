"""Coordinates an upgrade: a new process starts beside the serving process and takes over from it.

The serving process listens on a Unix socket in the shared directory. A new process connects to it, asks for
its state (`Question.HELLO`), prepares itself, and takes over (`Question.TAKE_OVER`).

While both processes run, each forwards operators' calls to the other, because a call reaches only one of
them, and list changes, because discovery may leave the other's own watch unanswered. From the handover on,
each also forwards the ids of the requests that it accepts, so that no id is accepted by both.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket
from collections.abc import Callable, Iterable, Mapping, Sequence
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
    RequestIds,
    ServingState,
    decode_state,
    encode_state,
)

SOCKET_NAME = "handover"  # in the shared directory; must be the same in all versions
LISTEN_RETRY_SECONDS = 1.0

log = logging.getLogger(__name__)


class UpgradeParticipant(Protocol):
    """What UpgradeCoordinator needs of its own process: to read its state, change it, and hand over."""

    def serving_state(self) -> ServingState:
        """Returns this process's state, without the entries of the endpoint list."""

    def list_parts(self) -> Iterable[Mapping[str, PackedEntry]]:
        """Returns the endpoint list in batches of packed entries, by name."""

    def restore_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        """Stores one batch of the predecessor's endpoint list, packed, by name."""

    def restore_state(self, state: ServingState) -> None:
        """Restores the predecessor's state; called after all batches of its list."""

    def hand_over(self) -> Document:
        """Stops accepting connections, and returns the policy's snapshot for the successor."""

    def apply_operator_call(self, call: OperatorCall) -> None:
        """Applies an operator's call that the other process has answered."""

    def apply_list_change(self, change: EndpointListChange) -> None:
        """Applies a list change that discovery has sent to the other process."""

    def used_request_ids(self) -> Sequence[bytes]:
        """Returns the ids of this process's requests that are in use."""

    def mark_request_ids_used(self, request_ids: Sequence[bytes]) -> None:
        """Marks the ids of the other process's requests as in use."""

    def share_limits(self, with_other: bool) -> None:
        """Uses half of the descriptors if `with_other`, as the limit is for both processes; else all."""

    def on_successor_lost(self) -> None:
        """Serves again: the process that took over has ended."""


class UpgradeCoordinator:
    """The protocol of an upgrade: finds a predecessor or awaits a successor, and exchanges messages with it.

    A new process calls `find_predecessor` and `take_over`; the serving process calls `listen_for_successor`.
    """

    def __init__(self, participant: UpgradeParticipant, directory: str) -> None:
        """Opens no socket yet.

        Args:
            participant: This process, which acts on the messages.
            directory: A directory shared by all processes of this ingress.
        """
        self._participant = participant
        self._path = os.path.join(directory, SOCKET_NAME)
        self._own_path = f"{self._path}.{os.getpid()}"
        self._has_handed_over = False
        self._channel: UpgradeChannel | None = None  # to the other process; None if there is none
        self._other_has_list = False  # one process has sent its list, so changes to it are forwarded
        self._other_needs_ids = False  # one process has handed over to the other
        self._acceptor: Acceptor | None = None
        self._listen_retry: asyncio.TimerHandle | None = None

    async def find_predecessor(self) -> bool:
        """Connects to the serving process, and restores its state into the participant.

        Returns False if there is no serving process, or it does not answer. An answer that cannot be restored
        is logged; the result is True all the same, so that this process takes over without that state.
        """
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                _, channel = await loop.create_unix_connection(lambda: UpgradeChannel(self), self._path)
        except (OSError, ValueError) as error:  # no file, a stale file, or a path too long for a socket
            log.info("upgrade: no serving process found: %s", error)
            return False
        self._channel = channel
        self._participant.share_limits(with_other=True)
        found = await self._ask(Question.HELLO, self._restore_state) is not None
        self._other_has_list = found
        return found

    async def take_over(self) -> Document | None:
        """Makes the process found by `find_predecessor` stop accepting, and returns its policy's snapshot.

        Returns None if no process was found, or it did not answer.
        """
        snapshot = await self._ask(Question.TAKE_OVER)
        self._other_needs_ids = snapshot is not None
        return snapshot

    def listen_for_successor(self) -> None:
        """Listens for a new process; if that fails, tries again until `stop`."""
        self._stop_listening()
        try:
            self._acceptor = self._listen()
        except OSError as error:
            log.warning("upgrade: cannot listen for a successor: %s", error)
            loop = asyncio.get_running_loop()
            self._listen_retry = loop.call_later(LISTEN_RETRY_SECONDS, self.listen_for_successor)
            return
        self._acceptor.start()

    def send_operator_call(self, call: OperatorCall) -> None:
        """Forwards an operator's call that this process has answered."""
        if self._channel:
            self._channel.send(call)

    def send_list_change(self, change: EndpointListChange) -> None:
        """Forwards a list change from discovery, if the other process has a list to apply it to."""
        if self._channel and self._other_has_list:
            self._channel.send(change)

    def send_request_id(self, request_id: bytes) -> None:
        """Forwards the id of a request that this process has accepted, from the handover on."""
        if self._channel and self._other_needs_ids:
            self._channel.send(RequestIds((request_id,)))

    def stop(self) -> None:
        """Closes the channel and stops listening.

        The shared socket's file stays: it is stale, or belongs to the successor.
        """
        self._stop_listening()
        channel = self._channel
        self._channel = None
        if channel:
            channel.abort()
        with contextlib.suppress(OSError):
            os.unlink(self._own_path)

    # Implementation of ChannelHandler.

    def on_question(self, channel: UpgradeChannel, question: Question) -> Document:
        """Returns the answer to the new process.

        Raises:
            MessageError: A channel to another process is open, or TAKE_OVER is repeated.
        """
        if self._channel not in (None, channel):
            raise MessageError("an upgrade channel to another process is open already")
        self._channel = channel
        match question:
            case Question.HELLO:
                return self._answer_hello(channel)
            case Question.TAKE_OVER if not self._has_handed_over:
                self._has_handed_over = True
                self._other_needs_ids = True
                channel.send(RequestIds(tuple(self._participant.used_request_ids())))
                return self._participant.hand_over()
            case Question.TAKE_OVER:
                raise MessageError("this process has handed over already")

    def on_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        """Passes a batch of the other process's endpoint list to the participant."""
        self._participant.restore_list_part(entries)

    def on_operator_call(self, call: OperatorCall) -> None:
        """Passes an operator's call at the other process to the participant."""
        self._participant.apply_operator_call(call)

    def on_list_change(self, change: EndpointListChange) -> None:
        """Passes a list change from the other process's discovery to the participant."""
        self._participant.apply_list_change(change)

    def on_request_ids(self, request_ids: Sequence[bytes]) -> None:
        """Passes the ids of the other process's requests to the participant."""
        self._participant.mark_request_ids_used(request_ids)

    def on_closed(self, channel: UpgradeChannel) -> None:
        """Handles the end of the other process: if it had taken over, this one serves again."""
        if channel is not self._channel:
            return
        self._channel = None
        self._other_has_list = False
        self._other_needs_ids = False
        self._participant.share_limits(with_other=False)
        if self._has_handed_over:
            self._has_handed_over = False
            self._participant.on_successor_lost()
            self.listen_for_successor()  # the successor may have replaced the socket at the shared path

    def _answer_hello(self, channel: UpgradeChannel) -> Document:
        self._participant.share_limits(with_other=True)
        for entries in self._participant.list_parts():
            channel.send(ListPart(entries))
        self._other_has_list = True
        return encode_state(self._participant.serving_state())

    def _restore_state(self, content: Document) -> None:
        try:
            self._participant.restore_state(decode_state(content))
        except ValueError as error:
            log.warning("upgrade: cannot restore the other process's state: %r", error)

    async def _ask(
        self, question: Question, on_answer: Callable[[Document], None] | None = None
    ) -> Document | None:
        if not self._channel:
            return None
        try:
            return await self._channel.ask(question, on_answer)
        except (OSError, TimeoutError) as error:
            log.warning("upgrade: no answer to %s: %s", question.value, str(error) or "timed out")
            return None

    def _listen(self) -> Acceptor:
        """Listens on a private path, then renames it: the shared path must lead to a listening socket."""
        listening = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._own_path)
            listening.bind(self._own_path)
            acceptor = Acceptor(listening, lambda queued_since: UpgradeChannel(self))
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
