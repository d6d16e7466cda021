"""The program itself, started and spoken to over sockets, with the example's toy deployment beside it."""

import json
import os
import signal
import socket
import time
from contextlib import ExitStack

import pytest

from tests.support.processes import PATIENT, ROOT, Client, Deployment, Process, free
from wickhinge.net.downstream import msgpack


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    yield made
    made.close()


def test_visits_are_honoured_with_the_bytes_of_their_part(deployment):
    client = deployment.client()
    assert client.ping() is True
    calls = [client.ask(block=str(part % 3)) for part in range(32)]
    for part, call in enumerate(calls):
        kind, _, error, result = client.answer(call)
        assert (kind, error, result[1]) == (1, None, {})
        assert result[0] == (b"00000000000000aa%d" % (part % 3) * 20_000)[:20_000]
    _, _, error, result = client.answer(client.ask("results", b"\x00mark\xff", drop=("obj",)))
    assert error is None and result[0] == b"\x00mark\xff"


@pytest.mark.parametrize("request_class, word", [("pages", "Overloaded"), ("results", "Abandoned")])
def test_what_no_machine_answers_is_given_up_in_time(deployment, request_class, word):
    for place in "1234":
        deployment.toy.say(f"silent {place}")
    client = deployment.client()
    start = time.monotonic()
    _, _, error, _ = client.answer(client.ask(request_class, budget="1200"))
    assert time.monotonic() - start < 3.0
    assert error[0] == word and (word == "Abandoned" or error[1]["backoff"] == "500")


def test_an_aborted_visit_gets_no_answer(deployment):
    for place in "1234":
        deployment.toy.say(f"silent {place}")
    client = deployment.client()
    call = client.ask(budget="2500")
    client.socket.sendall(msgpack.pack([2, "abort", [call]]))
    last = client.ask(budget="2000")
    client.answer(last)
    assert client.had == []


def test_lost_connections_are_made_anew(deployment):
    client = deployment.client()
    client.answer(client.ask())
    for place in "1234":
        deployment.toy.say(f"kill {place}")
    assert deployment.router.wait('"event":"upstream_connection_lost"')
    assert client.answer(client.ask(block="1"))[2] is None


def test_a_draining_cache_gets_nothing_more_also_after_the_journal_was_lost(deployment):
    deployment.toy.say("drop")
    assert '"last_event":1' in deployment.router.wait('"event":"endpoint_watch_connected"')
    deployment.toy.say("drain 1")
    assert "draining" in deployment.router.wait('"event":"endpoints_updated"')
    deployment.toy.say("silent 1")
    client = deployment.client()
    for call in [client.ask(block=str(part)) for part in range(20)]:
        assert client.answer(call)[2] is None
    deployment.toy.say("purge 00000000000000aa")
    assert "00000000000000aa" in deployment.router.wait('"event":"purge_applied"')
    assert client.answer(client.ask(block="1"))[2] is None


@pytest.mark.parametrize("data", [b"\xc1", b"\x05", msgpack.pack([7, 7]), msgpack.pack([2, "abort", ["x"]])])
def test_one_bad_client_is_cut_off_and_harms_no_other(deployment, data):
    bad, good = deployment.client(), deployment.client()
    bad.socket.sendall(data)
    with pytest.raises((AssertionError, ConnectionError)):
        bad.answer(1)
    assert deployment.router.wait('"event":"client_fault"')
    assert good.answer(good.ask())[2] is None


HALF = msgpack.pack([0, 1, "pages", [{"rid": "00000000000000aa"}]])[:-5]


@pytest.mark.parametrize("data, asks", [(b"", False), (HALF, False), (HALF, True), (b"", True)])
def test_who_says_nothing_half_a_thing_or_nothing_more_is_hung_up_on_in_time(deployment, data, asks):
    client = deployment.client()
    start = time.monotonic()
    if asks:
        assert client.answer(client.ask())[2] is None
    client.socket.sendall(data)
    with pytest.raises((AssertionError, ConnectionError)):
        client.answer(99)
    assert time.monotonic() - start < (9.0 if asks and not data else 5.0)


def test_silent_connections_by_the_hundred_leave_room_for_those_who_ask(deployment):
    with ExitStack() as stack:
        many = [socket.create_connection(deployment.address, PATIENT) for _ in range(150)]
        silent = [stack.enter_context(one) for one in many]
        silent[0].settimeout(1.0)  # sooner than for its silence alone
        with pytest.raises((AssertionError, ConnectionResetError)):
            assert silent[0].recv(1)
        client = deployment.client()
        assert client.answer(client.ask())[2] is None


@pytest.mark.parametrize(
    "request_class, change, told",
    [
        ("nothing", {}, "method"),
        ("pages", {"drop": ("budget",)}, "budget"),
        ("pages", {"block": "x"}, "block"),
        ("pages", {"rid": "zz"}, "rid"),
        ("pages", {"family": "256"}, "family"),
        ("pages", {"budget": "599999"}, "budget"),
        ("pages", {"obj": "1"}, "obj"),
        ("pages", {"body": b"x" * 48_001}, "body"),
        ("results", {"token": "a,keep=3"}, "token"),
    ],
)
def test_a_bad_request_gets_an_error_that_names_the_field(deployment, request_class, change, told):
    client = deployment.client()
    _, _, error, _ = client.answer(client.ask(request_class, **change))
    assert error[0] == "BadRequest" and told in error[1]["why"]
    assert client.answer(client.ask())[2] is None


def test_an_id_used_before_and_hundreds_at_once_are_turned_away(deployment):
    client, flood = deployment.client(), deployment.client()
    assert client.answer(client.ask(rid="00000000000000ab"))[2] is None
    assert "rid" in client.answer(client.ask(rid="00000000000000ab", block="1"))[2][1]["why"]
    told = {"budget": "900", "obj": "0" * 16}
    flood.socket.sendall(
        b"".join(msgpack.pack([0, call, "pages", [told | {"rid": f"{call:016x}"}]]) for call in range(33))
    )
    with pytest.raises((AssertionError, ConnectionError)):
        flood.answer(99)


def test_sigterm_answers_all_that_was_taken_and_ends(deployment):
    client, other = deployment.client(), deployment.client()
    calls = [client.ask(block=str(part)) for part in range(20)]
    deployment.router.child.send_signal(signal.SIGTERM)
    deployment.router.wait('"event":"shutdown_started"')
    deployment.router.child.send_signal(signal.SIGTERM)
    assert other.ping() is False
    late = deployment.client()
    assert late.answer(late.ask())[2] is None
    assert all(client.answer(call)[2] is None for call in calls)
    assert deployment.router.child.wait(PATIENT) == 0


def test_sighup_moves_the_journal_and_a_faulty_file_changes_nothing(deployment):
    path, client = deployment.path, deployment.client()
    conf = json.loads(path.read_text())
    with socket.create_server(("127.0.0.1", 0)) as place:
        place.settimeout(PATIENT)
        path.write_text(json.dumps(conf | {"journal": "nowhere"}))
        deployment.router.child.send_signal(signal.SIGHUP)
        assert "field journal" in deployment.router.wait('"event":"config_reload_failed"')
        path.write_text(json.dumps(conf | {"journal": f"127.0.0.1:{place.getsockname()[1]}"}))
        for _ in range(2):
            deployment.router.child.send_signal(signal.SIGHUP)
        with place.accept()[0] as journal:
            journal.settimeout(PATIENT)
            assert int.from_bytes(journal.recv(8)) == 1
            journal.sendall(b"\x00\x00\x00\x13" + (2).to_bytes(8) + b"\x04" + b"\x00\x07" + bytes(8))
            assert deployment.router.wait('"event":"purge_applied"')
            assert client.answer(client.ask())[2] is None


class Restarted:
    """A router whose configuration is older than what its service has to tell, and the service, which is the test."""

    def __init__(self, folder):
        self.toy_base = free(7)
        self.toy = Process("example/toy.py", str(self.toy_base), "hidden")
        self.toy.wait("ready")
        self.service = socket.create_server(("127.0.0.1", self.toy_base + 6))
        self.service.settimeout(PATIENT)
        conf = json.loads((ROOT / "example/config.json").read_text())
        kinds = conf["settings"]["shapes"]
        hosts = [
            {
                "host": f"s-{0xA0 + place:08x}",
                "dial": f"127.0.0.1:{self.toy_base + place}",
                "block": 0,
                "site": "here" if kind == "box" else "hub",
                "class": kind,
                "health": "ready",
                "share": 4,
                "born_ms": 0,
            }
            for place, kind in enumerate((kinds[0], *kinds), 1)
        ]
        self.address = ("127.0.0.1", self.toy_base + 5)
        conf |= {
            "listen": f"127.0.0.1:{self.toy_base + 5}",
            "journal": f"127.0.0.1:{self.toy_base + 6}",
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}]},
        }
        (folder / "config.json").write_text(json.dumps(conf))
        self.told = {**os.environ, "RELAY_CONFIG": str(folder / "config.json")}
        self.router = Process("-m", "wickhinge", env=self.told)

    def refuses(self):
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(self.address, PATIENT)

    def close(self):
        self.router.close()
        self.toy.close()
        self.service.close()


@pytest.fixture
def restarted(tmp_path):
    made = Restarted(tmp_path)
    yield made
    made.close()


def test_a_router_takes_nothing_before_it_knows_what_drained_while_it_was_away(restarted):
    restarted.toy.say("silent 1")
    with restarted.service.accept()[0] as journal:
        journal.settimeout(PATIENT)
        assert int.from_bytes(journal.recv(8)) == 1
        restarted.refuses()
        drained = (
            (0xA1).to_bytes(4)
            + bytes((127, 0, 0, 1))
            + (restarted.toy_base + 1).to_bytes(2)
            + bytes((1, 0, 0, 0, 0))
            + (4000).to_bytes(4)
            + bytes(8)
        )
        journal.sendall((9 + len(drained)).to_bytes(4) + (2).to_bytes(8) + b"\x02" + drained)
        restarted.router.wait("draining")
        restarted.refuses()  # there may be more
    with restarted.service.accept()[0] as journal:  # asked whether that was all, it need not wait for a second
        journal.settimeout(PATIENT)
        assert int.from_bytes(journal.recv(8)) == 2
        restarted.refuses()
        journal.sendall((9).to_bytes(4) + (2).to_bytes(8) + b"\x00")
        assert '"caught up"' in restarted.router.wait('"event":"listener_opened"')
        client = Client(restarted.address)
        assert client.ping() is True
        for call in [client.ask(block=str(part)) for part in range(20)]:
            assert client.answer(call)[2] is None


@pytest.mark.parametrize("silent", [True, False])
def test_a_router_whose_service_tells_nothing_goes_on_with_its_list(restarted, silent):
    if not silent:
        restarted.service.close()
    restarted.router.wait('"event":"router_started"')  # what an import takes beside load is not the router's wait
    start = time.monotonic()
    assert '"not told"' in restarted.router.wait('"event":"listener_opened"')
    assert time.monotonic() - start < 2.5
    client = Client(restarted.address)
    assert client.ping() is True
    assert client.answer(client.ask())[2] is None


def test_sigterm_before_it_takes_anything_ends_the_program_at_once(restarted):
    with restarted.service.accept()[0]:
        start = time.monotonic()
        restarted.router.child.send_signal(signal.SIGTERM)
        assert restarted.router.child.wait(PATIENT) == 0
        assert time.monotonic() - start < 0.7  # there are no clients that still come
    restarted.refuses()


@pytest.mark.parametrize("event", ["router_started", "listener_opened"])
def test_of_two_at_one_address_one_ends_also_where_both_wait(restarted, event):
    restarted.router.wait(f'"event":"{event}"')
    other = Process("-m", "wickhinge", env=restarted.told)
    assert "field listen" in other.wait("config")
    assert other.child.wait(PATIENT) == 2
    assert Client(restarted.address).ping() is True


def test_bad_configuration_ends_the_program_with_its_key(tmp_path):
    (tmp_path / "config.json").write_text('{"name": "n1", "listen": "x"}')
    made = Process("-m", "wickhinge", env={**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")})
    assert "config" in made.wait("field")
    assert made.child.wait(PATIENT) == 2
