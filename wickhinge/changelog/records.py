"""A replica's records: an entry and its term for each number after a base, up to which records are discarded."""

from __future__ import annotations

from wickhinge.changelog.entries import max_encoded_size
from wickhinge.changelog.messages import Record


class Records:
    """The records with the numbers `base_number` + 1 to `last_number`.

    Attributes:
        base_number: The number of the last entry whose record is discarded, 0 where none is.
        base_term: The term of that entry.
    """

    def __init__(self, base_number: int, base_term: int, records: tuple[Record, ...] = ()) -> None:
        self.base_number, self.base_term = base_number, base_term
        self._records = list(records)

    @property
    def last_number(self) -> int:
        """The number of the last record; `base_number` where there are no records."""
        return self.base_number + len(self._records)

    @property
    def last_term(self) -> int:
        """The term of the last record; `base_term` where there are no records."""
        return self._records[-1].term if self._records else self.base_term

    def term_at(self, number: int) -> int | None:
        """Return the term of entry `number`; None where the entry is before the base or after the last record."""
        if number == self.base_number:
            return self.base_term
        return (
            self._records[number - self.base_number - 1].term if self.base_number < number <= self.last_number else None
        )

    def between(self, after: int, last_number: int) -> tuple[Record, ...]:
        """Return the records `after` + 1 to `last_number`."""
        return tuple(self._records[after - self.base_number : last_number - self.base_number])

    def fit_after(self, after: int, max_bytes: int, max_count: int, overhead_bytes: int) -> tuple[Record, ...]:
        """Return as many records from `after` + 1 on as fit into a message, but at least one if there is one.

        Each record takes `overhead_bytes` in addition to the encoded size of its change.
        """
        chosen: list[Record] = []
        size = 0
        for record in self._records[after - self.base_number : after - self.base_number + max_count]:
            size += max_encoded_size(record.entry.change) + overhead_bytes
            if chosen and size > max_bytes:
                break
            chosen.append(record)
        return tuple(chosen)

    def append(self, record: Record) -> None:
        """Add a record, whose number has to be the last number plus one."""
        self._records.append(record)

    def truncate_after(self, number: int) -> None:
        """Remove the records above `number`."""
        del self._records[number - self.base_number :]

    def discard_up_to(self, number: int) -> None:
        """Discard the records up to `number`, which becomes the base."""
        self.base_term = self.term_at(number) or 0
        del self._records[: number - self.base_number]
        self.base_number = number

    def number_before_term(self, number: int) -> int:
        """Return the number before the first record of the term that record `number` has.

        A leader whose log conflicts at `number` should continue there: it skips a whole term in one exchange.
        """
        term = self.term_at(number)
        while number > self.base_number and self.term_at(number) == term:
            number -= 1
        return number

    def find_conflict(self, previous: int, previous_term: int, commit_number: int) -> int | None:
        """Compare this log with a leader's at the entry `previous`, which has the term `previous_term` there.

        Returns:
            None where the leader's records after `previous` can be appended; otherwise the number after which the
            leader should send its records next time. Unless this log ends earlier, that is `commit_number` at least,
            because committed entries are the same in both logs.
        """
        if previous < self.base_number:
            return None  # An entry before the base is committed, hence the same in both logs.
        term = self.term_at(previous)
        if term is None:
            return self.last_number
        return None if term == previous_term else max(self.number_before_term(previous), commit_number)

    def merge(self, records: tuple[Record, ...]) -> tuple[int, tuple[Record, ...]]:
        """Append a leader's records, after the conflicting records of this log are removed.

        `find_conflict` must have returned None for the entry before the first of them.

        Returns:
            The number after which the log was truncated, and the records that were appended to it.
        """
        new = [record for record in records if record.entry.number > self.base_number]
        while new and self.term_at(new[0].entry.number) == new[0].term:
            new.pop(0)
        if not new:
            return self.last_number, ()
        truncated_after = new[0].entry.number - 1
        self.truncate_after(truncated_after)
        self._records += new
        return truncated_after, tuple(new)
