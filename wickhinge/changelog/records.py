"""A replica's records: an entry and its term for each number after a base, with what has been cut before it."""

from __future__ import annotations

from wickhinge.changelog.entries import max_encoded_size
from wickhinge.changelog.messages import Record


class Records:
    """Numbers `base` + 1 to `last`. `base_term` is the term of the entry at `base`."""

    def __init__(self, base: int, base_term: int, records: tuple[Record, ...] = ()) -> None:
        self.base, self.base_term = base, base_term
        self._records = list(records)

    @property
    def last(self) -> int:
        return self.base + len(self._records)

    @property
    def last_term(self) -> int:
        return self._records[-1].term if self._records else self.base_term

    def term_at(self, number: int) -> int | None:
        """None where the number is before the base or after the last."""
        if number == self.base:
            return self.base_term
        return self._records[number - self.base - 1].term if self.base < number <= self.last else None

    def at(self, number: int) -> Record:
        return self._records[number - self.base - 1]

    def between(self, after: int, last: int) -> tuple[Record, ...]:
        """Records `after` + 1 to `last`."""
        return tuple(self._records[after - self.base : last - self.base])

    def fitting(self, after: int, max_bytes: int, max_count: int, extra: int) -> tuple[Record, ...]:
        """Records from `after` + 1 on, as many as fit, each `extra` bytes longer than its change."""
        found, size = [], 0
        for record in self._records[after - self.base : after - self.base + max_count]:
            size += max_encoded_size(record.entry.change) + extra
            if found and size > max_bytes:
                break
            found.append(record)
        return tuple(found)

    def append(self, record: Record) -> None:
        self._records.append(record)

    def truncate_after(self, number: int) -> None:
        """Removes records above `number`."""
        del self._records[number - self.base :]

    def discard_up_to(self, number: int) -> None:
        """Makes `number` the base."""
        self.base_term = self.term_at(number) or 0
        del self._records[: number - self.base]
        self.base = number

    def conflict_start(self, number: int) -> int:
        """The number before the first record of the term that `number` has: where a leader should try next."""
        term = self.term_at(number)
        while number > self.base and self.term_at(number) == term:
            number -= 1
        return number

    def find_conflict(self, previous: int, previous_term: int, commit: int) -> int | None:
        """None where a leader's records after `previous` fit on; else the number after which it should try next."""
        if previous < self.base:
            return None  # committed, hence the same
        term = self.term_at(previous)
        if term is None:
            return self.last
        return None if term == previous_term else max(self.conflict_start(previous), commit)

    def merge(self, records: tuple[Record, ...]) -> tuple[int, tuple[Record, ...]]:
        """Takes a leader's records, which fit on: what differs is cut, what is new is appended. The number up to which
        the log was kept, and what was appended after it.
        """
        new = [record for record in records if record.entry.number > self.base]
        while new and self.term_at(new[0].entry.number) == new[0].term:
            new.pop(0)
        if not new:
            return self.last, ()
        kept = new[0].entry.number - 1
        self.truncate_after(kept)
        self._records += new
        return kept, tuple(new)
