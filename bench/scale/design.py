"""Sizes of the planned fleet, the allowances for its control traffic, and the assumptions of the capacity page."""

from __future__ import annotations

from dataclasses import dataclass

ROUTERS = 1600
SITES = 110
CACHES = 710
REGIONS = 22
ZONES = 52
OBJECTS = 570e6
PEAK_REQUESTS_PER_S = 1.1e6
PURGES_PER_S = 27
CHANGES_PER_DAY = 7300
RESTARTS_PER_DAY = 290
CONTROL_MACHINES = 11
# A purge is done on every router within this time.
PURGE_BOUND_S = 3.1
# A change of configuration has reached every router within this time.
CHANGE_BOUND_S = 7.0
DAY_S = 86_400

# The share of one core that a router may spend on control.
ALLOWED_CPU_CORES = 0.019
# The memory that a router may use for control.
ALLOWED_MEMORY_BYTES = 32e6
# The control traffic that a router may send and receive together.
ALLOWED_BYTES_PER_S = 2000

ROUTERS_PER_ZONE = round(ROUTERS / ZONES)
CACHES_PER_ZONE = round(CACHES / ZONES)
# Requests per second that one router gets at the peak.
PEAK_REQUESTS_PER_ROUTER = PEAK_REQUESTS_PER_S / ROUTERS


@dataclass(frozen=True, slots=True)
class Assumption:
    """A number that the capacity page uses and that no run measured.

    Attributes:
        name: Description printed in the capacity page.
        value: The assumed number.
        unit: Unit of the value, "" for a count.
        source: Where the number comes from.
    """

    name: str
    value: float
    unit: str
    source: str


UDP_HEADER_BYTES = Assumption("UDP and IPv4 headers of a datagram", 28, "B", "RFC 768 (8), RFC 791 (20), no options")
TCP_HEADER_BYTES = Assumption(
    "TCP and IPv4 headers of a segment", 52, "B", "RFC 9293 (20), RFC 7323 timestamps (12), IPv4"
)
CACHE_PROBE_BYTES = Assumption("a probe of a cache and its answer, payload", 250, "B", "estimate; not measured")
REMEMBERED_PURGES = Assumption(
    "purges that a router remembers",
    PURGES_PER_S * (PURGE_BOUND_S + 2.0),
    "",
    "rate times (done within + 2 s), routing.Purges",
)
LASTING_PURGE_DAYS = Assumption(
    "days for which a purge must outlast copies on disk", 1, "day", "operators' shortest use"
)
LOG_LINES_PER_S = Assumption(
    "log lines of control a router writes", 1, "1/s", "estimate: changes of state, not requests"
)
REGION_CUT_MINUTES = Assumption("minutes for which regions lose each other", 5, "min", "design: minutes; 5 is a guess")
CUT_OFF_SHARE = Assumption("routers cut off from the service then", 0.5, "share", "a cut in halves, the worst")
SERVICE_CORES = Assumption("cores of the list service's one process", 1, "core", "it hands down one log in order")
PEAK_REQUESTS_OF_A_ROUTER = Assumption(
    "requests a router and second at the peak",
    PEAK_REQUESTS_PER_ROUTER,
    "1/s",
    "design: 1.1 million over 1,600, even",
)
ROUTERS_OF_A_ZONE = Assumption("routers of a zone", ROUTERS_PER_ZONE, "", "design: 1,600 over 52, even")
CACHES_OF_A_ZONE = Assumption("caches of a zone", CACHES_PER_ZONE, "", "design: 710 over 52, even; parents not counted")

ASSUMPTIONS = (
    UDP_HEADER_BYTES,
    TCP_HEADER_BYTES,
    CACHE_PROBE_BYTES,
    REMEMBERED_PURGES,
    LASTING_PURGE_DAYS,
    LOG_LINES_PER_S,
    REGION_CUT_MINUTES,
    CUT_OFF_SHARE,
    SERVICE_CORES,
    PEAK_REQUESTS_OF_A_ROUTER,
    ROUTERS_OF_A_ZONE,
    CACHES_OF_A_ZONE,
)
