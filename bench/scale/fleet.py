"""Measures a whole fleet on this machine's sockets: python -m bench.scale fleet [--routers 1600] --json

The first run plays the change log: its replicas and relays, real router processes, and hollow routers (cheap stand-ins
for routers). The second run plays the flat design, in which every router watches one endpoint list service. The
exit code is 1 if a check on the change log fails. The last output line is one JSON object with the fields of
fleet_report.Figures; the keys of the flat design end in _flat.
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
from bench.scale.fleet_measure import load_average
from bench.scale.fleet_processes import Processes
from bench.scale.fleet_real import free_port
from bench.scale.fleet_records import Plan, write
from bench.scale.fleet_report import Figures, compute_figures, failed_checks, role_figures, service_figures
from bench.scale.fleet_schedule import FULL_TIMING, QUICK_TIMING, Timing

SERVICE_HOST = "127.91.0.1"
PURGES_PER_S = 27.0
# The design expects 7,300 setting changes a day, 0.084 a second. The higher rate gives a short run some changes.
SETTINGS_PER_S = 0.5
REGION_DELAY_S, REGION_JITTER_S = 0.04, 0.01
PURGE_GRACE_S, QUICK_PURGE_GRACE_S = 6.0, 4.0
PLANTED_FAULTS = ("", "skip", "vouch", "deaf")


class FleetOptions(msgspec.Struct, frozen=True):
    """Options of the `fleet` command, apart from those that select the output."""

    routers: int
    real_routers: int
    rate: float
    rate_flat: float
    quick: bool
    plant: str

    @property
    def timing(self) -> Timing:
        return QUICK_TIMING if self.quick else FULL_TIMING


def make_plan(options: FleetOptions, folder: Path, caches_port: int) -> Plan:
    block = fleet_layout.address_block(os.getpid())
    return Plan(
        folder=str(folder),
        block=block,
        grace_s=QUICK_PURGE_GRACE_S if options.quick else PURGE_GRACE_S,
        delay_s=REGION_DELAY_S,
        jitter_s=REGION_JITTER_S,
        replicas=fleet_layout.replica_machines(block),
        relays=fleet_layout.relay_machines(block),
        groups=fleet_layout.hollow_groups(options.routers - options.real_routers),
        plant=options.plant,
        service_host=SERVICE_HOST,
        service_port=free_port(SERVICE_HOST),
        caches_port=caches_port,
        rate_flat=options.rate_flat,
        settings_rate=SETTINGS_PER_S,
    )


def run_change_log(options: FleetOptions, folder: Path) -> LogRun:
    # No schedule is ever written to this folder, so the endpoint list service of the real routers makes no changes.
    idle = folder / "idle"
    idle.mkdir()
    with Processes(folder) as processes:
        plan = make_plan(options, folder, start_caches(processes, folder))
        write(idle / "plan.json", msgspec.structs.replace(plan, folder=str(idle)))
        start_service(processes, idle / "plan.json")
        fleet = ChangeLogFleet(processes, folder, plan, options.real_routers, options.rate)
        fleet.start()
        return fleet.run(options.timing)


def run_flat(options: FleetOptions, folder: Path) -> FlatRun:
    with Processes(folder) as processes:
        plan = make_plan(options, folder, start_caches(processes, folder))
        fleet = FlatFleet(processes, folder, plan, options.real_routers)
        fleet.start()
        return fleet.run(options.timing)


def change_log_results(options: FleetOptions, run: LogRun) -> dict[str, Any]:
    hollow_routers = options.routers - options.real_routers
    machines = fleet_layout.REPLICA_COUNT + fleet_layout.RELAY_COUNT
    figures = compute_figures(run, "real", "hollow-process", run.moments, machines, hollow_routers)
    failed = failed_checks(figures) + failed_checks_without_bound(run)
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


def failed_checks_without_bound(run: LogRun) -> list[str]:
    """Return the names of failed checks that compare no figure with a bound."""
    caches = run.caches
    failed = ["not appended"] * bool(run.failures) + ["logged"] * bool(run.real.faults_logged)
    failed += ["copies of before a purge allowed"] * bool(caches.unlimited + caches.too_loose)
    return failed + ["no request judged"] * (caches.judged == 0) + ["requests failed"] * bool(caches.failed)


def flat_results(options: FleetOptions, run: FlatRun, log: LogRun) -> dict[str, Any]:
    hollow_routers = options.routers - options.real_routers
    figures: Figures = compute_figures(run, "flat-real", "flat-process", log.moments, 1, hollow_routers)
    results = {f"{name}_flat": value for name, value in msgspec.to_builtins(figures).items()}
    return {
        **results,
        "service_lag_max_s_flat": round(run.lag_max_s, 3),
        "requests_flat": msgspec.to_builtins(run.caches),
        "roles_flat": msgspec.to_builtins([service_figures(run)]),
    }


def run_experiment(options: FleetOptions, flat: bool) -> dict[str, Any]:
    results: dict[str, Any] = {
        "routers": options.routers,
        "real_routers": options.real_routers,
        "rate_purges_per_s": options.rate,
        "rate_settings_per_s": SETTINGS_PER_S,
        "rate_purges_per_s_flat": options.rate_flat,
        "region_delay_s": [REGION_DELAY_S, REGION_DELAY_S + REGION_JITTER_S],
        "quick": options.quick,
        "plant": options.plant,
        "cores": os.cpu_count(),
        "load_before": load_average(),
    }
    with tempfile.TemporaryDirectory(prefix="fleet-") as name:
        log = run_change_log(options, Path(name))
        results |= change_log_results(options, log) | {"load_after": load_average()}
        if flat:
            folder = Path(name) / "flat"
            folder.mkdir()
            results |= flat_results(options, run_flat(options, folder), log) | {"load_after_flat": load_average()}
    return results


@click.command()
@click.option(
    "--routers",
    default=1600,
    show_default=True,
    type=click.IntRange(10, 5000),
    help="Number of routers, real and hollow.",
)
@click.option("--real-routers", default=8, show_default=True, type=click.IntRange(1, 20))
@click.option("--rate", default=PURGES_PER_S, show_default=True, help="Purges per second in the run of the change log.")
@click.option(
    "--rate-flat", default=PURGES_PER_S, show_default=True, help="Purges per second in the run of the flat design."
)
@click.option("--quick", is_flag=True, help="Play fewer faults in a quarter of the time, for CI.")
@click.option("--flat/--no-flat", default=True, help="Also play the flat design: one endpoint list service.")
@click.option("--plant", default="", type=click.Choice(PLANTED_FAULTS), help="Plant a fault that the run must find.")
@click.option("--record", is_flag=True, help="Save the result as bench/records/fleet-ROUTERS.json.")
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
    """Measure the whole fleet on sockets, without faults and with them."""
    started_at = time.monotonic()
    results = run_experiment(FleetOptions(routers, real_routers, rate, rate_flat, quick, plant), flat)
    results["seconds"] = round(time.monotonic() - started_at, 1)
    click.echo(msgspec.json.encode(results).decode())
    if record:
        from bench.scale.fleet_keep import save_records

        save_records(results)
    raise SystemExit(0 if results["passed"] else 1)
