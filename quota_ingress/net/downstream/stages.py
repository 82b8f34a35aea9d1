"""The stages of clients' connections, which decide on their timeouts and on the order of eviction."""

from __future__ import annotations

from typing import Protocol

from quota_ingress.net.downstream.close_reason import CloseReason


class StagedConnection(Protocol):
    """A client connection, as timeouts, eviction and shutdown see it. Moments are us."""

    @property
    def is_busy(self) -> bool:
        """Whether a request has begun and is not answered."""

    def is_too_slow(self, now: int) -> bool:
        """Whether a body arrives more slowly than any client sends, or has stopped."""

    def is_stalled(self, before: int) -> bool:
        """Whether it began a head, and has sent nothing more since before that moment."""

    def note_read_progress(self, now: int) -> None:
        """Notes whether the client has read on since the last call."""

    def reject_unreadable(self, status: int) -> None:
        """Ends it over a request that cannot be read, or stays incomplete."""

    def close_if_idle(self, reason: CloseReason = CloseReason.IDLE) -> bool:
        """Closes it between requests, but not if one waits unread. Returns whether it did."""

    def evict_incomplete(self) -> None:
        """Closes it in the middle of a head."""

    def abort(self, reason: CloseReason) -> None:
        """Closes it at once, with what is still to be written."""


class ConnectionStages:
    """All open connections, by stage.

    Mappings hold the moment (us) since when a connection is in a stage, the longest first. A connection is in
    at most one of `awaiting_first_request`, `receiving_head` and `idle`; while a request is open, in none of
    them, but for a first request that has not been found valid yet.

    Attributes:
        open: All connections.
        awaiting_first_request: No valid request has been received yet.
        receiving_head: A further request has begun, and its head is incomplete.
        idle: Between requests, with nothing of the next one received.
        receiving_body: A request's head is complete, and its body is not.
        write_blocked: The client does not read what it is sent.
        lingering: Has had its last response; what is still received is discarded.
    """

    def __init__(self) -> None:
        self.open: set[StagedConnection] = set()
        self.awaiting_first_request: dict[StagedConnection, int] = {}
        self.receiving_head: dict[StagedConnection, int] = {}
        self.idle: dict[StagedConnection, int] = {}
        self.receiving_body: set[StagedConnection] = set()
        self.write_blocked: dict[StagedConnection, int] = {}
        self.lingering: dict[StagedConnection, int] = {}

    def add(self, connection: StagedConnection, now: int) -> None:
        """Adds a connection that is up."""
        self.open.add(connection)
        self.awaiting_first_request[connection] = now

    def remove(self, connection: StagedConnection) -> None:
        """Removes a connection that has ended."""
        self.open.discard(connection)
        self.receiving_body.discard(connection)
        self.leave_quiet_stages(connection)
        self.write_blocked.pop(connection, None)
        self.lingering.pop(connection, None)

    def start_head(self, connection: StagedConnection, now: int) -> None:
        """Moves an idle connection on: the next request has begun."""
        if self.idle.pop(connection, None) is not None:
            self.receiving_head[connection] = now

    def start_request(self, connection: StagedConnection) -> None:
        """The head of a request is complete."""
        self.receiving_head.pop(connection, None)
        self.idle.pop(connection, None)

    def accept_first_request(self, connection: StagedConnection) -> None:
        """The first valid request has been received."""
        self.awaiting_first_request.pop(connection, None)

    def wait_for_head(self, connection: StagedConnection, now: int) -> None:
        """A request has had its response, and the next one has begun."""
        self.receiving_head[connection] = now
        self.awaiting_first_request.pop(connection, None)

    def park_idle(self, connection: StagedConnection, now: int, max_idle: int) -> None:
        """A request has had its response, and nothing of the next one has been received.

        Closes the longest idle connection if there are more than `max_idle`.
        """
        self.idle[connection] = now
        if len(self.idle) > max_idle:
            next(iter(self.idle)).close_if_idle()
        self.awaiting_first_request.pop(connection, None)

    def start_lingering(self, connection: StagedConnection, now: int) -> None:
        """The last response has been written, and the client is still sending."""
        self.leave_quiet_stages(connection)
        self.lingering[connection] = now

    def leave_quiet_stages(self, connection: StagedConnection) -> None:
        """Takes the connection out of the stages with no request open."""
        self.awaiting_first_request.pop(connection, None)
        self.receiving_head.pop(connection, None)
        self.idle.pop(connection, None)


def in_stage_since_before(stage: dict[StagedConnection, int], before: int) -> list[StagedConnection]:
    """Returns the connections that have been in a stage since before that moment (us)."""
    found = []
    for connection, since in stage.items():
        if since >= before:
            break
        found.append(connection)
    return found
