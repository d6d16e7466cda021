"""A planned restart after the platform has moved the discovery service that the change log had moved before."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import (  # noqa: E402 - the folder above is not a package
    HOST,
    CaseError,
    Client,
    Deployment,
    JournalAddress,
    Record,
    changelog_machines,
    free_ports,
    run_case,
    wait_until,
)

OBJECTS = [f"{0x9100 + index:016x}" for index in range(24)]
TOLD_AFTER_S = 7.0  # PROTOCOL: told 7 s later at the latest, whether or not it arrived.
DRAIN_GRACE_S = 0.5  # The setting drainGraceMs.
SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer on sockets.
WATCHED_S = 8.0


async def start_changelog(deployment: Deployment) -> tuple[str, str]:
    """Start replicas and relays; return the router's settings, and the file of the operators."""
    processes, folder = deployment.processes, deployment.processes.folder
    (folder / "key").write_bytes(os.urandom(32))
    replica_names, relay_names = [f"replica-{number}" for number in range(1, 6)], ["relay-1", "relay-2"]
    replicas, _ = changelog_machines(replica_names)
    relays, _ = changelog_machines(relay_names)
    shared = f'key_file: "{folder}/key", relays: {relays}'
    path = folder / "changelog.cue"
    path.write_text(f'changelog: {{{shared}, replicas: {replicas}, dir: "{folder}"}}\n')
    for name in replica_names:
        await processes.start_command(name, f"changelog replica --options {path} --name {name} --new")
    for name in relay_names:
        await processes.start_command(name, f"changelog relay --options {path} --name {name}")
    return f'changelog: {{mode: "on", bind: "{HOST}:{free_ports(1)[0]}", {shared}}}\n', str(path)


async def load(client: Client, until: float) -> None:
    """Ask for one object after another, some 30 a second."""
    index = 0
    while time.time() < until:
        await client.ask("clips", OBJECTS[index % len(OBJECTS)])
        index += 1
        await asyncio.sleep(0.03)


async def move_by_setting(
    deployment: Deployment, operators_file: str, old: JournalAddress, new: JournalAddress
) -> None:
    """Move the discovery service, as the operators do by the change log."""

    async def is_appended() -> bool:
        command = f"changelog append-setting journal {new.address} --options {operators_file}"
        code, _ = await deployment.processes.run(command)
        return code == 0

    await wait_until(is_appended, 20.0, "the setting was not appended")
    await wait_until(lambda: new in deployment.journal.readers.values(), 5.0, "the router did not follow the setting")
    await old.move_away(1.5)


async def move_by_platform(deployment: Deployment, old: JournalAddress, new: JournalAddress) -> None:
    """Replace the configuration and send SIGHUP, as the platform does when the discovery service moves."""
    folder = deployment.processes.folder
    configuration = json.loads((folder / "n1.json").read_text())
    (folder / "n1.json.next").write_text(json.dumps(configuration | {"journal": new.address}))
    (folder / "n1.json.next").replace(folder / "n1.json")
    deployment.processes.signal("n1", signal.SIGHUP)
    await wait_until(lambda: new in deployment.journal.readers.values(), 4.0, "the router did not follow SIGHUP")
    await old.move_away(1.5)


async def play(deployment: Deployment, with_trouble: bool) -> list[str]:
    """Play the case and return the breaks of the rule."""
    processes, journal = deployment.processes, deployment.journal
    await deployment.open()
    options, operators_file = await start_changelog(deployment)
    first, second, third = (JournalAddress(journal, name) for name in ("first", "second", "third"))
    for address in (first, second, third):
        await address.open()
    client = await deployment.start_router("n1", first.address, options)
    await move_by_setting(deployment, operators_file, first, second)
    await load(client, time.time() + 2.0)
    await move_by_platform(deployment, second, third)
    await load(client, time.time() + 2.0)
    if with_trouble:
        await processes.end("n1", signal.SIGTERM)
        client = await deployment.start_router("n1", third.address, options)
    await load(client, time.time() + 4.0)
    drained = deployment.places[0]
    journal.drain(drained)
    told_at = time.time() + TOLD_AFTER_S
    await load(client, told_at + DRAIN_GRACE_S + WATCHED_S)
    processes.check_running()
    return judge(deployment, drained.name, told_at)


def judge(deployment: Deployment, drained: str, told_at: float) -> list[str]:
    """Return a line for each request that came to the drained cache after the grace, as request or as a source."""
    latest = told_at + DRAIN_GRACE_S + SLACK_S
    late = [attempt for attempt in deployment.world.attempts if attempt.at > latest]
    if len(late) < 20:
        raise CaseError("too few requests came to the servers after the drain")
    return [
        f"{attempt.rid} came to {attempt.server} {attempt.at - told_at:.2f} s after the router counts as told"
        for attempt in late
        if drained in (attempt.server, attempt.fields.get("src"))
    ]


async def case(record: Record, with_trouble: bool) -> list[str]:
    """Run the case and end its programs."""
    deployment = Deployment(record, ["box", "box", "origin"])
    try:
        return await play(deployment, with_trouble)
    finally:
        await deployment.processes.close()


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
