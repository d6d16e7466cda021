"""The fleet that is to come, what is allowed for its control, and what the capacity page assumes."""

from __future__ import annotations

from dataclasses import dataclass

ROUTERS = 1600
SITES = 110
CACHES = 710
REGIONS = 22
ZONES = 52
OBJECTS = 570e6
REQUESTS = 1.1e6  # a second, at the peak
PURGES = 27  # a second
CHANGES_A_DAY = 7300
RESTARTS_A_DAY = 290
CONTROL_MACHINES = 11
PURGE_WITHIN = 3.1  # seconds, everywhere
CHANGE_WITHIN = 7.0
DAY = 86_400

ALLOWED_CPU = 0.019  # of a core, a router's for control
ALLOWED_MEMORY = 32e6  # bytes
ALLOWED_BYTES = 2000  # a second, both ways

ROUTERS_OF_ZONE = round(ROUTERS / ZONES)
CACHES_OF_ZONE = round(CACHES / ZONES)
REQUESTS_OF_ROUTER = REQUESTS / ROUTERS


@dataclass(frozen=True, slots=True)
class Assumption:
    """A number that no run gave."""

    name: str
    value: float
    unit: str
    source: str


UDP_HEADERS = Assumption("UDP and IPv4 headers of a datagram", 28, "B", "RFC 768 (8), RFC 791 (20), no options")
TCP_HEADERS = Assumption("TCP and IPv4 headers of a segment", 52, "B", "RFC 9293 (20), RFC 7323 timestamps (12), IPv4")
PROBE_BYTES = Assumption("a probe of a cache and its answer, payload", 250, "B", "estimate; not measured")
PURGES_HELD = Assumption(
    "purges that a router remembers",
    PURGES * (PURGE_WITHIN + 2.0),
    "",
    "rate times (done within + 2 s), routing.Purges",
)
LASTING_DAYS = Assumption("days for which a purge must outlast copies on disk", 1, "day", "operators' shortest use")
LOG_RATE = Assumption("log lines of control a router writes", 1, "1/s", "estimate: changes of state, not requests")
LOST_MINUTES = Assumption("minutes for which regions lose each other", 5, "min", "design: minutes; 5 is a guess")
CUT_OFF_SHARE = Assumption("routers cut off from the service then", 0.5, "share", "a cut in halves, the worst")
SERVICE_CORES = Assumption("cores of the list service's one process", 1, "core", "it hands down one log in order")
REQUEST_SHARE = Assumption(
    "requests a router and second at the peak", REQUESTS_OF_ROUTER, "1/s", "design: 1.1 million over 1,600, even"
)
ZONE_ROUTERS = Assumption("routers of a zone", ROUTERS_OF_ZONE, "", "design: 1,600 over 52, even")
ZONE_CACHES = Assumption("caches of a zone", CACHES_OF_ZONE, "", "design: 710 over 52, even; parents not counted")

ASSUMPTIONS = (
    UDP_HEADERS,
    TCP_HEADERS,
    PROBE_BYTES,
    PURGES_HELD,
    LASTING_DAYS,
    LOG_RATE,
    LOST_MINUTES,
    CUT_OFF_SHARE,
    SERVICE_CORES,
    REQUEST_SHARE,
    ZONE_ROUTERS,
    ZONE_CACHES,
)
