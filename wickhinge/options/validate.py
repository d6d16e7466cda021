"""What settings have to fulfil beyond their types and bounds. The first fault is reported."""

from __future__ import annotations

import re
from collections.abc import Iterator

from wickhinge.fields import parse_host_port
from wickhinge.options import changelog
from wickhinge.options.errors import SettingFault
from wickhinge.options.records import Discovery, Options, Shared, Store

is_server_id = re.compile(r"s-[0-9a-f]{8}\Z").match
SEGMENTS_PER_STORE = 4  # at least


def first_fault(options: Options) -> SettingFault | None:
    """The first fault; None where there is none."""
    return next(faults(options), None)


def faults(options: Options) -> Iterator[SettingFault]:
    """All faults, in the order in which they are reported."""
    if options.store.mode == "on" and not options.store.dir:
        yield SettingFault("store.dir", "is missing while store.mode is on")
    yield from discovery_faults(options.discovery, options.store)
    yield from shared_faults(options.shared, options)
    fault = changelog.first_fault(options.changelog)
    if fault is not None:
        yield SettingFault(f"changelog.{fault.key}", fault.reason)
    if options.store.size_mb < SEGMENTS_PER_STORE * options.store.segment_mb:
        yield SettingFault("store.segment_mb", "is over a quarter of store.size_mb")


def discovery_faults(discovery: Discovery, store: Store) -> Iterator[SettingFault]:
    """Of the list of servers that is remembered, asked of siblings or given."""
    if discovery.mode == "on" and not (discovery.dir or discovery.static or discovery.siblings):
        yield SettingFault("discovery.dir", "is missing while discovery.mode is on, as are static and siblings")
    if (discovery.listen or discovery.siblings) and not discovery.key_file:
        yield SettingFault("discovery.key_file", "is missing; siblings are not talked to without a key")
    if discovery.dir and discovery.dir == store.dir:
        yield SettingFault("discovery.dir", "is the store's own")
    addresses = {
        "listen": [discovery.listen] if discovery.listen else [],
        "siblings": discovery.siblings,
        "addresses": discovery.addresses,
        "static": [server.dial for server in discovery.static],
    }
    for key, values in addresses.items():
        for place, value in enumerate(values):
            if parse_host_port(value) is None:
                yield SettingFault(f"discovery.{key}[{place}]", f"{value!r} is not an address as 127.0.0.1:10080")
    for place, server in enumerate(discovery.static):
        if not is_server_id(server.id):
            yield SettingFault(f"discovery.static[{place}].id", f"{server.id!r} is not an id as s-00c41f7a")


def shared_faults(shared: Shared, options: Options) -> Iterator[SettingFault]:
    """Of what routers that know each other share."""
    names = len(options.peers.roster)
    if shared.mode == "on" and options.peers.mode != "on":
        yield SettingFault("shared.mode", "needs peers.mode: routers that do not know each other share nothing")
    if 0 < shared.names < names:
        yield SettingFault("shared.names", f"is less than the {names} names of peers.roster")
    if 0 < shared.processes < (shared.names or names):
        yield SettingFault("shared.processes", "is less than the names")
