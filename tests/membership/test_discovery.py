"""Starts without discovery on sockets: the measurements in their short form, and a sibling that tells its list."""

import json
import os
import signal
import socket
import time

import pytest

from tests.support.measurements import together
from tests.support.processes import PATIENT, Client, Deployment, Process, free


@pytest.fixture(scope="module")
def told():
    return together(
        start="bench.discovery start --repeats 1 --alone",
        herd="bench.discovery herd --routers 1,100 --seeds 1",
        trust="bench.discovery start --repeats 1 --alone --ages 3d --plant trust",
        drains="bench.discovery start --repeats 1 --alone --ages 3d --plant drains",
    )


def test_starts_when_lists_have_any_age_serve_and_send_nothing_wrong(told):
    told = told["start"]
    assert (told["wrong_sends"], told["faults"], told["unanswered"]) == (0, 0, 0)
    assert told["takeovers"] == 4 and told["takeover_p99_ms"] < 500
    assert min(share for shares in told["served_share"].values() for share in shares) > 0.5


@pytest.mark.parametrize("plant", ["trust", "drains"])
def test_measurement_when_a_fault_is_planted_finds_it(told, plant):
    assert told[plant]["wrong_sends"] > 0


def test_a_hundred_routers_when_servers_restarted_with_them_topple_none(told):
    told = told["herd"]
    assert told["peak_over_limit"] < 1.0 < told["peak_over_limit_blind"]
    assert min(told["served_share"].values()) > 0.3


def honoured(client, seconds):
    """Whether a visit is honoured within so long."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if client.answer(client.ask())[2] is None:
            return True
    return False


def second(deployment, folder, siblings, extra=""):
    """Another router of the deployment, whose journal service is not there."""
    folder.mkdir()
    port = free(2)
    conf = json.loads(deployment.path.read_text())
    conf |= {"listen": f"127.0.0.1:{port}", "journal": f"127.0.0.1:{port + 1}", "name": "n2"}
    (folder / "config.json").write_text(json.dumps(conf))
    (folder / "key").write_text("0123456789abcdef" + extra)
    (folder / "o.cue").write_text(
        f'discovery: {{mode: "on", dir: "{folder}/list", siblings: ["{siblings}"], key_file: "{folder}/key"}}'
    )
    env = {**os.environ, "RELAY_CONFIG": str(folder / "config.json"), "WICKHINGE_OPTIONS": str(folder / "o.cue")}
    return Process("-m", "wickhinge", env=env), ("127.0.0.1", port)


@pytest.mark.parametrize("extra, served", [("", True), ("x", False)])
def test_list_exchange_when_keys_are_shared_lets_a_router_start(tmp_path, monkeypatch, extra, served):
    port = free(1)
    (tmp_path / "key").write_text("0123456789abcdef")
    (tmp_path / "o.cue").write_text(
        f'discovery: {{mode: "on", dir: "{tmp_path}/list", listen: "127.0.0.1:{port}", key_file: "{tmp_path}/key"}}'
    )
    monkeypatch.setenv("WICKHINGE_OPTIONS", str(tmp_path / "o.cue"))
    deployment = Deployment(tmp_path)
    other, address = second(deployment, tmp_path / "b", f"127.0.0.1:{port}", extra)
    try:
        assert other.wait('"source":"sibling"' if served else '"event":"membership_exchange_failed"')
        assert (
            '"trusted"' in other.wait('"event":"listener_opened"')
            if served
            else other.wait('"event":"listener_opened"')
        )
        assert honoured(Client(address), PATIENT if served else 1.0) is served
    finally:
        other.close()
        deployment.close()


def test_list_exchange_when_an_answer_never_ends_gives_up_and_asks_again(tmp_path, monkeypatch):
    deployment = Deployment(tmp_path)
    with socket.create_server(("127.0.0.1", 0)) as silent:
        silent.settimeout(PATIENT)
        other, _ = second(deployment, tmp_path / "b", f"127.0.0.1:{silent.getsockname()[1]}")
        try:
            with silent.accept()[0] as first:
                first.settimeout(PATIENT)
                assert first.recv(100)[:4] == b"WHL1"
                first.sendall(b"\x00\x00\x10\x00half")
                assert "exchange did not finish" in other.wait('"event":"membership_exchange_failed"')
                silent.accept()[0].close()
        finally:
            other.close()
            deployment.close()


def test_start_when_the_service_is_away_uses_the_stored_list_and_says_so(tmp_path, monkeypatch):
    (tmp_path / "o.cue").write_text(f'discovery: {{mode: "on", dir: "{tmp_path}/list", writes_a_minute: 600}}')
    monkeypatch.setenv("WICKHINGE_OPTIONS", str(tmp_path / "o.cue"))
    deployment = Deployment(tmp_path)
    try:
        until = time.monotonic() + PATIENT
        while not list(tmp_path.glob("list/list-?.wh")) and time.monotonic() < until:
            time.sleep(0.05)
        deployment.router.close()
        conf = json.loads(deployment.path.read_text()) | {"journal": f"127.0.0.1:{free(1)}"}
        deployment.path.write_text(json.dumps(conf))
        env = {**os.environ, "RELAY_CONFIG": str(deployment.path)}
        deployment.router = Process("-m", "wickhinge", env=env)
        assert '"source":"remembered"' in deployment.router.wait('"event":"membership_source_changed"')
        assert '"trusted"' in deployment.router.wait('"event":"listener_opened"')
        assert honoured(deployment.client(), PATIENT)
    finally:
        deployment.close()


def test_reload_when_the_service_moved_follows_it_and_leaves_the_old_address(tmp_path, monkeypatch):
    (tmp_path / "o.cue").write_text(f'discovery: {{mode: "on", dir: "{tmp_path}/list"}}')
    monkeypatch.setenv("WICKHINGE_OPTIONS", str(tmp_path / "o.cue"))
    deployment = Deployment(tmp_path)
    try:
        with socket.create_server(("127.0.0.1", 0)) as place:
            place.settimeout(PATIENT)
            conf = json.loads(deployment.path.read_text())
            deployment.path.write_text(json.dumps(conf | {"journal": f"127.0.0.1:{place.getsockname()[1]}"}))
            deployment.router.child.send_signal(signal.SIGHUP)
            for _ in range(3):  # hung up on each time, it comes here again and not to the old one
                place.accept()[0].close()
    finally:
        deployment.close()
