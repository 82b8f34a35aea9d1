"""A fake participant of an upgrade, and the state and messages that it exchanges."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.operator_overrides import OverridesSnapshot
from quota_ingress.net.discovery.packed_entry import PackedEntry, pack_entry
from quota_ingress.net.lifecycle.upgrade_messages import EndpointListChange, OperatorCall, ServingState
from tests.net_helpers import HOST, entry

PACKED_ENTRIES = {name: pack_entry(entry(name, 1)) for name in ("a", "b")}

STATE = ServingState(
    overrides=OverridesSnapshot(
        list_version=1, endpoint_count=2, offline=(), back_online_at={}, removed_names=()
    ),
    is_draining=True,
    clock_base_us=5,
)

DISCOVERY = (HOST, 1)


def list_change(index: int) -> EndpointListChange:
    return EndpointListChange(DISCOVERY, index - 1, EndpointList.from_entries(index, False, [entry("a", 1)]))


class RecordingParticipant:
    """A participant of an upgrade that only records the calls to it."""

    def __init__(self) -> None:
        self.operator_calls: list[OperatorCall] = []
        self.states: list[ServingState] = []
        self.list_parts_restored: list[Mapping[str, PackedEntry]] = []
        self.changes: list[EndpointListChange] = []
        self.descriptor_sharing: list[bool] = []
        self.request_ids: list[bytes] = []
        self.handovers = 0
        self.successors_lost = 0
        self.changed = asyncio.Event()

    def serving_state(self) -> ServingState:
        return STATE

    def list_parts(self) -> list[Mapping[str, PackedEntry]]:
        return [{name: packed} for name, packed in PACKED_ENTRIES.items()]

    def restore_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        self.list_parts_restored.append(entries)

    def restore_state(self, state: ServingState) -> None:
        self.states.append(state)

    def hand_over(self) -> dict[str, Any]:
        self.handovers += 1
        return {"accounts": []}

    def apply_operator_call(self, call: OperatorCall) -> None:
        self.operator_calls.append(call)
        self.changed.set()

    def apply_list_change(self, change: EndpointListChange) -> None:
        self.changes.append(change)
        self.changed.set()

    def used_request_ids(self) -> list[bytes]:
        return [b"old"]

    def mark_request_ids_used(self, request_ids: Sequence[bytes]) -> None:
        self.request_ids += request_ids
        self.changed.set()

    def share_limits(self, with_other: bool) -> None:
        self.descriptor_sharing.append(with_other)

    def on_successor_lost(self) -> None:
        self.successors_lost += 1
        self.changed.set()

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10):
            while not condition():
                self.changed.clear()
                await self.changed.wait()
