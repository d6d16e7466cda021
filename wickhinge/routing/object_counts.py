"""gLRU: for each object, the count of leading parts to keep in the caches.

After "Generalization of LRU Cache Replacement Policy with Applications to Video Streaming" (Friedlander and Aggarwal).
"""

from __future__ import annotations

from collections import OrderedDict

MAX_OBJECTS = 20000  # objects whose count is known
IDLE_HALVING_TIME_S = 10.0  # in which a count halves, at a zone's only router
FREQUENT_REQUEST_COUNT = 6.0  # recent requests, from which an object counts as frequently requested
MIDDLE_RANK_WORK_SHARE = 0.15  # of the work that is kept
LATER_PART_WEIGHT = 0.12  # of a request of part 0 at another router, for each later part seen here
FORGET_AFTER_HALVINGS = 4  # the count is a sixteenth by then
MAX_HALVINGS = 60.0
KEPT_WORK_DECAY = 0.999  # of the kept work, at each part that is kept


class ObjectCount:
    """One object: its count of leading parts to keep and its recent popularity."""

    __slots__ = ("key", "leading_parts", "frequency", "last_request", "work", "work_learned_at")

    def __init__(self, key: int, now: float) -> None:
        self.key = key
        self.leading_parts = 0.0
        self.frequency = 0.0
        self.last_request = now
        self.work = 0.0  # seconds to transfer one part; 0 before the first
        self.work_learned_at = now  # when it was, last


class ObjectCounts:
    """The counts of all objects that were requested lately; bounded."""

    def __init__(self, routers: int = 1, max_objects: int = MAX_OBJECTS) -> None:
        """Args: routers: how many the zone has; capacity: objects at the most."""
        self.routers = routers
        self.max_objects = max_objects
        self.halving_time = IDLE_HALVING_TIME_S * routers
        self.entries: OrderedDict[int, ObjectCount] = OrderedDict()  # least recently requested first
        self.kept_work = self.middle_rank_work = 0.0

    def record_request(self, key: int, part: int, now: float) -> ObjectCount:
        """Count a request: gLRU(1) raises the count by p at the p-th request, for each router of the zone."""
        entry = self.entries.pop(key) if key in self.entries else ObjectCount(key, now)
        self.entries[key] = entry
        self._forget_oldest(now)
        halvings = min((now - entry.last_request) / self.halving_time, MAX_HALVINGS)
        entry.leading_parts *= 0.5 ** int(halvings)
        entry.frequency, entry.last_request = entry.frequency * 0.5**halvings, now
        if part == 0:
            entry.frequency += 1
            entry.leading_parts += self.routers * round(entry.frequency)
        else:  # its part 0 was requested, but at another router
            entry.leading_parts += LATER_PART_WEIGHT * (self.routers - 1)
        return entry

    def _forget_oldest(self, now: float) -> None:
        oldest = next(iter(self.entries.values()))
        is_forgotten = now - oldest.last_request > FORGET_AFTER_HALVINGS * self.halving_time
        if len(self.entries) > self.max_objects or is_forgotten:
            del self.entries[oldest.key]

    def retention_rank(self, entry: ObjectCount, part: int, work: float) -> int:
        """Return 0 to pass the part unkept, 1 below the count, 2 where it is frequent and the middle rank has room."""
        if part >= entry.leading_parts:
            return 0
        self.kept_work = self.kept_work * KEPT_WORK_DECAY + work
        has_room = self.middle_rank_work + work <= MIDDLE_RANK_WORK_SHARE * self.kept_work
        is_middle = entry.frequency >= FREQUENT_REQUEST_COUNT and has_room
        self.middle_rank_work = self.middle_rank_work * KEPT_WORK_DECAY + work * is_middle
        return 1 + is_middle
