"""Commands about remembered lists of cache servers."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click
import orjson

from wickhinge.cli.commands import main
from wickhinge.cli.output import JSON_OPTION, WRONG, fail, print_answer, print_json

if TYPE_CHECKING:
    from wickhinge.membership.stored_list import StoredList

CLOCK_TOLERANCE_S = 5  # a list from so far in the future still has an age
MAX_AGE_S = 86400


@main.group("list")
def lists() -> None:
    """Look at remembered lists of machines."""


def read_list(path: str) -> StoredList:
    """The newest complete list of a directory, or that of one file; ends the process where there is none."""
    import os

    from wickhinge.membership import stored_list
    from wickhinge.membership.endpoint_list_file import EndpointListFile
    from wickhinge.membership.errors import CorruptListError
    from wickhinge.store.files import Files

    try:
        if os.path.isdir(path):
            stored, problems = EndpointListFile(Files(), path).read()
            for problem in problems:
                click.echo(f"wickhinge: {path}: {problem}", err=True)
            if stored is None:
                fail(f"{path}: holds no list")
            return stored
        with open(path, "rb") as file:
            return stored_list.decode(file.read(stored_list.MAX_FILE_BYTES + 1))[1]
    except CorruptListError as problem:
        fail(f"{path}: {problem}")
    except OSError as problem:
        fail(f"{path}: cannot be read: {problem.strerror}")


def endpoint_rows(stored: StoredList) -> list[dict[str, Any]]:
    """The endpoints of a list, as they are printed."""
    from wickhinge.membership.stored_list import record_fields

    return [{**record_fields(endpoint), "mark": f"s-{endpoint.endpoint_id:08x}"} for endpoint in stored.endpoints]


def complete_list(stored: StoredList) -> dict[str, Any]:
    """All that a list holds, as it is exported."""
    return {
        "deployment": stored.deployment,
        "written": stored.written_at,
        "heard": stored.last_update_at,
        "number": stored.last_event,
        "machines": endpoint_rows(stored),
        "gone": [[f"s-{mark:08x}", when] for mark, when in stored.gone],
        "purges": [[None if key is None else f"{key:016x}", group, stamp] for key, group, stamp in stored.purges],
        "usual": stored.usual_loads,
    }


LIST_FILE = click.argument("file", type=click.Path(exists=True))


@lists.command()
@LIST_FILE
@JSON_OPTION
def show(file: str, as_json: bool) -> None:
    """The machines of a list, with their states, sources and trust when it was written."""
    stored = read_list(file)
    if as_json:
        print_json(complete_list(stored))
        return
    click.echo(
        f"event {stored.last_event}, heard {stored.last_update_at:.0f}, {len(stored.endpoints)} machines, "
        f"{len(stored.gone)} gone, {len(stored.purges)} purges"
    )
    for row in endpoint_rows(stored):
        click.echo(
            "{mark} {host}:{port:<5} {state:<8} {zone} {kind} cell {cell} weight {weight:g} by {source} {stage}".format(
                **row
            )
        )


@lists.command()
@LIST_FILE
@JSON_OPTION
def age(file: str, as_json: bool) -> None:
    """Seconds since the service last vouched for a list; 1 if that is over a day, or not known."""
    import time

    stored = read_list(file)
    seconds = (
        time.time() - stored.last_update_at if 0 < stored.last_update_at <= time.time() + CLOCK_TOLERANCE_S else None
    )
    print_answer({"age_s": None if seconds is None else round(seconds, 1), "number": stored.last_event}, as_json)
    sys.exit(WRONG if seconds is None or seconds > MAX_AGE_S else 0)


@lists.command()
@LIST_FILE
@click.argument("other", type=click.Path(exists=True))
@JSON_OPTION
def diff(file: str, other: str, as_json: bool) -> None:
    """What changed from one list to another, and what looks like a mistake; 1 if anything did."""
    from wickhinge.membership.comparison import compare_lists
    from wickhinge.membership.stored_list import to_statement

    lists = [[to_statement(endpoint) for endpoint in read_list(path).endpoints] for path in (file, other)]
    comparison = compare_lists(*lists)
    answer = {name: [f"s-{mark:08x}" for mark in marks] for name, marks in comparison.ids_by_change().items()}
    answer["doubts"] = comparison.warnings
    print_answer(answer, as_json)
    sys.exit(WRONG if any(answer.values()) else 0)


@lists.command()
@LIST_FILE
@click.argument("to", type=click.Path(dir_okay=False))
def export(file: str, to: str) -> None:
    """A list as one JSON object in a file; - for standard output."""
    data = orjson.dumps(complete_list(read_list(file)), option=orjson.OPT_INDENT_2) + b"\n"
    try:
        with click.open_file(to, "wb") as out:
            out.write(data)
    except OSError as problem:
        fail(f"{to}: cannot be written: {problem.strerror}")
