"""Which list is in force, and what the fleet is told of it. Deciding: no I/O, every call carries the time."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wickhinge.membership import comparison, list_exchange, stored_list
from wickhinge.membership.probation import Proving, Stage
from wickhinge.membership.purge_gap import Gap
from wickhinge.membership.statement_table import LIVE, REMEMBERED, SIBLING, STATIC, Book, Statement

NONE = "none"


class Members:
    """tell([(statement, state, trusted)]) lists machines for the fleet; probe(statement) asks one; log(event, ...)."""

    def __init__(
        self,
        tell: Callable[..., None],
        probe: Callable[[Statement], None],
        log: Callable[..., None],
        chance: Any,
        deployment: str,
        routers: int,
        upper: tuple[str | None, ...],
        after: float,
        hint: float,
        untold: float,
        quiet: float,
        done: float,
    ) -> None:
        self.tell, self.probe, self.log, self.deployment = tell, probe, log, deployment
        self.after, self.done, self.quiet = after, done, quiet
        self.book = Book()
        self.proving = Proving(chance, routers, hint, upper)
        self.gap = Gap(untold, quiet)
        self.memory: stored_list.Memory | None = None
        self.static: list[Statement] = []
        self.began = 0.0
        self.source, self.since, self.why = NONE, 0.0, "started"
        self.heard, self.number = 0.0, 0  # of the live service, in this run
        self.whole = False  # it has told a whole list in this run
        self.answered: dict[int, float] = {}  # when a machine last answered this router
        self.purges: dict[tuple[int | None, int], float] = {}
        self.usual = (0.0, 0.0)
        self.tried: set[int] = set()  # what the fleet was told of without the live list
        self.told_purge: Callable[[int | None, int, float], None] = lambda *_: None

    # At the start.

    def start(self, memory: stored_list.Memory | None, static: list[Statement], now: float) -> None:
        """What was kept, or None; what the settings name. Nothing is used yet: the live list may come."""
        self.began = self.since = now
        self.memory, self.static = memory, static
        if memory is not None and memory.deployment != self.deployment:
            self.log("list_unusable", why="it is the list of another deployment")
            self.memory = None
        if self.memory is not None:
            self.gap.remembered(self.memory.heard)
            for mark, when in self.memory.gone:
                if mark not in self.book.machines:
                    self.book.gone[mark] = when
            for key, group, stamp in self.memory.purges:
                self.purges[key, group] = stamp
                self.told_purge(key, group, stamp)

    def age(self, now: float) -> float | None:
        """Of the remembered list, since the live service last vouched for it; None where that can't be known."""
        if self.memory is None or not 0.0 < self.memory.heard <= now + 5.0 or self.memory.written > now + 5.0:
            return None
        return now - self.memory.heard

    def tick(self, now: float) -> None:
        """Several times a second."""
        if self.source == NONE and now - self.began >= self.after and not self.whole:
            self.fall_back(now)
        for one in self.proving.due(now) if self.source != LIVE else ():
            self.probe(one)

    def fall_back(self, now: float) -> None:
        if self.memory is not None:
            self.adopt([stored_list.statement(row) for row in self.memory.machines], REMEMBERED, self.age(now), now)
        elif self.static:
            self.adopt(self.static, STATIC, None, now)

    def adopt(self, statements: list[Statement], source: str, age: float | None, now: float) -> None:
        """A list that is not the live one: into the book, then proven machine by machine."""
        before = dict(self.book.machines)
        for one in statements:
            self.book.merge(one)
        self.proving.adopt(list(self.book.machines.values()), age, now)
        self.force(source, now, "no live list", age)
        for mark, old in before.items():  # what left, or drains, by this source: at once
            new = self.book.machines.get(mark)
            if new is None or new.state != "ready" or new.address != old.address:
                self.tell([(new or old._replace(state="gone"), new.state if new else "gone", False)])

    def force(self, source: str, now: float, why: str, age: float | None = None) -> None:
        if source == self.source and source != LIVE:
            return
        was, self.source, self.since, self.why = self.source, source, now, why
        self.log(
            "list_source",
            source=source,
            was=was,
            why=why,
            machines=len(self.book.machines),
            age=None if age is None else round(age, 1),
            heard=self.heard or None,
        )

    # The live service.

    def live(self, whole: bool, statements: list[Statement], now: float) -> None:
        """What it tells; the fleet has heeded it already, all of it trusted."""
        if whole:
            told = comparison.compare(self.book.machines.values(), statements)
            if self.book.machines and self.source != LIVE or told["doubts"]:
                self.log(
                    "list_compared",
                    doubts=told["doubts"],
                    **{name: len(marks) for name, marks in told.items() if name != "doubts"},
                )
            for mark in self.book.whole(statements, now):
                self.answered.pop(mark, None)
            self.proving.machines.clear()
            self.tried.clear()
            self.whole = True
            if self.source != LIVE:
                self.force(LIVE, now, "told whole")
            return
        for one in statements:
            self.book.merge(one)
            self.proving.drop(one.mark)

    def caught_up(self, now: float, number: int, unbroken: bool) -> None:
        """It has nothing more to tell for now. unbroken: it went on from the number that was remembered, so the
        remembered list and its changes are the live list.
        """
        self.heard, self.number = now, number
        if unbroken and not self.whole and self.memory is not None:
            for row in self.memory.machines:
                self.book.merge(stored_list.statement(row))
            self.whole = True
            self.proving.machines.clear()
            self.tell([(one, one.state, True) for one in self.book.machines.values()])
            self.force(LIVE, now, "remembered, and caught up")
        if self.whole:
            self.gap.closed(now)

    # Siblings.

    def sibling(self, told: list_exchange.Told, now: float) -> bool:
        """A sibling's word; False where it is no use. draining and gone count at once, whatever its age."""
        if told.deployment != self.deployment:
            self.log("sibling_unusable", why="it is of another deployment")
            return False
        if self.source == LIVE and now - self.heard <= self.quiet:
            return False
        for mark in told.gone:
            old = self.book.machines.get(mark)
            if old is not None and self.book.leave(mark, now):
                self.proving.drop(mark)
                self.tell([(old._replace(state="gone"), "gone", False)])
        for key, group, stamp in told.purges:
            if stamp > self.purges.get((key, group), 0.0):
                self.purge(key, group, stamp, now)
                self.told_purge(key, group, stamp)
        rows = [stored_list.statement(row, SIBLING)._replace(said=now - max(row.said, 0.0)) for row in told.machines]
        if self.source == LIVE:  # lost: only what takes machines out is heeded
            for one in rows:
                if one.state == "draining" and self.book.merge(one):
                    self.tell([(one, "draining", False)])
            return True
        age = told.heard if told.heard >= 0 else None
        ours = self.age(now) if self.source == REMEMBERED else None
        if ours is not None and (age is None or age > ours):
            rows = [one for one in rows if one.state != "ready"]
            age = ours
        self.adopt(rows, SIBLING if rows else self.source, age, now)
        return True

    def telling(self, now: float) -> list_exchange.Told:
        """What siblings are told, ages in place of times."""
        heard = now - self.heard if self.heard else -1.0
        if not self.heard and self.memory is not None and (age := self.age(now)) is not None:
            heard = age
        rows = [stored_list.row(one._replace(said=max(now - one.said, 0.0))) for one in self.book.machines.values()]
        return list_exchange.Told(
            self.deployment,
            heard,
            self.number,
            rows,
            list(self.book.gone)[-1000:],
            [(key, group, stamp) for (key, group), stamp in self.purges.items()],
        )

    # What becomes of probes and visits.

    def probed(self, mark: int, up: bool, now: float) -> None:
        if up:
            self.answered[mark] = now
        if self.proving.probed(mark, up, now):
            self.relist(mark)

    def ended(self, mark: int, answered: bool, now: float) -> None:
        """A rerunnable visit there ended; one that was only withdrawn or never sent tells nothing and is not told."""
        if answered:
            self.answered[mark] = now
        if self.source != LIVE and self.proving.ended(mark, answered, now):
            self.relist(mark)

    def relist(self, mark: int) -> None:
        one = self.book.machines.get(mark)
        if one is None:
            return
        state, trusted = self.proving.listed(mark)
        if trusted and mark not in self.tried:
            self.tell([(one, state, False)])  # however soon it was proven, it begins as one that may be cold
        self.tried.add(mark)
        self.tell([(one, state, trusted)])
        stage = self.proving.machines[mark].stage
        if stage in (Stage.PROVEN, Stage.DROPPED):
            self.log("machine", cache=f"{mark:08x}", stage=stage.value, source=one.source)

    def knows(self, mark: int) -> bool:
        """Whether connections to it are still wanted, though the fleet may not know it (yet)."""
        return mark in self.proving.machines

    def purge(self, key: int | None, group: int, stamp: float, now: float) -> None:
        self.purges[key, group] = max(stamp, self.purges.get((key, group), 0.0))
        if len(self.purges) > stored_list.PURGES // 2:
            self.purges = {name: when for name, when in self.purges.items() if now - when <= self.done}
            while len(self.purges) > stored_list.PURGES:
                del self.purges[next(iter(self.purges))]

    # For the file and for whoever asks.

    def remember(self, now: float) -> stored_list.Memory | None:
        """What is worth keeping now; None while there is nothing better than what is kept already."""
        if not self.whole:
            return None
        purges = [(key, group, stamp) for (key, group), stamp in self.purges.items() if now - stamp <= self.done]
        rows = [
            stored_list.row(one, self.stage(one.mark), self.answered.get(one.mark, 0.0))
            for one in self.book.machines.values()
        ]
        gone = list(self.book.gone.items())[-2000:]
        return stored_list.Memory(self.deployment, now, self.heard, self.number, rows, gone, purges, self.usual)

    def stage(self, mark: int) -> str:
        one = self.proving.machines.get(mark)
        return one.stage.value if one is not None else "vouched" if self.source == LIVE else "unknown"

    def figures(self, now: float) -> dict[str, Any]:
        return {
            "source": self.source,
            "since": round(now - self.since, 1),
            "why": self.why,
            "machines": len(self.book.machines),
            "gone": len(self.book.gone),
            "probes": self.proving.probes,
            "heard": round(now - self.heard, 1) if self.heard else None,
            **self.proving.counts(),
        }
