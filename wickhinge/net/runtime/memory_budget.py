"""The memory that clients, servers and names may use together, and how much of it each kind of holder has.

The limit of the process, less what the program itself takes when it has started, is one budget. Each holder has an
account and adds to it what it holds. The accounts hold estimates; what the process has grown by beyond them (timers,
names, the allocator's own losses) is compared at intervals and taken off the budget.

The budget frees nothing itself. Holders ask it before they take more: while it is low they take little at a time, and
once it is exceeded they take nothing and give back what can be done without (see `memory_relief`).
"""

from __future__ import annotations

import resource
from collections.abc import Callable

BYTES_PER_MB = 1_000_000
# Bytes kept free for what is held only within one turn of the event loop, such as the data of a read.
TRANSIENT_BYTES = BYTES_PER_MB
# The budget of a process whose program takes nearly all of its limit; the router could serve nothing without any.
MIN_CAPACITY_BYTES = 2 * BYTES_PER_MB
# Share of the budget from which on holders take little at a time.
LOW_SHARE = 0.6
# What may be held of the budget once it is exceeded, for clients that hold nothing yet.
EXHAUSTED_SHARE = 1.1
# Share of the budget that incomplete messages may take, so that there is memory left for the complete ones.
PARTIAL_MESSAGE_SHARE = 0.3
PROCESS_STATUS_FILE = "/proc/self/status"


def peak_resident_bytes() -> int:
    """Return the most memory that the process has had resident since it began to execute this program.

    The figure of getrusage(2) is used only where /proc has none: it includes what the process had before execve(2).
    """
    try:
        with open(PROCESS_STATUS_FILE, "rb") as status:
            for line in status:
                if line.startswith(b"VmHWM:"):
                    return int(line.split()[1]) * 1024
    except (OSError, ValueError):
        pass
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024


class MemoryAccount:
    """What one kind of holder has.

    Attributes:
        name: The name of the holder in the report.
        held_bytes: Bytes that it holds now.
        peak_bytes: The most that it held at a time since the start.
    """

    __slots__ = ("name", "held_bytes", "peak_bytes", "_budget")

    def __init__(self, name: str, budget: MemoryBudget) -> None:
        self.name, self._budget = name, budget
        self.held_bytes = self.peak_bytes = 0

    def add(self, size: int) -> None:
        """Add bytes that are held from now on; a negative number for bytes that were given back."""
        self.held_bytes += size
        if self.held_bytes > self.peak_bytes:
            self.peak_bytes = self.held_bytes
        self._budget.change(size)


class MemoryBudget:
    """The accounts of all holders, and the bytes that they may hold together.

    Attributes:
        limit_bytes: The memory limit of the process.
        capacity_bytes: Bytes that all holders may hold together.
        held_bytes: Bytes that they hold now.
        relief_count: Number of times that something was given up because the budget was exceeded, by what it was.
    """

    def __init__(self, limit_bytes: int, read_peak: Callable[[], int] = peak_resident_bytes) -> None:
        """Create a budget whose capacity is provisional until `start`.

        Args:
            limit_bytes: The memory limit of the process.
            read_peak: Returns the most bytes that the process has had resident.
        """
        self.limit_bytes = limit_bytes
        self._read_peak = read_peak
        self.capacity_bytes = MIN_CAPACITY_BYTES
        self.held_bytes = 0
        self.relief_count: dict[str, int] = {}
        self._accounts: list[MemoryAccount] = []
        self._program_bytes = 0
        self._peak_held_bytes = 0
        # Accounts of the holders.
        self.client_connections = self._open_account("client_connections")
        self.partial_messages = self._open_account("partial_messages")
        self.waiting_requests = self._open_account("waiting_requests")
        self.open_requests = self._open_account("open_requests")
        self.unread_answers = self._open_account("unread_answers")
        self.names = self._open_account("names")
        self.bodies = self._open_account("bodies")

    def _open_account(self, name: str) -> MemoryAccount:
        account = MemoryAccount(name, self)
        self._accounts.append(account)
        return account

    def change(self, size: int) -> None:
        """Add to what all holders have; called by their accounts."""
        self.held_bytes += size
        if self.held_bytes > self._peak_held_bytes:
            self._peak_held_bytes = self.held_bytes

    def start(self) -> None:
        """Take what the process has resident now as the program's own; called when it has started."""
        self._program_bytes = self._read_peak()
        self._peak_held_bytes = self.held_bytes
        self.compare()

    def compare(self) -> None:
        """Take off the budget what the process has grown by beyond the accounts; called at intervals."""
        grown_bytes = self._read_peak() - self._program_bytes
        unaccounted_bytes = max(grown_bytes - self._peak_held_bytes, 0)
        free_bytes = self.limit_bytes - self._program_bytes - TRANSIENT_BYTES - unaccounted_bytes
        self.capacity_bytes = max(free_bytes, MIN_CAPACITY_BYTES)

    def is_low(self) -> bool:
        """Return whether holders should take little at a time."""
        return self.held_bytes > LOW_SHARE * self.capacity_bytes

    def has_room_for_partial_messages(self) -> bool:
        """Return whether incomplete messages use at most half of their share, and memory is not low."""
        return (
            self.partial_messages.held_bytes <= 0.5 * PARTIAL_MESSAGE_SHARE * self.capacity_bytes and not self.is_low()
        )

    def are_partial_messages_too_large(self) -> bool:
        """Return whether incomplete messages use more than their share, or all holders more than there is."""
        is_over_share = self.partial_messages.held_bytes > PARTIAL_MESSAGE_SHARE * self.capacity_bytes
        return is_over_share or self.is_exceeded()

    def is_exceeded(self) -> bool:
        """Return whether something has to be given back."""
        return self.held_bytes > self.capacity_bytes

    def is_exhausted(self) -> bool:
        """Return whether nothing more may be held, not even for a client that holds nothing yet."""
        return self.held_bytes > EXHAUSTED_SHARE * self.capacity_bytes

    def count_relief(self, what: str) -> None:
        """Count something that was given up because the budget was exceeded."""
        self.relief_count[what] = self.relief_count.get(what, 0) + 1

    def report_fields(self) -> dict[str, object]:
        """Return the budget and its holders for the report, in KB."""
        return {
            "limit_kb": self.limit_bytes // 1000,
            "program_kb": self._program_bytes // 1000,
            "peak_kb": self._read_peak() // 1000,
            "capacity_kb": self.capacity_bytes // 1000,
            "held_kb": self.held_bytes // 1000,
            "holders": {
                account.name: {"held_kb": account.held_bytes // 1000, "peak_kb": account.peak_bytes // 1000}
                for account in self._accounts
            },
            "relieved": self.relief_count,
        }
