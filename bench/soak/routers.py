"""Router processes of the soak: their files, starts, signals and ends."""

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

MEMORY_MB = 64


class SoakRouter:
    """One router of the deployment, started anew under its name and address as often as wanted."""

    def __init__(
        self, folder: Path, number: int, port: int, library: Path, start_with: list[str], sockets: int
    ) -> None:
        self.folder, self.number, self.port, self.sockets = folder, number, port, sockets
        folder.mkdir(parents=True)
        self.address = (HOST, port)
        self.shim = Shim(library, folder / "shim.page", files=folder)
        self.start_with = start_with
        self.path = folder / "config.json"
        self.log = folder / "router.log"
        self.child: subprocess.Popen[bytes] | None = None
        self.life = 0
        self.known: dict[str, Any] = {"pos": 0, "entries": []}
        self.got_sigterm_before_handler = False  # by SIGTERM, before its first lines had run

    def text(self, service_port: int, settings: dict[str, Any]) -> bytes:
        """A whole configuration; of all that changes, the address of the discovery service may while it runs."""
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

    def write(self, text: bytes) -> None:
        """Replaces the configuration in one step."""
        new = self.folder / "config.new"
        new.write_bytes(text)
        new.rename(self.path)

    def launch(self) -> None:
        """Starts it; SIGHUP is ignored until its first line, as the deploy file's command has it."""
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
        """Does nothing to one that has ended."""
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(getattr(signal, f"SIG{name}"))

    def has_ended(self) -> bool:
        """Whether the process is over."""
        return self.child is not None and self.child.poll() is not None

    def record_end(self, record: Record, how: str, since: float) -> None:
        """Notes how an ended process ended."""
        seconds = time.monotonic() - since
        record.ends.append(RouterEnd(self.number, self.life, how, self.child.returncode, seconds, since))

    def kill(self) -> None:
        """By SIGKILL, to its end."""
        if self.child is not None:
            self.child.kill()
            self.child.wait()

    def is_running_program(self) -> bool:
        """Whether the shell has made way for the program."""
        try:
            return "python" in os.readlink(f"/proc/{self.child.pid}/exe")
        except OSError:
            return False

    def handles_signals(self) -> bool:
        """Whether its first lines have run: proc(5), status."""
        try:
            status = Path(f"/proc/{self.child.pid}/status").read_text()
        except OSError:
            return False
        caught = int(status.split("SigCgt:")[1].split()[0], 16)
        return bool(caught >> (signal.SIGTERM - 1) & 1)

    def usage(self, clients: int) -> Usage:
        """What it holds now."""
        process = psutil.Process(self.child.pid)
        return Usage(self.number, process.num_fds(), clients, process.memory_info().rss // 1024)
