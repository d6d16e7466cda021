"""gLRU: for each object, the count of leading parts to keep."""

from __future__ import annotations

from collections import OrderedDict

SHELF_SIZE = 20000  # objects whose k is known
IDLE = 10.0  # seconds in which k halves, at a location's only router
OFTEN = 6.0  # requests lately, from which an object is asked for often
MIDDLE = 0.15  # share of the work kept that goes to rank 2
LATER = 0.12  # of a visit of part 0 at another router, for each later part seen here


class ObjectCount:
    __slots__ = ("key", "k", "heat", "last", "work")

    def __init__(self, key: int, now: float) -> None:
        self.key, self.k, self.heat, self.last, self.work = key, 0, 0.0, now, 0.0  # work: 0 before the first


class ObjectCounts:  # the count k of leading parts to keep, for each object
    def __init__(self, routers: int = 1, size: int = SHELF_SIZE) -> None:
        self.routers, self.size, self.idle = routers, size, IDLE * routers
        self.items: OrderedDict[int, ObjectCount] = OrderedDict()  # the least lately asked first, found at once
        self.kept = self.kept_middle = 0.0

    def visit(self, key: int, part: int, now: float) -> ObjectCount:
        """K rises by p at the p-th request, gLRU(1), times the routers for which a visit seen here stands."""
        item = self.items[key] = self.items.pop(key, None) or ObjectCount(key, now)
        first = next(iter(self.items.values()))
        if len(self.items) > self.size or now - first.last > 4 * self.idle:  # k is a sixteenth by then
            del self.items[first.key]
        rests = min((now - item.last) / self.idle, 60.0)
        item.k *= 0.5 ** int(rests)
        item.heat, item.last = item.heat * 0.5**rests, now
        if part == 0:
            item.heat += 1
            item.k += self.routers * round(item.heat)
        else:  # its part 0 was asked for, but at another router
            item.k += LATER * (self.routers - 1)
        return item

    def rank(self, item: ObjectCount, part: int, work: float) -> int:
        """0 to pass unkept, 1 for parts below k, 2 for those asked often while the middle share lasts."""
        if part >= item.k:
            return 0
        self.kept = self.kept * 0.999 + work
        middle = item.heat >= OFTEN and self.kept_middle + work <= MIDDLE * self.kept
        self.kept_middle = self.kept_middle * 0.999 + work * middle
        return 1 + middle
