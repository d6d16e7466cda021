"""The commands: arguments in, one answer out, in words or as one JSON object."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any

import click
import orjson

from wickhinge import __version__

WRONG, UNUSABLE = 1, 2


def fail(text: str, code: int = UNUSABLE) -> Any:
    click.echo(f"wickhinge: {text}", err=True)
    raise SystemExit(code)


def tell(answer: dict[str, Any], as_json: bool) -> None:
    if as_json:
        click.echo(orjson.dumps(answer).decode())
        return
    for name, value in answer.items():
        for line in value if isinstance(value, list) else [value]:
            click.echo(f"{name:<16} {line}")


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="wickhinge", message="%(prog)s %(version)s")
def main() -> None:
    """A visit router for caches that fill from parents and an origin."""


OPTIONS = click.Path(dir_okay=False)


@main.command()
@click.option(
    "--options",
    type=OPTIONS,
    envvar="WICKHINGE_OPTIONS",
    help="Our own settings, as deploy/wickhinge.cue; none: all of them off.",
)
def run(options: str | None) -> None:
    """Start one router, told what it is by RELAY_CONFIG."""
    from wickhinge.net.control.start import main as start

    sys.exit(start(options))


@main.command("check-config")
@click.option("--options", type=OPTIONS, help="A file of our own settings.")
@click.option("--config", type=OPTIONS, help="A platform's configuration, as RELAY_CONFIG names it.")
@click.option("--json", "as_json", is_flag=True, help="The settings in force, as one JSON object.")
def check_config(options: str | None, config: str | None, as_json: bool) -> None:
    """Check settings without starting anything; 2 and the faulty key if they can't be used."""
    import msgspec

    from wickhinge import settings
    from wickhinge.fields import Malformed
    from wickhinge.net.control import config as platform
    from wickhinge.options import Fault, load

    if not options and not config:
        fail("check-config: give --options, --config or both")
    answer: dict[str, Any] = {}
    try:
        if options:
            answer["options"] = msgspec.to_builtins(load(options))
        if config:
            conf = platform.read({"RELAY_CONFIG": config})
            router, tariffs = settings.build(platform.settings(conf), platform.seed(conf), None)
            platform.process_limits(conf)
            platform.connection_limits(conf)
            platform.known_events(conf)
            platform.link_limits(conf)
            answer["config"] = {
                "name": platform.name(conf),
                "listen": ":".join(map(str, platform.listen_address(conf))),
                "journal": ":".join(map(str, platform.discovery_address(conf))),
                "location": router.fleet.zone,
                "tariffs": list(tariffs),
            }
    except (Fault, Malformed) as problem:
        fail(str(problem))
    if as_json:
        click.echo(orjson.dumps(answer).decode())
        return
    for part in answer.values():
        for name, value in part.items():
            for inner, more in value.items() if isinstance(value, dict) else [("", value)]:
                click.echo(f"{name}{'.' * bool(inner)}{inner} = {more}")


@main.group()
def store() -> None:
    """Look at, and mend, a directory of copies of our own."""


JSON = click.option("--json", "as_json", is_flag=True, help="One JSON object.")


def directory(command: Callable[..., Any]) -> Callable[..., Any]:
    return click.argument("dir", type=click.Path(file_okay=False, exists=True))(JSON(command))


def opened(path: str, write: bool = False) -> Any:
    from wickhinge.store import maintenance
    from wickhinge.store.errors import UnusableDirectoryError

    try:
        return maintenance.open_volume(path, write=write)
    except UnusableDirectoryError as problem:
        fail(str(problem))


@store.command()
@directory
def stat(dir: str, as_json: bool) -> None:
    """Sizes and counts, as a start would find them."""
    from wickhinge.store import maintenance

    tell(maintenance.stat(opened(dir)), as_json)


@store.command("ls")
@directory
@click.option("--object", "key", help="Only this object, 16 hex digits.")
@click.option("--limit", type=click.IntRange(0), default=1000, show_default=True)
def ls(dir: str, as_json: bool, key: str | None, limit: int) -> None:
    """The copies, the latest used first; with --json one object a line."""
    from itertools import islice

    from wickhinge.store import maintenance

    for row in islice(maintenance.list_copies(opened(dir), hexadecimal(key)), limit):
        if as_json:
            click.echo(orjson.dumps(row).decode())
        else:
            click.echo("{object} {part:>3} group {group:<5} {bytes:>7} bytes made {made} tag {tag}".format(**row))


def hexadecimal(key: str | None) -> int | None:
    if key is None:
        return None
    try:
        if len(key) != 16:
            raise ValueError
        return int(key, 16)
    except ValueError:
        raise click.BadParameter(f"{key!r} is not 16 hex digits", param_hint="--object") from None


@store.command()
@directory
def verify(dir: str, as_json: bool) -> None:
    """Read everything and hold it against its checksums; 1 if anything is damaged."""
    from wickhinge.store import maintenance

    answer = maintenance.verify(opened(dir))
    tell(answer, as_json)
    sys.exit(WRONG if answer["damaged"] else 0)


@store.command()
@directory
@click.option("--object", "key", help="This object, 16 hex digits.")
@click.option("--group", type=click.IntRange(0, 65534), help="All objects of this group.")
@click.option("--all", "every", is_flag=True, help="Everything.")
def purge(dir: str, as_json: bool, key: str | None, group: int | None, every: bool) -> None:
    """Purge copies while no router uses the directory."""
    from wickhinge.store import maintenance

    if (key is not None) + (group is not None) + every != 1:
        raise click.UsageError("give one of --object, --group and --all")
    volume = opened(dir, write=True)
    try:
        gone = maintenance.purge(volume, hexadecimal(key), group if group is not None else -1 if every else 0)
    except OSError as problem:
        fail(f"{dir}: {problem.strerror}")
    finally:
        volume.close()
    tell({"purged": gone}, as_json)


@store.command()
@directory
def compact(dir: str, as_json: bool) -> None:
    """Write what counts anew and recycle the rest, while no router uses the directory."""
    from wickhinge.store import maintenance

    volume = opened(dir, write=True)
    try:
        shown = not as_json and sys.stderr.isatty()
        tell(maintenance.compact(volume, progress if shown else None), as_json)
    except OSError as problem:
        fail(f"{dir}: {problem.strerror}")
    finally:
        volume.close()


@main.group("list")
def lists() -> None:
    """Look at remembered lists of machines."""


def remembered(path: str) -> Any:
    """The newest whole list of a directory, or that of one file."""
    import os

    from wickhinge.membership import stored_list as form
    from wickhinge.membership.endpoint_list_file import EndpointListFile
    from wickhinge.membership.errors import CorruptListError
    from wickhinge.store.files import Files

    try:
        if os.path.isdir(path):
            memory, wrong = EndpointListFile(Files(), path).read()
            for why in wrong:
                click.echo(f"wickhinge: {path}: {why}", err=True)
            if memory is None:
                fail(f"{path}: holds no list")
            return memory
        with open(path, "rb") as file:
            return form.decode(file.read(form.MAX_FILE_BYTES + 1))[1]
    except CorruptListError as problem:
        fail(f"{path}: {problem}")
    except OSError as problem:
        fail(f"{path}: cannot be read: {problem.strerror}")


def rows(memory: Any) -> list[dict[str, Any]]:
    from wickhinge.membership.stored_list import record_fields

    return [{**record_fields(one), "mark": f"s-{one.endpoint_id:08x}"} for one in memory.endpoints]


def whole(memory: Any) -> dict[str, Any]:
    return {
        "deployment": memory.deployment,
        "written": memory.written_at,
        "heard": memory.last_update_at,
        "number": memory.last_event,
        "machines": rows(memory),
        "gone": [[f"s-{mark:08x}", when] for mark, when in memory.gone],
        "purges": [[None if key is None else f"{key:016x}", group, stamp] for key, group, stamp in memory.purges],
        "usual": memory.usual_loads,
    }


LIST = click.argument("file", type=click.Path(exists=True))


@lists.command()
@LIST
@JSON
def show(file: str, as_json: bool) -> None:
    """The machines of a list, with their states, sources and trust when it was written."""
    memory = remembered(file)
    if as_json:
        click.echo(orjson.dumps(whole(memory)).decode())
        return
    click.echo(
        f"event {memory.last_event}, heard {memory.last_update_at:.0f}, {len(memory.endpoints)} machines, "
        f"{len(memory.gone)} gone, {len(memory.purges)} purges"
    )
    for one in rows(memory):
        click.echo(
            "{mark} {host}:{port:<5} {state:<8} {zone} {kind} cell {cell} weight {weight:g} by {source} {stage}".format(
                **one
            )
        )


@lists.command()
@LIST
@JSON
def age(file: str, as_json: bool) -> None:
    """Seconds since the service last vouched for a list; 1 if that is over a day, or not known."""
    import time

    memory = remembered(file)
    seconds = time.time() - memory.last_update_at if 0 < memory.last_update_at <= time.time() + 5 else None
    tell({"age_s": None if seconds is None else round(seconds, 1), "number": memory.last_event}, as_json)
    sys.exit(WRONG if seconds is None or seconds > 86400 else 0)


@lists.command()
@LIST
@click.argument("other", type=click.Path(exists=True))
@JSON
def diff(file: str, other: str, as_json: bool) -> None:
    """What changed from one list to another, and what looks like a mistake; 1 if anything did."""
    from wickhinge.membership.comparison import compare
    from wickhinge.membership.stored_list import to_statement

    comparison = compare(*([to_statement(one) for one in remembered(path).endpoints] for path in (file, other)))
    answer = {name: [f"s-{one:08x}" for one in found] for name, found in comparison.changes().items()}
    answer["doubts"] = comparison.warnings
    tell(answer, as_json)
    sys.exit(WRONG if any(answer.values()) else 0)


@lists.command()
@LIST
@click.argument("to", type=click.Path(dir_okay=False))
def export(file: str, to: str) -> None:
    """A list as one JSON object in a file; - for standard output."""
    data = orjson.dumps(whole(remembered(file)), option=orjson.OPT_INDENT_2) + b"\n"
    try:
        with click.open_file(to, "wb") as out:
            out.write(data)
    except OSError as problem:
        fail(f"{to}: cannot be written: {problem.strerror}")


def progress(done: int, total: int) -> None:
    if done % 256 == 0 or done == total:
        click.echo(f"\r{done} of {total} copies", nl=done == total, err=True)
