"""Pending reloads, in virtual time."""

import pytest

from wickhinge.common.config_reload import MAX_RETRY_DELAY_S, ConfigReload
from wickhinge.fields import MalformedError, UnreadableFileError


class World:
    """A ConfigReload in virtual time, with a reload function whose failures the test sets."""

    def __init__(self, number_at_start=0):
        self.now, self.calls, self.events, self.reload_times = 0.0, [], [], []
        self.outcomes = []  # Errors to raise in turn, or None for success; then every reload succeeds.
        self.reloader = ConfigReload(self.reload, self.call_later, self.log, number_at_start)

    def call_later(self, delay, call, *arguments):
        self.calls.append((self.now + delay, len(self.reload_times), call, arguments))

    def log(self, event, **fields):
        self.events.append((event, fields))

    def reload(self):
        self.reload_times.append(self.now)
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

    def event_names(self):
        return [event for event, _ in self.events]


@pytest.mark.parametrize("problem", [UnreadableFileError("cut off"), OSError(24, "too many open files")])
def test_reload_when_the_failure_is_temporary_is_retried_with_growing_delays(problem):
    world = World()
    world.outcomes = [problem] * 12
    world.reloader.request(1)
    world.run(60.0)
    assert len(world.reload_times) == 13
    delays = [after - before for before, after in zip(world.reload_times, world.reload_times[1:], strict=False)]
    assert delays[:6] == sorted(delays[:6]) and delays[0] < 0.1 and delays[-1] == pytest.approx(MAX_RETRY_DELAY_S)
    assert world.event_names() == ["config_reload_requested", "config_reload_failed", "config_reloaded"]
    assert world.events[1][1]["will_retry"] is True and world.events[2][1]["tries"] == 13
    assert world.reloader.report_fields() == {"requested": 1, "done": 1, "failed": 0, "owed": False}


def test_reload_when_the_file_is_invalid_is_not_retried_until_the_next_request():
    world = World()
    world.outcomes = [MalformedError("config: field journal is missing")]
    world.reloader.request(1)
    world.run(60.0)
    assert len(world.reload_times) == 1 and world.events[-1][1]["will_retry"] is False
    assert world.reloader.report_fields() == {"requested": 1, "done": 0, "failed": 1, "owed": False}
    world.reloader.request(2)
    world.run(61.0)
    assert world.reloader.report_fields() == {"requested": 2, "done": 2, "failed": 1, "owed": False}


def test_newer_request_when_a_reload_is_pending_replaces_it_and_starts_with_short_delays():
    world = World()
    world.outcomes = [UnreadableFileError("absent")] * 8
    world.reloader.request(1)
    world.run(3.0)
    reload_count = len(world.reload_times)
    world.reloader.request(3)
    world.run(3.2)
    assert world.reload_times[reload_count] == 3.0 and len(world.reload_times) >= reload_count + 2
    world.run(60.0)
    assert world.event_names().count("config_reloaded") == 1 and world.reloader.report_fields()["done"] == 3
    assert len(world.reload_times) == 9  # The timer of the older request did nothing.


def test_request_when_already_known_or_satisfied_by_the_start_does_nothing():
    world = World(number_at_start=4)
    world.reloader.request(4)
    world.run(1.0)
    assert world.reload_times == [] and world.events == []
    world.reloader.request(5)
    world.reloader.request(5)
    world.run(2.0)
    assert len(world.reload_times) == 1 and world.reloader.report_fields()["requested"] == 1


def test_close_when_a_reload_is_pending_drops_it_and_ignores_later_requests():
    world = World()
    world.outcomes = [UnreadableFileError("absent")] * 99
    world.reloader.request(1)
    world.run(1.0)
    reload_count = len(world.reload_times)
    world.reloader.close()
    world.reloader.request(2)
    world.run(60.0)
    assert len(world.reload_times) == reload_count and world.event_names()[-1] == "config_reload_dropped"
