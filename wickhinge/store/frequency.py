"""Request frequencies of objects that are not stored, in four bytes per object: they far outnumber the stored ones.

The table is set-associative: the object's hash selects a bucket of eight entries, and sixteen other bits of the hash
are the object's fingerprint in the bucket. An entry holds fingerprint, age and frequency. Two objects with the same
bucket and fingerprint share an entry, which happens to one in 2^16 / 8 objects. The cost of such a collision is a copy
that is stored early or late, never an incorrect response.
"""

from __future__ import annotations

from array import array

from xxhash import xxh3_64_intdigest

ENTRIES_PER_BUCKET = 8
PUTS_PER_ENTRY_PER_AGE = 4
# Largest frequency that fits into the 8 bits of an entry; an object has fewer parts.
MAX_FREQUENCY = 255


class FrequencyTable:
    """Table of frequencies; an object's frequency halves with each age in which the object is not requested.

    An age lasts PUTS_PER_ENTRY_PER_AGE calls of `put` for each entry of the table.

    Attributes:
        bucket_count: Number of buckets, a power of two.
        entries: Packed entries of fingerprint:16 age:8 frequency:8 bits; 0 is an empty entry.
        evicted_count: Number of frequencies above zero that were evicted from a full bucket.
    """

    def __init__(self, objects: int) -> None:
        """Create a table for `objects` objects; the number of buckets is rounded up to a power of two."""
        self.bucket_count = 1 << max((objects // ENTRIES_PER_BUCKET - 1).bit_length(), 1)
        self.entries = array("I", bytes(4 * ENTRIES_PER_BUCKET * self.bucket_count))
        self.evicted_count = 0
        self._puts_in_age = 0
        self._age = 0

    def get(self, key: int) -> int:
        """Return the current frequency of an object; 0 if the object is not in the table."""
        start, fingerprint = self._locate(key)
        for entry in self.entries[start : start + ENTRIES_PER_BUCKET]:
            if entry >> 16 == fingerprint:
                return self._decayed(entry)
        return 0

    def put(self, key: int, frequency: int) -> None:
        """Set the frequency of an object; 0 removes the object.

        A full bucket evicts the entry with the lowest decayed frequency, and of equal ones the oldest.
        """
        self._puts_in_age += 1
        if self._puts_in_age >= PUTS_PER_ENTRY_PER_AGE * ENTRIES_PER_BUCKET * self.bucket_count:
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
        """Return the encoded table, for the snapshot of the index."""
        return self._age.to_bytes(1, "big") + self.entries.tobytes()

    def load(self, data: bytes) -> bool:
        """Replace the table by one that `dump` encoded; return False and change nothing if its size differs."""
        if len(data) != 1 + 4 * len(self.entries):
            return False
        self._age = data[0]
        self.entries = array("I", data[1:])
        return True

    def _locate(self, key: int) -> tuple[int, int]:
        """Return the index of the first entry in the object's bucket, and the object's fingerprint."""
        digest = xxh3_64_intdigest(key.to_bytes(8, "big"))
        return (digest & self.bucket_count - 1) * ENTRIES_PER_BUCKET, (digest >> 48) or 1

    def _decayed(self, entry: int) -> int:
        """Return the frequency in an entry, halved once for each age since the entry was set."""
        return (entry & 255) >> (self._age - (entry >> 8) & 255)

    def _begin_age(self) -> None:
        self._puts_in_age = 0
        self._age = self._age + 1 & 255
        # An age number has 8 bits and wraps around: entries that decayed to 0 are removed before they look new again.
        if not self._age & 127:
            for index, entry in enumerate(self.entries):
                if entry and not self._decayed(entry):
                    self.entries[index] = 0
