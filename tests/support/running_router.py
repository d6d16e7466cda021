"""A router process started by the deploy file's command; the test controls its files, signals and discovery service."""

import json
import os
import signal
import socket
import subprocess
import time
import tomllib
from contextlib import ExitStack, suppress
from pathlib import Path

from tests.support.processes import ROOT, TIMEOUT_S, find_free_ports

DEPLOY_FILE = ROOT / "deploy/balancer.toml"
POLL_INTERVAL_S = 0.002


def run_command() -> str:
    """Return the command that the platform runs by `/bin/sh -c`."""
    return tomllib.loads(DEPLOY_FILE.read_text())["run"]


def wait_until(is_true, timeout_s=TIMEOUT_S):
    deadline = time.monotonic() + timeout_s
    while not is_true():
        assert time.monotonic() < deadline, "the awaited condition did not become true"
        time.sleep(POLL_INTERVAL_S)


class DiscoveryService:
    """Discovery service that answers each connection at once with the frame that there are no more events."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack
        self.listener = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=64))
        self.address = "{}:{}".format(*self.listener.getsockname())

    def answer_next_watch(self, timeout_s=TIMEOUT_S) -> bool:
        """Return whether a router connects within the timeout, and tell it that there are no more events.

        Connections that the router has closed in the meantime because they were silent are skipped.
        """
        self.listener.settimeout(max(timeout_s, POLL_INTERVAL_S))
        while True:
            try:
                connection = self._stack.enter_context(self.listener.accept()[0])
            except TimeoutError:
                return False
            connection.settimeout(TIMEOUT_S)
            with suppress(ConnectionError):
                number = connection.recv(8)
                connection.sendall((9).to_bytes(4) + number + b"\0")
                return True


class RunningRouter:
    """Router process with the configuration `config.json` of a folder, started by the deploy file's `run` command."""

    def __init__(self, folder: Path, **environment: str) -> None:
        self._stack = ExitStack()
        self.folder, self.config_file = folder, folder / "config.json"
        self.service, self.other_service = DiscoveryService(self._stack), DiscoveryService(self._stack)
        self.address = ("127.0.0.1", find_free_ports(1))
        self.environment = {**os.environ, "RELAY_CONFIG": str(self.config_file), **environment}
        self.output_file = folder / "output.txt"
        self.child: subprocess.Popen | None = None

    def configuration(self, service: DiscoveryService | None = None) -> str:
        """Return the text of a complete configuration that names the given discovery service, or `self.service`."""
        conf = json.loads((ROOT / "example/config.json").read_text())
        conf["listen"] = "{}:{}".format(*self.address)
        conf["journal"] = (service or self.service).address
        return json.dumps(conf)

    def replace_config(self, text: str) -> None:
        """Replace the configuration file atomically."""
        new_file = self.folder / "config.new"
        new_file.write_text(text)
        new_file.rename(self.config_file)

    def launch(self) -> None:
        """Start the program by the deploy file's command, and return once the shell has replaced itself by it."""
        with self.output_file.open("ab") as output:
            self.child = subprocess.Popen(
                ["/bin/sh", "-c", run_command()], cwd=ROOT, env=self.environment, stdout=output, stderr=output
            )
        wait_until(lambda: "python" in self._executable())

    def _executable(self) -> str:
        with suppress(OSError):
            return os.readlink(f"/proc/{self.child.pid}/exe")
        return ""

    def read_output(self) -> str:
        """Return the output that the program has written so far."""
        return self.output_file.read_text()

    def wait_for_output(self, text: str, timeout_s=TIMEOUT_S) -> None:
        wait_until(lambda: text in self.read_output(), timeout_s)

    def launch_and_wait(self) -> None:
        """Start the program with a complete configuration, and wait until it accepts clients."""
        self.replace_config(self.configuration())
        self.launch()
        assert self.service.answer_next_watch()
        self.wait_for_output('"event":"listener_opened"')

    def send_signal(self, number: signal.Signals) -> None:
        self.child.send_signal(number)

    def wait_for_exit(self, timeout_s=TIMEOUT_S) -> int:
        return self.child.wait(timeout_s)

    def close(self) -> None:
        if self.child is not None:
            if self.child.poll() is None:
                self.child.kill()
            self.child.wait(TIMEOUT_S)
        self._stack.close()
