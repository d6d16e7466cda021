"""When what is read now came: against a system that is played with standstills at every line of the loop."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickhinge.net.runtime.arrivals import FRESH_POLL_S, LATE_OVERRUN_S, MAX_WAIT_S, Arrivals

MOST = 8
TURNS = st.lists(
    st.tuples(
        st.lists(st.floats(0.0, 1.0), max_size=12),  # what comes within the next second, each at its time
        st.sampled_from([0.0, 0.0, 0.0, 0.002, 0.08, 0.3, 0.6]),  # standstill as the poll begins
        st.sampled_from([0.0, 0.0, 0.0, 0.002, 0.08, 0.3, 0.6]),  # within it
        st.sampled_from([0.0, 0.0005, 0.02]),  # what a turn takes
        st.sampled_from([0.0, 0.03, 0.25]),  # until the next deadline
        st.booleans(),  # a signal breaks the wait off: past its time, the system is not asked
    ),
    max_size=25,
)


class System:
    """One socket for each piece of data, handed out in the order in which it came, and the loop's side of it."""

    def __init__(self):
        self.now, self.coming, self.arrivals, self.read = 100.0, [], Arrivals(100.0, MOST), []

    def ready(self):
        return sorted(when for when in self.coming if when <= self.now)[:MOST]

    def take(self, handed):
        for when in handed:
            self.coming.remove(when)
            self.read.append((when, self.arrivals.earliest_arrival_at, self.now))
        self.arrivals.mark_handled()

    def wait(self, limit, standstill, broken):
        """Wakes with what comes; stands still within the wait, and then hands out what there is by then."""
        began = self.now
        first = min((when for when in self.coming if when <= began + limit), default=began + limit)
        self.now = max(began, first) + standstill
        if broken and standstill > limit:
            return []
        return self.ready()

    def turn(self, limit, standstill, before, broken):
        """before: a standstill between the look at the clock and the system's answer."""
        limit = min(limit, MAX_WAIT_S)
        while True:
            entered = self.now
            asked = limit <= 0.0 or self.arrivals.needs_poll_before_wait(entered)
            self.now, before = self.now + before, 0.0
            if not asked:
                break
            handed, returned = self.ready(), self.now
            if handed or limit <= 0.0:
                self.arrivals.record_poll(entered, returned, len(handed))
                self.now += standstill  # between the poll and the read
                return self.take(handed)
            if returned - entered <= FRESH_POLL_S:
                break
        handed = self.wait(limit, standstill, broken)
        self.arrivals.record_wait(entered, limit, self.now, len(handed), was_polled=asked)
        self.take(handed)


def play(turns):
    system = System()
    for coming, before, within, took, limit, broken in turns:
        system.coming += [system.now + when for when in coming]
        system.turn(limit, within, before, broken)
        system.now += took
    return system


@given(TURNS)
def test_nothing_is_taken_for_fresher_than_it_is_by_more_than_a_wait(turns):
    for came, bound, _ in play(turns).read:
        assert bound <= came + MAX_WAIT_S + LATE_OVERRUN_S + FRESH_POLL_S


@given(TURNS)
def test_what_is_settled_has_been_read(turns):
    system = play(turns)
    assert all(when >= system.arrivals.handled_until for when in system.coming)


@given(st.lists(st.floats(0.0, 2.0), min_size=1, max_size=40))
def test_without_standstills_what_comes_one_by_one_is_fresh(times):
    """Nobody is denied for an age that is not there."""
    system = System()
    system.coming = [100.0 + when for when in times]
    while system.coming:
        system.turn(0.25, 0.0, 0.0, False)
        system.now += 0.0005
    for came, bound, _ in system.read:
        assert bound >= came - FRESH_POLL_S


@pytest.mark.parametrize("standstill", [0.2, 0.5])
def test_after_a_standstill_within_a_wait_all_may_have_come_at_its_begin(standstill):
    arrivals = Arrivals(0.0, MOST)
    arrivals.record_wait(10.0, 0.05, 10.05, 0, was_polled=False)
    arrivals.mark_handled()
    arrivals.record_wait(10.06, 0.05, 10.06 + standstill, 3, was_polled=False)
    assert arrivals.earliest_arrival_at == 10.06


def test_what_a_full_poll_leaves_over_is_as_old_as_the_last_poll_that_was_not_full():
    arrivals = Arrivals(0.0, MOST)
    arrivals.record_poll(1.0, 1.0, 3)
    for turn in range(5):
        arrivals.record_poll(2.0 + turn, 2.0 + turn, MOST)
        arrivals.mark_handled()
        assert arrivals.earliest_arrival_at == 1.0 == arrivals.handled_until


def test_a_router_is_behind_from_a_standstill_until_all_that_there_was_is_read():
    arrivals = Arrivals(0.0, MOST)
    arrivals.record_wait(10.0, 0.05, 10.7, 0, was_polled=False)  # broken off, and the system not asked any more
    arrivals.mark_handled()
    assert arrivals.is_behind
    arrivals.record_poll(10.71, 10.71, MOST)
    arrivals.mark_handled()
    assert arrivals.is_behind
    arrivals.record_poll(10.72, 10.72, 2)
    arrivals.mark_handled()
    assert not arrivals.is_behind
    arrivals.record_poll(10.9, 10.9, MOST)  # a turn of 0.18 s
    assert arrivals.is_behind
