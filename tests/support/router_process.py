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
SERVED = "etag=00000000000000aa,made=1764576000123"


def at(place):
    return "{}:{}".format(*place.getsockname())


def host(place, kind, made):
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


class Asked:
    """A request as it came to a machine, and the connection that it came on."""

    def __init__(self, line, id_, fields, body):
        self.line, self.id, self.fields, self.body = line, id_, resp.parse_fields(fields), body

    def answer(self, word, told="-", body=b""):
        self.line.socket.sendall(resp.pack(self.id, word.encode(), told.encode(), body))


class Line:
    """A connection of the router to a machine, by the machine's place."""

    def __init__(self, made, place=0):
        self.place = place
        self.socket, self.stream, self.had = made, resp.ReplyDecoder(BufferPool(99, lambda: None, lambda: None)), []
        made.settimeout(PATIENT)

    def next(self, within=PATIENT):
        """The next REQ; None for the end of the connection, or where none came within so long."""
        self.socket.settimeout(within)
        while True:
            for items in self.had:
                if items[0] == b"REQ":
                    self.had = self.had[self.had.index(items) + 1 :]
                    body = b"".join(items[3].views()) if not isinstance(items[3], bytes) else items[3]
                    return Asked(self, items[1], items[2], body)
            self.had = []
            try:
                data = self.socket.recv(65536)
            except TimeoutError:
                return None
            if not data:
                return None
            self.had += self.stream.feed(data)

    def requests(self):
        """How many REQ come until the connection ends, also by a reset."""
        count = 0
        try:
            while self.next() is not None:
                count += 1
        except ConnectionResetError:
            pass
        return count

    def words(self):
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


class Stand:
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
        self.lines = []
        self.folder = folder
        base = free(1)
        self.places = [self.listening() for _ in machines]
        self.service = self.listening()
        conf = json.loads((ROOT / "example/config.json").read_text())
        hosts = [host(place, kind, made) for place, (kind, made) in enumerate(zip(machines, self.places, strict=True))]
        list_change(hosts)
        self.kinds, self.number, self.address = machines, 1, ("127.0.0.1", base)
        conf |= {
            "listen": f"127.0.0.1:{base}",
            "journal": at(self.service),
            "known": {"pos": 1, "entries": [{"pos": 1, "hosts": {"seq": 1, "whole": True, "hosts": hosts}}, *known]},
        }
        conf["limits"] = limits or conf["limits"]
        conf["settings"]["limits"]["probes"] = False
        change(conf["settings"])
        (folder / "config.json").write_text(json.dumps(conf))
        told = {**os.environ, "RELAY_CONFIG": str(folder / "config.json"), **(environment or {})}
        self.router = Process("-m", "wickhinge", env=told, **process)
        self.stack.callback(self.router.close)
        self.journal = self.take(self.service)
        assert int.from_bytes(self.journal.recv(8)) == 1
        self.tell(0)
        self.router.wait('"event":"listener_opened"')

    def listening(self, backlog=64):
        made = self.stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=backlog))
        made.settimeout(PATIENT)
        return made

    def take(self, place):
        made = self.stack.enter_context(place.accept()[0])
        made.settimeout(PATIENT)
        return made

    def line(self, place):
        """The next connection to a machine."""
        self.lines.append(Line(self.take(self.places[place]), place))
        return self.lines[-1]

    def shut(self, place):
        """No connection to a machine comes up from now on, though none is refused; the call that ends it gives the
        router's, which has tried again and again meanwhile.
        """
        self.places[place].listen(0)
        fillers = [self.stack.enter_context(socket.socket()) for _ in range(4)]
        for one in fillers:
            one.setblocking(False)
            one.connect_ex(self.places[place].getsockname())

        def end():
            self.places[place].listen(64)
            ours = {one.getsockname() for one in fillers}
            while (made := self.take(self.places[place])).getpeername() in ours:
                pass
            for one in fillers:
                one.close()
            self.lines.append(Line(made))
            return self.lines[-1]

        return end

    @contextmanager
    def stopped(self):
        """The router stands still, as where another has its core: what reaches its sockets lies unread."""
        pid = self.router.child.pid
        os.kill(pid, signal.SIGSTOP)
        os.waitid(os.P_PID, pid, os.WSTOPPED)
        yield
        os.kill(pid, signal.SIGCONT)

    @contextmanager
    def stopped_while_connecting(self, place):
        """As `stopped`, at a moment when a connection of the router's to this machine is on its way.

        The router gives an attempt to connect up and begins another; stopped between the two it would begin none.
        """
        end = time.monotonic() + PATIENT
        while time.monotonic() < end:
            with self.stopped():
                if is_connecting(self.router.child.pid, self.places[place].getsockname()[1]):
                    yield
                    return
            time.sleep(0.02)
        raise AssertionError("the router does not connect")

    def attempts(self):
        """End the router; how many attempts came to all machines and were not taken by the test before."""
        self.router.close()
        for place in self.places:
            place.setblocking(False)
            try:
                while True:
                    made = self.stack.enter_context(place.accept()[0])
                    self.lines.append(Line(made))
            except BlockingIOError:
                pass
        return sum(line.requests() for line in self.lines)

    def tell(self, kind, payload=b""):
        self.number += kind != 0
        self.journal.sendall((9 + len(payload)).to_bytes(4) + self.number.to_bytes(8) + bytes((kind,)) + payload)

    def tell_drain(self, place):
        """What is told; the router may not have heard of it yet."""
        self.tell(
            2,
            endpoint_watch.ENDPOINT_RECORD.pack(
                0xA1 + place,
                0x7F000001,
                self.places[place].getsockname()[1],
                1,
                self.kinds[place] != "box",
                KINDS[self.kinds[place]],
                0,
                4000,
                0,
            ),
        )

    def drain(self, place):
        self.tell_drain(place)
        self.router.wait("draining")

    def client(self):
        made = Client(self.address)
        self.stack.callback(made.socket.close)
        return made

    def close(self):
        self.stack.close()
