"""Real routers of a fleet run: starts `python -m wickhinge` and judges the purges in its log lines."""

from __future__ import annotations

import json
import socket
import time
from pathlib import Path

import msgspec
import orjson

from bench.fleet import SETTINGS
from bench.scale.fleet_judge import Delays
from bench.scale.fleet_layout import CHANGELOG_PORT, REAL_REGION, address, relay_order
from bench.scale.fleet_processes import ROOT, Processes
from bench.scale.fleet_records import Change, Plan

LISTEN_NETWORK = "127.91.1"
FIRST_HOST_PART = 100
LISTENER_OPENED_EVENT = b'"event":"listener_opened"'


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


def write_configuration(folder: Path, name: str, index: int, service: str) -> Path:
    host = f"{LISTEN_NETWORK}.{index + 1}"
    configuration = json.loads((ROOT / "example/config.json").read_text())
    configuration |= {"listen": f"{host}:{free_port(host)}", "journal": service, "name": name, "settings": SETTINGS}
    path = folder / f"{name}.json"
    path.write_text(json.dumps(configuration))
    return path


def write_options(folder: Path, plan: Plan, name: str, index: int) -> Path:
    relays_by_name = {relay.name: relay for relay in plan.relays}
    relays = [relays_by_name[relay] for relay in relay_order(REAL_REGION)]
    relay_list = ", ".join(f'{{name: "{one.name}", address: "{one.host}:{one.port}"}}' for one in relays)
    bind = f"{address(plan.block, REAL_REGION, FIRST_HOST_PART + index)}:{CHANGELOG_PORT}"
    path = folder / f"{name}.cue"
    path.write_text(
        f'changelog: {{mode: "on", key_file: "{folder}/key", bind: "{bind}", grace_s: {plan.grace_s}\n'
        f"relays: [{relay_list}]}}\n"
    )
    return path


def start_router(processes: Processes, folder: Path, plan: Plan, name: str, index: int, with_log: bool) -> None:
    """Start a router, with the change log or without; return before its listener is open."""
    service = f"{plan.service_host}:{plan.service_port}"
    environment = {"RELAY_CONFIG": str(write_configuration(folder, name, index, service))}
    if with_log:
        environment["WICKHINGE_OPTIONS"] = str(write_options(folder, plan, name, index))
    processes.start(name, "-m", "wickhinge", environment=environment)


class RealVerdict(msgspec.Struct):
    """Result of judging the real routers; `faults_logged` counts router faults and tracebacks in their logs."""

    quiet: Delays
    faults: Delays
    missed: int = 0
    out_of_order: int = 0
    faults_logged: int = 0


def parse_purge_times(output: Path, wall_clock_offset_s: float) -> tuple[dict[int, float], int]:
    """Return the time at which the router applied each purge, by key and in order, and the number of logged faults.

    A purge may be in the change log twice, because its proposer received no answer to the first request. Then the later
    one counts.
    """
    times: dict[int, float] = {}
    faults = 0
    for line in output.read_bytes().splitlines():
        faults += b'"event":"router_fault"' in line or line.startswith(b"Traceback")
        if b'"event":"purge_applied"' not in line:
            continue
        event = orjson.loads(line)
        key = int(event["key"], 16)
        times.pop(key, None)
        times[key] = event["t"] - wall_clock_offset_s
    return times, faults


def judge_routers(outputs: list[Path], changes: list[Change], quiet_until: float) -> RealVerdict:
    """Judge the purges only: a router also logs settings, but not the value of each one."""
    found = RealVerdict(Delays(), Delays())
    wall_clock_offset_s = time.time() - time.monotonic()
    purges = sorted((change for change in changes if change.identity >= 0), key=lambda change: change.number)
    keys_in_order = [change.identity for change in purges]
    for output in outputs:
        times, faults = parse_purge_times(output, wall_clock_offset_s)
        found.faults_logged += faults
        found.missed += sum(change.identity not in times for change in purges)
        applied_keys = [key for key in keys_in_order if key in times]
        found.out_of_order += sum(one != other for one, other in zip(times, applied_keys, strict=False))
        for change in purges:
            if change.identity in times:
                delays = found.quiet if change.asked < quiet_until else found.faults
                delays.add(change.identity, times[change.identity] - change.asked)
    return found
