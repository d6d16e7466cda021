"""Quorum leases of names: how long until a name's own share is held, by the program's own tables at any size."""

from __future__ import annotations

import random

from bench.scale.meter import Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.peers.health import PROBE_PERIOD_S
from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT, NameLeases, lease_term_s

LATE = 1e6  # seconds that the voters have been there already
LOOK = 20  # times a second that a router asks for the end of its lease: once a tick


def voters(routers: int) -> dict[str, NameLeases]:
    """The others of the roster, all there for long."""
    return {f"voter-{number:04}": NameLeases(routers, -LATE) for number in range(routers - 1)}


def asked_in_turn(holder: NameLeases, others: dict[str, NameLeases], life: int, seed: int, until: float) -> float:
    """One voter a PROBE_PERIOD_S, in a shuffled order of all, again and again: when the lease is held, or `until`."""
    rand, now, order = random.Random(seed), 0.0, []
    while now < until:
        if not order:
            order = list(others)
            rand.shuffle(order)
        name = order.pop()
        if others[name].grant("holder", life, now):
            holder.receive(name, now, now)
        if holder.held_until(now) > now:
            return now
        now += PROBE_PERIOD_S
    return now


def first(routers: int, seed: int) -> float:
    """Seconds until a name that is new holds its lease among routers that run for long."""
    return max(asked_in_turn(NameLeases(routers, 0.0), voters(routers), 1, seed, 10.0 * routers), PROBE_PERIOD_S)


def restarted(routers: int, seed: int) -> float:
    """Seconds until a restarted process holds its name's lease: earlier grants have to end first."""
    others, rand = voters(routers), random.Random(seed)
    asked_each = (routers - 1) * PROBE_PERIOD_S
    for voter in others.values():
        voter.grant("holder", 1, -rand.uniform(0.0, asked_each))
    return asked_in_turn(NameLeases(routers, 0.0), others, 2, seed, 10.0 * routers)


def after_joint_start(routers: int, seed: int) -> float:
    """Seconds until a lease is held where all processes start together: voters wait a term before they grant."""
    others = {f"voter-{number:04}": NameLeases(routers, 0.0) for number in range(routers - 1)}
    return asked_in_turn(NameLeases(routers, 0.0), others, 1, seed, 10.0 * routers)


def held(routers: int) -> NameLeases:
    """A holder's and voter's tables when all are held."""
    lease = NameLeases(routers, -LATE)
    for number in range(routers - 1):
        lease.receive(f"voter-{number:04}", 0.0, 0.0)
        lease.grant(f"voter-{number:04}", number, 0.0)
    return lease


def rows(meter: Meter) -> list[Row]:
    sizes = meter.sizes(10, 50, 200, 400, 800, 1600)
    longest = [lease_term_s(size) for size in sizes]
    new = [first(size, meter.seed) for size in sizes]
    again = [restarted(size, meter.seed) for size in sizes]
    joint = [after_joint_start(size, meter.seed) for size in sizes]
    tables = [held(size) for size in sizes]
    cpu = [LOOK * meter.cpu_s_per_call(lambda lease=lease: lease.held_until(1.0), 20) for lease in tables]
    memories = [memory_bytes(lambda size=size: held(size)) for size in sizes]
    asked = f"one voter asked each {PROBE_PERIOD_S} s; drift {MAX_CLOCK_DRIFT}"
    return [
        row("name_lease_term", "router", "time", "routers", sizes, longest, "s", "computed", "name_lease.term"),
        row("name_lease_new", "router", "time", "routers", sizes, new, "s", "virtual", f"a new name; {asked}"),
        row("name_lease_restart", "router", "time", "routers", sizes, again, "s", "virtual", f"a restart; {asked}"),
        row("name_lease_joint", "router", "time", "routers", sizes, joint, "s", "virtual", f"all start; {asked}"),
        row(
            "name_lease",
            "router",
            "cpu",
            "routers",
            sizes,
            cpu,
            "core",
            "virtual",
            f"thread CPU time of NameLeases.held_until, {LOOK} a second",
        ),
        row("name_lease", "router", "memory", "routers", sizes, memories, "B", "virtual", "tracemalloc, both tables"),
    ]
