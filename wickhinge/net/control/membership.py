"""Who is there without discovery, between the package that decides it and the router's sockets and files.

Imported only where the settings switch discovery on.
"""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from wickhinge import settings
from wickhinge.decide import RandomSource
from wickhinge.fields import Malformed, endpoint
from wickhinge.interface import Endpoint, Idempotency, Outcome
from wickhinge.membership import remembered, talk
from wickhinge.membership.backoff import Backoff
from wickhinge.membership.keeper import Keeper, Unusable
from wickhinge.membership.members import NONE, Members
from wickhinge.membership.statements import LIVE, STATIC, Statement
from wickhinge.net.control.endpoint_watch import EndpointWatch
from wickhinge.options import keys
from wickhinge.store.files import Files
from wickhinge.store.workers import Workers

TURN = 0.1
FAILED = (Outcome.CONNECT_FAILED, Outcome.TIMED_OUT)


class MembershipClient:
    """The router's Members; files are written by a worker, siblings are asked in turn."""

    def __init__(
        self, node: Any, members: Members, keeper: Keeper | None, options: Any, key: bytes, static: list[Statement]
    ) -> None:
        self.node, self.members, self.keeper, self.key, self.static = node, members, keeper, key, static
        self.now, self.after, self.log = node.deadlines.now, node.deadlines.after, node.log.event
        self.every = 60.0 / options.writes_a_minute
        self.listen = options.listen
        self.saved, self.saving, self.closed = 0.0, False, False
        chance = members.proving.chance
        self.asking = (
            Backoff([endpoint(one) for one in options.siblings], chance, 0.5, options.longest_backoff_s)
            if options.siblings
            else None
        )
        self.workers = Workers(node.reactor, 1, node.fault) if keeper is not None else None
        self.backoff: Backoff | None = None
        members.told_purge = self.told_purge

    def service_addresses(self, address: tuple[str, int], options: Any) -> Backoff:
        """The discovery service's addresses: the configuration's, and those of the `discovery` options."""
        addresses = [address, *(endpoint(further) for further in options.addresses)]
        self.backoff = Backoff(addresses, self.members.proving.chance, options.backoff_s, options.longest_backoff_s)
        return self.backoff

    def restore(self, watch: EndpointWatch, options: Any) -> None:
        """Before the start: reads what was kept, and lets the watch go on from there where the service keeps its
        numbers.
        """
        memory = None
        if self.keeper is not None:
            memory, wrong = self.keeper.read()
            for why in wrong:
                self.log("list_unusable", why=why)
        self.members.start(memory, self.static, self.now())
        fleet = self.node.router.fleet
        if self.members.memory is not None:
            fleet.edge.usual, fleet.upper.usual = self.members.memory.usual
            if options.journal.continues:
                watch.resume_list(self.members.memory.number)

    def start(self) -> None:
        if self.listen:
            host, port = endpoint(self.listen)
            factory = talk.Answering(self.key, self.now, self.after, lambda: self.members.telling(self.now()), self.log)
            self.node.reactor.listenTCP(port, factory, interface=host)
        self.turn()
        if self.asking is not None:
            self.after(self.members.after, self.ask)

    def turn(self) -> None:
        if self.closed:
            return
        now = self.now()
        self.members.tick(now)
        if self.members.source not in (NONE, LIVE):
            self.node.opening.trusted()
        self.save(now)
        self.after(TURN, self.turn)

    # Out.

    def tell(self, machines: list[tuple[Statement, str, bool]]) -> None:
        listings = []
        for one, state, trusted in machines:
            self.node.caches.listed(one.mark, f"{one.mark:08x}", one.address)
            listings.append(Endpoint(one.mark, one.zone, one.kind, one.cell, state, one.weight, one.started, trusted))
        self.node.router.fleet.listed(listings, False, self.now())
        for one, state, _ in machines:
            machine = self.node.caches.machines.get(one.mark)
            if state == "gone" and machine is not None:
                machine.leave()

    def probe(self, one: Statement) -> None:
        self.node.caches.listed(one.mark, f"{one.mark:08x}", one.address)
        self.node.forwards.probe(SimpleNamespace(mark=one.mark), self.probed)

    def probed(self, cache: Any, up: bool) -> None:
        self.members.probed(cache.mark, up, self.now())

    # In.

    def live(self, whole: bool, machines: list[tuple[Any, ...]]) -> None:
        now = self.now()
        self.members.live(
            whole,
            [
                Statement(mark, where, state, zone, kind, cell, weight, started, now, LIVE)
                for mark, where, state, zone, kind, cell, weight, started in machines
            ],
            now,
        )
        self.saved = min(self.saved, now - self.every + 1.0)  # soon, yet not for each of a burst

    def moved(self, address: tuple[str, int]) -> None:
        """The platform's address of the service is another now; the further ones stay."""
        self.backoff.moved(address)

    def caught_up(self, watch: EndpointWatch) -> None:
        self.members.caught_up(self.now(), watch.last_number, watch.is_unbroken and watch.is_list_resumed)
        self.backoff.well()

    def ended(self, sent: Any, outcome: Outcome) -> None:
        if sent.door.request_class.idempotency is Idempotency.IDEMPOTENT and (outcome.answered or outcome in FAILED):
            self.members.ended(sent.cache.mark, outcome.answered, self.now())

    def purge(self, key: int | None, group: int, stamp: float) -> None:
        self.members.purge(key, group, stamp, self.now())

    def told_purge(self, key: int | None, group: int, stamp: float) -> None:
        """One that was remembered, or that a sibling told."""
        self.node.router.purges.told(key, group, stamp, self.now())
        if self.node.copies is not None:
            self.node.copies.store.purge(key, group, stamp, 0)

    def oldest(self, bound: float | None) -> float | None:
        ours = self.members.gap.oldest(self.now())
        return bound if ours is None else ours if bound is None else min(ours, bound)

    def knows(self, mark: int) -> bool:
        return self.members.knows(mark)

    # Files and siblings.

    def save(self, now: float) -> None:
        if self.keeper is None or self.saving or 0.0 <= now - self.saved < self.every:
            return
        fleet = self.node.router.fleet
        self.members.usual = (fleet.edge.usual, fleet.upper.usual)
        memory = self.members.remember(now)
        if memory is None:
            return
        self.saving, self.saved = True, now
        self.workers.run("write", lambda: self.keeper.write(memory), self.written)

    def written(self, _: Any, problem: BaseException | None) -> None:
        self.saving = False
        if problem is not None:
            self.log("list_unwritten", why=str(problem))

    def ask(self) -> None:
        if self.closed:
            return
        where = self.asking.addresses[self.asking.place]
        if self.members.source == LIVE and self.now() - self.members.heard <= self.members.quiet:
            self.after(1.0, self.ask)
            return
        talk.ask(self.node.reactor, self.after, where, self.key, self.now(), self.told)

    def told(self, told: Any, why: str) -> None:
        _, wait = self.asking.failed()
        if told is None:
            self.log("sibling_lost", why=why)
        elif self.members.sibling(told, self.now()):
            self.asking.well()
            wait = 1.0
        if not self.closed:
            self.after(wait, self.ask)

    def figures(self) -> dict[str, Any]:
        return self.members.figures(self.now())

    def close(self) -> None:
        self.closed = True
        if self.workers is not None:
            self.workers.close()
            self.keeper.close()


def make(options: Any, conf: dict[str, Any], node: Any) -> MembershipClient:
    """Raises Malformed where the key can't be read."""
    found, fleet = options.discovery, node.router.fleet
    key = keys.read("discovery.key_file", found.key_file) if found.key_file else b""
    static = []
    for place, one in enumerate(found.static):
        if one.zone not in node.zones or one.kind not in node.kinds:
            raise Malformed(f"discovery.static[{place}]: zone or kind is none of the settings'")
        static.append(
            Statement(
                int(one.id[2:], 16),
                endpoint(one.dial),
                "ready",
                one.zone,
                one.kind,
                one.cell,
                one.weight,
                None,
                0.0,
                STATIC,
            )
        )
    keeper = None
    if found.dir:
        keeper = Keeper(Files(), found.dir)
        try:
            keeper.open()
        except Unusable as problem:
            node.log.event("list_unusable", why=str(problem))
            keeper = None
    box: list[MembershipClient] = []
    chance = RandomSource(node.seed ^ 0x5EED)
    members = Members(
        lambda machines: box[0].tell(machines),
        lambda one: box[0].probe(one),
        node.log.event,
        chance,
        remembered.deployment(node.zones, node.kinds, sorted(settings.request_classes(conf))),
        found.routers or fleet.routers,
        (fleet.parent_kind, fleet.origin_kind),
        found.after_s,
        found.hint_after_s,
        found.untold_s,
        options.journal.quiet_s,
        node.router.purges.done,
    )
    box.append(MembershipClient(node, members, keeper, found, key, static))
    return box[0]
