"""Hollow routers of the flat design connect with the product's own endpoint watch and event loop."""

import subprocess
import sys
from pathlib import Path

import pytest

from bench.scale.fleet_hollow import READY_LINE
from bench.scale.fleet_layout import hollow_groups
from bench.scale.fleet_records import Plan, write

ROOT = Path(__file__).parents[2]
MAX_WAIT_S = 60.0  # Only a failing test waits this long.


@pytest.fixture
def start_program():
    """Return a function that starts a program of bench.scale; the programs are killed at the test's end."""
    processes = []

    def start(name, *arguments):
        process = subprocess.Popen(
            [sys.executable, "-m", f"bench.scale.{name}", *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        processes.append(process)
        return process

    yield start
    for process in processes:
        process.kill()
        process.communicate(timeout=MAX_WAIT_S)


def make_plan(folder, service_port):
    return Plan(
        folder=str(folder),
        block=0,
        grace_s=1.0,
        delay_s=0.0,
        jitter_s=0.0,
        replicas=[],
        relays=[],
        groups=hollow_groups(3),
        plant="",
        service_host="127.0.0.1",
        service_port=service_port,
        caches_port=9,
        rate_flat=1.0,
        settings_rate=1.0,
    )


def test_hollow_router_when_started_connects_to_the_service(start_program, tmp_path):
    write(tmp_path / "service.json", make_plan(tmp_path, 0))
    service = start_program("fleet_service", str(tmp_path / "service.json"))
    port = int(service.stdout.readline())
    write(tmp_path / "routers.json", make_plan(tmp_path, port))
    routers = start_program("fleet_flat", str(tmp_path / "routers.json"), "0")
    line = routers.stdout.readline()
    assert line.strip() == READY_LINE, routers.stderr.read()
