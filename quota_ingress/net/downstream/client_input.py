"""The reading side of a client connection: parses its input in turns, with back-pressure."""

from __future__ import annotations

import asyncio

from quota_ingress.net.downstream.body_arrival import SETTLE_US, BodyArrival
from quota_ingress.net.downstream.drain_stage import DrainStage, drain_stage
from quota_ingress.net.downstream.host import ConnectionHost
from quota_ingress.net.downstream.input_queue import UnparsedInput
from quota_ingress.net.downstream.pipeline import RequestPipeline
from quota_ingress.net.downstream.read_flow import ReadFlow
from quota_ingress.net.downstream.request_parser import FIELDS
from quota_ingress.net.downstream.stages import StagedConnection
from quota_ingress.net.downstream.timeouts import is_body_too_slow
from quota_ingress.net.http import HttpConnection, RequestReader
from quota_ingress.net.socket_state import unread_bytes

PART_BYTES = 512  # parsed at once, outside of bodies of known length; a pipeline is bounded between parts
TURN_BYTES = 4096  # parsed in one turn
TURN_MESSAGES = 8  # begun in one turn
SMALL_REQUEST_BYTES = 4 * 1024  # of a request that is accepted also while no memory is left
SETTLE_CHECK_S = 1.1 * SETTLE_US / 1e6


class ClientInput(HttpConnection, StagedConnection):
    """Reads requests into a pipeline. Subclasses implement `message_received`, `protocol_error` and the rest.

    What has been read is parsed in parts, in turns with other connections. Reading is paused while input is
    left, the pipeline is full, or the connection ends after the requests that it has.
    """

    def __init__(self, host: ConnectionHost, queued_since: int | None) -> None:
        """Starts before the first byte; `queued_since` as in `ReadFlow`."""
        super().__init__(RequestReader(host.memory_budget, FIELDS))
        self._host = host
        self._engine = host.engine
        self._stages = host.stages
        self._pipeline = RequestPipeline()
        self._read_flow = ReadFlow(queued_since)
        self._unparsed = UnparsedInput(host.memory_budget)
        self._turn_messages = 0  # begun in this turn
        self._body_arrival: BodyArrival | None = None  # of the body of the current request
        self._body_written_at: int | None = None  # us, its last byte at the earliest; None: not yet
        self._settle_timer: asyncio.TimerHandle | None = None
        self._accepted_at = 0
        self._message_started_at = 0
        self._last_data_at = 0

    def reject_unreadable(self, status: int) -> None:
        """Rejects a malformed or incomplete request with `status` and ends the connection."""
        raise NotImplementedError

    def client_left(self) -> None:
        """Called when the client has closed the connection while reading was paused."""
        raise NotImplementedError

    def data_received(self, data: bytes) -> None:
        """Parses the bytes, or discards them if the last response has been written."""
        if self in self._stages.lingering:
            return
        all_read = len(data) < len(self.reader.budget.read_buffer())
        self.reader.received_at = self._read_flow.record_read(
            self.transport, self._host.now(), len(data), all_read
        )
        self._unparsed.append(data)
        self._check_body_arrival(paused=False)
        self.parse_input()

    def parse_input(self) -> None:
        """Parses for one turn, or until the pipeline is full. Reading is paused while input is left."""
        turn_bytes = 0
        self._turn_messages = 0
        while self._unparsed and turn_bytes < TURN_BYTES and self._turn_messages < TURN_MESSAGES:
            if self._pipeline.is_full() or self.transport.is_closing() or self in self._stages.lingering:
                break
            turn_bytes += self._parse_part()
        self._reject_head_without_memory()
        if self.reader.in_message and not self.transport.is_closing():
            self._last_data_at = self._host.now()
            if self._in_head and self in self._stages.open:
                self._stages.receive_head(self, self._last_data_at)
        self._continue_input()

    def _reject_head_without_memory(self) -> None:
        """Rejects a request whose head is large and incomplete while no memory is left."""
        is_large = self.reader.incomplete_head_bytes > SMALL_REQUEST_BYTES
        if is_large and self._host.memory_budget.is_overcommitted and not self.reader.framing_lost:
            self._engine.event_log.event("rejected", "no memory left")
            self.reject_unreadable(503)

    def _parse_part(self) -> int:
        """Parses the next part of the input. Returns its size, without that of bodies of known length."""
        part = b"" if self._body_bytes_missing() else self._take_input(PART_BYTES)
        super().data_received(part)
        if self.reader.framing_lost:
            self._unparsed.clear()
        return len(part)

    def feed_more(self) -> None:
        """Feeds the rest of a body of known length that has been read: it holds no further message."""
        while self._unparsed and (missing := self._body_bytes_missing()):
            self.reader.feed(self._take_input(missing))

    def _body_bytes_missing(self) -> int:
        """Returns how much of a body of known length is to be parsed; 0 for other bodies and in heads."""
        body = self.reader.message.body
        if not self.reader.is_in_body or body.declared_length is None:
            return 0
        return body.declared_length - body.received

    def _take_input(self, size: int) -> bytes:
        part = self._unparsed.take(size)
        if self._body_arrival:
            self._body_arrival.add_read(len(part))
        return part

    def _continue_input(self) -> None:
        """Reads on if all input has been parsed; else parses on later, once the pipeline allows."""
        if self.transport.is_closing() or self in self._stages.lingering:
            return
        if not self._unparsed:
            if self._read_flow.paused:
                self._resume_reading_if_drained()
            return
        self._pause_reading()
        if not self._pipeline.is_full():
            self._host.input_queue.add(self)

    def message_started(self) -> None:
        """Starts the timeout of a request at its first byte."""
        self._turn_messages += 1
        self._message_started_at = self._host.now()
        self._stages.start_head(self, self._message_started_at)

    def is_too_slow(self, now: int) -> bool:
        """Whether the body of the current request arrives too slowly or has stalled."""
        current = self._pipeline.current
        if current is None or self._read_flow.paused:
            return False
        received = current.body.received
        return is_body_too_slow(received, self._message_started_at, self._last_data_at, now)

    def is_stalled(self, before: int) -> bool:
        """Whether a head is incomplete, with no byte received since `before` (us) and none unread."""
        if not self._in_head or self.transport.is_closing():
            return False
        return self._has_stopped(before)

    def is_body_stalled(self, before: int) -> bool:
        """Whether a body is incomplete, with no byte received since `before` (us) and none unread."""
        if self._pipeline.current_is_complete or self._read_flow.paused or self.transport.is_closing():
            return False
        return self._has_stopped(before)

    def _has_stopped(self, before: int) -> bool:
        return self._last_data_at < before and not (self._unparsed or unread_bytes(self.transport))

    def _pause_reading_if_full(self) -> None:
        if self._pipeline.is_full():
            self._pause_reading()

    def _pause_reading(self) -> None:
        if self._read_flow.paused or self.transport.is_closing():
            return
        self._check_body_arrival(paused=False)
        self._read_flow.pause(self.transport, self._host.now(), self.client_left, self._check_body_arrival)

    def _resume_reading_if_drained(self) -> None:
        if not self._read_flow.paused or self.transport.is_closing():
            return
        if not self._pipeline.is_drained():
            return
        if self._unparsed:
            self._host.input_queue.add(self)
        elif self._may_read():
            self._check_body_arrival()
            self._last_data_at = self._host.now()
            # The time of the pause does not count towards the client's timeout.
            counted_from = max(self._message_started_at, self._read_flow.paused_at)
            self._message_started_at += self._last_data_at - counted_from
            self._read_flow.resume(self.transport)

    def _check_body_arrival(self, paused: bool = True) -> None:
        """Starts or stops the deadline of the current request, whose last byte may have been written."""
        arrival = self._body_arrival
        if arrival is None or self.transport.is_closing() or self._pipeline.current_is_complete:
            return
        now = self._host.now()
        write_time = self._read_flow.write_time
        unparsed = len(self._unparsed)
        written_at = arrival.check(self.transport, now, paused, unparsed, write_time.since)
        if arrival.is_blocked(now):
            write_time.record_full(now)
        self._body_written_at = written_at
        if self._pipeline.engine_request_id is not None:
            self._update_deadline(self._pipeline.engine_request_id, written_at)

    def _update_deadline(self, request_id: bytes, written_at: int | None) -> None:
        """Starts the deadline of a request if its last byte may have been written; else stops it."""
        if written_at is None:
            self._engine.on_body_missing(request_id)
            return
        self._engine.on_body_arrived(request_id, written_at)
        if not self._read_flow.paused and self._settle_timer is None:
            self._settle_timer = asyncio.get_running_loop().call_later(SETTLE_CHECK_S, self._check_settled)

    def _check_settled(self) -> None:
        """Checks again once nothing may be on its way any more."""
        self._settle_timer = None
        if not self._read_flow.paused:
            self._check_body_arrival(paused=False)

    def is_out_of_time(self, now: int) -> bool:
        """Whether the time of a request is over whose body is still being read, and may have been written."""
        parsed = self._pipeline.parsed
        if parsed is None or self._pipeline.engine_request_id is not None:
            return False
        self._check_body_arrival(paused=self._read_flow.paused)
        written_at = self._body_written_at
        return written_at is not None and now - written_at >= parsed.timeout

    @property
    def _in_head(self) -> bool:
        """Whether the next request has begun, and its head is incomplete."""
        return self.reader.in_message and not (self._pipeline.waiting or self._pipeline.has_current)

    @property
    def _drain_stage(self) -> DrainStage:
        draining_since = self._host.draining_since
        if draining_since is None:
            return DrainStage.SERVING
        return drain_stage(draining_since, self._accepted_at, self._host.now())

    def _may_read(self) -> bool:
        """Returns whether to read more: the rest of the current request, or further ones at this stage."""
        if self._drain_stage in (DrainStage.SERVING, DrainStage.READING):
            return True
        return self._in_head or not self._pipeline.current_is_complete

    def _has_more_input(self) -> bool:
        """Returns whether data after the current request has been read or is unread in the socket."""
        if self._pipeline.waiting or self._more_messages or self._unparsed:
            return True
        return not self.transport.is_closing() and unread_bytes(self.transport) > 0
