"""Growth of costs with the fleet: python -m bench.scale slopes|capacity|fleet|day

    slopes     costs at several sizes, their fits; --record NAME keeps them in bench/records
    capacity   docs/CAPACITY.md from the records; --check compares only
    fleet      the whole fleet on this machine's sockets, with faults (bench.scale.fleet)
    day        the design's failures of a day in virtual time; fails where anything was missed or exceeded

The last line is one JSON object. Commands of other modules are added to `main`.
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


def told(answer: dict[str, object]) -> None:
    click.echo(msgspec.json.encode(answer).decode())


def summary(record: Record) -> dict[str, object]:
    """The last line: rows, the roles they are of, and which do not reach the design's routers."""
    return {
        "run": record.run,
        "rounds": record.rounds,
        "roles": sorted({one.role for one in record.rows}),
        "extrapolated": [one.name for one in record.rows if one.axis == "routers" and one.extrapolated(ROUTERS)],
        "rows": record.rows,
    }


@click.group()
def main() -> None:
    """Measure how costs grow with the fleet, and compute its capacity page."""


@main.command()
@click.option("--quick", is_flag=True, help="Small sizes, one round: for CI.")
@click.option("--rounds", default=3, show_default=True, help="Of each CPU time; the median counts.")
@click.option("--seed", default=7, show_default=True)
@click.option("--record", "name", default="", help="Keep the result as bench/records/NAME.json.")
@click.option("--json", "_", is_flag=True)
def slopes(quick: bool, rounds: int, seed: int, name: str, _: bool) -> None:
    """Costs of each mechanism at several sizes, fitted."""
    from bench.scale.run import measure

    command = "python -m bench.scale slopes" + " --quick" * quick
    record = measure(Meter(quick, 1 if quick else rounds, seed), command)
    if name:
        write_record(RECORDS_FOLDER / f"{name}.json", record)
    told(summary(record))


@main.command()
@click.option("--check", is_flag=True, help="Fail where the page is not what the records give; write nothing.")
@click.option("--json", "_", is_flag=True)
def capacity(check: bool, _: bool) -> None:
    """Writes the tables of docs/CAPACITY.md."""
    try:
        known = RecordedRows()
        new = page.with_generated_parts(page.PAGE.read_text(), known)
    except UnusableRecordError as problem:
        raise click.ClickException(str(problem)) from None
    same = new == page.PAGE.read_text()
    if not check:
        page.PAGE.write_text(new)
    told({"records": known.digests, "over": page.exceeded_allowances(known), "page_as_records": same})
    sys.exit(1 if check and not same else 0)


main.add_command(fleet)


@main.command()
@click.option("--seed", default=7, show_default=True)
@click.option("--json", "_", is_flag=True)
def day(seed: int, _: bool) -> None:
    """A day of the fleet in virtual time: change log, then leases and budgets."""
    from bench.scale.day import Size, play

    result = play(seed, Size())
    click.echo(msgspec.json.encode(result).decode())
    sys.exit(0 if result.passed else 1)


if __name__ == "__main__":
    main()
