"""One real ingress: reads its configuration, starts, reads it anew at SIGHUP, runs until SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import logging
import os
import signal
import sys
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import uvloop

from quota_ingress.net.admin import Admin
from quota_ingress.net.clock import Clock
from quota_ingress.net.counter.client import CounterClient
from quota_ingress.net.descriptors import ADMIN_DESCRIPTORS, DescriptorBudget
from quota_ingress.net.discovery.endpoint_codec import (
    decode_endpoint_list,
    discard_listed_endpoint,
    pack_listed_endpoint,
)
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.operator_overrides import OperatorOverrides
from quota_ingress.net.discovery.packed_entry import pack_entry, unpack_entry
from quota_ingress.net.discovery.watch import DiscoveryWatch
from quota_ingress.net.discovery.watch_retry import NOTIFICATION_DEADLINE
from quota_ingress.net.downstream.listener import Listener
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.event_log import EventLog
from quota_ingress.net.http import MemoryBudget
from quota_ingress.net.lifecycle.upgrade import Handover
from quota_ingress.net.upstream.client import UpstreamClient
from quota_ingress.policy.endpoint_list import ListKind
from quota_ingress.policy.gateway import Gateway
from quota_ingress.policy.settings import Settings
from quota_ingress.settings_codec import settings_from_json

ACCEPTS_ON = 0.55  # s after SIGTERM: new connections go on coming for 0.4 s
LONGEST_STOP = 3.0  # s: the longest deadline that the platform waits for, and ...
STOP_MARGIN = 0.4  # ... what it waits beyond that, less a margin
LAST_ANSWERS = 0.15  # s after that in which the last answers are written
AGENT_WAIT = 0.3  # s that a start waits for the list: the agent on this machine has it at once, or is silent
COUNTER_WAIT = 0.5  # s that a start waits for its first connection to the counter, while another still serves
LOOK = 0.01  # s between looks whether anything is left, at the end
STAYS = 1.0  # s that a process that has handed over is there to serve again; SIGTERM ends it before
CLOSED_WITHIN = 0.03  # s in which the loop has ended what was closed last
RELOADED = 4.0  # s after SIGHUP: what the new discovery has to tell counts as told
MOST_PASSED_ON = 10_000  # entries of a list: some 2 MB, to the other process of an upgrade
REREAD_AFTER = 0.1  # s from one try at a configuration that cannot be read to the next ...
REREAD_WITHIN = 3.0  # ... and in which they are made
LEAVE_COUNTER = 1.0  # s after SIGHUP: the old counter closes its connections after 1.5 s

Address = tuple[str, int]
log = logging.getLogger("quota_ingress")


class ConfigError(Exception):
    """The configuration makes no sense."""


class UnreadableError(ConfigError):
    """The file could not be read; it may be the next moment."""


@dataclass(frozen=True, slots=True)
class Config:
    listen: Address
    admin: Address | None  # where operators call
    discovery: Address
    counter: Address | None
    seed: int
    sockets: int
    memory_mb: float
    inherited: int | None  # the descriptor of the clients' listening socket, where the platform holds it
    shared: str  # the folder that a process started beside this one sees, too
    known: EndpointList | None  # as last held; None where it cannot be read
    settings: Settings
    raw: dict[str, Any]  # the settings as they came
    conn_idle: int


def _address(value: Any, what: str) -> Address:
    host, colon, port = str(value).rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) < 65536):
        raise ConfigError(f"{what}: {value!r} is not HOST:PORT")
    return host, int(port)


def _known(raw: Any) -> EndpointList | None:
    """What was held last is a help, no more: discovery tells the list itself."""
    try:
        return EndpointList(0, True, {}) if raw is None else decode_endpoint_list(raw)
    except ValueError as error:
        log.warning("known: not understood, asking for the whole list: %s", error)
        return None


def read_config(path: str, env: Mapping[str, str], again: bool = False) -> Config:
    """The file, but for what `env` names. `again`, at SIGHUP: the file alone counts, as `env` is of the
    start, and what was held last is of no use.
    """
    try:
        top = json.loads(
            Path(path).read_text("utf-8-sig"),
            object_hook=discard_listed_endpoint if again else pack_listed_endpoint,
        )
        raw = top["settings"]
        admin = env.get("EDGE_ADMIN") or top.get("admin")
        return Config(
            listen=_address(env.get("EDGE_LISTEN") or top["listen"], "listen"),
            admin=_address(admin, "admin") if admin else None,
            discovery=_address(env.get("EDGE_DISCOVERY") or top["discovery"], "discovery"),
            counter=_address(top["counter"], "counter") if top.get("counter") else None,
            seed=int(str(top["seed"]), 16),
            inherited=int(env["EDGE_LISTEN_FD"]) if env.get("EDGE_LISTEN_FD") else None,
            shared=env.get("TMPDIR", ""),
            sockets=int(top.get("limits", {}).get("sockets", 1024)),
            memory_mb=float(top.get("limits", {}).get("memory_mb", 64)),
            known=None if again else _known(top.get("known")),
            settings=settings_from_json(json.dumps(raw).encode()),
            raw=raw,
            conn_idle=int(raw["ceilings"].get("conn_idle", 15_000_000)),
        )
    except KeyError as error:
        raise ConfigError(f"{error.args[0]} is missing") from None
    except OSError as error:
        raise UnreadableError(str(error)) from None
    except (ValueError, TypeError, AttributeError, RecursionError) as error:
        raise ConfigError(str(error)) from None


async def _within(seconds: float, event: asyncio.Event) -> None:
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            await event.wait()


class Sources:
    """The discovery and the counter in force, and the change to others at SIGHUP."""

    def __init__(
        self,
        engine: Engine,
        maintenance: OperatorOverrides,
        config: Config,
        index: int | None,
        pass_on: Callable[[dict[str, Any]], None] | None = None,
    ) -> None:
        """`index`: the version of the list that is held, if one is; `pass_on` is called with each change that
        discovery tells, for another process of this ingress.
        """
        self._engine, self._listings, self._config = engine, maintenance, config
        self._pass_on, self._passed = pass_on, index
        self._discovery = self._new_discovery(config, index)
        self._counter = self._new_counter(config)
        # Asked for its list; the one in force is kept until that comes.
        self._next: DiscoveryWatch | None = None
        self._reread: asyncio.TimerHandle | None = None
        self._change: asyncio.Task[None] | None = None
        self._retiring: set[asyncio.Task[None]] = set()
        engine.counter = self._counter
        self._discovery.start()

    def _new_discovery(
        self, config: Config, index: int | None, within: float = NOTIFICATION_DEADLINE
    ) -> DiscoveryWatch:
        size = config.settings.fleet_size
        made = DiscoveryWatch(
            config.discovery,
            index,
            lambda listing: self._listed(made, listing),
            size,
            within,
            self._engine.directory,
            self._engine.event_log,
        )
        return made

    def _new_counter(self, config: Config) -> CounterClient | None:
        if config.counter is None:
            return None
        counter = CounterClient(config.counter, config.settings.counter.timeout, config.settings.fleet_size)
        counter.start()
        return counter

    async def listed(self, within: float) -> None:
        """Returns once discovery has told what has changed, or after that many seconds."""
        await _within(within, self._discovery.first_list_received)

    async def counted(self, within: float) -> None:
        """Returns once the counter can be asked, or after that many seconds."""
        if self._counter:
            await _within(within, self._counter.connected)

    def reload(self, path: str, until: float | None = None) -> None:
        """`until`: the moment of the loop's clock up to which a file that cannot be read is tried again;
        None: this is the first try.
        """
        trace, loop = self._engine.event_log, asyncio.get_running_loop()
        until = until or loop.time() + REREAD_WITHIN
        if self._reread:
            self._reread.cancel()
            self._reread = None
        try:
            config = read_config(path, {}, again=True)
        except UnreadableError as error:
            trace.event("reload", "unreadable", error=str(error))
            if loop.time() < until:
                self._reread = loop.call_later(REREAD_AFTER, self.reload, path, until)
            else:
                log.warning("configuration not read anew, the old one stays: %s", error)
            return
        except ConfigError as error:
            trace.event("reload", "not read")
            log.warning("configuration not read anew, the old one stays: %s", error)
            return
        trace.event("reload", "read", discovery=config.discovery, counter=config.counter)
        if config.discovery != (self._next or self._discovery).address:
            if self._next:
                self._next.stop()
            self._next = self._new_discovery(config, None, RELOADED)
            self._next.start()
        if config.counter != self._config.counter:
            if self._change:
                self._change.cancel()
            self._change = asyncio.get_running_loop().create_task(self._change_counter(config))
        self._config = config

    def _listed(self, by: DiscoveryWatch, listing: EndpointList) -> None:
        """One that has been left may still read a line before it is closed: only the one in force counts."""
        if by is self._next:
            self._discovery.stop()
            self._discovery, self._next = by, None
        if by is self._discovery:
            after, self._passed = self._passed, listing.version
            if self._pass_on and len(listing.packed) <= MOST_PASSED_ON:
                packed = dict(listing.packed)  # as told: bans are laid over it next
                self._pass_on(
                    {
                        "discovery": list(by.address),
                        "index": listing.version,
                        "after": after,
                        "whole": listing.is_snapshot,
                        "packed": packed,
                    }
                )
            self._listings.apply_list(listing)

    def listed_elsewhere(self, change: dict[str, Any]) -> None:
        """What another process of this ingress passes on, if it was told by the same discovery."""
        if tuple(change["discovery"]) == self._discovery.address:
            packed = {
                str(name): pack_entry(unpack_entry(str(name), packed))
                for name, packed in change["packed"].items()
            }
            listing = EndpointList(int(change["index"]), bool(change["whole"]), packed)
            after = change["after"]
            self._discovery.receive_from_peer(listing, None if after is None else int(after))

    async def _change_counter(self, config: Config) -> None:
        """Calls go to the old one until the new one is connected, or the old one is about to close."""
        counter, old = self._new_counter(config), self._counter
        try:
            if counter:
                await _within(LEAVE_COUNTER, counter.connected)
        except asyncio.CancelledError:  # yet another configuration, or the end
            if counter:
                counter.stop()
            raise
        self._counter = self._engine.counter = counter
        if old:
            task = asyncio.get_running_loop().create_task(old.drain())
            self._retiring.add(task)
            task.add_done_callback(self._retiring.discard)

    def stop(self) -> None:
        if self._reread:
            self._reread.cancel()
        for task in (self._change, *self._retiring):
            if task:
                task.cancel()
        for source in (self._discovery, self._next, self._counter):
            if source:
                source.stop()


class Ingress:
    """Everything together, what operators can ask of it, and its place beside another process of its kind."""

    def __init__(self, config: Config) -> None:
        self._known: EndpointList | None = (
            config.known
        )  # until it has been taken in: a long one is not held twice
        self.config, self.clock = replace(config, known=None), Clock()
        clock = self.clock
        self._callers = ADMIN_DESCRIPTORS if config.admin else 0
        self.sockets = sockets = DescriptorBudget(config.sockets, self._callers)
        names, limits = SettingsIndex(config.settings, config.raw), config.settings.limits
        loop, gateway = asyncio.get_running_loop(), Gateway(config.settings, config.seed)
        self.trace = EventLog.from_environment()
        self.memory_budget = room = MemoryBudget(config.memory_mb)
        size, wait = config.settings.fleet_size, limits.connect_timeout
        self.backends = UpstreamClient(sockets.backends, config.conn_idle, wait, room, size, self.trace)
        self.engine = Engine(gateway, config.settings, names, self.backends, loop, clock.now, self.trace)
        self.maintenance = OperatorOverrides(clock.now, self.engine.update_endpoints, self.engine.directory)
        self.engine.endpoints.restored_at = self.maintenance.restarted_at
        self.listener = Listener(self.engine, sockets, clock.now, room)
        self.sources: Sources | None = None
        self.admin = Admin(self, self._callers)
        self.stopping = asyncio.Event()  # by a signal, or as nothing is left since another took over
        upgradable = config.inherited is not None and config.shared
        self.handover = Handover(self, config.shared) if upgradable else None
        self._leaving: asyncio.Task[None] | None = None
        self._told: EndpointList | None = None  # by the process that this one takes over from
        self._changes: list[dict[str, Any]] = []  # of its list, until this one's sources are there

    async def start(self) -> None:
        """Operators are answered first, whatever else takes its time. Where another process serves, it goes
        on until this one could.
        """
        config = self.config
        if config.admin:
            port = await self.admin.listen(*config.admin)
            log.info("operators call at %s:%d", config.admin[0], port)
        told = await self.handover.find(self._take_up) if self.handover else None
        known, self._told, self._known = self._told or self._known, None, None
        if known:
            self.maintenance.apply_list(known, ListKind.CACHED)
        pass_on = self.handover.pass_on if self.handover else None
        index = known.version if known else None
        self.sources = Sources(self.engine, self.maintenance, config, index, pass_on)
        changes, self._changes = self._changes, []
        for change in changes:
            self.listed_elsewhere(change)
        self.admin.list_known()
        await self.sources.listed(AGENT_WAIT)
        if told is not None and self.handover:
            await self.sources.counted(COUNTER_WAIT)
            gc.collect()
            gc.freeze()
            learned = await self.handover.take()
            if learned is not None:
                self.engine.restore(learned)
        port = await self.listener.listen(*config.listen, config.inherited)
        self.trace.event("process", "serving")
        log.info("listening on %s:%d", config.listen[0], port)
        if self.handover:
            self.handover.offer()

    async def stop(self) -> None:
        if self._leaving:
            self._leaving.cancel()
        self.trace.event("process", "stopping", open=self.engine.in_flight)
        await _finish(self.engine, self.listener)
        if self.sources:
            self.sources.stop()
        self.admin.stop()
        self.backends.stop()
        self.listener.stop()
        if self.handover:
            self.handover.stop()
        await self._check_nothing_left()
        self.trace.event("process", "ended")
        log.info("counts: %s", self.trace.summary())

    async def _check_nothing_left(self) -> None:
        """Every request and connection has been ended: what still counts as open was leaked on the way."""
        counts: dict[str, Callable[[], int]] = {
            "requests": lambda: self.engine.unfinished,
            "client connections": lambda: self.sockets.clients.in_use,
            "backend connections": lambda: self.sockets.backends.in_use,
            "bytes": lambda: self.memory_budget.used,
        }
        end = asyncio.get_running_loop().time() + CLOSED_WITHIN
        while any(count() for count in counts.values()) and asyncio.get_running_loop().time() < end:
            await asyncio.sleep(0)
        if left := {name: count() for name, count in counts.items() if count()}:
            self.trace.violation("left behind", **left)

    # The other process, at an upgrade.

    def _take_up(self, told: dict[str, Any]) -> None:
        try:
            self.clock.adopt(int(told.get("clock", self.clock.base)))  # the version before tells none
            self._told = self.maintenance.restore(told)
            self.listener.set_out_of_service(bool(told["drained"]))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("handover: what the other process tells cannot be read: %r", error)

    def parts(self) -> Iterable[dict[str, Any]]:
        return self.maintenance.entry_batches()

    def take_part(self, part: dict[str, Any]) -> None:
        self.maintenance.restore_entries(part)

    def described(self) -> dict[str, Any]:
        return self.maintenance.snapshot() | {
            "drained": self.listener.out_of_service,
            "clock": self.clock.base,
        }

    def hand_over(self) -> dict[str, Any]:
        log.info("handover: another process accepts from now on")
        self.trace.event("process", "handed over", open=self.engine.in_flight)
        self.listener.hand_over()
        self._leaving = asyncio.get_running_loop().create_task(self._leave())
        return self.engine.hand_over()

    async def _leave(self) -> None:
        """Stays for a while in any case: a successor may die of what its start did not show."""
        await asyncio.sleep(STAYS)
        while self.engine.in_flight or self.listener.connections:
            await asyncio.sleep(LOOK)
        log.info("handover: nothing is left")
        self.stopping.set()

    def deserted(self) -> None:
        """The process that took over is gone. Unless this one is at its end, too, it serves again."""
        if not self.stopping.is_set():
            log.warning("handover: the process that took over is gone, accepting again")
            self.trace.event("process", "serving again")
            if self._leaving:
                self._leaving.cancel()
            self.listener.resume_serving()

    def shares(self, with_other: bool) -> None:
        self.sockets.set_shared(with_other)
        self.listener.hard_limit = self.sockets.client_hard_limit

    def noted(self, note: dict[str, Any]) -> None:
        if "drain" in note:
            self.listener.set_out_of_service(bool(note["drain"]))
        else:
            self.maintenance.apply_operator_call(str(note["backend"]), bool(note["out"]))

    def listed_elsewhere(self, change: dict[str, Any]) -> None:
        if self.sources is None:
            self._changes.append(change)
            return
        try:
            self.sources.listed_elsewhere(change)
        except (KeyError, TypeError, ValueError, AttributeError, IndexError) as error:
            log.warning("handover: a change of the list cannot be read: %r", error)

    def _note(self, note: dict[str, Any]) -> None:
        if self.handover:
            self.handover.note(note)

    # Operators' calls.

    def ready(self) -> bool:
        return self.listener.is_accepting and not self.listener.stopping and self.engine.can_send

    def take_offline(self, name: str) -> bool:
        return self._backend(name, self.maintenance.take_offline(name), out=True)

    def put_online(self, name: str) -> bool:
        return self._backend(name, self.maintenance.put_online(name), out=False)

    def _backend(self, name: str, known: bool, out: bool) -> bool:
        if known:
            self._note({"backend": name, "out": out})
        return known

    def drain(self, on: bool) -> None:
        self.listener.set_out_of_service(on)
        self._note({"drain": on})


async def serve(config: Config, path: str) -> None:
    loop = asyncio.get_running_loop()
    again, ingress = asyncio.Event(), Ingress(config)
    del config  # and the list that it holds
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, ingress.stopping.set)
    loop.add_signal_handler(signal.SIGHUP, again.set)
    await ingress.start()
    gc.collect()
    gc.freeze()
    assert ingress.sources
    loop.add_signal_handler(signal.SIGHUP, ingress.sources.reload, path)
    if again.is_set():  # it came before there was anything to change
        ingress.sources.reload(path)
    await ingress.stopping.wait()
    loop.add_signal_handler(signal.SIGHUP, log.info, "at the end: the configuration is not read anew")
    await ingress.stop()


async def _finish(engine: Engine, listener: Listener) -> None:
    """Accepts for the stated while, finishes what was taken, and ends before it is killed."""
    loop = asyncio.get_running_loop()
    longest = min(LONGEST_STOP, max(c.deadline for c in engine.settings.classes) / 1e6)
    end = loop.time() + longest + STOP_MARGIN
    listener.begin_shutdown()
    if not listener.handed_over:  # else another process accepts
        await asyncio.sleep(ACCEPTS_ON)
        await listener.accept_backlog(end)
    listener.stop_listening()
    while (engine.in_flight or listener.connections) and loop.time() < end:
        await asyncio.sleep(LOOK)
    engine.fail_all()
    while listener.connections and loop.time() < end + LAST_ANSWERS:
        listener.close_remaining()
        await asyncio.sleep(LOOK)


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(levelname)s %(name)s: %(message)s")
    try:
        path = os.environ.get("EDGE_CONFIG", "")
        uvloop.run(serve(read_config(path, os.environ), path))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):  # Python's handlers go before it does
            signal.signal(number, signal.SIG_IGN)
    except (ConfigError, OSError) as error:
        print(f"quota_ingress: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
