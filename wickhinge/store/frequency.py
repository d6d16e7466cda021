"""The request frequency of objects that are not stored, for far more objects than are: four bytes each.

A set-associative table: the object's hash names a bucket of eight entries, and sixteen more of its bits are its
fingerprint there. An entry holds fingerprint, age and frequency. Two objects of one bucket and fingerprint are taken
for one, which happens to one in 2^16 / 8 objects; the cost is a copy stored early or late, never a wrong answer.
"""

from __future__ import annotations

from array import array

from xxhash import xxh3_64_intdigest

ENTRIES_PER_BUCKET = 8
CALLS_PER_ENTRY_AND_AGE = 4
MAX_FREQUENCY = 255  # an object has fewer parts


class FrequencyTable:
    """Frequencies that halve with each age in which the object is not requested.

    An age is CALLS_PER_ENTRY_AND_AGE calls of `put` for each entry of the table.

    Attributes:
        entries: fingerprint:16 age:8 frequency:8 each; 0 for an empty one.
        evicted_count: Frequencies above zero that were pushed out of a full bucket.
    """

    def __init__(self, objects: int) -> None:
        """Make room for so many objects, rounded up to a power of two of buckets."""
        self.bucket_count = 1 << max((objects // ENTRIES_PER_BUCKET - 1).bit_length(), 1)
        self.entries = array("I", bytes(4 * ENTRIES_PER_BUCKET * self.bucket_count))
        self.evicted_count = 0
        self._calls = 0
        self._age = 0

    def get(self, key: int) -> int:
        """The object's frequency now; 0 for an unknown one."""
        start, fingerprint = self._locate(key)
        for entry in self.entries[start : start + ENTRIES_PER_BUCKET]:
            if entry >> 16 == fingerprint:
                return self._decayed(entry)
        return 0

    def put(self, key: int, frequency: int) -> None:
        """Set the frequency; 0 takes the object out. A full bucket drops its most decayed, then oldest, entry."""
        self._calls += 1
        if self._calls >= CALLS_PER_ENTRY_AND_AGE * ENTRIES_PER_BUCKET * self.bucket_count:
            self._begin_age()
        start, fingerprint = self._locate(key)
        bucket = self.entries[start : start + ENTRIES_PER_BUCKET]
        index = next((index for index, entry in enumerate(bucket) if entry >> 16 == fingerprint), -1)
        if index < 0:
            index = min(
                range(ENTRIES_PER_BUCKET),
                key=lambda index: (self._decayed(bucket[index]), -(self._age - (bucket[index] >> 8) & 255)),
            )
            self.evicted_count += bool(self._decayed(bucket[index]))
        entry = fingerprint << 16 | self._age << 8 | min(frequency, MAX_FREQUENCY) if frequency > 0 else 0
        self.entries[start + index] = entry

    def dump(self) -> bytes:
        """The whole table, for the snapshot of the index."""
        return self._age.to_bytes(1, "big") + self.entries.tobytes()

    def load(self, data: bytes) -> bool:
        """Take over what `dump` returned; False, with nothing changed, where that table had another size."""
        if len(data) != 1 + 4 * len(self.entries):
            return False
        self._age = data[0]
        self.entries = array("I", data[1:])
        return True

    def _locate(self, key: int) -> tuple[int, int]:
        """The index of the bucket's first entry, and the fingerprint."""
        digest = xxh3_64_intdigest(key.to_bytes(8, "big"))
        return (digest & self.bucket_count - 1) * ENTRIES_PER_BUCKET, (digest >> 48) or 1

    def _decayed(self, entry: int) -> int:
        return (entry & 255) >> (self._age - (entry >> 8) & 255)

    def _begin_age(self) -> None:
        self._calls = 0
        self._age = self._age + 1 & 255
        # Ages have eight bits: entries that decayed to nothing go before their age comes round again.
        if not self._age & 127:
            for index, entry in enumerate(self.entries):
                if entry and not self._decayed(entry):
                    self.entries[index] = 0
