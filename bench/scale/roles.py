"""The flat design, role by role: the recorded rows that make up each mechanism's cost at the design size.

In the flat design all routers exchange datagrams with each other and watch one list service; there are no relays.
"""

from __future__ import annotations

from bench.scale import design
from bench.scale.model import Costs, Mechanism, RoleModel, Term

# The rows hold what one side sends; it receives as much.
BOTH_WAYS = 2
ROUTERS = design.ROUTERS
UDP_HEADERS = design.UDP_HEADER_BYTES.value
TCP_HEADERS = design.TCP_HEADER_BYTES.value


def datagram_messages(mechanism: str) -> tuple[Term, ...]:
    """Return the datagrams that one router sends and receives for a mechanism."""
    return (Term(f"router.{mechanism}.messages", ROUTERS, BOTH_WAYS),)


def datagram_bytes(mechanism: str) -> tuple[Term, ...]:
    """Return the bytes of payload and of UDP headers that one router sends and receives for a mechanism."""
    return (
        Term(f"router.{mechanism}.bytes", ROUTERS, BOTH_WAYS),
        Term(f"router.{mechanism}.messages", ROUTERS, BOTH_WAYS * UDP_HEADERS),
    )


DETECTOR_CPU = Term("router.failure_detector.cpu", ROUTERS)
ROSTER_MEMORY = (Term("router.failure_detector.memory", ROUTERS),)


def detector_costs_in_fault(mechanism: str) -> Costs:
    """Return one router's costs of failure detection during a fault.

    CPU time is the cost of a quiet router, which includes its view of the fleet, plus the whole fleet's CPU time in
    the fault divided by the number of routers.
    """
    return Costs(
        messages=datagram_messages(mechanism),
        bytes=datagram_bytes(mechanism),
        cpu=(DETECTOR_CPU, Term(f"router.{mechanism}.cpu", ROUTERS)),
        memory=ROSTER_MEMORY,
    )


FAILURE_DETECTOR = Mechanism(
    "failure detector, roster",
    "a line and a member for each of the others",
    "peers/detector over UDP",
    "cut off after 2 s without an answer; nobody is called gone then",
    Costs(datagram_messages("failure_detector"), datagram_bytes("failure_detector"), (DETECTOR_CPU,), ROSTER_MEMORY),
    {
        "zone_lost": detector_costs_in_fault("death"),
        "regions_lost": detector_costs_in_fault("parted"),
        "reunion": detector_costs_in_fault("reunion"),
    },
)
QUOTA_LENDING = Mechanism(
    "lending and name leases",
    "grants given and had; loans; levels of all",
    "shared/lending, riding on the detector's datagrams",
    "its share until its term ends, then F r / P",
    Costs(
        bytes=(Term("router.lending.bytes", ROUTERS, BOTH_WAYS),),
        cpu=(Term("router.lending.cpu", ROUTERS),),
        memory=(Term("router.name_lease.memory", ROUTERS),),
    ),
)
JUDGEMENT_CPU = Term("router.judgements.cpu", design.CACHES_PER_ZONE)
JUDGEMENT_MEMORY = Term("router.judgements.memory", design.CACHES_PER_ZONE)
JUDGEMENT_COSTS_IN_FAULT = Costs(
    bytes=(Term("router.judgements.bytes", design.CACHES_PER_ZONE, BOTH_WAYS),),
    cpu=(JUDGEMENT_CPU,),
    memory=(JUDGEMENT_MEMORY,),
)
CACHE_VERDICTS = Mechanism(
    "judgements of machines",
    "a word of each witness on each machine; counted as if all were bad, bytes only in faults",
    "shared/judge, riding",
    "words count 6 s; none heard: as alone",
    Costs(cpu=(JUDGEMENT_CPU,), memory=(JUDGEMENT_MEMORY,)),
    {
        "zone_lost": JUDGEMENT_COSTS_IN_FAULT,
        "regions_lost": JUDGEMENT_COSTS_IN_FAULT,
        "reunion": JUDGEMENT_COSTS_IN_FAULT,
    },
)
REQUEST_TALLIES = Mechanism(
    "counts of forwards",
    "a tally of each router of the zone",
    "shared/counts, riding",
    "tallies count 3 s; none heard: the guess by an even load",
    Costs(
        bytes=(Term("router.counts.bytes", design.ROUTERS_PER_ZONE, BOTH_WAYS),),
        cpu=(Term("router.counts.cpu", design.ROUTERS_PER_ZONE),),
        memory=(Term("router.counts.memory", design.ROUTERS_PER_ZONE),),
    ),
)
ENDPOINT_WATCH = Mechanism(
    "list and purge watch",
    "one connection, the last number",
    "net/journal over TCP to one service",
    "1.6 s of silence: connected anew; purges missed meanwhile stay unknown",
    Costs(
        messages=(Term("router.watch.messages", design.PURGES_PER_S),),
        bytes=(
            Term("router.watch.bytes", design.PURGES_PER_S),
            Term("router.watch.messages", design.PURGES_PER_S, BOTH_WAYS * TCP_HEADERS),
        ),
        cpu=(Term("router.watch.cpu", design.PURGES_PER_S),),
    ),
)
RECENT_PURGES = Mechanism(
    "purges remembered",
    f"{design.REMEMBERED_PURGES.value:.0f} purges",
    "routing.Purges",
    "forgotten 2 s after they are done everywhere",
    Costs(
        cpu=(Term("router.purges.cpu", design.REMEMBERED_PURGES.value, design.PURGES_PER_S),),
        memory=(Term("router.purges.memory", design.REMEMBERED_PURGES.value),),
    ),
)
SETTINGS_FILES = Mechanism(
    "changes of configuration",
    "the whole settings file, with the roster",
    "a file written to each router, SIGHUP, options/load",
    "the last file that was good, without any age",
    Costs(
        bytes=(Term("router.settings.bytes", ROUTERS),),
        cpu=(Term("router.settings.cpu", ROUTERS),),
    ),
)
CACHE_PROBES = Mechanism(
    "probes of caches",
    "none",
    "routing.Router.round over RESP",
    "0.25 s, then a failure of that cache",
    Costs(
        messages=(Term("router.probes.messages", design.CACHES_PER_ZONE, BOTH_WAYS),),
        bytes=(
            Term(
                "router.probes.messages",
                design.CACHES_PER_ZONE,
                design.CACHE_PROBE_BYTES.value + BOTH_WAYS * TCP_HEADERS,
            ),
        ),
        cpu=(Term("router.probes.cpu", design.CACHES_PER_ZONE),),
    ),
)
CONTROL_LOG = Mechanism(
    "log lines of control",
    "2,000 lines at most while the reader stands still",
    "net/log to standard output",
    "what does not fit is counted and dropped",
    Costs(
        cpu=(Term("router.log.cpu", 1000, design.LOG_LINES_PER_S.value / 1000),),
        memory=(Term("router.log.memory", 2000),),
    ),
)
ROUTER_CONTROL = RoleModel(
    "Router, for control",
    (
        FAILURE_DETECTOR,
        QUOTA_LENDING,
        CACHE_VERDICTS,
        REQUEST_TALLIES,
        ENDPOINT_WATCH,
        RECENT_PURGES,
        SETTINGS_FILES,
        CACHE_PROBES,
        CONTROL_LOG,
    ),
    {"cpu": design.ALLOWED_CPU_CORES, "memory": design.ALLOWED_MEMORY_BYTES, "bytes": design.ALLOWED_BYTES_PER_S},
)

OBJECT_COUNT_COSTS = Costs(
    cpu=(Term("router.k.cpu", 20_000, design.PEAK_REQUESTS_PER_ROUTER),), memory=(Term("router.k.memory", 20_000),)
)
OBJECT_COUNTS = Mechanism(
    "k of objects",
    "20,000 of 570 million objects",
    "routing.ObjectCounts",
    "forgotten after four idle times",
    OBJECT_COUNT_COSTS,
)
CANDIDATE_ORDER = Mechanism(
    "candidates of a request",
    "the zone's caches",
    "routing.Endpoints.in_order",
    "the last list, without any age",
    Costs(
        cpu=(Term("router.candidates.cpu", design.CACHES_PER_ZONE, design.PEAK_REQUESTS_PER_ROUTER),),
        memory=(Term("router.list.memory", design.CACHES_PER_ZONE),),
    ),
)
CACHE_CONNECTIONS = Mechanism(
    "connections to the zone's caches",
    "4 a cache at most; a third of the descriptors",
    "net/caches",
    "an idle one is closed before the cache closes it",
    Costs(memory=(Term("router.connections.memory", design.CACHES_PER_ZONE),)),
)
LASTING_PURGES = Mechanism(
    "purges that outlast copies on disk",
    "each purge of a day, one by one, as would be needed; the program merges past 100,000",
    "store/purged",
    "the older half becomes one purge of everything",
    Costs(
        memory=(
            Term("router.purges_lasting.memory", design.PURGES_PER_S * design.DAY_S * design.LASTING_PURGE_DAYS.value),
        ),
    ),
)
ROUTER_SERVING = RoleModel(
    "Router, for requests (taken at the peak)",
    (OBJECT_COUNTS, CANDIDATE_ORDER, CACHE_CONNECTIONS, LASTING_PURGES),
    {"memory": design.ALLOWED_MEMORY_BYTES},
)

SERVICE_WATCH_COSTS = Costs(
    messages=(Term("list_service.watch.messages", ROUTERS),),
    bytes=(
        Term("list_service.watch.bytes", ROUTERS),
        Term("list_service.watch.messages", ROUTERS, BOTH_WAYS * TCP_HEADERS),
    ),
    cpu=(Term("list_service.watch.cpu", ROUTERS),),
)
# What the routers that were cut off missed has to be sent within CHANGE_BOUND_S, besides what is new. The factor is
# the seconds' worth of changes that is sent additionally per second, averaged over all routers.
BACKLOG_FACTOR = design.REGION_CUT_MINUTES.value * 60 * design.CUT_OFF_SHARE.value / design.CHANGE_BOUND_S


def service_watch_costs_at_reunion() -> Costs:
    """Return the list service's costs while it sends new changes and those that the cut-off routers missed."""
    return Costs(
        messages=(Term("list_service.watch.messages", ROUTERS, 1 + BACKLOG_FACTOR),),
        bytes=(
            Term("list_service.watch.bytes", ROUTERS, 1 + BACKLOG_FACTOR),
            Term("list_service.watch.messages", ROUTERS, BOTH_WAYS * TCP_HEADERS),
        ),
        cpu=(Term("list_service.watch.cpu", ROUTERS, 1 + BACKLOG_FACTOR),),
    )


LIST_SERVICE = RoleModel(
    "List service's side",
    (
        Mechanism(
            "watch of all routers",
            "1,600 connections, a place in the log each",
            "one process that the operator runs",
            "none: routers cannot tell a service that is behind from one with nothing to tell",
            SERVICE_WATCH_COSTS,
            {"reunion": service_watch_costs_at_reunion()},
        ),
    ),
    {"cpu": design.SERVICE_CORES.value},
)

CONTROL_MACHINES = RoleModel(
    "Machines set aside for control",
    (
        Mechanism(
            "changes of configuration, written to each router",
            "the operator's own; the flat design uses none of the 11 machines",
            "the operator's copying of files",
            "none: no router knows that it missed a change",
            Costs(
                messages=(Term("control.settings.messages", ROUTERS),),
                bytes=(Term("control.settings.bytes", ROUTERS),),
            ),
        ),
    ),
)
ROLES = (ROUTER_CONTROL, ROUTER_SERVING, LIST_SERVICE, CONTROL_MACHINES)
