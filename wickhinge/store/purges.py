"""Purges that last: what of the tier is older than a purge, for as long as such a copy may be on disk."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

MOST = 100_000  # purges remembered one by one; past it the older half becomes one for everything
YOUNG = 60.0  # seconds; a copy that was being fetched may still come in


class Purge(NamedTuple):
    """key: an object, or None for a group, or for everything where group is -1. stamp in seconds; segment: the
    newest when it was told; number: the journal's.
    """

    key: int | None
    group: int
    stamp: float
    segment: int
    number: int


class Purged:
    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self.objects: dict[int, Purge] = {}
        self.groups: dict[int, Purge] = {}
        self.all: Purge | None = None
        self.number = 0  # of the last event that this knows of

    def told(self, purge: Purge) -> None:
        self.number = max(self.number, purge.number)
        if purge.key is None and purge.group < 0:
            if self.all is None or purge.stamp > self.all.stamp:
                self.all = purge
            return
        book, name = (self.groups, purge.group) if purge.key is None else (self.objects, purge.key)
        old = book.get(name)
        if old is None or purge.stamp >= old.stamp:
            book[name] = purge
        else:
            book[name] = old._replace(segment=max(old.segment, purge.segment))
        if len(self.objects) + len(self.groups) > self.most:
            self.merge()

    def merge(self) -> None:
        """Bounded at the cost of copies: the older half counts for everything made before its youngest."""
        every = sorted((*self.objects.values(), *self.groups.values()), key=lambda purge: purge.stamp)
        for purge in every[: len(every) // 2]:
            (self.objects if purge.key is not None else self.groups).pop(
                purge.key if purge.key is not None else purge.group, None
            )
        last = every[len(every) // 2 - 1]
        self.told(Purge(None, -1, last.stamp, max(p.segment for p in every), 0))

    def covers(self, key: int, group: int, made: float) -> bool:
        """Whether a copy made then is older than a purge of it. A copy of the same millisecond is."""
        purge = self.objects.get(key)
        if purge is not None and made <= purge.stamp:
            return True
        purge = self.groups.get(group)
        if purge is not None and made <= purge.stamp:
            return True
        return self.all is not None and made <= self.all.stamp

    def forget(self, oldest: int, now: float) -> int:
        """Drops purges told when no segment that is still there had been begun: how many went."""
        before = len(self.objects) + len(self.groups)
        for book in (self.objects, self.groups):
            for name in [name for name, purge in book.items() if purge.segment < oldest and now - purge.stamp > YOUNG]:
                del book[name]
        return before - len(self.objects) - len(self.groups)

    def __iter__(self) -> Iterator[Purge]:
        if self.all is not None:
            yield self.all
        yield from self.objects.values()
        yield from self.groups.values()

    def __len__(self) -> int:
        return len(self.objects) + len(self.groups) + (self.all is not None)
