"""The endpoint list at the start and at a reload of an ingress."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest

from quota_ingress.config import load_config
from quota_ingress.net.discovery import watch as watch_module
from quota_ingress.net.discovery.endpoint_codec import STATUS_BY_STATE
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.watch import DiscoveryWatch
from quota_ingress.net.discovery.watch_connection import WatchConnection
from quota_ingress.net.lifecycle import ingress as ingress_module
from quota_ingress.net.lifecycle.ingress import Ingress
from quota_ingress.policy.endpoint_list import EndpointState
from tests.net_helpers import HOST, PeerServer
from tests.process_helpers import config_document
from tests.support.discovery import (
    WATCH_HEAD,
    DiscoveryAgent,
    chunk,
    list_document,
    list_line,
    snapshot_answer,
)


def build_ingress(tmp_path: Path, agent: PeerServer) -> Ingress:
    known = list_document(41, True, leaving="up", staying="up")
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document(known=known, discovery=f"{HOST}:{agent.port}")))
    return Ingress(load_config(str(path), {}))


async def test_a_start_accepts_no_client_before_it_has_the_list_of_the_agent(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ingress_module, "LIST_WAIT_SECONDS", 10.0)
    agent = DiscoveryAgent(WATCH_HEAD + chunk(list_line(list_document(42, False, leaving="draining"))))
    await agent.start()
    ingress = build_ingress(tmp_path, agent)
    lists_at_listen: list[dict[str, str]] = []
    listen = ingress.listener.listen

    async def record_and_listen(host: str, port: int, inherited: int | None = None) -> int:
        lists_at_listen.append(
            {name: STATUS_BY_STATE[entry.state] for name, entry in ingress.overrides.entries.items()}
        )
        return await listen(host, port, inherited)

    monkeypatch.setattr(ingress.listener, "listen", record_and_listen)
    await ingress.start()
    assert lists_at_listen == [{"leaving": "draining", "staying": "up"}]
    await stop(ingress)
    agent.stop()


async def test_a_silent_agent_does_not_prevent_a_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(ingress_module, "LIST_WAIT_SECONDS", 0.01)
    agent = DiscoveryAgent()
    await agent.start()
    ingress = build_ingress(tmp_path, agent)
    await ingress.start()
    assert ingress.ready() and ingress.overrides.entries["leaving"].state is EndpointState.READY
    await stop(ingress)
    agent.stop()


async def test_a_line_on_the_replaced_watch_does_not_undo_the_new_list(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a reload, one iteration of the event loop may read the new list, then the old watch's line."""
    watches: list[WatchConnection] = []

    class RecordedConnection(WatchConnection):
        def __init__(self, discovery: DiscoveryWatch, needs_snapshot: bool) -> None:
            super().__init__(discovery, needs_snapshot)
            watches.append(self)

    monkeypatch.setattr(watch_module, "WatchConnection", RecordedConnection)
    old, new = (
        DiscoveryAgent(WATCH_HEAD + chunk(list_line(list_document(42, False)))),
        DiscoveryAgent(snapshot_answer(list_line(list_document(7, True, staying="up")))),
    )
    await old.start()
    await new.start()
    ingress = build_ingress(tmp_path, old)
    await ingress.start()
    snapshot_applied, apply_list = asyncio.Event(), ingress.overrides.apply_list

    def apply_then_read_old_line(endpoint_list: EndpointList, kind: Any = None) -> None:
        apply_list(endpoint_list, kind)
        if endpoint_list.is_snapshot:
            snapshot_applied.set()
            watches[0].data_received(chunk(list_line(list_document(43, False, leaving="up"))))

    monkeypatch.setattr(ingress.overrides, "apply_list", apply_then_read_old_line)
    path = tmp_path / "other.json"
    path.write_text(json.dumps(config_document(discovery=f"{HOST}:{new.port}")))
    ingress.reload(str(path))
    async with asyncio.timeout(10):
        await snapshot_applied.wait()
    assert list(ingress.overrides.entries) == ["staying"] and ingress.overrides.list_version == 7
    await stop(ingress)
    old.stop()
    new.stop()


async def stop(ingress: Ingress) -> None:
    ingress.control_plane.stop()
    ingress.listener.stop()
    ingress.upstream.stop()
    ingress.admin.stop()
