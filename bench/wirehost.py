"""Measurements of the simulator adapter: python -m bench.wirehost ends|cost

    ends    drawn days: batches whose reply differs from the reply without the messages of instances that end in them
    cost    CPU time a batch, beside that of another checkout of the project: --beside CHECKOUT

The last line of the output is one JSON object.
"""

from __future__ import annotations

import os
import statistics
import subprocess
import sys
import tempfile
from pathlib import Path

import click

from bench import print_result
from bench.simulator_day import Day, DaySettings, play, replay

ROOT = Path(__file__).parent.parent
BATCHES_PER_DAY = 40
# Other checkouts have to be able to play the measured days.
PLAIN = {"has_refusals": False, "has_absent_values": False}
# Days whose batches are measured, by name, with the number of their batches.
COST_DAYS = {
    "one_message": (DaySettings(routers=1, max_messages=1, kill_share=0.0, **PLAIN), 4000),
    "many_routers": (DaySettings(routers=200, max_messages=400, kill_share=0.0, **PLAIN), 100),
    "many_routers_with_ends": (DaySettings(routers=200, max_messages=400, kill_share=0.01, **PLAIN), 100),
}


@click.group()
def main() -> None:
    """Measure the simulator adapter."""


@main.command()
@click.option("--days", default=1000, show_default=True)
@click.option("--first", default=0, show_default=True, help="Seed of the first day.")
def ends(days: int, first: int) -> None:
    """Count the batches whose reply differs from the reply without instances that end in them; must be 0."""
    batches = batches_with_ends = differing = 0
    seeds_with_differences = []
    for seed in range(first, first + days):
        day = Day(seed)
        replies = play(day, BATCHES_PER_DAY)
        expected_replies = replay([batch.lines(batch.surviving_events) for batch in day.batches])
        differing_of_day = sum(reply != expected for reply, expected in zip(replies, expected_replies, strict=True))
        batches += len(replies)
        batches_with_ends += sum(len(batch.surviving_events) < len(batch.events) for batch in day.batches)
        differing += differing_of_day
        seeds_with_differences += [seed] * bool(differing_of_day)
    result = {"days": days, "batches": batches, "with_ends": batches_with_ends, "differing": differing}
    print_result({**result, "seeds": seeds_with_differences[:20]})


def record_day(seed: int, settings: DaySettings, batch_count: int) -> bytes:
    """Return the lines of a day, drawn from the replies of this checkout's adapter."""
    day = Day(seed, settings)
    play(day, batch_count)
    return b"".join(line for batch in day.batches for line in batch.lines(batch.events))


def cpu_seconds(checkout: Path, lines: bytes) -> float:
    """Return the CPU time that a new adapter process of a checkout takes for lines, with its start.

    Raises:
        RuntimeError: The process failed.
    """
    with tempfile.TemporaryFile() as source:
        source.write(lines)
        source.seek(0)
        command = [sys.executable, "-m", "wickhinge.wirehost"]
        child = subprocess.Popen(command, cwd=checkout, stdin=source, stdout=subprocess.DEVNULL)
        _, status, usage = os.wait4(child.pid, 0)
        child.returncode = os.waitstatus_to_exitcode(status)
    if child.returncode:
        raise RuntimeError(f"the adapter of {checkout.name} ended with exit code {child.returncode}")
    return usage.ru_utime + usage.ru_stime


@main.command()
@click.option("--beside", required=True, type=click.Path(exists=True, path_type=Path), help="Another checkout, built.")
@click.option("--rounds", default=11, show_default=True)
@click.option("--seed", default=1, show_default=True)
def cost(beside: Path, rounds: int, seed: int) -> None:
    """Measure the CPU time a batch of both checkouts in turns; the CPU time of a start is taken off."""
    result = {}
    for name, (settings, batch_count) in COST_DAYS.items():
        lines = record_day(seed, settings, batch_count)
        other_us, own_us = [], []
        for _ in range(rounds):
            for checkout, times_us in ((beside, other_us), (ROOT, own_us)):
                seconds = cpu_seconds(checkout, lines) - cpu_seconds(checkout, b"")
                times_us.append(seconds / batch_count * 1e6)
        ratios = [own / other for own, other in zip(own_us, other_us, strict=True)]
        result[name] = {
            "beside_us": round(statistics.median(other_us), 1),
            "own_us": round(statistics.median(own_us), 1),
            "ratio": round(statistics.median(ratios), 3),
            "ratio_range": [round(min(ratios), 3), round(max(ratios), 3)],
        }
    print_result({"rounds": rounds, "seed": seed, **result})


if __name__ == "__main__":
    main()
