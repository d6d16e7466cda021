"""Child processes, a deployment of the example, and clients on loopback sockets."""

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


TIMEOUT_S = 20.0  # Only a failing test waits this long, even on a machine whose cores are busy.


class Process:
    """A child whose output lines can be waited for."""

    def __init__(self, *command, **popen_options):
        self.child = subprocess.Popen(
            [sys.executable, *command],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            **popen_options,
        )
        self.lines = queue.Queue()
        threading.Thread(target=self.queue_output, daemon=True).start()

    def queue_output(self):
        for line in self.child.stdout:
            self.lines.put(line)

    def wait(self, text):
        """Return the next line of output that contains the text."""
        deadline = time.monotonic() + TIMEOUT_S
        while time.monotonic() < deadline:
            line = self.lines.get(timeout=TIMEOUT_S)
            if text in line:
                return line
        raise AssertionError(f"no line of output contains {text}")

    def write_line(self, text):
        self.child.stdin.write(text + "\n")
        self.child.stdin.flush()

    def close(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait(TIMEOUT_S)


def find_free_ports(count):
    """Return the first of `count` consecutive free ports."""
    while True:
        with ExitStack() as stack:
            # The ports are below the range from which the system assigns ports to connections, so that none of them is
            # taken by a connection before the test uses it.
            base = 10_000 + int.from_bytes(os.urandom(4)) % 20_000
            try:
                for port in range(base, base + count):
                    stack.enter_context(socket.create_server(("127.0.0.1", port)))
                return base
            except (OSError, OverflowError):
                continue


class Deployment:
    """A router with the settings of the example, and the example's stand-in services (`toy`)."""

    def __init__(self, folder):
        base = find_free_ports(6)
        config = json.loads((ROOT / "example/config.json").read_text())
        config |= {
            "listen": f"127.0.0.1:{base + 5}",
            "journal": f"127.0.0.1:{base}",
            "limits": {"memory_mb": 64, "sockets": 128},
        }
        self.address = ("127.0.0.1", base + 5)
        self.path = folder / "config.json"
        self.path.write_text(json.dumps(config))
        self.toy = Process("example/toy.py", str(base))
        self.toy.wait("ready")
        environment = {**os.environ, "RELAY_CONFIG": str(self.path)}
        self.router = Process("-m", "wickhinge", env=environment)
        self.router.wait('"event":"listener_opened"')

    def client(self):
        return Client(self.address)

    def close(self):
        self.router.close()
        self.toy.close()


class Client:
    """A client connection to a router."""

    def __init__(self, address):
        self.socket = socket.create_connection(address, TIMEOUT_S)
        self.decoder, self.unread_messages, self.calls = msgpack.MessageDecoder(300_000), [], 0

    def ask(self, request_class="pages", body=b"", drop=(), **fields):
        """Send a request; return its call ID.

        Args:
            request_class: The request's class.
            body: The request's body.
            drop: Names of default fields to leave out.
            fields: Fields that are added to the default fields or replace them.
        """
        self.calls += 1
        all_fields = {
            "rid": os.urandom(8).hex(),
            "budget": "3000",
            "obj": "00000000000000aa",
            "block": "0",
            "family": "1",
            **fields,
        }
        sent_fields = {name: value for name, value in all_fields.items() if name not in drop}
        self.socket.sendall(msgpack.pack([0, self.calls, request_class, [sent_fields, body]]))
        return self.calls

    def ping(self):
        """Send a ping; return the fields of its answer."""
        self.calls += 1
        self.socket.sendall(msgpack.pack([0, self.calls, "ping", [{}]]))
        return self.answer(self.calls)[3][0]

    def answer(self, call):
        """Return the answer to the call with this ID; other messages stay in `unread_messages`."""
        while True:
            for message in self.unread_messages:
                if message[1] == call:
                    self.unread_messages.remove(message)
                    return message
            data = self.socket.recv(65536)
            assert data, "the router closed the connection before it answered"
            self.unread_messages += self.decoder.feed(data)
