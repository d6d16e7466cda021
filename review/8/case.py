"""The platform moves the discovery service by SIGHUP while a relay is being added to the routers' own settings."""

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
)

OBJECTS = [f"{0x8100 + index:016x}" for index in range(24)]
TOLD_AFTER_SIGHUP_S = 4.0  # LATER: what the service has to tell counts as told 4 s after SIGHUP.
TOLD_AFTER_S = 7.0  # PROTOCOL: told 7 s later at the latest, whether or not it arrived.
DRAIN_GRACE_S = 0.5  # The setting drainGraceMs.
SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer on sockets.
WATCHED_S = 8.0


def write_settings(deployment: Deployment, relays: str, replicas: str, bind: str) -> str:
    """Write the settings files of the change log's machines and of the router; return the router's."""
    folder = deployment.processes.folder
    shared = f'key_file: "{folder}/key", relays: {relays}'
    (folder / "changelog.cue").write_text(f'changelog: {{{shared}, replicas: {replicas}, dir: "{folder}"}}\n')
    options = f'changelog: {{mode: "on", bind: "{bind}", {shared}}}\n'
    (folder / "n1.cue").write_text(options)
    return options


async def load(client: Client, until: float) -> None:
    """Ask for one object after another, some 30 a second."""
    index = 0
    while time.time() < until:
        await client.ask("clips", OBJECTS[index % len(OBJECTS)])
        index += 1
        await asyncio.sleep(0.03)


async def play(deployment: Deployment, record: Record, with_trouble: bool) -> list[str]:
    """Play the case and return the breaks of the rule."""
    processes, journal = deployment.processes, deployment.journal
    await deployment.open()
    folder, bind = processes.folder, f"{HOST}:{free_ports(1)[0]}"
    (folder / "key").write_bytes(os.urandom(32))
    replica_names = [f"replica-{number}" for number in range(1, 6)]
    replicas, _ = changelog_machines(replica_names)
    all_relays, addresses = changelog_machines(["relay-1", "relay-2", "relay-3"])
    two = ", ".join(f'{{name: "{name}", address: "{addresses[name]}"}}' for name in ("relay-1", "relay-2"))
    options = write_settings(deployment, f"[{two}]", replicas, bind)
    for name in replica_names:
        await processes.start_command(name, f"changelog replica --options {folder}/changelog.cue --name {name} --new")
    for name in ("relay-1", "relay-2"):
        await processes.start_command(name, f"changelog relay --options {folder}/changelog.cue --name {name}")
    old, new = JournalAddress(journal, "old"), JournalAddress(journal, "new")
    await old.open()
    await new.open()
    client = await deployment.start_router("n1", old.address, options)
    await load(client, time.time() + 4.0)
    if with_trouble:
        write_settings(deployment, all_relays, replicas, bind)
        record.add("operator: relay-3 is in the files of all machines, for their next start")
        await processes.start_command("relay-3", f"changelog relay --options {folder}/changelog.cue --name relay-3")
        await load(client, time.time() + 1.0)
    await move_discovery(deployment, old, new)
    await load(client, time.time() + TOLD_AFTER_SIGHUP_S)
    drained = deployment.places[0]
    journal.drain(drained)
    told_at = time.time() + TOLD_AFTER_S
    await load(client, told_at + DRAIN_GRACE_S + WATCHED_S)
    processes.check_running()
    return judge(deployment, drained.name, told_at)


async def move_discovery(deployment: Deployment, old: JournalAddress, new: JournalAddress) -> None:
    """Replace the configuration and send SIGHUP, as the platform does when the discovery service moves."""
    processes = deployment.processes
    configuration = json.loads((processes.folder / "n1.json").read_text())
    next_file = processes.folder / "n1.json.next"
    next_file.write_text(json.dumps(configuration | {"journal": new.address}))
    next_file.replace(processes.folder / "n1.json")
    processes.signal("n1", signal.SIGHUP)
    await old.move_away(1.5)


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
        return await play(deployment, record, with_trouble)
    finally:
        await deployment.processes.close()


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
