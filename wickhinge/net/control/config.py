"""The one place where configuration is read, checked and given defaults; messages name the faulty key."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

import orjson

from wickhinge import fields as checks
from wickhinge.fields import Malformed

CONF = "config"


def read(environ: Mapping[str, str]) -> dict[str, Any]:
    """The configuration as it stands; RELAY_NAME and RELAY_LISTEN must agree with it where both are given."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise Malformed("RELAY_CONFIG: is not set; it holds the path of the configuration")
    try:
        with open(path, "rb") as file:
            conf = orjson.loads(file.read())
    except OSError as problem:
        raise Malformed(f"RELAY_CONFIG: {path} cannot be read: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise Malformed(f"RELAY_CONFIG: {path} is not JSON: {problem}") from None
    if not isinstance(conf, dict):
        raise Malformed(f"RELAY_CONFIG: {path} holds no object")
    for variable, field in (("RELAY_NAME", "name"), ("RELAY_LISTEN", "listen")):
        told = environ.get(variable)
        if told and conf.setdefault(field, told) != told:
            raise Malformed(f"{CONF}: field {field} contradicts {variable}")
    return conf


def address(where: str, fields: dict[str, Any], field: str) -> tuple[str, int]:
    found = checks.endpoint(checks.text(where, fields, field))
    if found is None:
        raise Malformed(f"{where}: field {field} is not an address as 127.0.0.1:10080")
    return found


def name(conf: dict[str, Any]) -> str:
    return checks.text(CONF, conf, "name")


def listen(conf: dict[str, Any]) -> tuple[str, int]:
    return address(CONF, conf, "listen")


def journal(conf: dict[str, Any]) -> tuple[str, int]:
    return address(CONF, conf, "journal")


def seed(conf: dict[str, Any]) -> int:
    return checks.hexadecimal(CONF, conf, "seed")


def limits(conf: dict[str, Any]) -> tuple[int, int]:
    """Megabytes of memory and descriptors."""
    entry = conf.get("limits", {})
    if not isinstance(entry, dict):
        raise Malformed(f"{CONF}: field limits is not an object")
    memory = checks.integer("config.limits", entry, "memory_mb", 192)
    sockets = checks.integer("config.limits", entry, "sockets", 1024)
    if memory < 32:
        raise Malformed("config.limits: field memory_mb is under 32")
    if sockets < 64:
        raise Malformed("config.limits: field sockets is under 64")
    return memory, sockets


def times(conf: dict[str, Any]) -> tuple[float, float, int]:
    """Seconds to connect within, seconds after which idle connections are closed, streams a connection."""
    entry = checks.record("config.settings", settings(conf), "limits")
    where = "config.settings.limits"
    connect = checks.seconds(where, entry, "connectTimeoutMs", 400.0)
    idle = checks.seconds(where, entry, "connIdleMs", 15000.0)
    streams = checks.integer(where, entry, "maxStreams", 100)
    for field, value in (("connectTimeoutMs", connect), ("connIdleMs", idle), ("maxStreams", streams)):
        if value <= 0:
            raise Malformed(f"{where}: field {field} is not above 0")
    return connect, idle, streams


def settings(conf: dict[str, Any]) -> dict[str, Any]:
    return checks.record(CONF, conf, "settings")


def known(conf: dict[str, Any]) -> tuple[int, list[tuple[Any, ...]]]:
    """The last event's number, and the events: ("list", whole, machines) or ("purge", key, group, ms)."""
    entry = checks.record(CONF, conf, "known")
    events = [event(item) for item in checks.records("config.known", entry, "entries")]
    return checks.integer("config.known", entry, "pos"), events


def event(item: dict[str, Any]) -> tuple[Any, ...]:
    where = "config.known.entries"
    if "hosts" in item:
        hosts = checks.record(where, item, "hosts")
        entries = checks.records(f"{where}.hosts", hosts, "hosts")
        return "list", checks.flag(f"{where}.hosts", hosts, "whole"), [machine(entry) for entry in entries]
    purge = checks.record(where, item, "expire")
    where += ".expire"
    key = checks.hexadecimal(where, purge, "name") if "name" in purge else None
    group = checks.integer(where, purge, "set", 0 if key is not None else None)
    return "purge", key, group, checks.number(where, purge, "stamp")


def machine(entry: dict[str, Any]) -> tuple[Any, ...]:
    """id, (address, port), state, zone, kind, cell, weight, started in seconds or None."""
    where = "config.known.entries.hosts.hosts"
    return (
        checks.hexadecimal(where, entry, "host", "s-"),
        address(where, entry, "dial"),
        checks.word(where, entry, "health", ("ready", "draining", "gone")),
        checks.text(where, entry, "site"),
        checks.text(where, entry, "class"),
        checks.integer(where, entry, "block", 0),
        checks.number(where, entry, "share", 1.0),
        checks.seconds(where, entry, "born_ms", 0.0) or None,
    )


def link(conf: dict[str, Any]) -> tuple[float, float]:
    """Bytes a second of one transfer, and of all, on this router's own link; no bound where they are not told."""
    return (checks.number(CONF, conf, "flow_bytes_per_s", 1e12), checks.number(CONF, conf, "link_bytes_per_s", 1e12))
