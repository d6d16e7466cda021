"""Entries in the order of their numbers, each once: early ones are held back, in bounds, until the gap is filled."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from wickhinge.changelog.entries import EMPTY_DIGEST, Entry, next_digest


class Sequencer:
    """Where the follower's log stands: `epoch`, `last`, `digest`. Epoch 0 before the first snapshot."""

    def __init__(self, max_buffered_entries: int, max_digests: int) -> None:
        self.epoch = 0
        self.last = 0
        self.digest = EMPTY_DIGEST
        self.duplicates = 0  # entries that were dropped because they had been applied
        self._most_held, self._most_digests = max_buffered_entries, max_digests
        self._held: dict[int, Entry] = {}
        self._digests: OrderedDict[int, bytes] = OrderedDict()

    @property
    def holds(self) -> bool:
        """Whether entries wait for an earlier one."""
        return bool(self._held)

    def offer(self, entries: Iterable[Entry]) -> list[Entry]:
        """The entries that are next in order now, from these and those held. All are of this epoch."""
        for entry in entries:
            if entry.number <= self.last:
                self.duplicates += 1
            elif entry.number <= self.last + self._most_held:
                self._held.setdefault(entry.number, entry)
        ready = []
        while (entry := self._held.pop(self.last + 1, None)) is not None:
            self._advance(entry)
            ready.append(entry)
        return ready

    def reset(self, epoch: int, number: int, digest: bytes) -> None:
        """The log stands at `number` of `epoch` now; what was held is dropped."""
        self.epoch, self.last, self.digest = epoch, number, digest
        self._held.clear()
        self._digests.clear()
        self._digests[number] = digest

    def drop_buffered(self) -> None:
        self._held.clear()

    def digest_at(self, number: int) -> bytes | None:
        """None where it is not remembered."""
        return self._digests.get(number)

    def _advance(self, entry: Entry) -> None:
        self.digest = next_digest(self.digest, entry)
        self.last = entry.number
        self._digests[entry.number] = self.digest
        if len(self._digests) > self._most_digests:
            self._digests.popitem(last=False)
