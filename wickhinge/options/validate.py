"""Checks of the settings beyond types and bounds, such as a setting that needs another one."""

from __future__ import annotations

import re
from collections.abc import Iterator

from wickhinge.fields import parse_host_port
from wickhinge.options import changelog
from wickhinge.options.errors import SettingFault
from wickhinge.options.records import Discovery, Options, Shared, Store

match_server_id = re.compile(r"s-[0-9a-f]{8}\Z").match
MIN_SEGMENTS_PER_STORE = 4


def first_fault(options: Options) -> SettingFault | None:
    """Return the first fault of the settings, or None."""
    return next(find_faults(options), None)


def find_faults(options: Options) -> Iterator[SettingFault]:
    """Yield the faults of all settings; only the first one is reported."""
    if options.store.mode == "on" and not options.store.dir:
        yield SettingFault("store.dir", "is missing while store.mode is on")
    yield from find_discovery_faults(options.discovery, options.store)
    yield from find_shared_faults(options.shared, options)
    fault = changelog.first_fault(options.changelog)
    if fault is not None:
        yield SettingFault(f"changelog.{fault.key}", fault.reason)
    if options.store.size_mb < MIN_SEGMENTS_PER_STORE * options.store.segment_mb:
        yield SettingFault("store.segment_mb", "is over a quarter of store.size_mb")


def find_discovery_faults(discovery: Discovery, store: Store) -> Iterator[SettingFault]:
    """Yield the faults of the settings under `discovery`: missing settings and malformed addresses or ids."""
    if discovery.mode == "on" and not (discovery.dir or discovery.static or discovery.siblings):
        yield SettingFault("discovery.dir", "is missing while discovery.mode is on, as are static and siblings")
    if (discovery.listen or discovery.siblings) and not discovery.key_file:
        yield SettingFault("discovery.key_file", "is missing; messages to and from siblings need a key")
    if discovery.dir and discovery.dir == store.dir:
        yield SettingFault("discovery.dir", "is the same directory as store.dir")
    addresses = {
        "listen": [discovery.listen] if discovery.listen else [],
        "siblings": discovery.siblings,
        "addresses": discovery.addresses,
        "static": [server.dial for server in discovery.static],
    }
    for key, values in addresses.items():
        for index, value in enumerate(values):
            if parse_host_port(value) is None:
                yield SettingFault(f"discovery.{key}[{index}]", f"{value!r} is not an address as 127.0.0.1:10080")
    for index, server in enumerate(discovery.static):
        if not match_server_id(server.id):
            yield SettingFault(f"discovery.static[{index}].id", f"{server.id!r} is not an id as s-00c41f7a")


def find_shared_faults(shared: Shared, options: Options) -> Iterator[SettingFault]:
    """Yield the faults of the settings under `shared`: shared.mode without peers, and too small bounds."""
    names = len(options.peers.roster)
    if shared.mode == "on" and options.peers.mode != "on":
        yield SettingFault("shared.mode", "is on while peers.mode is off; only routers of a roster can share quotas")
    if 0 < shared.names < names:
        yield SettingFault("shared.names", f"is less than the {names} names of peers.roster")
    if 0 < shared.processes < (shared.names or names):
        yield SettingFault(
            "shared.processes", "is less than shared.names or, if that is 0, than the names of peers.roster"
        )
