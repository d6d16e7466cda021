"""Lending of budgets: its cost at one router, and how much of a budget can be used by how many."""

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

SPARE = 2  # processes more than names
LONG_AGO = -1e6


def division(routers: int) -> BudgetDivision:
    return BudgetDivision(routers, routers + SPARE)


def attach(routers: int) -> Callable[[FailureDetector, float], list[Callable[[float], None]]]:
    def to_router(detector: FailureDetector, now: float) -> list[Callable[[float], None]]:
        zone = detector.roster.local.zone
        return [LendingLimiter(detector, division(routers), slow_start_quota.budget_scopes(zone), now).tick]

    return to_router


def attach_peer(routers: int) -> Callable[[FailureDetector, float], None]:
    """A peer that has been there for long, and votes as in the whole fleet."""

    def to_peer(detector: FailureDetector, now: float) -> None:
        limiter = LendingLimiter(
            detector, division(routers), slow_start_quota.budget_scopes(detector.roster.local.zone), now
        )
        limiter.leases.roster_size, limiter.leases.term_s, limiter.leases.started_at = (
            routers,
            lease_term_s(routers),
            LONG_AGO,
        )

    return to_peer


def router_with_lending(routers: int, seed: int) -> OneRouter:
    return OneRouter(routers, seed, True, attach(routers), attach_peer(routers))


def usable(routers: int) -> float:
    """The part of a budget that is left when each process may spend one piece at the same moment."""
    most, window, unit = BUDGETS[0]
    return QuotaBucket(Quota(most, window, unit), routers, BURST_S, 0.0).total_rate * window / most


def rows(meter: Meter) -> list[Row]:
    sizes = meter.sizes(50, 100, 200, 400, 800, 1600)
    seconds = 3.0 if meter.quick else 20.0
    more_cpu, more_bytes = [], []
    for size in sizes:
        plain, lending = OneRouter(size, meter.seed), router_with_lending(size, meter.seed)
        # The lease is held once a majority has been asked; until then the tables are smaller.
        lending.run(1.0 if meter.quick else min(0.3 * size, 150.0))
        differences = [lending.cpu(seconds) - plain.cpu(seconds) for _ in range(meter.rounds)]
        more_cpu.append(max(sorted(differences)[len(differences) // 2], 1e-7))
        plain.bytes_sent = lending.bytes_sent = 0
        plain.run(10.0)
        lending.run(10.0)
        more_bytes.append((lending.bytes_sent - plain.bytes_sent) / 10.0)
    few = meter.sizes(2, 3, 4, 5) if meter.quick else [2, 4, 8, 16, 32]
    shares = [used_budget_share(size, meter.seed, ()) for size in few]
    many = meter.sizes(2, 16, 60, 100, 400, 1600)
    left = [usable(size) for size in many]
    return [
        row(
            "lending",
            "router",
            "cpu",
            "routers",
            sizes,
            more_cpu,
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
            more_bytes,
            "B/s",
            "virtual",
            "datagrams sent with lending less without",
        ),
        row(
            "lending_used",
            "router",
            "share",
            "routers",
            few,
            shares,
            "share",
            "virtual",
            "of a budget of 120 in 3 s by pieces of 1, one router in need",
        ),
        row(
            "lending_usable",
            "router",
            "share",
            "processes",
            many,
            left,
            "share",
            "computed",
            "Bucket.rate of a budget of 120 in 3 s by pieces of 1",
        ),
    ]
