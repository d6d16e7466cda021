"""Starts and awaits the processes of a fleet run, and ends each by its own id, however the run ends.

If the run itself is killed, the kernel kills its child processes.
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
INTERRUPT_SIGNALS = (signal.SIGINT, signal.SIGTERM)
LIBC = ctypes.CDLL(None)


class ProcessError(Exception):
    """A process could not be started, ended early, or was not ready or did not end in time.

    The message names the process and quotes the end of its output.
    """


def end_with_parent() -> None:
    """Ask the kernel to kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Processes:
    """Context manager that owns the processes of a run and kills all of them at its end.

    Each process writes its output to a file of its own in `folder`. Within the context, SIGTERM raises
    KeyboardInterrupt as SIGINT does, so that all processes are killed. The exception is deferred while a process is
    started or killed: if it were raised in a callback of fork it would be lost, and the new process would never be
    killed. Only the main thread may use this class.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._children: list[subprocess.Popen[bytes]] = []
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        self._output_starts: dict[str, int] = {}  # Bytes that earlier processes of the name have written.
        self.peak_running = 0
        self._defers_interrupts = self._interrupted = False

    def __enter__(self) -> Processes:
        self._former_handlers = {number: signal.signal(number, self._on_signal) for number in INTERRUPT_SIGNALS}
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
        """Start `python ARGUMENTS`. Output is appended to that of an earlier process of the same name."""
        process_count = sum(child.poll() is None for child in self.running.values()) + 1
        if process_count > MAX_PROCESSES:
            raise ProcessError(
                f"{name} was not started: it would be process {process_count}, and the limit is {MAX_PROCESSES}"
            )
        self.peak_running = max(self.peak_running, process_count)
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
        with open(self.output_path(name), "ab") as output:
            self._output_starts[name] = output.tell()
            return subprocess.Popen(
                [sys.executable, *arguments],
                cwd=ROOT,
                env={**os.environ, **environment},
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=end_with_parent,
            )

    def output_path(self, name: str) -> Path:
        return self._folder / f"{name}.log"

    def output_of_running(self, name: str) -> bytes:
        """Return the output of the newest process of a name, without that of earlier ones."""
        return self.output_path(name).read_bytes()[self._output_starts[name] :]

    def wait_for_output(self, names: list[str], text_to_find: bytes) -> None:
        """Wait until the output of each process contains the text; earlier processes of its name do not count.

        Raises:
            ProcessError: A process ended or did not write the text in time.
        """
        deadline = time.monotonic() + START_TIMEOUT_S
        for name in names:
            while text_to_find not in (text := self.output_of_running(name)):
                if self.running[name].poll() is not None or time.monotonic() > deadline:
                    raise ProcessError(f"{name} ended or was not ready in time: {text[-600:].decode(errors='replace')}")
                time.sleep(POLL_INTERVAL_S)

    def wait_for_end(self, names: list[str], within_s: float) -> None:
        """Wait until each process ends by itself.

        Raises:
            ProcessError: A process ended with an exit code other than 0, or did not end in time.
        """
        deadline = time.monotonic() + within_s
        for name in names:
            try:
                code = self.running[name].wait(max(deadline - time.monotonic(), POLL_INTERVAL_S))
            except subprocess.TimeoutExpired:
                code = -1
            if code != 0:
                raise ProcessError(
                    f"{name} has exit code {code}, not 0 (-1: running): {self.output_path(name).read_text()[-600:]}"
                )
            del self.running[name]

    def send_signal(self, name: str, number: signal.Signals) -> None:
        self.running[name].send_signal(number)

    def kill(self, name: str) -> None:
        child = self.running.pop(name)
        child.kill()
        child.wait()

    def pids(self) -> dict[str, int]:
        """Return the ids of the running processes by name."""
        return {name: child.pid for name, child in self.running.items() if child.poll() is None}

    def end_all(self) -> None:
        for child in self._children:
            if child.poll() is None:
                child.kill()
        for child in self._children:
            child.wait()
        self.running.clear()
