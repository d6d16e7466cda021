"""Builds the fault-injection library shim.c, and controls its copy in one router process.

Both sides map the same file, called the page: this side writes which calls have to fail, the library counts calls.
"""

from __future__ import annotations

import mmap
import subprocess
from enum import IntEnum
from pathlib import Path
from struct import Struct

SOURCE = Path(__file__).with_name("shim.c")
HEADER = Struct("=qQ")  # Offset of the wall clock in ns, and state of the random generator.
ENTRY = Struct("=IIiIQ")  # Failure probability in 65536ths, calls still to fail, errno, failed calls, calls.
PROBABILITY_ONE = 65536  # A probability of 1 in an entry of the page.


class Call(IntEnum):
    """The kinds of system calls that can be made to fail, by index in the page; shim.c has the same enum."""

    ACCEPT = 0
    CLIENT_READ = 1
    CLIENT_PEEK = 2
    CLIENT_SEND = 3
    SERVER_READ = 4
    SERVER_PEEK = 5
    SERVER_SEND = 6
    SHORT_READ = 7
    SHORT_SEND = 8
    BREAK = 9  # A read from a server ends the connection, with ETIMEDOUT, EHOSTUNREACH, ...
    SOCKET = 10
    CONNECT = 11
    REGISTER = 12  # Adding a descriptor to the event loop.
    WAIT = 13  # Waiting for events; fails with EINTR.
    OPEN = 14  # Opening a file; only below the folder that WICKHINGE_SHIM_FILES names.
    FILE_WRITE = 15
    FILE_SYNC = 16
    FILE_RENAME = 17


def build(folder: Path) -> Path:
    """Compile the library into a folder unless it is there already, and return its path.

    Without a working C compiler, an exception of `subprocess` or OSError is raised.
    """
    library = folder / "shim.so"
    if not library.exists():
        command = ["cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True, capture_output=True, text=True)
    return library


class Shim:
    """Controls the library in one router process, whose environment has to include `environment`."""

    def __init__(self, library: Path, page: Path, seed: int = 1, files: Path | None = None) -> None:
        """Create the page; `files` is the folder in which opening files may fail, None for no folder."""
        page.write_bytes(bytes(HEADER.size + len(Call) * ENTRY.size))
        with page.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), 0)
        HEADER.pack_into(self._page, 0, 0, seed)
        self.environment = {"LD_PRELOAD": str(library), "WICKHINGE_SHIM": str(page)}
        if files is not None:
            self.environment["WICKHINGE_SHIM_FILES"] = str(files)

    def step_wall_clock(self, seconds: float) -> None:
        """Set the router's wall clock off by `seconds` from now on; the monotonic clock is not changed."""
        Struct("=q").pack_into(self._page, 0, round(seconds * 1e9))

    def fail(self, call: Call, probability: float, error: int = 0) -> None:
        """Let each call of a kind fail with a probability; errno 0 stands for a random one from ERRORS in shim.c."""
        self._write(call, round(probability * PROBABILITY_ONE), 0, error)

    def fail_next(self, call: Call, count: int = 1, error: int = 0) -> None:
        """Let the next `count` calls of a kind fail."""
        self._write(call, 0, count, error)

    def failed_count(self, call: Call) -> int:
        """Return how many calls of a kind have been made to fail."""
        return self._read(call)[3]

    def call_count(self, call: Call) -> int:
        """Return how many calls of a kind the router has made, including failed ones."""
        return self._read(call)[4]

    def stop_failing(self) -> None:
        """Let no call fail any more; the offset of the wall clock stays."""
        for call in Call:
            self.fail(call, 0.0)

    def _read(self, call: Call) -> tuple[int, ...]:
        return ENTRY.unpack_from(self._page, HEADER.size + call * ENTRY.size)

    def _write(self, call: Call, probability: int, count: int, error: int) -> None:
        Struct("=IIi").pack_into(self._page, HEADER.size + call * ENTRY.size, probability, count, error)
