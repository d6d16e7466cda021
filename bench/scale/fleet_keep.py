"""Saves the results of a fleet run.

The figures for docs/CAPACITY.md go to bench/records/fleet-ROUTERS.json, and all results go to
bench/records/fleet/ROUTERS.json.
"""

from __future__ import annotations

import time
from typing import Any

import msgspec

from bench.scale.meter import reference_cpu_s
from bench.scale.records import RECORDS_FOLDER, Measured, Record, Resource, Role, write_record

RESULTS_FOLDER = RECORDS_FOLDER / "fleet"  # Holds the last output line of each run, unabridged.
NETWORK_SEED = 7  # The seed of fleet_network.Network.

# Each tuple holds the key of a figure in the results, its role, resource, situation and unit.
ROUTER_FIGURES: list[tuple[str, Role, Resource, str, str]] = [
    ("control_core_share", "router", "cpu", "ordinary", "core"),
    ("control_bytes_per_s", "router", "bytes", "ordinary", "B/s"),
    ("control_bytes_per_s_worst_10s", "router", "bytes", "peak", "B/s"),
    ("control_bytes_per_s_faults_worst_10s", "router", "bytes", "reunion", "B/s"),
    ("messages_per_s", "router", "messages", "ordinary", "1/s"),
    ("control_memory_mb", "router", "memory", "ordinary", "MB"),
    ("purge_max_s", "router", "time", "ordinary", "s"),
    ("purge_max_faults_s", "router", "time", "regions_lost", "s"),
]
ROLE_FIGURES: list[tuple[str, Resource, str]] = [
    ("bytes_per_s", "bytes", "B/s"),
    ("messages_per_s", "messages", "1/s"),
    ("core_share", "cpu", "core"),
    ("memory_mb", "memory", "MB"),
]


def measured_figures(results: dict[str, Any], mechanism: str, suffix: str) -> list[Measured]:
    def make_figure(role: Role, resource: Resource, situation: str, value: float, unit: str, method: str) -> Measured:
        return Measured(
            mechanism=mechanism,
            role=role,
            resource=resource,
            situation=situation,
            size=float(results["routers"]),
            axis="routers",
            value=value,
            unit=unit,
            played="sockets",
            method=method,
        )

    figures = []
    for key, role, resource, situation, unit in ROUTER_FIGURES:
        if results.get(key + suffix) is not None:
            figures.append(make_figure(role, resource, situation, results[key + suffix], unit, key))
    for machine in results.get("roles" + suffix, []):
        for key, resource, unit in ROLE_FIGURES:
            if machine[key] is not None:
                method = "the worst machine of the role"
                figures.append(make_figure(machine["role"], resource, "ordinary", machine[key], unit, method))
    return figures


def save_records(results: dict[str, Any]) -> None:
    name = f"fleet-{results['routers']}"
    record = Record(
        run=f"python -m bench.scale fleet --routers {results['routers']}",
        date=time.strftime("%Y-%m-%d"),
        seed=NETWORK_SEED,
        rounds=1,
        reference_s=round(reference_cpu_s(), 4),
        rows=[],
        figures=measured_figures(results, "change_log", "") + measured_figures(results, "flat_watch", "_flat"),
    )
    write_record(RECORDS_FOLDER / f"{name}.json", record)
    RESULTS_FOLDER.mkdir(exist_ok=True)
    formatted_results = msgspec.json.format(msgspec.json.encode(results), indent=1)
    (RESULTS_FOLDER / f"{results['routers']}.json").write_bytes(formatted_results + b"\n")
