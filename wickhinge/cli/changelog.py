"""Commands of the change log: its replicas and relays as processes, changes for it, its status, backups."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NoReturn

import click

from wickhinge.cli.commands import main
from wickhinge.cli.output import JSON_OPTION, OPTIONS_FILE, WRONG, fail, print_json

if TYPE_CHECKING:
    from wickhinge.changelog.daemon import Daemon
    from wickhinge.changelog.entries import Change
    from wickhinge.changelog.stored import Storage
    from wickhinge.cli.changelog_client import Client, Router, Server
    from wickhinge.options.records import Changelog

STANDARD_OUTPUT = 1  # the descriptor
NAME = click.option("--name", required=True, help="Which of the settings' machines this one is.")
FILE = click.option("--options", type=OPTIONS_FILE, help="Our own settings; else WICKHINGE_OPTIONS names them.")
TIMEOUT = click.option("--timeout", "timeout_s", type=click.FloatRange(0.1, 600), default=10.0, show_default=True)


@main.group()
def changelog() -> None:
    """An ordered log of purges and settings, handed down to all routers."""


def read_settings(path: str | None) -> Changelog:
    """The settings' `changelog`; ends the process where they cannot be used."""
    from wickhinge.options import OptionsError, load

    path = path or os.environ.get("WICKHINGE_OPTIONS")
    if not path:
        fail("give --options or set WICKHINGE_OPTIONS")
    try:
        return load(path).changelog
    except OptionsError as error:
        fail(str(error))


def make_client(path: str | None) -> Client:
    """A client by the settings; ends the process where they cannot be used."""
    from wickhinge.cli.changelog_client import Client
    from wickhinge.fields import MalformedError

    settings = read_settings(path)
    for key in ("replicas", "relays"):
        if not getattr(settings, key):
            fail(f"changelog.{key}: is empty")
    try:
        return Client(settings)
    except MalformedError as error:
        fail(str(error))


def directory_of(settings: Changelog, name: str) -> str:
    """Where the replica `name` has its files; ends the process where the settings do not say."""
    if name not in {server.name for server in settings.replicas}:
        fail(f"changelog.replicas: none is named {name}")
    if not settings.dir:
        fail("changelog.dir: is missing")
    return f"{settings.dir}/{name}"


def load_settings(path: str) -> Changelog:
    """The settings' `changelog`. Raises MalformedError; UnreadableFileError where the file may be whole soon."""
    from wickhinge.fields import MalformedError, UnreadableFileError
    from wickhinge.options import OptionsError, UnreadableOptionsError, load

    try:
        return load(path).changelog
    except UnreadableOptionsError as error:
        raise UnreadableFileError(str(error)) from None
    except OptionsError as error:
        raise MalformedError(str(error)) from None


def run_daemon(name: str, options: str | None, open_storage: Callable[[Changelog], Storage | None]) -> NoReturn:
    """Runs a replica or a relay until SIGTERM; exit code 1 where its storage failed.

    open_storage: checks the settings and opens the files, if the process has any.
    """
    from wickhinge.common.process_signals import received_signals
    from wickhinge.common.start_attempts import ShutdownRequestedError, StartAttempts, StartFailedError
    from wickhinge.fields import MalformedError

    received_signals.install()
    attempts = StartAttempts(received_signals)
    path = options or os.environ.get("WICKHINGE_OPTIONS") or fail("give --options or set WICKHINGE_OPTIONS")
    try:
        settings = attempts.run(lambda: load_settings(path))
        storage = attempts.run(lambda: open_storage(settings))
        daemon = attempts.run(lambda: make_daemon(name, settings, lambda: load_settings(path), storage))
        code = daemon.run()
    except ShutdownRequestedError:
        code = 0
    except (MalformedError, StartFailedError) as error:
        fail(str(error))
    finally:
        received_signals.ignore()
    sys.exit(code)


def make_daemon(
    name: str, settings: Changelog, reload_settings: Callable[[], Changelog], storage: Storage | None
) -> Daemon:
    """A replica, where there is a storage, or a relay. Raises MalformedError, UnreadableFileError."""
    from twisted.internet import reactor

    from wickhinge.changelog.context import Runtime
    from wickhinge.changelog.daemon import Daemon
    from wickhinge.net.runtime.log import Log

    log = Log(STANDARD_OUTPUT, name, time.time)

    def write_event(event: str, /, **fields: object) -> None:
        log.event(event, **fields)

    return Daemon(name, settings, Runtime(reactor, log=write_event), reload_settings, storage)


@changelog.command()
@FILE
@NAME
@click.option("--new", is_flag=True, help="Begin a new log: at the first start of all replicas, and never else.")
def replica(options: str | None, name: str, new: bool) -> None:
    """Run a replica until SIGTERM. One that has lost its files must stay away until the next `restore`."""
    from wickhinge.changelog.errors import StorageError, StorageMissingError
    from wickhinge.changelog.storage import FileStorage
    from wickhinge.changelog.stored import StoredState
    from wickhinge.store.files import Files

    def open_storage(settings: Changelog) -> Storage:
        directory = directory_of(settings, name)
        try:
            files = Files()
            return FileStorage.create(directory, StoredState(), files) if new else FileStorage.open(directory, files)
        except StorageMissingError as error:
            fail(f"{error}; --new begins a new log")
        except StorageError as error:
            fail(str(error))

    run_daemon(name, options, open_storage)


@changelog.command()
@FILE
@NAME
def relay(options: str | None, name: str) -> None:
    """Run a relay until SIGTERM. It keeps nothing on disk."""

    def check(settings: Changelog) -> None:
        if name not in {server.name for server in settings.relays}:
            fail(f"changelog.relays: none is named {name}")
        if not settings.replicas:
            fail("changelog.replicas: is empty")

    run_daemon(name, options, check)


def append(options: str | None, change: Change, timeout_s: float, as_json: bool) -> NoReturn:
    """Appends a change, waits for the routers and prints who has it."""
    from wickhinge.changelog.entries import validate_change
    from wickhinge.changelog.errors import InvalidChangeError
    from wickhinge.cli.changelog_client import NotAppendedError

    client = make_client(options)
    try:
        validate_change(change)
        answer = client.append(change, timeout_s)
    except (InvalidChangeError, NotAppendedError) as error:
        fail(str(error), WRONG)
    routers = client.wait_for_routers(answer.number, timeout_s)
    figures = {
        "epoch": answer.epoch,
        "number": answer.number,
        "stamp_ms": answer.stamp_ms,
        "routers": len(routers.having),
    }
    if as_json:
        print_json({**figures, "lack": routers.lacking, "silent_relays": routers.silent_relays})
    else:
        click.echo(", ".join(f"{name} {value}" for name, value in figures.items()))
        for name in routers.lacking:
            click.echo(f"router {name} lacks it")
        for name in routers.silent_relays:
            click.echo(f"relay {name} does not answer")
        if not routers.having and not routers.lacking:
            click.echo("no relay knows of a router")
    sys.exit(0 if routers.are_complete else WRONG)


@changelog.command("append-purge")
@click.argument("key", required=False)
@click.option("--group", type=click.IntRange(0, 65535), help="All objects of this group; with KEY: the object's.")
@FILE
@TIMEOUT
@JSON_OPTION
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
@JSON_OPTION
def append_setting(setting: str, value: str, options: str | None, timeout_s: float, as_json: bool) -> None:
    """Put SETTING in force with VALUE at all routers; returns as append-purge does."""
    from wickhinge.changelog.entries import Setting
    from wickhinge.changelog.settings_table import check_value
    from wickhinge.fields import MalformedError

    try:
        check_value(setting, value.encode())
    except MalformedError as error:
        fail(f"append-setting: {setting}: {error}")
    append(options, Setting(setting, value.encode(), 0), timeout_s, as_json)


@changelog.command()
@FILE
@JSON_OPTION
def show(options: str | None, as_json: bool) -> None:
    """Where each replica, relay and router stands; 1 if something is not well."""
    import msgspec

    from wickhinge.cli.changelog_client import faults_of, routers_of

    client = make_client(options)
    servers = client.servers([*client.replicas, *client.relays])
    routers = routers_of(servers)
    faults = faults_of(servers, routers)
    if as_json:
        statuses = [server.status or {"name": server.name, "error": server.error} for server in servers]
        click.echo(msgspec.json.encode({"machines": statuses, "routers": routers, "faults": faults}).decode())
    else:
        for server in servers:
            click.echo(server_line(server))
        for router in routers:
            click.echo(router_line(router))
        for fault in faults:
            click.echo(f"NOT WELL: {fault}")
    sys.exit(WRONG if faults else 0)


def server_line(server: Server) -> str:
    """One replica or relay in words."""
    status = server.status
    if status is None:
        return f"{server.role:<8} {server.name:<16} does not answer"
    where = f"{status.state}, term {status.term}" if status.role == "replica" else f"follows {status.source}"
    age = "age not known" if status.age_s is None else f"age {status.age_s:.2f} s"
    return (
        f"{server.role:<8} {server.name:<16} epoch {status.epoch}, number {status.number}, {age}, {where}, "
        f"{status.followers} followers"
    )


def router_line(router: Router) -> str:
    """One router in words."""
    from wickhinge.cli.changelog_client import describe_uninformed

    uninformed = describe_uninformed(router)
    state = f", {uninformed}" if uninformed else ""
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

    from wickhinge.cli.changelog_client import fetch_backup
    from wickhinge.fields import MalformedError
    from wickhinge.store.files import Files, replace_file

    def write(data: bytes, number: int) -> None:
        replace_file(Files(), os.path.dirname(os.path.abspath(file)), os.path.basename(file), data)
        click.echo(f"number {number}, {len(data)} bytes")

    settings = read_settings(options)
    if not settings.relays:
        fail("changelog.relays: is empty")
    try:
        reason = fetch_backup(settings, timeout_s, write, reactor)
    except (MalformedError, OSError) as error:
        fail(str(error))
    if reason:
        fail(reason, WRONG)


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
    from wickhinge.changelog.stored import StoredState
    from wickhinge.store.files import Files

    directory = directory_of(read_settings(options), name)
    try:
        with open(file, "rb") as opened:
            snapshot = decode_snapshot(opened.read())
    except (OSError, MalformedMessageError) as error:
        fail(f"{file}: {error}")
    if snapshot.epoch >= epoch:
        fail(f"restore: --epoch: the backup is of epoch {snapshot.epoch}, a higher one is needed")
    for server in make_client(options).servers(replica.name for replica in read_settings(options).replicas):
        if server.status is not None and server.status.epoch >= epoch:
            fail(f"restore: --epoch: {server.name} runs in epoch {server.status.epoch}; a higher one is needed")
    snapshot = msgspec.structs.replace(snapshot, epoch=epoch, term=0)
    try:
        FileStorage.create(directory, StoredState(epoch=epoch, snapshot=snapshot), Files()).close()
    except (StorageInUseError, OSError) as error:
        fail(str(error))
    click.echo(f"{directory}: epoch {epoch}, number {snapshot.number}")
