"""Reading, validation and defaults of the platform's configuration.

Each function raises MalformedError if a key is invalid; the message names the key. `read` raises the subclass
UnreadableFileError if the file is absent or incomplete, so that a later try may succeed.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import orjson

from wickhinge import fields as checks
from wickhinge.fields import MalformedError, UnreadableFileError

CONFIG_KEY = "config"
KNOWN_ENTRIES_KEY = "config.known.entries"
ENDPOINT_STATES = ("ready", "draining", "gone")
DEFAULT_MEMORY_MB, MIN_MEMORY_MB = 192, 32
DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS = 1024, 64
UNLIMITED_BYTES_PER_S = 1e12

Address = tuple[str, int]


class ProcessLimits(NamedTuple):
    """Limits of the process's memory and file descriptors."""

    memory_mb: int
    descriptors: int


class ConnectionLimits(NamedTuple):
    """Limits of the connections to servers."""

    connect_timeout_s: float
    idle_timeout_s: float
    max_streams: int


class LinkLimits(NamedTuple):
    """Throughput of this router's network link, for one transfer and for all transfers together."""

    transfer_bytes_per_s: float
    total_bytes_per_s: float


class ListedEndpoint(NamedTuple):
    """One server of an endpoint list; `started_at` is in Unix seconds, or None if unknown."""

    endpoint_id: int
    address: Address
    state: str
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: float | None


class KnownEndpoints(NamedTuple):
    """Endpoint list in the configuration; holds all endpoints if `complete` is true, else only the changed ones."""

    complete: bool
    endpoints: list[ListedEndpoint]


class KnownPurge(NamedTuple):
    """Purge in the configuration; of one object, or of the whole group if `key` is None."""

    key: int | None
    group: int
    stamp_ms: float


class KnownEvents(NamedTuple):
    """Events of the discovery service that the configuration holds, and the number of the last one."""

    last_number: int
    events: list[KnownEndpoints | KnownPurge]


def read(environment: Mapping[str, str]) -> dict[str, Any]:
    """Return the configuration from the file that RELAY_CONFIG names.

    RELAY_NAME and RELAY_LISTEN supply the fields `name` and `listen` if the file does not have them.

    Raises:
        UnreadableFileError: The file cannot be read or is not JSON.
        MalformedError: RELAY_CONFIG is not set, the file does not hold an object, or it contradicts RELAY_NAME or
            RELAY_LISTEN.
    """
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise MalformedError("RELAY_CONFIG: is not set; it must hold the path of the configuration file")
    try:
        with open(path, "rb") as file:
            configuration = orjson.loads(file.read())
    except OSError as problem:
        raise UnreadableFileError(f"RELAY_CONFIG: {path} cannot be read: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise UnreadableFileError(f"RELAY_CONFIG: {path} is not JSON: {problem}") from None
    if not isinstance(configuration, dict):
        raise MalformedError(f"RELAY_CONFIG: {path} does not hold a JSON object")
    for variable, field in (("RELAY_NAME", "name"), ("RELAY_LISTEN", "listen")):
        value = environment.get(variable)
        if value and configuration.setdefault(field, value) != value:
            raise MalformedError(f"{CONFIG_KEY}: field {field} contradicts {variable}")
    return configuration


def name(configuration: dict[str, Any]) -> str:
    """Return the router's name."""
    return checks.text(CONFIG_KEY, configuration, "name")


def listen_address(configuration: dict[str, Any]) -> Address:
    """Return the address that clients connect to."""
    return _address(CONFIG_KEY, configuration, "listen")


def discovery_address(configuration: dict[str, Any]) -> Address:
    """Return the address of the discovery service."""
    return _address(CONFIG_KEY, configuration, "journal")


def seed(configuration: dict[str, Any]) -> int:
    """Return the seed of the router's random choices."""
    return checks.hexadecimal(CONFIG_KEY, configuration, "seed")


def process_limits(configuration: dict[str, Any]) -> ProcessLimits:
    """Return the limits of memory and file descriptors."""
    entry = configuration.get("limits", {})
    if not isinstance(entry, dict):
        raise MalformedError(f"{CONFIG_KEY}: field limits is not an object")
    memory_mb = checks.integer("config.limits", entry, "memory_mb", DEFAULT_MEMORY_MB)
    descriptors = checks.integer("config.limits", entry, "sockets", DEFAULT_DESCRIPTORS)
    if memory_mb < MIN_MEMORY_MB:
        raise MalformedError(f"config.limits: field memory_mb is below the minimum of {MIN_MEMORY_MB}")
    if descriptors < MIN_DESCRIPTORS:
        raise MalformedError(f"config.limits: field sockets is below the minimum of {MIN_DESCRIPTORS}")
    return ProcessLimits(memory_mb, descriptors)


def connection_limits(configuration: dict[str, Any]) -> ConnectionLimits:
    """Return the limits of the connections to servers; each is above 0."""
    entry = checks.mapping("config.settings", settings(configuration), "limits")
    parent_key = "config.settings.limits"
    limits = ConnectionLimits(
        checks.seconds(parent_key, entry, "connectTimeoutMs", 400.0),
        checks.seconds(parent_key, entry, "connIdleMs", 15000.0),
        checks.integer(parent_key, entry, "maxStreams", 100),
    )
    for field, value in zip(("connectTimeoutMs", "connIdleMs", "maxStreams"), limits, strict=True):
        if value <= 0:
            raise MalformedError(f"{parent_key}: field {field} is not above 0")
    return limits


def link_limits(configuration: dict[str, Any]) -> LinkLimits:
    """Return the throughput of the router's link; a missing field means practically unlimited."""
    return LinkLimits(
        checks.number(CONFIG_KEY, configuration, "flow_bytes_per_s", UNLIMITED_BYTES_PER_S),
        checks.number(CONFIG_KEY, configuration, "link_bytes_per_s", UNLIMITED_BYTES_PER_S),
    )


def settings(configuration: dict[str, Any]) -> dict[str, Any]:
    """Return the settings of the routing decisions, which `wickhinge.settings` validates."""
    return checks.mapping(CONFIG_KEY, configuration, "settings")


def known_events(configuration: dict[str, Any]) -> KnownEvents:
    """Return the events that the discovery service had sent when the configuration was written."""
    entry = checks.mapping(CONFIG_KEY, configuration, "known")
    events = [_known_event(item) for item in checks.mappings("config.known", entry, "entries")]
    return KnownEvents(checks.integer("config.known", entry, "pos"), events)


def _address(parent_key: str, fields: dict[str, Any], field: str) -> Address:
    address = checks.parse_host_port(checks.text(parent_key, fields, field))
    if address is None:
        raise MalformedError(f"{parent_key}: field {field} is not an address in the form 127.0.0.1:10080")
    return address


def _known_event(item: dict[str, Any]) -> KnownEndpoints | KnownPurge:
    if "hosts" in item:
        parent_key = f"{KNOWN_ENTRIES_KEY}.hosts"
        hosts = checks.mapping(KNOWN_ENTRIES_KEY, item, "hosts")
        entries = checks.mappings(parent_key, hosts, "hosts")
        return KnownEndpoints(
            checks.boolean(parent_key, hosts, "whole"), [_listed_endpoint(entry) for entry in entries]
        )
    parent_key = f"{KNOWN_ENTRIES_KEY}.expire"
    purge = checks.mapping(KNOWN_ENTRIES_KEY, item, "expire")
    key = checks.hexadecimal(parent_key, purge, "name") if "name" in purge else None
    group = checks.integer(parent_key, purge, "set", 0 if key is not None else None)
    return KnownPurge(key, group, checks.number(parent_key, purge, "stamp"))


def _listed_endpoint(entry: dict[str, Any]) -> ListedEndpoint:
    parent_key = f"{KNOWN_ENTRIES_KEY}.hosts.hosts"
    return ListedEndpoint(
        checks.hexadecimal(parent_key, entry, "host", "s-"),
        _address(parent_key, entry, "dial"),
        checks.choice(parent_key, entry, "health", ENDPOINT_STATES),
        checks.text(parent_key, entry, "site"),
        checks.text(parent_key, entry, "class"),
        checks.integer(parent_key, entry, "block", 0),
        checks.number(parent_key, entry, "share", 1.0),
        checks.seconds(parent_key, entry, "born_ms", 0.0) or None,
    )
