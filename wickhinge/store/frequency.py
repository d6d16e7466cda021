"""The count k of objects that are not stored, for far more objects than are: four bytes each.

A set-associative table: the object's hash names a bucket of eight places, and sixteen more of its bits are its
fingerprint there. A place holds fingerprint, age and k. Two objects of one bucket and fingerprint are taken for one,
which happens to one in 2^16 / 8 strangers; the loss is a copy kept early or late, never a wrong answer.
"""

from __future__ import annotations

from array import array

from xxhash import xxh3_64_intdigest

WAYS = 8
AGE = 4
MOST = 255  # of k; objects hold fewer parts


class Counts:
    """k fades by half in each age in which the object is not asked for; an age is AGE calls a place."""

    def __init__(self, objects: int) -> None:
        self.buckets = 1 << max((objects // WAYS - 1).bit_length(), 1)
        self.places = array("I", bytes(4 * WAYS * self.buckets))  # fingerprint:16 age:8 k:8; 0: nobody's
        self.calls = self.age = 0
        self.pushed_out = 0

    def place(self, key: int) -> tuple[int, int]:
        word = xxh3_64_intdigest(key.to_bytes(8, "big"))
        return (word & self.buckets - 1) * WAYS, (word >> 48) or 1

    def faded(self, word: int) -> int:
        return (word & 255) >> (self.age - (word >> 8) & 255)

    def get(self, key: int) -> int:
        start, mark = self.place(key)
        for word in self.places[start : start + WAYS]:
            if word >> 16 == mark:
                return self.faded(word)
        return 0

    def put(self, key: int, k: int) -> None:
        """K as it stands; 0 takes the object out. In a full bucket the most faded, then oldest, goes."""
        self.calls += 1
        if self.calls >= AGE * WAYS * self.buckets:
            self.calls, self.age = 0, self.age + 1 & 255
            if not self.age & 127:
                self.sweep()
        start, mark = self.place(key)
        bucket = self.places[start : start + WAYS]
        at = next((place for place, word in enumerate(bucket) if word >> 16 == mark), -1)
        if at < 0:
            at = min(
                range(WAYS), key=lambda place: (self.faded(bucket[place]), -(self.age - (bucket[place] >> 8) & 255))
            )
            self.pushed_out += bool(self.faded(bucket[at]))
        self.places[start + at] = mark << 16 | self.age << 8 | min(k, MOST) if k > 0 else 0

    def sweep(self) -> None:
        """Ages are told apart for 256 of them: what has wholly faded goes before they come round."""
        for place, word in enumerate(self.places):
            if word and not self.faded(word):
                self.places[place] = 0

    def dump(self) -> bytes:
        return self.age.to_bytes(1, "big") + self.places.tobytes()

    def load(self, data: bytes) -> bool:
        """What dump gave; False where it is of another size, and nothing is changed."""
        if len(data) != 1 + 4 * len(self.places):
            return False
        self.age = data[0]
        self.places = array("I", data[1:])
        return True
