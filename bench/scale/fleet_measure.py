"""CPU seconds, memory and load, as the kernel tells of processes by their ids."""

from __future__ import annotations

import os
import time
from pathlib import Path

import msgspec

from bench.start import cpu_seconds

MB = 1 << 20
KB = 1 << 10


class ProcessUsage(msgspec.Struct, frozen=True):
    """Of one process at `time`: CPU seconds so far, resident bytes, and its share of them (pages shared with others in
    parts).
    """

    time: float
    cpu_s: float
    resident: int
    proportional: int


def smaps_rollup_bytes(pid: int) -> dict[str, int]:
    """Bytes by the names of /proc/PID/smaps_rollup."""
    lines = Path(f"/proc/{pid}/smaps_rollup").read_text().splitlines()[1:]
    fields = [line.split() for line in lines]
    return {field[0].rstrip(":"): int(field[1]) * KB for field in fields if len(field) >= 2}


def process_usage(pid: int) -> ProcessUsage:
    memory = smaps_rollup_bytes(pid)
    return ProcessUsage(time.monotonic(), cpu_seconds(pid), memory["Rss"], memory["Pss"])


def process_usages(pids: dict[str, int]) -> dict[str, ProcessUsage]:
    """By name; without those that have ended."""
    found = {}
    for name, pid in pids.items():
        try:
            found[name] = process_usage(pid)
        except (OSError, KeyError):
            continue
    return found


def core_share(before: dict[str, ProcessUsage], after: dict[str, ProcessUsage], name: str) -> float | None:
    """The part of a core that a process used between two looks; None where it was not there."""
    if name not in before or name not in after:
        return None
    one, other = before[name], after[name]
    return max(other.cpu_s - one.cpu_s, 0.0) / (other.time - one.time)


def total_memory_bytes() -> int:
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def memory_share(found: dict[str, ProcessUsage]) -> float:
    """Of the machine's memory, of these processes and this one."""
    return (
        sum(one.proportional for one in found.values()) + process_usage(os.getpid()).proportional
    ) / total_memory_bytes()


def load_average() -> float:
    """The machine's load average over a minute, whoever causes it."""
    return round(os.getloadavg()[0], 2)
