"""What the flat design cannot do at the design size, in five lines computed from the records."""

from __future__ import annotations

from bench.scale import design
from bench.scale.records import RecordedRows
from bench.scale.roles import ROUTER_CONTROL
from bench.scale.tables import EXTRAPOLATED_MARK, ROUTERS, format_amount, format_number, value_at_design
from wickhinge.routing.object_counts import MAX_OBJECTS
from wickhinge.store.purges import MAX_PURGES


def limitations(recorded: RecordedRows) -> str:
    """Return the five limitations as a numbered list, the worst first."""
    lines = (usable_budget_line, name_lease_line, roster_line, list_service_line, router_control_line)
    return "\n".join(f"{place}. {one(recorded)}" for place, one in enumerate(lines, 1))


def usable_budget_line(recorded: RecordedRows) -> str:
    left = value_at_design(recorded, "router.lending_usable.share")
    used_shares = recorded["router.lending_used.share"]
    used = ", ".join(
        f"{format_number(value)} by {size:g}" for size, value in zip(used_shares.sizes, used_shares.values, strict=True)
    )
    return (
        f"Budgets: of one of 120 pieces in 3 s, routers used {used}; {left} is left for {ROUTERS:,} processes that may"
        " each spend a piece at once."
    )


def name_lease_line(recorded: RecordedRows) -> str:
    term, new, joint = (value_at_design(recorded, f"router.name_lease_{one}.time") for one in ("term", "new", "joint"))
    restart_s = recorded["router.name_lease_restart.time"].value_at(ROUTERS)
    without_share = restart_s * design.RESTARTS_PER_DAY / design.DAY_S
    return (
        f"Name leases: a term lasts {term} s; a new name waits {new} s for its share, a restarted process"
        f" {format_number(restart_s)} s ({design.RESTARTS_PER_DAY} restarts a day:"
        f" {format_number(without_share)} routers without one at any time), all of them after a joint start {joint} s."
    )


def roster_line(recorded: RecordedRows) -> str:
    heard = value_at_design(recorded, "router.joint_start.state")
    join, reunion, death = (value_at_design(recorded, f"router.{one}.time") for one in ("join", "reunion", "death"))
    return (
        f"Rosters of all: 15 s after a joint start a router has heard {heard} of {ROUTERS - 1:,} others; one that joins"
        f" needs {join} s for nine tenths; halves that meet again need {reunion} s; a death is known after {death} s"
        " (99th percentile)."
    )


def list_service_line(recorded: RecordedRows) -> str:
    messages, cores = (value_at_design(recorded, f"list_service.watch.{one}") for one in ("messages", "cpu"))
    settings = format_number(recorded["control.settings.bytes"].value_at(ROUTERS) / 1e6)
    return (
        f"One service that all watch: {messages} messages a second out of one process, {cores} cores for its sends"
        f" alone; settings as whole files: {settings} MB a second, and no router knows that it missed one."
    )


def router_control_line(recorded: RecordedRows) -> str:
    cores, bytes_per_s = (ROUTER_CONTROL.total("ordinary", kind, recorded).value for kind in ("cpu", "bytes"))
    purges = recorded["router.purges_lasting.memory"]
    lasting, kept = (
        purges.value_at(design.PURGES_PER_S * design.DAY_S),
        format_amount("memory", purges.value_at(MAX_PURGES)),
    )
    k_memory = format_amount("memory", recorded["router.k.memory"].value_at(MAX_OBJECTS))
    return (
        f"A router's control takes {format_amount('cpu', cores)} of a core"
        f" (allowed {format_amount('cpu', design.ALLOWED_CPU_CORES)}) and"
        f" {format_number(bytes_per_s)} bytes a second (allowed {design.ALLOWED_BYTES_PER_S:,});"
        " a day's purges that outlast copies"
        f" {format_amount('memory', lasting)}{EXTRAPOLATED_MARK}"
        f" (allowed {format_amount('memory', design.ALLOWED_MEMORY_BYTES)};"
        f" {MAX_PURGES:,} are kept, {MAX_PURGES / design.PURGES_PER_S / 60:.0f} minutes' worth, for {kept},"
        " then copies are dropped);"
        f" k is known of {MAX_OBJECTS:,} of {design.OBJECTS / 1e6:g} million objects, for {k_memory}."
    )
