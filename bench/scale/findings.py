"""What today's flat design cannot do at the design size, in five lines out of the records."""

from __future__ import annotations

from bench.scale import design
from bench.scale.records import RecordedRows
from bench.scale.roles import ROUTER_CONTROL
from bench.scale.tables import EXTRAPOLATED, ROUTERS, amount, at_design, number
from wickhinge.routing.object_counts import MAX_OBJECTS
from wickhinge.store.purges import MAX_PURGES


def limitations(known: RecordedRows) -> str:
    """Five lines, worst first."""
    lines = (lending_ends, leases_last, rosters_of_all, one_service, a_routers_part)
    return "\n".join(f"{place}. {one(known)}" for place, one in enumerate(lines, 1))


def lending_ends(known: RecordedRows) -> str:
    left = at_design(known, "router.lending_usable.share")
    few = known["router.lending_used.share"]
    used = ", ".join(f"{number(value)} by {size:g}" for size, value in zip(few.sizes, few.values, strict=True))
    return (
        f"Budgets: of one of 120 pieces in 3 s, routers used {used}; {left} is left for {ROUTERS:,} processes that may"
        " each spend a piece at once."
    )


def leases_last(known: RecordedRows) -> str:
    term, new, joint = (at_design(known, f"router.name_lease_{one}.time") for one in ("term", "new", "joint"))
    restart = known["router.name_lease_restart.time"].at(ROUTERS)
    without_share = restart * design.RESTARTS_A_DAY / design.DAY
    return (
        f"Name leases: a term lasts {term} s; a new name waits {new} s for its share, a restarted process"
        f" {number(restart)} s ({design.RESTARTS_A_DAY} restarts a day: {number(without_share)} routers without one at"
        f" any time), all of them after a joint start {joint} s."
    )


def rosters_of_all(known: RecordedRows) -> str:
    heard = at_design(known, "router.joint_start.state")
    join, reunion, death = (at_design(known, f"router.{one}.time") for one in ("join", "reunion", "death"))
    return (
        f"Rosters of all: 15 s after a joint start a router has heard {heard} of {ROUTERS - 1:,} others; one that joins"
        f" needs {join} s for nine tenths; halves that meet again need {reunion} s; a death is known after {death} s"
        " (99th percentile)."
    )


def one_service(known: RecordedRows) -> str:
    messages, cores = (at_design(known, f"list_service.watch.{one}") for one in ("messages", "cpu"))
    settings = number(known["control.settings.bytes"].at(ROUTERS) / 1e6)
    return (
        f"One service that all watch: {messages} messages a second out of one process, {cores} cores for its sends"
        f" alone; settings as whole files: {settings} MB a second, and no router knows that it missed one."
    )


def a_routers_part(known: RecordedRows) -> str:
    cpu, sent = (ROUTER_CONTROL.total("ordinary", kind, known).value for kind in ("cpu", "bytes"))
    purges = known["router.purges_lasting.memory"]
    lasting, kept = purges.at(design.PURGES * design.DAY), amount("memory", purges.at(MAX_PURGES))
    k_memory = amount("memory", known["router.k.memory"].at(MAX_OBJECTS))
    return (
        f"A router's control takes {amount('cpu', cpu)} of a core (allowed {amount('cpu', design.ALLOWED_CPU)}) and"
        f" {number(sent)} bytes a second (allowed {design.ALLOWED_BYTES:,}); a day's purges that outlast copies"
        f" {amount('memory', lasting)}{EXTRAPOLATED} (allowed {amount('memory', design.ALLOWED_MEMORY)};"
        f" {MAX_PURGES:,} are kept, {MAX_PURGES / design.PURGES / 60:.0f} minutes' worth, for {kept},"
        " then copies are dropped);"
        f" k is known of {MAX_OBJECTS:,} of {design.OBJECTS / 1e6:g} million objects, for {k_memory}."
    )
