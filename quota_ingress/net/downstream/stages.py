"""The stages of clients' connections, which decide on their timeouts and on the order of eviction."""

from __future__ import annotations

from typing import Generic, TypeVar

ConnectionT = TypeVar("ConnectionT")


class ConnectionStages(Generic[ConnectionT]):
    """All open connections, by stage.

    Mappings tell the moment (us) since when a connection is in a stage, the longest first. A connection is in
    at most one of `awaiting_first_request`, `receiving_head` and `idle`; while a request is open, in none of
    them, but for a first request that has not been found valid yet.

    Attributes:
        open: All connections.
        awaiting_first_request: No valid request has come yet.
        receiving_head: A further request has begun, and its head is incomplete.
        idle: Between requests, with nothing of the next one received.
        receiving_body: A request's head is complete, and its body is not.
        write_blocked: The client does not read what it is sent.
        lingering: Has had its last response; what still comes is thrown away.
    """

    def __init__(self) -> None:
        self.open: set[ConnectionT] = set()
        self.awaiting_first_request: dict[ConnectionT, int] = {}
        self.receiving_head: dict[ConnectionT, int] = {}
        self.idle: dict[ConnectionT, int] = {}
        self.receiving_body: set[ConnectionT] = set()
        self.write_blocked: dict[ConnectionT, int] = {}
        self.lingering: dict[ConnectionT, int] = {}

    def add(self, connection: ConnectionT, now: int) -> None:
        """Takes in a connection that is up."""
        self.open.add(connection)
        self.awaiting_first_request[connection] = now

    def remove(self, connection: ConnectionT) -> None:
        """Takes out a connection that has ended."""
        self.open.discard(connection)
        self.receiving_body.discard(connection)
        self.leave_quiet_stages(connection)
        self.write_blocked.pop(connection, None)
        self.lingering.pop(connection, None)

    def start_head(self, connection: ConnectionT, now: int) -> None:
        """The first byte of a request has come."""
        if self.idle.pop(connection, None) is not None:
            self.receiving_head[connection] = now

    def start_request(self, connection: ConnectionT) -> None:
        """The head of a request is complete."""
        self.receiving_head.pop(connection, None)
        self.idle.pop(connection, None)

    def accept_first_request(self, connection: ConnectionT) -> None:
        """A valid request has come."""
        self.awaiting_first_request.pop(connection, None)

    def finish_request(self, connection: ConnectionT, now: int, next_begun: bool) -> None:
        """A request has had its response, and no whole one waits behind it."""
        stage = self.receiving_head if next_begun else self.idle
        stage[connection] = now
        self.awaiting_first_request.pop(connection, None)

    def start_lingering(self, connection: ConnectionT, now: int) -> None:
        """The last response has been written, and the client is still sending."""
        self.leave_quiet_stages(connection)
        self.lingering[connection] = now

    def leave_quiet_stages(self, connection: ConnectionT) -> None:
        """Takes the connection out of the stages with no request open."""
        self.awaiting_first_request.pop(connection, None)
        self.receiving_head.pop(connection, None)
        self.idle.pop(connection, None)


def in_stage_since_before(stage: dict[ConnectionT, int], before: int) -> list[ConnectionT]:
    """Returns the connections that have been in a stage since before that moment (us)."""
    found = []
    for connection, since in stage.items():
        if since >= before:
            break
        found.append(connection)
    return found
