"""Entries in the order of their numbers, each once: early ones are buffered, in bounds, until the gap is filled."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from wickhinge.changelog.entries import EMPTY_DIGEST, Entry, next_digest


class Sequencer:
    """Where a follower's log ends: `epoch`, `last`, `digest`. Epoch 0 before the first snapshot."""

    def __init__(self, max_buffered_entries: int, max_digests: int) -> None:
        self.epoch = 0
        self.last_number = 0
        self.digest = EMPTY_DIGEST
        self.duplicate_count = 0  # entries that were dropped because they had been applied
        self._max_buffered_entries, self._max_digests = max_buffered_entries, max_digests
        self._buffered: dict[int, Entry] = {}
        self._digests: OrderedDict[int, bytes] = OrderedDict()

    @property
    def has_buffered(self) -> bool:
        """Whether entries wait for an earlier one."""
        return bool(self._buffered)

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        """Takes entries of this epoch; returns those that are next in order now, of these and the buffered ones."""
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
        """Puts the end of the log at `number` of `epoch`, and drops what was buffered."""
        self.epoch, self.last_number, self.digest = epoch, number, digest
        self._buffered.clear()
        self._digests.clear()
        self._digests[number] = digest

    def drop_buffered(self) -> None:
        """Drops the entries that wait for an earlier one."""
        self._buffered.clear()

    def digest_at(self, number: int) -> bytes | None:
        """The digest after entry `number`; None where it is not remembered."""
        return self._digests.get(number)

    def _advance(self, entry: Entry) -> None:
        self.digest = next_digest(self.digest, entry)
        self.last_number = entry.number
        self._digests[entry.number] = self.digest
        if len(self._digests) > self._max_digests:
            self._digests.popitem(last=False)
