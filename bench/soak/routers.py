"""Router processes of the soak test: configuration files, starts, signals and exits."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import orjson
import psutil

from bench.faults.shim import Shim
from bench.fleet import HOST, ROOT
from bench.soak.record import Record, RouterEnd, Usage

MEMORY_MB = 64  # Memory limit in the configuration of each router.


class SoakRouter:
    """One router of the deployment, which may be started several times under the same name and address."""

    def __init__(
        self, folder: Path, number: int, port: int, library: Path, start_with: list[str], sockets: int
    ) -> None:
        """Prepare the router's folder and fault-injection shim, built as `library`.

        `start_with` are the interpreter's arguments; `sockets` is the limit in the router's configuration.
        """
        self.folder, self.number, self.port, self.sockets = folder, number, port, sockets
        folder.mkdir(parents=True)
        self.address = (HOST, port)
        self.shim = Shim(library, folder / "shim.page", files=folder)
        self.start_with = start_with
        self.path = folder / "config.json"
        self.log = folder / "router.log"
        self.child: subprocess.Popen[bytes] | None = None
        self.life = 0  # Number of starts so far.
        self.known: dict[str, Any] = {"pos": 0, "entries": []}  # Endpoint lists in the configuration.
        self.got_sigterm_before_handler = False  # SIGTERM came before the program had installed its handler.

    def configuration(self, service_port: int, settings: dict[str, Any]) -> bytes:
        """Return the content of the configuration file.

        Only the address of the discovery service may change while the router runs.
        """
        return orjson.dumps(
            {
                "name": f"n{self.number}",
                "listen": f"{HOST}:{self.port}",
                "seed": f"{self.number * 7919 + self.life:016x}",
                "limits": {"memory_mb": MEMORY_MB, "sockets": self.sockets},
                "journal": f"{HOST}:{service_port}",
                "known": self.known,
                "settings": settings,
            }
        )

    def write(self, content: bytes) -> None:
        """Replace the configuration file atomically."""
        new_file = self.folder / "config.new"
        new_file.write_bytes(content)
        new_file.rename(self.path)

    def launch(self) -> None:
        """Start the process; it ignores SIGHUP until the program's first line, as with the deploy file's command."""
        environment = {**os.environ, **self.shim.environment, "RELAY_CONFIG": str(self.path)}
        environment.pop("WICKHINGE_OPTIONS", None)
        self.life += 1
        self.got_sigterm_before_handler = False
        with self.log.open("ab") as log:
            self.child = subprocess.Popen(
                ["/bin/sh", "-c", "trap '' HUP; exec \"$@\"", "sh", sys.executable, *self.start_with],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, name: str) -> None:
        """Send a signal by its name without SIG, unless the process has ended."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(getattr(signal, f"SIG{name}"))

    def has_ended(self) -> bool:
        """Return whether the process was started and has ended."""
        return self.child is not None and self.child.poll() is not None

    def record_end(self, record: Record, how: str, since: float) -> None:
        """Record the end of a process that has ended; `since` is when it was signalled."""
        seconds = time.monotonic() - since
        record.ends.append(RouterEnd(self.number, self.life, how, self.child.returncode, seconds, since))

    def kill(self) -> None:
        """Kill the process by SIGKILL and wait for its end."""
        if self.child is not None:
            self.child.kill()
            self.child.wait()

    def is_running_program(self) -> bool:
        """Return whether the shell has been replaced by the program."""
        try:
            return "python" in os.readlink(f"/proc/{self.child.pid}/exe")
        except OSError:
            return False

    def handles_signals(self) -> bool:
        """Return whether the program has installed its SIGTERM handler, by SigCgt in /proc/PID/status (proc(5))."""
        try:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return False
        caught_signals = int(status.split("SigCgt:")[1].split()[0], 16)
        return bool(caught_signals >> (signal.SIGTERM - 1) & 1)

    def usage(self, clients: int) -> Usage:
        """Return the descriptors and the memory that the process holds now."""
        process = psutil.Process(self.child.pid)
        return Usage(self.number, process.num_fds(), clients, process.memory_info().rss // 1024)
