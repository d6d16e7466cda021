"""Real processes and clients on loopback sockets."""

import json
import os
import queue
import socket
import subprocess
import sys
import threading
import time
from contextlib import ExitStack
from pathlib import Path

from wickhinge.net.downstream import msgpack

ROOT = Path(__file__).parents[2]


TIMEOUT_S = 20.0  # seconds: only a failing test waits so long, also where cores are busy


class Process:
    """A child whose output lines can be waited for."""

    def __init__(self, *command, **more):
        self.child = subprocess.Popen(
            [sys.executable, *command],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            **more,
        )
        self.lines = queue.Queue()
        threading.Thread(target=self.pump, daemon=True).start()

    def pump(self):
        for line in self.child.stdout:
            self.lines.put(line)

    def wait(self, word):
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            line = self.lines.get(timeout=TIMEOUT_S)
            if word in line:
                return line
        raise AssertionError(f"no {word}")

    def write_line(self, text):
        self.child.stdin.write(text + "\n")
        self.child.stdin.flush()

    def close(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait(TIMEOUT_S)


def find_free_ports(count):
    """A port with so many free ones after it."""
    while True:
        with ExitStack() as stack:
            # Below the ports that the system gives to connections, which would take one that is free for now.
            base = 10_000 + int.from_bytes(os.urandom(4)) % 20_000
            try:
                for port in range(base, base + count):
                    stack.enter_context(socket.create_server(("127.0.0.1", port)))
                return base
            except (OSError, OverflowError):
                continue


class Deployment:
    def __init__(self, folder):
        base = find_free_ports(6)
        conf = json.loads((ROOT / "example/config.json").read_text())
        conf |= {
            "listen": f"127.0.0.1:{base + 5}",
            "journal": f"127.0.0.1:{base}",
            "limits": {"memory_mb": 64, "sockets": 128},
        }
        self.address = ("127.0.0.1", base + 5)
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(conf))
        self.toy = Process("example/toy.py", str(base))
        self.toy.wait("ready")
        told = {**os.environ, "RELAY_CONFIG": str(self.path)}
        self.router = Process("-m", "wickhinge", env=told)
        self.router.wait('"event":"listener_opened"')

    def client(self):
        return Client(self.address)

    def close(self):
        self.router.close()
        self.toy.close()


class Client:
    def __init__(self, address):
        self.socket = socket.create_connection(address, TIMEOUT_S)
        self.stream, self.unread_messages, self.calls = msgpack.MessageDecoder(300_000), [], 0

    def ask(self, request_class="pages", body=b"", drop=(), **fields):
        self.calls += 1
        told = {
            "rid": os.urandom(8).hex(),
            "budget": "3000",
            "obj": "00000000000000aa",
            "block": "0",
            "family": "1",
            **fields,
        }
        told = {name: value for name, value in told.items() if name not in drop}
        self.socket.sendall(msgpack.pack([0, self.calls, request_class, [told, body]]))
        return self.calls

    def ping(self):
        self.calls += 1
        self.socket.sendall(msgpack.pack([0, self.calls, "ping", [{}]]))
        return self.answer(self.calls)[3][0]

    def answer(self, call):
        while True:
            for message in self.unread_messages:
                if message[1] == call:
                    self.unread_messages.remove(message)
                    return message
            data = self.socket.recv(65536)
            assert data, "closed"
            self.unread_messages += self.stream.feed(data)
