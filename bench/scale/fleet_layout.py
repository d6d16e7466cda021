"""Layout of a fleet run: regions, zones, sites, addresses, and the order in which each router prefers its relays.

The third part of an address is the region, so that the simulated network knows the region from the address alone.
"""

from __future__ import annotations

from bench.scale.fleet_records import Machine, Router

REGION_COUNT, ZONE_COUNT, SITE_COUNT = 22, 52, 110
REPLICA_COUNT, RELAY_COUNT = 5, 6
FIRST_BLOCK, BLOCK_COUNT = 100, 100  # Range of the second part of addresses; each run uses one value.
OUTSIDE_REGIONS = -1  # Region of addresses outside of all blocks, whose traffic is neither delayed nor cut.
CHANGELOG_PORT = 7400
CUT_REGION, ONE_WAY_REGION, REAL_REGION = 3, 16, 10
REPLICA_REGIONS = (0, 5, 9, 13, 17)  # Regions of the replicas; none of them is cut off.
RELAY_REGIONS = (0, 3, 7, 11, 14, 18)  # Regions of the relays; the relay in CUT_REGION is cut off from all replicas.
MAX_ROUTERS_PER_PROCESS = 100
MIN_PROCESSES = 3


def address_block(run: int) -> int:
    """Return the second part of a run's addresses, by the run's process id, so that concurrent runs do not collide."""
    return FIRST_BLOCK + run % BLOCK_COUNT


def region_of_address(host: str) -> int:
    network, block, region, _ = (int(part) for part in host.split("."))
    return region if network == 127 and FIRST_BLOCK <= block < FIRST_BLOCK + BLOCK_COUNT else OUTSIDE_REGIONS


def address(block: int, region: int, index: int) -> str:
    return f"127.{block}.{region}.{index}"


def replica_machines(block: int) -> list[Machine]:
    return [
        Machine(f"replica-{index}", region, address(block, region, 10), CHANGELOG_PORT)
        for index, region in enumerate(REPLICA_REGIONS)
    ]


def relay_machines(block: int) -> list[Machine]:
    return [
        Machine(f"relay-{index}", region, address(block, region, 20), CHANGELOG_PORT)
        for index, region in enumerate(RELAY_REGIONS)
    ]


def relay_order(region: int) -> list[str]:
    """Return the names of all relays in a router's order of preference, from the one nearest to its region."""
    first = region * RELAY_COUNT // REGION_COUNT
    if region in RELAY_REGIONS:
        first = RELAY_REGIONS.index(region)
    return [f"relay-{(first + step) % RELAY_COUNT}" for step in range(RELAY_COUNT)]


def hollow_router(index: int, total: int) -> Router:
    """Return hollow router `index` of `total`, which are spread evenly over all sites."""
    site = index * SITE_COUNT // total
    zone = site * ZONE_COUNT // SITE_COUNT
    region = zone * REGION_COUNT // ZONE_COUNT
    return Router(f"hollow-{index}", region, zone, relay_order(region))


def hollow_groups(hollow: int) -> list[list[Router]]:
    """Return the routers of each hollow process; a process holds routers of neighbouring sites."""
    routers = [hollow_router(index, hollow) for index in range(hollow)]
    group_size = min(MAX_ROUTERS_PER_PROCESS, -(-hollow // MIN_PROCESSES))
    return [routers[start : start + group_size] for start in range(0, hollow, group_size)]
