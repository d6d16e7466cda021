"""Measure how costs grow with the size of the fleet: python -m bench.scale slopes|capacity|fleet|day

    slopes     measures costs at several sizes and fits them; --record NAME keeps the result in bench/records
    capacity   writes the tables of docs/CAPACITY.md from the records; --check only compares
    fleet      runs the whole fleet on this machine's sockets, with faults (bench.scale.fleet)
    day        plays a day's failures in virtual time; fails if an invariant was broken or a bound exceeded

The last line of the output is one JSON object.
"""

from __future__ import annotations

import sys

import click
import msgspec

from bench.scale import page
from bench.scale.design import ROUTERS
from bench.scale.fleet import fleet
from bench.scale.meter import Meter
from bench.scale.records import RECORDS_FOLDER, Record, RecordedRows, UnusableRecordError, write_record


def print_answer(answer: dict[str, object]) -> None:
    click.echo(msgspec.json.encode(answer).decode())


def summary(record: Record) -> dict[str, object]:
    """Return the answer of `slopes`: the rows, their roles, and the rows whose sizes end below the design's routers."""
    return {
        "run": record.run,
        "rounds": record.rounds,
        "roles": sorted({one.role for one in record.rows}),
        "extrapolated": [one.name for one in record.rows if one.axis == "routers" and one.is_extrapolated(ROUTERS)],
        "rows": record.rows,
    }


@click.group()
def main() -> None:
    """Measure how costs grow with the fleet, and compute its capacity page."""


@main.command()
@click.option("--quick", is_flag=True, help="Small sizes, one round: for CI.")
@click.option("--rounds", default=3, show_default=True, help="How often each CPU time is taken; the median counts.")
@click.option("--seed", default=7, show_default=True)
@click.option("--record", "name", default="", help="Keep the result as bench/records/NAME.json.")
@click.option("--json", "_", is_flag=True)
def slopes(quick: bool, rounds: int, seed: int, name: str, _: bool) -> None:
    """Measure the costs of each mechanism at several sizes and fit them."""
    from bench.scale.run import measure

    command = "python -m bench.scale slopes" + " --quick" * quick
    record = measure(Meter(quick, 1 if quick else rounds, seed), command)
    if name:
        write_record(RECORDS_FOLDER / f"{name}.json", record)
    print_answer(summary(record))


@main.command()
@click.option("--check", is_flag=True, help="Fail if the page differs from what the records give; write nothing.")
@click.option("--json", "_", is_flag=True)
def capacity(check: bool, _: bool) -> None:
    """Write the tables of docs/CAPACITY.md from the records."""
    try:
        recorded_rows = RecordedRows()
        new = page.with_generated_parts(page.PAGE.read_text(), recorded_rows)
    except UnusableRecordError as problem:
        raise click.ClickException(str(problem)) from None
    same = new == page.PAGE.read_text()
    if not check:
        page.PAGE.write_text(new)
    print_answer(
        {"records": recorded_rows.digests, "over": page.exceeded_allowances(recorded_rows), "page_as_records": same}
    )
    sys.exit(1 if check and not same else 0)


main.add_command(fleet)


@main.command()
@click.option("--seed", default=7, show_default=True)
@click.option("--json", "_", is_flag=True)
def day(seed: int, _: bool) -> None:
    """Play a day of the fleet in virtual time: the change log, then name leases and budgets."""
    from bench.scale.day import DaySize, play

    result = play(seed, DaySize())
    click.echo(msgspec.json.encode(result).decode())
    sys.exit(0 if result.passed else 1)


if __name__ == "__main__":
    main()
