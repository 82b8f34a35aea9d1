"""This process's side of an upgrade: the state it gives to a successor, or takes from a predecessor."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from quota_ingress.net.clock import Clock
from quota_ingress.net.descriptors import DescriptorBudget
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.discovery.packed_entry import PackedEntry
from quota_ingress.net.downstream.listener import Listener
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.lifecycle.control_plane import ControlPlaneClients
from quota_ingress.net.lifecycle.upgrade_messages import (
    Document,
    DrainCall,
    EndpointCall,
    EndpointListChange,
    OperatorCall,
    ServingState,
)

STANDBY_SECONDS = 1.0  # minimum run time after handing over, since the successor may fail during its start
IDLE_CHECK_SECONDS = 0.01

log = logging.getLogger("quota_ingress")


class SharedParts(NamedTuple):
    """The parts of this process that an upgrade reads or changes."""

    clock: Clock
    engine: Engine
    overrides: OperatorOverrides
    listener: Listener
    descriptors: DescriptorBudget
    control_plane: ControlPlaneClients


class UpgradeProcess:
    """Implements UpgradeParticipant for this process."""

    def __init__(self, parts: SharedParts, stopping: asyncio.Event) -> None:
        """Changes nothing yet.

        Args:
            parts: The parts of this process whose state is handed over, restored or changed.
            stopping: Set by this object once this process has handed over and finished all requests.
        """
        self._parts = parts
        self._stopping = stopping
        self._exit_task: asyncio.Task[None] | None = None
        self._restored_list: EndpointList | None = None

    def take_restored_list(self) -> EndpointList | None:
        """Returns the predecessor's endpoint list and releases it; None if there is none (any more)."""
        restored = self._restored_list
        self._restored_list = None
        return restored

    def stop(self) -> None:
        """Cancels the exit that a handover has scheduled."""
        if self._exit_task:
            self._exit_task.cancel()

    def serving_state(self) -> ServingState:
        """Returns the overrides, the drain and the clock of this process."""
        return ServingState(
            overrides=self._parts.overrides.snapshot(),
            is_draining=self._parts.listener.out_of_service,
            clock_base_us=self._parts.clock.base,
        )

    def list_parts(self) -> Iterable[Mapping[str, PackedEntry]]:
        """Returns this process's endpoint list in batches of packed entries, by name."""
        return self._parts.overrides.entry_batches()

    def restore_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        """Stores one batch of the predecessor's endpoint list, until `restore_state`."""
        self._parts.overrides.restore_entries(entries)

    def restore_state(self, state: ServingState) -> None:
        """Restores the predecessor's clock, overrides, endpoint list and drain.

        Raises:
            IncompleteListError: Entries of its list are missing; only the clock has been restored.
        """
        if state.clock_base_us is not None:
            self._parts.clock.adopt(state.clock_base_us)
        self._restored_list = self._parts.overrides.restore(state.overrides, state.endpoints)
        self._parts.listener.set_out_of_service(state.is_draining)

    def hand_over(self) -> Document:
        """Stops accepting, schedules the end of this process, and returns the policy's snapshot."""
        engine = self._parts.engine
        log.info("upgrade: handed over, another process accepts new connections")
        engine.event_log.event("process", "handed over", open=engine.in_flight)
        self._parts.listener.hand_over()
        self._exit_task = asyncio.get_running_loop().create_task(self._exit_when_finished())
        return engine.hand_over()

    def apply_operator_call(self, call: OperatorCall) -> None:
        """Applies an operator's call at the other process: a drain, or an endpoint's state."""
        match call:
            case DrainCall(is_draining):
                self._parts.listener.set_out_of_service(is_draining)
            case EndpointCall(name, is_offline):
                self._parts.overrides.apply_operator_call(name, is_offline)

    def apply_list_change(self, change: EndpointListChange) -> None:
        """Applies a list change that the other process has received from discovery."""
        self._parts.control_plane.apply_list_change(change)

    def used_request_ids(self) -> Sequence[bytes]:
        """Returns the request ids in use."""
        return self._parts.engine.used_ids()

    def mark_request_ids_used(self, request_ids: Sequence[bytes]) -> None:
        """Marks request ids of the other process as in use: a request with one of them is a duplicate."""
        self._parts.engine.mark_ids_used(request_ids)

    def share_limits(self, with_other: bool) -> None:
        """Halves this process's descriptors and memory while another process runs."""
        self._parts.descriptors.set_shared(with_other)
        self._parts.listener.memory_budget.set_shared(with_other)
        self._parts.listener.hard_limit = self._parts.descriptors.client_hard_limit

    def on_successor_lost(self) -> None:
        """Serves again, unless this process is itself stopping."""
        if self._stopping.is_set():
            return
        log.warning("upgrade: the process that took over has ended, accepting connections again")
        self._parts.engine.event_log.event("process", "serving again")
        if self._exit_task:
            self._exit_task.cancel()
        self._parts.listener.resume_serving()

    async def _exit_when_finished(self) -> None:
        """Ends the process once its requests are finished, after STANDBY_SECONDS at the earliest.

        Until then, it can serve again if its successor ends.
        """
        await asyncio.sleep(STANDBY_SECONDS)
        while self._parts.engine.in_flight or self._parts.listener.connections:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
        log.info("upgrade: all requests and connections finished, ending")
        self._stopping.set()
