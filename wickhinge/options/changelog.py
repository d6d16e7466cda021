"""The change log's settings: checks beyond types and bounds, and the addresses and keys that its processes use."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from wickhinge.fields import MalformedError, parse_host_port
from wickhinge.options import keys
from wickhinge.options.errors import SettingFault
from wickhinge.options.records import Changelog, ChangelogServer

Address = tuple[str, int]

MAX_NAME_BYTES = 32  # Bound on a server's name in UTF-8; the change log's datagrams have the same bound.
MAX_REPLICAS = 9
MIN_CLOCK_RATE = 0.94  # Seconds that the slowest clock counts in a true second: 1 - changelog.settings.MAX_CLOCK_DRIFT.


def first_fault(options: Changelog) -> SettingFault | None:
    """Return the first fault of the change log's settings, or None. The fault's key is relative to `changelog`."""
    return next(find_faults(options), None)


def find_faults(options: Changelog) -> Iterator[SettingFault]:
    """Yield the faults of the change log's settings; only the first one is reported."""
    for key, servers in (("relays", options.relays), ("replicas", options.replicas)):
        yield from find_server_faults(key, servers)
    shared_names = {server.name for server in options.relays} & {server.name for server in options.replicas}
    if shared_names:
        yield SettingFault("relays", f"{min(shared_names)} is a replica's name, too")
    if options.bind and parse_host_port(options.bind) is None:
        yield SettingFault("bind", f"{options.bind!r} is not an address as 127.0.0.1:7081")
    if len(options.replicas) > MAX_REPLICAS:
        yield SettingFault("replicas", f"are {len(options.replicas)}, over {MAX_REPLICAS}")
    if options.mode == "on":
        yield from find_router_faults(options)


def find_server_faults(key: str, servers: Iterable[ChangelogServer]) -> Iterator[SettingFault]:
    """Yield the faults of the list of relays or replicas under `key`: bad addresses, long or repeated names."""
    names: set[str] = set()
    for index, server in enumerate(servers):
        if parse_host_port(server.address) is None:
            reason = f"{server.address!r} is not an address as 10.0.0.4:7081"
            yield SettingFault(f"{key}[{index}].address", reason)
        if len(server.name.encode()) > MAX_NAME_BYTES:
            yield SettingFault(f"{key}[{index}].name", f"{server.name!r} is over {MAX_NAME_BYTES} bytes")
        if server.name in names:
            yield SettingFault(f"{key}[{index}].name", f"{server.name!r} stands twice")
        names.add(server.name)


def find_router_faults(options: Changelog) -> Iterator[SettingFault]:
    """Yield the faults that keep a router from following the change log."""
    if not options.key_file:
        yield SettingFault("key_file", "is missing while changelog.mode is on")
    if not options.relays:
        yield SettingFault("relays", "is empty while changelog.mode is on")
    if options.bound_s + options.ingest_s > MIN_CLOCK_RATE * options.grace_s:
        min_grace_s = (options.bound_s + options.ingest_s) / MIN_CLOCK_RATE
        reason = f"{options.grace_s} is under {min_grace_s:.2f}, which bound_s and ingest_s need"
        yield SettingFault("grace_s", reason)


def addresses_by_name(servers: Iterable[ChangelogServer]) -> dict[str, Address]:
    """Map each server's name to its parsed address, in the order of the settings; unparsable addresses are left out."""
    parsed = {server.name: parse_host_port(server.address) for server in servers}
    return {name: address for name, address in parsed.items() if address is not None}


def read_keys(options: Changelog) -> list[bytes]:
    """Read the fleet's keys: the first one seals and opens messages, a second one only opens them.

    Raises:
        MalformedError: The key file is not set, or a key cannot be read; the text names the setting.
    """
    if not options.key_file:
        raise MalformedError("changelog.key_file: is missing")
    further_keys = [keys.read_key("changelog.also_key_file", options.also_key_file)] if options.also_key_file else []
    return [keys.read_key("changelog.key_file", options.key_file), *further_keys]
