"""Replicas, relays and a router as processes, each pair behind a link that can drop, repeat and add datagrams."""

import os
import queue
import random
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter
from contextlib import ExitStack, contextmanager

from tests.support.processes import PATIENT, ROOT, Process
from tests.support.router_process import OK_FIELDS, CacheConnection, RouterHarness
from wickhinge.changelog.entries import Purge, Setting
from wickhinge.cli.changelog_client import Client, NotAppendedError, routers_of
from wickhinge.options import load

REPLICAS = [f"replica-{number}" for number in range(1, 6)]
RELAYS = ["relay-1", "relay-2"]
ROUTER = "router"
PORT = 7000
BOUND_S, GRACE_S = 2.0, 3.0
MAX_COPY_AGE_S = 0.94 * GRACE_S  # by the slowest clock
LONGEST_DATAGRAM = 2000
IDLE_S = 60.0
FLIPS = 5


class Link:
    """Two sockets: each process sees the other one at the socket that faces it."""

    def __init__(self, stack, host, ends):
        self.sockets, self.addresses = {}, dict(ends)
        for name in ends:
            made = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            made.bind((host, 0))
            made.setblocking(False)
            self.sockets[name] = made

    def other(self, name):
        return next(end for end in self.sockets if end != name)


class Hub:
    """All links in one thread. `cut` holds pairs (from, to) whose datagrams are dropped."""

    def __init__(self, stack, host):
        self.cut_pairs, self.is_noisy = set(), False
        self.forwarded_counts = Counter()  # datagrams by receiver
        self._stack, self._host, self._links = stack, host, {}
        self._random_fraction = random.Random(5)
        self._selector = selectors.DefaultSelector()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def link(self, ends):
        made = Link(self._stack, self._host, ends)
        self._links[frozenset(ends)] = made
        for name in ends:
            self._selector.register(made.sockets[name], selectors.EVENT_READ, (made, name))

    def address(self, viewer, target):
        """Where `viewer` finds `target`."""
        return self._links[frozenset((viewer, target))].sockets[viewer].getsockname()

    def start(self):
        self._thread.start()

    def close(self):
        self._stopped.set()
        self._thread.join(PATIENT)

    def _run(self):
        while not self._stopped.is_set():
            for key, _ in self._selector.select(0.1):
                link, name = key.data
                try:
                    data, source = key.fileobj.recvfrom(LONGEST_DATAGRAM)
                    link.addresses[name] = source
                    self._pass_on(link, name, link.other(name), data)
                except OSError:
                    continue

    def _pass_on(self, link, sender, receiver, data):
        address = link.addresses[receiver]
        if (sender, receiver) in self.cut_pairs or address is None:
            return
        self.forwarded_counts[receiver] += 1
        for copy in [data, data, *self._garbage(data)] if self.is_noisy else [data]:
            link.sockets[receiver].sendto(copy, address)

    def _garbage(self, data):
        """Changed in one bit, most of them where the message is, cut short, and of chance alone."""
        for _ in range(FLIPS):
            flipped = bytearray(data)
            flipped[self._random_fraction.randrange(len(data))] ^= 1 << self._random_fraction.randrange(8)
            yield bytes(flipped)
        yield data[: self._random_fraction.randrange(len(data))]
        yield self._random_fraction.randbytes(60)


class Fleet:
    """5 replicas, 2 relays and a router whose journal service and caches are the test's own."""

    def __init__(self, folder, stack):
        self.folder, self.stack, self.processes = folder, stack, {}
        self.block = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        names = [*REPLICAS, *RELAYS]
        self.addresses = {name: (f"{self.block}.{place}", PORT) for place, name in enumerate(names, 1)}
        self.hub = Hub(stack, f"{self.block}.200")
        for place, name in enumerate(names):
            for other in names[:place]:
                self.hub.link({name: self.addresses[name], other: self.addresses[other]})
        for relay in RELAYS:
            self.hub.link({ROUTER: None, relay: self.addresses[relay]})
        (folder / "key").write_text("the key of this test's fleet")
        for name in [*names, ROUTER]:
            self.write_options(name)
        self.operator = self.write_options("operator")
        self.hub.start()
        stack.callback(self.hub.close)
        self.client = Client(load(str(self.operator)).changelog)

    def write_options(self, viewer, key="key", also=""):
        def listed(names):
            places = {name: self.seen(viewer, name) for name in names}
            return ", ".join(f'{{name: "{name}", address: "{host}:{port}"}}' for name, (host, port) in places.items())

        also = f'also_key_file: "{self.folder}/{also}",' if also else ""
        replicas = "" if viewer == ROUTER else f"replicas: [{listed(REPLICAS)}]"
        path = self.folder / f"{viewer}.cue"
        path.write_text(
            f'changelog: {{mode: "on", key_file: "{self.folder}/{key}", {also} dir: "{self.folder}/state", {replicas}\n'
            f"relays: [{listed(RELAYS)}], bound_s: {BOUND_S}, grace_s: {GRACE_S}}}\n"
        )
        return path

    def write_key_options(self, name, key, also):
        """To be followed by a SIGHUP."""
        self.write_options(name, key, also)

    def seen(self, viewer, target):
        return self.addresses[target] if viewer in (target, "operator") else self.hub.address(viewer, target)

    def start(self, name, *words):
        role = "replica" if name in REPLICAS else "relay"
        options = str(self.folder / f"{name}.cue")
        process = Process("-m", "wickhinge", "changelog", role, "--options", options, "--name", name, *words)
        self.stack.callback(process.close)
        self.processes[name] = process
        return process

    def start_all(self):
        for name in REPLICAS:
            self.start(name, "--new")
        for name in RELAYS:
            self.start(name)
        for process in self.processes.values():
            process.wait('"event":"changelog_start"')

    def start_router(self):
        os.environ["WICKHINGE_OPTIONS"] = str(self.folder / f"{ROUTER}.cue")
        try:
            self.router_harness = RouterHarness(self.folder)
        finally:
            del os.environ["WICKHINGE_OPTIONS"]
        self.stack.callback(self.router_harness.close)
        self.requests = queue.Queue()
        for place in self.router_harness.listeners:
            threading.Thread(target=self._serve, args=(place,), daemon=True).start()

    def kill(self, name):
        self.processes[name].child.kill()
        self.processes[name].child.wait(PATIENT)

    def stop(self, name):
        """By SIGTERM, to its own end."""
        self.processes[name].child.terminate()
        assert self.processes[name].child.wait(PATIENT) == 0

    def pause(self, name):
        child = self.processes[name].child
        child.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, child.pid, os.WSTOPPED | os.WNOWAIT)

    def resume(self, name):
        self.processes[name].child.send_signal(signal.SIGCONT)

    # What the test asks.

    def query_servers(self):
        return self.client.servers([*REPLICAS, *RELAYS])

    def leader(self):
        def found():
            leads = [
                server.name for server in self.query_servers() if server.status and server.status.state == "leader"
            ]
            return leads[0] if len(leads) == 1 else None

        return eventually(found)

    def router_row(self):
        """The row of the router, or None."""
        return next(iter(routers_of(self.query_servers())), None)

    def append_purge(self, key, timeout_s=PATIENT):
        """Returns once the router has it."""
        answer = self.client.append(Purge(key, 0, 0), timeout_s)
        self.router_harness.router.wait(
            f'"event":"purge_applied","key":"{key:016x}","group":0,"stamp_ms":{answer.stamp_ms}'
        )
        return answer

    def append_setting(self, name, value):
        """The router's word of it."""
        self.client.append(Setting(name, value, 0), PATIENT)
        line = self.router_harness.router.wait('"event":"changelog_setting')
        assert f'"name":"{name}"' in line
        return line

    def can_append(self, timeout_s):
        try:
            self.client.append(Purge(1, 0, 0), timeout_s)
        except NotAppendedError:
            return False
        return True

    def run_command(self, *words):
        """Exit code and output of `wickhinge changelog WORDS`."""
        told = {**os.environ, "WICKHINGE_OPTIONS": str(self.operator)}
        command = [sys.executable, "-m", "wickhinge", "changelog", *words]
        done = subprocess.run(command, cwd=ROOT, env=told, capture_output=True, text=True, timeout=2 * PATIENT)
        return done.returncode, done.stdout + done.stderr

    def wait_for_event(self, name):
        return self.router_harness.router.wait(f'"event":"changelog_{name}"')

    def next_request_max_age_s(self, key):
        """Of a request for an object, in seconds, as a cache is asked; None without one. A router that stood still
        denies what it takes for late: that is asked again.
        """
        client = self.router_harness.client()
        eventually(lambda: client.answer(client.ask(obj=f"{key:016x}"))[2] is None)
        found = self.requests.get(timeout=PATIENT).get("maxage")
        assert self.requests.empty()
        client.socket.close()
        return None if found is None else int(found) / 1000

    def _serve(self, place):
        """A cache that has everything, and notes what it is asked."""
        while True:
            try:
                made, _ = place.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            threading.Thread(target=self._serve_connection, args=(CacheConnection(made),), daemon=True).start()

    def _serve_connection(self, line):
        try:
            while asked := line.next_request(IDLE_S):
                self.requests.put(asked.fields)
                asked.answer("OK", OK_FIELDS, b"x")
        except OSError:
            pass
        line.socket.close()


def eventually(ask):
    """What `ask` gives, once it is something."""
    deadline = time.monotonic() + PATIENT
    while time.monotonic() < deadline:
        found = ask()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError("never")


@contextmanager
def running_fleet(folder):
    """A fleet in which all is well."""
    with ExitStack() as stack:
        made = Fleet(folder, stack)
        made.start_all()
        made.leader()
        made.start_router()
        made.wait_for_event("informed")
        yield made


def cut_links(fleet, name, others, inward=True, outward=True):
    for other in others:
        if inward:
            fleet.hub.cut_pairs.add((other, name))
        if outward:
            fleet.hub.cut_pairs.add((name, other))


def seconds_until_uninformed(fleet, cut):
    """Seconds from the cut to the router's limiting copies' ages, by the log's stamps."""
    began = time.time()
    cut()
    line = fleet.wait_for_event("uninformed")
    return float(line.split('"t":')[1].split(",")[0]) - began


def restore_links(fleet):
    fleet.hub.cut_pairs.clear()
    fleet.wait_for_event("informed")


def lines_until(process, word):
    found = []
    deadline = time.monotonic() + PATIENT
    while time.monotonic() < deadline:
        line = process.lines.get(timeout=PATIENT)
        if word in line:
            return found
        found.append(line)
    raise AssertionError(f"no {word}")
