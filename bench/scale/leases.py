"""Name leases granted by a quorum: the time until a process holds its name's lease, by fleet size.

The lease tables of the program itself are used.
"""

from __future__ import annotations

import random

from bench.scale.meter import Meter, memory_bytes
from bench.scale.records import Row, row
from wickhinge.peers.health import PROBE_PERIOD_S
from wickhinge.shared.name_lease import MAX_CLOCK_DRIFT, NameLeases, lease_term_s

# Seconds for which the voters have been running already.
VOTER_UPTIME_S = 1e6
# A router reads the end of its lease once per tick.
LEASE_CHECKS_PER_S = 20


def long_running_voters(routers: int) -> dict[str, NameLeases]:
    """Return the lease tables of the other routers of the roster, all of which have been running for long."""
    return {f"voter-{number:04}": NameLeases(routers, -VOTER_UPTIME_S) for number in range(routers - 1)}


def time_until_held(
    holder: NameLeases, voters_by_name: dict[str, NameLeases], incarnation: int, seed: int, limit_s: float
) -> float:
    """Return the time at which the holder has its lease, at the latest `limit_s`.

    One voter is asked each PROBE_PERIOD_S, in a shuffled order of all that is drawn anew after each round.
    """
    rand, now, order = random.Random(seed), 0.0, []
    while now < limit_s:
        if not order:
            order = list(voters_by_name)
            rand.shuffle(order)
        name = order.pop()
        if voters_by_name[name].grant("holder", incarnation, now):
            holder.receive(name, now, now)
        if holder.held_until(now) > now:
            return now
        now += PROBE_PERIOD_S
    return now


def new_name_wait_s(routers: int, seed: int) -> float:
    """Return the seconds until a process with a new name holds its lease among long-running routers."""
    return max(
        time_until_held(NameLeases(routers, 0.0), long_running_voters(routers), 1, seed, 10.0 * routers), PROBE_PERIOD_S
    )


def restart_wait_s(routers: int, seed: int) -> float:
    """Return the seconds until a restarted process holds its name's lease; its earlier grants have to end first."""
    voters_by_name, rand = long_running_voters(routers), random.Random(seed)
    asking_round_s = (routers - 1) * PROBE_PERIOD_S
    for voter in voters_by_name.values():
        voter.grant("holder", 1, -rand.uniform(0.0, asking_round_s))
    return time_until_held(NameLeases(routers, 0.0), voters_by_name, 2, seed, 10.0 * routers)


def joint_start_wait_s(routers: int, seed: int) -> float:
    """Return the seconds until a lease is held after a joint start.

    A voter that has just started waits one lease term before it grants.
    """
    voters_by_name = {f"voter-{number:04}": NameLeases(routers, 0.0) for number in range(routers - 1)}
    return time_until_held(NameLeases(routers, 0.0), voters_by_name, 1, seed, 10.0 * routers)


def full_lease_tables(routers: int) -> NameLeases:
    """Return the lease tables of a router that has been granted by all others and has granted to all others."""
    lease = NameLeases(routers, -VOTER_UPTIME_S)
    for number in range(routers - 1):
        lease.receive(f"voter-{number:04}", 0.0, 0.0)
        lease.grant(f"voter-{number:04}", number, 0.0)
    return lease


def rows(meter: Meter) -> list[Row]:
    sizes = meter.sizes(10, 50, 200, 400, 800, 1600)
    term_times_s = [lease_term_s(size) for size in sizes]
    new_name_times_s = [new_name_wait_s(size, meter.seed) for size in sizes]
    restart_times_s = [restart_wait_s(size, meter.seed) for size in sizes]
    joint_start_times_s = [joint_start_wait_s(size, meter.seed) for size in sizes]
    lease_tables = [full_lease_tables(size) for size in sizes]
    cpu = [
        LEASE_CHECKS_PER_S * meter.cpu_s_per_call(lambda lease=lease: lease.held_until(1.0), 20)
        for lease in lease_tables
    ]
    table_memory = [memory_bytes(lambda size=size: full_lease_tables(size)) for size in sizes]
    asking_text = f"one voter asked each {PROBE_PERIOD_S} s; drift {MAX_CLOCK_DRIFT}"
    return [
        row("name_lease_term", "router", "time", "routers", sizes, term_times_s, "s", "computed", "name_lease.term"),
        row(
            "name_lease_new",
            "router",
            "time",
            "routers",
            sizes,
            new_name_times_s,
            "s",
            "virtual",
            f"a new name; {asking_text}",
        ),
        row(
            "name_lease_restart",
            "router",
            "time",
            "routers",
            sizes,
            restart_times_s,
            "s",
            "virtual",
            f"a restart; {asking_text}",
        ),
        row(
            "name_lease_joint",
            "router",
            "time",
            "routers",
            sizes,
            joint_start_times_s,
            "s",
            "virtual",
            f"all start; {asking_text}",
        ),
        row(
            "name_lease",
            "router",
            "cpu",
            "routers",
            sizes,
            cpu,
            "core",
            "virtual",
            f"thread CPU time of NameLeases.held_until, {LEASE_CHECKS_PER_S} a second",
        ),
        row(
            "name_lease", "router", "memory", "routers", sizes, table_memory, "B", "virtual", "tracemalloc, both tables"
        ),
    ]
