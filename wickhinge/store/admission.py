"""Admission and eviction by gLRU (section III-B of the paper), for a tier that observes its own evictions.

Each request for an object raises the object's frequency, which is the number of its parts that may be stored, and
makes the object the most recently used one. When the capacity is exceeded, the least recently used object loses its
tail part, and its frequency falls to the number of parts before that. Only the count of parts comes from the paper;
the minimum number of requests keeps out objects that are requested once, which would fill the tier with first parts.
"""

from __future__ import annotations

from collections import OrderedDict

from wickhinge.store.copies import Copy
from wickhinge.store.frequency import MAX_FREQUENCY, FrequencyTable

# Requests for part 0 after which the first part of an object may be stored.
MIN_REQUESTS_TO_STORE = 2


class TailEviction:
    """Copies of objects in LRU order; over the capacity, the least recently used object loses its tail part.

    Attributes:
        capacity_bytes: Upper bound on the size of all bodies.
        used_bytes: Size of the bodies of all present copies.
        copy_count: Number of present copies.
        objects: Copies by object key and part, the most recently used object last.
    """

    def __init__(self, capacity_bytes: int) -> None:
        self.capacity_bytes = capacity_bytes
        self.used_bytes = 0
        self.copy_count = 0
        self.objects: OrderedDict[int, dict[int, Copy]] = OrderedDict()

    def find(self, key: int, part: int) -> Copy | None:
        """Return the copy of a part, or None. The lookup does not count as a use of the object; see `touch`."""
        parts = self.objects.get(key)
        return parts.get(part) if parts else None

    def touch(self, key: int) -> None:
        """Make the object the most recently used one."""
        if key in self.objects:
            self.objects.move_to_end(key)

    def add(self, copy: Copy, *, used_now: bool = True) -> list[Copy]:
        """Add a copy and return the removed copies: the one that it replaces, and those evicted for space.

        Args:
            copy: The copy to add; may itself be among the evicted copies.
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
        self.used_bytes += copy.size
        self.copy_count += 1
        while self.used_bytes > self.capacity_bytes:
            parts = next(iter(self.objects.values()))
            tail = parts[max(parts)]
            self.remove(tail)
            removed.append(tail)
        return removed

    def remove(self, copy: Copy) -> bool:
        """Remove a copy; return False if it is not present."""
        parts = self.objects.get(copy.key)
        if parts is None or parts.get(copy.part) is not copy:
            return False
        del parts[copy.part]
        if not parts:
            del self.objects[copy.key]
        self.used_bytes -= copy.size
        self.copy_count -= 1
        return True


class AdmissionPolicy(TailEviction):
    """Index of the disk tier that admits copies by the request frequency of their objects.

    Attributes:
        stored_frequencies: Frequencies of objects that have a stored copy.
        unstored_frequencies: Frequencies of objects without a stored copy.
    """

    def __init__(self, capacity_bytes: int, unstored_frequencies: FrequencyTable) -> None:
        super().__init__(capacity_bytes)
        self.unstored_frequencies = unstored_frequencies
        self.stored_frequencies: dict[int, int] = {}

    def frequency(self, key: int) -> int:
        """Return the object's frequency, which is the number of its parts that are worth storing."""
        return self.stored_frequencies.get(key) or self.unstored_frequencies.get(key)

    def record_request(self, key: int, part: int) -> None:
        """Record a request: any part marks the object as used, and part 0 also raises its frequency."""
        self.touch(key)
        if part == 0:
            self._set_frequency(key, min(self.frequency(key) + 1, MAX_FREQUENCY))

    def admits(self, key: int, part: int, size: int) -> bool:
        """Return whether a copy with a body of `size` bytes is worth storing; one over a quarter of the tier is not."""
        frequency = self.frequency(key)
        return part < frequency and frequency >= MIN_REQUESTS_TO_STORE and 0 < size <= self.capacity_bytes // 4

    def add(self, copy: Copy, *, used_now: bool = True) -> list[Copy]:
        """Add a copy as TailEviction.add does; an evicted copy lowers the frequency of its object."""
        frequency = self.frequency(copy.key)
        removed = super().add(copy, used_now=used_now)
        if copy.key in self.objects:
            self.stored_frequencies.setdefault(copy.key, max(frequency, 1))
        for other in removed:
            was_replaced = (other.key, other.part) == (copy.key, copy.part) and self.find(copy.key, copy.part) is copy
            if not was_replaced:
                self._lower_frequency(other)
        return removed

    def add_recovered(self, copy: Copy, frequency: int) -> list[Copy]:
        """Add a copy that recovery found on disk; return the copies removed, or `copy` itself if it is not accepted.

        Of two copies of a part the one created later wins, and of equally old ones the one written later. A copy
        stored since the start is never replaced by a recovered copy or evicted for it.
        """
        present = self.find(copy.key, copy.part)
        if present is not None:
            present_wins = (present.created, present.serial) >= (copy.created, copy.serial)
            if present.age_verified or present_wins:
                return [copy]
        elif self.used_bytes + copy.size > self.capacity_bytes:
            return [copy]
        removed = self.add(copy, used_now=False)
        self._set_frequency(copy.key, max(self.frequency(copy.key), frequency, copy.part + 1))
        return removed

    def remove(self, copy: Copy) -> bool:
        """Remove a copy that is purged, damaged or not written; the frequency of its object stays."""
        frequency = self.stored_frequencies.get(copy.key)
        removed = super().remove(copy)
        if removed and copy.key not in self.objects:
            self.stored_frequencies.pop(copy.key, None)
            self.unstored_frequencies.put(copy.key, max(frequency or 1, 1))
        return removed

    def _set_frequency(self, key: int, frequency: int) -> None:
        if key in self.objects:
            self.stored_frequencies[key] = frequency
        else:
            self.stored_frequencies.pop(key, None)
            self.unstored_frequencies.put(key, frequency)

    def _lower_frequency(self, evicted: Copy) -> None:
        """Lower the frequency of the evicted copy's object to the number of parts before it.

        The frequency stays at least 1, since the object was requested before.
        """
        frequency = min(self.frequency(evicted.key), max(evicted.part, 1))
        self.stored_frequencies.pop(evicted.key, None)
        self._set_frequency(evicted.key, frequency)
