"""Runs all measurements of `slopes` one after the other and returns them as one record."""

from __future__ import annotations

import gc
import sys
import time
from collections.abc import Callable
from datetime import UTC, datetime

from bench.scale import (
    change_log,
    connections,
    deciding,
    detector,
    fleet_faults,
    judgements,
    leases,
    lending,
    settings_file,
    spread,
    watching,
)
from bench.scale.meter import Meter, reference_cpu_s
from bench.scale.records import Record, Row

MEASUREMENTS: dict[str, Callable[[Meter], list[Row]]] = {
    "detector": detector.rows,
    "faults": fleet_faults.rows,
    "leases": leases.rows,
    "lending": lending.rows,
    "judgements": judgements.rows,
    "spread": spread.rows,
    "watching": watching.rows,
    "deciding": deciding.rows,
    "connections": connections.rows,
    "settings": settings_file.rows,
    "change log": change_log.rows,
}


def measure(meter: Meter, command: str) -> Record:
    """Run every measurement, printing to standard error how long each took."""
    rows: list[Row] = []
    gc.disable()  # A router runs without the garbage collector, too.
    reference_times_s: list[float] = []
    for name, part in MEASUREMENTS.items():
        reference_times_s.append(reference_cpu_s(1) if meter.quick else reference_cpu_s())
        began = time.monotonic()
        rows += part(meter)
        gc.collect()
        print(f"{name}: {time.monotonic() - began:.1f} s", file=sys.stderr, flush=True)
    today = datetime.now(UTC).date().isoformat()
    return Record(
        run=command,
        date=today,
        seed=meter.seed,
        rounds=meter.rounds,
        reference_s=round(min(reference_times_s), 4),
        reference_most_s=round(max(reference_times_s), 4),
        rows=rows,
    )
