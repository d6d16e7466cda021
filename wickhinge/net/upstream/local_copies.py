"""Answers requests with local copies from the store; imported only where the settings switch the store on."""

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

# Link bandwidth of the answer "your copy is current", as a share of the copy's size.
NOT_MODIFIED_SIZE_SHARE = 0.05
MAX_READ_THREADS = 8


class LocalCopies:
    """The LocalCopies of the routing decisions; reads in progress are in numbered slots, each with a timer."""

    def __init__(
        self,
        store: Store,
        deadlines: Deadlines,
        pool: BufferPool,
        link: LinkBandwidth,
        read_timeout_s: float,
        report_fault: Callable[[str], None],
        others_time: RemoteClock,
    ) -> None:
        """Create the table over a store that has been started.

        Args:
            store: The store that holds the copies.
            deadlines: The timers of the router.
            pool: The buffers for the bodies of answers.
            link: The bandwidth of the router's own link.
            read_timeout_s: Seconds after which a read counts as late; the request then goes to a server.
            report_fault: Called with a name while an exception of the decisions is being handled.
            others_time: Converts times of day that servers name.
        """
        self.store, self.deadlines, self.pool, self.link, self.read_timeout_s = (
            store,
            deadlines,
            pool,
            link,
            read_timeout_s,
        )
        self.report_fault, self.others_time = report_fault, others_time
        self.record_request, self.find = store.record_request, store.find
        self.is_valid = store.is_valid
        self._age_limit: Callable[[float], float | None] = lambda now: None
        self.slots = Slots()
        # Counts by how reads ended: bytes from memory or disk; the client had the copy ("told"); timeout ("late").
        self.served_counts = {"memory": 0, "disk": 0, "told": 0, "late": 0}

    def limit_age(self, limit: Callable[[float], float | None]) -> None:
        """Treat copies older than `limit(now)` seconds as not current from now on; a limit of None allows any age."""
        self._age_limit = limit

    def is_current(self, copy: Any, now: float) -> bool:
        """Return whether the copy is current for the store and no older than the age limit."""
        if not self.store.is_current(copy, now):
            return False
        limit = self._age_limit(now)
        return limit is None or self.age(copy, now) <= limit

    def age(self, copy: Any, now: float) -> float:
        """Return the greatest age in seconds that the copy can have."""
        return now - self.others_time.earliest_local_time(copy.created, now)

    def transfer_end(self, copy: Any, now: float) -> float:
        """Return the time at which the copy would have passed the router's own link."""
        return self.link.transfer_end(copy.size, now)

    # Answering requests with copies.

    def read(self, downstream_request: Any, copy: Any) -> None:
        """Read a copy from the store and answer the request with it; a client that has the copy gets no body."""
        number = self.slots.put((downstream_request, copy))
        if downstream_request.client_etag and downstream_request.client_etag.encode() == copy.etag:
            self.deadlines.call_soon(self.read_ended, number, True, "told")
            return
        self.deadlines.call_after(self.read_timeout_s, self.read_ended, number, None, "late")
        self.store.read(
            copy,
            lambda data, memory: self.deadlines.call_soon(
                self.read_ended, number, data, "memory" if memory else "disk"
            ),
        )

    def read_ended(self, number: int, data: Any, how: str) -> None:
        """Answer the request where its copy was read in time.

        Args:
            number: The number of the read.
            data: The bytes; True where the client has the copy itself; None where the read failed or is late.
            how: The key of `served_counts`.
        """
        pending_read = self.slots.drop(number)
        if pending_read is None:
            return
        downstream_request, copy = pending_read
        if downstream_request.has_ended:
            return
        self.served_counts["late"] += how == "late"
        now = self.deadlines.now()
        try:
            if downstream_request.routed_request.copy_read(copy, now, is_complete=data is not None):
                self.served_counts[how] += 1
                self.link.record_transfer(int(copy.size * NOT_MODIFIED_SIZE_SHARE) if data is True else copy.size, now)
                downstream_request.serve(None if data is True else Body(self.pool, data), data is True)
        except Exception:
            self.report_fault("copies")
            downstream_request.end_with_internal_error()

    # Storing and revalidating copies with responses.

    def store_response(self, request: Any, fields: dict[str, str], body: Any) -> None:
        """Store the body of a response where the store admits it; called before the client gets the body."""
        request_class = request.request_class
        made_ms = fields.get("made", "")
        if (
            request_class.pass_through
            or request_class.idempotency is not Idempotency.IDEMPOTENT
            or not made_ms.isdigit()
            or len(made_ms) > 16
        ):
            return
        etag = fields.get("etag", "").encode()
        key, part, now = request.object_count.key, request.part, self.deadlines.now()
        offer = CopyOffer(key, part, request.group, etag, int(made_ms) / 1000.0, body.length)
        if self.store.admit(offer, now):
            self.store.write(offer, b"".join(body.views()))

    def revalidated(self, copy: Any, fields: dict[str, str]) -> None:
        """Note that a server has answered that the local copy is current."""
        made_ms = fields.get("made", "")
        if made_ms.isdigit() and len(made_ms) <= 16:
            self.store.revalidate(copy, int(made_ms) / 1000.0)

    def report_fields(self) -> dict[str, Any]:
        """Return the entry of the local copies in the report."""
        return {**self.store.report_fields(), "served": self.served_counts}


def start_local_copies(
    options: Any,
    reactor: Any,
    deadlines: Deadlines,
    pool: BufferPool,
    link: tuple[float, float],
    log: Callable[..., None],
    report_fault: Callable[[str], None],
    others_time: RemoteClock,
) -> LocalCopies | None:
    """Start the store and return its LocalCopies; None where the directory of the store cannot be used.

    `link` holds the bytes per second of the router's own link: for one transfer, and for all transfers together.
    """
    workers = Workers(reactor, min(options.store.reads_at_once, MAX_READ_THREADS), report_fault)
    store = start_store(options.store, options.journal, Runtime(workers, deadlines.now, deadlines.call_after, log))
    if store is None:
        return None
    return LocalCopies(
        store, deadlines, pool, LinkBandwidth(*link), options.store.read_within_s, report_fault, others_time
    )
