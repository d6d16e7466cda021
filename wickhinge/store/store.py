"""The tier as the router sees it: everything here runs in the reactor's thread and returns at once."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from itertools import islice
from typing import Any

from wickhinge.store.breaker import Breaker
from wickhinge.store.counts import Counts
from wickhinge.store.keep import Copy, Keep, Tails
from wickhinge.store.pace import Pace
from wickhinge.store.purged import Purge
from wickhinge.store.space import Space
from wickhinge.store.volume import Damaged, Unusable, Volume

FILL = 0.75  # of the room on disk that copies may take; the rest lets segments die before they are written anew
TURN = 1.0  # seconds between two looks at what is due
MOVES = 16  # copies of a segment being recycled that are under way at once
SWEEP = 2000  # objects looked at a turn for what was purged
PENDING = 100_000  # purges that wait for a disk that fails; past it the disk keeps nothing from before
PURGES = 2000  # in one write


class Store:
    """Copies by object and part. `find` says what there is, `decide` whether it answers; `read` brings its bytes.

    Times are Unix seconds. now is the clock, after(delay, call) a timer, workers a `Workers` or a test's stand-in.
    """

    def __init__(
        self,
        volume: Volume,
        workers: Any,
        now: Callable[[], float],
        after: Callable[..., None],
        log: Callable[..., None],
        size: int,
        segment: int,
        memory: int,
        objects: int,
        waiting: int,
        write_rate: float,
        read_within: float,
        reads_at_once: int,
        snapshot_every: float,
        quiet: float,
        continues: bool,
    ) -> None:
        self.volume, self.workers, self.now, self.after, self.log = volume, workers, now, after, log
        self.keep = Keep(int(FILL * (size - 2 * segment)), Counts(objects))
        self.memory = Tails(memory)
        self.bodies: dict[Copy, bytes] = {}  # of the memory tier
        self.space = Space(size, segment)
        self.pace = Pace(waiting, write_rate)
        self.breaker = Breaker(read_within)
        self.purged = volume.purged
        self.reads_at_once, self.snapshot_every, self.quiet, self.continues = (
            reads_at_once,
            snapshot_every,
            quiet,
            continues,
        )
        self.reads = self.serial = self.moves = 0
        self.heard = 0.0  # when the journal last said that there is nothing more
        self.trusted = False  # copies of an earlier start count as proven
        self.on = self.recovering = self.closed = False
        self.moving: deque[tuple[Copy, tuple[int, int, int]]] = deque()
        self.unlogged: deque[Purge] = deque()
        self.logging = self.snapping = False
        self.snapped = 0.0
        self.swept: list[int] = []
        self.counted = dict.fromkeys(
            (
                "found",
                "read",
                "memory",
                "kept",
                "unwanted",
                "refused",
                "damaged",
                "errors",
                "evicted",
                "purged",
                "renewed",
                "moved",
                "recycled",
                "recovered",
            ),
            0,
        )

    def start(self) -> None:
        """Takes the directory and begins to recover; copies are found as the recovery goes on. Raises Unusable."""
        self.volume.open()
        self.purged = self.volume.purged
        self.on = self.recovering = True
        for number, size in self.volume.sizes.items():
            self.space.add(number, size, True)
        if self.volume.distrusted:
            self.log("store_distrusted", dir=self.volume.path)
        began = self.now()
        self.snapped = began
        self.workers.each("slow", self.recover, self.recovered, lambda _, problem: self.whole(problem, began))
        self.after(TURN, self.turn)

    def recover(self, hand: Callable[[Any], None]) -> None:
        """On a worker."""
        for batch in self.volume.recover(lambda serial, counts: hand((serial, counts))):
            hand(batch)

    def recovered(self, part: Any) -> None:
        if isinstance(part, tuple):
            serial, counts = part
            self.serial = max(self.serial, serial)
            if counts and not self.keep.objects:
                self.keep.counts.load(counts)
            return
        for _key, k, copies in part:
            for copy in sorted(copies, key=lambda copy: copy.part):
                self.space.alive(copy.place)
                if self.purged.covers(copy.key, copy.group, copy.made):
                    self.space.dead(copy.place)
                    self.counted["purged"] += 1
                    continue
                self.counted["recovered"] += 1
                for gone in self.keep.recovered(copy, k):
                    self.dispose(gone)

    def whole(self, problem: BaseException | None, began: float) -> None:
        self.recovering = False
        if problem is not None:
            self.counted["errors"] += 1
        self.log(
            "store_recovered",
            copies=self.keep.count,
            bytes=self.keep.used,
            purges=len(self.purged),
            took=round(self.now() - began, 3),
            problem=None if problem is None else str(problem),
        )
        self.tidy(self.now())

    # What the visits ask.

    def record_request(self, key: int, part: int) -> None:
        self.keep.visit(key, part)

    def find(self, key: int, part: int, now: float) -> Copy | None:
        copy = self.keep.find(key, part)
        if copy is None or not self.on:
            return None
        if self.purged.covers(copy.key, copy.group, copy.made):
            self.counted["purged"] += 1
            self.lose(copy)
            return None
        self.counted["found"] += 1
        self.memory.touch(key)
        return copy

    def is_current(self, copy: Copy, now: float) -> bool:
        """Whether its age is known: of this run, or caught up with. Nothing is while purges may be untold."""
        return (copy.proven or self.trusted) and -1.0 <= now - self.heard <= self.quiet and self.is_valid(copy, now)

    def is_valid(self, copy: Copy, now: float) -> bool:
        """Whether it is not older than a purge that was told meanwhile."""
        return self.on and not self.purged.covers(copy.key, copy.group, copy.made)

    def renewed(self, copy: Copy, made: float) -> None:
        """Upstream has the same bytes, given out by the origin then."""
        if self.purged.covers(copy.key, copy.group, made):
            return
        copy.made, copy.proven = max(made, copy.made), True
        self.counted["renewed"] += 1

    def read(self, copy: Copy, then: Callable[[bytes | None, bool], None]) -> None:
        """then(bytes, whether from memory), or then(None, False) where they can't be had; maybe at once."""
        data = copy.body or self.bodies.get(copy)
        if data is not None:
            self.counted["memory"] += 1
            then(data, True)
            return
        place = copy.place
        if place is None or self.reads >= self.reads_at_once or not self.breaker.allows(self.now()):
            then(None, False)
            return
        self.reads += 1
        self.space.pin(place[0])
        began = self.now()
        self.workers.run(
            "read",
            lambda: self.volume.read(place, copy.key, copy.part),
            lambda data, problem: self.came(copy, place, began, data, problem, then),
        )

    def came(
        self,
        copy: Copy,
        place: tuple[int, int, int],
        began: float,
        data: bytes | None,
        problem: BaseException | None,
        then: Callable[[bytes | None, bool], None],
    ) -> None:
        self.reads -= 1
        self.space.unpin(place[0])
        now = self.now()
        damaged = isinstance(problem, Damaged)
        self.breaker_ended(problem is None or damaged, now - began, now)
        if damaged:
            self.counted["damaged"] += 1
            self.log("store_damaged", what=str(problem))
            if copy.place == place:
                self.lose(copy)
        elif problem is not None:
            self.counted["errors"] += 1
        else:
            self.counted["read"] += 1
            self.remember(copy, data)
        then(data, False)

    def wants(self, key: int, part: int, group: int, tag: bytes, made: float, size: int, now: float) -> bool:
        """Whether a copy that passes is to be kept; what `take` then is given."""
        if not self.on or not 0 < len(tag) <= 64 or self.purged.covers(key, group, made):
            return False
        old = self.keep.find(key, part)
        if old is not None and old.made >= made:
            return False
        if old is not None and old.tag == tag and old.size == size and old.group == group:
            self.renewed(old, made)  # the same bytes are there already
            return False
        if not self.keep.wants(key, part, size):
            self.counted["unwanted"] += 1
            if old is not None:
                self.lose(old)
            return False
        if self.space.full() or not self.pace.take(size, now):
            refused = True
        elif refused := not self.breaker.allows(now):  # asked last: a trial that is granted must be made
            self.pace.done(size)
        if refused:
            self.counted["refused"] += 1
            if old is not None:
                self.lose(old)
            return False
        return True

    def take(self, key: int, part: int, group: int, tag: bytes, made: float, body: bytes) -> None:
        """Only after `wants`, which has counted its size among what waits."""
        self.serial += 1
        copy = Copy(key, part, group, tag, made, len(body), self.serial)
        copy.body = body
        self.counted["kept"] += 1
        for gone in self.keep.put(copy):
            self.dispose(gone)
        self.workers.run(
            "write",
            lambda: self.volume.append(copy, body),
            lambda place, problem: self.wrote(copy, body, place, problem),
        )

    def wrote(self, copy: Copy, body: bytes, place: tuple[int, int, int] | None, problem: BaseException | None) -> None:
        self.pace.done(len(body))
        copy.body = None
        now = self.now()
        if problem is not None:
            self.breaker_ended(False, 0.0, now)
            self.counted["errors"] += 1
            self.log("store_error", what="write", why=str(problem))
            self.lose(copy)
            return
        self.breaker_ended(True, 0.0, now)  # a write waits for those before it: its time tells of the queue
        self.space.wrote(place)
        copy.place = place
        if self.keep.find(copy.key, copy.part) is copy:
            self.space.alive(place)
            self.remember(copy, body)

    def remember(self, copy: Copy, body: bytes) -> None:
        if copy.size <= self.memory.room // 4 and self.keep.find(copy.key, copy.part) is copy:
            for gone in self.memory.put(copy):
                self.bodies.pop(gone, None)
            if self.memory.find(copy.key, copy.part) is copy:
                self.bodies[copy] = body

    def lose(self, copy: Copy) -> None:
        if self.keep.drop(copy):
            self.dispose(copy, False)

    def dispose(self, copy: Copy, evicted: bool = True) -> None:
        """It has left the tier, or was never let in."""
        self.counted["evicted"] += evicted
        if self.memory.drop(copy):
            del self.bodies[copy]
        if copy.place is not None:
            self.space.dead(copy.place)

    def breaker_ended(self, ok: bool, took: float, now: float) -> None:
        was = self.breaker.open
        self.breaker.ended(ok, took, now)
        if self.breaker.open != was:
            self.log("store_bypassed" if self.breaker.open else "store_back", rest=self.breaker.rest)

    # Purges.

    def purge(self, key: int | None, group: int, stamp: float, number: int) -> None:
        """In force at once; on disk soon after, and only then is its number known there."""
        purge = Purge(key, group, stamp, max(self.volume.last, 1), number if self.continues else 0)
        self.purged.told(purge)
        self.unlogged.append(purge)
        if len(self.unlogged) > PENDING:
            self.purged.merge()  # anew, since some of the old ones may be being put down; in the journal's order
            self.unlogged = deque(sorted(self.purged, key=lambda purge: purge.number))
        self.put_down()

    def put_down(self) -> None:
        if self.logging or not self.unlogged or not self.on:
            return
        waiting = self.unlogged
        batch = list(islice(waiting, PURGES))
        self.logging = True

        def then(_: Any, problem: BaseException | None) -> None:
            self.logging = False
            if problem is None:
                for _ in batch:
                    waiting.popleft()
                self.put_down()
            else:
                self.counted["errors"] += 1
                self.log("store_error", what="purge log", why=str(problem))

        self.workers.run("log", lambda: self.volume.purge(batch), then)

    def caught_up(self, now: float, whole: bool) -> None:
        """The journal has nothing more to tell for now. whole: it has told all since the number that the purge
        log had at the start, in the service's own unbroken count.
        """
        self.heard = now
        if whole and self.continues and not self.trusted:
            self.trusted = True
            self.log("store_trusted", number=self.purged.number)

    # What is due now and then.

    def turn(self) -> None:
        if self.closed:
            return
        self.after(TURN, self.turn)
        self.put_down()
        self.sweep()
        if not self.recovering:
            self.tidy(self.now())

    def tidy(self, now: float) -> None:
        """Also right after a start: one that is restarted every second would never win its room back."""
        for number in self.space.idle():
            self.recycle(number)
        victim = self.space.victim()
        if victim is not None:
            self.clean(victim)
        self.move()
        if now - self.snapped >= self.snapshot_every or now < self.snapped:
            self.snapshot(now)

    def sweep(self) -> None:
        """Purged copies are found out when they are asked for; the others by and by."""
        if not self.swept and len(self.purged):
            self.swept = list(self.keep.objects)
        for key in self.swept[-SWEEP:]:
            for copy in list(self.keep.objects.get(key, {}).values()):
                if self.purged.covers(copy.key, copy.group, copy.made):
                    self.counted["purged"] += 1
                    self.lose(copy)
        del self.swept[-SWEEP:]

    def recycle(self, number: int) -> None:
        self.counted["recycled"] += 1
        self.space.drop(number)
        self.workers.run("write", lambda: self.volume.drop(number), self.dropped)
        oldest = min(self.space.segments, default=self.volume.last)
        if self.purged.forget(oldest, self.now()) and self.volume.long(len(self.purged)) and not self.logging:
            kept, known = list(self.purged), self.purged.number
            self.logging = True
            self.workers.run("log", lambda: self.volume.rewrite(kept, known), self.rewritten)

    def rewritten(self, _: Any, problem: BaseException | None) -> None:
        self.logging = False
        if problem is not None:  # the log's files are not open any more: nothing can be put down
            self.counted["errors"] += 1
            self.off(f"purge log: {problem}")

    def dropped(self, _: Any, problem: BaseException | None) -> None:
        if problem is not None:
            self.counted["errors"] += 1
            self.log("store_error", what="recycle", why=str(problem))

    def clean(self, number: int) -> None:
        """Its live copies are written anew at the front, then it is idle."""
        self.space.cleaning = number
        self.space.pin(number)

        def then(found: Any, problem: BaseException | None) -> None:
            self.space.unpin(number)
            if problem is not None:
                self.counted["errors"] += 1
                self.space.cleaning = None
                return
            for key, part, place in found:
                copy = self.keep.find(key, part)
                if copy is not None and copy.place == place:
                    self.moving.append((copy, place))
            self.move()

        def heads() -> list[Any]:
            return [
                (head.key, head.part, (number, offset, head.whole))
                for head, offset in self.volume.heads(number, 0, False)
            ]

        self.workers.run("slow", heads, then)

    def move(self) -> None:
        while self.moving and self.moves < MOVES:
            copy, place = self.moving.popleft()
            if copy.place != place or self.keep.find(copy.key, copy.part) is not copy:
                continue
            self.moves += 1
            self.space.pin(place[0])
            self.workers.run(
                "write",
                lambda copy=copy, place=place: self.again(copy, place),
                lambda new, problem, copy=copy, place=place: self.moved(copy, place, new, problem),
            )
        if not self.moving and not self.moves and self.space.cleaning is not None:
            left = self.space.segments.get(self.space.cleaning)
            if left is None or left.live > 0:
                self.space.cleaning = None  # what could not be moved is tried again

    def again(self, copy: Copy, place: tuple[int, int, int]) -> tuple[int, int, int]:
        """On a worker."""
        return self.volume.append(copy, self.volume.read(place, copy.key, copy.part))

    def moved(
        self, copy: Copy, place: tuple[int, int, int], new: tuple[int, int, int] | None, problem: BaseException | None
    ) -> None:
        self.moves -= 1
        self.space.unpin(place[0])
        if new is not None:
            self.space.wrote(new)
            self.counted["moved"] += 1
            if copy.place == place and self.keep.find(copy.key, copy.part) is copy:
                self.space.dead(place)
                self.space.alive(new)
                copy.place = new
        else:
            damaged = isinstance(problem, Damaged)
            self.counted["damaged" if damaged else "errors"] += 1
            self.breaker_ended(damaged, 0.0, self.now())
            self.lose(copy)
        self.move()

    def snapshot(self, now: float) -> None:
        if self.snapping or not self.breaker.allows(now):
            return
        self.snapping, self.snapped = True, now
        # What is written but not yet told lies past these marks, and is found by the scan.
        marks = {one.number: one.size for one in self.space.segments.values()}
        objects = [(key, self.keep.k(key), list(parts.values())) for key, parts in reversed(self.keep.objects.items())]
        counts, serial = self.keep.counts.dump(), self.serial
        self.workers.run("slow", lambda: self.volume.snapshot(objects, marks, counts, serial), self.snapped_now)

    def snapped_now(self, generation: int | None, problem: BaseException | None) -> None:
        self.snapping = False
        self.breaker_ended(problem is None, 0.0, self.now())
        if problem is not None:
            self.counted["errors"] += 1
            self.log("store_error", what="snapshot", why=str(problem))

    def off(self, why: str) -> None:
        """Nothing is kept or found from here on; the router serves on without it."""
        if self.on:
            self.on = False
            self.log("store_off", why=why)

    def close(self) -> None:
        if not self.closed:
            self.closed, self.on = True, False
            self.workers.close()
            self.volume.close()

    def figures(self) -> dict[str, Any]:
        return {
            **self.counted,
            "copies": self.keep.count,
            "bytes": self.keep.used,
            "disk": self.space.total,
            "memory_bytes": self.memory.used,
            "waiting": self.pace.waiting,
            "purges": len(self.purged),
            "unlogged": len(self.unlogged),
            "bypassed": self.breaker.open,
            "trusted": self.trusted,
        }


def make(
    options: Any,
    journal: Any,
    reactor: Any,
    now: Callable[[], float],
    after: Callable[..., None],
    log: Callable[..., None],
    fault: Callable[[str], None],
) -> Store | None:
    """The store that the settings describe, started; None, and one log event, where its directory can't be used."""
    from wickhinge.store.files import Files
    from wickhinge.store.workers import Workers

    mega = 1 << 20
    volume = Volume(Files(), options.dir, options.segment_mb * mega, journal.continues)
    workers = Workers(reactor, min(options.reads_at_once, 8), fault)
    store = Store(
        volume,
        workers,
        now,
        after,
        log,
        options.size_mb * mega,
        options.segment_mb * mega,
        options.memory_mb * mega,
        options.objects,
        int(options.waiting_mb * mega),
        options.write_mb_s * mega,
        options.read_within_s,
        options.reads_at_once,
        options.snapshot_s,
        journal.quiet_s,
        journal.continues,
    )
    try:
        store.start()
    except Unusable as problem:
        workers.close()
        log("store_off", why=str(problem))
        return None
    return store
