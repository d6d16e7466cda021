"""A schedule on sockets: real router processes on loopback, a relay between any two, faults as the schedule says.

What the processes say to each other goes through the harness, one socket for each way, and is written down there with
the machine's clock; the judges look at that and at what each process wrote, and ask none of them. All that was
started ends with the harness, also where the harness itself is killed.
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
from wickhinge.lab.many.simulation import foul
from wickhinge.lab.many.stand_ins import Client, StandIns, Workload
from wickhinge.peers import wire

ROOT = Path(__file__).parents[3]
KEY = b"of this fleet and of no other"  # as play.foul takes it
HOST = "127.0.0.1"
PR_SET_PDEATHSIG = 1


def kill_with_parent() -> None:
    """In the child: it is killed when the harness has gone, however that went."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def replace_file(path: Path, text: str) -> None:
    """Whole at every moment: whoever reads it may do so at any."""
    made = path.with_suffix(".new")
    made.write_text(text)
    made.replace(path)


def clock() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def bound_socket() -> socket.socket:
    made = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    made.setblocking(False)
    made.bind((HOST, 0))
    return made


def free_port() -> int:
    """Not one that the system gives to connections meanwhile."""
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
    def __init__(self, harness: Harness, place: int, number: int) -> None:
        self.harness, self.router_index, self.number = harness, place, number
        self.name = harness.router_names[place]
        self.port = free_port()
        folder = harness.folder / f"{self.name}-{number}"
        folder.mkdir()
        self.log = folder / "log"
        conf = json.loads((ROOT / "example/config.json").read_text())
        listen = HOST, free_port()
        conf |= {
            "name": self.name,
            "listen": "{}:{}".format(*listen),
            "journal": f"{HOST}:{harness.nowhere}",
            "limits": {"memory_mb": 64, "sockets": 128},
            "seed": f"{harness.random.getrandbits(64):016x}",
        }
        if harness.stand_ins is not None:
            conf |= {
                "known": harness.stand_ins.known(harness.wall),
                "settings": harness.stand_ins.settings(conf["settings"], place),
            }
        (folder / "config.json").write_text(json.dumps(conf))
        self.options = folder / "o.cue"
        self.write(set())
        env = {**os.environ, "RELAY_CONFIG": str(folder / "config.json"), "WICKHINGE_OPTIONS": str(self.options)}
        turns = harness.turns.get(place, []) if number <= len(harness.router_names) else []
        command = ["wickhinge.lab.many.launch", json.dumps(turns)] if turns else ["wickhinge"]
        with open(self.log, "wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", *command], cwd=ROOT, env=env, stdout=log, stderr=log, preexec_fn=kill_with_parent
            )
        self.began = clock()
        self.ended: float | None = None
        self.halts: list[list[float]] = []  # when it stood still, on the harness's clock: from, to
        if harness.stand_ins is not None:
            Client(harness.stand_ins, self, listen)

    def write(self, missing: set[int]) -> None:
        """Its settings, with a roster on which some do not stand."""
        harness = self.harness
        roster = ", ".join(
            f'{{name: "{name}", address: "{HOST}:'
            f"{self.port if to == self.router_index else harness.ways[self.router_index, to]}"
            f'", zone: "z{to % harness.schedule.zones}"}}'
            for to, name in enumerate(harness.router_names)
            if to not in missing
        )
        text = f'peers: {{mode: "on", key_file: "{harness.folder}/key", roster: [{roster}]}}\n'
        if harness.shared and harness.stand_ins is not None:  # the list's zones are the stand-ins'
            text += (
                f'shared: {{mode: "on", names: {len(harness.router_names)}, processes: {harness.schedule.places}, '
                f'judgements: "{"on" if harness.judgements else "off"}", '
                f'counts: "{"on" if harness.counts else "off"}"}}\n'
            )
        replace_file(self.options, text)

    def reroster(self, missing: set[int]) -> None:
        self.write(missing)
        self.signal(signal.SIGHUP)

    def steady(self, since: float, until: float) -> bool:
        """Whether nothing was done to it then."""
        return self.ended is None and all(to < since - 0.5 or at > until for at, to in self.halts)

    def signal(self, number: int) -> None:
        if self.child.poll() is None:
            self.child.send_signal(number)

    def stop(self) -> None:
        self.halts.append([self.harness.now, 1e9])
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        for halt in self.halts[-1:]:
            halt[1] = min(halt[1], self.harness.now)
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)
        self.child.wait(10)
        self.ended = clock()

    def events(self) -> list[dict[str, Any]]:
        return [json.loads(line) for line in self.log.read_bytes().splitlines() if line.startswith(b'{"t"')]


class Harness(FaultInjector):
    """with Harness(folder, schedule) as harness: harness.run()"""

    def __init__(
        self,
        folder: Path,
        schedule: Schedule,
        scene: Workload | None = None,
        shared: bool = True,
        judgements: bool = False,
        counts: bool = False,
    ) -> None:
        """scene: machines and what clients ask, none without; shared: whether limits are dealt; judgements: whether
        routers tell each other of machines; counts: and of what they have out there.
        """
        super().__init__(schedule)
        self.folder, self.shared, self.judgements, self.counts = folder, shared, judgements, counts
        self.selector = selectors.DefaultSelector()
        self.due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.serial = 0
        self.ways: dict[tuple[int, int], int] = {}
        self.sockets: list[socket.socket] = []
        self.seen: list[tuple[float, int, bytes]] = []  # when, from which place, what was said, before anything broke
        self.out = bound_socket()
        self.turns: dict[int, list[list[float]]] = defaultdict(list)
        self.zero = clock()
        self.wall = time.time()  # Unix seconds at zero
        self.stand_ins = StandIns(self, scene) if scene is not None else None
        with socket.socket() as away:
            away.bind((HOST, 0))
            self.nowhere = away.getsockname()[1]  # where no journal service is
        (folder / "key").write_bytes(KEY)

    def __enter__(self) -> Harness:
        return self

    def __exit__(self, *_: Any) -> None:
        for process in self.processes:
            if process.child.poll() is None:
                process.kill()
        for one in [*self.sockets, self.out]:
            one.close()
        if self.stand_ins is not None:
            self.stand_ins.close()
        self.selector.close()

    @property
    def now(self) -> float:
        return clock() - self.zero

    def at(self, when: float, call: Callable[..., None], *args: Any) -> None:
        self.serial += 1
        heappush(self.due, (when, self.serial, call, args))

    def running_processes(self, place: int) -> list[Process]:
        return [one for one in self.processes if one.router_index == place and one.ended is None]

    def start_process(self, place: int) -> Process:
        self.numbers += 1
        made = Process(self, place, self.numbers)
        self.processes.append(made)
        return made

    # The relays.

    def open_relays(self) -> None:
        for one in range(len(self.router_names)):
            for to in range(len(self.router_names)):
                if one != to:
                    made = bound_socket()
                    self.sockets.append(made)
                    self.ways[one, to] = made.getsockname()[1]
                    self.selector.register(made, selectors.EVENT_READ, partial(self.heard, made, one, to))

    def heard(self, made: socket.socket, one: int, to: int) -> None:
        for _ in range(64):
            try:
                data = made.recv(65536)
            except OSError:
                return
            if self.between.lies(one):
                data = foul(data, self.router_names, self.random)
            self.seen.append((self.now, one, data))
            self.record(one, to, data)
            for delay in self.between.fate(one, to, self.now, 0.0):
                if delay:
                    self.at(self.now + delay, self.arrive, one, to, data)
                else:
                    self.arrive(one, to, data)

    def arrive(self, one: int, to: int, data: bytes) -> None:
        if not self.between.cut(one, to, self.now):
            for process in self.running_processes(to):
                try:
                    self.out.sendto(data, (HOST, process.port))
                except OSError:
                    pass  # as lost

    # The schedule.

    def run(self) -> Harness:
        """Returns when the schedule and the calm after it are over."""
        self.open_relays()
        # Processes start within it where the machine is idle; faults come 3 s later at least.
        self.zero, self.wall = clock() + 2.5, time.time() + 2.5
        for fault in self.schedule.faults:
            if fault.kind in ("fast", "slow", "jump"):
                for place in fault.one:
                    at = self.zero + fault.at_s
                    if fault.kind == "jump":
                        self.turns[place].append([at, 1.0, fault.amount])
                    else:
                        rate = 1.0 + (fault.amount if fault.kind == "fast" else -fault.amount)
                        self.turns[place] += [[at, rate, 0.0], [at + fault.for_s, 1.0, 0.0]]
        for turns in self.turns.values():
            turns.sort()
        for place in range(len(self.router_names)):
            self.start_process(place)
        for fault in self.schedule.faults:
            self.at(fault.at_s, self.begin_fault, fault)
        until = self.schedule.healed_s + self.schedule.calm_s
        while self.now < until:
            wait = min([until, *(one[0] for one in self.due[:1])]) - self.now
            for key, _ in self.selector.select(max(wait, 0.0)):
                if key.fileobj.fileno() >= 0:  # an earlier one of these may have closed it
                    key.data()
            while self.due and self.due[0][0] <= self.now:
                _, _, call, args = heappop(self.due)
                call(*args)
        return self

    # What happened, for the judges.

    def history(self) -> list[tuple[float, str, int, str, dict[str, Any]]]:
        found = []
        for process in self.processes:
            found.append((process.began - self.zero, process.name, process.number, "started", {}))
            if process.ended is not None:
                found.append((process.ended - self.zero, process.name, process.number, "killed", {}))
            shift = time.time() - clock() + self.zero
            for event in process.events():
                package, _, name = event["event"].partition("_")
                if package in ("peers", "shared"):
                    found.append(
                        (
                            event["t"] - shift,
                            process.name,
                            process.number,
                            name,
                            {key: value for key, value in event.items() if key not in ("t", "event", "router")},
                        )
                    )
        return sorted(found, key=lambda one: one[:3])

    def find_crashes(self) -> list[str]:
        """Processes that ended by themselves, and defects that they wrote down."""
        faults = [
            f"{one.name}: process {one.number} ended with {one.child.returncode}"
            for one in self.processes
            if one.ended is None and one.child.poll() is not None
        ]
        for one in self.processes:
            lines = one.log.read_bytes().splitlines()
            faults += [
                f"{one.name}: {line.decode(errors='replace')[:200]}"
                for line in lines
                if b'"event":"router_fault"' in line or line.startswith((b"Traceback", b"Unhandled"))
            ][:3]
        return faults

    def check_beliefs(self) -> list[str]:
        """What each life was heard to believe of the others' names: it only rises, and no datagram goes out twice."""
        top: dict[tuple[int, int, str], tuple[int, int]] = defaultdict(lambda: (0, 0))
        faults = []
        for when, place, data in self.seen:
            item = wire.decode(KEY, data)
            told = item.belief[:2]
            if told < top[place, item.incarnation, item.receiver]:
                faults.append(f"{when:.3f} {item.sender}: believes {item.receiver} in an earlier life, epoch {told[0]}")
            top[place, item.incarnation, item.receiver] = told
        return faults
