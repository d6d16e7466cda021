"""Commands about remembered lists of cache servers."""

from __future__ import annotations

import sys
from typing import Any

import click
import orjson

from wickhinge.cli.commands import main
from wickhinge.cli.output import JSON_OPTION, WRONG, fail, print_answer, print_json

CLOCK_TOLERANCE_S = 5  # a list from so far in the future still has an age
MAX_AGE_S = 86400


@main.group("list")
def lists() -> None:
    """Look at remembered lists of machines."""


def read_list(path: str) -> Any:
    """The newest complete list of a directory, or that of one file; ends the process where there is none."""
    import os

    from wickhinge.membership import remembered as form
    from wickhinge.membership.keeper import Keeper
    from wickhinge.store.files import Files

    try:
        if os.path.isdir(path):
            memory, problems = Keeper(Files(), path).read()
            for problem in problems:
                click.echo(f"wickhinge: {path}: {problem}", err=True)
            if memory is None:
                fail(f"{path}: holds no list")
            return memory
        with open(path, "rb") as file:
            return form.unpack(file.read(form.LONGEST + form.HEAD.size + 1))[1]
    except form.Unreadable as problem:
        fail(f"{path}: {problem}")
    except OSError as problem:
        fail(f"{path}: cannot be read: {problem.strerror}")


def server_rows(memory: Any) -> list[dict[str, Any]]:
    """The servers of a list, as they are printed."""
    import msgspec

    return [{**msgspec.structs.asdict(server), "mark": f"s-{server.mark:08x}"} for server in memory.machines]


def complete_list(memory: Any) -> dict[str, Any]:
    """All that a list holds, as it is exported."""
    return {
        "deployment": memory.deployment,
        "written": memory.written,
        "heard": memory.heard,
        "number": memory.number,
        "machines": server_rows(memory),
        "gone": [[f"s-{mark:08x}", when] for mark, when in memory.gone],
        "purges": [[None if key is None else f"{key:016x}", group, stamp] for key, group, stamp in memory.purges],
        "usual": memory.usual,
    }


LIST_FILE = click.argument("file", type=click.Path(exists=True))


@lists.command()
@LIST_FILE
@JSON_OPTION
def show(file: str, as_json: bool) -> None:
    """The machines of a list, with their states, sources and trust when it was written."""
    memory = read_list(file)
    if as_json:
        print_json(complete_list(memory))
        return
    click.echo(
        f"event {memory.number}, heard {memory.heard:.0f}, {len(memory.machines)} machines, "
        f"{len(memory.gone)} gone, {len(memory.purges)} purges"
    )
    for row in server_rows(memory):
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

    memory = read_list(file)
    seconds = time.time() - memory.heard if 0 < memory.heard <= time.time() + CLOCK_TOLERANCE_S else None
    print_answer({"age_s": None if seconds is None else round(seconds, 1), "number": memory.number}, as_json)
    sys.exit(WRONG if seconds is None or seconds > MAX_AGE_S else 0)


@lists.command()
@LIST_FILE
@click.argument("other", type=click.Path(exists=True))
@JSON_OPTION
def diff(file: str, other: str, as_json: bool) -> None:
    """What changed from one list to another, and what looks like a mistake; 1 if anything did."""
    from wickhinge.membership.compare import compare
    from wickhinge.membership.remembered import statement

    answer = compare(*([statement(server) for server in read_list(path).machines] for path in (file, other)))
    answer = {name: [row if isinstance(row, str) else f"s-{row:08x}" for row in rows] for name, rows in answer.items()}
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
