"""The one place where the platform's configuration is read, checked and given defaults.

Every function raises MalformedError; its message names the faulty key. `read` raises UnreadableFileError, which is one,
where the file may be whole at the next try.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import orjson

from wickhinge import fields as checks
from wickhinge.fields import MalformedError, UnreadableFileError

CONFIG = "config"
KNOWN_ENTRIES = "config.known.entries"
ENDPOINT_STATES = ("ready", "draining", "gone")
DEFAULT_MEMORY_MB, MIN_MEMORY_MB = 192, 32
DEFAULT_DESCRIPTORS, MIN_DESCRIPTORS = 1024, 64
UNLIMITED_BYTES_PER_S = 1e12

Address = tuple[str, int]


class ProcessLimits(NamedTuple):
    """What the process may use."""

    memory_mb: int
    descriptors: int


class ConnectionLimits(NamedTuple):
    """Limits of connections to servers."""

    connect_timeout_s: float
    idle_timeout_s: float
    max_streams: int


class LinkLimits(NamedTuple):
    """Throughput of this router's own link, of one transfer and of all."""

    transfer_bytes_per_s: float
    total_bytes_per_s: float


class ListedEndpoint(NamedTuple):
    """One server of an endpoint list; `started_at` is in Unix seconds, None where it is not known."""

    endpoint_id: int
    address: Address
    state: str
    zone: str
    kind: str
    cell: int
    weight: float
    started_at: float | None


class KnownEndpoints(NamedTuple):
    """An endpoint list known at the start: of all endpoints where complete, else of those that changed."""

    complete: bool
    endpoints: list[ListedEndpoint]


class KnownPurge(NamedTuple):
    """A purge known at the start: of one object, or of a whole group where key is None."""

    key: int | None
    group: int
    stamp_ms: float


class KnownEvents(NamedTuple):
    """The events of the discovery service that the configuration holds, and the number of the last one."""

    last_number: int
    events: list[KnownEndpoints | KnownPurge]


def read(environment: Mapping[str, str]) -> dict[str, Any]:
    """The configuration as it stands; RELAY_NAME and RELAY_LISTEN must agree with it where both are given."""
    path = environment.get("RELAY_CONFIG")
    if not path:
        raise MalformedError("RELAY_CONFIG: is not set; it holds the path of the configuration")
    try:
        with open(path, "rb") as file:
            configuration = orjson.loads(file.read())
    except OSError as problem:
        raise UnreadableFileError(f"RELAY_CONFIG: {path} cannot be read: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise UnreadableFileError(f"RELAY_CONFIG: {path} is not JSON: {problem}") from None
    if not isinstance(configuration, dict):
        raise MalformedError(f"RELAY_CONFIG: {path} holds no object")
    for variable, field in (("RELAY_NAME", "name"), ("RELAY_LISTEN", "listen")):
        value = environment.get(variable)
        if value and configuration.setdefault(field, value) != value:
            raise MalformedError(f"{CONFIG}: field {field} contradicts {variable}")
    return configuration


def name(configuration: dict[str, Any]) -> str:
    """The router's name."""
    return checks.text(CONFIG, configuration, "name")


def listen_address(configuration: dict[str, Any]) -> Address:
    """Where clients connect."""
    return _address(CONFIG, configuration, "listen")


def discovery_address(configuration: dict[str, Any]) -> Address:
    """Where the discovery service is."""
    return _address(CONFIG, configuration, "journal")


def seed(configuration: dict[str, Any]) -> int:
    """The seed of the router's random choices."""
    return checks.hexadecimal(CONFIG, configuration, "seed")


def process_limits(configuration: dict[str, Any]) -> ProcessLimits:
    """The limits of memory and descriptors."""
    entry = configuration.get("limits", {})
    if not isinstance(entry, dict):
        raise MalformedError(f"{CONFIG}: field limits is not an object")
    memory_mb = checks.integer("config.limits", entry, "memory_mb", DEFAULT_MEMORY_MB)
    descriptors = checks.integer("config.limits", entry, "sockets", DEFAULT_DESCRIPTORS)
    if memory_mb < MIN_MEMORY_MB:
        raise MalformedError(f"config.limits: field memory_mb is under {MIN_MEMORY_MB}")
    if descriptors < MIN_DESCRIPTORS:
        raise MalformedError(f"config.limits: field sockets is under {MIN_DESCRIPTORS}")
    return ProcessLimits(memory_mb, descriptors)


def connection_limits(configuration: dict[str, Any]) -> ConnectionLimits:
    """The limits of connections to servers; each is above 0."""
    entry = checks.mapping("config.settings", settings(configuration), "limits")
    where = "config.settings.limits"
    limits = ConnectionLimits(
        checks.seconds(where, entry, "connectTimeoutMs", 400.0),
        checks.seconds(where, entry, "connIdleMs", 15000.0),
        checks.integer(where, entry, "maxStreams", 100),
    )
    for field, value in zip(("connectTimeoutMs", "connIdleMs", "maxStreams"), limits, strict=True):
        if value <= 0:
            raise MalformedError(f"{where}: field {field} is not above 0")
    return limits


def link_limits(configuration: dict[str, Any]) -> LinkLimits:
    """The throughput of the router's link; practically unlimited where it is not given."""
    return LinkLimits(
        checks.number(CONFIG, configuration, "flow_bytes_per_s", UNLIMITED_BYTES_PER_S),
        checks.number(CONFIG, configuration, "link_bytes_per_s", UNLIMITED_BYTES_PER_S),
    )


def settings(configuration: dict[str, Any]) -> dict[str, Any]:
    """The settings of the decisions, for `wickhinge.settings`."""
    return checks.mapping(CONFIG, configuration, "settings")


def known_events(configuration: dict[str, Any]) -> KnownEvents:
    """What the discovery service had told when the configuration was written."""
    entry = checks.mapping(CONFIG, configuration, "known")
    events = [_event(item) for item in checks.mappings("config.known", entry, "entries")]
    return KnownEvents(checks.integer("config.known", entry, "pos"), events)


def _address(where: str, fields: dict[str, Any], field: str) -> Address:
    address = checks.parse_host_port(checks.text(where, fields, field))
    if address is None:
        raise MalformedError(f"{where}: field {field} is not an address as 127.0.0.1:10080")
    return address


def _event(item: dict[str, Any]) -> KnownEndpoints | KnownPurge:
    if "hosts" in item:
        where = f"{KNOWN_ENTRIES}.hosts"
        hosts = checks.mapping(KNOWN_ENTRIES, item, "hosts")
        entries = checks.mappings(where, hosts, "hosts")
        return KnownEndpoints(checks.boolean(where, hosts, "whole"), [_endpoint(entry) for entry in entries])
    where = f"{KNOWN_ENTRIES}.expire"
    purge = checks.mapping(KNOWN_ENTRIES, item, "expire")
    key = checks.hexadecimal(where, purge, "name") if "name" in purge else None
    group = checks.integer(where, purge, "set", 0 if key is not None else None)
    return KnownPurge(key, group, checks.number(where, purge, "stamp"))


def _endpoint(entry: dict[str, Any]) -> ListedEndpoint:
    where = f"{KNOWN_ENTRIES}.hosts.hosts"
    return ListedEndpoint(
        checks.hexadecimal(where, entry, "host", "s-"),
        _address(where, entry, "dial"),
        checks.choice(where, entry, "health", ENDPOINT_STATES),
        checks.text(where, entry, "site"),
        checks.text(where, entry, "class"),
        checks.integer(where, entry, "block", 0),
        checks.number(where, entry, "share", 1.0),
        checks.seconds(where, entry, "born_ms", 0.0) or None,
    )
