"""The tier as the router uses it: purges at every moment, bounds, the breaker, the glue to visits and the wire."""

import errno
import random
from dataclasses import replace
from types import SimpleNamespace

import pytest

from tests.support.connections import attempts, pool, reading
from tests.support.faulty_disk import FaultyDisk
from tests.support.routing import end_attempt, make_request_class, make_router, route_request
from tests.support.store_world import World
from wickhinge.clocks import RemoteClock
from wickhinge.interface import Idempotency, Outcome
from wickhinge.net.downstream.request_table import RequestTable
from wickhinge.net.runtime.buffers import Body
from wickhinge.net.upstream import resp
from wickhinge.net.upstream.local_copies import LocalCopies
from wickhinge.store.bandwidth import LinkBandwidth
from wickhinge.store.copies import Copy
from wickhinge.store.writing import CopyOffer


def started_world(**more):
    world = World(**more)
    world.start()
    world.lanes.go()
    return world


def stored_copy(world, key=1, part=0, size=500):
    world.offer(key, part, size)
    world.lanes.go()
    copy = world.store.find(key, part, world.clock)
    world.store.journal_caught_up(world.clock, False)
    return copy


def read_results(world, copy):
    got = []
    world.store.read(copy, lambda data, memory: got.append(data))
    return got


# A purge strikes while ...


def test_purge_when_a_part_is_being_written_removes_it():
    world = started_world()
    world.offer(1, 0, 500)
    world.purge(1)
    world.lanes.go()
    assert world.store.find(1, 0, world.clock) is None
    world.restart(1, power_lost=False)
    assert world.store.find(1, 0, world.clock) is None


def test_offer_when_created_before_a_purge_is_not_admitted():
    world = started_world()
    made = world.clock
    world.purge(1)
    world.store.record_request(1, 0), world.store.record_request(1, 0)
    assert not world.store.admit(CopyOffer(1, 0, 0, b"t", made, 500), world.clock)
    assert world.store.admit(CopyOffer(1, 0, 0, b"t", world.clock + 0.01, 500), world.clock)


def test_purge_when_a_part_is_being_read_makes_the_copy_invalid():
    world = started_world()
    copy = stored_copy(world)
    got = read_results(world, copy)
    world.purge(1)
    world.lanes.go()
    assert got != [None] and not world.store.is_valid(copy, world.clock)


def test_revalidation_when_a_purge_is_newer_changes_nothing():
    world = started_world()
    copy = stored_copy(world)
    before = copy.created
    world.purge(1)
    world.store.revalidate(copy, before)  # SAME, but of a copy from before the purge
    assert not world.store.is_current(copy, world.clock) and copy.created == before


def test_purge_when_a_snapshot_is_being_written_outlives_a_restart():
    world = started_world()
    stored_copy(world)
    world.store.snapshot(world.clock)
    world.purge(1)
    world.lanes.go()
    for power_lost in (False, True):
        world.restart(7, power_lost)
        assert world.store.find(1, 0, world.clock) is None


def test_purge_when_a_start_still_recovers_removes_the_copy():
    world = started_world()
    stored_copy(world)
    world.disk = world.disk.after_restart(1, False)
    world.start()
    world.purge(1)
    world.lanes.go()
    assert world.store.find(1, 0, world.clock) is None and not world.store.tier.is_recovering


def test_purge_when_segments_are_recycled_leaves_no_purged_copy():
    world = started_world()
    for key in range(20):
        world.offer(key, 0, 3000, group=int(key < 10))
        world.lanes.go()
    world.store.maintain()
    world.purge(None, 1)
    for _ in range(5):
        world.lanes.go()
        world.store.maintain()
    world.lanes.go()
    assert {copy.group for parts in world.store.tier.admission.objects.values() for copy in parts.values()} == {0}
    assert world.store.tier.counters.recycled and world.check(world.stamps)


def test_disk_space_when_restarted_all_the_time_is_still_recycled():
    world = started_world()
    for turn in range(60):
        world.offer(turn, 0, 3900)
        world.lanes.go()
        if turn % 4 == 3:
            world.restart(turn, power_lost=False)
            world.lanes.go()
    assert (
        world.store.tier.space.total_bytes <= world.store.tier.space.capacity_bytes
        and world.store.tier.admission.copy_count > 8
    )
    assert max(world.store.tier.admission.objects) > 50


# Readers, bounds, faults.


def test_segment_when_a_copy_is_being_read_is_not_recycled():
    world = started_world()
    copy = stored_copy(world, size=3000)
    for key in range(2, 9):
        stored_copy(world, key, size=3900)
    number, got = copy.location[0], read_results(world, copy)
    world.lanes.stalled = {"read"}
    for parts in list(world.store.tier.admission.objects.values()):
        for one in list(parts.values()):
            world.store.tier.remove(one)
    world.store.maintain()
    world.lanes.go()
    assert number in world.store.tier.space.segments and world.store.tier.space.segments[number].is_sealed
    world.lanes.stalled = set()
    world.lanes.go()
    assert got == [world.bodies[1, 0, round(copy.created, 3)]]
    world.store.maintain()
    assert number not in world.store.tier.space.segments


def test_offer_when_over_the_write_bounds_is_refused_at_once():
    world = started_world()
    world.store.writer.limiter.max_queued_bytes = 2000
    for key in range(4):
        world.offer(key, 0, 900)
    assert world.store.tier.counters.admitted == 2 and world.store.tier.counters.refused == 2
    assert world.store.find(0, 0, world.clock) and read_results(world, world.store.find(0, 0, world.clock))[0]
    world.lanes.go()
    world.offer(9, 0, 900)
    assert world.store.tier.counters.admitted == 3


@pytest.mark.parametrize("fault", [errno.EIO, errno.ENOSPC])
def test_disk_when_it_fails_is_bypassed_and_tried_again(fault):
    world = started_world(disk=FaultyDisk())
    world.disk.stuck = fault
    for key in range(8):
        world.offer(key, 0, 500)
        world.lanes.go()
    assert (
        world.store.tier.breaker.is_open
        and world.store.tier.admission.copy_count == 0
        and "store_breaker_opened" in dict(world.log)
    )
    assert world.store.tier.counters.refused >= 4 and world.store.writer.limiter.queued_bytes == 0
    world.disk.stuck = None
    world.clock += 5.0
    world.offer(20, 0, 500)
    world.lanes.go()
    assert not world.store.tier.breaker.is_open and world.store.find(20, 0, world.clock)
    assert world.check(world.stamps) == 1


def test_purges_when_the_log_cannot_be_written_are_written_in_order_later():
    world = started_world(continues=True)
    stored_copy(world)
    world.disk.stuck = errno.EIO
    world.purge(1, 0, 5)
    world.lanes.go()
    world.purge(2, 0, 6)
    world.lanes.go()
    assert len(world.store.purging.pending) == 2 and world.store.find(1, 0, world.clock) is None
    world.disk.stuck = None
    world.store.maintain()
    world.lanes.go()
    assert not world.store.purging.pending
    world.restart(1, power_lost=True)
    assert world.store.last_event_number == 6 and world.store.find(1, 0, world.clock) is None


def test_purges_when_more_than_the_bound_are_pending_are_all_in_force(monkeypatch):
    monkeypatch.setattr("wickhinge.store.purging.MAX_PENDING_PURGES", 4)
    world = started_world(continues=True)
    for key in range(1, 8):
        world.purge(key, 0, key)
    assert world.lanes.queue and len(world.store.purging.pending) <= 5
    world.lanes.go()
    world.restart(1, power_lost=True)
    assert all(world.store.tier.purges.covers(key, group, stamp) for key, group, stamp in world.stamps)


def test_disk_when_it_is_slow_is_bypassed():
    world = started_world()
    copy = stored_copy(world)
    for _ in range(4):
        got = read_results(world, copy)
        world.clock += 2.0
        world.lanes.go()
        world.store.journal_caught_up(world.clock, False)
    assert got[0] is not None and read_results(world, copy) == [None]


def test_read_when_too_many_are_under_way_is_refused_at_once():
    world = started_world()
    copy = stored_copy(world)
    got = [read_results(world, copy) for _ in range(17)]
    assert got[16] == [None] and got[:16] == [[]] * 16


def test_memory_tier_when_the_disk_stalls_answers_within_its_capacity():
    world = started_world(memory=4000)
    for key in range(8):
        stored_copy(world, key, size=900)
    world.lanes.stalled = {"read"}
    assert sum(bool(read_results(world, world.store.find(key, 0, world.clock))) for key in range(8)) == 4
    assert world.store.tier.memory.used_bytes <= 4000


# Age across a start, and while the journal is away.


def test_recovered_copy_when_neither_revalidated_nor_caught_up_is_not_current():
    for continues, whole, proven in ((False, True, False), (True, False, False), (True, True, True)):
        world = started_world(continues=continues)
        assert world.store.is_current(stored_copy(world), world.clock)
        world.restart(1, power_lost=False)
        copy = world.store.find(1, 0, world.clock)
        assert copy is not None and not world.store.is_current(copy, world.clock)
        world.store.journal_caught_up(world.clock, whole)
        assert world.store.is_current(copy, world.clock) is proven
        world.store.revalidate(copy, world.clock)
        assert world.store.is_current(copy, world.clock)


@pytest.mark.parametrize("later, answers", [(0.0, True), (2.9, True), (3.1, False), (-2.0, False)])
def test_copy_when_the_journal_is_quiet_or_the_clock_went_back_is_not_current(later, answers):
    world = started_world()
    assert world.store.is_current(stored_copy(world), world.clock + later) is answers


# The journal: taken up again at a number of an earlier start.


def test_journal_when_it_resumes_passes_on_purges_and_no_lists():
    made, told = reading(5)
    made.resume_purges(2)
    up = []
    made.listener.caught_up = lambda: up.append(made.is_unbroken)
    for number in (3, 4, 5, 6):
        made.apply_frame(number, 1, b"") if number in (3, 6) else made.apply_frame(number, 4, b"\x00\x07" + bytes(8))
    made.apply_frame(6, 0, b"")
    assert told == [(None, 7, 0), (None, 7, 0), (True, [])] and up == [True]


@pytest.mark.parametrize("remembered, first", [(9, None), (0, None), (2, 4)])
def test_journal_when_its_count_restarted_or_has_a_gap_is_not_unbroken(remembered, first):
    made, _ = reading(5)
    up = []
    made.listener.caught_up = lambda: up.append(made.is_unbroken)
    made.resume_purges(remembered)
    if first:
        with pytest.raises(Exception, match="after"):
            made.apply_frame(first, 4, b"\x00\x07" + bytes(8))
    made.apply_frame(5, 0, b"")
    made.apply_frame(3, 0, b"")  # a service that lost its count: nothing is caught up with
    assert up == [False] and made.last_number == 5


# What decide says may answer.


class PreparedCopies:
    """Copies by hand."""

    def __init__(self, copy, proven=True, held=True, ends=0.0):
        self.copy, self.is_proven, self.is_held, self.late = copy, proven, held, ends

    def record_request(self, key, part):
        self.visited = key, part

    def find(self, key, part, now):
        return self.copy

    def is_current(self, copy, now):
        return self.is_proven

    def age(self, copy, now):
        return now - copy.created

    def is_valid(self, copy, now):
        return self.is_held

    def transfer_end(self, copy, now):
        return now + self.late


def asked(kind, age, now=100.0, **more):
    made = make_router()
    made.local_copies = PreparedCopies(Copy(5, 0, 3, b"t", now - age, 100, 1), **more)
    visit, caller = route_request(made, kind, now=now)
    return made, visit, caller


@pytest.mark.parametrize(
    "fresh, age, more, answers",
    [
        (0.0, 1e6, {}, True),
        (10.0, 9.0, {}, True),
        (10.0, 11.0, {}, False),
        (0.0, 1.0, {"proven": False}, False),
        (0.0, 1.0, {"ends": 0.7}, True),
        (0.0, 1.0, {"ends": 0.8}, False),
    ],
)
def test_copy_when_fresh_and_current_and_in_time_answers(fresh, age, more, answers):
    made, visit, caller = asked(make_request_class(freshness_lifetime=fresh), age, **more)
    assert bool(caller.served_copies) is answers and bool(caller.forwards) is not answers
    assert made.object_counts.entries[5].leading_parts == 1  # a visit raises k, however it is answered
    if answers:
        assert (
            visit.copy_read(caller.served_copies[0], 100.01, is_complete=True)
            and visit.is_finished
            and caller.answers == []
        )


@pytest.mark.parametrize("whole, gone", [(False, False), (True, True)])
def test_request_when_its_copy_is_unreadable_or_purged_is_forwarded_once(whole, gone):
    made, visit, caller = asked(make_request_class(), 1.0)
    made.local_copies.is_held = not gone
    assert not visit.copy_read(caller.served_copies[0], 100.05, is_complete=whole)
    assert len(caller.forwards) == 1 and visit.local_copy is None and len(caller.served_copies) == 1


@pytest.mark.parametrize(
    "kind",
    [
        make_request_class(Idempotency.NOT_IDEMPOTENT),
        make_request_class(Idempotency.IDEMPOTENCY_KEY),
        make_request_class(pass_through=True),
    ],
)
def test_request_when_it_has_effects_is_never_answered_by_a_copy(kind):
    _, visit, caller = asked(kind, 1.0)
    assert not caller.served_copies and visit.local_copy is None


@pytest.mark.parametrize("age, reads", [(7.0, True), (11.0, False)])
def test_copy_when_in_its_grace_answers_only_in_place_of_a_denial(age, reads):
    _, visit, caller = asked(replace(make_request_class(freshness_lifetime=5.0), stale_grace=5.0), age)
    assert len(caller.forwards) == 1 and not caller.served_copies
    visit.give_up(100.1)
    assert bool(caller.served_copies) is reads and bool(caller.answers) is not reads
    if reads:
        assert not visit.copy_read(caller.served_copies[0], 104.99, is_complete=False)
        assert caller.answers == [("rejected", 0.5)]


def test_copy_when_not_current_is_offered_and_answers_after_revalidation():
    made, visit, caller = asked(make_request_class(), 1.0, proven=False)
    assert visit.local_copy is made.local_copies.copy and caller.forwards
    before = dict(made.mean_work_by_class), visit.object_count.work
    made.local_copies.is_proven = True
    end_attempt(caller, Outcome.NOT_MODIFIED, 100.02)
    assert (
        caller.served_copies
        and not visit.is_finished
        and (dict(made.mean_work_by_class), visit.object_count.work) == before
    )
    assert visit.copy_read(caller.served_copies[0], 100.03, is_complete=True) and visit.is_finished


def test_revalidated_copy_when_unreadable_is_requested_from_the_same_cache():
    made, visit, caller = asked(make_request_class(), 1.0, proven=False)
    made.local_copies.is_proven = True
    end_attempt(caller, Outcome.NOT_MODIFIED, 100.02)
    assert not visit.copy_read(caller.served_copies[0], 100.03, is_complete=False)
    assert len(caller.forwards) == 2 and caller.forwards[1].server is caller.forwards[0].server
    end_attempt(caller, Outcome.SUCCEEDED, 100.04, is_answered=True)
    assert visit.is_finished


# The glue, and the wire.


class Heap:
    """Deadlines by hand."""

    def __init__(self):
        self.calls, self.clock = [], 100.0

    def now(self):
        return self.clock

    def call_at(self, when, call, *args):
        self.calls.append((when, call, args))

    def call_after(self, delay, call, *args):
        self.call_at(self.clock + delay, call, *args)

    def call_soon(self, call, *args):
        self.call_at(0.0, call, *args)

    def run(self, until):
        self.clock = until
        while due := [entry for entry in self.calls if entry[0] <= until]:
            self.calls.remove(due[0])
            due[0][1](*due[0][2])


class Answers:
    def __init__(self):
        self.had = []

    def send_answer(self, call, body, fields):
        self.had.append((call, b"".join(body.views()) if body is not None else b"", fields))

    def send_error(self, call, word, fields):
        self.had.append((call, word, fields))

    def is_request_open(self, call):
        return True


def wired(with_store=True):
    world = started_world()
    heap, (buffers, _) = Heap(), pool(100)
    faults, sent = [], []
    line = SimpleNamespace(block_tag=lambda tag: None, unwritten_tags=())
    machine = SimpleNamespace(
        send=lambda tag, number, payload: sent.append((tag, number, forwards.build_frame(number))) or line
    )
    caches = SimpleNamespace(
        pools_by_id={mark: machine for mark in [1, 2, 3, 4, 100, 101, 200]},
        deadlines=heap,
        set_owner=lambda owner: None,
    )
    made, copies = make_router(), None
    world.clock = heap.clock
    if with_store:
        world.read_clock = lambda: heap.clock
        copies = made.local_copies = LocalCopies(
            world.store, heap, buffers, LinkBandwidth(1e6, 1e6), 0.1, faults.append, RemoteClock()
        )
        world.store.journal_caught_up(heap.clock, False)
    forwards = attempts(caches, faults, decisions=made, local_copies=copies)
    visits = RequestTable(forwards, heap, buffers, {"t": make_request_class()}, lambda *a, **k: None, faults.append)
    return SimpleNamespace(
        world=world,
        heap=heap,
        forwards=forwards,
        visits=visits,
        sent=sent,
        faults=faults,
        pool=buffers,
        client=Answers(),
        router=made,
    )


ASKED = random.Random(4)


def ask(net, **more):
    fields = {"rid": f"{ASKED.getrandbits(64):016x}", "budget": "3000", "obj": f"{5:016x}", "block": "0", **more}
    return net.visits.start_request(net.client, len(net.client.had), "t", fields, b"", net.heap.clock)


def told(net):
    """The fields of what was sent last."""
    (items,) = resp.ReplyDecoder(pool()[0]).feed(net.sent[-1][2])
    return resp.parse_fields(items[2])


def served(net, word=b"OK", body=b"x" * 700, made=99_000):
    number = net.sent[-1][1]
    net.forwards.response_received(number, word, b"etag=00000000000000e1,made=%d" % made, Body(net.pool, body))


@pytest.mark.parametrize("cached, have", [("00000000000000e1", "00000000000000e1"), ("zz,src=s-1", None), ("", None)])
def test_client_etag_when_well_formed_is_passed_on_and_answers_without_a_body(cached, have):
    net = wired(with_store=False)
    ask(net, cached=cached)
    assert told(net).get("have") == have
    assert net.forwards.response_received(net.sent[-1][1], b"SAME", b"etag=e,made=9", None) is (have is not None)
    if have:
        assert net.client.had == [(0, b"", {"keep": "1"})] and net.visits.slots.free


def visited(net, word=b"OK", **more):
    ask(net, **more)
    served(net, word)
    net.world.lanes.go()
    net.heap.run(net.heap.clock)


def test_copy_when_requested_twice_is_stored_and_answers_the_third_request():
    net = wired()
    visited(net), visited(net)
    assert len(net.sent) == 2 and net.world.store.tier.counters.admitted == 1
    ask(net)
    net.heap.run(net.heap.clock)
    net.world.lanes.go()
    net.heap.run(net.heap.clock)
    assert len(net.sent) == 2 and net.client.had[2] == (2, b"x" * 700, {}) and not net.faults
    assert not list(net.visits.slots) and not list(net.visits.local_copies.slots)
    ask(net, cached="00000000000000e1")
    net.heap.run(net.heap.clock)
    assert net.client.had[3] == (3, b"", {"keep": "1"}) and net.visits.local_copies.served_counts["told"] == 1


def test_read_when_late_is_followed_by_a_forward_and_one_answer():
    net = wired()
    visited(net), visited(net)
    net.world.lanes.stalled = {"read"}
    ask(net)
    net.heap.run(net.heap.clock + 0.05)
    assert len(net.sent) == 2
    net.heap.run(net.heap.clock + 0.06)
    assert len(net.sent) == 3
    served(net)
    net.world.lanes.stalled = set()
    net.world.lanes.go()
    net.heap.run(net.heap.clock + 1.0)
    assert len(net.client.had) == 3 and not net.faults and net.visits.local_copies.served_counts["late"] == 1


def test_client_when_gone_during_a_read_gets_no_answer():
    net = wired()
    visited(net), visited(net)
    door = ask(net)
    net.visits.client_left(door, "aborted")
    net.world.lanes.go()
    net.heap.run(net.heap.clock + 5.0)
    assert len(net.client.had) == 2 and not list(net.visits.slots)


def test_recovered_copy_when_a_cache_revalidates_it_answers():
    net = wired()
    visited(net), visited(net)
    net.world.restart(1, power_lost=False)
    net.world.read_clock = lambda: net.heap.clock
    copies = LocalCopies(
        net.world.store, net.heap, net.pool, LinkBandwidth(1e6, 1e6), 0.1, net.faults.append, RemoteClock()
    )
    net.router.local_copies = net.visits.local_copies = net.forwards.local_copies = copies
    net.world.store.journal_caught_up(net.heap.clock, False)
    ask(net)
    assert told(net)["have"] == "00000000000000e1"
    served(net, b"SAME", b"", made=99_900)
    net.heap.run(net.heap.clock)
    net.world.lanes.go()
    net.heap.run(net.heap.clock)
    assert net.client.had[2] == (2, b"x" * 700, {}) and not net.faults
    assert net.world.store.find(5, 0, net.heap.clock).created == 99.9
