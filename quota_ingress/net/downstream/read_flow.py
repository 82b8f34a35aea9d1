"""Pauses and resumes reading from a client, and determines when the data read arrived."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_ingress.net.socket_state import peer_has_closed, time_since_last_data_us, unread_bytes

PAUSE_CHECK_INTERVAL_S = 0.1  # while reading is paused


class ReadFlow:
    """The reading side of one client connection. Times are us of the process clock.

    Attributes:
        paused: Reading is paused for back-pressure.
        paused_at: Start of the last pause.
    """

    __slots__ = ("_catching_up", "_check_timer", "_queued_since", "paused", "paused_at")

    def __init__(self, queued_since: int | None) -> None:
        """Starts unpaused.

        `queued_since` is the earliest time at which the connection may have entered the accept queue.
        """
        self._queued_since = queued_since
        self._check_timer: asyncio.TimerHandle | None = None  # while reading is, or recently was, paused
        self._catching_up = False  # data that arrived during a pause has not all been read
        self.paused = False
        self.paused_at = 0

    def arrival_time(self, transport: asyncio.Transport, now: int) -> int:
        """Returns the earliest time at which the data just read may have arrived at this machine.

        The data may have waited while reading was paused, or until the connection was accepted.
        """
        if self._catching_up:
            self._catching_up = unread_bytes(transport) > 0
            return self.paused_at
        if self._queued_since is None:
            return now
        earliest = self._queued_since
        self._queued_since = None
        age = time_since_last_data_us(transport)
        return earliest if age is None else max(earliest, now - age)

    def pause(
        self,
        transport: asyncio.Transport,
        now: int,
        on_client_left: Callable[[], None],
        on_check: Callable[[], None],
    ) -> None:
        """Pauses reading until `resume`.

        Meanwhile `on_check` is called at least every PAUSE_CHECK_INTERVAL_S, until the client disconnects:
        then `on_client_left` is called once.
        """
        self.paused = True
        self.paused_at = now
        transport.pause_reading()
        if self._check_timer is None:
            self._schedule_check(transport, on_client_left, on_check)

    def resume(self, transport: asyncio.Transport) -> None:
        """Resumes reading; data that is unread now is dated to the start of the pause."""
        self.paused = False
        self._catching_up = True
        transport.resume_reading()

    def _schedule_check(
        self, transport: asyncio.Transport, on_client_left: Callable[[], None], on_check: Callable[[], None]
    ) -> None:
        self._check_timer = asyncio.get_running_loop().call_later(
            PAUSE_CHECK_INTERVAL_S, self._check, transport, on_client_left, on_check
        )

    def _check(
        self, transport: asyncio.Transport, on_client_left: Callable[[], None], on_check: Callable[[], None]
    ) -> None:
        """Polls the socket: while reading is paused, the transport reports neither data nor a disconnect."""
        self._check_timer = None
        if not self.paused or transport.is_closing():
            return
        if peer_has_closed(transport):
            on_client_left()
        else:
            on_check()
            self._schedule_check(transport, on_client_left, on_check)
