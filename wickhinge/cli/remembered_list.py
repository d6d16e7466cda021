"""Commands for stored endpoint lists, which a router remembers for a start without the journal service."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, Any

import click
import orjson

from wickhinge.cli.commands import main
from wickhinge.cli.output import EXIT_FAULT_FOUND, JSON_OPTION, fail, print_answer, print_json

if TYPE_CHECKING:
    from wickhinge.membership.stored_list import StoredList

CLOCK_TOLERANCE_S = 5  # A list's last update may be this far in the future before its age counts as unknown.
MAX_AGE_S = 86400  # `list age` exits with 1 for a list older than a day.


@main.group("list")
def lists() -> None:
    """Inspect stored endpoint lists."""


def read_list(path: str) -> StoredList:
    """Read the newest complete list of a directory, or the list in a file; exit if there is none."""
    import os

    from wickhinge.membership import stored_list
    from wickhinge.membership.endpoint_list_file import EndpointListFile
    from wickhinge.membership.errors import CorruptListError
    from wickhinge.store.files import Files

    try:
        if os.path.isdir(path):
            stored, errors = EndpointListFile(Files(), path).read()
            for error in errors:
                click.echo(f"wickhinge: {path}: {error}", err=True)
            if stored is None:
                fail(f"{path}: holds no list")
            return stored
        with open(path, "rb") as file:
            return stored_list.decode(file.read(stored_list.MAX_FILE_BYTES + 1))[1]
    except CorruptListError as error:
        fail(f"{path}: {error}")
    except OSError as error:
        fail(f"{path}: cannot be read: {error.strerror}")


def endpoint_rows(stored: StoredList) -> list[dict[str, Any]]:
    """Return the printed fields of each endpoint of a list."""
    from wickhinge.membership.stored_list import record_fields

    return [{**record_fields(endpoint), "mark": f"s-{endpoint.endpoint_id:08x}"} for endpoint in stored.endpoints]


def list_fields(stored: StoredList) -> dict[str, Any]:
    """Return all contents of a list in the form that is exported."""
    return {
        "deployment": stored.deployment,
        "written": stored.written_at,
        "heard": stored.last_update_at,
        "number": stored.last_event,
        "machines": endpoint_rows(stored),
        "gone": [[f"s-{endpoint_id:08x}", gone_at] for endpoint_id, gone_at in stored.gone],
        "purges": [[None if key is None else f"{key:016x}", group, stamp] for key, group, stamp in stored.purges],
        "usual": stored.usual_loads,
    }


LIST_FILE_ARGUMENT = click.argument("file", type=click.Path(exists=True))


@lists.command()
@LIST_FILE_ARGUMENT
@JSON_OPTION
def show(file: str, as_json: bool) -> None:
    """Print a list's endpoints, with the state, source and trust that each had when the list was written."""
    stored = read_list(file)
    if as_json:
        print_json(list_fields(stored))
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
@LIST_FILE_ARGUMENT
@JSON_OPTION
def age(file: str, as_json: bool) -> None:
    """Print the seconds since the live service last confirmed a list; exit with 1 if over a day or unknown."""
    import time

    stored = read_list(file)
    age_s = (
        time.time() - stored.last_update_at if 0 < stored.last_update_at <= time.time() + CLOCK_TOLERANCE_S else None
    )
    print_answer({"age_s": None if age_s is None else round(age_s, 1), "number": stored.last_event}, as_json)
    sys.exit(EXIT_FAULT_FOUND if age_s is None or age_s > MAX_AGE_S else 0)


@lists.command()
@LIST_FILE_ARGUMENT
@click.argument("other", type=click.Path(exists=True))
@JSON_OPTION
def diff(file: str, other: str, as_json: bool) -> None:
    """Print the changes between two lists, and changes that look like mistakes; exit with 1 if there are any."""
    from wickhinge.membership.comparison import compare_lists
    from wickhinge.membership.stored_list import to_statement

    statements = [[to_statement(endpoint) for endpoint in read_list(path).endpoints] for path in (file, other)]
    comparison = compare_lists(*statements)
    answer = {
        name: [f"s-{endpoint_id:08x}" for endpoint_id in endpoint_ids]
        for name, endpoint_ids in comparison.ids_by_change().items()
    }
    answer["doubts"] = comparison.warnings
    print_answer(answer, as_json)
    sys.exit(EXIT_FAULT_FOUND if any(answer.values()) else 0)


@lists.command()
@LIST_FILE_ARGUMENT
@click.argument("to", type=click.Path(dir_okay=False))
def export(file: str, to: str) -> None:
    """Write a list as one JSON object to the file TO, or to standard output if TO is -."""
    data = orjson.dumps(list_fields(read_list(file)), option=orjson.OPT_INDENT_2) + b"\n"
    try:
        with click.open_file(to, "wb") as output:
            output.write(data)
    except OSError as error:
        fail(f"{to}: cannot be written: {error.strerror}")
