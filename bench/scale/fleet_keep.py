"""Keeps what a fleet run gave: bench/records/fleet-ROUTERS.json for docs/CAPACITY.md, and all figures beside it."""

from __future__ import annotations

import time
from typing import Any

import msgspec

from bench.scale.meter import reference_cpu_s
from bench.scale.records import RECORDS_FOLDER, Measured, Record, Resource, Role, write_record

WHOLE = RECORDS_FOLDER / "fleet"  # the last lines of the runs, whole
NETWORK_SEED = 7  # fleet_network.Network

# Key of the answer, role, resource, situation, unit.
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


def figures(answer: dict[str, Any], mechanism: str, suffix: str) -> list[Measured]:
    def one(role: Role, resource: Resource, situation: str, value: float, unit: str, method: str) -> Measured:
        return Measured(
            mechanism=mechanism,
            role=role,
            resource=resource,
            situation=situation,
            size=float(answer["routers"]),
            axis="routers",
            value=value,
            unit=unit,
            played="sockets",
            method=method,
        )

    found = []
    for key, role, resource, situation, unit in ROUTER_FIGURES:
        if answer.get(key + suffix) is not None:
            found.append(one(role, resource, situation, answer[key + suffix], unit, key))
    for machine in answer.get("roles" + suffix, []):
        for key, resource, unit in ROLE_FIGURES:
            if machine[key] is not None:
                method = "the worst machine of the role"
                found.append(one(machine["role"], resource, "ordinary", machine[key], unit, method))
    return found


def keep(answer: dict[str, Any]) -> None:
    name = f"fleet-{answer['routers']}"
    record = Record(
        run=f"python -m bench.scale fleet --routers {answer['routers']}",
        date=time.strftime("%Y-%m-%d"),
        seed=NETWORK_SEED,
        rounds=1,
        reference_s=round(reference_cpu_s(), 4),
        rows=[],
        figures=figures(answer, "change_log", "") + figures(answer, "flat_watch", "_flat"),
    )
    write_record(RECORDS_FOLDER / f"{name}.json", record)
    WHOLE.mkdir(exist_ok=True)
    whole = msgspec.json.format(msgspec.json.encode(answer), indent=1)
    (WHOLE / f"{answer['routers']}.json").write_bytes(whole + b"\n")
