"""A replica's records: an entry and its term for each number after a base, with what has been discarded before it."""

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
        """The last number; `base` where there are no records."""
        return self.base + len(self._records)

    @property
    def last_term(self) -> int:
        """The term of the last record; `base_term` where there are none."""
        return self._records[-1].term if self._records else self.base_term

    def term_at(self, number: int) -> int | None:
        """The term of the entry at `number`; None where it is before the base or after the last."""
        if number == self.base:
            return self.base_term
        return self._records[number - self.base - 1].term if self.base < number <= self.last else None

    def between(self, after: int, last: int) -> tuple[Record, ...]:
        """Records `after` + 1 to `last`."""
        return tuple(self._records[after - self.base : last - self.base])

    def fitting(self, after: int, max_bytes: int, max_count: int, overhead_bytes: int) -> tuple[Record, ...]:
        """Records from `after` + 1 on, at least one, else as many as fit, each `overhead_bytes` over its change."""
        chosen: list[Record] = []
        size = 0
        for record in self._records[after - self.base : after - self.base + max_count]:
            size += max_encoded_size(record.entry.change) + overhead_bytes
            if chosen and size > max_bytes:
                break
            chosen.append(record)
        return tuple(chosen)

    def append(self, record: Record) -> None:
        """Adds the record of the next number."""
        self._records.append(record)

    def truncate_after(self, number: int) -> None:
        """Removes the records above `number`."""
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
        """The number after which a leader should try next; None where its records after `previous` fit on."""
        if previous < self.base:
            return None  # committed, hence the same
        term = self.term_at(previous)
        if term is None:
            return self.last
        return None if term == previous_term else max(self.conflict_start(previous), commit)

    def merge(self, records: tuple[Record, ...]) -> tuple[int, tuple[Record, ...]]:
        """Takes a leader's records, which fit on: what differs is removed, what is new is appended.

        Returns:
            The number after which the log was truncated, and the records that were appended to it.
        """
        new = [record for record in records if record.entry.number > self.base]
        while new and self.term_at(new[0].entry.number) == new[0].term:
            new.pop(0)
        if not new:
            return self.last, ()
        truncated_after = new[0].entry.number - 1
        self.truncate_after(truncated_after)
        self._records += new
        return truncated_after, tuple(new)
