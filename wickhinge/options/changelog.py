"""What the settings of the change log have to fulfil beyond their types, and what its parts are given out of them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wickhinge.fields import MalformedError, parse_host_port
from wickhinge.options import keys
from wickhinge.options.errors import SettingFault
from wickhinge.options.records import Changelog, ChangelogServer

Address = tuple[str, int]

MAX_NAME_BYTES = 32  # as in the log's datagrams
MAX_REPLICAS = 9
SLOWEST_CLOCK_RATE = 0.94  # of true time: 1 - changelog.settings.MAX_CLOCK_DRIFT


def first_fault(options: Changelog) -> SettingFault | None:
    """The first fault, its key below `changelog`; None where there is none."""
    return next(faults(options), None)


def faults(options: Changelog) -> Iterator[SettingFault]:
    """All faults, in the order in which they are reported."""
    for key, servers in (("relays", options.relays), ("replicas", options.replicas)):
        yield from server_faults(key, servers)
    shared_names = {server.name for server in options.relays} & {server.name for server in options.replicas}
    if shared_names:
        yield SettingFault("relays", f"{min(shared_names)} is a replica's name, too")
    if options.bind and parse_host_port(options.bind) is None:
        yield SettingFault("bind", f"{options.bind!r} is not an address as 127.0.0.1:7081")
    if len(options.replicas) > MAX_REPLICAS:
        yield SettingFault("replicas", f"are {len(options.replicas)}, over {MAX_REPLICAS}")
    if options.mode == "on":
        yield from router_faults(options)


def server_faults(key: str, servers: Iterable[ChangelogServer]) -> Iterator[SettingFault]:
    """Of a list of relays or replicas."""
    names: set[str] = set()
    for place, server in enumerate(servers):
        if parse_host_port(server.address) is None:
            reason = f"{server.address!r} is not an address as 10.0.0.4:7081"
            yield SettingFault(f"{key}[{place}].address", reason)
        if len(server.name.encode()) > MAX_NAME_BYTES:
            yield SettingFault(f"{key}[{place}].name", f"{server.name!r} is over {MAX_NAME_BYTES} bytes")
        if server.name in names:
            yield SettingFault(f"{key}[{place}].name", f"{server.name!r} stands twice")
        names.add(server.name)


def router_faults(options: Changelog) -> Iterator[SettingFault]:
    """Of what a router needs that follows the log."""
    if not options.key_file:
        yield SettingFault("key_file", "is missing while changelog.mode is on")
    if not options.relays:
        yield SettingFault("relays", "is empty while changelog.mode is on")
    if options.bound_s + options.ingest_s > SLOWEST_CLOCK_RATE * options.grace_s:
        min_grace_s = (options.bound_s + options.ingest_s) / SLOWEST_CLOCK_RATE
        reason = f"{options.grace_s} is under {min_grace_s:.2f}, which bound_s and ingest_s need"
        yield SettingFault("grace_s", reason)


def addresses(servers: Iterable[ChangelogServer]) -> dict[str, Address]:
    """The servers' addresses by name, in their order."""
    parsed = {server.name: parse_host_port(server.address) for server in servers}
    return {name: address for name, address in parsed.items() if address is not None}


def read_keys(options: Changelog) -> list[bytes]:
    """The fleet's keys, of which the first one seals. Raises MalformedError with the faulty setting."""
    if not options.key_file:
        raise MalformedError("changelog.key_file: is missing")
    also = [keys.read("changelog.also_key_file", options.also_key_file)] if options.also_key_file else []
    return [keys.read("changelog.key_file", options.key_file), *also]
