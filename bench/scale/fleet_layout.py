"""Where the machines of the fleet run stand: regions, zones and sites, addresses, and each router's relays in order.

The third part of an address is the region, so that the stand-in for the network knows it from the address alone.
"""

from __future__ import annotations

from bench.scale.fleet_records import Machine, Router

REGIONS, ZONES, SITES = 22, 52, 110
REPLICAS, RELAYS = 5, 6
BLOCK = "127.90"
NOT_PLACED = -1  # the region of an address outside of BLOCK: neither delayed nor cut
PORT = 7400
CUT_REGION, ONE_WAY_REGION, REAL_REGION = 3, 16, 10
REPLICA_REGIONS = (0, 5, 9, 13, 17)  # none in a region that is cut
RELAY_REGIONS = (0, 3, 7, 11, 14, 18)  # one in CUT_REGION: cut off from all replicas
ROUTERS_A_PROCESS = 100
LEAST_PROCESSES = 3


def region_of(host: str) -> int:
    parts = host.split(".")
    return int(parts[2]) if host.startswith(BLOCK + ".") else NOT_PLACED


def address(region: int, place: int) -> str:
    return f"{BLOCK}.{region}.{place}"


def replicas() -> list[Machine]:
    return [
        Machine(f"replica-{place}", region, address(region, 10), PORT) for place, region in enumerate(REPLICA_REGIONS)
    ]


def relays() -> list[Machine]:
    return [Machine(f"relay-{place}", region, address(region, 20), PORT) for place, region in enumerate(RELAY_REGIONS)]


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
