"""Commands of the change log: its replicas and relays as processes, changes for it, where everybody stands, backups."""

from __future__ import annotations

import os
import sys
from typing import Any, NoReturn

import click
import orjson

from wickhinge.cli.commands import JSON, OPTIONS, WRONG, fail, main

NAME = click.option("--name", required=True, help="Which of the settings' machines this one is.")
FILE = click.option("--options", type=OPTIONS, help="Our own settings; else WICKHINGE_OPTIONS names them.")
TIMEOUT = click.option("--timeout", "timeout_s", type=click.FloatRange(0.1, 600), default=10.0, show_default=True)


@main.group()
def changelog() -> None:
    """An ordered log of purges and settings, handed down to all routers."""


def settings(path: str | None) -> Any:
    """The settings' `changelog`; ends the process where they cannot be used."""
    from wickhinge.options import OptionsError, load

    path = path or os.environ.get("WICKHINGE_OPTIONS")
    if not path:
        fail("give --options or set WICKHINGE_OPTIONS")
    try:
        return load(path).changelog
    except OptionsError as fault:
        fail(str(fault))


def client(path: str | None) -> Any:
    from wickhinge.cli.changelog_client import Client
    from wickhinge.fields import Malformed

    found = settings(path)
    for key in ("replicas", "relays"):
        if not getattr(found, key):
            fail(f"changelog.{key}: is empty")
    try:
        return Client(found)
    except Malformed as fault:
        fail(str(fault))


def directory_of(found: Any, name: str) -> str:
    if name not in {machine.name for machine in found.replicas}:
        fail(f"changelog.replicas: none is named {name}")
    if not found.dir:
        fail("changelog.dir: is missing")
    return f"{found.dir}/{name}"


def run(name: str, options: str | None, storage: Any) -> NoReturn:
    """Runs a replica or a relay until SIGTERM; exit code 1 where its storage failed."""
    from wickhinge.fields import Malformed

    def reread() -> Any:
        from wickhinge.options import OptionsError, load

        try:
            return load(options or os.environ["WICKHINGE_OPTIONS"]).changelog
        except OptionsError as fault:
            raise Malformed(str(fault)) from None

    from twisted.internet import reactor

    from wickhinge.changelog.daemon import Daemon

    try:
        code = Daemon(name, settings(options), reactor, reread, storage).run()
    except (Malformed, OSError) as fault:
        fail(str(fault))
    sys.exit(code)


@changelog.command()
@FILE
@NAME
@click.option("--new", is_flag=True, help="Begin a new log: at the first start of all replicas, and never else.")
def replica(options: str | None, name: str, new: bool) -> None:
    """Run a replica until SIGTERM. One that has lost its files must stay away until the next `restore`."""
    from wickhinge.changelog.errors import StorageError, StorageMissingError
    from wickhinge.changelog.storage import FileStorage
    from wickhinge.changelog.stored import Stored
    from wickhinge.store.files import Files

    directory = directory_of(settings(options), name)
    try:
        if new:
            storage = FileStorage.create(directory, Stored(), Files())
        else:
            storage = FileStorage.open(directory, Files())
    except StorageMissingError as fault:
        fail(f"{fault}; --new begins a new log")
    except (StorageError, OSError) as fault:
        fail(str(fault))
    run(name, options, storage)


@changelog.command()
@FILE
@NAME
def relay(options: str | None, name: str) -> None:
    """Run a relay until SIGTERM. It keeps nothing on disk."""
    found = settings(options)
    if name not in {machine.name for machine in found.relays}:
        fail(f"changelog.relays: none is named {name}")
    if not found.replicas:
        fail("changelog.replicas: is empty")
    run(name, options, None)


def append(options: str | None, change: Any, timeout_s: float, as_json: bool) -> NoReturn:
    from wickhinge.changelog.entries import validate
    from wickhinge.changelog.errors import InvalidChangeError
    from wickhinge.cli.changelog_client import NotAppendedError

    asking = client(options)
    try:
        validate(change)
        answer = asking.append(change, timeout_s)
    except (InvalidChangeError, NotAppendedError) as fault:
        fail(str(fault), WRONG)
    has, lack, silent = asking.wait_for_routers(answer.number, timeout_s)
    told = {"epoch": answer.epoch, "number": answer.number, "stamp_ms": answer.stamp_ms, "routers": len(has)}
    if as_json:
        click.echo(orjson.dumps({**told, "lack": lack, "silent_relays": silent}).decode())
    else:
        click.echo(", ".join(f"{name} {value}" for name, value in told.items()))
        for name in lack:
            click.echo(f"router {name} lacks it")
        for name in silent:
            click.echo(f"relay {name} does not answer")
        if not has and not lack:
            click.echo("no relay knows of a router")
    sys.exit(0 if has and not lack else WRONG)


@changelog.command("append-purge")
@click.argument("key", required=False)
@click.option("--group", type=click.IntRange(0, 65535), help="All objects of this group; with KEY: the object's.")
@FILE
@TIMEOUT
@JSON
def append_purge(key: str | None, group: int | None, options: str | None, timeout_s: float, as_json: bool) -> None:
    """Void all copies of the object KEY (16 hex digits), or of a group, that were made before now.

    Returns when all routers that the relays know have it; 1 and their names where some lack it, or if it is not known
    to be in the log.
    """
    from wickhinge.changelog.entries import Purge

    if key is None and group is None:
        fail("append-purge: give KEY, --group or both")
    try:
        number = None if key is None else int(key, 16)
    except ValueError:
        fail(f"append-purge: {key} is not hex digits")
    append(options, Purge(number, group or 0, 0), timeout_s, as_json)


@changelog.command("append-setting")
@click.argument("setting")
@click.argument("value")
@FILE
@TIMEOUT
@JSON
def append_setting(setting: str, value: str, options: str | None, timeout_s: float, as_json: bool) -> None:
    """Put SETTING in force with VALUE at all routers; returns as append-purge does."""
    from wickhinge.changelog.entries import Setting
    from wickhinge.changelog.settings_table import check_value
    from wickhinge.fields import Malformed

    try:
        check_value(setting, value.encode())
    except Malformed as fault:
        fail(f"append-setting: {setting}: {fault}")
    append(options, Setting(setting, value.encode(), 0), timeout_s, as_json)


@changelog.command()
@FILE
@JSON
def show(options: str | None, as_json: bool) -> None:
    """Where each replica, relay and router stands; 1 if something is not well."""
    import msgspec

    from wickhinge.cli.changelog_client import faults_of, routers_of

    asking = client(options)
    machines = asking.machines([*asking.replicas, *asking.relays])
    routers = routers_of(machines)
    faults = faults_of(machines, routers)
    if as_json:
        statuses = [machine.status or {"name": machine.name, "error": machine.error} for machine in machines]
        click.echo(msgspec.json.encode({"machines": statuses, "routers": routers, "faults": faults}).decode())
    else:
        for machine in machines:
            click.echo(machine_line(machine))
        for router in routers:
            click.echo(router_line(router))
        for fault in faults:
            click.echo(f"NOT WELL: {fault}")
    sys.exit(WRONG if faults else 0)


def machine_line(machine: Any) -> str:
    status = machine.status
    if status is None:
        return f"{machine.role:<8} {machine.name:<16} does not answer"
    where = f"{status.state}, term {status.term}" if status.role == "replica" else f"follows {status.source}"
    age = "age not known" if status.age_s is None else f"age {status.age_s:.2f} s"
    return (
        f"{machine.role:<8} {machine.name:<16} epoch {status.epoch}, number {status.number}, {age}, {where}, "
        f"{status.followers} followers"
    )


def router_line(router: Any) -> str:
    from wickhinge.cli.changelog_client import uninformed

    state = f", {uninformed(router)}" if uninformed(router) else ""
    differs = ", its log differs" if router.agrees is False else ""
    return (
        f"router   {router.name:<16} number {router.number}, lag {router.lag}, by {router.relay}, "
        f"heard {router.heard_s:.1f} s ago{state and ', ' + state}{differs}"
    )


@changelog.command()
@FILE
@TIMEOUT
@click.argument("file", type=click.Path(dir_okay=False))
def backup(options: str | None, timeout_s: float, file: str) -> None:
    """Write the log's state, settings and latest purges, to FILE, for `restore`."""
    from twisted.internet import reactor

    from wickhinge.cli.changelog_client import backup as fetch
    from wickhinge.fields import Malformed
    from wickhinge.store.files import Files, replace

    def done(data: bytes, number: int) -> None:
        replace(Files(), os.path.dirname(os.path.abspath(file)), os.path.basename(file), data)
        click.echo(f"number {number}, {len(data)} bytes")

    found = settings(options)
    if not found.relays:
        fail("changelog.relays: is empty")
    try:
        why = fetch(found, timeout_s, done, reactor)
    except (Malformed, OSError) as fault:
        fail(str(fault))
    if why:
        fail(why, WRONG)


@changelog.command()
@FILE
@NAME
@click.option("--epoch", type=click.IntRange(2), required=True, help="Higher than any that `show` has shown.")
@click.argument("file", type=click.Path(dir_okay=False, exists=True))
def restore(options: str | None, name: str, epoch: int, file: str) -> None:
    """Make a replica's files out of the backup FILE, in a new epoch.

    The same at a majority of the replicas, all of them stopped, their old files moved away. Refused while a replica
    answers that is in this epoch already: what the others promised would be forgotten here.
    """
    import msgspec

    from wickhinge.changelog.errors import MalformedMessageError, StorageInUseError
    from wickhinge.changelog.snapshots import decode_snapshot
    from wickhinge.changelog.storage import FileStorage
    from wickhinge.changelog.stored import Stored
    from wickhinge.store.files import Files

    directory = directory_of(settings(options), name)
    try:
        with open(file, "rb") as opened:
            snapshot = decode_snapshot(opened.read())
    except (OSError, MalformedMessageError) as fault:
        fail(f"{file}: {fault}")
    if snapshot.epoch >= epoch:
        fail(f"restore: --epoch: the backup is of epoch {snapshot.epoch}, a higher one is needed")
    for machine in client(options).machines(machine.name for machine in settings(options).replicas):
        if machine.status is not None and machine.status.epoch >= epoch:
            fail(f"restore: --epoch: {machine.name} runs in epoch {machine.status.epoch}; a higher one is needed")
    snapshot = msgspec.structs.replace(snapshot, epoch=epoch, term=0)
    try:
        FileStorage.create(directory, Stored(epoch=epoch, snapshot=snapshot), Files()).close()
    except (StorageInUseError, OSError) as fault:
        fail(str(fault))
    click.echo(f"{directory}: epoch {epoch}, number {snapshot.number}")
