"""CPU seconds, memory and load of processes, read from the kernel."""

from __future__ import annotations

import os
import time
from pathlib import Path

import msgspec

from bench.start import cpu_seconds

MB = 1 << 20
KB = 1 << 10


class ProcessUsage(msgspec.Struct, frozen=True):
    """CPU and memory of one process at `time`.

    `cpu_s` holds the CPU seconds so far and `resident` the resident bytes. In `proportional`, each shared page is
    divided by the number of processes that share it.
    """

    time: float
    cpu_s: float
    resident: int
    proportional: int


def smaps_rollup_bytes(pid: int) -> dict[str, int]:
    """Return the fields of /proc/PID/smaps_rollup in bytes, by name."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    return {field[0].rstrip(":"): int(field[1]) * KB for field in fields if len(field) >= 2}


def process_usage(pid: int) -> ProcessUsage:
    memory = smaps_rollup_bytes(pid)
    return ProcessUsage(time.monotonic(), cpu_seconds(pid), memory["Rss"], memory["Pss"])


def process_usages(pids: dict[str, int]) -> dict[str, ProcessUsage]:
    """Return the usage of each process by name, without processes that have ended."""
    found = {}
    for name, pid in pids.items():
        try:
            found[name] = process_usage(pid)
        except (OSError, KeyError):
            continue
    return found


def core_share(before: dict[str, ProcessUsage], after: dict[str, ProcessUsage], name: str) -> float | None:
    """Return the share of a core that a process used between two measurements; None if one lacks the process."""
    if name not in before or name not in after:
        return None
    former, latter = before[name], after[name]
    return max(latter.cpu_s - former.cpu_s, 0.0) / (latter.time - former.time)


def total_memory_bytes() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def memory_share(processes: dict[str, ProcessUsage]) -> float:
    """Return the share of the machine's memory that these processes and this one use."""
    return (
        sum(usage.proportional for usage in processes.values()) + process_usage(os.getpid()).proportional
    ) / total_memory_bytes()


def load_average() -> float:
    """Return the machine's load average over a minute, including the load of unrelated processes."""
    return round(os.getloadavg()[0], 2)
