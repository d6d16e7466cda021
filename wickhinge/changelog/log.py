"""The bounded in-memory log of a replica or a relay, and the snapshot that replaces entries no longer retained."""

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
from wickhinge.changelog.settings_table import check_setting_value
from wickhinge.fields import MalformedError

MAX_RETAINED_ENTRIES = 65536
MAX_SETTINGS = 4096
MAX_PURGES = 65536


def is_valid_setting(setting: Setting) -> bool:
    """Return whether routers of this version would take the value; any value is valid for an unknown name."""
    try:
        check_setting_value(setting.name, setting.value)
    except MalformedError:
        return False
    return True


class Snapshot(msgspec.Struct, frozen=True):
    """The state of a log after entry `number`.

    Attributes:
        epoch: The log's epoch.
        number: The number of the last entry that the snapshot includes.
        digest: The digest of the log after that entry.
        settings: The latest setting of each name, sorted by name, without values that routers refuse.
        purges: The purges within the purge horizon.
        incomplete: Whether a change is missing that had to be understood, because the process that made the snapshot,
            or a process from which it had loaded an earlier one, did not know the change's kind.
        term: The replicas' term of entry `number`, 0 where it is not known.
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
    """The most recent entries, their digests, and the state after the last of them.

    Attributes:
        max_entries: The number of entries that are retained.
        purge_horizon_s: How long a purge stays in snapshots after its arrival in this process. It has to be longer than
            the grace of any copy.
        epoch: The log's epoch.
        last_number: The number of the last entry, 0 where there was none.
        digest: The digest after the last entry.
        incomplete: Whether a change that had to be understood is missing in the state.
    """

    def __init__(self, max_entries: int = 16384, purge_horizon_s: float = 120.0) -> None:
        self.max_entries = min(max(max_entries, 1), MAX_RETAINED_ENTRIES)
        self.purge_horizon_s = purge_horizon_s
        self.epoch = 0
        self.last_number = 0
        self.digest = EMPTY_DIGEST
        self.incomplete = False
        # Each retained entry with its greatest encoded size and the digest after it.
        self._entries: deque[tuple[Entry, int, bytes]] = deque()
        # The digest of the log before the first retained entry.
        self._base_digest = EMPTY_DIGEST
        self._settings: dict[str, Setting] = {}
        # Each purge with the time of its arrival, in the order of arrival.
        self._purges: deque[tuple[float, Purge]] = deque()

    @property
    def first_number(self) -> int:
        """The number of the first retained entry; `last_number` + 1 where none is retained."""
        return self.last_number - len(self._entries) + 1

    def append(self, entry: Entry, now: float) -> None:
        """Add an entry to the log and to the state.

        Raises:
            OutOfOrderError: The entry does not follow the last entry of this log.
        """
        if entry.epoch != self.epoch or entry.number != self.last_number + 1:
            raise OutOfOrderError(entry.epoch, entry.number, self.epoch, self.last_number)
        self.digest = next_digest(self.digest, entry)
        self.last_number = entry.number
        self._entries.append((entry, max_encoded_size(entry.change), self.digest))
        if len(self._entries) > self.max_entries:
            self._base_digest = self._entries.popleft()[2]
        self._update_state(entry, now)

    def entries_from(self, number: int, max_bytes: int, max_entries: int) -> tuple[Entry, ...]:
        """Return as many entries from `number` on as fit by their greatest encoded size, but at least one.

        The result is empty where entry `number` is later than the last entry or no longer retained.
        """
        if not self.first_number <= number <= self.last_number:
            return ()
        chosen: list[Entry] = []
        size = 0
        for index in range(number - self.first_number, len(self._entries)):
            entry, entry_size, _ = self._entries[index]
            size += entry_size
            if chosen and (size > max_bytes or len(chosen) >= max_entries):
                break
            chosen.append(entry)
        return tuple(chosen)

    def max_size_bytes(self, number: int, count: int) -> int:
        """Return the greatest encoded size of `count` retained entries from `number` on."""
        start = number - self.first_number
        return sum(self._entries[index][1] for index in range(start, start + count))

    def has_capacity(self, change: Change) -> bool:
        """Return whether at most MAX_SETTINGS settings would be in force after the change."""
        is_new = isinstance(change, Setting) and change.name not in self._settings
        return not is_new or len(self._settings) < MAX_SETTINGS

    def digest_at(self, number: int) -> bytes | None:
        """Return the digest after entry `number`; None where it is not known to this log."""
        if number == self.first_number - 1:
            return self._base_digest
        if not self.first_number <= number <= self.last_number:
            return None
        return self._entries[number - self.first_number][2]

    def snapshot(self, now: float) -> Snapshot:
        """Return the current state, without purges that are older than the purge horizon."""
        self._drop_expired_purges(now)
        settings = tuple(self._settings[name] for name in sorted(self._settings))
        purges = tuple(purge for _, purge in self._purges)
        return Snapshot(self.epoch, self.last_number, self.digest, settings, purges, self.incomplete)

    def load(self, snapshot: Snapshot, now: float) -> None:
        """Replace the log and its settings by a snapshot, and add the snapshot's purges to the known ones.

        All purges stay for the full purge horizon again, as if they had arrived now.
        """
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
            has_room = change.name in self._settings or len(self._settings) < MAX_SETTINGS
            if has_room and is_valid_setting(change):
                self._settings[change.name] = change
        elif isinstance(change, Purge):
            self._purges.append((now, change))
            self._drop_expired_purges(now)
        elif not is_understood(change):
            self.incomplete = True

    def _drop_expired_purges(self, now: float) -> None:
        while self._purges and now - self._purges[0][0] > self.purge_horizon_s:
            self._purges.popleft()
        while len(self._purges) > MAX_PURGES:
            self._purges.popleft()
