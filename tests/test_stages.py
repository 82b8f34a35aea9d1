"""Transitions of client connections between stages."""

from __future__ import annotations

from typing import cast

from quota_ingress.net.downstream.stages import ConnectionStages, StagedConnection, entered_before


class Connection:
    """Records that it has been closed."""

    closed = False

    def close_if_idle(self) -> bool:
        self.closed = True
        return True


def make_connection() -> StagedConnection:
    return cast(StagedConnection, Connection())


def test_a_connection_moves_through_its_stages_and_is_removed_when_closed() -> None:
    stages, connection = ConnectionStages(), make_connection()
    stages.add(connection, 1)
    stages.start_head(connection, 2)  # the first head: the stage does not change
    assert stages.awaiting_first_request == {connection: 1} and not stages.receiving_head
    stages.start_request(connection)
    stages.accept_first_request(connection)
    assert not stages.awaiting_first_request
    stages.park_idle(connection, 3, max_idle=1)
    assert stages.idle == {connection: 3}
    stages.start_head(connection, 4)
    assert stages.receiving_head == {connection: 4} and not stages.idle
    stages.start_request(connection)
    stages.start_lingering(connection, 5)
    assert stages.lingering == {connection: 5} and not stages.receiving_head
    stages.remove(connection)
    assert not stages.open and not stages.lingering


def test_the_longest_idle_connection_is_closed_above_the_maximum() -> None:
    stages, connections = ConnectionStages(), [Connection() for _ in range(3)]
    for now, connection in enumerate(connections):
        stages.park_idle(cast(StagedConnection, connection), now, max_idle=2)
    assert [c.closed for c in connections] == [True, False, False]


def test_entered_before_returns_connections_in_order_of_entry() -> None:
    first, second, third = make_connection(), make_connection(), make_connection()
    stage = {first: 1, second: 2, third: 3}
    assert entered_before(stage, 3) == [first, second]
    assert entered_before(stage, 1) == []
