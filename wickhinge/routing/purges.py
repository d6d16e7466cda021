"""Purges in force, and the greatest age that a copy may have."""

from __future__ import annotations

from collections.abc import Callable


def as_told(instant: float, now: float) -> float:
    """Times that others name are times of our clock, unless the front knows better."""
    return instant


class Purges:
    def __init__(self, done: float) -> None:
        self.done = done + 2.0  # a parent may still be fetching an old copy when the others are done
        self.instant: Callable[[float, float], float] = as_told  # a time that others named, by our clock
        self.objects, self.groups = {}, {}
        # Of the time, in Unix seconds: the greatest age that any copy may have, where purges may be missing here.
        self.limit: Callable[[float], float | None] | None = None

    def told(self, key: int | None, group: int, made: float, now: float) -> None:
        book, name = (self.groups, group) if key is None else (self.objects, key)
        book[name] = max(made, book.get(name, made))
        if len(self.objects) > 500:
            self.objects = {
                name: when for name, when in self.objects.items() if now - self.instant(when, now) <= self.done
            }

    def oldest(self, key: int, group: int, now: float) -> float | None:
        """None where any copy does. Never 0, which would mean no limit at all."""
        made = self.instant(max(self.objects.get(key, -1e9), self.groups.get(group, -1e9)), now)
        known = max(now - made - 0.001, 0.001) if now - made <= self.done else None
        limit = self.limit(now) if self.limit is not None else None
        return min(known, limit) if known and limit else known or limit
