"""Commands for a store's directory of copies: those that change it need that no router uses it."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click

from wickhinge.cli.commands import main
from wickhinge.cli.output import EXIT_FAULT_FOUND, JSON_OPTION, fail, print_answer, print_json

OBJECT_KEY_DIGITS = 16  # Hexadecimal digits of an object's key.
COPIES_PER_PROGRESS_LINE = 256


@main.group()
def store() -> None:
    """Inspect and repair a store: a router's directory of copies."""


def directory_command(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the argument DIR and the option --json to a command."""
    return click.argument("dir", type=click.Path(file_okay=False, exists=True))(JSON_OPTION(command))


def open_volume(path: str, *, write: bool = False) -> Any:
    """Open the store in a directory; exit if the directory is not a usable store."""
    from wickhinge.store import maintenance
    from wickhinge.store.errors import UnusableDirectoryError

    try:
        return maintenance.open_volume(path, write=write)
    except UnusableDirectoryError as error:
        fail(str(error))


@store.command()
@directory_command
def stat(dir: str, as_json: bool) -> None:
    """Print sizes and counts as a starting router would find them."""
    from wickhinge.store import maintenance

    print_answer(maintenance.stat(open_volume(dir)), as_json)


@store.command("ls")
@directory_command
@click.option("--object", "key", help="List only this object, given as 16 hex digits.")
@click.option("--limit", type=click.IntRange(0), default=1000, show_default=True)
def ls(dir: str, as_json: bool, key: str | None, limit: int) -> None:
    """List the copies, the most recently used first; with --json one JSON object per line."""
    from itertools import islice

    from wickhinge.store import maintenance

    for row in islice(maintenance.list_copies(open_volume(dir), parse_object_key(key)), limit):
        if as_json:
            print_json(row)
        else:
            click.echo("{object} {part:>3} group {group:<5} {bytes:>7} bytes made {made} tag {tag}".format(**row))


def parse_object_key(key: str | None) -> int | None:
    """Return the key given to --object as a number, or None if the option is not given."""
    if key is None:
        return None
    try:
        if len(key) != OBJECT_KEY_DIGITS:
            raise ValueError
        return int(key, 16)
    except ValueError:
        raise click.BadParameter(f"{key!r} is not 16 hex digits", param_hint="--object") from None


@store.command()
@directory_command
def verify(dir: str, as_json: bool) -> None:
    """Read all live copies and compare them with their checksums; exit with 1 if anything is damaged."""
    from wickhinge.store import maintenance

    answer = maintenance.verify(open_volume(dir))
    print_answer(answer, as_json)
    sys.exit(EXIT_FAULT_FOUND if answer["damaged"] else 0)


@store.command()
@directory_command
@click.option("--object", "key", help="Purge this object, given as 16 hex digits.")
@click.option("--group", type=click.IntRange(0, 65534), help="Purge all objects of this group.")
@click.option("--all", "every", is_flag=True, help="Purge all objects.")
def purge(dir: str, as_json: bool, key: str | None, group: int | None, every: bool) -> None:
    """Purge copies while no router uses the directory."""
    from wickhinge.store import maintenance

    if (key is not None) + (group is not None) + every != 1:
        raise click.UsageError("give one of --object, --group and --all")
    volume = open_volume(dir, write=True)
    try:
        purged = maintenance.purge(volume, parse_object_key(key), group if group is not None else -1 if every else 0)
    except OSError as error:
        fail(f"{dir}: {error.strerror}")
    finally:
        volume.close()
    print_answer({"purged": purged}, as_json)


@store.command()
@directory_command
def compact(dir: str, as_json: bool) -> None:
    """Rewrite the live copies in order and recycle all else, while no router uses the directory."""
    from wickhinge.store import maintenance

    volume = open_volume(dir, write=True)
    try:
        shows_progress = not as_json and sys.stderr.isatty()
        print_answer(maintenance.compact(volume, show_progress if shows_progress else None), as_json)
    except OSError as error:
        fail(f"{dir}: {error.strerror}")
    finally:
        volume.close()


def show_progress(done: int, total: int) -> None:
    """Print how many copies have been rewritten; called after each copy."""
    if done % COPIES_PER_PROGRESS_LINE == 0 or done == total:
        click.echo(f"\r{done} of {total} copies", nl=done == total, err=True)
