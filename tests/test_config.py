"""Loading and reloading the configuration file."""

from __future__ import annotations

import asyncio
import json
import re
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from quota_ingress.config import ConfigError, ConfigUnreadableError, load_config, reload_config
from tests.net_helpers import HOST, OK, RAW, PeerServer, request, respond_with
from tests.process_helpers import (
    answer_as_counter,
    answer_as_discovery,
    config_document,
    fetch,
    listening_port,
    start_ingress,
    stop_orderly,
)


@pytest.mark.parametrize(
    "text",
    [
        "no json",
        "[]",
        "{}",
        json.dumps(config_document(listen="here")),
        json.dumps(config_document(seed="?")),
        json.dumps(config_document(settings={})),
    ],
)
def test_an_invalid_configuration_ends_the_start_with_one_line(tmp_path: Path, text: str) -> None:
    (tmp_path / "config.json").write_text(text)
    process = start_ingress(tmp_path / "config.json")
    _, errors = process.communicate(timeout=60)
    assert process.returncode == 1 and errors.count("\n") == 1 and errors.startswith("quota_ingress: ")


@pytest.mark.parametrize("known", [{"index": 1}, [], "?", {"index": 1e999, "snapshot": 1, "endpoints": []}])
async def test_an_invalid_known_list_does_not_prevent_a_start(tmp_path: Path, known: Any) -> None:
    """The process asks discovery for the whole list instead, and serves requests with it."""
    backend = await PeerServer(respond_with(OK)).start()
    listed_backend = {"name": "s-1", "address": f"{HOST}:{backend.port}", "status": "up"}
    agent, counter = (
        await PeerServer(answer_as_discovery(5, listed_backend)).start(),
        await PeerServer(answer_as_counter).start(),
    )
    document = config_document(
        known=known, discovery=f"{HOST}:{agent.port}", counter=f"{HOST}:{counter.port}"
    )
    (tmp_path / "config.json").write_text(json.dumps(document))
    process = start_ingress(tmp_path / "config.json")
    port = await asyncio.to_thread(listening_port, process)
    await agent.wait_until(lambda: agent.watched == [b"GET /discovery/hosts?watch=1&from=5"])
    assert (await fetch(port, request("a1"))).startswith(b"HTTP/1.1 200 ")
    await stop_orderly(process)
    for server in (backend, agent, counter):
        server.stop()


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"listen": "here"}, "listen: 'here' is not HOST:PORT"),
        ({"discovery": "a:65536"}, "discovery: 'a:65536' is not HOST:PORT"),
        ({"counter": "a"}, "counter: 'a' is not HOST:PORT"),
        ({"seed": "?"}, "seed: "),
        ({"limits": {"sockets": "many"}}, "limits.sockets: "),
        ({"limits": None}, "limits.sockets: "),
        ({"settings": {}}, "settings: "),
        ({"settings": RAW | {"ceilings": None}}, "settings: "),
    ],
)
def test_an_error_message_names_the_key(tmp_path: Path, changes: dict[str, Any], message: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document(**changes)))
    with pytest.raises(ConfigError, match=f"^{re.escape(message)}"):
        load_config(str(path), {})


@pytest.mark.parametrize("key", ["listen", "discovery", "seed", "settings"])
def test_a_missing_key_is_named(tmp_path: Path, key: str) -> None:
    document = config_document()
    del document[key]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(document))
    with pytest.raises(ConfigError, match=f"^{key} is missing$"):
        load_config(str(path), {})


def test_an_unreadable_file_and_an_invalid_one_raise_different_errors(tmp_path: Path) -> None:
    with pytest.raises(ConfigUnreadableError, match="No such file"):
        reload_config(str(tmp_path / "config.json"))
    (tmp_path / "config.json").write_text("[]")
    with pytest.raises(ConfigError) as raised:
        reload_config(str(tmp_path / "config.json"))
    assert not isinstance(raised.value, ConfigUnreadableError)


def test_the_environment_overrides_the_file_at_a_start_but_not_at_a_reload(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config_document(admin=f"{HOST}:2", counter=None)))
    environment = {
        "EDGE_LISTEN": "10.0.0.4:7070",
        "EDGE_DISCOVERY": "10.2.0.1:8500",
        "EDGE_ADMIN": "10.0.0.4:7071",
        "EDGE_LISTEN_FD": "3",
        "TMPDIR": "/shared",
    }
    started = load_config(str(path), environment)
    assert (started.listen, started.discovery) == (("10.0.0.4", 7070), ("10.2.0.1", 8500))
    assert started.admin == ("10.0.0.4", 7071) and started.counter is None
    assert (started.inherited_listener, started.shared_directory) == (3, "/shared")
    assert started.known_endpoints and started.known_endpoints.version == 1
    reloaded = reload_config(str(path))
    assert (reloaded.listen, reloaded.discovery, reloaded.admin) == ((HOST, 0), (HOST, 1), (HOST, 2))
    assert (reloaded.inherited_listener, reloaded.shared_directory) == (None, "")
    assert reloaded.known_endpoints is None
    assert reloaded == replace(
        started,
        listen=reloaded.listen,
        discovery=reloaded.discovery,
        admin=reloaded.admin,
        inherited_listener=None,
        shared_directory="",
        known_endpoints=None,
    )


def test_optional_keys_have_defaults(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    document = config_document()
    del document["limits"]
    del document["known"]
    document["settings"] = RAW | {"ceilings": {**RAW["ceilings"]}}
    del document["settings"]["ceilings"]["conn_idle"]
    path.write_text(json.dumps(document))
    loaded = load_config(str(path), {})
    assert (loaded.max_descriptors, loaded.memory_mb, loaded.idle_timeout_us) == (1024, 64, 15_000_000)
    assert loaded.admin is None and loaded.seed == 0x8C1F
    assert loaded.known_endpoints and (loaded.known_endpoints.version, loaded.known_endpoints.packed) == (
        0,
        {},
    )
