"""The bounded in-memory log of a replica or a relay, and the snapshot that stands for what is no longer retained."""

from __future__ import annotations

from collections import deque

import msgspec

from wickhinge.changelog.entries import (
    EMPTY_DIGEST,
    Change,
    Entry,
    Purge,
    Setting,
    is_understood,
    max_encoded_size,
    next_digest,
)
from wickhinge.changelog.errors import OutOfOrderError

MAX_RETAINED_ENTRIES = 65536
MAX_SETTINGS = 4096
MAX_PURGES = 65536


class Snapshot(msgspec.Struct, frozen=True):
    """The state after entry `number`: the settings in force, sorted by name, and the purges of the horizon.

    `incomplete`: a change that had to be understood was not, by the process that made the snapshot or by one that it
    had it from. `term` is the replicas' term of entry `number`, 0 where it is not known.
    """

    epoch: int
    number: int
    digest: bytes
    settings: tuple[Setting, ...]
    purges: tuple[Purge, ...]
    incomplete: bool = False
    term: int = 0


EMPTY_SNAPSHOT = Snapshot(0, 0, EMPTY_DIGEST, (), ())


class Log:
    """The last `retain` entries, their digests, and the state after the last of them.

    `purge_horizon_s`: how long after its arrival here a purge stays in snapshots, longer than any copy's grace.
    """

    def __init__(self, retain: int = 16384, purge_horizon_s: float = 120.0) -> None:
        self.retain = min(max(retain, 1), MAX_RETAINED_ENTRIES)
        self.purge_horizon_s = purge_horizon_s
        self.epoch = 0
        self.last_number = 0  # number of the last entry; 0 where there was none
        self.digest = EMPTY_DIGEST
        self.incomplete = False
        self._entries: deque[tuple[Entry, int, bytes]] = deque()  # with encoded size and digest after it
        self._base_digest = EMPTY_DIGEST  # before the first retained entry
        self._settings: dict[str, Setting] = {}
        self._purges: deque[tuple[float, Purge]] = deque()  # by time of arrival

    @property
    def first_number(self) -> int:
        """Number of the first retained entry; `last` + 1 where none is retained."""
        return self.last_number - len(self._entries) + 1

    def append(self, entry: Entry, now: float) -> None:
        """Adds the next entry.

        Raises:
            OutOfOrderError: It is not the next one of this log.
        """
        if entry.epoch != self.epoch or entry.number != self.last_number + 1:
            raise OutOfOrderError(entry.epoch, entry.number, self.epoch, self.last_number)
        self.digest = next_digest(self.digest, entry)
        self.last_number = entry.number
        self._entries.append((entry, max_encoded_size(entry.change), self.digest))
        if len(self._entries) > self.retain:
            self._base_digest = self._entries.popleft()[2]
        self._update_state(entry, now)

    def entries_from(self, number: int, max_bytes: int, max_entries: int) -> tuple[Entry, ...]:
        """Entries from `number` on: at least one, else as many as fit by their greatest size.

        Empty where `number` is past the last or no longer retained.
        """
        if not self.first_number <= number <= self.last_number:
            return ()
        chosen: list[Entry] = []
        size = 0
        for place in range(number - self.first_number, len(self._entries)):
            entry, entry_size, _ = self._entries[place]
            size += entry_size
            if chosen and (size > max_bytes or len(chosen) >= max_entries):
                break
            chosen.append(entry)
        return tuple(chosen)

    def max_size_bytes(self, number: int, count: int) -> int:
        """The greatest size in bytes of `count` retained entries from `number` on."""
        start = number - self.first_number
        return sum(self._entries[place][1] for place in range(start, start + count))

    def has_capacity(self, change: Change) -> bool:
        """Whether the change would leave at most MAX_SETTINGS settings in force."""
        is_new = isinstance(change, Setting) and change.name not in self._settings
        return not is_new or len(self._settings) < MAX_SETTINGS

    def digest_at(self, number: int) -> bytes | None:
        """The digest after entry `number`; None where that is not known here."""
        if number == self.first_number - 1:
            return self._base_digest
        if not self.first_number <= number <= self.last_number:
            return None
        return self._entries[number - self.first_number][2]

    def snapshot(self, now: float) -> Snapshot:
        """The state now; purges older than the horizon are left out."""
        self._forget_purges(now)
        settings = tuple(self._settings[name] for name in sorted(self._settings))
        purges = tuple(purge for _, purge in self._purges)
        return Snapshot(self.epoch, self.last_number, self.digest, settings, purges, self.incomplete)

    def load(self, snapshot: Snapshot, now: float) -> None:
        """Replaces the state. Purges known so far are retained, for as long as if they had come now."""
        known = set(snapshot.purges)
        retained = [purge for _, purge in self._purges if purge not in known]
        self.epoch, self.last_number = snapshot.epoch, snapshot.number
        self.digest = self._base_digest = snapshot.digest
        self.incomplete = snapshot.incomplete
        self._entries.clear()
        self._settings = {setting.name: setting for setting in snapshot.settings}
        self._purges = deque(((now, purge) for purge in [*retained, *snapshot.purges]), maxlen=MAX_PURGES)

    def _update_state(self, entry: Entry, now: float) -> None:
        change = entry.change
        if isinstance(change, Setting):
            if change.name in self._settings or len(self._settings) < MAX_SETTINGS:
                self._settings[change.name] = change
        elif isinstance(change, Purge):
            self._purges.append((now, change))
            self._forget_purges(now)
        elif not is_understood(change):
            self.incomplete = True

    def _forget_purges(self, now: float) -> None:
        while self._purges and now - self._purges[0][0] > self.purge_horizon_s:
            self._purges.popleft()
        while len(self._purges) > MAX_PURGES:
            self._purges.popleft()
