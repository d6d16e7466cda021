"""Quota lending: its cost at one router, and the share of a budget that a number of routers can use."""

from __future__ import annotations

from collections.abc import Callable

from bench.peers import used_budget_share
from bench.scale.meter import Meter
from bench.scale.one_router import ZONES, OneRouter
from bench.scale.records import Row, row
from wickhinge.lab.many.simulation import BUDGETS
from wickhinge.peers.detector import FailureDetector
from wickhinge.shared import slow_start_quota
from wickhinge.shared.budgets import BURST_S, BudgetDivision
from wickhinge.shared.name_lease import lease_term_s
from wickhinge.shared.quota_bucket import Quota, QuotaBucket
from wickhinge.shared.quota_lending import LendingLimiter

# Processes that a budget is divided for beyond the number of names.
SPARE_PROCESSES = 2
# Start time of a peer that has been running since long before the bench.
STARTED_LONG_AGO_S = -1e6


def budget_division(routers: int) -> BudgetDivision:
    return BudgetDivision(routers, routers + SPARE_PROCESSES)


def lending_attacher(routers: int) -> Callable[[FailureDetector, float], list[Callable[[float], None]]]:
    """Return a function that attaches a lending limiter to the measured router's failure detector."""

    def attach_to_router(detector: FailureDetector, now: float) -> list[Callable[[float], None]]:
        zone = detector.roster.local.zone
        return [LendingLimiter(detector, budget_division(routers), slow_start_quota.budget_scopes(zone), now).tick]

    return attach_to_router


def peer_attacher(routers: int) -> Callable[[FailureDetector, float], None]:
    """Return a function that attaches a lending limiter to a peer.

    The peer has been running for long and votes on leases as in a fleet of `routers`.
    """

    def attach_to_peer(detector: FailureDetector, now: float) -> None:
        limiter = LendingLimiter(
            detector, budget_division(routers), slow_start_quota.budget_scopes(detector.roster.local.zone), now
        )
        limiter.leases.roster_size, limiter.leases.term_s, limiter.leases.started_at = (
            routers,
            lease_term_s(routers),
            STARTED_LONG_AGO_S,
        )

    return attach_to_peer


def router_with_lending(routers: int, seed: int) -> OneRouter:
    return OneRouter(routers, seed, True, lending_attacher(routers), peer_attacher(routers))


def usable_share(routers: int) -> float:
    """Return the share of a budget that remains usable when each process may spend one unit at the same moment."""
    budget, window, unit = BUDGETS[0]
    return QuotaBucket(Quota(budget, window, unit), routers, BURST_S, 0.0).total_rate * window / budget


def rows(meter: Meter) -> list[Row]:
    sizes = meter.sizes(50, 100, 200, 400, 800, 1600)
    seconds = 3.0 if meter.quick else 20.0
    added_cpu, added_bytes_per_s = [], []
    for size in sizes:
        without_lending, with_lending = OneRouter(size, meter.seed), router_with_lending(size, meter.seed)
        # The router holds its lease once a majority has been asked; until then its tables are smaller.
        with_lending.run(1.0 if meter.quick else min(0.3 * size, 150.0))
        differences = [
            with_lending.cpu_per_s(seconds) - without_lending.cpu_per_s(seconds) for _ in range(meter.rounds)
        ]
        added_cpu.append(max(sorted(differences)[len(differences) // 2], 1e-7))
        without_lending.bytes_sent = with_lending.bytes_sent = 0
        without_lending.run(10.0)
        with_lending.run(10.0)
        added_bytes_per_s.append((with_lending.bytes_sent - without_lending.bytes_sent) / 10.0)
    borrowers = meter.sizes(2, 3, 4, 5) if meter.quick else [2, 4, 8, 16, 32]
    used_shares = [used_budget_share(size, meter.seed, ()) for size in borrowers]
    processes = meter.sizes(2, 16, 60, 100, 400, 1600)
    usable_shares = [usable_share(size) for size in processes]
    return [
        row(
            "lending",
            "router",
            "cpu",
            "routers",
            sizes,
            added_cpu,
            "core",
            "virtual",
            f"thread CPU time with lending less without, two budgets, {ZONES} zones, nothing cold",
        ),
        row(
            "lending",
            "router",
            "bytes",
            "routers",
            sizes,
            added_bytes_per_s,
            "B/s",
            "virtual",
            "datagrams sent with lending less without",
        ),
        row(
            "lending_used",
            "router",
            "share",
            "routers",
            borrowers,
            used_shares,
            "share",
            "virtual",
            "of a budget of 120 in 3 s by pieces of 1, one router in need",
        ),
        row(
            "lending_usable",
            "router",
            "share",
            "processes",
            processes,
            usable_shares,
            "share",
            "computed",
            "Bucket.rate of a budget of 120 in 3 s by pieces of 1",
        ),
    ]
