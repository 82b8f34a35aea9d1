"""One ingress process: builds and connects its parts, starts and stops them, and serves operators' calls."""

from __future__ import annotations

import asyncio
import gc
import logging
from dataclasses import replace

from quota_ingress.config import Config
from quota_ingress.net.admin import AdminServer
from quota_ingress.net.clock import Clock
from quota_ingress.net.descriptors import ADMIN_DESCRIPTORS, DescriptorBudget
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.downstream.listener import Listener
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import MemoryBudget
from quota_ingress.net.lifecycle.control_plane import ControlPlaneClients
from quota_ingress.net.lifecycle.graceful_shutdown import finish_requests, report_leaks
from quota_ingress.net.lifecycle.reload import ConfigReloader
from quota_ingress.net.lifecycle.upgrade import UpgradeCoordinator
from quota_ingress.net.lifecycle.upgrade_messages import DrainCall, EndpointCall, OperatorCall
from quota_ingress.net.lifecycle.upgrade_process import SharedParts, UpgradeProcess
from quota_ingress.net.upstream.client import UpstreamClient
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.gateway import Gateway

LIST_WAIT_SECONDS = 0.3  # at start; the local discovery agent sends the list at once or not at all
COUNTER_WAIT_SECONDS = 0.5  # for the first counter connection at start, while a predecessor still serves

log = logging.getLogger("quota_ingress")


class Ingress:
    """One ingress process. Implements `quota_ingress.net.admin.OperatorControls`."""

    def __init__(self, config: Config) -> None:
        """Builds the parts; opens no connection or listener before `start`."""
        operator_descriptors = ADMIN_DESCRIPTORS if config.admin else 0
        self._config = replace(config, known_endpoints=None)
        self._known_endpoints = config.known_endpoints  # released once applied, to hold a long list only once
        self.stopping = asyncio.Event()  # set by a signal, or once all requests are finished after an upgrade
        self.clock = Clock()
        self.event_log = EventLog.from_environment()
        self.descriptors = DescriptorBudget(config.max_descriptors, operator_descriptors)
        self.memory = MemoryBudget(config.memory_mb)
        self.upstream = self._build_upstream()
        self.engine = self._build_engine()
        self.overrides = OperatorOverrides(
            self.clock.now, self.engine.update_endpoints, self.engine.directory
        )
        self.engine.endpoints.back_online_at = self.overrides.back_online_at
        self.listener = Listener(self.engine, self.descriptors, self.clock.now, self.memory)
        self.control_plane = ControlPlaneClients(self.engine, self.overrides, self._config)
        self.reloader = ConfigReloader(self.control_plane.apply, self.event_log)
        self.admin = AdminServer(self, operator_descriptors)
        self._upgrade_process = UpgradeProcess(self._shared_parts(), self.stopping)
        self._upgrade = self._build_upgrade_coordinator()

    async def start(self) -> None:
        """Returns once client connections are accepted.

        A predecessor accepts them until shortly before; those made in between wait in the accept queue. The
        operators' interface starts first, so that no later step delays the answers about readiness; other
        calls wait until the previous state is applied.
        """
        config = self._config
        if config.admin:
            port = await self.admin.listen(*config.admin)
            log.info("operators: listening for calls at %s:%d", config.admin.host, port)
        has_predecessor = await self._upgrade.find_predecessor() if self._upgrade else False
        self.control_plane.start(self._apply_previous_list())
        self.admin.on_previous_state_applied()
        await self.control_plane.wait_for_list(LIST_WAIT_SECONDS)
        if has_predecessor:
            await self._take_over()
        port = await self.listener.listen(*config.listen, config.inherited_listener)
        self.event_log.event("process", "serving")
        log.info("listening on %s:%d", config.listen.host, port)
        if self._upgrade:
            self._upgrade.listen_for_successor()

    def reload(self, path: str) -> None:
        """Reloads the configuration file at `path`, and applies its discovery and counter addresses."""
        self.reloader.reload(path)

    async def stop(self) -> None:
        """Shuts down gracefully, reports leaked resources, and logs the event counts."""
        self._upgrade_process.stop()
        self.event_log.event("process", "stopping", open=self.engine.in_flight)
        await finish_requests(self.engine, self.listener)
        self.reloader.stop()
        self.control_plane.stop()
        self.admin.stop()
        self.upstream.stop()
        self.listener.stop()
        if self._upgrade:
            self._upgrade.stop()
        open_counts = {
            "requests": lambda: self.engine.unfinished_count,
            "client connections": lambda: self.descriptors.clients.in_use,
            "backend connections": lambda: self.descriptors.backends.in_use,
            "bytes": lambda: self.memory.used,  # of buffered bodies
        }
        await report_leaks(open_counts, self.event_log)
        self.event_log.event("process", "ended")
        log.info("counts: %s", self.event_log.summary())

    # Operators' calls: see OperatorControls.

    def ready(self) -> bool:
        """Returns whether this process accepts connections, and any endpoint accepts requests.

        A process that is stopping or has handed over is not ready. Quotas, concurrency limits and a drain by
        operators are not considered.
        """
        return self.listener.is_accepting and not self.listener.stopping and self.engine.can_send

    def take_offline(self, name: str) -> bool:
        """Bans an endpoint; returns False if it is unknown.

        It is known if it is listed or banned, or if its name is recorded, as the latest removed names are.
        """
        is_known = self.overrides.take_offline(name)
        if is_known:
            self._notify_other_process(EndpointCall(name, is_offline=True))
        return is_known

    def put_online(self, name: str) -> bool:
        """Ends an endpoint's ban; returns False if the endpoint is unknown, as in `take_offline`."""
        is_known = self.overrides.put_online(name)
        if is_known:
            self._notify_other_process(EndpointCall(name, is_offline=False))
        return is_known

    def drain(self, is_draining: bool) -> None:
        """Takes the ingress out of service if `is_draining`, else puts it back in service."""
        self.listener.set_out_of_service(is_draining)
        self._notify_other_process(DrainCall(is_draining))

    def _notify_other_process(self, call: OperatorCall) -> None:
        if self._upgrade:
            self._upgrade.send_operator_call(call)

    # Start.

    def _build_engine(self) -> Engine:
        config = self._config
        settings_index = SettingsIndex(config.settings, config.settings_document)
        gateway = Gateway(config.settings, config.seed)
        loop = asyncio.get_running_loop()
        return Engine(
            gateway, config.settings, settings_index, self.upstream, loop, self.clock.now, self.event_log
        )

    def _build_upstream(self) -> UpstreamClient:
        settings = self._config.settings
        return UpstreamClient(
            self.descriptors.backends,
            self._config.idle_timeout_us,
            settings.limits.connect_timeout,
            self.memory,
            settings.fleet_size,
            self.event_log,
        )

    def _build_upgrade_coordinator(self) -> UpgradeCoordinator | None:
        """Returns None unless the listening socket is inherited and there is a shared directory."""
        if self._config.inherited_listener is None or not self._config.shared_directory:
            return None
        coordinator = UpgradeCoordinator(self._upgrade_process, self._config.shared_directory)
        self.control_plane.on_list_change = coordinator.send_list_change
        self.engine.on_id_used = coordinator.send_request_id
        return coordinator

    def _shared_parts(self) -> SharedParts:
        return SharedParts(
            self.clock, self.engine, self.overrides, self.listener, self.descriptors, self.control_plane
        )

    def _apply_previous_list(self) -> int | None:
        """Applies the endpoint list restored from the predecessor, or else the configuration's.

        Returns its version, or None if there is neither.
        """
        restored = self._upgrade_process.take_restored_list()
        previous_list = self._known_endpoints if restored is None else restored
        self._known_endpoints = None
        if previous_list is None:
            return None
        self.overrides.apply_list(previous_list, ListKind.CACHED)
        return previous_list.version

    async def _take_over(self) -> None:
        """Takes over from the predecessor, once this process is able to serve."""
        await self.control_plane.wait_for_counter(COUNTER_WAIT_SECONDS)
        gc.collect()
        gc.freeze()
        snapshot = await self._upgrade.take_over() if self._upgrade else None
        if snapshot is not None:
            self.engine.restore(snapshot)
