"""Judgement of a fleet run (late, missed, unordered and stale changes), its layout, cuts and measurements."""

import os

import pytest

from bench.scale.fleet_judge import Judge, Pause, byte_rate, message_rate
from bench.scale.fleet_layout import (
    CUT_REGION,
    OUTSIDE_REGIONS,
    REGION_COUNT,
    RELAY_REGIONS,
    ZONE_COUNT,
    address,
    address_block,
    hollow_groups,
    region_of_address,
    relay_order,
)
from bench.scale.fleet_measure import core_share, process_usage
from bench.scale.fleet_network import is_link_cut
from bench.scale.fleet_recorder import Recorder
from bench.scale.fleet_records import AgeLimitSample, Change, Cut, HollowReport, Router, TrafficSample, ZoneTimes

GRACE_S = 6.0
QUIET_UNTIL = 100.0
TWO_ROUTERS = [Router("one", CUT_REGION, 7, []), Router("two", CUT_REGION, 7, [])]


def make_change(number, asked, identity=None):
    identity = number if identity is None else identity
    return Change(number, identity, asked, asked + 0.1, asked + 0.2)


def make_report(latest, counts=None, vouched=(), routers=2, digests=(1, 1)):
    counts = dict.fromkeys(latest, routers) if counts is None else counts
    zone = ZoneTimes(7, CUT_REGION, routers, latest, counts)
    return HollowReport([zone], list(vouched), {}, {}, 0, 0, 0, 0, [], list(digests), 0, 0, 0.0)


def judge_report(changes, report, cuts=(), pauses=()):
    return Judge(changes, list(cuts), list(pauses), QUIET_UNTIL, GRACE_S).judge_reports([report])


def test_delays_when_nothing_is_cut_off_count_from_the_request():
    changes = [make_change(1, 10.0), make_change(2, 20.0, identity=-1), make_change(3, 150.0)]
    found = judge_report(changes, make_report({1: 12.5, 2: 26.0, 3: 151.0}))
    assert (found.quiet.purge_max_s, found.quiet.config_max_s) == (2.5, 6.0)
    assert (found.faults.purge_max_s, found.faults.config_max_s) == (1.0, 0.0)
    assert (found.missed, found.unequal) == (0, 0)


def test_delay_when_a_router_was_cut_off_or_stopped_counts_from_the_end_of_the_fault():
    changes = [make_change(1, 118.0), make_change(2, 125.0), make_change(3, 131.0)]
    cut = Cut(CUT_REGION, 120.0, 130.0)
    assert judge_report(changes, make_report({1: 131.0, 2: 132.0, 3: 132.5}), cuts=[cut]).faults.purge_max_s == 2.0
    pause = Pause(0, 120.0, 130.0)
    assert judge_report(changes, make_report({1: 131.0, 2: 132.0, 3: 132.5}), pauses=[pause]).faults.purge_max_s == 2.0
    elsewhere = Cut(CUT_REGION + 1, 120.0, 130.0)
    assert (
        judge_report(changes, make_report({1: 131.0, 2: 132.0, 3: 132.5}), cuts=[elsewhere]).faults.purge_max_s == 13.0
    )


def test_change_when_a_router_lacks_it_is_counted_as_missed():
    assert judge_report([make_change(1, 10.0)], make_report({})).missed == 2
    assert judge_report([make_change(1, 10.0)], make_report({1: 11.0}, {1: 1})).missed == 1


def test_router_when_its_digest_differs_from_the_majority_is_counted_as_unequal():
    assert judge_report([make_change(1, 10.0)], make_report({1: 11.0}, digests=(5, 5, 6))).unequal == 1


@pytest.mark.parametrize(
    ("time", "number", "limit", "stale"),
    [
        (16.05, 0, None, 0),  # The grace time is not over.
        (16.15, 0, None, 2),
        (16.15, 1, None, 0),  # The router has purge 1, and the grace time of purge 2 is not over.
        (26.15, 1, None, 2),
        (26.15, 2, None, 0),
        (26.15, 0, 5.9, 0),  # The limit excludes copies from before both purges.
        (26.15, 0, 6.1, 2),
    ],
)
def test_age_limit_when_a_purge_is_missing_is_stale_after_the_grace_time(time, number, limit, stale):
    changes = [make_change(1, 10.0), make_change(2, 20.0)]
    vouched = [AgeLimitSample(time, number, limit, 2)]
    assert judge_report(changes, make_report({1: 10.5, 2: 20.5}, vouched=vouched)).stale_served == stale


def test_recorder_counts_gaps_repeats_and_conflicting_changes():
    recorder = Recorder(TWO_ROUTERS)
    for index in (0, 1):
        recorder.start_at(index, 5)
        recorder.record_applied(index, 6, 60, 1.0)
    recorder.record_applied(0, 8, 80, 2.0)  # Change 7 is left out.
    recorder.record_applied(0, 6, 60, 3.0)  # Change 6 is repeated.
    recorder.record_applied(1, 7, 70, 4.0)
    recorder.record_applied(1, 8, 81, 5.0)  # The first router had another change under this number.
    found = recorder.make_report(0, 0)
    assert (found.missed, found.out_of_order, found.different) == (1, 1, 1)
    assert (found.zones[0].latest[8], found.zones[0].counts) == (5.0, {6: 2, 7: 1, 8: 2})
    assert found.digests[0] != found.digests[1]


def test_late_snapshot_when_it_lacks_a_purge_counts_it_as_missed():
    recorder = Recorder(TWO_ROUTERS)
    for number in (1, 2, 3):
        recorder.record_applied(0, number, number, 1.0)
    recorder.record_reset(1, 3, {1, 2}, 2.0)
    found = recorder.make_report(0, 0)
    assert (found.missed, found.late_resets) == (1, 1)


def test_byte_and_message_rates_are_computed_from_traffic_samples():
    samples = [TrafficSample(second, 10 * second, 1000 * second, 4000) for second in range(11)]
    samples += [TrafficSample(11, 200, 12_000, 9000)]
    report = make_report({})
    report.traffic = {7: samples}
    assert byte_rate([report], 0, 10, 2.0).mean == 500.0
    assert byte_rate([report], 0, 11, 2.0).worst == 4500.0
    rate = message_rate([report], 0.0, 8.0, cut_end=10.0)
    assert (rate.ordinary, rate.peak, rate.ratio) == (10.0, 100.0, 10.0)
    assert message_rate([report], 0.0, 8.0, 10.0, region=CUT_REGION + 1).ratio is None


def test_cut_blocks_both_directions_unless_it_is_one_way():
    cut, one_way = Cut(3, 10.0, 20.0), Cut(3, 10.0, 20.0, one_way=True)
    assert is_link_cut([cut], 3, 5, 15.0) and is_link_cut([cut], 5, 3, 15.0)
    assert is_link_cut([one_way], 5, 3, 15.0) and not is_link_cut([one_way], 3, 5, 15.0)
    assert not is_link_cut([cut], 5, 3, 20.0) and not is_link_cut([cut], 5, 6, 15.0)


def test_layout_covers_all_regions_and_zones():
    routers = [one for group in hollow_groups(1592) for one in group]
    assert len(routers) == 1592 and max(len(group) for group in hollow_groups(1592)) == 100
    assert {one.region for one in routers} == set(range(REGION_COUNT))
    assert {one.zone for one in routers} == set(range(ZONE_COUNT))
    assert all(sorted(relay_order(region)) == sorted(relay_order(0)) for region in range(REGION_COUNT))
    assert relay_order(CUT_REGION)[0] == f"relay-{RELAY_REGIONS.index(CUT_REGION)}"
    assert region_of_address(address(address_block(12345), 9, 1)) == 9
    assert region_of_address("127.0.0.1") == region_of_address("127.91.0.1") == OUTSIDE_REGIONS


def test_core_share_is_positive_when_measured_and_none_when_not():
    before = {"this": process_usage(os.getpid())}
    sum(range(200_000))
    share = core_share(before, {"this": process_usage(os.getpid())}, "this")
    assert share is not None and share > 0
    assert core_share(before, {}, "this") is None
