"""Tests of running routers: `wickhinge peers show`, and reloads of the roster and of the fleet's keys."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from click.testing import CliRunner

from wickhinge.cli import main
from wickhinge.lab.many.harness import free_port, kill_with_parent

ROOT = Path(__file__).parents[2]

KEY, OTHER_KEY = b"k" * 16, b"o" * 16


class RunningFleet:
    """Router processes n0, n1 and so on, on loopback, whose options a test may change while they run.

    A router's place is the number in its name. Each router has its files in `folder`, with its place in their names.
    """

    def __init__(self, folder, count):
        self.folder, self.ports = folder, [free_port() for _ in range(count)]
        self.processes = []
        for name, key in (("key", KEY), ("other", OTHER_KEY)):
            (folder / name).write_bytes(key)
        for place in range(count):
            self.write_options(place)
            config = json.loads((ROOT / "example/config.json").read_text())
            config |= {"name": f"n{place}", "listen": f"127.0.0.1:{free_port()}", "journal": "127.0.0.1:1"}
            (folder / f"c{place}").write_text(json.dumps(config))
            env = {
                **os.environ,
                "RELAY_CONFIG": str(folder / f"c{place}"),
                "WICKHINGE_OPTIONS": str(folder / f"o{place}"),
            }
            with open(folder / f"log{place}", "wb") as log:
                self.processes.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "wickhinge"],
                        cwd=ROOT,
                        env=env,
                        stdout=log,
                        stderr=log,
                        preexec_fn=kill_with_parent,
                    )
                )

    def write_options(self, place, roster_places=None, key="key", also_key="", extra=""):
        """Write a router's options file with this roster (default: all routers), keys and further text."""
        roster = ", ".join(
            f'{{name: "n{listed}", address: "127.0.0.1:{self.ports[listed]}", zone: "here"}}'
            for listed in (range(len(self.ports)) if roster_places is None else roster_places)
        )
        also_key = f'also_key_file: "{self.folder}/{also_key}", ' if also_key else ""
        text = (
            f'peers: {{mode: "on", key_file: "{self.folder}/{key}", {also_key}roster: [{roster}]}}\n'
            f'shared: {{mode: "on", names: {len(self.ports)}}}\n{extra}'
        )
        (self.folder / "new").write_text(text)
        (self.folder / "new").replace(self.folder / f"o{place}")

    def reload_options(self, place, **options):
        """Write a router's options file and make the router reload it."""
        self.write_options(place, **options)
        self.processes[place].send_signal(signal.SIGHUP)

    def logged_events(self, place, event_name):
        return [
            event
            for line in (self.folder / f"log{place}").read_bytes().splitlines()
            if line.startswith(b"{")
            for event in [json.loads(line)]
            if event["event"] == event_name
        ]

    def peers_show(self, *arguments, place=0):
        """Run `wickhinge peers show` with a router's options; return the exit code and the parsed or error output."""
        result = CliRunner().invoke(
            main, ["peers", "show", "--options", str(self.folder / f"o{place}"), "--json", *arguments]
        )
        return result.exit_code, json.loads(result.stdout) if result.stdout else result.output

    def wait_until(self, condition, seconds=25.0):
        end = time.monotonic() + seconds
        while not (result := condition()):
            assert time.monotonic() < end, [
                (self.folder / f"log{place}").read_text()[-2000:] for place in range(len(self.ports))
            ]
            time.sleep(0.1)
        return result

    def wait_until_healthy(self):
        """Wait until every router answers and sees the whole fleet alive."""
        return self.wait_until(
            lambda: self.peers_show("--all")[0] == 0
            and all(router["heard"] == 1.0 for router in self.peers_show("--all")[1]["routers"])
        )


@pytest.fixture
def fleet(tmp_path):
    running_fleet = RunningFleet(tmp_path, 3)
    yield running_fleet
    for process in running_fleet.processes:
        process.kill()
        process.wait(10)


def test_running_routers_when_roster_and_key_change_keep_their_peers_and_refuse_unusable_options(fleet):
    fleet.wait_until_healthy()
    code, answer = fleet.peers_show("--router", "n1")
    assert code == 0 and answer["name"] == "n1" and {peer["name"] for peer in answer["fellows"]} == {"n0", "n2"}
    assert all(peer["state"] == "alive" and peer["roster"] for peer in answer["fellows"])
    fleet.wait_until(lambda: all(budget["share"] > 0.3 for budget in fleet.peers_show()[1]["shared"]["budgets"]))
    # The router n2 is removed from the rosters of the other two, and added again.
    for place in (0, 1):
        fleet.reload_options(place, roster_places=(0, 1))
    fleet.wait_until(lambda: [peer["name"] for peer in fleet.peers_show()[1]["fellows"]] == ["n1"])
    fleet.wait_until(lambda: fleet.peers_show("--router", "n2", place=2)[1]["cut_s"] is not None)
    for place in (0, 1):
        fleet.reload_options(place)
    fleet.wait_until_healthy()
    # The fleet's key is replaced in three steps. No router may be marked as gone, except for n2, which was removed from
    # rosters before.
    for step in ({"also_key": "other"}, {"key": "other", "also_key": "key"}, {"key": "other"}):
        for place in range(3):
            before = len(fleet.logged_events(place, "peers_roster_reloaded"))
            fleet.reload_options(place, **step)
            fleet.wait_until(
                lambda place=place, before=before: len(fleet.logged_events(place, "peers_roster_reloaded")) > before
            )
        assert fleet.logged_events(0, "peers_roster_reloaded")[-1]["keys"] == 1 + ("also_key" in step)
        fleet.wait_until_healthy()
    assert not any(
        event["state"] == "gone"
        for place in range(2)
        for event in fleet.logged_events(place, "peers_member_state")
        if event["name"] != "n2"
    )
    # Unusable options change nothing, and the log names the reason.
    for place, options, reason in (
        (0, {"roster_places": (1, 2)}, "own name n0 is not listed"),
        (1, {"extra": "nonsense: 1\n"}, "nonsense"),
        (2, {"key": "missing"}, "peers.key_file"),
    ):
        fleet.reload_options(place, **options)
        fleet.wait_until(
            lambda place=place, reason=reason: any(
                reason in event["reason"] for event in fleet.logged_events(place, "config_reload_failed")
            )
        )
    for place in range(3):
        fleet.write_options(place, key="other")
    fleet.wait_until_healthy()
    fleet.processes[2].kill()
    assert fleet.wait_until(lambda: fleet.peers_show("--all")[0] == 1)
    code, answer = fleet.peers_show("--router", "n2")
    assert code == 1 and "does not answer" in answer


@pytest.mark.parametrize(
    "options, arguments, expected_text",
    [
        ("", (), "peers.key_file"),
        ('peers: key_file: "KEY"', (), "is empty"),
        ('peers: {key_file: "KEY", roster: [{name: "n1", address: "x"}]}', (), "n1"),
        ('peers: {key_file: "KEY", roster: [{name: "n1", address: "127.0.0.1:1"}]}', ("--router", "n9"), "n9"),
    ],
)
def test_peers_show_when_options_are_unusable_names_the_fault(tmp_path, options, arguments, expected_text):
    (tmp_path / "key").write_bytes(KEY)
    (tmp_path / "o.cue").write_text(options.replace("KEY", str(tmp_path / "key")))
    result = CliRunner().invoke(main, ["peers", "show", "--options", str(tmp_path / "o.cue"), *arguments])
    assert result.exit_code == 2 and expected_text in result.output
