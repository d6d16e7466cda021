"""The disk tier's decisions, one by one."""

import random

import pytest

from wickhinge.store.admission import AdmissionPolicy, TailEviction
from wickhinge.store.bandwidth import LinkBandwidth
from wickhinge.store.circuit_breaker import (
    MAX_BACKOFF_S,
    MAX_CONSECUTIVE_ERRORS,
    MAX_CONSECUTIVE_SLOW_CALLS,
    CircuitBreaker,
)
from wickhinge.store.copies import Copy, RecordLocation
from wickhinge.store.frequency import FrequencyTable
from wickhinge.store.purge_log_recovery import recover_purges, scan_start
from wickhinge.store.purges import LineKind, Purge, PurgeLine, PurgeTable
from wickhinge.store.segments import SegmentSpace
from wickhinge.store.write_rate_limiter import WriteRateLimiter


def copy(key=1, part=0, size=10, created=5.0, serial=0, age_verified=True, group=0):
    return Copy(key, part, group, b"t", created, size, serial, age_verified=age_verified)


def keep(room=100):
    return AdmissionPolicy(room, FrequencyTable(1024))


def visits(made, key, count):
    for _ in range(count):
        made.record_request(key, 0)


def test_frequency_table_when_nearly_full_is_right_for_most_objects():
    made, told = FrequencyTable(16_384), {}
    chance = random.Random(3)
    for _ in range(10_000):
        key = chance.getrandbits(64)
        told[key] = chance.randrange(1, 20)
        made.put(key, told[key])
    wrong = sum(made.get(key) != k for key, k in told.items())
    strangers = sum(made.get(chance.getrandbits(64)) > 0 for _ in range(16_000))
    assert wrong < 0.03 * len(told) and strangers < 0.002 * 16_000
    assert len(made.dump()) < 8 * len(told) + 2
    again = FrequencyTable(16_384)
    assert again.load(made.dump()) and again.entries == made.entries
    assert not FrequencyTable(64).load(made.dump())


def test_frequency_when_not_requested_halves_with_each_age_for_good():
    made = FrequencyTable(64)
    made.put(7, 9)
    seen = []
    for _ in range(300):
        for _ in range(4 * len(made.entries)):
            made.put(99, 1)
        seen.append(made.get(7))
    assert seen[:4] == [4, 2, 1, 0] and set(seen[4:]) == {0}


@pytest.mark.parametrize(
    "count, part, wanted",
    [(0, 0, False), (1, 0, False), (2, 0, True), (2, 1, True), (2, 2, False), (5, 4, True), (5, 5, False)],
)
def test_part_when_below_the_frequency_of_a_repeated_object_is_admitted(count, part, wanted):
    made = keep()
    visits(made, 1, count)
    assert made.admits(1, part, 10) is wanted
    assert not made.admits(1, part, 26)  # over a quarter of the room


def test_least_recently_used_object_when_space_runs_out_loses_its_tail_and_frequency():
    made = keep()
    for key in (1, 2):
        visits(made, key, 6)
        for part in range(5):
            made.add(copy(key, part))
    made.record_request(1, 3)
    visits(made, 3, 2)
    (gone,) = made.add(copy(3, 0))
    assert (gone.key, gone.part, made.frequency(2), made.frequency(1)) == (2, 4, 4, 6)
    assert not made.admits(2, 4, 10) and made.admits(1, 5, 10)
    made.record_request(2, 0)
    assert made.admits(2, 4, 10)


def test_object_when_its_last_part_is_evicted_keeps_a_frequency_of_one():
    made = keep(20)
    for key in (1, 2, 3):
        visits(made, key, 4)
        made.add(copy(key))
    assert made.frequency(1) == 1 and 1 not in made.stored_frequencies
    visits(made, 1, 1)
    assert made.admits(1, 0, 5)


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
def test_recovered_copy_when_another_is_present_wins_only_if_newer_and_none_of_this_run(old, new, believed):
    made = keep()
    first, second = (copy(created=m, serial=s, age_verified=p) for m, s, p in (old, new))
    made.add(first)
    assert made.add_recovered(second, 3) == [first if believed else second]
    assert made.find(1, 0) is (second if believed else first)


def test_recovered_copies_when_space_runs_out_go_before_those_of_this_run():
    made = keep(30)
    visits(made, 9, 3)
    made.add(copy(9))
    assert (
        made.add_recovered(copy(1, 0, age_verified=False), 2) == []
        and made.add_recovered(copy(2, 0, age_verified=False), 2) == []
    )
    late = copy(3, 0, age_verified=False)
    assert made.add_recovered(late, 2) == [late]
    assert [gone.key for gone in made.add(copy(9, 1))] == [2] and made.frequency(1) == 2


def test_tail_eviction_when_without_capacity_holds_nothing():
    made = TailEviction(0)
    one = copy()
    assert made.add(one) == [one] and not made.objects and made.used_bytes == 0


def test_segments_when_garbage_and_unread_are_recycled_and_least_live_compacted():
    space = SegmentSpace(100, 20)
    for number, live in ((1, 5), (2, 15), (3, 0), (4, 20)):
        space.record_append(RecordLocation(number, 0, 20))
        space.segments[number].live_bytes = live
    assert space.recyclable_segments() == [3] and space.compaction_victim() == 1 and not space.is_full()
    space.pin(3)
    assert space.recyclable_segments() == []
    space.unpin(3)
    space.record_append(RecordLocation(5, 0, 10))
    assert space.is_full() and space.recyclable_segments() == [3]
    space.compacting_segment = 1
    assert space.compaction_victim() is None
    for number in (3, 1):
        space.remove(number)
    assert not space.is_full() and space.compacting_segment is None and space.total_bytes == 50
    space.unpin(1)
    space.mark_garbage(RecordLocation(1, 0, 5))


def test_write_rate_limiter_when_over_queue_or_rate_refuses():
    limiter = WriteRateLimiter(100, 50.0)
    assert limiter.admit(60, 1.0) and not limiter.admit(10, 1.0)  # a second's worth was there
    assert limiter.admit(30, 2.0) and not limiter.admit(30, 9.0)  # 90 wait
    limiter.complete(60)
    assert limiter.admit(30, 9.0) and limiter.refused_count == 2
    limiter.complete(60)
    assert not limiter.admit(90, 5.0) or limiter.bucket.tokens <= 50  # a clock set back earns nothing
    assert limiter.bucket.tokens <= 50


def test_breaker_when_errors_follow_each_other_opens_until_a_trial_succeeds():
    breaker = CircuitBreaker(0.1)
    for _ in range(MAX_CONSECUTIVE_ERRORS - 1):
        breaker.record_call(False, 0.0, 1.0)
    breaker.record_call(True, 0.0, 1.0)
    assert breaker.permit_call(1.0)
    for _ in range(MAX_CONSECUTIVE_ERRORS):
        breaker.record_call(False, 0.0, 2.0)
    assert not breaker.permit_call(2.5) and breaker.opened_count == 1
    assert breaker.permit_call(3.0) and not breaker.permit_call(3.0)
    breaker.record_call(False, 0.0, 3.1)
    assert not breaker.permit_call(5.0) and breaker.permit_call(5.1)
    breaker.record_call(True, 0.05, 5.2)
    assert breaker.permit_call(5.2) and not breaker.is_open


def test_breaker_when_calls_are_slow_opens_and_a_clock_step_back_allows_a_trial():
    breaker = CircuitBreaker(0.1)
    for _ in range(MAX_CONSECUTIVE_SLOW_CALLS):
        breaker.record_call(True, 0.2, 1000.0)
    assert not breaker.permit_call(1000.5) and breaker.permit_call(1000.5 - 2 * MAX_BACKOFF_S)


@pytest.mark.parametrize(
    "made, key, group, covered",
    [(10.0, 1, 0, True), (10.001, 1, 0, False), (9.0, 2, 0, False), (20.0, 2, 3, True), (20.001, 2, 3, False)],
)
def test_purge_when_a_copy_was_created_up_to_it_covers_it(made, key, group, covered):
    purged = PurgeTable()
    purged.record(Purge(1, 0, 10.0, 1, 4))
    purged.record(Purge(None, 3, 20.0, 2, 5))
    purged.record(Purge(1, 0, 8.0, 3, 6))  # told late, and older
    assert purged.covers(key, group, made) is covered
    assert purged.last_event_number == 6 and purged.objects[1].newest_segment == 3


def test_purge_when_no_older_segment_is_left_is_forgotten():
    purged = PurgeTable()
    purged.record(Purge(1, 0, 10.0, 5, 1))
    assert purged.forget_obsolete(5, 1000.0) == 0 and purged.forget_obsolete(6, 20.0) == 0
    assert purged.forget_obsolete(6, 1000.0) == 1 and not purged.covers(1, 0, 5.0)


def test_purge_table_when_over_its_bound_merges_and_still_covers_all():
    purged = PurgeTable(max_purges=100)
    for place in range(1000):
        purged.record(Purge(place, 0, float(place), 1, place))
    assert len(purged) <= 102 and purged.last_event_number == 999
    for place in range(1000):
        assert purged.covers(place, 0, float(place))
    assert not purged.covers(5000, 0, 999.5)


def log(*sequences, base=0):
    kinds = {sequence: LineKind.BASE if sequence == base else LineKind.PURGE for sequence in sequences}
    return [
        PurgeLine(sequence, kind, Purge(sequence, 0, 10.0 + sequence, 1, sequence)) for sequence, kind in kinds.items()
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
def test_purge_log_when_lines_are_missing_is_complete_only_with_all_since_the_base(halves, others, believed, sequence):
    purged, following, is_complete = recover_purges(halves, has_segments=others)
    assert (is_complete, following) == (believed, sequence)
    base = max((one for half in halves for one, kind, _ in half if kind == LineKind.BASE), default=0)
    assert all(purged.covers(one, 0, purge.timestamp) for half in halves for one, _, purge in half if one > base)


@pytest.mark.parametrize(
    "marks, number, size, start",
    [({}, 3, 90, 0), ({3: 50}, 3, 90, 50), ({3: 50}, 3, 40, 0), ({3: 50}, 2, 90, 90), ({3: 50}, 4, 90, 0)],
)
def test_scan_when_a_snapshot_knows_a_segment_starts_at_its_mark(marks, number, size, start):
    assert scan_start(marks, number, size) == start


def test_transfer_end_when_the_link_is_busy_waits_for_earlier_transfers():
    link = LinkBandwidth(10.0, 40.0)
    assert link.transfer_end(20, 100.0) == 102.0
    link.record_transfer(400, 100.0)
    assert link.transfer_end(20, 100.0) == 110.5 and link.transfer_end(20, 200.0) == 202.0
