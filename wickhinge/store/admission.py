"""Admission and eviction: gLRU of the paper (section III-B), for a tier whose evictions are seen.

An object that is requested may store one part more than before, as many as its frequency, and moves to the front;
when capacity runs out, the object at the back loses its tail part, and its frequency falls to what is left. Only the
count is the paper's; one-off objects, which fill a tier with first parts, are kept out by a minimum of requests.
"""

from __future__ import annotations

from collections import OrderedDict

from wickhinge.store.copies import Copy
from wickhinge.store.frequency import MAX_FREQUENCY, FrequencyTable

MIN_REQUESTS = 2  # of part 0 before anything of an object is stored


class TailEviction:
    """Objects by last use, each with its parts; past the capacity the last object loses its tail part.

    Attributes:
        capacity: Bytes of all bodies.
        used: Bytes of all bodies that are in it.
        count: Copies that are in it.
        objects: The copies by object and part, the object used last at the end.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.used = 0
        self.count = 0
        self.objects: OrderedDict[int, dict[int, Copy]] = OrderedDict()

    def find(self, key: int, part: int) -> Copy | None:
        """The copy of a part, if there is one. This is no use of the object; see `touch`."""
        parts = self.objects.get(key)
        return parts.get(part) if parts else None

    def touch(self, key: int) -> None:
        """Record a use of the object."""
        if key in self.objects:
            self.objects.move_to_end(key)

    def add(self, copy: Copy, *, used_now: bool = True) -> list[Copy]:
        """Add a copy and return those that had to go, with the one that it replaces among them.

        Args:
            copy: What to add; may be among the evicted itself.
            used_now: False for a recovered copy, whose last use is not known.
        """
        replaced = self.find(copy.key, copy.part)
        removed = []
        if replaced is not None:
            self.remove(replaced)
            removed.append(replaced)
        if copy.key not in self.objects:
            self.objects[copy.key] = {}
            self.objects.move_to_end(copy.key, last=used_now)
        elif used_now:
            self.objects.move_to_end(copy.key)
        self.objects[copy.key][copy.part] = copy
        self.used += copy.size
        self.count += 1
        while self.used > self.capacity:
            parts = next(iter(self.objects.values()))
            tail = parts[max(parts)]
            self.remove(tail)
            removed.append(tail)
        return removed

    def remove(self, copy: Copy) -> bool:
        """Remove a copy; False where it is not in here."""
        parts = self.objects.get(copy.key)
        if parts is None or parts.get(copy.part) is not copy:
            return False
        del parts[copy.part]
        if not parts:
            del self.objects[copy.key]
        self.used -= copy.size
        self.count -= 1
        return True


class AdmissionPolicy(TailEviction):
    """What the disk tier stores, by the frequency of requests.

    Attributes:
        frequencies: Of stored objects.
        unstored_frequencies: Of all others.
    """

    def __init__(self, capacity: int, unstored_frequencies: FrequencyTable) -> None:
        super().__init__(capacity)
        self.unstored_frequencies = unstored_frequencies
        self.frequencies: dict[int, int] = {}

    def frequency(self, key: int) -> int:
        """How many parts of the object are worth storing."""
        return self.frequencies.get(key) or self.unstored_frequencies.get(key)

    def record_request(self, key: int, part: int) -> None:
        """Count a request: of any part it is a use of the object, of part 0 it raises the frequency."""
        self.touch(key)
        if part == 0:
            self._set_frequency(key, min(self.frequency(key) + 1, MAX_FREQUENCY))

    def admits(self, key: int, part: int, size: int) -> bool:
        """Whether a copy of so many bytes is worth storing."""
        frequency = self.frequency(key)
        return part < frequency and frequency >= MIN_REQUESTS and 0 < size <= self.capacity // 4

    def add(self, copy: Copy, *, used_now: bool = True) -> list[Copy]:
        """As TailEviction.add; the frequency of an object that lost its tail falls to what is left."""
        frequency = self.frequency(copy.key)
        removed = super().add(copy, used_now=used_now)
        if copy.key in self.objects:
            self.frequencies.setdefault(copy.key, max(frequency, 1))
        for other in removed:
            was_replaced = (other.key, other.part) == (copy.key, copy.part) and self.find(copy.key, copy.part) is copy
            if not was_replaced:
                self._lower_frequency(other)
        return removed

    def add_recovered(self, copy: Copy, frequency: int) -> list[Copy]:
        """Add what a start found on disk and return what goes instead: the copy itself where it is not accepted.

        Of two copies of a part the later created wins, then the later written. A copy of this run is never replaced
        and never evicted for one that was recovered.
        """
        present = self.find(copy.key, copy.part)
        if present is not None:
            present_wins = (present.created, present.serial) >= (copy.created, copy.serial)
            if present.age_verified or present_wins:
                return [copy]
        elif self.used + copy.size > self.capacity:
            return [copy]
        removed = self.add(copy, used_now=False)
        self._set_frequency(copy.key, max(self.frequency(copy.key), frequency, copy.part + 1))
        return removed

    def remove(self, copy: Copy) -> bool:
        """Remove a copy for another reason than capacity (purged, damaged, not written): its frequency stays."""
        frequency = self.frequencies.get(copy.key)
        removed = super().remove(copy)
        if removed and copy.key not in self.objects:
            self.frequencies.pop(copy.key, None)
            self.unstored_frequencies.put(copy.key, max(frequency or 1, 1))
        return removed

    def _set_frequency(self, key: int, frequency: int) -> None:
        if key in self.objects:
            self.frequencies[key] = frequency
        else:
            self.frequencies.pop(key, None)
            self.unstored_frequencies.put(key, frequency)

    def _lower_frequency(self, evicted: Copy) -> None:
        """To the parts that are left; at least 1, for the object was requested before."""
        frequency = min(self.frequency(evicted.key), max(evicted.part, 1))
        self.frequencies.pop(evicted.key, None)
        self._set_frequency(evicted.key, frequency)
