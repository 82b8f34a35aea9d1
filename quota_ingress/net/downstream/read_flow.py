"""Pauses and resumes reading from a client, and determines when it may have written what is read."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from quota_ingress.net.downstream.write_time import WriteTime
from quota_ingress.net.socket_state import peer_has_closed, time_since_last_data_us

PAUSE_CHECK_INTERVAL_S = 0.1  # while reading is paused


class ReadFlow:
    """The reading side of one client connection. Times are us of the process clock.

    Attributes:
        paused: Reading is paused for back-pressure.
        paused_at: Start of the last pause.
        write_time: When the client may have written what is read.
    """

    __slots__ = ("_check_timer", "_is_first_read", "_queued_since", "paused", "paused_at", "write_time")

    def __init__(self, queued_since: int | None) -> None:
        """Starts unpaused.

        `queued_since` is the earliest time at which the connection may have entered the accept queue.
        """
        self._queued_since = queued_since
        self._check_timer: asyncio.TimerHandle | None = None  # while reading is, or recently was, paused
        self._is_first_read = True
        self.write_time = WriteTime()
        self.paused = False
        self.paused_at = 0

    def record_read(self, transport: asyncio.Transport, now: int, size: int, all_read: bool) -> int:
        """Returns the earliest time at which the client may have written the `size` bytes just read.

        They may have waited while reading was paused, until the connection was accepted, or on the client's
        machine. `all_read`: the read found no further bytes.
        """
        if self._is_first_read:
            self._is_first_read = False
            self.write_time.start(self._first_arrival(transport, now))
        self.write_time.record_read(now, size, all_read, lambda: _last_arrival(transport, now))
        return self.write_time.since

    def _first_arrival(self, transport: asyncio.Transport, now: int) -> int:
        if self._queued_since is None:
            return now
        return max(self._queued_since, _last_arrival(transport, now, default=self._queued_since))

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
        self.write_time.record_pause(now)
        transport.pause_reading()
        if self._check_timer is None:
            self._schedule_check(transport, on_client_left, on_check)

    def resume(self, transport: asyncio.Transport) -> None:
        """Resumes reading."""
        self.paused = False
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


def _last_arrival(transport: asyncio.Transport, now: int, default: int = 0) -> int:
    """Returns when (us) data was last received; `default` if the kernel does not tell."""
    age = time_since_last_data_us(transport)
    return default if age is None else now - age
