"""gLRU: for each object, the count of leading parts to keep in the caches.

The policy is that of "Generalization of LRU Cache Replacement Policy with Applications to Video Streaming" (Friedlander
and Aggarwal).
"""

from __future__ import annotations

from collections import OrderedDict

# Number of objects whose counts are kept.
MAX_OBJECTS = 20000
# Time without a request in which an object's count halves, in seconds, for a zone with one router.
IDLE_HALVING_TIME_S = 10.0
# Frequency from which an object counts as frequently requested. The frequency is the number of requests of part 0,
# halved for each halving time that has passed since.
FREQUENT_REQUEST_COUNT = 6.0
# Largest share of the kept work that may have the middle retention rank.
MIDDLE_RANK_WORK_SHARE = 0.15
# Increase of the count at a request of a later part, for each other router of the zone. The request of part 0 went to
# one of those routers.
LATER_PART_WEIGHT = 0.12
# An object is forgotten when its count has been halved this many times, to a sixteenth.
FORGET_AFTER_HALVINGS = 4
# Upper bound of the number of halvings that are computed.
MAX_HALVINGS = 60.0
# Factor by which the sums of kept work decay at each part that is kept.
KEPT_WORK_DECAY = 0.999


class ObjectCount:
    """One object: the count of its leading parts to keep, and its recent popularity.

    Attributes:
        key: The object's key.
        leading_parts: Number of leading parts that caches should keep.
        frequency: Number of requests of part 0, with older requests counting less.
        last_request: Time of the latest request.
        work: Seconds of transfer of one part; 0 before the first measured hit.
        work_learned_at: Time of the latest hit that `work` was learned from.
    """

    __slots__ = ("key", "leading_parts", "frequency", "last_request", "work", "work_learned_at")

    def __init__(self, key: int, now: float) -> None:
        self.key = key
        self.leading_parts = 0.0
        self.frequency = 0.0
        self.last_request = now
        self.work = 0.0
        self.work_learned_at = now


class ObjectCounts:
    """The counts of the most recently requested objects, up to a fixed number."""

    def __init__(self, routers: int = 1, max_objects: int = MAX_OBJECTS) -> None:
        """Create an empty table.

        Args:
            routers: Number of routers in the zone.
            max_objects: Number of objects whose counts are kept.
        """
        self.routers = routers
        self.max_objects = max_objects
        self.halving_time = IDLE_HALVING_TIME_S * routers
        self.entries: OrderedDict[int, ObjectCount] = OrderedDict()  # The least recently requested object is first.
        self.kept_work = self.middle_rank_work = 0.0

    def record_request(self, key: int, part: int, now: float) -> ObjectCount:
        """Count a request of an object's part, and return the object's entry.

        gLRU(1) raises the count by p at the p-th request. The increase is multiplied by the number of routers in the
        zone, because each router sees only its own requests.
        """
        entry = self.entries.pop(key) if key in self.entries else ObjectCount(key, now)
        self.entries[key] = entry
        self._forget_oldest(now)
        halvings = min((now - entry.last_request) / self.halving_time, MAX_HALVINGS)
        entry.leading_parts *= 0.5 ** int(halvings)
        entry.frequency, entry.last_request = entry.frequency * 0.5**halvings, now
        if part == 0:
            entry.frequency += 1
            entry.leading_parts += self.routers * round(entry.frequency)
        else:
            # The client's request of part 0 was probably counted by another router of the zone.
            entry.leading_parts += LATER_PART_WEIGHT * (self.routers - 1)
        return entry

    def _forget_oldest(self, now: float) -> None:
        oldest = next(iter(self.entries.values()))
        is_forgotten = now - oldest.last_request > FORGET_AFTER_HALVINGS * self.halving_time
        if len(self.entries) > self.max_objects or is_forgotten:
            del self.entries[oldest.key]

    def forget_all_but(self, count: int) -> None:
        """Forget the least recently requested objects until `count` are left."""
        while len(self.entries) > count:
            self.entries.popitem(last=False)

    def retention_rank(self, entry: ObjectCount, part: int, work: float) -> int:
        """Return the retention rank of a part's copy.

        Rank 0 means that the copy is not kept, because the part is not below the count. Rank 1 means that it is kept.
        Rank 2, the middle rank, is for frequently requested objects while the rank holds less than its share of work.
        """
        if part >= entry.leading_parts:
            return 0
        self.kept_work = self.kept_work * KEPT_WORK_DECAY + work
        has_room = self.middle_rank_work + work <= MIDDLE_RANK_WORK_SHARE * self.kept_work
        is_middle = entry.frequency >= FREQUENT_REQUEST_COUNT and has_room
        self.middle_rank_work = self.middle_rank_work * KEPT_WORK_DECAY + work * is_middle
        return 1 + is_middle
