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


def test_lists_of_all_ages_serve_and_send_nothing_wrong(told):
    told = told["start"]
    assert (told["wrong_sends"], told["faults"], told["unanswered"]) == (0, 0, 0)
    assert told["takeovers"] == 4 and told["takeover_p99_ms"] < 500
    assert min(share for shares in told["served_share"].values() for share in shares) > 0.5


@pytest.mark.parametrize("plant", ["trust", "drains"])
def test_a_planted_fault_is_found(told, plant):
    assert told[plant]["wrong_sends"] > 0


def test_a_hundred_routers_topple_no_machine_that_restarted_with_them(told):
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
def test_a_router_starts_from_a_siblings_list_if_they_share_a_key(tmp_path, monkeypatch, extra, served):
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
        assert '"trusted"' in other.wait('"event":"open"') if served else other.wait('"event":"open"')
        assert honoured(Client(address), PATIENT if served else 1.0) is served
    finally:
        other.close()
        deployment.close()


def test_a_sibling_that_never_finishes_is_given_up_and_asked_again(tmp_path, monkeypatch):
    deployment = Deployment(tmp_path)
    with socket.create_server(("127.0.0.1", 0)) as silent:
        silent.settimeout(PATIENT)
        other, _ = second(deployment, tmp_path / "b", f"127.0.0.1:{silent.getsockname()[1]}")
        try:
            with silent.accept()[0] as first:
                first.settimeout(PATIENT)
                assert first.recv(100)[:4] == b"WHL1"
                first.sendall(b"\x00\x00\x10\x00half")
                assert "did not finish" in other.wait('"event":"membership_exchange_failed"')
                silent.accept()[0].close()
        finally:
            other.close()
            deployment.close()


def test_a_router_starts_from_the_list_it_kept_and_says_so(tmp_path, monkeypatch):
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
        assert '"trusted"' in deployment.router.wait('"event":"open"')
        assert honoured(deployment.client(), PATIENT)
    finally:
        deployment.close()


def test_a_service_that_moved_is_followed_and_its_old_place_is_not_tried_again(tmp_path, monkeypatch):
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
