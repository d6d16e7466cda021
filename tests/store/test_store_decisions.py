"""Unit tests of the store's decisions: admission, segments, limits, circuit breaker, purges and recovery."""

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


def make_copy(key=1, part=0, size=10, created=5.0, serial=0, age_verified=True, group=0):
    return Copy(key, part, group, b"t", created, size, serial, age_verified=age_verified)


def make_policy(capacity_bytes=100):
    return AdmissionPolicy(capacity_bytes, FrequencyTable(1024))


def record_requests(policy, key, count):
    for _ in range(count):
        policy.record_request(key, 0)


def test_frequency_table_when_nearly_full_is_correct_for_most_objects():
    table, frequencies = FrequencyTable(16_384), {}
    rng = random.Random(3)
    for _ in range(10_000):
        key = rng.getrandbits(64)
        frequencies[key] = rng.randrange(1, 20)
        table.put(key, frequencies[key])
    wrong_count = sum(table.get(key) != frequency for key, frequency in frequencies.items())
    false_positive_count = sum(table.get(rng.getrandbits(64)) > 0 for _ in range(16_000))
    assert wrong_count < 0.03 * len(frequencies) and false_positive_count < 0.002 * 16_000
    assert len(table.dump()) < 8 * len(frequencies) + 2
    loaded = FrequencyTable(16_384)
    assert loaded.load(table.dump()) and loaded.entries == table.entries
    assert not FrequencyTable(64).load(table.dump())


def test_frequency_when_not_requested_halves_with_each_age_and_stays_at_zero():
    table = FrequencyTable(64)
    table.put(7, 9)
    frequencies = []
    for _ in range(300):
        for _ in range(4 * len(table.entries)):
            table.put(99, 1)
        frequencies.append(table.get(7))
    assert frequencies[:4] == [4, 2, 1, 0] and set(frequencies[4:]) == {0}


@pytest.mark.parametrize(
    "request_count, part, is_admitted",
    [(0, 0, False), (1, 0, False), (2, 0, True), (2, 1, True), (2, 2, False), (5, 4, True), (5, 5, False)],
)
def test_part_when_below_the_frequency_of_a_repeatedly_requested_object_is_admitted(request_count, part, is_admitted):
    policy = make_policy()
    record_requests(policy, 1, request_count)
    assert policy.admits(1, part, 10) is is_admitted
    assert not policy.admits(1, part, 26)  # A copy larger than a quarter of the capacity is not admitted.


def test_least_recently_used_object_when_space_runs_out_loses_its_tail_part_and_frequency():
    policy = make_policy()
    for key in (1, 2):
        record_requests(policy, key, 6)
        for part in range(5):
            policy.add(make_copy(key, part))
    policy.record_request(1, 3)
    record_requests(policy, 3, 2)
    (evicted,) = policy.add(make_copy(3, 0))
    assert (evicted.key, evicted.part, policy.frequency(2), policy.frequency(1)) == (2, 4, 4, 6)
    assert not policy.admits(2, 4, 10) and policy.admits(1, 5, 10)
    policy.record_request(2, 0)
    assert policy.admits(2, 4, 10)


def test_object_when_its_last_part_is_evicted_keeps_a_frequency_of_one():
    policy = make_policy(20)
    for key in (1, 2, 3):
        record_requests(policy, key, 4)
        policy.add(make_copy(key))
    assert policy.frequency(1) == 1 and 1 not in policy.stored_frequencies
    record_requests(policy, 1, 1)
    assert policy.admits(1, 0, 5)


@pytest.mark.parametrize(
    "present, recovered, recovered_wins",
    [
        ((5.0, 1, False), (6.0, 0, False), True),
        ((5.0, 1, False), (5.0, 2, False), True),
        ((5.0, 2, False), (5.0, 1, False), False),
        ((6.0, 1, False), (5.0, 9, False), False),
        ((5.0, 1, True), (6.0, 9, False), False),
    ],
)
def test_recovered_copy_when_another_is_present_wins_only_if_newer_than_another_recovered_one(
    present, recovered, recovered_wins
):
    policy = make_policy()
    present_copy, recovered_copy = (
        make_copy(created=created, serial=serial, age_verified=age_verified)
        for created, serial, age_verified in (present, recovered)
    )
    policy.add(present_copy)
    assert policy.add_recovered(recovered_copy, 3) == [present_copy if recovered_wins else recovered_copy]
    assert policy.find(1, 0) is (recovered_copy if recovered_wins else present_copy)


def test_recovered_copies_when_space_runs_out_are_evicted_before_those_of_this_run():
    policy = make_policy(30)
    record_requests(policy, 9, 3)
    policy.add(make_copy(9))
    assert (
        policy.add_recovered(make_copy(1, 0, age_verified=False), 2) == []
        and policy.add_recovered(make_copy(2, 0, age_verified=False), 2) == []
    )
    rejected = make_copy(3, 0, age_verified=False)
    assert policy.add_recovered(rejected, 2) == [rejected]
    assert [evicted.key for evicted in policy.add(make_copy(9, 1))] == [2] and policy.frequency(1) == 2


def test_tail_eviction_when_the_capacity_is_zero_keeps_no_copy():
    tier = TailEviction(0)
    only_copy = make_copy()
    assert tier.add(only_copy) == [only_copy] and not tier.objects and tier.used_bytes == 0


def test_segments_when_without_live_bytes_and_pins_are_recyclable_and_the_least_live_is_compacted():
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


def test_write_rate_limiter_when_over_queue_or_rate_limit_refuses():
    limiter = WriteRateLimiter(100, 50.0)
    # The bucket starts with the 50 tokens of one second; a write of 60 bytes takes them and 10 more on credit.
    assert limiter.admit(60, 1.0) and not limiter.admit(10, 1.0)
    # With 90 bytes queued, 30 more exceed the queue limit of 100.
    assert limiter.admit(30, 2.0) and not limiter.admit(30, 9.0)
    limiter.complete(60)
    assert limiter.admit(30, 9.0) and limiter.refused_count == 2
    limiter.complete(60)
    assert not limiter.admit(90, 5.0) or limiter.bucket.tokens <= 50  # A clock that goes back adds no tokens.
    assert limiter.bucket.tokens <= 50


def test_breaker_when_errors_are_consecutive_opens_until_a_trial_succeeds():
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


def test_breaker_when_calls_are_slow_opens_and_a_clock_step_back_permits_a_trial():
    breaker = CircuitBreaker(0.1)
    for _ in range(MAX_CONSECUTIVE_SLOW_CALLS):
        breaker.record_call(True, 0.2, 1000.0)
    assert not breaker.permit_call(1000.5) and breaker.permit_call(1000.5 - 2 * MAX_BACKOFF_S)


@pytest.mark.parametrize(
    "created, key, group, is_covered",
    [(10.0, 1, 0, True), (10.001, 1, 0, False), (9.0, 2, 0, False), (20.0, 2, 3, True), (20.001, 2, 3, False)],
)
def test_purge_when_a_copy_was_created_up_to_it_covers_it(created, key, group, is_covered):
    purges = PurgeTable()
    purges.record(Purge(1, 0, 10.0, 1, 4))
    purges.record(Purge(None, 3, 20.0, 2, 5))
    purges.record(Purge(1, 0, 8.0, 3, 6))  # An older purge that arrives late does not replace the newer one.
    assert purges.covers(key, group, created) is is_covered
    assert purges.last_event_number == 6 and purges.objects[1].newest_segment == 3


def test_purge_when_no_older_segment_is_left_is_dropped():
    purges = PurgeTable()
    purges.record(Purge(1, 0, 10.0, 5, 1))
    assert purges.forget_obsolete(5, 1000.0) == 0 and purges.forget_obsolete(6, 20.0) == 0
    assert purges.forget_obsolete(6, 1000.0) == 1 and not purges.covers(1, 0, 5.0)


def test_purge_table_when_over_its_bound_merges_purges_and_still_covers_all_copies():
    purges = PurgeTable(max_purges=100)
    for number in range(1000):
        purges.record(Purge(number, 0, float(number), 1, number))
    assert len(purges) <= 102 and purges.last_event_number == 999
    for number in range(1000):
        assert purges.covers(number, 0, float(number))
    assert not purges.covers(5000, 0, 999.5)


def log(*sequences, base=0):
    """Return lines of the purge log with these sequence numbers; the one numbered `base` is a base, if present."""
    kinds = {sequence: LineKind.BASE if sequence == base else LineKind.PURGE for sequence in sequences}
    return [
        PurgeLine(sequence, kind, Purge(sequence, 0, 10.0 + sequence, 1, sequence)) for sequence, kind in kinds.items()
    ]


@pytest.mark.parametrize(
    "files, has_segments, expected_complete, expected_next",
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
def test_purge_log_when_lines_are_missing_is_complete_only_with_all_since_the_base(
    files, has_segments, expected_complete, expected_next
):
    purges, next_sequence, is_complete = recover_purges(files, has_segments=has_segments)
    assert (is_complete, next_sequence) == (expected_complete, expected_next)
    last_base = max((sequence for file in files for sequence, kind, _ in file if kind == LineKind.BASE), default=0)
    assert all(
        purges.covers(sequence, 0, purge.timestamp)
        for file in files
        for sequence, _, purge in file
        if sequence > last_base
    )


@pytest.mark.parametrize(
    "marks, number, size, start",
    [({}, 3, 90, 0), ({3: 50}, 3, 90, 50), ({3: 50}, 3, 40, 0), ({3: 50}, 2, 90, 90), ({3: 50}, 4, 90, 0)],
)
def test_scan_when_the_snapshot_covers_a_segment_starts_at_its_mark(marks, number, size, start):
    assert scan_start(marks, number, size) == start


def test_transfer_end_when_the_link_is_busy_waits_for_earlier_transfers():
    link = LinkBandwidth(10.0, 40.0)
    assert link.transfer_end(20, 100.0) == 102.0
    link.record_transfer(400, 100.0)
    assert link.transfer_end(20, 100.0) == 110.5 and link.transfer_end(20, 200.0) == 202.0
