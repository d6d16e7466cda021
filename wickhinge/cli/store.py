"""Commands about a directory of the router's own copies, while no router uses it or only to look at it."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click

from wickhinge.cli.commands import main
from wickhinge.cli.output import JSON_OPTION, WRONG, fail, print_answer, print_json

KEY_DIGITS = 16
COPIES_PER_PROGRESS = 256


@main.group()
def store() -> None:
    """Look at, and mend, a directory of copies of our own."""


def directory_command(command: Callable[..., Any]) -> Callable[..., Any]:
    """Gives a command its directory and --json."""
    return click.argument("dir", type=click.Path(file_okay=False, exists=True))(JSON_OPTION(command))


def open_volume(path: str, *, write: bool = False) -> Any:
    """The copies of a directory; ends the process where it is no store."""
    from wickhinge.store import maintenance
    from wickhinge.store.errors import UnusableDirectoryError

    try:
        return maintenance.open_volume(path, write=write)
    except UnusableDirectoryError as problem:
        fail(str(problem))


@store.command()
@directory_command
def stat(dir: str, as_json: bool) -> None:
    """Sizes and counts, as a start would find them."""
    from wickhinge.store import maintenance

    print_answer(maintenance.stat(open_volume(dir)), as_json)


@store.command("ls")
@directory_command
@click.option("--object", "key", help="Only this object, 16 hex digits.")
@click.option("--limit", type=click.IntRange(0), default=1000, show_default=True)
def ls(dir: str, as_json: bool, key: str | None, limit: int) -> None:
    """The copies, the latest used first; with --json one object a line."""
    from itertools import islice

    from wickhinge.store import maintenance

    for row in islice(maintenance.list_copies(open_volume(dir), hexadecimal(key)), limit):
        if as_json:
            print_json(row)
        else:
            click.echo("{object} {part:>3} group {group:<5} {bytes:>7} bytes made {made} tag {tag}".format(**row))


def hexadecimal(key: str | None) -> int | None:
    """An object's key as it is given to --object."""
    if key is None:
        return None
    try:
        if len(key) != KEY_DIGITS:
            raise ValueError
        return int(key, 16)
    except ValueError:
        raise click.BadParameter(f"{key!r} is not 16 hex digits", param_hint="--object") from None


@store.command()
@directory_command
def verify(dir: str, as_json: bool) -> None:
    """Read everything and hold it against its checksums; 1 if anything is damaged."""
    from wickhinge.store import maintenance

    answer = maintenance.verify(open_volume(dir))
    print_answer(answer, as_json)
    sys.exit(WRONG if answer["damaged"] else 0)


@store.command()
@directory_command
@click.option("--object", "key", help="This object, 16 hex digits.")
@click.option("--group", type=click.IntRange(0, 65534), help="All objects of this group.")
@click.option("--all", "every", is_flag=True, help="Everything.")
def purge(dir: str, as_json: bool, key: str | None, group: int | None, every: bool) -> None:
    """Purge copies while no router uses the directory."""
    from wickhinge.store import maintenance

    if (key is not None) + (group is not None) + every != 1:
        raise click.UsageError("give one of --object, --group and --all")
    volume = open_volume(dir, write=True)
    try:
        purged = maintenance.purge(volume, hexadecimal(key), group if group is not None else -1 if every else 0)
    except OSError as problem:
        fail(f"{dir}: {problem.strerror}")
    finally:
        volume.close()
    print_answer({"purged": purged}, as_json)


@store.command()
@directory_command
def compact(dir: str, as_json: bool) -> None:
    """Write what counts anew and recycle the rest, while no router uses the directory."""
    from wickhinge.store import maintenance

    volume = open_volume(dir, write=True)
    try:
        shows_progress = not as_json and sys.stderr.isatty()
        print_answer(maintenance.compact(volume, show_progress if shows_progress else None), as_json)
    except OSError as problem:
        fail(f"{dir}: {problem.strerror}")
    finally:
        volume.close()


def show_progress(done: int, total: int) -> None:
    """Called after each copy."""
    if done % COPIES_PER_PROGRESS == 0 or done == total:
        click.echo(f"\r{done} of {total} copies", nl=done == total, err=True)
