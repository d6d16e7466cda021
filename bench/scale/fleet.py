"""The fleet of the design on this machine's sockets: python -m bench.scale fleet [--routers 1600] --json

The change log by its own replicas and relays, real router processes and hollow routers; then the present design, in the
same way. Exit code 1 where a check on the change log fails. Last line: one JSON object (fleet_report.Figures, those of
the present design with _flat).
"""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path
from typing import Any

import click
import msgspec

from bench.scale import fleet_layout
from bench.scale.fleet_flat_run import FlatFleet, FlatRun, start_caches, start_service
from bench.scale.fleet_log_run import ChangeLogFleet, LogRun
from bench.scale.fleet_measure import load
from bench.scale.fleet_processes import Processes
from bench.scale.fleet_real import free_port
from bench.scale.fleet_records import Plan, write
from bench.scale.fleet_report import Figures, failed_checks, figures_of, role_figures, service_figures
from bench.scale.fleet_schedule import FULL, QUICK, Timing

SERVICE_HOST = "127.91.0.1"
PURGES_PER_S = 27.0
SETTINGS_PER_S = 0.5  # 7,300 a day are 0.084: more, so that a short run has some
DELAY_S, JITTER_S = 0.04, 0.01
GRACE_S, QUICK_GRACE_S = 6.0, 4.0
PLANTS = ("", "skip", "vouch", "deaf")


class Wanted(msgspec.Struct, frozen=True):
    """What the command was told."""

    routers: int
    real_routers: int
    rate: float
    rate_flat: float
    quick: bool
    plant: str

    @property
    def timing(self) -> Timing:
        return QUICK if self.quick else FULL


def make_plan(wanted: Wanted, folder: Path, caches_port: int) -> Plan:
    block = fleet_layout.block_of(os.getpid())
    return Plan(
        folder=str(folder),
        block=block,
        grace_s=QUICK_GRACE_S if wanted.quick else GRACE_S,
        delay_s=DELAY_S,
        jitter_s=JITTER_S,
        replicas=fleet_layout.replicas(block),
        relays=fleet_layout.relays(block),
        groups=fleet_layout.groups(wanted.routers - wanted.real_routers),
        plant=wanted.plant,
        service_host=SERVICE_HOST,
        service_port=free_port(SERVICE_HOST),
        caches_port=caches_port,
        rate_flat=wanted.rate_flat,
        settings_rate=SETTINGS_PER_S,
    )


def run_change_log(wanted: Wanted, folder: Path) -> LogRun:
    idle = folder / "idle"  # where no schedule comes: the real routers' list service has nothing to tell
    idle.mkdir()
    with Processes(folder) as processes:
        plan = make_plan(wanted, folder, start_caches(processes, folder))
        write(idle / "plan.json", msgspec.structs.replace(plan, folder=str(idle)))
        start_service(processes, idle / "plan.json")
        fleet = ChangeLogFleet(processes, folder, plan, wanted.real_routers, wanted.rate)
        fleet.start()
        return fleet.play(wanted.timing)


def run_flat(wanted: Wanted, folder: Path) -> FlatRun:
    with Processes(folder) as processes:
        plan = make_plan(wanted, folder, start_caches(processes, folder))
        fleet = FlatFleet(processes, folder, plan, wanted.real_routers)
        fleet.start()
        return fleet.play(wanted.timing)


def log_answer(wanted: Wanted, run: LogRun) -> dict[str, Any]:
    hollow = wanted.routers - wanted.real_routers
    machines = fleet_layout.REPLICAS + fleet_layout.RELAYS
    figures = figures_of(run, "real", "hollow-process", run.moments, machines, hollow)
    failed = failed_checks(figures) + other_failures(run)
    roles = [role_figures(run, "relay", "relay-"), role_figures(run, "control", "replica-")]
    return {
        **msgspec.to_builtins(figures),
        "acknowledged_max_s": round(run.acknowledged_max_s, 3),
        "not_appended": len(run.failures),
        "requests": msgspec.to_builtins(run.caches),
        "roles": msgspec.to_builtins(roles),
        "failed": failed,
        "passed": not failed,
    }


def other_failures(run: LogRun) -> list[str]:
    """What is not a figure with a bound."""
    caches = run.caches
    found = ["not appended"] * bool(run.failures) + ["logged"] * bool(run.real.faults_logged)
    found += ["copies of before a purge allowed"] * bool(caches.unlimited + caches.too_loose)
    return found + ["no request judged"] * (caches.judged == 0) + ["requests failed"] * bool(caches.failed)


def flat_answer(wanted: Wanted, run: FlatRun, log: LogRun) -> dict[str, Any]:
    hollow = wanted.routers - wanted.real_routers
    figures: Figures = figures_of(run, "flat-real", "flat-process", log.moments, 1, hollow)
    told = {f"{name}_flat": value for name, value in msgspec.to_builtins(figures).items()}
    return {
        **told,
        "service_lag_max_s_flat": round(run.lag_max_s, 3),
        "requests_flat": msgspec.to_builtins(run.caches),
        "roles_flat": msgspec.to_builtins([service_figures(run)]),
    }


def play(wanted: Wanted, flat: bool) -> dict[str, Any]:
    answer: dict[str, Any] = {
        "routers": wanted.routers,
        "real_routers": wanted.real_routers,
        "rate_purges_per_s": wanted.rate,
        "rate_settings_per_s": SETTINGS_PER_S,
        "rate_purges_per_s_flat": wanted.rate_flat,
        "region_delay_s": [DELAY_S, DELAY_S + JITTER_S],
        "quick": wanted.quick,
        "plant": wanted.plant,
        "cores": os.cpu_count(),
        "load_before": load(),
    }
    with tempfile.TemporaryDirectory(prefix="fleet-") as name:
        log = run_change_log(wanted, Path(name))
        answer |= log_answer(wanted, log) | {"load_after": load()}
        if flat:
            folder = Path(name) / "flat"
            folder.mkdir()
            answer |= flat_answer(wanted, run_flat(wanted, folder), log) | {"load_after_flat": load()}
    return answer


@click.command()
@click.option("--routers", default=1600, show_default=True, type=click.IntRange(10, 5000), help="Real and hollow ones.")
@click.option("--real-routers", default=8, show_default=True, type=click.IntRange(1, 20))
@click.option("--rate", default=PURGES_PER_S, show_default=True, help="Purges a second.")
@click.option("--rate-flat", default=PURGES_PER_S, show_default=True, help="The same for the present design.")
@click.option("--quick", is_flag=True, help="Fewer faults in a quarter of the time: for CI.")
@click.option("--flat/--no-flat", default=True, help="Play the present design, too.")
@click.option("--plant", default="", type=click.Choice(PLANTS), help="A fault put in, which the run must find.")
@click.option("--record", is_flag=True, help="Keep the result as bench/records/fleet-ROUTERS.json.")
@click.option("--json", "_", is_flag=True)
def fleet(
    routers: int,
    real_routers: int,
    rate: float,
    rate_flat: float,
    quick: bool,
    flat: bool,
    plant: str,
    record: bool,
    _: bool,
) -> None:
    """The whole fleet on sockets, without faults and with them."""
    began = time.monotonic()
    answer = play(Wanted(routers, real_routers, rate, rate_flat, quick, plant), flat)
    answer["seconds"] = round(time.monotonic() - began, 1)
    click.echo(msgspec.json.encode(answer).decode())
    if record:
        from bench.scale.fleet_keep import keep

        keep(answer)
    raise SystemExit(0 if answer["passed"] else 1)
