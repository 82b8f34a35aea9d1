"""The configuration of one ingress: the platform's JSON file, with overrides from the environment.

The platform defines the keys; `quota_ingress.settings_codec` decodes the key `settings`.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, NamedTuple, TypeVar

from quota_ingress.net.discovery.endpoint_codec import (
    decode_endpoint_list,
    discard_listed_endpoint,
    pack_listed_endpoint,
)
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.policy.settings import Settings
from quota_ingress.settings_codec import settings_from_json

DEFAULT_MAX_DESCRIPTORS = 1024
DEFAULT_MEMORY_MB = 64
DEFAULT_IDLE_TIMEOUT_US = 15_000_000
MAX_PORT = 65535
PARSE_ERRORS = (ValueError, TypeError, AttributeError, RecursionError)

Document = dict[str, Any]
Value = TypeVar("Value")

log = logging.getLogger("quota_ingress")


class ConfigError(Exception):
    """The configuration is invalid; the message names the key and the fault."""


class ConfigUnreadableError(ConfigError):
    """The configuration file could not be read; a later attempt may succeed."""


class Address(NamedTuple):
    """The host and port of a TCP server."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration of one ingress."""

    listen: Address
    admin: Address | None  # for operators' calls; None: no such interface
    discovery: Address
    counter: Address | None
    seed: int
    max_descriptors: int
    memory_mb: float
    inherited_listener: int | None  # descriptor of the clients' listening socket, if inherited
    shared_directory: str  # shared by all processes of this ingress; "": none
    known_endpoints: EndpointList | None  # as the previous process held them; None: invalid, or not decoded
    settings: Settings
    settings_document: Document  # the settings before decoding, for the names that `settings` has as numbers
    idle_timeout_us: int  # for connections to endpoints


def load_config(path: str, environment: Mapping[str, str]) -> Config:
    """Reads the configuration for a start.

    Args:
        path: The JSON file.
        environment: `EDGE_LISTEN`, `EDGE_ADMIN` and `EDGE_DISCOVERY` override the file's keys;
            `EDGE_LISTEN_FD` and `TMPDIR` have no key in the file.

    Raises:
        ConfigUnreadableError: The file cannot be read.
        ConfigError: The file is not valid JSON, a key is missing, or a value is invalid.
    """
    document = _read_document(path, pack_listed_endpoint)
    config = _parse_config(document, environment)
    return replace(config, known_endpoints=_parse_known_endpoints(document))


def reload_config(path: str) -> Config:
    """Reads the configuration again while the process runs.

    The environment still has the values of the start, so it does not override the file. `known_endpoints`
    is None, because the process holds a newer list.

    Raises:
        ConfigUnreadableError: The file cannot be read.
        ConfigError: The file is not valid JSON, a key is missing, or a value is invalid.
    """
    return _parse_config(_read_document(path, discard_listed_endpoint), {})


def _read_document(path: str, object_hook: Callable[[Document], Any]) -> Document:
    try:
        with open(path, encoding="utf-8-sig") as file:
            document = json.load(file, object_hook=object_hook)
    except OSError as error:
        raise ConfigUnreadableError(str(error)) from None
    except PARSE_ERRORS as error:
        raise ConfigError(str(error)) from None
    if not isinstance(document, dict):
        raise ConfigError(f"configuration is not a JSON object: got {type(document).__name__}")
    return document


def _parse_config(document: Document, environment: Mapping[str, str]) -> Config:
    overrides = {
        "listen": environment.get("EDGE_LISTEN"),
        "admin": environment.get("EDGE_ADMIN"),
        "discovery": environment.get("EDGE_DISCOVERY"),
    }
    with_overrides = document | {key: address for key, address in overrides.items() if address}
    limits = document.get("limits", {})
    descriptor = environment.get("EDGE_LISTEN_FD")
    settings_document = _required(document, "settings")
    return Config(
        listen=_parse_address(with_overrides, "listen"),
        admin=_parse_address(with_overrides, "admin") if with_overrides.get("admin") else None,
        discovery=_parse_address(with_overrides, "discovery"),
        counter=_parse_address(with_overrides, "counter") if with_overrides.get("counter") else None,
        seed=_parse("seed", lambda: int(str(_required(document, "seed")), 16)),
        inherited_listener=_parse("EDGE_LISTEN_FD", lambda: int(descriptor)) if descriptor else None,
        shared_directory=environment.get("TMPDIR", ""),
        max_descriptors=_parse("limits.sockets", lambda: int(limits.get("sockets", DEFAULT_MAX_DESCRIPTORS))),
        memory_mb=_parse("limits.memory_mb", lambda: float(limits.get("memory_mb", DEFAULT_MEMORY_MB))),
        known_endpoints=None,
        settings=_parse("settings", lambda: settings_from_json(json.dumps(settings_document).encode())),
        settings_document=settings_document,
        idle_timeout_us=_parse("settings.ceilings.conn_idle", lambda: _idle_timeout_us(settings_document)),
    )


def _parse(name: str, parse: Callable[[], Value]) -> Value:
    """Returns the result of `parse`; raises its errors as a ConfigError that names the key."""
    try:
        return parse()
    except PARSE_ERRORS as error:
        raise ConfigError(f"{name}: {error}") from None


def _required(document: Document, key: str) -> Any:
    try:
        return document[key]
    except KeyError:
        raise ConfigError(f"{key} is missing") from None


def _parse_address(document: Document, key: str) -> Address:
    value = _required(document, key)
    host, colon, port = str(value).rpartition(":")
    if not (host and colon and port.isdecimal() and int(port) <= MAX_PORT):
        raise ConfigError(f"{key}: {value!r} is not HOST:PORT")
    return Address(host, int(port))


def _idle_timeout_us(settings_document: Document) -> int:
    return int(settings_document["ceilings"].get("conn_idle", DEFAULT_IDLE_TIMEOUT_US))


def _parse_known_endpoints(document: Document) -> EndpointList | None:
    """Returns the list under the key `known`; an empty one without that key, and None for an invalid list.

    With None, the start continues, and discovery is asked for the whole list.
    """
    known = document.get("known")
    try:
        return EndpointList(0, True, {}) if known is None else decode_endpoint_list(known)
    except ValueError as error:
        log.warning("known: invalid endpoint list, asking discovery for the whole list: %s", error)
        return None
