"""Commands of the change log: run a replica or relay, append changes, show the status, back up and restore."""

from __future__ import annotations

import os
import sys
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, NoReturn

import click

from wickhinge.cli.commands import main
from wickhinge.cli.output import EXIT_FAULT_FOUND, JSON_OPTION, SETTINGS_FILE_PATH, fail, print_json

if TYPE_CHECKING:
    from wickhinge.changelog.daemon import Daemon
    from wickhinge.changelog.entries import Change
    from wickhinge.changelog.stored import Storage
    from wickhinge.cli.changelog_client import Client, Router, Server
    from wickhinge.options.load import OptionsFile
    from wickhinge.options.records import Changelog

STDOUT_DESCRIPTOR = 1
NAME_OPTION = click.option("--name", required=True, help="Name of this replica or relay in the settings.")
SETTINGS_FILE_OPTION = click.option(
    "--options", type=SETTINGS_FILE_PATH, help="Wickhinge's own settings; by default the file in WICKHINGE_OPTIONS."
)
TIMEOUT_OPTION = click.option(
    "--timeout", "timeout_s", type=click.FloatRange(0.1, 600), default=10.0, show_default=True
)


@main.group()
def changelog() -> None:
    """Manage the change log, an ordered log of purges and settings that all routers receive."""


def load_settings_or_exit(path: str | None) -> Changelog:
    """Return the change log's settings in the file at `path`, by default the one in WICKHINGE_OPTIONS.

    Exit if the settings cannot be used.
    """
    from wickhinge.options import OptionsError, load

    path = path or os.environ.get("WICKHINGE_OPTIONS")
    if not path:
        fail("give --options or set WICKHINGE_OPTIONS")
    try:
        return load(path).changelog
    except OptionsError as error:
        fail(str(error))


def make_client_or_exit(path: str | None) -> Client:
    """Return a client of the replicas and relays in the settings; exit if the settings cannot be used."""
    from wickhinge.cli.changelog_client import Client
    from wickhinge.fields import MalformedError

    settings = load_settings_or_exit(path)
    for key in ("replicas", "relays"):
        if not getattr(settings, key):
            fail(f"changelog.{key}: is empty")
    try:
        return Client(settings)
    except MalformedError as error:
        fail(str(error))


def replica_directory(settings: Changelog, name: str) -> str:
    """Return the directory of the replica `name`; exit if the settings do not give it."""
    if name not in {server.name for server in settings.replicas}:
        fail(f"changelog.replicas: none is named {name}")
    if not settings.dir:
        fail("changelog.dir: is missing")
    return f"{settings.dir}/{name}"


def load_settings(file: OptionsFile) -> Changelog:
    """Return the change log's settings that the file holds now.

    Raises:
        UnreadableFileError: The file is absent, unreadable or cut off; a later attempt may succeed.
        MalformedError: The settings cannot be used.
    """
    from wickhinge.fields import MalformedError, UnreadableFileError
    from wickhinge.options import OptionsError, UnreadableOptionsError

    try:
        return file.load().options.changelog
    except UnreadableOptionsError as error:
        raise UnreadableFileError(str(error)) from None
    except OptionsError as error:
        raise MalformedError(str(error)) from None


def run_daemon(name: str, options: str | None, open_storage: Callable[[Changelog], Storage | None]) -> NoReturn:
    """Run a replica or relay until SIGTERM, then exit, with code 1 if its storage failed.

    Args:
        name: The name of the replica or relay in the settings.
        options: The settings file, or None for the one in WICKHINGE_OPTIONS.
        open_storage: Checks the settings and opens a replica's files; returns None for a relay, which has none.
    """
    from wickhinge.common.process_signals import received_signals
    from wickhinge.common.start_attempts import ShutdownRequestedError, StartAttempts, StartFailedError
    from wickhinge.fields import MalformedError
    from wickhinge.options.load import OptionsFile

    received_signals.install()
    attempts = StartAttempts(received_signals)
    path = options or os.environ.get("WICKHINGE_OPTIONS") or fail("give --options or set WICKHINGE_OPTIONS")
    file = OptionsFile(path)
    try:
        settings = attempts.run(lambda: load_settings(file))
        storage = attempts.run(lambda: open_storage(settings))
        daemon = attempts.run(lambda: make_daemon(name, settings, lambda: load_settings(file), storage))
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
    """Return a replica if there is a storage, or else a relay.

    Raises:
        UnreadableFileError: A key file cannot be read; a later attempt may succeed.
        MalformedError: The settings cannot be used.
    """
    from twisted.internet import reactor

    from wickhinge.changelog.context import Runtime
    from wickhinge.changelog.daemon import Daemon
    from wickhinge.net.runtime.log import Log

    log = Log(STDOUT_DESCRIPTOR, name, time.time)

    def write_event(event: str, /, **fields: object) -> None:
        log.event(event, **fields)

    return Daemon(name, settings, Runtime(reactor, log=write_event), reload_settings, storage)


@changelog.command()
@SETTINGS_FILE_OPTION
@NAME_OPTION
@click.option("--new", is_flag=True, help="Begin a new log; only for the very first start of all replicas.")
def replica(options: str | None, name: str, new: bool) -> None:
    """Run a replica until SIGTERM. A replica that has lost its files must not run until the next `restore`."""
    from wickhinge.changelog.errors import StorageError, StorageMissingError
    from wickhinge.changelog.storage import FileStorage
    from wickhinge.changelog.stored import StoredState
    from wickhinge.store.files import Files

    def open_storage(settings: Changelog) -> Storage:
        directory = replica_directory(settings, name)
        try:
            files = Files()
            return FileStorage.create(directory, StoredState(), files) if new else FileStorage.open(directory, files)
        except StorageMissingError as error:
            fail(f"{error}; --new begins a new log")
        except StorageError as error:
            fail(str(error))

    run_daemon(name, options, open_storage)


@changelog.command()
@SETTINGS_FILE_OPTION
@NAME_OPTION
def relay(options: str | None, name: str) -> None:
    """Run a relay until SIGTERM. A relay stores nothing on disk."""

    def check_settings(settings: Changelog) -> None:
        if name not in {server.name for server in settings.relays}:
            fail(f"changelog.relays: none is named {name}")
        if not settings.replicas:
            fail("changelog.replicas: is empty")

    run_daemon(name, options, check_settings)


def append_and_report(options: str | None, change: Change, timeout_s: float, as_json: bool) -> NoReturn:
    """Append a change, wait for the routers, print which of them have it, and exit."""
    from wickhinge.changelog.entries import validate_change
    from wickhinge.changelog.errors import InvalidChangeError
    from wickhinge.cli.changelog_client import NotAppendedError

    client = make_client_or_exit(options)
    try:
        validate_change(change)
        answer = client.append(change, timeout_s)
    except (InvalidChangeError, NotAppendedError) as error:
        fail(str(error), EXIT_FAULT_FOUND)
    routers = client.wait_for_routers(answer.number, timeout_s)
    summary = {
        "epoch": answer.epoch,
        "number": answer.number,
        "stamp_ms": answer.stamp_ms,
        "routers": len(routers.having),
    }
    if as_json:
        print_json({**summary, "lack": routers.lacking, "silent_relays": routers.silent_relays})
    else:
        click.echo(", ".join(f"{name} {value}" for name, value in summary.items()))
        for name in routers.lacking:
            click.echo(f"router {name} lacks it")
        for name in routers.silent_relays:
            click.echo(f"relay {name} does not answer")
        if not routers.having and not routers.lacking:
            click.echo("no relay knows of a router")
    sys.exit(0 if routers.is_complete else EXIT_FAULT_FOUND)


@changelog.command("append-purge")
@click.argument("key", required=False)
@click.option(
    "--group",
    type=click.IntRange(0, 65535),
    help="Purge all objects of this group; with KEY, the group of that object.",
)
@SETTINGS_FILE_OPTION
@TIMEOUT_OPTION
@JSON_OPTION
def append_purge(key: str | None, group: int | None, options: str | None, timeout_s: float, as_json: bool) -> None:
    """Purge all copies of the object KEY (16 hex digits), or of a group, that were made before now.

    The command returns once all routers that the relays know have the purge. It exits with 1 if some routers lack it,
    whose names it prints, or if the purge is not known to be in the log.
    """
    from wickhinge.changelog.entries import Purge

    if key is None and group is None:
        fail("append-purge: give KEY, --group or both")
    try:
        number = None if key is None else int(key, 16)
    except ValueError:
        fail(f"append-purge: {key} is not hex digits")
    append_and_report(options, Purge(number, group or 0, 0), timeout_s, as_json)


@changelog.command("append-setting")
@click.argument("setting")
@click.argument("value")
@SETTINGS_FILE_OPTION
@TIMEOUT_OPTION
@JSON_OPTION
def append_setting(setting: str, value: str, options: str | None, timeout_s: float, as_json: bool) -> None:
    """Set SETTING to VALUE at all routers; return and exit code are those of append-purge."""
    from wickhinge.changelog.entries import Setting
    from wickhinge.changelog.settings_table import check_setting_value
    from wickhinge.fields import MalformedError

    try:
        check_setting_value(setting, value.encode())
    except MalformedError as error:
        fail(f"append-setting: {setting}: {error}")
    append_and_report(options, Setting(setting, value.encode(), 0), timeout_s, as_json)


@changelog.command()
@SETTINGS_FILE_OPTION
@JSON_OPTION
def show(options: str | None, as_json: bool) -> None:
    """Show the state of each replica, relay and router; exit with 1 if there is a fault."""
    import msgspec

    from wickhinge.cli.changelog_client import find_faults, list_routers

    client = make_client_or_exit(options)
    servers = client.query_servers([*client.replica_addresses, *client.relay_addresses])
    routers = list_routers(servers)
    faults = find_faults(servers, routers)
    if as_json:
        statuses = [server.status or {"name": server.name, "error": server.error} for server in servers]
        click.echo(msgspec.json.encode({"machines": statuses, "routers": routers, "faults": faults}).decode())
    else:
        for server in servers:
            click.echo(format_server(server))
        for router in routers:
            click.echo(format_router(router))
        for fault in faults:
            click.echo(f"NOT WELL: {fault}")
    sys.exit(EXIT_FAULT_FOUND if faults else 0)


def format_server(server: Server) -> str:
    """Return a line of text on the state of one replica or relay."""
    status = server.status
    if status is None:
        return f"{server.role:<8} {server.name:<16} does not answer"
    where = f"{status.state}, term {status.term}" if status.role == "replica" else f"follows {status.source}"
    age = "age not known" if status.age_s is None else f"age {status.age_s:.2f} s"
    return (
        f"{server.role:<8} {server.name:<16} epoch {status.epoch}, number {status.number}, {age}, {where}, "
        f"{status.followers} followers"
    )


def format_router(router: Router) -> str:
    """Return a line of text on the state of one router."""
    from wickhinge.cli.changelog_client import describe_uninformed

    uninformed = describe_uninformed(router)
    state = f", {uninformed}" if uninformed else ""
    differs = ", its log differs" if router.agrees is False else ""
    return (
        f"router   {router.name:<16} number {router.number}, lag {router.lag}, by {router.relay}, "
        f"heard {router.heard_s:.1f} s ago{state and ', ' + state}{differs}{format_discovery(router)}"
    )


def format_discovery(router: Router) -> str:
    """Return a text on the discovery service of one router, or "" if it is not known."""
    if router.discovery is None:
        return ""
    status = router.discovery
    verb = "reads discovery at" if status.serves else "finds no discovery, tries"
    reason = f"; setting journal {status.setting_reason}" if status.setting_reason else ""
    return f", {verb} {status.address} ({status.source}){reason}"


@changelog.command()
@SETTINGS_FILE_OPTION
@TIMEOUT_OPTION
@click.argument("file", type=click.Path(dir_okay=False))
def backup(options: str | None, timeout_s: float, file: str) -> None:
    """Write a backup of the log, its settings and latest purges, to FILE, for `restore`."""
    from twisted.internet import reactor

    from wickhinge.cli.changelog_client import fetch_backup
    from wickhinge.fields import MalformedError
    from wickhinge.store.files import Files, replace_file

    def write_backup(data: bytes, number: int) -> None:
        replace_file(Files(), os.path.dirname(os.path.abspath(file)), os.path.basename(file), data)
        click.echo(f"number {number}, {len(data)} bytes")

    settings = load_settings_or_exit(options)
    if not settings.relays:
        fail("changelog.relays: is empty")
    try:
        reason = fetch_backup(settings, timeout_s, write_backup, reactor)
    except (MalformedError, OSError) as error:
        fail(str(error))
    if reason:
        fail(reason, EXIT_FAULT_FOUND)


@changelog.command()
@SETTINGS_FILE_OPTION
@NAME_OPTION
@click.option(
    "--epoch",
    type=click.IntRange(2),
    required=True,
    help="The new epoch; must be higher than any that `show` has shown.",
)
@click.argument("file", type=click.Path(dir_okay=False, exists=True))
def restore(options: str | None, name: str, epoch: int, file: str) -> None:
    """Create a replica's files from the backup FILE, in a new epoch.

    Stop all replicas, move their old files away, and restore a majority of them from the same backup in the same
    epoch. The command refuses an epoch in which a replica already runs, because the restored files would lack what
    replicas have promised each other in that epoch.
    """
    import msgspec

    from wickhinge.changelog.errors import MalformedMessageError, StorageInUseError
    from wickhinge.changelog.snapshots import decode_snapshot
    from wickhinge.changelog.storage import FileStorage
    from wickhinge.changelog.stored import StoredState
    from wickhinge.store.files import Files

    directory = replica_directory(load_settings_or_exit(options), name)
    try:
        with open(file, "rb") as backup_file:
            snapshot = decode_snapshot(backup_file.read())
    except (OSError, MalformedMessageError) as error:
        fail(f"{file}: {error}")
    if snapshot.epoch >= epoch:
        fail(f"restore: --epoch: the backup is of epoch {snapshot.epoch}, a higher one is needed")
    for server in make_client_or_exit(options).query_servers(
        replica.name for replica in load_settings_or_exit(options).replicas
    ):
        if server.status is not None and server.status.epoch >= epoch:
            fail(f"restore: --epoch: {server.name} runs in epoch {server.status.epoch}; a higher one is needed")
    snapshot = msgspec.structs.replace(snapshot, epoch=epoch, term=0)
    try:
        FileStorage.create(directory, StoredState(epoch=epoch, snapshot=snapshot), Files()).close()
    except (StorageInUseError, OSError) as error:
        fail(str(error))
    click.echo(f"{directory}: epoch {epoch}, number {snapshot.number}")
