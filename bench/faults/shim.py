"""Builds the library of shim.c and steers one preloaded copy of it through the page that both map.

Where no C compiler is found, or it refuses, `build` raises what subprocess raises.
"""

from __future__ import annotations

import mmap
import subprocess
from enum import IntEnum
from pathlib import Path
from struct import Struct

SOURCE = Path(__file__).with_name("shim.c")
HEAD = Struct("=qQ")  # offset of the wall clock in ns, state of the generator
ENTRY = Struct("=IIiIQ")  # chance in 65536, failures to come, error, failed, calls
CERTAIN = 65536


class Call(IntEnum):
    """A kind of call that can be made to fail, by its place in the page."""

    ACCEPT = 0
    CLIENT_READ = 1
    CLIENT_PEEK = 2
    CLIENT_SEND = 3
    SERVER_READ = 4
    SERVER_PEEK = 5
    SERVER_SEND = 6
    SHORT_READ = 7
    SHORT_SEND = 8
    BREAK = 9  # a connection to a server ends with ETIMEDOUT, EHOSTUNREACH, ...
    SOCKET = 10
    CONNECT = 11
    REGISTER = 12  # of a descriptor with the event loop
    WAIT = 13  # EINTR
    OPEN = 14  # only below the folder that WICKHINGE_SHIM_FILES names
    FILE_WRITE = 15
    FILE_SYNC = 16
    FILE_RENAME = 17


def build(folder: Path) -> Path:
    """Compiles the library into the folder, once."""
    library = folder / "shim.so"
    if not library.exists():
        command = ["cc", "-shared", "-fPIC", "-O2", "-Wall", "-o", str(library), str(SOURCE), "-ldl"]
        subprocess.run(command, check=True, capture_output=True, text=True)
    return library


class Shim:
    """One router's page. `environment` goes into the router's own."""

    def __init__(self, library: Path, page: Path, seed: int = 1, files: Path | None = None) -> None:
        page.write_bytes(bytes(HEAD.size + len(Call) * ENTRY.size))
        with page.open("r+b") as file:
            self._page = mmap.mmap(file.fileno(), 0)
        HEAD.pack_into(self._page, 0, 0, seed)
        self.environment = {"LD_PRELOAD": str(library), "WICKHINGE_SHIM": str(page)}
        if files is not None:
            self.environment["WICKHINGE_SHIM_FILES"] = str(files)

    def step_wall_clock(self, seconds: float) -> None:
        """From now on the router's wall clock is off by so much; its monotonic clock runs on."""
        Struct("=q").pack_into(self._page, 0, round(seconds * 1e9))

    def fail(self, call: Call, chance: float, error: int = 0) -> None:
        """Each such call fails with this chance. error: which errno; 0 for one drawn from the call's manual page."""
        self._write(call, round(chance * CERTAIN), 0, error)

    def fail_next(self, call: Call, count: int = 1, error: int = 0) -> None:
        """So many of the next such calls fail."""
        self._write(call, 0, count, error)

    def failed_count(self, call: Call) -> int:
        """How many have been made to fail."""
        return self._read(call)[3]

    def call_count(self, call: Call) -> int:
        """How many were made, failed ones among them."""
        return self._read(call)[4]

    def stop_failing(self) -> None:
        """Nothing fails any more; the wall clock stays where it is."""
        for call in Call:
            self.fail(call, 0.0)

    def _read(self, call: Call) -> tuple[int, ...]:
        return ENTRY.unpack_from(self._page, HEAD.size + call * ENTRY.size)

    def _write(self, call: Call, chance: int, count: int, error: int) -> None:
        Struct("=IIi").pack_into(self._page, HEAD.size + call * ENTRY.size, chance, count, error)
