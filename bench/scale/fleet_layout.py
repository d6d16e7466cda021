"""Where the machines of the fleet run stand: regions, zones and sites, addresses, and each router's relays in order.

The third part of an address is the region, so that the stand-in for the network knows it from the address alone.
"""

from __future__ import annotations

from bench.scale.fleet_records import Machine, Router

REGION_COUNT, ZONE_COUNT, SITE_COUNT = 22, 52, 110
REPLICA_COUNT, RELAY_COUNT = 5, 6
FIRST_BLOCK, BLOCK_COUNT = 100, 100  # the second parts of the addresses that runs use: one a run
OUTSIDE_REGIONS = -1  # the region of an address outside of the blocks: neither delayed nor cut
PORT = 7400
CUT_REGION, ONE_WAY_REGION, REAL_REGION = 3, 16, 10
REPLICA_REGIONS = (0, 5, 9, 13, 17)  # none in a region that is cut
RELAY_REGIONS = (0, 3, 7, 11, 14, 18)  # one in CUT_REGION: cut off from all replicas
MAX_ROUTERS_PER_PROCESS = 100
MIN_PROCESSES = 3


def address_block(run: int) -> int:
    """The second part of the addresses of a run, by its process id: runs beside each other do not meet."""
    return FIRST_BLOCK + run % BLOCK_COUNT


def region_of_address(host: str) -> int:
    network, block, region, _ = (int(part) for part in host.split("."))
    return region if network == 127 and FIRST_BLOCK <= block < FIRST_BLOCK + BLOCK_COUNT else OUTSIDE_REGIONS


def address(block: int, region: int, place: int) -> str:
    return f"127.{block}.{region}.{place}"


def replica_machines(block: int) -> list[Machine]:
    return [
        Machine(f"replica-{place}", region, address(block, region, 10), PORT)
        for place, region in enumerate(REPLICA_REGIONS)
    ]


def relay_machines(block: int) -> list[Machine]:
    return [
        Machine(f"relay-{place}", region, address(block, region, 20), PORT)
        for place, region in enumerate(RELAY_REGIONS)
    ]


def relay_order(region: int) -> list[str]:
    """The relay of this part of the world first, then the next ones."""
    first = region * RELAY_COUNT // REGION_COUNT
    if region in RELAY_REGIONS:
        first = RELAY_REGIONS.index(region)
    return [f"relay-{(first + step) % RELAY_COUNT}" for step in range(RELAY_COUNT)]


def hollow_router(place: int, total: int) -> Router:
    site = place * SITE_COUNT // total
    zone = site * ZONE_COUNT // SITE_COUNT
    region = zone * REGION_COUNT // ZONE_COUNT
    return Router(f"hollow-{place}", region, zone, relay_order(region))


def hollow_groups(hollow: int) -> list[list[Router]]:
    """The routers of each hollow process: neighbours together."""
    routers = [hollow_router(place, hollow) for place in range(hollow)]
    group_size = min(MAX_ROUTERS_PER_PROCESS, -(-hollow // MIN_PROCESSES))
    return [routers[start : start + group_size] for start in range(0, hollow, group_size)]
