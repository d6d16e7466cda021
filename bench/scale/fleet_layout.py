"""Where the machines of the fleet run stand: regions, zones and sites, addresses, and each router's relays in order.

The third part of an address is the region, so that the stand-in for the network knows it from the address alone.
"""

from __future__ import annotations

from bench.scale.fleet_records import Machine, Router

REGIONS, ZONES, SITES = 22, 52, 110
REPLICAS, RELAYS = 5, 6
FIRST_BLOCK, BLOCKS = 100, 100  # the second parts of the addresses that runs use: one a run
NOT_PLACED = -1  # the region of an address outside of the blocks: neither delayed nor cut
PORT = 7400
CUT_REGION, ONE_WAY_REGION, REAL_REGION = 3, 16, 10
REPLICA_REGIONS = (0, 5, 9, 13, 17)  # none in a region that is cut
RELAY_REGIONS = (0, 3, 7, 11, 14, 18)  # one in CUT_REGION: cut off from all replicas
ROUTERS_A_PROCESS = 100
LEAST_PROCESSES = 3


def block_of(run: int) -> int:
    """The second part of the addresses of a run, by its process id: runs beside each other do not meet."""
    return FIRST_BLOCK + run % BLOCKS


def region_of(host: str) -> int:
    network, block, region, _ = (int(part) for part in host.split("."))
    return region if network == 127 and FIRST_BLOCK <= block < FIRST_BLOCK + BLOCKS else NOT_PLACED


def address(block: int, region: int, place: int) -> str:
    return f"127.{block}.{region}.{place}"


def replicas(block: int) -> list[Machine]:
    return [
        Machine(f"replica-{place}", region, address(block, region, 10), PORT)
        for place, region in enumerate(REPLICA_REGIONS)
    ]


def relays(block: int) -> list[Machine]:
    return [
        Machine(f"relay-{place}", region, address(block, region, 20), PORT)
        for place, region in enumerate(RELAY_REGIONS)
    ]


def relay_order(region: int) -> list[str]:
    """The relay of this part of the world first, then the next ones."""
    first = region * RELAYS // REGIONS
    if region in RELAY_REGIONS:
        first = RELAY_REGIONS.index(region)
    return [f"relay-{(first + step) % RELAYS}" for step in range(RELAYS)]


def router(place: int, total: int) -> Router:
    site = place * SITES // total
    zone = site * ZONES // SITES
    region = zone * REGIONS // ZONES
    return Router(f"hollow-{place}", region, zone, relay_order(region))


def groups(hollow: int) -> list[list[Router]]:
    """The routers of each hollow process: neighbours together."""
    routers = [router(place, hollow) for place in range(hollow)]
    most = min(ROUTERS_A_PROCESS, -(-hollow // LEAST_PROCESSES))
    return [routers[start : start + most] for start in range(0, hollow, most)]
