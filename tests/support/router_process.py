"""A router whose machines and journal service are the test itself: every byte, accept and close waits for its word."""

import json
import os
import signal
import socket
import time
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

from tests.support.processes import PATIENT, ROOT, Client, Process, free
from wickhinge.net.control import endpoint_watch
from wickhinge.net.runtime.buffers import BufferPool
from wickhinge.net.upstream import resp

KINDS = {"box": 0, "parent": 1, "origin": 2}
OK_FIELDS = "etag=00000000000000aa,made=1764576000123"


def at(place):
    return "{}:{}".format(*place.getsockname())


def endpoint_entry(place, kind, made):
    return {
        "host": f"s-{0xA1 + place:08x}",
        "dial": at(made),
        "block": 0,
        "site": "here" if kind == "box" else "hub",
        "class": kind,
        "health": "ready",
        "share": 4,
        "born_ms": 0,
    }


class CacheRequest:
    """A request as it came to a machine, and the connection that it came on."""

    def __init__(self, line, id_, fields, body):
        self.connection, self.id, self.fields, self.body = line, id_, resp.parse_fields(fields), body

    def answer(self, word, told="-", body=b""):
        self.connection.socket.sendall(resp.pack(self.id, word.encode(), told.encode(), body))


class CacheConnection:
    """A connection of the router to a machine, by the machine's place."""

    def __init__(self, made, place=0):
        self.place = place
        self.socket, self.stream, self.had = made, resp.ReplyDecoder(BufferPool(99, lambda: None, lambda: None)), []
        made.settimeout(PATIENT)

    def next_request(self, within=PATIENT):
        """The next REQ; None for the end of the connection, or where none came within so long."""
        self.socket.settimeout(within)
        while True:
            for items in self.had:
                if items[0] == b"REQ":
                    self.had = self.had[self.had.index(items) + 1 :]
                    body = b"".join(items[3].views()) if not isinstance(items[3], bytes) else items[3]
                    return CacheRequest(self, items[1], items[2], body)
            self.had = []
            try:
                data = self.socket.recv(65536)
            except TimeoutError:
                return None
            if not data:
                return None
            self.had += self.stream.feed(data)

    def count_requests(self):
        """How many REQ come until the connection ends, also by a reset."""
        count = 0
        try:
            while self.next_request() is not None:
                count += 1
        except ConnectionResetError:
            pass
        return count

    def read_message_types(self):
        """All that came, to the end of the connection."""
        data = b""
        while piece := self.socket.recv(65536):
            data += piece
        return [items[0] for items in self.stream.feed(data)]


SYN_SENT = "02"  # a connection's state in /proc/net/tcp


def is_connecting(pid, port):
    """Whether the process has a connection to that local port which is not up yet."""
    inodes = set()
    for descriptor in Path(f"/proc/{pid}/fd").iterdir():
        with suppress(OSError):
            inodes.add(os.readlink(descriptor))
    for row in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = row.split()
        is_ours = f"socket:[{fields[9]}]" in inodes
        if is_ours and fields[3] == SYN_SENT and fields[2].endswith(f":{port:04X}"):
            return True
    return False


class RouterHarness:
    def __init__(
        self,
        folder,
        machines=("box", "origin"),
        change=lambda conf: None,
        list_change=lambda hosts: None,
        limits=None,
        environment=None,
        known=(),
        **process,
    ):
        self.stack = ExitStack()
        self.connections = []
        self.folder = folder
        base = free(1)
        self.listeners = [self.open_listener() for _ in machines]
        self.discovery_listener = self.open_listener()
        conf = json.loads((ROOT / "example/config.json").read_text())
        hosts = [
            endpoint_entry(place, kind, made)
            for place, (kind, made) in enumerate(zip(machines, self.listeners, strict=True))
        ]
        list_change(hosts)
        self.kinds, self.last_event_number, self.address = machines, 1, ("127.0.0.1", base)
        conf |= {
            "listen": f"127.0.0.1:{base}",
            "journal": at(self.discovery_listener),
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}, *known]},
        }
        conf["limits"] = limits or conf["limits"]
        conf["settings"]["limits"]["probes"] = False
        change(conf["settings"])
        (folder / "config.json").write_text(json.dumps(conf))
        told = {**os.environ, "RELAY_CONFIG": str(folder / "config.json"), **(environment or {})}
        self.router = Process("-m", "wickhinge", env=told, **process)
        self.stack.callback(self.router.close)
        self.watch_connection = self.accept_on(self.discovery_listener)
        assert int.from_bytes(self.watch_connection.recv(8)) == 1
        self.send_event(0)
        self.router.wait('"event":"listener_opened"')

    def open_listener(self, backlog=64):
        made = self.stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=backlog))
        made.settimeout(PATIENT)
        return made

    def accept_on(self, place):
        made = self.stack.enter_context(place.accept()[0])
        made.settimeout(PATIENT)
        return made

    def accept_connection(self, place):
        """The next connection to a machine."""
        self.connections.append(CacheConnection(self.accept_on(self.listeners[place]), place))
        return self.connections[-1]

    def stop_accepting(self, place):
        """No connection to a machine comes up from now on, though none is refused; the call that ends it gives the
        router's, which has tried again and again meanwhile.
        """
        self.listeners[place].listen(0)
        fillers = [self.stack.enter_context(socket.socket()) for _ in range(4)]
        for one in fillers:
            one.setblocking(False)
            one.connect_ex(self.listeners[place].getsockname())

        def end():
            self.listeners[place].listen(64)
            ours = {one.getsockname() for one in fillers}
            while (made := self.accept_on(self.listeners[place])).getpeername() in ours:
                pass
            for one in fillers:
                one.close()
            self.connections.append(CacheConnection(made))
            return self.connections[-1]

        return end

    @contextmanager
    def suspended(self):
        """The router stands still, as where another has its core: what reaches its sockets lies unread."""
        pid = self.router.child.pid
        os.kill(pid, signal.SIGSTOP)
        os.waitid(os.P_PID, pid, os.WSTOPPED)
        yield
        os.kill(pid, signal.SIGCONT)

    @contextmanager
    def suspended_while_connecting(self, place):
        """As `stopped`, at a moment when a connection of the router's to this machine is on its way.

        The router gives an attempt to connect up and begins another; stopped between the two it would begin none.
        """
        end = time.monotonic() + PATIENT
        while time.monotonic() < end:
            with self.suspended():
                if is_connecting(self.router.child.pid, self.listeners[place].getsockname()[1]):
                    yield
                    return
            time.sleep(0.02)
        raise AssertionError("the router does not connect")

    def close_and_count_attempts(self):
        """End the router; how many attempts came to all machines and were not taken by the test before."""
        self.router.close()
        for place in self.listeners:
            place.setblocking(False)
            try:
                while True:
                    made = self.stack.enter_context(place.accept()[0])
                    self.connections.append(CacheConnection(made))
            except BlockingIOError:
                pass
        return sum(line.count_requests() for line in self.connections)

    def send_event(self, kind, payload=b""):
        self.last_event_number += kind != 0
        self.watch_connection.sendall(
            (9 + len(payload)).to_bytes(4) + self.last_event_number.to_bytes(8) + bytes((kind,)) + payload
        )

    def send_drain_event(self, place):
        """What is told; the router may not have heard of it yet."""
        self.send_event(
            2,
            endpoint_watch.ENDPOINT_RECORD.pack(
                0xA1 + place,
                0x7F000001,
                self.listeners[place].getsockname()[1],
                1,
                self.kinds[place] != "box",
                KINDS[self.kinds[place]],
                0,
                4000,
                0,
            ),
        )

    def drain_endpoint(self, place):
        self.send_drain_event(place)
        self.router.wait("draining")

    def client(self):
        made = Client(self.address)
        self.stack.callback(made.socket.close)
        return made

    def close(self):
        self.stack.close()
