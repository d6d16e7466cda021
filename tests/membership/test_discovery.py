"""Starts of router processes without the discovery service: short measurements, list exchange and the stored list."""

import json
import os
import signal
import socket
import time

import pytest

from tests.support.measurements import run_in_parallel
from tests.support.processes import TIMEOUT_S, Client, Deployment, Process, find_free_ports


@pytest.fixture(scope="module")
def measurements():
    """Results of the measurements by name, each in its short form."""
    return run_in_parallel(
        start="bench.discovery start --repeats 1 --alone",
        herd="bench.discovery herd --routers 1,100 --seeds 1",
        trust="bench.discovery start --repeats 1 --alone --ages 3d --plant trust",
        drains="bench.discovery start --repeats 1 --alone --ages 3d --plant drains",
    )


def test_starts_when_stored_lists_have_any_age_serve_requests_and_send_none_to_a_forbidden_endpoint(measurements):
    result = measurements["start"]
    assert (result["wrong_sends"], result["faults"], result["unanswered"]) == (0, 0, 0)
    assert result["takeovers"] == 4 and result["takeover_p99_ms"] < 500
    assert min(share for shares in result["served_share"].values() for share in shares) > 0.5


@pytest.mark.parametrize("planted_fault", ["trust", "drains"])
def test_measurement_when_a_fault_is_planted_finds_it(measurements, planted_fault):
    assert measurements[planted_fault]["wrong_sends"] > 0


def test_100_routers_when_they_restart_together_with_the_servers_overload_no_server(measurements):
    result = measurements["herd"]
    assert result["peak_over_limit"] < 1.0 < result["peak_over_limit_blind"]
    assert min(result["served_share"].values()) > 0.3


def is_request_served(client, timeout_s):
    """Send requests until one is served; return False if none is within the timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if client.answer(client.ask())[2] is None:
            return True
    return False


def start_second_router(deployment, folder, siblings, key_suffix=""):
    """Start another router of the deployment, whose discovery service is unreachable.

    Returns the process and the address for clients. The exchange key differs from that of the first router if
    `key_suffix` is not empty.
    """
    folder.mkdir()
    port = find_free_ports(2)
    configuration = json.loads(deployment.path.read_text())
    configuration |= {"listen": f"127.0.0.1:{port}", "journal": f"127.0.0.1:{port + 1}", "name": "n2"}
    (folder / "config.json").write_text(json.dumps(configuration))
    (folder / "key").write_text("0123456789abcdef" + key_suffix)
    (folder / "o.cue").write_text(
        f'discovery: {{mode: "on", dir: "{folder}/list", siblings: ["{siblings}"], key_file: "{folder}/key"}}'
    )
    environment = {
        **os.environ,
        "RELAY_CONFIG": str(folder / "config.json"),
        "WICKHINGE_OPTIONS": str(folder / "o.cue"),
    }
    return Process("-m", "wickhinge", env=environment), ("127.0.0.1", port)


@pytest.mark.parametrize("key_suffix, is_served", [("", True), ("x", False)])
def test_list_exchange_when_the_keys_agree_lets_a_router_start_without_discovery(
    tmp_path, monkeypatch, key_suffix, is_served
):
    port = find_free_ports(1)
    (tmp_path / "key").write_text("0123456789abcdef")
    (tmp_path / "o.cue").write_text(
        f'discovery: {{mode: "on", dir: "{tmp_path}/list", listen: "127.0.0.1:{port}", key_file: "{tmp_path}/key"}}'
    )
    monkeypatch.setenv("WICKHINGE_OPTIONS", str(tmp_path / "o.cue"))
    deployment = Deployment(tmp_path)
    second_router, address = start_second_router(deployment, tmp_path / "b", f"127.0.0.1:{port}", key_suffix)
    try:
        assert second_router.wait('"source":"sibling"' if is_served else '"event":"membership_exchange_failed"')
        assert (
            '"trusted"' in second_router.wait('"event":"listener_opened"')
            if is_served
            else second_router.wait('"event":"listener_opened"')
        )
        assert is_request_served(Client(address), TIMEOUT_S if is_served else 1.0) is is_served
    finally:
        second_router.close()
        deployment.close()


def test_list_exchange_when_the_answer_stays_incomplete_times_out_and_is_retried(tmp_path, monkeypatch):
    deployment = Deployment(tmp_path)
    with socket.create_server(("127.0.0.1", 0)) as silent_listener:
        silent_listener.settimeout(TIMEOUT_S)
        second_router, _ = start_second_router(
            deployment, tmp_path / "b", f"127.0.0.1:{silent_listener.getsockname()[1]}"
        )
        try:
            with silent_listener.accept()[0] as connection:
                connection.settimeout(TIMEOUT_S)
                assert connection.recv(100)[:4] == b"WHL1"
                connection.sendall(b"\x00\x00\x10\x00half")
                assert "exchange did not finish" in second_router.wait('"event":"membership_exchange_failed"')
                silent_listener.accept()[0].close()
        finally:
            second_router.close()
            deployment.close()


def test_start_when_the_discovery_service_is_unreachable_uses_the_stored_list_and_logs_it(tmp_path, monkeypatch):
    (tmp_path / "o.cue").write_text(f'discovery: {{mode: "on", dir: "{tmp_path}/list", writes_a_minute: 600}}')
    monkeypatch.setenv("WICKHINGE_OPTIONS", str(tmp_path / "o.cue"))
    deployment = Deployment(tmp_path)
    try:
        deadline = time.monotonic() + TIMEOUT_S
        while not list(tmp_path.glob("list/list-?.wh")) and time.monotonic() < deadline:
            time.sleep(0.05)
        deployment.router.close()
        configuration = json.loads(deployment.path.read_text()) | {"journal": f"127.0.0.1:{find_free_ports(1)}"}
        deployment.path.write_text(json.dumps(configuration))
        environment = {**os.environ, "RELAY_CONFIG": str(deployment.path)}
        deployment.router = Process("-m", "wickhinge", env=environment)
        assert '"source":"remembered"' in deployment.router.wait('"event":"membership_source_changed"')
        assert '"trusted"' in deployment.router.wait('"event":"listener_opened"')
        assert is_request_served(deployment.client(), TIMEOUT_S)
    finally:
        deployment.close()


def test_reload_when_the_discovery_service_moved_connects_to_the_new_address_only(tmp_path, monkeypatch):
    (tmp_path / "o.cue").write_text(f'discovery: {{mode: "on", dir: "{tmp_path}/list"}}')
    monkeypatch.setenv("WICKHINGE_OPTIONS", str(tmp_path / "o.cue"))
    deployment = Deployment(tmp_path)
    try:
        with socket.create_server(("127.0.0.1", 0)) as new_listener:
            new_listener.settimeout(TIMEOUT_S)
            configuration = json.loads(deployment.path.read_text())
            deployment.path.write_text(
                json.dumps(configuration | {"journal": f"127.0.0.1:{new_listener.getsockname()[1]}"})
            )
            deployment.router.child.send_signal(signal.SIGHUP)
            # The router reconnects to the new address although its connections are closed there each time.
            for _ in range(3):
                new_listener.accept()[0].close()
    finally:
        deployment.close()
