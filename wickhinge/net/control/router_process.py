"""The wiring of one router on sockets, and the module's Outside."""

from __future__ import annotations

import gc
import os
import resource
import traceback
from collections.abc import Callable
from typing import Any

from wickhinge import settings
from wickhinge.clocks import WallClockWatch, monotonic, wall
from wickhinge.common.failed_calls import failed_calls
from wickhinge.fields import Malformed
from wickhinge.interface import Endpoint
from wickhinge.net.control import config
from wickhinge.net.control.endpoint_watch import EndpointRecord, EndpointWatch, WatchSettings
from wickhinge.net.control.readiness import Readiness
from wickhinge.net.downstream.client_connections import ClientConnections
from wickhinge.net.downstream.descriptors import bounds
from wickhinge.net.downstream.request_table import RequestTable
from wickhinge.net.runtime.buffers import SIZE, BufferPool
from wickhinge.net.runtime.deadlines import Deadlines
from wickhinge.net.runtime.log import Log
from wickhinge.net.upstream.attempts import Attempts
from wickhinge.net.upstream.connection_pools import ConnectionPools

STATES = ("ready", "draining", "gone")
PROBE_WITHIN = 0.25  # where the settings name no time limit of probes
BASE = 32  # MB for the program itself; of the rest, half is the pool's and half for what is read and written
UNINFORMED = 0.15  # seconds for which what the journal service told may lie unread when an attempt begins
LINGER = 0.75  # seconds after SIGTERM in which clients still come
# After the longest patience, whatever is open is given up on. SIGKILL comes 0.5 s later: the process may stand still
# for that long meanwhile.
LAST = 0.2
LONGEST = 3.0  # and counts no longer patience than this
LATEST = 0.3  # after that the program ends, whatever is open, but for what it has not looked at since
PASSES = 4  # over all clients after that time, if it stood still in it
REPORT = 5.0
CLOCK_LOOK = 0.5  # seconds between two looks for a step of the wall clock
# Objects more than at the last walk, 5 MB of them: by the peak alone a second walk came only past a limit of 32 MB.
CIRCLES = 25_000


class RouterProcess:
    def __init__(self, conf: dict[str, Any], reactor: Any, descriptor: int = 1, options: Any = None) -> None:
        self.reactor = reactor
        self.log = Log(descriptor, config.name(conf), Deadlines.now)
        self.deadlines = Deadlines(reactor, self.fault)
        self.leaving = self.started = False
        self.passes = 0  # over all clients, after the last time
        self.reread: Callable[[], Any] = lambda: None  # our own settings, as the file has them now
        self.unusable: OSError | None = None  # why the address could not be had in the end
        memory, sockets = config.limits(conf)
        descriptors = bounds(sockets)
        self.collect_over = memory * 700  # in KB: 0.7 of the limit
        connect_within, idle, streams = config.times(conf)
        self.pool = BufferPool(max((memory - BASE) * 500_000 // SIZE, 128), self.pause, self.resume)
        self.caches = ConnectionPools(
            reactor,
            self.deadlines,
            self.pool,
            connect_within,
            idle,
            streams,
            descriptors.machines,
            self.log.event,
            self.fault,
        )
        self.forwards = Attempts(self.caches, self.deadlines, PROBE_WITHIN, self.fault)
        conf_settings = config.settings(conf)
        self.zones = settings.names(conf_settings, "zones")
        self.kinds = settings.names(conf_settings, "shapes")
        self.seed = config.seed(conf)
        self.router, request_classes = settings.build(conf_settings, self.seed, self)
        self.caches.stops = self.router.cancel
        self.others = self.forwards.others
        self.others.improved = lambda: self.router.fleet.relate(self.deadlines.now())
        self.forwards.informed = self.informed
        reactor.behind = lambda: self.endpoint_watch.read_pending()
        self.router.fleet.instant = self.router.purges.instant = self.others.instant
        self.last = min(max(request_class.timeout for request_class in request_classes.values()), LONGEST) + LAST
        self.visits = RequestTable(
            self.forwards, self.deadlines, self.pool, request_classes, self.log.event, self.fault
        )
        self.forwards.router = self.visits.router = self.router
        self.clients = ClientConnections(self.visits, self.deadlines, descriptors.clients, self.log.event)
        self.copies: Any = None
        if options is not None and options.store.mode == "on":
            from wickhinge.net.upstream import local_copies  # what is off costs nothing

            self.copies = local_copies.make(
                options, reactor, self.deadlines, self.pool, config.link(conf), self.log.event, self.fault, self.others
            )
        self.router.copies = self.visits.copies = self.forwards.copies = self.copies
        self.members: Any = None
        if options is not None and options.discovery.mode == "on":
            from wickhinge.net.control import membership

            self.members = membership.make(options, conf_settings, self)
        self.forwards.members = self.members
        self.fellows: Any = None
        if options is not None and options.peers.mode == "on":
            from wickhinge.net.control import peer_transport

            self.fellows = peer_transport.make(options, config.name(conf), self)
        self.changes: Any = None
        if options is not None and options.changelog.mode == "on":
            from wickhinge.net.control import changelog_client

            self.changes = changelog_client.make(options.changelog, config.name(conf), self)
        last, events = config.known(conf)
        service = config.journal(conf)
        addresses = None if self.members is None else self.members.service_addresses(service, options.discovery)
        self.endpoint_watch = EndpointWatch(
            reactor,
            self.deadlines,
            WatchSettings(service, last, connect_within, addresses),
            self,
            self.log.event,
        )
        if self.members is not None:
            self.members.restore(self.endpoint_watch, options)
        self.purges_resumed = False  # all since the number of the store's purge log is told
        if self.copies is not None and options.journal.continues:
            number = self.copies.store.purged.number
            self.endpoint_watch.resume_purges(number)
            self.purges_resumed = 0 < self.endpoint_watch.last_number <= number
        self.listen = config.listen(conf)
        for kind, *told in events:
            (self.told_list if kind == "list" else self.purged)(*told)

    def start(self) -> None:
        """Raises OSError where the address to listen on cannot be had."""
        self.opening = Readiness(self.reactor, self.listen, self.clients, self.deadlines, self.log.event, self.taken)
        self.started = True
        self.router.start(self.deadlines.now())
        self.reactor.addSystemEventTrigger("before", "shutdown", self.log.flush)
        self.reactor.callWhenRunning(self.opening.start)
        self.endpoint_watch.start_confirmed()
        if self.members is not None:
            self.members.start()
        if self.fellows is not None:
            self.fellows.start()
        if self.changes is not None:
            self.changes.start()
        self.clients.sweep()
        # A full walk takes 70 ms, in which visits run out. Visits leave no circles, so none is needed.
        gc.disable()
        self.deadlines.after(REPORT, self.report)
        self.reactor.standstills.log = self.log.event
        self.clock_watch = WallClockWatch(wall(), monotonic())
        self.look_at_clock()
        self.log.event("start", listen=":".join(map(str, self.listen)), pool=self.pool.limit)

    # Environment.

    def call_later(self, delay: float, call: Callable[[float], None]) -> None:
        self.deadlines.after(delay, lambda: call(self.deadlines.now()))

    def check_health(self, server: Any) -> None:
        self.forwards.probe(server)

    def watch(self) -> None:
        """The journal follows the list by itself."""

    def fetch_endpoints(self) -> None:
        """The journal brings it whole after a gap."""

    def close_idle(self, server: Any) -> None:
        if server.mark in self.caches.machines:
            self.caches.machines[server.mark].hang_up()

    def gossip(self, recipient: int, content: bytes) -> None:
        """Routers share nothing."""

    def log_line(self, text: str) -> None:
        self.log.event("note", text=text)

    # The WatchListener of its EndpointWatch.

    def endpoints_changed(self, records: list[EndpointRecord], *, complete: bool) -> None:
        """Called by the endpoint watch."""
        machines = []
        for mark, address, port, state, zone, kind, cell, weight, started in records:
            if state >= len(STATES) or zone >= len(self.zones) or kind >= len(self.kinds):
                self.log.event("bad_record", cache=f"{mark:08x}", state=state, zone=zone, kind=kind)
                continue
            host = ".".join(str(octet) for octet in address.to_bytes(4))
            machines.append(
                (
                    mark,
                    (host, port),
                    STATES[state],
                    self.zones[zone],
                    self.kinds[kind],
                    cell,
                    weight / 1000.0,
                    started / 1000.0 or None,
                )
            )
        self.told_list(complete, machines)

    def told_list(self, whole: bool, machines: list[tuple[Any, ...]]) -> None:
        listings = []
        now = self.deadlines.now()
        for *_, started in machines:
            if started is not None:
                self.others.vouched(started, now)
        for mark, address, state, zone, kind, cell, weight, started in machines:
            self.caches.listed(mark, f"{mark:08x}", address)
            listings.append(Endpoint(mark, zone, kind, cell, state, weight, started))
        self.router.fleet.listed(listings, whole, now)
        if self.members is not None:
            self.members.live(whole, machines)
        for mark, machine in list(self.caches.machines.items()):
            if mark not in self.router.fleet.known and not (self.members is not None and self.members.knows(mark)):
                machine.leave()
        self.forwards.overtaken(lambda sent: sent.cache.state == "ready" == sent.forward.source.state)
        self.log.event("list", whole=whole, machines=[[f"{m[0]:08x}", m[2], m[3], m[4], m[7]] for m in machines])

    def purged(self, key: int | None, group: int, stamp_ms: float) -> None:
        """Called by the endpoint watch, and for the purges that the configuration knows: those have no numbers."""
        self.purge(key, group, stamp_ms, self.endpoint_watch.last_number + 1 if self.started else 0)

    def purge(self, key: int | None, group: int, stamp: float, number: int) -> None:
        """`stamp` in Unix milliseconds; `number`: the journal's, 0 where it has none."""
        self.take_purge(key, group, stamp, number)
        self.forwards.overtaken(
            lambda sent: sent.forward.visit.group != group if key is None else sent.forward.visit.item.key != key
        )
        self.log.event("purge", key=None if key is None else f"{key:016x}", group=group, stamp=stamp)

    def take_purge(self, key: int | None, group: int, stamp: float, number: int) -> None:
        """In force for what is sent from now on; what waits to be written is for the caller to overtake."""
        now = self.deadlines.now()
        self.others.vouched(stamp / 1000.0, now)
        self.router.purges.told(key, group, stamp / 1000.0, now)
        if self.copies is not None:
            self.copies.store.purge(key, group, stamp / 1000.0, number)
        if self.members is not None:
            self.members.purge(key, group, stamp / 1000.0)

    def caught_up(self) -> None:
        """Called by the endpoint watch."""
        self.opening.caught_up()
        if self.copies is not None:
            self.copies.store.caught_up(self.deadlines.now(), self.endpoint_watch.is_unbroken and self.purges_resumed)
        if self.members is not None:
            self.members.caught_up(self.endpoint_watch)

    def informed(self, now: float) -> bool:
        """Whether what the journal service told until lately is known here; else it is read on the next turn."""
        if now - max(self.reactor.arrivals.settled, self.endpoint_watch.last_read_pending_at) <= UNINFORMED:
            return True
        self.deadlines.soon(self.endpoint_watch.read_pending)
        return False

    # The program.

    def pause(self) -> None:
        self.log.event("full", buffers=self.pool.out)
        self.caches.pause()
        self.clients.pause()

    def resume(self) -> None:
        self.log.event("room", buffers=self.pool.out)
        self.caches.resume()
        self.clients.resume()

    def fault(self, where: str) -> None:
        self.log.event("fault", where=where, cause=traceback.format_exc(limit=-6))

    def look_at_clock(self) -> None:
        """Nothing is decided by the wall clock's steps; staff are told of them."""
        step = self.clock_watch.step(wall(), monotonic())
        if step:
            self.log.event("wall_clock_stepped", by_s=round(step, 3))
        self.deadlines.after(CLOCK_LOOK, self.look_at_clock)

    def report(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        if usage.ru_maxrss > self.collect_over or gc.get_count()[0] > CIRCLES:
            found = gc.collect()  # rare, and better than being killed for memory
            self.collect_over = usage.ru_maxrss + 5000
            self.log.event("collected", objects=found)
        self.log.event(
            "report",
            taken=self.visits.taken,
            open=self.visits.open(),
            clients=len(self.clients.all),
            client_descriptors=self.clients.admission.held,
            answers=self.visits.answers,
            user=round(usage.ru_utime, 3),
            system=round(usage.ru_stime, 3),
            lines=sum(len(machine.lines) for machine in self.caches.machines.values()),
            line_descriptors=self.caches.held,
            buffers=self.pool.peak,
            unserved=self.visits.requests.reasons,
            unlogged=self.visits.requests.unlogged,
            late_ms=round(self.deadlines.late * 1000, 1),
            failed_calls=failed_calls.counts,
            stood_still=self.reactor.standstills.report(),
            late_answers=self.caches.lates,
            peak_kb=usage.ru_maxrss,
            closed=self.clients.closed,
            faults=self.clients.faults,
            known=len(self.router.fleet.known),
            machines=len(self.caches.machines),
            objects=len(self.router.shelf.items),
            deadlines=len(self.deadlines.heap),
            **({} if self.members is None else {"list": self.members.figures()}),
            **({} if self.fellows is None else {"peers": self.fellows.figures()}),
            **({} if self.changes is None else {"changelog": self.changes.figures()}),
            **({} if self.copies is None else {"store": self.copies.figures()}),
        )
        self.clients.faults = {}
        self.deadlines.late = 0.0
        self.deadlines.after(REPORT, self.report)

    def reload(self) -> None:
        """On SIGHUP. The journal's address, the fellows' roster and keys, and the change log's keys may change while
        running; a faulty file changes nothing.
        """
        if self.leaving:
            return
        try:
            address = config.journal(config.read(os.environ))
            keys = self.changes.keys_in(self.reread().changelog) if self.changes is not None else None
            if self.fellows is not None:
                self.fellows.reload(self.reread())
        except Malformed as problem:
            self.log.event("reload_failed", why=str(problem))
            return
        self.log.event("reload", journal=f"{address[0]}:{address[1]}")
        self.move_journal(address)
        if keys is not None:
            self.changes.use_keys(keys)

    def move_journal(self, address: tuple[str, int]) -> None:
        if self.members is not None:
            self.members.moved(address)
        self.endpoint_watch.move(address)

    def leave(self) -> None:
        """On SIGTERM: ping says no, whoever still comes is served, then the program ends by itself."""
        if self.leaving:
            return
        self.leaving = self.clients.leaving = True
        self.log.event("leaving", open=self.visits.open())
        if self.copies is not None:
            self.copies.store.snapshot(self.deadlines.now())
        now = self.deadlines.now()
        self.deadlines.at(now + (LINGER if self.opening.leave() else 0.0), self.settle, now + self.last)

    def taken(self, problem: OSError) -> None:
        """Another router listens at our address. It is at work, this one is not."""
        self.unusable = problem
        self.leave()

    def settle(self, last: float) -> None:
        if self.busy(last):
            self.deadlines.after(0.01, self.settle, last)
            return
        self.log.event("stop", open=self.visits.open(), taken=self.visits.taken)
        self.endpoint_watch.close()
        if self.members is not None:
            self.members.close()
        if self.fellows is not None:
            self.fellows.close()
        if self.changes is not None:
            self.changes.close()
        if self.copies is not None:
            self.copies.store.close()
        for machine in list(self.caches.machines.values()):
            machine.hang_up()
        # Some turns more, so that what is written last leaves the transports, and what came meanwhile is answered.
        self.deadlines.after(0.02, self.end, last)

    def busy(self, last: float) -> bool:
        """Whether a client still has something to get, or to be read: with little CPU a request may lie unread, or its
        connection untaken, at the moment when nothing is open. Past the last time all is read and given up on, however
        long the process stood still before.
        """
        now = self.deadlines.now()
        if now >= last:
            self.clients.read_all()
            self.clients.begin_all()
            self.visits.give_up()
            self.passes += now >= last + LATEST
        return self.passes < PASSES and bool(
            self.visits.open() or self.clients.unwritten() or self.clients.unread() or self.opening.untaken()
        )

    def end(self, last: float) -> None:
        """The machines are hung up on: who still comes is denied. First nobody new is taken, then each client is closed
        as nothing of it lies unread.
        """
        self.visits.give_up()
        if self.busy(last) or not (self.opening.close() and self.clients.close_all() or self.passes >= PASSES):
            self.deadlines.after(0.01, self.end, last)
            return
        self.reactor.stop()
