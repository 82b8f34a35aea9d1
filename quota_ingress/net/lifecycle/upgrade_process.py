"""This process's side of an upgrade: what it gives to its successor, and takes from its predecessor."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterable, Mapping
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

STANDBY_SECONDS = 1.0  # that a process stays after it has handed over: its successor may die of its start
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
    """The participant of `UpgradeCoordinator` that stands for this process."""

    def __init__(self, parts: SharedParts, stopping: asyncio.Event) -> None:
        """Changes nothing yet.

        Args:
            parts: What is given away, taken over and told to change.
            stopping: Is set once this process has handed over and has nothing left to finish.
        """
        self._parts = parts
        self._stopping = stopping
        self._leaving: asyncio.Task[None] | None = None
        self._restored_list: EndpointList | None = None

    def take_restored_list(self) -> EndpointList | None:
        """Returns the predecessor's endpoint list, once; None if there was none to be had."""
        restored = self._restored_list
        self._restored_list = None
        return restored

    def stop(self) -> None:
        """Ends what this process does only because it has handed over."""
        if self._leaving:
            self._leaving.cancel()

    def serving_state(self) -> ServingState:
        """See UpgradeParticipant."""
        return ServingState(
            overrides=self._parts.overrides.snapshot(),
            is_draining=self._parts.listener.out_of_service,
            clock_base_us=self._parts.clock.base,
        )

    def list_parts(self) -> Iterable[Mapping[str, PackedEntry]]:
        """See UpgradeParticipant."""
        return self._parts.overrides.entry_batches()

    def restore_list_part(self, entries: Mapping[str, PackedEntry]) -> None:
        """See UpgradeParticipant."""
        self._parts.overrides.restore_entries(entries)

    def restore_state(self, state: ServingState) -> None:
        """Goes on with the predecessor's clock, overrides, endpoint list and drain.

        Raises:
            IncompleteListError: Some of its list did not come; only the clock is taken over.
        """
        if state.clock_base_us is not None:
            self._parts.clock.adopt(state.clock_base_us)
        self._restored_list = self._parts.overrides.restore(state.overrides, state.endpoints)
        self._parts.listener.set_out_of_service(state.is_draining)

    def hand_over(self) -> Document:
        """See UpgradeParticipant."""
        engine = self._parts.engine
        log.info("upgrade: another process accepts from now on")
        engine.event_log.event("process", "handed over", open=engine.in_flight)
        self._parts.listener.hand_over()
        self._leaving = asyncio.get_running_loop().create_task(self._leave())
        return engine.hand_over()

    def apply_operator_call(self, call: OperatorCall) -> None:
        """See UpgradeParticipant."""
        match call:
            case DrainCall(is_draining):
                self._parts.listener.set_out_of_service(is_draining)
            case EndpointCall(name, is_offline):
                self._parts.overrides.apply_operator_call(name, is_offline)

    def apply_list_change(self, change: EndpointListChange) -> None:
        """See UpgradeParticipant."""
        self._parts.control_plane.apply_list_change(change)

    def share_descriptors(self, with_other: bool) -> None:
        """See UpgradeParticipant."""
        self._parts.descriptors.set_shared(with_other)
        self._parts.listener.hard_limit = self._parts.descriptors.client_hard_limit

    def on_successor_lost(self) -> None:
        """Serves again, unless this process is at its end, too."""
        if self._stopping.is_set():
            return
        log.warning("upgrade: the process that took over is gone, accepting again")
        self._parts.engine.event_log.event("process", "serving again")
        if self._leaving:
            self._leaving.cancel()
        self._parts.listener.resume_serving()

    async def _leave(self) -> None:
        """Stays for a while even with nothing to finish, so that there is a process to serve again."""
        await asyncio.sleep(STANDBY_SECONDS)
        while self._parts.engine.in_flight or self._parts.listener.connections:
            await asyncio.sleep(IDLE_CHECK_SECONDS)
        log.info("upgrade: nothing is left to finish")
        self._stopping.set()
