"""The stages of client connections, which determine their timeouts and the order of eviction."""

from __future__ import annotations

from typing import Protocol

from quota_ingress.net.downstream.close_reason import CloseReason


class StagedConnection(Protocol):
    """A client connection, as seen by timeouts, eviction and shutdown. Times are us of the process clock."""

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun and has not been answered."""

    @property
    def is_responding(self) -> bool:
        """Whether a response is owed or is being written: ending the connection would cut it off."""

    def is_too_slow(self, now: int) -> bool:
        """Whether the body of the current request arrives too slowly or has stalled."""

    def is_stalled(self, before: int) -> bool:
        """Whether a head is incomplete, with no byte received since `before` and none unread."""

    def is_body_stalled(self, before: int) -> bool:
        """Whether a body is incomplete, with no byte received since `before` and none unread."""

    def update_read_progress(self, now: int) -> None:
        """Restarts the unread-response timeout if the client has read more since the last call."""

    def unread_timeout(self, now: int) -> int:
        """Returns how long, in us, the client's kernel may acknowledge nothing while a response waits."""

    def reject_unreadable(self, status: int) -> None:
        """Rejects a malformed or incomplete request with `status` and ends the connection."""

    def close_if_idle(self, reason: CloseReason = CloseReason.IDLE) -> bool:
        """Closes the connection unless a request is open or unread. Returns whether it was closed."""

    def is_out_of_time(self, now: int) -> bool:
        """Whether the time of a request is over whose body is still being read, and may have been written."""

    def reject_out_of_time(self) -> None:
        """Rejects a request whose time is over before its body has been read."""

    def evict_incomplete(self) -> None:
        """Closes the connection in the middle of a request."""

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection at once and discards unwritten data."""


class ConnectionStages:
    """All open connections, by stage.

    Mappings give the time (us) at which a connection entered the stage, the earliest first. `partial_heads`
    gives the time of the last byte instead, the earliest first, and `write_blocked` that of the last read
    progress, in no order. A connection is in at most one of
    `awaiting_first_request`, `receiving_head` and `idle`. While a request is being handled, it is in none of
    them, except that it stays in `awaiting_first_request` until its first request has been validated.

    Attributes:
        open: All connections.
        awaiting_first_request: No valid request has been received yet.
        receiving_head: The second or a later request has begun, and its head is incomplete.
        partial_heads: Part of a request's head has been received. These are in other stages, too.
        idle: Between requests, with nothing of the next one received.
        receiving_body: A request's head is complete, and its body is incomplete.
        write_blocked: The client does not read its response.
        lingering: The last response has been written; data still received is discarded.
    """

    def __init__(self) -> None:
        self.open: set[StagedConnection] = set()
        self.awaiting_first_request: dict[StagedConnection, int] = {}
        self.receiving_head: dict[StagedConnection, int] = {}
        self.partial_heads: dict[StagedConnection, int] = {}
        self.idle: dict[StagedConnection, int] = {}
        self.receiving_body: set[StagedConnection] = set()
        self.write_blocked: dict[StagedConnection, int] = {}
        self.lingering: dict[StagedConnection, int] = {}

    def add(self, connection: StagedConnection, now: int) -> None:
        """Adds a newly accepted connection."""
        self.open.add(connection)
        self.awaiting_first_request[connection] = now

    def remove(self, connection: StagedConnection) -> None:
        """Removes a closed connection from all stages."""
        self.open.discard(connection)
        self.receiving_body.discard(connection)
        self.stop_awaiting_request(connection)
        self.write_blocked.pop(connection, None)
        self.lingering.pop(connection, None)

    def start_head(self, connection: StagedConnection, now: int) -> None:
        """Moves an idle connection to `receiving_head`: its next request has begun."""
        if self.idle.pop(connection, None) is not None:
            self.receiving_head[connection] = now

    def receive_head(self, connection: StagedConnection, now: int) -> None:
        """Moves a connection to the end of `partial_heads`: a byte of an incomplete head was received."""
        self.partial_heads.pop(connection, None)
        self.partial_heads[connection] = now

    def start_request(self, connection: StagedConnection) -> None:
        """Removes a connection from `receiving_head` and `idle`: a request's head is complete."""
        self.partial_heads.pop(connection, None)
        self.receiving_head.pop(connection, None)
        self.idle.pop(connection, None)

    def accept_first_request(self, connection: StagedConnection) -> None:
        """Removes a connection from `awaiting_first_request`: its first request is valid."""
        self.awaiting_first_request.pop(connection, None)

    def continue_head(self, connection: StagedConnection, now: int) -> None:
        """Adds a connection to `receiving_head` after a response: part of the next head was received."""
        self.receive_head(connection, now)
        self.receiving_head[connection] = now
        self.awaiting_first_request.pop(connection, None)

    def park_idle(self, connection: StagedConnection, now: int, max_idle: int) -> None:
        """Adds a connection to `idle`: a request was answered and nothing of the next one was received.

        Closes the longest idle connection if there are more than `max_idle`.
        """
        self.idle[connection] = now
        if len(self.idle) > max_idle:
            next(iter(self.idle)).close_if_idle()
        self.awaiting_first_request.pop(connection, None)

    def start_lingering(self, connection: StagedConnection, now: int) -> None:
        """Moves a connection to `lingering`: its last response was written but its client still sends."""
        self.stop_awaiting_request(connection)
        self.lingering[connection] = now

    def stop_awaiting_request(self, connection: StagedConnection) -> None:
        """Removes the connection from the stages before the head of its next request is complete."""
        self.partial_heads.pop(connection, None)
        self.awaiting_first_request.pop(connection, None)
        self.receiving_head.pop(connection, None)
        self.idle.pop(connection, None)


def entered_before(stage: dict[StagedConnection, int], before: int) -> list[StagedConnection]:
    """Returns the connections that entered the stage earlier than `before` (us), in order of entry."""
    connections = []
    for connection, entered_at in stage.items():
        if entered_at >= before:
            break
        connections.append(connection)
    return connections
