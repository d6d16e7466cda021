"""Copies of our own, between the visits and the store: imported only where the settings switch the store on."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from wickhinge.clocks import RemoteClock
from wickhinge.interface import Idempotency
from wickhinge.net.runtime.buffers import Body, BufferPool
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.slots import Slots
from wickhinge.store.bandwidth import LinkBandwidth
from wickhinge.store.store import Store, start_store
from wickhinge.store.tier import Runtime
from wickhinge.store.workers import Workers
from wickhinge.store.writing import CopyOffer

TOLD = 0.05  # of a copy's bytes: what telling a client that its own is the one costs
MAX_READ_THREADS = 8


class LocalCopies:
    """The module's Copies; reads under way are in numbered slots, each with a deadline."""

    def __init__(
        self,
        store: Store,
        deadlines: Deadlines,
        pool: BufferPool,
        link: LinkBandwidth,
        within: float,
        fault: Callable[[str], None],
        others: RemoteClock,
    ) -> None:
        self.store, self.deadlines, self.pool, self.link, self.within = store, deadlines, pool, link, within
        self.fault, self.others = fault, others
        self.record_request, self.find = store.record_request, store.find
        self.is_valid = store.is_valid
        self._age_limit: Callable[[float], float | None] = lambda now: None
        self.slots = Slots()
        self.served_counts = {"memory": 0, "disk": 0, "told": 0, "late": 0}

    def limit_age(self, limit: Callable[[float], float | None]) -> None:
        """From now on no copy is current that is older than limit(now) seconds; None: of any age."""
        self._age_limit = limit

    def is_current(self, copy: Any, now: float) -> bool:
        """Whether the store vouches for the copy, and it is no older than the limit."""
        if not self.store.is_current(copy, now):
            return False
        limit = self._age_limit(now)
        return limit is None or self.age(copy, now) <= limit

    def age(self, copy: Any, now: float) -> float:
        return now - self.others.earliest_local_time(copy.created, now)

    def transfer_end(self, copy: Any, now: float) -> float:
        return self.link.transfer_end(copy.size, now)

    # Answers out of copies.

    def read(self, door: Any, copy: Any) -> None:
        number = self.slots.put((door, copy))
        if door.client_etag and door.client_etag.encode() == copy.etag:
            self.deadlines.call_soon(self.ended, number, True, "told")
            return
        self.deadlines.call_after(self.within, self.ended, number, None, "late")
        self.store.read(
            copy,
            lambda data, memory: self.deadlines.call_soon(self.ended, number, data, "memory" if memory else "disk"),
        )

    def ended(self, number: int, data: Any, how: str) -> None:
        """data: the bytes, True where the client has them, None where they could not be had in time."""
        entry = self.slots.drop(number)
        if entry is None:
            return
        door, copy = entry
        if door.has_ended:
            return
        self.served_counts["late"] += how == "late"
        now = self.deadlines.now()
        try:
            if door.routed_request.copy_read(copy, now, is_complete=data is not None):
                self.served_counts[how] += 1
                self.link.record_transfer(int(copy.size * TOLD) if data is True else copy.size, now)
                door.serve(None if data is True else Body(self.pool, data), data is True)
        except Exception:
            self.fault("copies")
            door.end_with_internal_error()

    # Copies out of answers.

    def store_response(self, visit: Any, told: dict[str, str], body: Any) -> None:
        """A cache's answer is about to go to its client; kept if the tier wants it."""
        request_class = visit.request_class
        made = told.get("made", "")
        if (
            request_class.pass_through
            or request_class.idempotency is not Idempotency.IDEMPOTENT
            or not made.isdigit()
            or len(made) > 16
        ):
            return
        tag = told.get("etag", "").encode()
        key, part, now = visit.object_count.key, visit.part, self.deadlines.now()
        offer = CopyOffer(key, part, visit.group, tag, int(made) / 1000.0, body.length)
        if self.store.admit(offer, now):
            self.store.write(offer, b"".join(body.views()))

    def revalidated(self, copy: Any, told: dict[str, str]) -> None:
        """A cache answered that ours is the one."""
        made = told.get("made", "")
        if made.isdigit() and len(made) <= 16:
            self.store.revalidate(copy, int(made) / 1000.0)

    def report_fields(self) -> dict[str, Any]:
        return {**self.store.figures(), "served": self.served_counts}


def start_local_copies(
    options: Any,
    reactor: Any,
    deadlines: Deadlines,
    pool: BufferPool,
    link: tuple[float, float],
    log: Callable[..., None],
    fault: Callable[[str], None],
    others: RemoteClock,
) -> LocalCopies | None:
    workers = Workers(reactor, min(options.store.reads_at_once, MAX_READ_THREADS), fault)
    store = start_store(options.store, options.journal, Runtime(workers, deadlines.now, deadlines.call_after, log))
    if store is None:
        return None
    return LocalCopies(store, deadlines, pool, LinkBandwidth(*link), options.store.read_within_s, fault, others)
