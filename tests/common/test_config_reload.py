"""Reloads that are owed, in virtual time."""

import pytest

from wickhinge.common.config_reload import MAX_RETRY_DELAY_S, ConfigReload
from wickhinge.fields import MalformedError, UnreadableFileError


class World:
    def __init__(self, in_force=0):
        self.now, self.calls, self.events, self.tries = 0.0, [], [], []
        self.outcomes = []  # errors to raise, None for success; past the last: success
        self.owed = ConfigReload(self.reload, self.later, self.log, in_force)

    def later(self, delay, call, *arguments):
        self.calls.append((self.now + delay, len(self.tries), call, arguments))

    def log(self, event, **fields):
        self.events.append((event, fields))

    def reload(self):
        self.tries.append(self.now)
        problem = self.outcomes.pop(0) if self.outcomes else None
        if problem is not None:
            raise problem
        return {"discovery": "there"}

    def run(self, until):
        while due := [call for call in self.calls if call[0] <= until]:
            first = min(due, key=lambda call: call[0])
            self.calls.remove(first)
            self.now = first[0]
            first[2](*first[3])
        self.now = until

    def names(self):
        return [event for event, _ in self.events]


@pytest.mark.parametrize("problem", [UnreadableFileError("cut off"), OSError(24, "too many open files")])
def test_what_may_pass_is_tried_until_it_has_with_a_growing_delay(problem):
    world = World()
    world.outcomes = [problem] * 12
    world.owed.request(1)
    world.run(60.0)
    assert len(world.tries) == 13
    delays = [after - before for before, after in zip(world.tries, world.tries[1:], strict=False)]
    assert delays[:6] == sorted(delays[:6]) and delays[0] < 0.1 and delays[-1] == pytest.approx(MAX_RETRY_DELAY_S)
    assert world.names() == ["config_reload_requested", "config_reload_failed", "config_reloaded"]
    assert world.events[1][1]["will_retry"] is True and world.events[2][1]["tries"] == 13
    assert world.owed.report_fields() == {"requested": 1, "done": 1, "failed": 0, "owed": False}


def test_what_is_wrong_for_good_waits_for_the_next_request():
    world = World()
    world.outcomes = [MalformedError("config: field journal is missing")]
    world.owed.request(1)
    world.run(60.0)
    assert len(world.tries) == 1 and world.events[-1][1]["will_retry"] is False
    assert world.owed.report_fields() == {"requested": 1, "done": 0, "failed": 1, "owed": False}
    world.owed.request(2)
    world.run(61.0)
    assert world.owed.report_fields() == {"requested": 2, "done": 2, "failed": 1, "owed": False}


def test_a_newer_request_replaces_an_older_one_and_begins_with_short_delays():
    world = World()
    world.outcomes = [UnreadableFileError("absent")] * 8
    world.owed.request(1)
    world.run(3.0)
    tries = len(world.tries)
    world.owed.request(3)
    world.run(3.2)
    assert world.tries[tries] == 3.0 and len(world.tries) >= tries + 2
    world.run(60.0)
    assert world.names().count("config_reloaded") == 1 and world.owed.report_fields()["done"] == 3
    assert len(world.tries) == 9  # the older one's timer found nothing to do


def test_a_request_that_was_heard_of_or_answered_by_the_start_does_nothing():
    world = World(in_force=4)
    world.owed.request(4)
    world.run(1.0)
    assert world.tries == [] and world.events == []
    world.owed.request(5)
    world.owed.request(5)
    world.run(2.0)
    assert len(world.tries) == 1 and world.owed.report_fields()["requested"] == 1


def test_the_shutdown_drops_what_is_owed_and_takes_nothing_more():
    world = World()
    world.outcomes = [UnreadableFileError("absent")] * 99
    world.owed.request(1)
    world.run(1.0)
    tries = len(world.tries)
    world.owed.close()
    world.owed.request(2)
    world.run(60.0)
    assert len(world.tries) == tries and world.names()[-1] == "config_reload_dropped"
