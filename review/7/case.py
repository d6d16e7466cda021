"""The discovery service has moved by a setting of the change log, and then the change log's key is changed."""

from __future__ import annotations

import asyncio
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

OBJECTS = [f"{0x7100 + index:016x}" for index in range(24)]
TOLD_AFTER_S = 7.0  # PROTOCOL: told 7 s later at the latest, whether or not it arrived.
DRAIN_GRACE_S = 0.5  # The setting drainGraceMs.
SLACK_S = 0.05  # PROTOCOL: each time limit is 50 ms longer on sockets.
WATCHED_S = 8.0


class Changelog:
    """Replicas, relays, and the settings files of all machines."""

    def __init__(self, deployment: Deployment) -> None:
        self.processes = deployment.processes
        self.folder = deployment.processes.folder
        self.replica_names = [f"replica-{number}" for number in range(1, 6)]
        self.relay_names = ["relay-1", "relay-2"]
        self.replicas, _ = changelog_machines(self.replica_names)
        self.relays, _ = changelog_machines(self.relay_names)
        self.bind = f"{HOST}:{free_ports(1)[0]}"
        self.operators_file = f"{self.folder}/changelog.cue"
        for name in ("key", "next-key"):
            (self.folder / name).write_bytes(os.urandom(32))

    def router_options(self, keys: str) -> str:
        """Return the settings of the router."""
        return f'changelog: {{mode: "on", bind: "{self.bind}", relays: {self.relays}, {keys}}}\n'

    def write(self, keys: str) -> None:
        """Write the settings files of all machines with these keys."""
        Path(self.operators_file).write_text(
            f'changelog: {{relays: {self.relays}, replicas: {self.replicas}, dir: "{self.folder}", {keys}}}\n'
        )
        (self.folder / "n1.cue").write_text(self.router_options(keys))

    async def start(self) -> None:
        """Start replicas and relays."""
        self.write(self.keys("key"))
        for name in self.replica_names:
            await self.processes.start_command(
                name, f"changelog replica --options {self.operators_file} --name {name} --new"
            )
        for name in self.relay_names:
            await self.processes.start_command(name, f"changelog relay --options {self.operators_file} --name {name}")

    def keys(self, first: str, second: str = "") -> str:
        """Return the entries of the keys in a settings file."""
        also = f', also_key_file: "{self.folder}/{second}"' if second else ""
        return f'key_file: "{self.folder}/{first}"{also}'

    async def change_key(self) -> None:
        """Change the fleet's key in three rounds over replicas, relays and routers, each with SIGHUP."""
        for keys in (self.keys("key", "next-key"), self.keys("next-key", "key"), self.keys("next-key")):
            self.write(keys)
            for name in (*self.replica_names, *self.relay_names, "n1"):
                self.processes.signal(name, signal.SIGHUP)
            await asyncio.sleep(1.5)


async def load(client: Client, until: float) -> None:
    """Ask for one object after another, some 30 a second."""
    index = 0
    while time.time() < until:
        await client.ask("clips", OBJECTS[index % len(OBJECTS)])
        index += 1
        await asyncio.sleep(0.03)


async def play(deployment: Deployment, with_trouble: bool) -> list[str]:
    """Play the case and return the breaks of the rule."""
    processes, journal = deployment.processes, deployment.journal
    await deployment.open()
    changelog = Changelog(deployment)
    await changelog.start()
    old, new = JournalAddress(journal, "old"), JournalAddress(journal, "new")
    await old.open()
    await new.open()
    client = await deployment.start_router("n1", old.address, changelog.router_options(changelog.keys("key")))

    async def is_appended() -> bool:
        command = f"changelog append-setting journal {new.address} --options {changelog.operators_file}"
        code, _ = await processes.run(command)
        return code == 0

    await wait_until(is_appended, 20.0, "the setting was not appended")
    await wait_until(lambda: new in journal.readers.values(), 5.0, "the router did not follow the setting")
    await old.move_away(1.5)
    await load(client, time.time() + 3.0)
    if with_trouble:
        await changelog.change_key()
    await load(client, time.time() + 2.0)
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
