"""Today's flat design, role by role: which recorded rows make up each mechanism's cost at the design size."""

from __future__ import annotations

from bench.scale import design
from bench.scale.model import Costs, Mechanism, RoleModel, Term

BOTH_WAYS = 2
ROUTERS = design.ROUTERS
UDP = design.UDP_HEADERS.value
TCP = design.TCP_HEADERS.value


def datagrams(mechanism: str) -> tuple[Term, ...]:
    return (Term(f"router.{mechanism}.messages", ROUTERS, BOTH_WAYS),)


def datagram_bytes(mechanism: str) -> tuple[Term, ...]:
    """Payload and headers, both ways."""
    return (
        Term(f"router.{mechanism}.bytes", ROUTERS, BOTH_WAYS),
        Term(f"router.{mechanism}.messages", ROUTERS, BOTH_WAYS * UDP),
    )


KNOWING = Term("router.failure_detector.cpu", ROUTERS)
ROSTER = (Term("router.failure_detector.memory", ROUTERS),)


def disturbed(mechanism: str) -> Costs:
    """The whole fleet's processor time in the fault, a router, on top of a quiet router's own with its view."""
    return Costs(
        messages=datagrams(mechanism),
        bytes=datagram_bytes(mechanism),
        cpu=(KNOWING, Term(f"router.{mechanism}.cpu", ROUTERS)),
        memory=ROSTER,
    )


DETECTOR = Mechanism(
    "failure detector, roster",
    "a line and a member for each of the others",
    "peers/detector over UDP",
    "cut off after 2 s without an answer; nobody is called gone then",
    Costs(datagrams("failure_detector"), datagram_bytes("failure_detector"), (KNOWING,), ROSTER),
    {
        "zone_lost": disturbed("death"),
        "regions_lost": disturbed("parted"),
        "reunion": disturbed("reunion"),
    },
)
LENDING = Mechanism(
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
JUDGEMENT_COST = Term("router.judgements.cpu", design.CACHES_OF_ZONE)
JUDGEMENT_MEMORY = Term("router.judgements.memory", design.CACHES_OF_ZONE)
JUDGED = Costs(
    bytes=(Term("router.judgements.bytes", design.CACHES_OF_ZONE, BOTH_WAYS),),
    cpu=(JUDGEMENT_COST,),
    memory=(JUDGEMENT_MEMORY,),
)
JUDGEMENTS = Mechanism(
    "judgements of machines",
    "a word of each witness on each machine; counted as if all were bad, bytes only in faults",
    "shared/judge, riding",
    "words count 6 s; none heard: as alone",
    Costs(cpu=(JUDGEMENT_COST,), memory=(JUDGEMENT_MEMORY,)),
    {"zone_lost": JUDGED, "regions_lost": JUDGED, "reunion": JUDGED},
)
COUNTS = Mechanism(
    "counts of forwards",
    "a tally of each router of the zone",
    "shared/counts, riding",
    "tallies count 3 s; none heard: the guess by an even load",
    Costs(
        bytes=(Term("router.counts.bytes", design.ROUTERS_OF_ZONE, BOTH_WAYS),),
        cpu=(Term("router.counts.cpu", design.ROUTERS_OF_ZONE),),
        memory=(Term("router.counts.memory", design.ROUTERS_OF_ZONE),),
    ),
)
WATCH = Mechanism(
    "list and purge watch",
    "one connection, the last number",
    "net/journal over TCP to one service",
    "1.6 s of silence: connected anew; purges missed meanwhile stay unknown",
    Costs(
        messages=(Term("router.watch.messages", design.PURGES),),
        bytes=(
            Term("router.watch.bytes", design.PURGES),
            Term("router.watch.messages", design.PURGES, BOTH_WAYS * TCP),
        ),
        cpu=(Term("router.watch.cpu", design.PURGES),),
    ),
)
PURGES = Mechanism(
    "purges remembered",
    f"{design.PURGES_HELD.value:.0f} purges",
    "routing.Purges",
    "forgotten 2 s after they are done everywhere",
    Costs(
        cpu=(Term("router.purges.cpu", design.PURGES_HELD.value, design.PURGES),),
        memory=(Term("router.purges.memory", design.PURGES_HELD.value),),
    ),
)
SETTINGS = Mechanism(
    "changes of configuration",
    "the whole settings file, with the roster",
    "a file written to each router, SIGHUP, options/load",
    "the last file that was good, without any age",
    Costs(
        bytes=(Term("router.settings.bytes", ROUTERS),),
        cpu=(Term("router.settings.cpu", ROUTERS),),
    ),
)
PROBES = Mechanism(
    "probes of caches",
    "none",
    "routing.Router.round over RESP",
    "0.25 s, then a failure of that cache",
    Costs(
        messages=(Term("router.probes.messages", design.CACHES_OF_ZONE, BOTH_WAYS),),
        bytes=(Term("router.probes.messages", design.CACHES_OF_ZONE, design.PROBE_BYTES.value + BOTH_WAYS * TCP),),
        cpu=(Term("router.probes.cpu", design.CACHES_OF_ZONE),),
    ),
)
LOG = Mechanism(
    "log lines of control",
    "2,000 lines at most while the reader stands still",
    "net/log to standard output",
    "what does not fit is counted and dropped",
    Costs(
        cpu=(Term("router.log.cpu", 1000, design.LOG_RATE.value / 1000),),
        memory=(Term("router.log.memory", 2000),),
    ),
)
ROUTER_CONTROL = RoleModel(
    "Router, for control",
    (DETECTOR, LENDING, JUDGEMENTS, COUNTS, WATCH, PURGES, SETTINGS, PROBES, LOG),
    {"cpu": design.ALLOWED_CPU, "memory": design.ALLOWED_MEMORY, "bytes": design.ALLOWED_BYTES},
)

SERVING_PEAK = Costs(
    cpu=(Term("router.k.cpu", 20_000, design.REQUESTS_OF_ROUTER),), memory=(Term("router.k.memory", 20_000),)
)
K = Mechanism(
    "k of objects",
    "20,000 of 570 million objects",
    "routing.ObjectCounts",
    "forgotten after four idle times",
    SERVING_PEAK,
)
CANDIDATES = Mechanism(
    "candidates of a request",
    "the zone's caches",
    "routing.Endpoints.in_order",
    "the last list, without any age",
    Costs(
        cpu=(Term("router.candidates.cpu", design.CACHES_OF_ZONE, design.REQUESTS_OF_ROUTER),),
        memory=(Term("router.list.memory", design.CACHES_OF_ZONE),),
    ),
)
CONNECTIONS = Mechanism(
    "connections to the zone's caches",
    "4 a cache at most; a third of the descriptors",
    "net/caches",
    "an idle one is closed before the cache closes it",
    Costs(memory=(Term("router.connections.memory", design.CACHES_OF_ZONE),)),
)
LASTING = Mechanism(
    "purges that outlast copies on disk",
    "each purge of a day, one by one, as would be needed; the program merges past 100,000",
    "store/purged",
    "the older half becomes one purge of everything",
    Costs(
        memory=(Term("router.purges_lasting.memory", design.PURGES * design.DAY * design.LASTING_DAYS.value),),
    ),
)
ROUTER_SERVING = RoleModel(
    "Router, for requests (taken at the peak)", (K, CANDIDATES, CONNECTIONS, LASTING), {"memory": design.ALLOWED_MEMORY}
)

TOLD = Costs(
    messages=(Term("list_service.watch.messages", ROUTERS),),
    bytes=(
        Term("list_service.watch.bytes", ROUTERS),
        Term("list_service.watch.messages", ROUTERS, BOTH_WAYS * TCP),
    ),
    cpu=(Term("list_service.watch.cpu", ROUTERS),),
)
BACKLOG = design.LOST_MINUTES.value * 60 * design.CUT_OFF_SHARE.value / design.CHANGE_WITHIN  # seconds told in one


def told_again() -> Costs:
    """What those who were cut off missed, told within CHANGE_WITHIN, besides what is new."""
    return Costs(
        messages=(Term("list_service.watch.messages", ROUTERS, 1 + BACKLOG),),
        bytes=(
            Term("list_service.watch.bytes", ROUTERS, 1 + BACKLOG),
            Term("list_service.watch.messages", ROUTERS, BOTH_WAYS * TCP),
        ),
        cpu=(Term("list_service.watch.cpu", ROUTERS, 1 + BACKLOG),),
    )


SERVICE = RoleModel(
    "List service's side",
    (
        Mechanism(
            "watch of all routers",
            "1,600 connections, a place in the log each",
            "one process that the operator runs",
            "none: routers cannot tell a service that is behind from one with nothing to tell",
            TOLD,
            {"reunion": told_again()},
        ),
    ),
    {"cpu": design.SERVICE_CORES.value},
)

CONTROL = RoleModel(
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
ROLES = (ROUTER_CONTROL, ROUTER_SERVING, SERVICE, CONTROL)
