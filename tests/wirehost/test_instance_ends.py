"""Instances of routers that end in a batch: nothing that they had requested or kept is seen in its reply or later."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bench.simulator_day import Day, play, replay
from tests.wirehost.test_wirehost import REQUEST_MESSAGE, START_MESSAGES, run_batches

BATCHES = 40  # Batches of a drawn day.
DAYS = 60  # Drawn days of each test.
SEEDS = st.integers(0, 2**32 - 1)
KILL_MESSAGE = ("Kill", {"router": 0})
REFUSED_START = ("PowerOn", {"router": 0, "initSeed": 1, "conf": {}})


def assert_equal_replies(day, replies, expected_replies):
    """Compare the replies batch by batch; a failure shows the first batch whose reply differs."""
    for batch, reply, expected in zip(day.batches, replies, expected_replies, strict=True):
        assert reply == expected, [event.message[0] for event in batch.events]


@settings(max_examples=DAYS, derandomize=True, deadline=None)
@given(SEEDS)
def test_reply_equals_the_reply_without_the_events_of_instances_that_end_in_the_batch(seed):
    day = Day(seed)
    replies = play(day, BATCHES)
    expected_replies = replay([batch.lines(batch.surviving_events) for batch in day.batches])
    assert_equal_replies(day, replies, expected_replies)


@settings(max_examples=DAYS, derandomize=True, deadline=None)
@given(SEEDS)
def test_refused_messages_and_starts_change_nothing_but_their_errors(seed):
    day = Day(seed)
    replies = [[line for line in reply if b'"Broken"' not in line] for reply in play(day, BATCHES)]
    without_refused = [[event for event in batch.events if not event.is_refused] for batch in day.batches]
    expected_replies = replay([batch.lines(events) for batch, events in zip(day.batches, without_refused, strict=True)])
    assert_equal_replies(day, replies, expected_replies)


@settings(max_examples=DAYS, derandomize=True, deadline=None)
@given(SEEDS)
def test_each_error_of_a_message_is_reported_unless_its_instance_ends_in_the_batch(seed):
    day = Day(seed)
    replies = play(day, BATCHES)
    for batch, reply in zip(day.batches, replies, strict=True):
        expected = [event.instance.router for event in batch.surviving_events if event.is_refused]
        errors = [json.loads(line)["Broken"]["router"] for line in reply if b'"Broken"' in line]
        assert errors == expected


@pytest.mark.parametrize("events_after", [[], START_MESSAGES, [REFUSED_START]], ids=["none", "start", "refused start"])
def test_router_that_is_killed_requests_nothing_whatever_follows_in_the_batch(events_after):
    replies = run_batches(START_MESSAGES, [REQUEST_MESSAGE, KILL_MESSAGE, *events_after])
    assert replies[replies.index({"Finished": {}}) + 1 :] == run_batches(events_after)


def test_running_instance_keeps_its_requests_and_its_actions_when_a_start_is_refused():
    miss = {"router": 0, "ref": "a", "sendNo": 0, "cache": 7, "disposition": 90, "timeTakenMs": 1.0, "doneFlag": False}
    replies = run_batches(START_MESSAGES, [REQUEST_MESSAGE, REFUSED_START], [("Resolved", miss)])
    expected = run_batches(START_MESSAGES, [REQUEST_MESSAGE], [("Resolved", miss)])
    assert [reply for reply in replies if "Broken" not in reply] == expected
    assert [reply["Broken"]["line"] for reply in replies if "Broken" in reply] == ["conf: field familyInfo is missing"]


def test_timers_of_each_instance_are_numbered_from_one():
    replies = run_batches([*START_MESSAGES, REQUEST_MESSAGE, KILL_MESSAGE, *START_MESSAGES])
    assert [reply["WakeMe"]["handle"] for reply in replies if "WakeMe" in reply] == [1]


def test_actions_of_several_routers_are_in_the_order_of_the_messages_that_caused_them():
    starts = [(name, {**fields, "router": router}) for router in (2, 0, 1) for name, fields in START_MESSAGES]
    replies = run_batches(starts, [("Inbound", {**REQUEST_MESSAGE[1], "router": router}) for router in (1, 2, 0)])
    routers = [reply["PullVia"]["router"] for reply in replies if "PullVia" in reply]
    assert ([reply["WakeMe"]["router"] for reply in replies[:3]], routers) == ([2, 0, 1], [1, 2, 0])
