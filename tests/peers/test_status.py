"""What an operator asks a running router: the exchange by itself, and real routers that change while they run."""

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
from wickhinge.common import sealing
from wickhinge.common.sealing import DatagramError
from wickhinge.lab.many.rig import free_port, with_us
from wickhinge.peers import status_messages
from wickhinge.peers.status_client import StatusClient
from wickhinge.peers.status_messages import StatusPart
from wickhinge.peers.status_server import COOKIE_SLOT_S, MAX_PARTS_PER_S, StatusServer

ROOT = Path(__file__).parents[2]
KEY, OTHER = b"k" * 16, b"o" * 16
HERE, THERE = ("127.0.0.1", 5), ("127.0.0.1", 6)


def made(name="n1"):
    one = StatusServer(name, KEY, b"secret", 100.0)
    one.add_command("say", lambda more: more * 3)
    return one


def exchange(at, asking, sender=HERE, now=100.0, lose=()):
    """Datagrams both ways until nothing more comes; those of the answers that are named are lost."""
    sent, came = [asking.datagram()], 0
    while sent:
        answers = at.receive(sent.pop(), sender, now)
        for answer in answers:
            came += 1
            if came not in lose and asking.receive(answer):
                sent.append(asking.datagram())
    return asking.answer()


@pytest.mark.parametrize("size", [0, 1, 400, 1100, 1101, 20000])
def test_an_answer_of_any_length_comes_whole_in_parts(size):
    at = made()
    answer = bytes(range(256)) * (size // 256) + b"x" * (size % 256)
    at.add_command("long", lambda payload: answer)
    assert exchange(at, StatusClient(KEY, "n1", 7, "long")) == answer


def test_lost_parts_come_when_it_is_asked_again():
    at, asking = made(), StatusClient(KEY, "n1", 7, "say", b"ab" * 500)
    assert exchange(at, asking, lose=(2,)) is None
    assert exchange(at, asking) == b"ab" * 1500


def test_without_its_cookie_an_ask_does_nothing_and_draws_less_than_it_is():
    at, done = made(), []

    def do(payload):
        done.append(1)
        return b"done"

    at.add_command("do", do)
    asking = StatusClient(KEY, "n1", 7, "do")
    first = asking.datagram()
    (answer,) = at.receive(first, HERE, 100.0)
    assert not done and len(answer) <= len(first)
    assert asking.receive(answer) and not asking.receive(answer)
    again = asking.datagram()
    for sender, now in ((THERE, 100.0), (HERE, 100.0 + 2.1 * COOKIE_SLOT_S)):  # another's address, a later time
        assert len(at.receive(again, sender, now)) == 1 and not done
    assert len(made().receive(again, HERE, 100.0)) == 1  # the same secret; a new process has another
    fresh = StatusServer("n1", KEY, b"another", 100.0)
    fresh.add_command("do", do)
    assert status_messages.decode_part(KEY, fresh.receive(again, HERE, 100.0)[0]).index == 0
    done.clear()
    assert at.receive(again, HERE, 104.9) and done == [1]


def test_what_is_not_for_it_not_known_or_too_long_is_said_or_left():
    at = made()
    assert at.receive(StatusClient(KEY, "n2", 7, "say").datagram(), HERE, 100.0) == []
    assert b"nothing that this router answers" in exchange(at, StatusClient(KEY, "n1", 7, "fly"))
    at.add_command("huge", lambda more: b"x" * (status_messages.MAX_PART_BYTES * status_messages.MAX_PARTS + 1))
    assert b"is longer than" in exchange(at, StatusClient(KEY, "n1", 7, "huge"))
    for data in (
        b"",
        b"WP?",
        StatusClient(OTHER, "n1", 7, "say").datagram(),
        StatusClient(KEY, "n1", 7, "say").datagram()[:-1],
    ):
        with pytest.raises(DatagramError):
            at.receive(data, HERE, 100.0)
    garbled = status_messages.REQUEST_MAGIC + b"\x93\x01"
    with pytest.raises(DatagramError):
        at.receive(garbled + sealing.mac(KEY, garbled), HERE, 100.0)


def test_a_flood_of_asks_is_answered_at_a_bounded_rate():
    at = made()
    told = sum(
        len(at.receive(StatusClient(KEY, "n1", number, "say").datagram(), HERE, 100.0 + number / 1e4))
        for number in range(10_000)
    )
    assert MAX_PARTS_PER_S <= told <= 2 * MAX_PARTS_PER_S + 1


def test_another_asks_parts_and_foul_ones_change_nothing():
    asking = StatusClient(KEY, "n1", 7, "say")
    for part in (
        StatusPart(8, b"c" * 16, 1, 1, b"x"),
        StatusPart(7, b"c", 2, 1, b"x"),
        StatusPart(7, b"c", 1, 65, b"x"),
        StatusPart(7, b"c", -1, 1, b"x"),
    ):
        assert not asking.receive(status_messages.encode_part(KEY, part))
    assert (
        not asking.receive(status_messages.encode_part(OTHER, StatusPart(7, b"c", 1, 1, b"x")))
        and asking.answer() is None
    )


# Real routers.


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


def test_routers_are_shown_and_take_another_roster_and_key_while_they_run(fleet):
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
def test_settings_by_which_nobody_can_be_asked_name_the_fault(tmp_path, text, words, told):
    (tmp_path / "key").write_bytes(KEY)
    (tmp_path / "o.cue").write_text(text.replace("KEY", str(tmp_path / "key")))
    ran = CliRunner().invoke(main, ["peers", "show", "--options", str(tmp_path / "o.cue"), *words])
    assert ran.exit_code == 2 and told in ran.output
