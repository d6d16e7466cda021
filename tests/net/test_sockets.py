"""The router as a process, reached over sockets, with the toy deployment of the example as its servers."""

import json
import os
import signal
import socket
import time
from contextlib import ExitStack

import pytest

from tests.support.processes import ROOT, TIMEOUT_S, Client, Deployment, Process, find_free_ports
from wickhinge.net.downstream import msgpack


@pytest.fixture
def deployment(tmp_path):
    made = Deployment(tmp_path)
    yield made
    made.close()


def test_requests_are_served_with_the_bytes_of_their_part(deployment):
    client = deployment.client()
    assert client.ping() is True
    calls = [client.ask(block=str(part % 3)) for part in range(32)]
    for part, call in enumerate(calls):
        kind, _, error, result = client.answer(call)
        assert (kind, error, result[1]) == (1, None, {})
        assert result[0] == (b"00000000000000aa%d" % (part % 3) * 20_000)[:20_000]
    _, _, error, result = client.answer(client.ask("results", b"\x00mark\xff", drop=("obj",)))
    assert error is None and result[0] == b"\x00mark\xff"


@pytest.mark.parametrize("request_class, error_name", [("pages", "Overloaded"), ("results", "Abandoned")])
def test_request_when_no_server_answers_ends_in_time(deployment, request_class, error_name):
    for place in "1234":
        deployment.toy.write_line(f"silent {place}")
    client = deployment.client()
    start = time.monotonic()
    _, _, error, _ = client.answer(client.ask(request_class, budget="1200"))
    assert time.monotonic() - start < 3.0
    assert error[0] == error_name and (error_name == "Abandoned" or error[1]["backoff"] == "500")


def test_aborted_request_gets_no_answer(deployment):
    for place in "1234":
        deployment.toy.write_line(f"silent {place}")
    client = deployment.client()
    call = client.ask(budget="2500")
    client.socket.sendall(msgpack.pack([2, "abort", [call]]))
    last = client.ask(budget="2000")
    client.answer(last)
    assert client.unread_messages == []


def test_request_when_all_server_connections_were_lost_is_served_on_new_ones(deployment):
    client = deployment.client()
    client.answer(client.ask())
    for place in "1234":
        deployment.toy.write_line(f"kill {place}")
    assert deployment.router.wait('"event":"upstream_connection_lost"')
    assert client.answer(client.ask(block="1"))[2] is None


def test_draining_cache_when_the_watch_connection_was_lost_still_gets_no_requests(deployment):
    deployment.toy.write_line("drop")
    assert '"last_event":1' in deployment.router.wait('"event":"endpoint_watch_connected"')
    deployment.toy.write_line("drain 1")
    assert "draining" in deployment.router.wait('"event":"endpoints_updated"')
    deployment.toy.write_line("silent 1")
    client = deployment.client()
    for call in [client.ask(block=str(part)) for part in range(20)]:
        assert client.answer(call)[2] is None
    deployment.toy.write_line("purge 00000000000000aa")
    assert "00000000000000aa" in deployment.router.wait('"event":"purge_applied"')
    assert client.answer(client.ask(block="1"))[2] is None


@pytest.mark.parametrize("data", [b"\xc1", b"\x05", msgpack.pack([7, 7]), msgpack.pack([2, "abort", ["x"]])])
def test_client_when_it_sends_malformed_data_is_disconnected_and_others_are_served(deployment, data):
    faulty_client, client = deployment.client(), deployment.client()
    faulty_client.socket.sendall(data)
    with pytest.raises((AssertionError, ConnectionError)):
        faulty_client.answer(1)
    assert deployment.router.wait('"event":"client_fault"')
    assert client.answer(client.ask())[2] is None


PARTIAL_MESSAGE = msgpack.pack([0, 1, "pages", [{"rid": "00000000000000aa"}]])[:-5]


@pytest.mark.parametrize("data, asks", [(b"", False), (PARTIAL_MESSAGE, False), (PARTIAL_MESSAGE, True), (b"", True)])
def test_client_when_silent_or_with_a_partial_message_is_disconnected_in_time(deployment, data, asks):
    client = deployment.client()
    start = time.monotonic()
    if asks:
        assert client.answer(client.ask())[2] is None
    client.socket.sendall(data)
    with pytest.raises((AssertionError, ConnectionError)):
        client.answer(99)
    assert time.monotonic() - start < (9.0 if asks and not data else 5.0)


def test_client_with_a_request_when_hundreds_of_silent_clients_are_connected_is_served(deployment):
    with ExitStack() as stack:
        sockets = [socket.create_connection(deployment.address, TIMEOUT_S) for _ in range(150)]
        silent = [stack.enter_context(each) for each in sockets]
        silent[0].settimeout(1.0)  # The time limit for silent clients alone is longer.
        with pytest.raises((AssertionError, ConnectionResetError)):
            assert silent[0].recv(1)
        client = deployment.client()
        assert client.answer(client.ask())[2] is None


@pytest.mark.parametrize(
    "request_class, change, field",
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
def test_invalid_request_gets_an_error_that_names_the_field(deployment, request_class, change, field):
    client = deployment.client()
    _, _, error, _ = client.answer(client.ask(request_class, **change))
    assert error[0] == "BadRequest" and field in error[1]["why"]
    assert client.answer(client.ask())[2] is None


def test_reused_request_id_and_too_many_requests_at_once_are_rejected(deployment):
    client, flood = deployment.client(), deployment.client()
    assert client.answer(client.ask(rid="00000000000000ab"))[2] is None
    assert "rid" in client.answer(client.ask(rid="00000000000000ab", block="1"))[2][1]["why"]
    fields = {"budget": "900", "obj": "0" * 16}
    flood.socket.sendall(
        b"".join(msgpack.pack([0, call, "pages", [fields | {"rid": f"{call:016x}"}]]) for call in range(33))
    )
    with pytest.raises((AssertionError, ConnectionError)):
        flood.answer(99)


def test_sigterm_when_requests_are_open_ends_the_router_after_their_answers(deployment):
    client, other = deployment.client(), deployment.client()
    calls = [client.ask(block=str(part)) for part in range(20)]
    deployment.router.child.send_signal(signal.SIGTERM)
    deployment.router.wait('"event":"shutdown_started"')
    deployment.router.child.send_signal(signal.SIGTERM)
    assert other.ping() is False
    late = deployment.client()
    assert late.answer(late.ask())[2] is None
    assert all(client.answer(call)[2] is None for call in calls)
    assert deployment.router.child.wait(TIMEOUT_S) == 0


def test_sighup_moves_the_endpoint_watch_and_an_invalid_file_changes_nothing(
    deployment,
):
    path, client = deployment.path, deployment.client()
    conf = json.loads(path.read_text())
    with socket.create_server(("127.0.0.1", 0)) as place:
        place.settimeout(TIMEOUT_S)
        path.write_text(json.dumps(conf | {"journal": "nowhere"}))
        deployment.router.child.send_signal(signal.SIGHUP)
        assert "field journal" in deployment.router.wait('"event":"config_reload_failed"')
        path.write_text(json.dumps(conf | {"journal": f"127.0.0.1:{place.getsockname()[1]}"}))
        for _ in range(2):
            deployment.router.child.send_signal(signal.SIGHUP)
        with place.accept()[0] as watch:
            watch.settimeout(TIMEOUT_S)
            assert int.from_bytes(watch.recv(8)) == 1
            watch.sendall(b"\x00\x00\x00\x13" + (2).to_bytes(8) + b"\x04" + b"\x00\x07" + bytes(8))
            assert deployment.router.wait('"event":"purge_applied"')
            assert client.answer(client.ask())[2] is None


class RestartedRouter:
    """A router with an outdated endpoint list in its configuration; the test plays the discovery service."""

    def __init__(self, folder):
        self.toy_base = find_free_ports(7)
        self.toy = Process("example/toy.py", str(self.toy_base), "hidden")
        self.toy.wait("ready")
        self.discovery_listener = socket.create_server(("127.0.0.1", self.toy_base + 6))
        self.discovery_listener.settimeout(TIMEOUT_S)
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
        self.environment = {**os.environ, "RELAY_CONFIG": str(folder / "config.json")}
        self.router = Process("-m", "wickhinge", env=self.environment)

    def assert_refuses_connections(self):
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(self.address, TIMEOUT_S)

    def close(self):
        self.router.close()
        self.toy.close()
        self.discovery_listener.close()


@pytest.fixture
def restarted(tmp_path):
    made = RestartedRouter(tmp_path)
    yield made
    made.close()


def test_restarted_router_accepts_no_clients_before_it_knows_all_endpoint_changes(restarted):
    restarted.toy.write_line("silent 1")
    with restarted.discovery_listener.accept()[0] as watch:
        watch.settimeout(TIMEOUT_S)
        assert int.from_bytes(watch.recv(8)) == 1
        restarted.assert_refuses_connections()
        drained = (
            (0xA1).to_bytes(4)
            + bytes((127, 0, 0, 1))
            + (restarted.toy_base + 1).to_bytes(2)
            + bytes((1, 0, 0, 0, 0))
            + (4000).to_bytes(4)
            + bytes(8)
        )
        watch.sendall((9 + len(drained)).to_bytes(4) + (2).to_bytes(8) + b"\x02" + drained)
        restarted.router.wait("draining")
        restarted.assert_refuses_connections()  # The discovery service may have more changes.
    with restarted.discovery_listener.accept()[0] as watch:  # The router asks here for further changes.
        watch.settimeout(TIMEOUT_S)
        assert int.from_bytes(watch.recv(8)) == 2
        restarted.assert_refuses_connections()
        watch.sendall((9).to_bytes(4) + (2).to_bytes(8) + b"\x00")
        assert '"caught up"' in restarted.router.wait('"event":"listener_opened"')
        client = Client(restarted.address)
        assert client.ping() is True
        for call in [client.ask(block=str(part)) for part in range(20)]:
            assert client.answer(call)[2] is None


@pytest.mark.parametrize("silent", [True, False])
def test_restarted_router_when_the_discovery_service_sends_nothing_uses_its_own_list(restarted, silent):
    if not silent:
        restarted.discovery_listener.close()
    restarted.router.wait('"event":"router_started"')  # Slow imports on a busy machine must not count.
    start = time.monotonic()
    assert '"not told"' in restarted.router.wait('"event":"listener_opened"')
    assert time.monotonic() - start < 2.5
    client = Client(restarted.address)
    assert client.ping() is True
    assert client.answer(client.ask())[2] is None


def test_sigterm_before_the_router_accepts_clients_ends_it_at_once(restarted):
    with restarted.discovery_listener.accept()[0]:
        start = time.monotonic()
        restarted.router.child.send_signal(signal.SIGTERM)
        assert restarted.router.child.wait(TIMEOUT_S) == 0
        assert time.monotonic() - start < 0.7  # A router without clients need not wait for any.
    restarted.assert_refuses_connections()


@pytest.mark.parametrize("event", ["router_started", "listener_opened"])
def test_second_router_at_the_same_address_ends_with_an_error(restarted, event):
    restarted.router.wait(f'"event":"{event}"')
    other = Process("-m", "wickhinge", env=restarted.environment)
    assert "field listen" in other.wait("config")
    assert other.child.wait(TIMEOUT_S) == 2
    assert Client(restarted.address).ping() is True


def test_invalid_configuration_ends_the_router_with_the_key_named(tmp_path):
    (tmp_path / "config.json").write_text('{"name": "n1", "listen": "x"}')
    made = Process("-m", "wickhinge", env={**os.environ, "RELAY_CONFIG": str(tmp_path / "config.json")})
    assert "config" in made.wait("field")
    assert made.child.wait(TIMEOUT_S) == 2
