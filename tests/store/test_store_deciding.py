"""The disk tier's decisions, one by one."""

import random

import pytest

from wickhinge.store import purge_log_recovery
from wickhinge.store.admission import Copy, Keep, Tails
from wickhinge.store.bandwidth import Link
from wickhinge.store.circuit_breaker import ERRORS, LONGEST, SLOW, Breaker
from wickhinge.store.frequency import Counts
from wickhinge.store.purges import Purge, Purged
from wickhinge.store.segments import Space
from wickhinge.store.write_rate_limiter import Pace


def copy(key=1, part=0, size=10, made=5.0, serial=0, proven=True, group=0):
    return Copy(key, part, group, b"t", made, size, serial, proven=proven)


def keep(room=100):
    return Keep(room, Counts(1024))


def visits(made, key, count):
    for _ in range(count):
        made.visit(key, 0)


def test_counts_remember_far_more_than_they_mix_up():
    made, told = Counts(16_384), {}
    chance = random.Random(3)
    for _ in range(10_000):
        key = chance.getrandbits(64)
        told[key] = chance.randrange(1, 20)
        made.put(key, told[key])
    wrong = sum(made.get(key) != k for key, k in told.items())
    strangers = sum(made.get(chance.getrandbits(64)) > 0 for _ in range(16_000))
    assert wrong < 0.03 * len(told) and strangers < 0.002 * 16_000
    assert len(made.dump()) < 8 * len(told) + 2
    again = Counts(16_384)
    assert again.load(made.dump()) and again.places == made.places
    assert not Counts(64).load(made.dump())


def test_counts_fade_by_half_with_each_age_and_do_not_come_back_when_ages_come_round():
    made = Counts(64)
    made.put(7, 9)
    seen = []
    for _ in range(300):
        for _ in range(4 * len(made.places)):
            made.put(99, 1)
        seen.append(made.get(7))
    assert seen[:4] == [4, 2, 1, 0] and set(seen[4:]) == {0}


@pytest.mark.parametrize(
    "count, part, wanted",
    [(0, 0, False), (1, 0, False), (2, 0, True), (2, 1, True), (2, 2, False), (5, 4, True), (5, 5, False)],
)
def test_parts_below_k_are_wanted_and_nothing_that_was_not_wanted_before(count, part, wanted):
    made = keep()
    visits(made, 1, count)
    assert made.wants(1, part, 10) is wanted
    assert not made.wants(1, part, 26)  # over a quarter of the room


def test_the_least_lately_used_object_loses_its_tail_and_its_k_falls_to_what_is_left():
    made = keep()
    for key in (1, 2):
        visits(made, key, 6)
        for part in range(5):
            made.put(copy(key, part))
    made.visit(1, 3)
    visits(made, 3, 2)
    (gone,) = made.put(copy(3, 0))
    assert (gone.key, gone.part, made.k(2), made.k(1)) == (2, 4, 4, 6)
    assert not made.wants(2, 4, 10) and made.wants(1, 5, 10)
    made.visit(2, 0)
    assert made.wants(2, 4, 10)


def test_what_lost_its_last_part_is_remembered_as_wanted_before():
    made = keep(20)
    for key in (1, 2, 3):
        visits(made, key, 4)
        made.put(copy(key))
    assert made.k(1) == 1 and 1 not in made.ks
    visits(made, 1, 1)
    assert made.wants(1, 0, 5)


@pytest.mark.parametrize(
    "old, new, believed",
    [
        ((5.0, 1, False), (6.0, 0, False), True),
        ((5.0, 1, False), (5.0, 2, False), True),
        ((5.0, 2, False), (5.0, 1, False), False),
        ((6.0, 1, False), (5.0, 9, False), False),
        ((5.0, 1, True), (6.0, 9, False), False),
    ],
)
def test_of_two_recovered_copies_the_newer_counts_and_none_replaces_one_of_this_run(old, new, believed):
    made = keep()
    first, second = (copy(made=m, serial=s, proven=p) for m, s, p in (old, new))
    made.put(first)
    assert made.recovered(second, 3) == [first if believed else second]
    assert made.find(1, 0) is (second if believed else first)


def test_recovered_copies_go_before_what_this_run_keeps():
    made = keep(30)
    visits(made, 9, 3)
    made.put(copy(9))
    assert made.recovered(copy(1, 0, proven=False), 2) == [] and made.recovered(copy(2, 0, proven=False), 2) == []
    late = copy(3, 0, proven=False)
    assert made.recovered(late, 2) == [late]
    assert [gone.key for gone in made.put(copy(9, 1))] == [2] and made.k(1) == 2


def test_tails_of_no_room_hold_nothing():
    made = Tails(0)
    one = copy()
    assert made.put(one) == [one] and not made.objects and made.used == 0


def test_segments_are_recycled_whole_unread_and_least_alive_first():
    space = Space(100, 20)
    for number, live in ((1, 5), (2, 15), (3, 0), (4, 20)):
        space.wrote((number, 0, 20))
        space.segments[number].live = live
    assert space.idle() == [3] and space.victim() == 1 and not space.full()
    space.pin(3)
    assert space.idle() == []
    space.unpin(3)
    space.wrote((5, 0, 10))
    assert space.full() and space.idle() == [3]
    space.cleaning = 1
    assert space.victim() is None
    for number in (3, 1):
        space.drop(number)
    assert not space.full() and space.cleaning is None and space.total == 50
    space.unpin(1)
    space.dead((1, 0, 5))


def test_writing_is_bounded_in_bytes_that_wait_and_bytes_a_second():
    pace = Pace(100, 50.0)
    assert pace.take(60, 1.0) and not pace.take(10, 1.0)  # a second's worth was there
    assert pace.take(30, 2.0) and not pace.take(30, 9.0)  # 90 wait
    pace.done(60)
    assert pace.take(30, 9.0) and pace.refused == 2
    pace.done(60)
    assert not pace.take(90, 5.0) or pace.tokens <= 50  # a clock set back earns nothing
    assert pace.tokens <= 50


def test_the_breaker_opens_after_some_in_a_row_and_one_trial_closes_it():
    breaker = Breaker(0.1)
    for _ in range(ERRORS - 1):
        breaker.ended(False, 0.0, 1.0)
    breaker.ended(True, 0.0, 1.0)
    assert breaker.allows(1.0)
    for _ in range(ERRORS):
        breaker.ended(False, 0.0, 2.0)
    assert not breaker.allows(2.5) and breaker.opened == 1
    assert breaker.allows(3.0) and not breaker.allows(3.0)
    breaker.ended(False, 0.0, 3.1)
    assert not breaker.allows(5.0) and breaker.allows(5.1)
    breaker.ended(True, 0.05, 5.2)
    assert breaker.allows(5.2) and not breaker.open


def test_slowness_opens_the_breaker_and_a_clock_set_back_does_not_keep_it_open():
    breaker = Breaker(0.1)
    for _ in range(SLOW):
        breaker.ended(True, 0.2, 1000.0)
    assert not breaker.allows(1000.5) and breaker.allows(1000.5 - 2 * LONGEST)


@pytest.mark.parametrize(
    "made, key, group, covered",
    [(10.0, 1, 0, True), (10.001, 1, 0, False), (9.0, 2, 0, False), (20.0, 2, 3, True), (20.001, 2, 3, False)],
)
def test_purges_cover_what_was_made_up_to_them(made, key, group, covered):
    purged = Purged()
    purged.told(Purge(1, 0, 10.0, 1, 4))
    purged.told(Purge(None, 3, 20.0, 2, 5))
    purged.told(Purge(1, 0, 8.0, 3, 6))  # told late, and older
    assert purged.covers(key, group, made) is covered
    assert purged.number == 6 and purged.objects[1].segment == 3


def test_purges_are_forgotten_only_when_no_older_segment_is_left():
    purged = Purged()
    purged.told(Purge(1, 0, 10.0, 5, 1))
    assert purged.forget(5, 1000.0) == 0 and purged.forget(6, 20.0) == 0
    assert purged.forget(6, 1000.0) == 1 and not purged.covers(1, 0, 5.0)


def test_a_storm_of_purges_costs_copies_and_not_memory():
    purged = Purged(most=100)
    for place in range(1000):
        purged.told(Purge(place, 0, float(place), 1, place))
    assert len(purged) <= 102 and purged.number == 999
    for place in range(1000):
        assert purged.covers(place, 0, float(place))
    assert not purged.covers(5000, 0, 999.5)


def log(*sequences, base=0):
    return [
        (one, purge_log_recovery.BASE if one == base else purge_log_recovery.PURGE, Purge(one, 0, 10.0 + one, 1, one))
        for one in sequences
    ]


@pytest.mark.parametrize(
    "halves, others, believed, sequence",
    [
        (([], []), False, True, 1),
        (([], []), True, False, 1),
        ((log(0, 1, 2), log(0, 1, 2)), True, True, 3),
        ((log(0, 2), log(0, 1, 2)), True, True, 3),
        ((log(0, 2), log(0, 2)), True, False, 3),
        ((log(0, 1), log(0, 1, 2)), True, True, 3),
        ((log(1, 2), log(1, 2)), True, False, 3),
        ((log(5, 6, base=5), log(0, 1, 2)), True, True, 7),
        ((log(1, 2), log(1, 2)), False, False, 3),
    ],
)
def test_what_is_believed_of_a_purge_log(halves, others, believed, sequence):
    purged, following, whole = purge_log_recovery.purges(halves, others)
    assert (whole, following) == (believed, sequence)
    base = max((one for half in halves for one, kind, _ in half if kind == purge_log_recovery.BASE), default=0)
    assert all(purged.covers(one, 0, purge.stamp) for half in halves for one, _, purge in half if one > base)


@pytest.mark.parametrize(
    "marks, number, size, start",
    [({}, 3, 90, 0), ({3: 50}, 3, 90, 50), ({3: 50}, 3, 40, 0), ({3: 50}, 2, 90, 90), ({3: 50}, 4, 90, 0)],
)
def test_from_where_a_start_reads_a_segment(marks, number, size, start):
    assert purge_log_recovery.covered(marks, number, size) == start


def test_the_own_link_sends_one_after_the_other_and_each_no_faster_than_a_flow():
    link = Link(10.0, 40.0)
    assert link.ends(20, 100.0) == 102.0
    link.send(400, 100.0)
    assert link.ends(20, 100.0) == 110.5 and link.ends(20, 200.0) == 202.0
