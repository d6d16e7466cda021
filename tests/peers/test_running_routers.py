"""Real routers that are asked for their status, and take another roster and key while they run."""

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
from wickhinge.lab.many.rig import free_port, with_us

ROOT = Path(__file__).parents[2]

KEY, OTHER = b"k" * 16, b"o" * 16


class Fleet:
    """So many routers on loopback that know each other, with settings that a test may change."""

    def __init__(self, folder, count):
        self.folder, self.ports = folder, [free_port() for _ in range(count)]
        self.children = []
        for name, key in (("key", KEY), ("other", OTHER)):
            (folder / name).write_bytes(key)
        for place in range(count):
            self.write(place)
            conf = json.loads((ROOT / "example/config.json").read_text())
            conf |= {"name": f"n{place}", "listen": f"127.0.0.1:{free_port()}", "journal": "127.0.0.1:1"}
            (folder / f"c{place}").write_text(json.dumps(conf))
            env = {
                **os.environ,
                "RELAY_CONFIG": str(folder / f"c{place}"),
                "WICKHINGE_OPTIONS": str(folder / f"o{place}"),
            }
            with open(folder / f"log{place}", "wb") as log:
                self.children.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "wickhinge"],
                        cwd=ROOT,
                        env=env,
                        stdout=log,
                        stderr=log,
                        preexec_fn=with_us,
                    )
                )

    def write(self, place, names=None, key="key", also="", extra=""):
        roster = ", ".join(
            f'{{name: "n{one}", address: "127.0.0.1:{self.ports[one]}", zone: "here"}}'
            for one in (range(len(self.ports)) if names is None else names)
        )
        also = f'also_key_file: "{self.folder}/{also}", ' if also else ""
        text = (
            f'peers: {{mode: "on", key_file: "{self.folder}/{key}", {also}roster: [{roster}]}}\n'
            f'shared: {{mode: "on", names: {len(self.ports)}}}\n{extra}'
        )
        (self.folder / "new").write_text(text)
        (self.folder / "new").replace(self.folder / f"o{place}")

    def change(self, place, **what):
        self.write(place, **what)
        self.children[place].send_signal(signal.SIGHUP)

    def events(self, place, wanted):
        return [
            event
            for line in (self.folder / f"log{place}").read_bytes().splitlines()
            if line.startswith(b"{")
            for event in [json.loads(line)]
            if event["event"] == wanted
        ]

    def show(self, *words, place=0):
        ran = CliRunner().invoke(main, ["peers", "show", "--options", str(self.folder / f"o{place}"), "--json", *words])
        return ran.exit_code, json.loads(ran.stdout) if ran.stdout else ran.output

    def until(self, what, seconds=25.0):
        end = time.monotonic() + seconds
        while not (found := what()):
            assert time.monotonic() < end, [
                (self.folder / f"log{place}").read_text()[-2000:] for place in range(len(self.ports))
            ]
            time.sleep(0.1)
        return found

    def well(self):
        return self.until(
            lambda: self.show("--all")[0] == 0 and all(one["heard"] == 1.0 for one in self.show("--all")[1]["routers"])
        )


@pytest.fixture
def fleet(tmp_path):
    one = Fleet(tmp_path, 3)
    yield one
    for child in one.children:
        child.kill()
        child.wait(10)


def test_running_routers_when_roster_and_key_change_go_on_and_are_shown(fleet):
    fleet.well()
    code, told = fleet.show("--router", "n1")
    assert code == 0 and told["name"] == "n1" and {one["name"] for one in told["fellows"]} == {"n0", "n2"}
    assert all(one["state"] == "alive" and one["roster"] for one in told["fellows"])
    fleet.until(lambda: all(one["share"] > 0.3 for one in fleet.show()[1]["shared"]["budgets"]))
    # n2 leaves the rosters of the other two, and comes back.
    for place in (0, 1):
        fleet.change(place, names=(0, 1))
    fleet.until(lambda: [one["name"] for one in fleet.show()[1]["fellows"]] == ["n1"])
    fleet.until(lambda: fleet.show("--router", "n2", place=2)[1]["cut_s"] is not None)
    for place in (0, 1):
        fleet.change(place)
    fleet.well()
    # Another key, a step at a time; nobody is lost meanwhile.
    for step in ({"also": "other"}, {"key": "other", "also": "key"}, {"key": "other"}):
        for place in range(3):
            before = len(fleet.events(place, "peers_roster_reloaded"))
            fleet.change(place, **step)
            fleet.until(lambda place=place, before=before: len(fleet.events(place, "peers_roster_reloaded")) > before)
        assert fleet.events(0, "peers_roster_reloaded")[-1]["keys"] == 1 + ("also" in step)
        fleet.well()
    assert not any(
        event["state"] == "gone"
        for place in range(2)
        for event in fleet.events(place, "peers_member_state")
        if event["name"] != "n2"
    )
    # What cannot be changes nothing, and says why.
    for place, what, why in (
        (0, {"names": (1, 2)}, "our own name"),
        (1, {"extra": "nonsense: 1\n"}, "nonsense"),
        (2, {"key": "missing"}, "peers.key_file"),
    ):
        fleet.change(place, **what)
        fleet.until(
            lambda place=place, why=why: any(
                why in event["reason"] for event in fleet.events(place, "config_reload_failed")
            )
        )
    for place in range(3):
        fleet.write(place, key="other")
    fleet.well()
    fleet.children[2].kill()
    assert fleet.until(lambda: fleet.show("--all")[0] == 1)
    code, told = fleet.show("--router", "n2")
    assert code == 1 and "does not answer" in told


@pytest.mark.parametrize(
    "text, words, told",
    [
        ("", (), "peers.key_file"),
        ('peers: key_file: "KEY"', (), "is empty"),
        ('peers: {key_file: "KEY", roster: [{name: "n1", address: "x"}]}', (), "n1"),
        ('peers: {key_file: "KEY", roster: [{name: "n1", address: "127.0.0.1:1"}]}', ("--router", "n9"), "n9"),
    ],
)
def test_peers_show_when_settings_are_wrong_names_the_fault(tmp_path, text, words, told):
    (tmp_path / "key").write_bytes(KEY)
    (tmp_path / "o.cue").write_text(text.replace("KEY", str(tmp_path / "key")))
    ran = CliRunner().invoke(main, ["peers", "show", "--options", str(tmp_path / "o.cue"), *words])
    assert ran.exit_code == 2 and told in ran.output
