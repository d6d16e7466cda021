"""Processes of the fleet run: started, waited for, measured, and each ended by its own id, however the run ends.

The kernel ends them, too, where the run itself is killed.
"""

from __future__ import annotations

import ctypes
import os
import signal
import subprocess
import sys
import time
from pathlib import Path
from types import FrameType, TracebackType

ROOT = Path(__file__).parent.parent.parent
START_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05
MAX_PROCESSES = 60
PR_SET_PDEATHSIG = 1
INTERRUPTS = (signal.SIGINT, signal.SIGTERM)
LIBC = ctypes.CDLL(None)


class ProcessError(Exception):
    """A process ended, or did not say in time that it was ready; the text names it and its last lines."""


def end_with_parent() -> None:
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Processes:
    """A context manager. `folder`: for their output, a file each. Within it SIGTERM is like SIGINT: KeyboardInterrupt,
    so that all are ended. While a process is started or ended the exception waits: raised in a callback of fork it
    would be lost, and the process with it. To be used by the main thread.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: list[subprocess.Popen[bytes]] = []
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self.peak_running = 0
        self._defers_interrupts = self._interrupted = False

    def __enter__(self) -> Processes:
        self._former_handlers = {number: signal.signal(number, self._on_signal) for number in INTERRUPTS}
        return self

    def _on_signal(self, number: int, frame: FrameType | None) -> None:
        self._interrupted = True
        if not self._defers_interrupts:
            raise KeyboardInterrupt

    def __exit__(
        self, kind: type[BaseException] | None, value: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._defers_interrupts = True
        self.end_all()
        for number, handler in self._former_handlers.items():
            signal.signal(number, handler)
        if self._interrupted and kind is None:
            raise KeyboardInterrupt

    def start(self, name: str, *arguments: str, environment: dict[str, str] | None = None) -> None:
        """`python WORDS`; of an earlier process of that name the output is kept."""
        alive = sum(child.poll() is None for child in self.running.values()) + 1
        if alive > MAX_PROCESSES:
            raise ProcessError(f"{name}: would be process {alive} of {MAX_PROCESSES}")
        self.peak_running = max(self.peak_running, alive)
        self._defers_interrupts = True
        try:
            child = self._spawn(name, arguments, environment or {})
            self._children.append(child)
            self.running[name] = child
        finally:
            self._defers_interrupts = False
        if self._interrupted:
            raise KeyboardInterrupt

    def _spawn(self, name: str, arguments: tuple[str, ...], environment: dict[str, str]) -> subprocess.Popen[bytes]:
        with open(self.output(name), "ab") as output:
            return subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=end_with_parent,
            )

    def output(self, name: str) -> Path:
        return self._folder / f"{name}.log"

    def wait_for_output(self, names: list[str], text_to_find: bytes) -> None:
        """Until the output of each holds the text. Raises ProcessError."""
        deadline = time.monotonic() + START_TIMEOUT_S
        for name in names:
            while text_to_find not in (text := self.output(name).read_bytes()):
                if self.running[name].poll() is not None or time.monotonic() > deadline:
                    raise ProcessError(f"{name}: {text[-600:].decode(errors='replace')}")
                time.sleep(POLL_INTERVAL_S)

    def wait_for_end(self, names: list[str], within_s: float) -> None:
        """Raises ProcessError where one does not end by itself."""
        deadline = time.monotonic() + within_s
        for name in names:
            try:
                code = self.running[name].wait(max(deadline - time.monotonic(), POLL_INTERVAL_S))
            except subprocess.TimeoutExpired:
                code = -1
            if code != 0:
                raise ProcessError(f"{name}: ended with {code}: {self.output(name).read_text()[-600:]}")
            del self.running[name]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        child = self.running.pop(name)
        child.kill()
        child.wait()

    def pids(self) -> dict[str, int]:
        return {name: child.pid for name, child in self.running.items() if child.poll() is None}

    def end_all(self) -> None:
        for child in self._children:
            if child.poll() is None:
                child.kill()
        for child in self._children:
            child.wait()
        self.running.clear()
