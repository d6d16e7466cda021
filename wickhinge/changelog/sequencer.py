"""Delivery of entries in the order of their numbers, each once; a bounded buffer holds entries that arrive early."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from wickhinge.changelog.entries import EMPTY_DIGEST, Entry, next_digest


class Sequencer:
    """The end of a follower's log, and the entries that are buffered until the gap before them is filled.

    Attributes:
        epoch: The log's epoch, 0 before the first snapshot.
        last_number: The number of the last entry that was applied.
        digest: The digest of the log after that entry.
        duplicate_count: Number of entries that were dropped because they had been applied before.
    """

    def __init__(self, max_buffered_entries: int, max_digests: int) -> None:
        self.epoch = 0
        self.last_number = 0
        self.digest = EMPTY_DIGEST
        self.duplicate_count = 0
        self._max_buffered_entries, self._max_digests = max_buffered_entries, max_digests
        self._buffered: dict[int, Entry] = {}
        self._digests: OrderedDict[int, bytes] = OrderedDict()

    @property
    def has_buffered(self) -> bool:
        """Whether entries are buffered because an earlier one is missing."""
        return bool(self._buffered)

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        """Buffer entries of this epoch; return all buffered entries that follow the last one without a gap."""
        for entry in entries:
            if entry.number <= self.last_number:
                self.duplicate_count += 1
            elif entry.number <= self.last_number + self._max_buffered_entries:
                self._buffered.setdefault(entry.number, entry)
        ready = []
        while self.last_number + 1 in self._buffered:
            entry = self._buffered.pop(self.last_number + 1)
            self._advance(entry)
            ready.append(entry)
        return ready

    def reset(self, epoch: int, number: int, digest: bytes) -> None:
        """Set the end of the log to `number` of `epoch`, and drop the buffered entries."""
        self.epoch, self.last_number, self.digest = epoch, number, digest
        self._buffered.clear()
        self._digests.clear()
        self._digests[number] = digest

    def drop_buffered(self) -> None:
        """Drop the entries that are buffered because an earlier one is missing."""
        self._buffered.clear()

    def digest_at(self, number: int) -> bytes | None:
        """Return the digest of the log after entry `number`; None where it is no longer remembered."""
        return self._digests.get(number)

    def _advance(self, entry: Entry) -> None:
        self.digest = next_digest(self.digest, entry)
        self.last_number = entry.number
        self._digests[entry.number] = self.digest
        if len(self._digests) > self._max_digests:
            self._digests.popitem(last=False)
