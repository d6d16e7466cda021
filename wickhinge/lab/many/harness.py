"""Runs a schedule on real router processes on loopback sockets, with a relay between any two of them.

All datagrams between the processes pass through the harness, which has one socket for each pair of sender and receiver.
It records them with the machine's clock. The invariants are checked by these records and by the logs of the processes;
no process is queried. Every child process ends with the harness, even if the harness is killed.
"""

from __future__ import annotations

import ctypes
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from heapq import heappop, heappush
from pathlib import Path
from typing import Any

from wickhinge.lab.many.fault_injector import FaultInjector
from wickhinge.lab.many.schedule import Schedule
from wickhinge.lab.many.simulation import falsify
from wickhinge.lab.many.stand_ins import Client, StandIns, Workload
from wickhinge.peers import wire

ROOT = Path(__file__).parents[3]
KEY = b"of this fleet and of no other"  # The same as simulation.KEY, which `falsify` uses.
HOST = "127.0.0.1"
PR_SET_PDEATHSIG = 1


def kill_with_parent() -> None:
    """Have the kernel kill the calling child process when the harness ends, for whatever reason."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def replace_file(path: Path, text: str) -> None:
    """Replace a file atomically, since a router may read it at any time."""
    new_path = path.with_suffix(".new")
    new_path.write_text(text)
    new_path.replace(path)


def clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def bound_socket() -> socket.socket:
    datagram_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    datagram_socket.setblocking(False)
    datagram_socket.bind((HOST, 0))
    return datagram_socket


def free_port() -> int:
    """Return a free TCP and UDP port below the range from which the system assigns ports to connections."""
    while True:
        port = 10_000 + int.from_bytes(os.urandom(4)) % 20_000
        try:
            with socket.socket() as stream, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagrams:
                stream.bind((HOST, port))
                datagrams.bind((HOST, port))
            return port
        except OSError:
            continue


class Process:
    """A router process with its own directory, configuration, log and client."""

    def __init__(self, harness: Harness, router_index: int, number: int) -> None:
        self.harness, self.router_index, self.number = harness, router_index, number
        self.name = harness.router_names[router_index]
        self.port = free_port()
        directory = harness.directory / f"{self.name}-{number}"
        directory.mkdir()
        self.log = directory / "log"
        config = json.loads((ROOT / "example/config.json").read_text())
        listen_address = HOST, free_port()
        config |= {
            "name": self.name,
            "listen": "{}:{}".format(*listen_address),
            "journal": f"{HOST}:{harness.unused_port}",
            "limits": {"memory_mb": 64, "sockets": 128},
            "seed": f"{harness.random.getrandbits(64):016x}",
        }
        if harness.stand_ins is not None:
            config |= {
                "known": harness.stand_ins.endpoint_list(harness.unix_start_s),
                "settings": harness.stand_ins.settings(config["settings"], router_index),
            }
        (directory / "config.json").write_text(json.dumps(config))
        self.options = directory / "o.cue"
        self.write_options(set())
        env = {**os.environ, "RELAY_CONFIG": str(directory / "config.json"), "WICKHINGE_OPTIONS": str(self.options)}
        # Only the first process of each router has a faulty clock, not the processes that are started later.
        clock_changes = harness.clock_changes.get(router_index, []) if number <= len(harness.router_names) else []
        command = ["wickhinge.lab.many.launch", json.dumps(clock_changes)] if clock_changes else ["wickhinge"]
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *command], cwd=ROOT, env=env, stdout=log, stderr=log, preexec_fn=kill_with_parent
            )
        self.started_at = clock()
        self.killed_at: float | None = None  # None until the harness kills the process.
        self.pauses: list[list[float]] = []  # Rows are [begin, end] of each pause, in seconds on the harness's clock.
        if harness.stand_ins is not None:
            Client(harness.stand_ins, self, listen_address)

    def write_options(self, missing: set[int]) -> None:
        """Write the process's options file, with a roster without the routers of the indexes in `missing`."""
        harness = self.harness
        roster = ", ".join(
            f'{{name: "{name}", address: "{HOST}:'
            f"{self.port if index == self.router_index else harness.relay_ports[self.router_index, index]}"
            f'", zone: "z{index % harness.schedule.zones}"}}'
            for index, name in enumerate(harness.router_names)
            if index not in missing
        )
        text = f'peers: {{mode: "on", key_file: "{harness.directory}/key", roster: [{roster}]}}\n'
        if harness.shared and harness.stand_ins is not None:  # Sharing needs the zones of the stand-ins' endpoint list.
            text += (
                f'shared: {{mode: "on", names: {len(harness.router_names)}, processes: {harness.schedule.places}, '
                f'judgements: "{"on" if harness.judgements else "off"}", '
                f'counts: "{"on" if harness.counts else "off"}"}}\n'
            )
        replace_file(self.options, text)

    def reload_roster(self, missing: set[int]) -> None:
        self.write_options(missing)
        self.send_signal(signal.SIGHUP)

    def was_undisturbed(self, since: float, until: float) -> bool:
        """Return whether the harness did not pause the process at that time, and has not killed it until now.

        A pause also disturbs the process for 0.5 s after its end.
        """
        return self.killed_at is None and all(end < since - 0.5 or begin > until for begin, end in self.pauses)

    def send_signal(self, number: int) -> None:
        if self.child.poll() is None:
            self.child.send_signal(number)

    def pause(self) -> None:
        self.pauses.append([self.harness.now, 1e9])
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        for last_pause in self.pauses[-1:]:
            last_pause[1] = min(last_pause[1], self.harness.now)
        self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        self.child.wait(10)
        self.killed_at = clock()

    def logged_events(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.log.read_bytes().splitlines() if line.startswith(b'{"t"')]


class Harness(FaultInjector):
    """A fleet of real processes under a schedule: `with Harness(directory, schedule) as harness: harness.run()`."""

    def __init__(
        self,
        directory: Path,
        schedule: Schedule,
        workload: Workload | None = None,
        shared: bool = True,
        judgements: bool = False,
        counts: bool = False,
    ) -> None:
        """Create the harness and its stand-ins, without starting a process.

        Args:
            directory: An empty directory for the files of the processes.
            schedule: The fleet and its faults.
            workload: The stand-in servers and the clients' demand; with None there are neither.
            shared: Whether the routers share the limits of slow-starting servers.
            judgements: Whether the routers exchange verdicts about servers.
            counts: Whether the routers exchange the counts of their open requests at servers.
        """
        super().__init__(schedule)
        self.directory, self.shared, self.judgements, self.counts = directory, shared, judgements, counts
        self.selector = selectors.DefaultSelector()
        # A heap of planned calls: rows are (time on the harness's clock, tie-breaking number, function, arguments).
        self.planned_calls: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.last_call_number = 0
        self.relay_ports: dict[tuple[int, int], int] = {}  # Ports by (sender's index, receiver's index).
        self.relay_sockets: list[socket.socket] = []
        # Rows are (time, sender's index, datagram), recorded before a network fault can drop or delay the datagram.
        self.observed_datagrams: list[tuple[float, int, bytes]] = []
        self.sending_socket = bound_socket()
        self.clock_changes: dict[int, list[list[float]]] = defaultdict(list)  # Arguments of `launch` by router index.
        self.start_time = clock()  # Time 0 of the harness's clock, in seconds on the machine's boot-time clock.
        self.unix_start_s = time.time()  # Time 0 of the harness's clock in Unix seconds.
        self.stand_ins = StandIns(self, workload) if workload is not None else None
        with socket.socket() as released_socket:
            released_socket.bind((HOST, 0))
            # The routers look for the journal service at this port, where nothing listens.
            self.unused_port = released_socket.getsockname()[1]
        (directory / "key").write_bytes(KEY)

    def __enter__(self) -> Harness:
        return self

    def __exit__(self, *_: Any) -> None:
        for process in self.processes:
            if process.child.poll() is None:
                process.kill()
        for datagram_socket in [*self.relay_sockets, self.sending_socket]:
            datagram_socket.close()
        if self.stand_ins is not None:
            self.stand_ins.close()
        self.selector.close()

    @property
    def now(self) -> float:
        return clock() - self.start_time

    def call_at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self.last_call_number += 1
        heappush(self.planned_calls, (when, self.last_call_number, call, args))

    def running_processes(self, router_index: int) -> list[Process]:
        return [
            process for process in self.processes if process.router_index == router_index and process.killed_at is None
        ]

    def start_process(self, router_index: int) -> Process:
        self.started_count += 1
        process = Process(self, router_index, self.started_count)
        self.processes.append(process)
        return process

    # Relaying datagrams.

    def open_relays(self) -> None:
        for sender in range(len(self.router_names)):
            for receiver in range(len(self.router_names)):
                if sender != receiver:
                    relay_socket = bound_socket()
                    self.relay_sockets.append(relay_socket)
                    self.relay_ports[sender, receiver] = relay_socket.getsockname()[1]
                    self.selector.register(
                        relay_socket, selectors.EVENT_READ, partial(self.relay, relay_socket, sender, receiver)
                    )

    def relay(self, relay_socket: socket.socket, sender: int, receiver: int) -> None:
        """Record the datagrams that wait at a relay's socket, and forward them subject to the active faults."""
        for _ in range(64):
            try:
                data = relay_socket.recv(65536)
            except OSError:
                return
            if self.network_faults.is_lying(sender):
                data = falsify(data, self.router_names, self.random)
            self.observed_datagrams.append((self.now, sender, data))
            self.record_datagram(sender, receiver, data)
            for delay in self.network_faults.draw_arrival_delays(sender, receiver, self.now, 0.0):
                if delay:
                    self.call_at(self.now + delay, self.deliver, sender, receiver, data)
                else:
                    self.deliver(sender, receiver, data)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        if not self.network_faults.is_cut(sender, receiver, self.now):
            for process in self.running_processes(receiver):
                try:
                    self.sending_socket.sendto(data, (HOST, process.port))
                except OSError:
                    pass  # A datagram that cannot be sent counts as lost.

    # Running the schedule.

    def run(self) -> Harness:
        """Run the schedule; return when its time for recovery is over."""
        self.open_relays()
        # On an idle machine the processes start within 2.5 s. The first fault begins at time 3 s at the earliest.
        self.start_time, self.unix_start_s = clock() + 2.5, time.time() + 2.5
        for fault in self.schedule.faults:
            if fault.kind in ("fast", "slow", "jump"):
                for router_index in fault.one:
                    begin = self.start_time + fault.at_s
                    if fault.kind == "jump":
                        self.clock_changes[router_index].append([begin, 1.0, fault.amount])
                    else:
                        rate = 1.0 + (fault.amount if fault.kind == "fast" else -fault.amount)
                        self.clock_changes[router_index] += [[begin, rate, 0.0], [begin + fault.for_s, 1.0, 0.0]]
        for changes in self.clock_changes.values():
            changes.sort()
        for router_index in range(len(self.router_names)):
            self.start_process(router_index)
        for fault in self.schedule.faults:
            self.call_at(fault.at_s, self.begin_fault, fault)
        until = self.schedule.healed_s + self.schedule.calm_s
        while self.now < until:
            wait = min([until, *(planned_call[0] for planned_call in self.planned_calls[:1])]) - self.now
            for key, _ in self.selector.select(max(wait, 0.0)):
                if key.fileobj.fileno() >= 0:  # A callback of the same batch may have closed this socket.
                    key.data()
            while self.planned_calls and self.planned_calls[0][0] <= self.now:
                _, _, call, args = heappop(self.planned_calls)
                call(*args)
        return self

    # The records by which the invariants are checked.

    def history(self) -> list[tuple[float, str, int, str, dict[str, Any]]]:
        """Return the starts, kills and logged events of all processes, in the form that `invariants` describes."""
        rows = []
        for process in self.processes:
            rows.append((process.started_at - self.start_time, process.name, process.number, "started", {}))
            if process.killed_at is not None:
                rows.append((process.killed_at - self.start_time, process.name, process.number, "killed", {}))
            unix_start_s = time.time() - clock() + self.start_time
            for event in process.logged_events():
                subsystem, _, name = event["event"].partition("_")
                if subsystem in ("peers", "shared"):
                    rows.append(
                        (
                            event["t"] - unix_start_s,
                            process.name,
                            process.number,
                            name,
                            {key: value for key, value in event.items() if key not in ("t", "event", "router")},
                        )
                    )
        return sorted(rows, key=lambda row: row[:3])

    def find_crashes(self) -> list[str]:
        """Return a message for each process that ended by itself, and at most 3 per process for faults in its log."""
        crashes = [
            f"{process.name}: process {process.number} ended with {process.child.returncode}"
            for process in self.processes
            if process.killed_at is None and process.child.poll() is not None
        ]
        for process in self.processes:
            lines = process.log.read_bytes().splitlines()
            crashes += [
                f"{process.name}: {line.decode(errors='replace')[:200]}"
                for line in lines
                if b'"event":"router_fault"' in line or line.startswith((b"Traceback", b"Unhandled"))
            ][:3]
        return crashes

    def check_beliefs(self) -> list[str]:
        """Check by the sent datagrams that no process goes back to an earlier incarnation of a peer.

        Returns a message for each violation.
        """
        highest: dict[tuple[int, int, str], tuple[int, int]] = defaultdict(lambda: (0, 0))
        violations = []
        for when, sender, data in self.observed_datagrams:
            message = wire.decode(KEY, data)
            belief = message.belief[:2]
            if belief < highest[sender, message.incarnation, message.receiver]:
                violations.append(
                    f"{when:.3f} {message.sender}: believes {message.receiver} in an earlier life, epoch {belief[0]}"
                )
            highest[sender, message.incarnation, message.receiver] = belief
        return violations
