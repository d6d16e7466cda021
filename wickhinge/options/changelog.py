"""What the settings of the change log must fulfil beyond their types, and what its parts are given out of them."""

from __future__ import annotations

from collections.abc import Iterable

from wickhinge.fields import Malformed, endpoint
from wickhinge.options import keys
from wickhinge.options.records import Changelog, ChangelogMachine

Address = tuple[str, int]

MOST_NAME = 32  # bytes, as in the log's datagrams
MOST_REPLICAS = 9
SLOWEST_CLOCK = 0.94  # of true time: 1 - changelog.settings.CLOCK_DRIFT


def fault_of(found: Changelog) -> str:
    """The first fault, with its key below `changelog`; "" where there is none."""
    for key, machines in (("relays", found.relays), ("replicas", found.replicas)):
        why = fault_of_machines(machines)
        if why:
            return f"{key}{why}"
    names = {machine.name for machine in found.relays} & {machine.name for machine in found.replicas}
    if names:
        return f"relays: {min(names)} is a replica's name, too"
    if found.bind and endpoint(found.bind) is None:
        return f"bind: {found.bind!r} is not an address as 127.0.0.1:7081"
    if len(found.replicas) > MOST_REPLICAS:
        return f"replicas: are {len(found.replicas)}, over {MOST_REPLICAS}"
    return fault_while_on(found) if found.mode == "on" else ""


def fault_of_machines(machines: Iterable[ChangelogMachine]) -> str:
    seen: set[str] = set()
    for place, machine in enumerate(machines):
        if endpoint(machine.address) is None:
            return f"[{place}].address: {machine.address!r} is not an address as 10.0.0.4:7081"
        if len(machine.name.encode()) > MOST_NAME:
            return f"[{place}].name: {machine.name!r} is over {MOST_NAME} bytes"
        if machine.name in seen:
            return f"[{place}].name: {machine.name!r} stands twice"
        seen.add(machine.name)
    return ""


def fault_while_on(found: Changelog) -> str:
    """What a router needs."""
    if not found.key_file:
        return "key_file: is missing while changelog.mode is on"
    if not found.relays:
        return "relays: is empty while changelog.mode is on"
    if found.bound_s + found.ingest_s > SLOWEST_CLOCK * found.grace_s:
        least = (found.bound_s + found.ingest_s) / SLOWEST_CLOCK
        return f"grace_s: {found.grace_s} is under {least:.2f}, which bound_s and ingest_s need"
    return ""


def addresses(machines: Iterable[ChangelogMachine]) -> dict[str, Address]:
    """By name, in their order."""
    found = {machine.name: endpoint(machine.address) for machine in machines}
    return {name: address for name, address in found.items() if address is not None}


def read_keys(found: Changelog) -> list[bytes]:
    """The first one is written under. Raises Malformed with the faulty setting."""
    if not found.key_file:
        raise Malformed("changelog.key_file: is missing")
    also = [keys.read("changelog.also_key_file", found.also_key_file)] if found.also_key_file else []
    return [keys.read("changelog.key_file", found.key_file), *also]
