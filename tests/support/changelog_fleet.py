"""Replicas, relays and a router as processes, connected by links that can drop, repeat and corrupt datagrams."""

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

from tests.support.processes import ROOT, TIMEOUT_S, Process
from tests.support.router_process import OK_FIELDS, CacheConnection, RouterHarness
from wickhinge.changelog.entries import Purge, Setting
from wickhinge.cli.changelog_client import Client, NotAppendedError, list_routers
from wickhinge.options import load

REPLICAS = [f"replica-{number}" for number in range(1, 6)]
RELAYS = ["relay-1", "relay-2"]
ROUTER = "router"
PORT = 7000
BOUND_S, GRACE_S = 2.0, 3.0
MAX_COPY_AGE_S = 0.94 * GRACE_S  # The grace by the slowest clock that the change log allows for.
MAX_DATAGRAM_BYTES = 2000
CACHE_IDLE_TIMEOUT_S = 60.0
CORRUPTED_COPIES = 5  # Copies with one inverted bit that a noisy hub sends of each datagram.


class Link:
    """Pair of sockets between two processes.

    Each process sends to its own socket of the link, and gets from there the datagrams of the other process.
    """

    def __init__(self, stack, host, ends):
        self.sockets, self.addresses = {}, dict(ends)
        for name in ends:
            endpoint_socket = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            endpoint_socket.bind((host, 0))
            endpoint_socket.setblocking(False)
            self.sockets[name] = endpoint_socket

    def other_end(self, name):
        return next(end for end in self.sockets if end != name)


class Hub:
    """All links, served by one thread.

    Attributes:
        cut_pairs: Pairs of a sender and a receiver whose datagrams are dropped.
        is_noisy: Whether each datagram is also sent twice and in corrupted copies.
        forwarded_counts: Number of forwarded datagrams by receiver.
    """

    def __init__(self, stack, host):
        self.cut_pairs, self.is_noisy = set(), False
        self.forwarded_counts = Counter()
        self._stack, self._host, self._links = stack, host, {}
        self._random = random.Random(5)
        self._selector = selectors.DefaultSelector()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def link(self, ends):
        link = Link(self._stack, self._host, ends)
        self._links[frozenset(ends)] = link
        for name in ends:
            self._selector.register(link.sockets[name], selectors.EVENT_READ, (link, name))

    def address(self, viewer, target):
        """Return the address at which `viewer` reaches `target` through their link."""
        return self._links[frozenset((viewer, target))].sockets[viewer].getsockname()

    def start(self):
        self._thread.start()

    def close(self):
        self._stopped.set()
        self._thread.join(TIMEOUT_S)

    def _run(self):
        while not self._stopped.is_set():
            for key, _ in self._selector.select(0.1):
                link, name = key.data
                try:
                    data, source = key.fileobj.recvfrom(MAX_DATAGRAM_BYTES)
                    link.addresses[name] = source
                    self._forward(link, name, link.other_end(name), data)
                except OSError:
                    continue

    def _forward(self, link, sender, receiver, data):
        address = link.addresses[receiver]
        if (sender, receiver) in self.cut_pairs or address is None:
            return
        self.forwarded_counts[receiver] += 1
        for copy in [data, data, *self._corrupted_copies(data)] if self.is_noisy else [data]:
            link.sockets[receiver].sendto(copy, address)

    def _corrupted_copies(self, data):
        """Yield copies with one inverted bit, a truncated copy, and random bytes."""
        for _ in range(CORRUPTED_COPIES):
            flipped = bytearray(data)
            flipped[self._random.randrange(len(data))] ^= 1 << self._random.randrange(8)
            yield bytes(flipped)
        yield data[: self._random.randrange(len(data))]
        yield self._random.randbytes(60)


class Fleet:
    """5 replicas, 2 relays and a router, whose discovery service and caches run in the test."""

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
        def format_servers(names):
            addresses = {name: self.address_seen_by(viewer, name) for name in names}
            return ", ".join(
                f'{{name: "{name}", address: "{host}:{port}"}}' for name, (host, port) in addresses.items()
            )

        also = f'also_key_file: "{self.folder}/{also}",' if also else ""
        replicas = "" if viewer == ROUTER else f"replicas: [{format_servers(REPLICAS)}]"
        path = self.folder / f"{viewer}.cue"
        path.write_text(
            f'changelog: {{mode: "on", key_file: "{self.folder}/{key}", {also} dir: "{self.folder}/state", {replicas}\n'
            f"relays: [{format_servers(RELAYS)}], bound_s: {BOUND_S}, grace_s: {GRACE_S}}}\n"
        )
        return path

    def write_key_options(self, name, key, also):
        """Write options with other keys, which the process reads at the next SIGHUP."""
        self.write_options(name, key, also)

    def address_seen_by(self, viewer, target):
        return self.addresses[target] if viewer in (target, "operator") else self.hub.address(viewer, target)

    def start(self, name, *arguments):
        role = "replica" if name in REPLICAS else "relay"
        options = str(self.folder / f"{name}.cue")
        process = Process("-m", "wickhinge", "changelog", role, "--options", options, "--name", name, *arguments)
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
        for listener in self.router_harness.listeners:
            threading.Thread(target=self._serve, args=(listener,), daemon=True).start()

    def kill(self, name):
        self.processes[name].child.kill()
        self.processes[name].child.wait(TIMEOUT_S)

    def stop(self, name):
        """Send SIGTERM, and wait until the process has ended with exit code 0."""
        self.processes[name].child.terminate()
        assert self.processes[name].child.wait(TIMEOUT_S) == 0

    def pause(self, name):
        child = self.processes[name].child
        child.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, child.pid, os.WSTOPPED | os.WNOWAIT)

    def resume(self, name):
        self.processes[name].child.send_signal(signal.SIGCONT)

    def query_servers(self):
        return self.client.query_servers([*REPLICAS, *RELAYS])

    def leader(self):
        def find_leader():
            leaders = [
                server.name for server in self.query_servers() if server.status and server.status.state == "leader"
            ]
            return leaders[0] if len(leaders) == 1 else None

        return eventually(find_leader)

    def router_row(self):
        """Return the router's row in the answers of the relays, or None."""
        return next(iter(list_routers(self.query_servers())), None)

    def append_purge(self, key, timeout_s=TIMEOUT_S):
        """Append a purge, and wait until the router has applied it."""
        answer = self.client.append(Purge(key, 0, 0), timeout_s)
        self.router_harness.router.wait(
            f'"event":"purge_applied","key":"{key:016x}","group":0,"stamp_ms":{answer.stamp_ms}'
        )
        return answer

    def append_setting(self, name, value):
        """Append a setting, and return the router's log line about it."""
        self.client.append(Setting(name, value, 0), TIMEOUT_S)
        line = self.router_harness.router.wait('"event":"changelog_setting')
        assert f'"name":"{name}"' in line
        return line

    def can_append(self, timeout_s):
        try:
            self.client.append(Purge(1, 0, 0), timeout_s)
        except NotAppendedError:
            return False
        return True

    def run_command(self, *arguments):
        """Return the exit code and the output of `wickhinge changelog` with the arguments."""
        environment = {**os.environ, "WICKHINGE_OPTIONS": str(self.operator)}
        command = [sys.executable, "-m", "wickhinge", "changelog", *arguments]
        completed = subprocess.run(
            command, cwd=ROOT, env=environment, capture_output=True, text=True, timeout=2 * TIMEOUT_S
        )
        return completed.returncode, completed.stdout + completed.stderr

    def wait_for_event(self, name):
        return self.router_harness.router.wait(f'"event":"changelog_{name}"')

    def next_request_max_age_s(self, key):
        """Request an object, and return the `maxage` that the router sends to the cache, in seconds, or None.

        A router that was suspended rejects requests that it takes for overdue, so the request is repeated until it is
        answered.
        """
        client = self.router_harness.client()
        eventually(lambda: client.answer(client.ask(obj=f"{key:016x}"))[2] is None)
        found = self.requests.get(timeout=TIMEOUT_S).get("maxage")
        assert self.requests.empty()
        client.socket.close()
        return None if found is None else int(found) / 1000

    def _serve(self, listener):
        """Act as a cache that has every object, and record its requests."""
        while True:
            try:
                connection, _ = listener.accept()
            except TimeoutError:
                continue
            except OSError:
                return
            threading.Thread(target=self._serve_connection, args=(CacheConnection(connection),), daemon=True).start()

    def _serve_connection(self, connection):
        try:
            while request := connection.next_request(CACHE_IDLE_TIMEOUT_S):
                self.requests.put(request.fields)
                request.answer("OK", OK_FIELDS, b"x")
        except OSError:
            pass
        connection.socket.close()


def eventually(ask):
    """Call `ask` until it returns a true value, and return that value."""
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        found = ask()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError("condition was not met before the timeout")


@contextmanager
def running_fleet(folder):
    """Yield a fleet with all processes started, a leader, and an informed router."""
    with ExitStack() as stack:
        fleet = Fleet(folder, stack)
        fleet.start_all()
        fleet.leader()
        fleet.start_router()
        fleet.wait_for_event("informed")
        yield fleet


def cut_links(fleet, name, others, inward=True, outward=True):
    for other in others:
        if inward:
            fleet.hub.cut_pairs.add((other, name))
        if outward:
            fleet.hub.cut_pairs.add((name, other))


def seconds_until_uninformed(fleet, cut):
    """Return the seconds from the call of `cut` until the router limits the age of copies, by the times of its log."""
    started_at = time.time()
    cut()
    line = fleet.wait_for_event("uninformed")
    return float(line.split('"t":')[1].split(",")[0]) - started_at


def restore_links(fleet):
    fleet.hub.cut_pairs.clear()
    fleet.wait_for_event("informed")


def lines_until(process, text):
    found = []
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline:
        line = process.lines.get(timeout=TIMEOUT_S)
        if text in line:
            return found
        found.append(line)
    raise AssertionError(f"no line with {text}")
