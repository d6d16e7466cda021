"""Starts without discovery: what is believed of whom, when, and what becomes of it when the service returns."""

import errno
from types import SimpleNamespace

import pytest

from tests.support.connections import reading
from tests.support.faulty_disk import Crash, Disk
from tests.support.routing import end, listing, request_class, router, take
from wickhinge.decide import RandomSource
from wickhinge.interface import Idempotency, Outcome
from wickhinge.membership import remembered, siblings
from wickhinge.membership.backoff import Backoff
from wickhinge.membership.compare import compare
from wickhinge.membership.gap import Gap
from wickhinge.membership.keeper import Keeper, Unusable
from wickhinge.membership.members import Members
from wickhinge.membership.statements import GONE_MOST, LIVE, REMEMBERED, SIBLING, STATIC, Book, Statement
from wickhinge.membership.trust import LONGEST, Proving, Stage, Terms
from wickhinge.net.control.endpoint_watch import MalformedFrameError

DAY = 86400.0


def said(mark, state="ready", when=100.0, source=REMEMBERED, kind="box", port=None, zone="here"):
    return Statement(mark, ("127.0.0.1", port or mark), state, zone, kind, 0, 4.0, None, when, source)


# Statements.


@pytest.mark.parametrize(
    "first, second, state, source",
    [
        (said(1), said(1, when=101, source=SIBLING), "ready", SIBLING),
        (said(1, when=101), said(1, when=100, source=SIBLING), "ready", REMEMBERED),
        (said(1), said(1, source=STATIC), "ready", REMEMBERED),
        (said(1, when=101), said(1, "draining", when=50, source=SIBLING), "draining", SIBLING),
        (said(1, "draining", when=50, source=SIBLING), said(1, when=400), "draining", SIBLING),
        (said(1, "draining", when=50, source=SIBLING), said(1, when=60, source=LIVE), "ready", LIVE),
        (said(1, source=LIVE), said(1, "draining", when=90, source=SIBLING), "ready", LIVE),
        (said(1, source=LIVE), said(1, "draining", when=101, source=SIBLING), "draining", SIBLING),
        (said(1, source=LIVE), said(1, "gone", when=90, source=SIBLING), None, None),
        (said(1, "gone"), said(1, when=900, source=SIBLING), None, None),
    ],
)
def test_of_two_words_on_a_machine_one_is_in_force(first, second, state, source):
    book = Book()
    book.merge(first)
    book.merge(second)
    now = book.machines.get(1)
    assert (now.state, now.source) == (state, source) if state else now is None


def test_a_whole_live_list_is_the_last_word_and_what_is_gone_is_bounded():
    book = Book()
    for mark in (1, 2, 3):
        book.merge(said(mark))
    book.leave(4, 90.0)
    assert book.whole([said(2, source=LIVE, when=200), said(4, source=LIVE, when=200)], 200.0) == [1, 3]
    assert set(book.machines) == {2, 4} and not book.merge(said(1, when=300))
    for mark in range(10, GONE_MOST + 50):
        book.leave(mark, 1.0)
    assert len(book.gone) == GONE_MOST


def test_two_machines_whose_addresses_were_swapped_are_told_apart_by_their_ids():
    book = Book()
    book.merge(said(1, port=11)), book.merge(said(2, port=22))
    book.whole([said(1, port=22, source=LIVE, when=200), said(2, port=11, source=LIVE, when=200)], 200.0)
    assert book.addresses() == {("127.0.0.1", 22): [1], ("127.0.0.1", 11): [2]}


# Trust.


@pytest.mark.parametrize(
    "age, proofs, width, hint",
    [
        (1.0, 1, 6, False),
        (60.0, 1, 6, False),
        (3600.0, 2, 3, False),
        (3 * DAY, 3, 2, True),
        (None, 3, 2, True),
        (-100.0, 3, 2, True),
    ],
)
def test_an_older_list_is_trusted_less(age, proofs, width, hint):
    terms = Terms(age, 12, DAY)
    assert (terms.proofs, terms.width, terms.hint, terms.by_visit) == (proofs, width, hint, hint)


def proving(age=1.0, count=6, routers=1):
    made = Proving(RandomSource(3), routers, DAY, ("parent", "origin"))
    made.adopt(
        [said(mark) for mark in range(1, count + 1)] + [said(100, kind="parent"), said(200, kind="origin")], age, 100.0
    )
    return made


def test_machines_are_asked_a_few_at_a_time_and_caches_after_parents_where_the_list_is_old():
    made = proving(age=3600.0)
    asked = made.due(101.0)
    assert [one.mark for one in asked][:2] in ([100, 200], [200, 100]) and len(asked) == 3
    assert made.due(101.0) == []
    assert made.probed(asked[0].mark, True, 101.0) and made.listed(asked[0].mark) == ("ready", False)
    assert made.due(101.0) == []  # it is in proving, and takes its place still
    (again,) = made.due(101.7)
    assert again.mark == asked[0].mark and made.probed(again.mark, True, 101.7)
    assert made.listed(again.mark) == ("ready", True)
    assert len(made.due(101.8)) == 1


def test_a_hint_alone_never_proves_enough_for_what_has_effects():
    made = proving(age=3 * DAY)
    (one, *_) = made.due(101.0)
    for turn in range(8):
        made.probed(one.mark, True, 101.0 + turn)
    assert made.machines[one.mark].stage is Stage.PROVING
    assert made.ended(one.mark, True, 110.0) and made.machines[one.mark].stage is Stage.PROVEN


def test_what_does_not_answer_rests_longer_each_time_and_is_dropped():
    made = proving(count=1)
    now, seen = 101.0, []
    for _ in range(200):
        for one in made.due(now):
            if one.mark == 1:
                seen.append(now)
            made.probed(one.mark, False, now)
        now += 0.25
    rests = [after - before for before, after in zip(seen, seen[1:], strict=False)]
    assert len(seen) == 6 and rests == sorted(rests) and made.machines[1].stage is Stage.DROPPED
    assert made.listed(1) == ("draining", False) and max(rests) <= 2 * LONGEST
    made.adopt([said(1, when=now)], 1.0, now + 1)
    assert made.machines[1].stage is Stage.UNPROVEN


def test_a_proven_machine_that_refuses_is_taken_out_at_once_and_an_address_that_changed_proves_nothing():
    made = proving()
    (one, *_) = made.due(101.0)
    made.probed(one.mark, True, 101.0)
    assert made.ended(one.mark, False, 101.1) and made.listed(one.mark) == ("draining", False)
    made.probed(one.mark, True, 103.0)
    made.adopt([said(one.mark, port=9999, when=200.0)], 1.0, 200.0)
    assert made.machines[one.mark].stage is Stage.UNPROVEN


def test_a_hundred_routers_do_not_ask_one_machine_at_once():
    times = []
    for number in range(100):
        made = Proving(RandomSource(number), 100, DAY, ())
        made.adopt([said(1)], 1.0, 100.0)
        times.append(made.machines[1].due - 100.0)
    assert max(times) > 1.5 and max(sum(t <= u < t + 0.1 for u in times) for t in times) < 20


# The gap, backoff, comparison.


@pytest.mark.parametrize(
    "heard, untold, now, oldest",
    [
        (990.0, 0.0, 1000.0, 10.0),
        (990.0, 4.0, 1000.0, 4.0),
        (0.0, 0.0, 1000.0, 3.0),
        (1010.0, 0.0, 1000.0, 3.0),
        (1000.0, 0.0, 1000.0, 0.001),
        (None, 0.0, 1000.0, None),
        (None, 4.0, 1002.0, None),
        (None, 4.0, 1009.0, 4.0),
    ],
)
def test_copies_from_before_the_gap_are_not_asked_for(heard, untold, now, oldest):
    gap = Gap(untold, 3.0)
    gap.remembered(heard) if heard is not None else gap.closed(1000.0)
    assert gap.oldest(now) == oldest


def test_addresses_are_tried_in_turn_and_later_each_round():
    made = Backoff([("a", 1), ("b", 2)], SimpleNamespace(draw=lambda: 0.5), 0.1, 1.0)
    tries = [made.failed() for _ in range(12)]
    assert [where[0] for where, _ in tries[:3]] == ["b", "a", "b"]
    assert [wait for _, wait in tries[:4]] == [0.1, 0.2, 0.2, 0.4] and tries[-1][1] == 1.0
    made.well()
    assert made.failed()[1] == 0.1
    made.moved(("c", 3))
    assert [made.failed()[0][0] for _ in range(4)] == ["b", "c", "b", "c"]


@pytest.mark.parametrize(
    "new, doubts",
    [
        ([], "empty"),
        ([said(1), said(100, kind="parent", zone="hub")], "2 machines where 6"),
        ([said(mark) for mark in range(1, 6)], "zone hub"),
        ([said(mark) for mark in range(1, 6)] + [said(100, kind="parent", zone="hub")], ""),
    ],
)
def test_a_list_that_is_suspiciously_small_is_told_so(new, doubts):
    old = [said(mark) for mark in range(1, 6)] + [said(100, kind="parent", zone="hub")]
    answer = compare(old, new)
    assert doubts in "; ".join(answer["doubts"]) and bool(answer["doubts"]) == bool(doubts)
    assert len(answer["gone"]) == len(old) - len(new)


# Members.


class World:
    def __init__(self, age=10.0, memory=True, static=(), **more):
        self.log, self.told, self.probes, self.purges = [], {}, [], []
        self.members = Members(
            self.tell,
            self.probes.append,
            lambda event, **f: self.log.append((event, f)),
            RandomSource(1),
            "d",
            1,
            ("parent", "origin"),
            0.5,
            DAY,
            0.0,
            3.0,
            6.0,
        )
        self.members.told_purge = lambda *a: self.purges.append(a)
        rows = [remembered.row(said(mark, when=1000.0 - (age or 0))) for mark in range(1, 6)]
        self.memory = (
            remembered.Memory("d", 1000.0 - (age or 0), 1000.0 - (age or 0), 7, rows, [(9, 5.0)], [(5, 0, 995.0)])
            if memory
            else None
        )
        self.members.start(self.memory, list(static), 1000.0)

    def tell(self, machines):
        for one, state, trusted in machines:
            self.told.setdefault(one.mark, []).append((state, trusted))

    def prove(self, now):
        self.members.tick(now)
        self.members.tick(now + 0.1)  # none is asked in the first moment: others may start with this one
        for one in self.probes:
            self.members.probed(one.mark, True, now)
        self.probes.clear()

    def sources(self):
        return [fields["source"] for event, fields in self.log if event == "list_source"]


def live(marks, now, state="ready"):
    return [said(mark, state, now, LIVE) for mark in marks]


def test_the_remembered_list_is_used_only_after_the_live_one_was_waited_for():
    world = World()
    world.members.tick(1000.4)
    assert not world.probes and world.sources() == [] and world.purges == [(5, 0, 995.0)]
    world.prove(1000.6)
    assert world.sources() == ["remembered"] and world.told
    for told in world.told.values():
        assert told == [("ready", False), ("ready", True)]  # it begins as one that may be cold


def test_a_live_list_in_time_leaves_the_remembered_one_unread():
    world = World()
    world.members.live(True, live([1, 2], 1000.2), 1000.2)
    world.members.tick(1002.0)
    assert world.sources() == ["live"] and not world.probes and not world.told


@pytest.mark.parametrize("static, source", [((said(1, when=0.0, source=STATIC),), "static"), ((), None)])
def test_with_no_list_at_all_the_settings_are_left_or_nothing(static, source):
    world = World(memory=False, static=static)
    world.prove(1001.0)
    assert world.sources() == ([source] if source else [])


@pytest.mark.parametrize(
    "change, proofs",
    [({"deployment": "other"}, None), ({"heard": 5000.0}, 3), ({"written": 5000.0}, 3), ({"heard": 0.0}, 3)],
)
def test_a_list_of_another_deployment_is_none_and_one_from_the_future_only_a_hint(change, proofs):
    world = World(memory=False)
    rows = [remembered.row(said(1))]
    world.members.start(
        remembered.Memory(
            **{"deployment": "d", "written": 990.0, "heard": 990.0, "number": 1, "machines": rows, **change}
        ),
        [],
        1000.0,
    )
    world.members.tick(1001.0)
    assert world.sources() == ([] if proofs is None else ["remembered"])
    assert proofs is None or world.members.proving.terms.proofs == proofs


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_a_siblings_word_that_a_machine_leaves_counts_at_once(state):
    world = World()
    world.prove(1000.6)
    rows = [remembered.row(said(1, "draining", when=2.0))] if state == "draining" else []
    told = siblings.Told("d", 5000.0, 3, rows, [1] if state == "gone" else [], [(8, 0, 999.0)])
    assert world.members.sibling(told, 1001.0)
    assert world.told[1][-1] == (state, False) and (8, 0, 999.0) in world.purges
    world.prove(1002.0)
    assert world.told[1][-1] == (state, False)


def test_a_siblings_older_list_adds_nothing_and_one_of_another_deployment_is_not_heard():
    world = World(age=10.0)
    world.prove(1000.6)
    rows = [remembered.row(said(mark, when=50.0)) for mark in (1, 77)]
    assert world.members.sibling(siblings.Told("d", 5000.0, 3, rows), 1001.0)
    assert 77 not in world.members.book.machines and world.sources() == ["remembered"]
    assert not world.members.sibling(siblings.Told("x", 1.0, 3, rows), 1001.0)
    assert world.members.sibling(siblings.Told("d", 2.0, 3, rows), 1001.0)
    assert 77 in world.members.book.machines and world.sources() == ["remembered", "sibling"]


def test_the_service_returns_while_machines_are_being_proven():
    world = World()
    world.members.tick(1000.6)
    asked = list(world.probes)
    world.members.live(True, live([2, 3, 50], 1000.7), 1000.7)
    for one in asked:  # answers of probes that were out
        world.members.probed(one.mark, True, 1000.8)
        world.members.ended(one.mark, False, 1000.8)
    assert not world.told and set(world.members.book.machines) == {2, 3, 50} and 1 in world.members.book.gone
    world.members.tick(1001.0)
    assert world.sources() == ["remembered", "live"] and len(world.probes) == len(asked)


def test_a_service_that_comes_and_goes_changes_the_source_once():
    world = World()
    world.prove(1000.6)
    for turn in range(20):
        now = 1001.0 + turn / 10
        world.members.live(True, live([1, 2, 3], now), now)
        world.members.caught_up(now, 4, False)
        world.members.tick(now + 0.05)
    assert world.sources() == ["remembered", "live"] and len(world.log) <= 2 + 5 + 1


def test_remembered_and_caught_up_is_the_live_list_with_what_changed_meanwhile():
    world = World()
    world.members.live(False, live([2], 1000.1, "draining"), 1000.1)
    assert world.members.gap.oldest(1000.1) is not None
    world.members.caught_up(1000.2, 8, True)
    assert world.sources() == ["live"] and world.members.gap.oldest(1000.2) is None
    assert world.told[1] == [("ready", True)] and world.told[2] == [("draining", True)]


def test_what_is_written_can_be_started_from():
    world = World(memory=False)
    assert world.members.remember(1000.0) is None
    world.members.live(True, live([1, 2], 1000.0), 1000.0)
    world.members.caught_up(1000.1, 9, False)
    world.members.purge(7, 0, 999.0, 1000.2)
    world.members.purge(8, 0, 900.0, 1000.2)
    kept = world.members.remember(1001.0)
    _, again = remembered.unpack(remembered.pack(kept, 4))
    assert again == kept and again.purges == [(7, 0, 999.0)] and (again.number, again.heard) == (9, 1000.1)


# Policy.


@pytest.mark.parametrize(
    "kind, sent",
    [
        (request_class(), 1),
        (request_class(Idempotency.NOT_IDEMPOTENT), 0),
        (request_class(Idempotency.IDEMPOTENCY_KEY), 0),
        (request_class(Idempotency.NOT_IDEMPOTENT, pass_through=True), 0),
    ],
)
def test_what_has_effects_goes_to_no_machine_that_only_an_old_list_names(kind, sent):
    made = router(boxes=0, parents=0)
    rows = [listing(1), listing(100, "parent", "hub"), listing(200, "origin", "hub")]
    made.fleet.listed(
        [row.__class__(**{**{n: getattr(row, n) for n in row.__slots__}, "is_verified": False}) for row in rows],
        True,
        99.0,
    )
    _, caller = take(made, kind)
    assert len(caller.forwards) == sent and len(caller.answers) == 1 - sent
    made.fleet.listed(rows, True, 101.0)
    made.fleet.known[1].answered(101.0), made.fleet.known[200].answered(101.0)
    _, caller = take(made, kind, now=112.0)
    assert len(caller.forwards) == 1


def test_an_untrusted_machine_is_tried_by_one_visit_at_a_time_and_is_cold_once_it_answers():
    made = router(boxes=0)
    row = listing(1)
    made.fleet.listed([row.__class__(1, "here", "box", 0, "ready", 20.0, None, False)], False, 99.0)
    _, first = take(made, key=1)
    take(made, key=2)
    assert first.forwards[0].cache.mark == 1 and len(made.fleet.known[1].pending) == 1
    end(first, Outcome.MISS, 100.01)
    assert made.fleet.known[1].started == 100.01 and not made.fleet.known[1].lost


# The file.


@pytest.mark.parametrize("how", ["crash", "tear", errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("lost", [False, True])
def test_whatever_call_fails_while_it_is_written_a_whole_list_is_left(how, lost):
    def kept(number):
        return remembered.Memory(
            "d", float(number), float(number), number, [remembered.row(said(mark)) for mark in range(number * 20)]
        )

    call, dones = 0, []
    while True:
        call += 1
        disk, done = Disk((call, how)), 0
        try:
            keeper = Keeper(disk, "d")
            keeper.open()
            for number in range(1, 5):
                try:
                    keeper.write(kept(number))
                    done = number
                except OSError:
                    continue
        except (Crash, Unusable):
            pass
        dones.append(done)
        if disk.calls < call:
            break
        after = Keeper(disk.restarted(call, lost), "d")
        after.open()
        memory, _ = after.read()
        assert (memory.number if memory else 0) >= done
        assert memory is None or memory == kept(memory.number)
    assert len(set(dones)) > 2


@pytest.mark.parametrize(
    "damage, told",
    [
        (lambda data: data[:-1], "not as it was written"),
        (lambda data: data[:10], "shorter"),
        (lambda data: b"", "shorter"),
        (lambda data: b"x" * len(data), "no remembered"),
        (lambda data: data[:9] + b"\x09" + data[10:], "format 9"),
        (lambda data: data[:80] + bytes([data[80] ^ 1]) + data[81:], "not as it was written"),
    ],
)
def test_a_damaged_list_is_no_list_and_the_other_generation_is_taken(tmp_path, damage, told):
    from wickhinge.store.files import Files

    keeper = Keeper(Files(), str(tmp_path))
    keeper.open()
    for number in (1, 2):
        keeper.write(remembered.Memory("d", 1.0, 1.0, number, [remembered.row(said(5))]))
    path = tmp_path / remembered.NAMES[0]
    path.write_bytes(damage(path.read_bytes()))
    memory, wrong = keeper.read()
    assert memory.number == 1 and told in wrong[0]
    with pytest.raises(Unusable, match="in use"):
        Keeper(Files(), str(tmp_path)).open()


# Siblings.

KEY = b"0123456789abcdef"


def exchange(key=KEY, nonce=b"n" * 16, rows=2):
    rows = [remembered.row(said(mark)) for mark in range(rows)]
    return siblings.answer(key, nonce, siblings.Told("d", 1.0, 2, rows))


def test_an_answer_is_read_at_every_split():
    data = exchange()
    for split in range(0, len(data), 7):
        stream = siblings.Stream(KEY, b"n" * 16)
        first = stream.feed(data[:split])
        assert (first or stream.feed(data[split:])).number == 2


@pytest.mark.parametrize(
    "data, told",
    [
        (exchange(key=b"another key 1234"), "not under our key"),
        (exchange(nonce=b"m" * 16), "not under our key"),
        (b"\xff\xff\xff\xff", "bytes"),
        (exchange(rows=20_001), "list of 20001 machines"),
        (siblings.LENGTH.pack(1) + b"\x05" + siblings.mac(KEY, b"n" * 16, b"\x05"), "another form"),
    ],
    ids=["key", "replayed", "length", "machines", "form"],
)
def test_a_wrong_answer_is_none(data, told):
    with pytest.raises(siblings.Unreadable, match=told):
        siblings.Stream(KEY, b"n" * 16).feed(data)


def test_a_list_of_a_hundred_thousand_machines_is_not_even_taken_in():
    with pytest.raises(siblings.Unreadable, match="bytes"):
        siblings.Stream(KEY, b"n" * 16).feed(exchange(rows=100_000)[:4])


@pytest.mark.parametrize("key, when, told", [(b"another key 1234", 100.0, "key"), (KEY, 900.0, "another time")])
def test_a_wrong_request_is_not_answered(key, when, told):
    assert siblings.read_request(KEY, siblings.request(KEY, b"n" * 16, 100.0), 101.0) == b"n" * 16
    with pytest.raises(siblings.Unreadable, match=told):
        siblings.read_request(KEY, siblings.request(key, b"n" * 16, when), 100.0)


# The journal.


@pytest.mark.parametrize("frames, last", [([(3, 0)], 0), ([(9, 1)], 0), ([(7, 0)], 7), ([(8, 1)], 8)])
def test_numbers_that_start_anew_or_with_a_gap_are_all_asked_for_again(frames, last):
    made, told = reading(0)
    up = []
    made.listener.caught_up = lambda: up.append(made.is_unbroken)
    made.resume_list(7)
    for number, kind in frames:
        if last:
            made.take_frame(number, kind, b"")
        else:
            with pytest.raises(MalformedFrameError):
                made.take_frame(number, kind, b"")
    assert made.last_number == last and made.is_unbroken is bool(last) and up == ([True] if frames == [(7, 0)] else [])
