"""The bound on arrival times, checked on a simulated kernel and event loop with stalls at every step of the loop."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickhinge.net.runtime.arrivals import FRESH_POLL_S, LATE_OVERRUN_S, MAX_WAIT_S, Arrivals

MAX_EVENTS = 8
# Turns of the event loop, as tuples of the parameters of play().
TURNS = st.lists(
    st.tuples(
        st.lists(st.floats(0.0, 1.0), max_size=12),  # arrival_delays
        st.sampled_from([0.0, 0.0, 0.0, 0.002, 0.08, 0.3, 0.6]),  # stall_before_poll
        st.sampled_from([0.0, 0.0, 0.0, 0.002, 0.08, 0.3, 0.6]),  # stall_in_poll
        st.sampled_from([0.0, 0.0005, 0.02]),  # turn_duration
        st.sampled_from([0.0, 0.03, 0.25]),  # wait_limit
        st.booleans(),  # is_interrupted
    ),
    max_size=25,
)


class SimulatedLoop:
    """An event loop on a simulated kernel, in which each piece of data arrives on a socket of its own.

    Attributes:
        pending: Arrival times of the data that is not read yet.
        reads: For each piece of data its arrival time, the bound that Arrivals gave for it, and the time of the read.
    """

    def __init__(self):
        self.now, self.pending, self.arrivals, self.reads = 100.0, [], Arrivals(100.0, MAX_EVENTS), []

    def available(self):
        """Return the arrival times that a poll returns now: the oldest ones, up to MAX_EVENTS."""
        return sorted(arrival for arrival in self.pending if arrival <= self.now)[:MAX_EVENTS]

    def read(self, events):
        """Read the data of all events of a poll."""
        for arrival in events:
            self.pending.remove(arrival)
            self.reads.append((arrival, self.arrivals.earliest_arrival_at, self.now))
        self.arrivals.mark_handled()

    def wait(self, limit, stall, is_interrupted):
        """Wait until data arrives, with a stall within the wait, and return the events available after it.

        If a signal interrupts the wait after its limit, the kernel is not asked, and no events are returned.
        """
        began_at = self.now
        wake_at = min((arrival for arrival in self.pending if arrival <= began_at + limit), default=began_at + limit)
        self.now = max(began_at, wake_at) + stall
        if is_interrupted and stall > limit:
            return []
        return self.available()

    def run_turn(self, limit, stall_in_poll, stall_before_poll, is_interrupted):
        """Run one turn of the loop, as Reactor.poll() does.

        Args:
            limit: Seconds until the next deadline.
            stall_in_poll: Seconds of a stall within the wait, or between a poll and the read.
            stall_before_poll: Seconds of a stall between reading the clock and the poll.
            is_interrupted: Whether a signal interrupts the wait if it is stalled beyond its limit.
        """
        limit = min(limit, MAX_WAIT_S)
        while True:
            began_at = self.now
            is_poll_needed = limit <= 0.0 or self.arrivals.needs_poll_before_wait(began_at)
            self.now, stall_before_poll = self.now + stall_before_poll, 0.0
            if not is_poll_needed:
                break
            events, ended_at = self.available(), self.now
            if events or limit <= 0.0:
                self.arrivals.record_poll(began_at, ended_at, len(events))
                self.now += stall_in_poll
                return self.read(events)
            if ended_at - began_at <= FRESH_POLL_S:
                break
        events = self.wait(limit, stall_in_poll, is_interrupted)
        self.arrivals.record_wait(began_at, limit, self.now, len(events), was_polled=is_poll_needed)
        self.read(events)


def play(turns):
    """Run turns of a simulated loop; arrival_delays are seconds from the beginning of a turn to arrivals of data."""
    loop = SimulatedLoop()
    for arrival_delays, stall_before_poll, stall_in_poll, turn_duration, wait_limit, is_interrupted in turns:
        loop.pending += [loop.now + delay for delay in arrival_delays]
        loop.run_turn(wait_limit, stall_in_poll, stall_before_poll, is_interrupted)
        loop.now += turn_duration
    return loop


@given(TURNS)
def test_arrival_bound_when_stalled_anywhere_is_late_by_at_most_one_wait(turns):
    for arrival, bound, _ in play(turns).reads:
        assert bound <= arrival + MAX_WAIT_S + LATE_OVERRUN_S + FRESH_POLL_S


@given(TURNS)
def test_data_that_arrived_before_handled_until_has_been_read(turns):
    loop = play(turns)
    assert all(arrival >= loop.arrivals.handled_until for arrival in loop.pending)


@given(st.lists(st.floats(0.0, 2.0), min_size=1, max_size=40))
def test_arrival_bound_without_stalls_is_close_to_the_arrival(times):
    """A bound that is too early would make requests look old, and they would be rejected for their age."""
    loop = SimulatedLoop()
    loop.pending = [100.0 + delay for delay in times]
    while loop.pending:
        loop.run_turn(0.25, 0.0, 0.0, False)
        loop.now += 0.0005
    for arrival, bound, _ in loop.reads:
        assert bound >= arrival - FRESH_POLL_S


@pytest.mark.parametrize("stall", [0.2, 0.5])
def test_arrival_bound_after_a_stall_within_a_wait_is_the_beginning_of_the_wait(stall):
    arrivals = Arrivals(0.0, MAX_EVENTS)
    arrivals.record_wait(10.0, 0.05, 10.05, 0, was_polled=False)
    arrivals.mark_handled()
    arrivals.record_wait(10.06, 0.05, 10.06 + stall, 3, was_polled=False)
    assert arrivals.earliest_arrival_at == 10.06


def test_arrival_bound_after_full_polls_is_the_last_poll_that_was_not_full():
    arrivals = Arrivals(0.0, MAX_EVENTS)
    arrivals.record_poll(1.0, 1.0, 3)
    for turn in range(5):
        arrivals.record_poll(2.0 + turn, 2.0 + turn, MAX_EVENTS)
        arrivals.mark_handled()
        assert arrivals.earliest_arrival_at == 1.0 == arrivals.handled_until


def test_loop_is_behind_from_a_stall_until_all_pending_events_are_handled():
    arrivals = Arrivals(0.0, MAX_EVENTS)
    # A stalled wait without events: a signal interrupted it, and the kernel was not asked.
    arrivals.record_wait(10.0, 0.05, 10.7, 0, was_polled=False)
    arrivals.mark_handled()
    assert arrivals.is_behind
    arrivals.record_poll(10.71, 10.71, MAX_EVENTS)
    arrivals.mark_handled()
    assert arrivals.is_behind
    arrivals.record_poll(10.72, 10.72, 2)
    arrivals.mark_handled()
    assert not arrivals.is_behind
    # The turn before this poll lasted 0.18 s, which counts as a stall.
    arrivals.record_poll(10.9, 10.9, MAX_EVENTS)
    assert arrivals.is_behind


BUSY_DESCRIPTORS = 40
TURN_S = 0.003


def play_beside_busy_descriptors(delays, turns):
    """Poll a kernel that goes round its ready descriptors, BUSY_DESCRIPTORS of which are ready at all times.

    Returns:
        The arrival of data on each other descriptor, one for each delay, the bound on it, and the time of the read.
    """
    arrivals, now, reads = Arrivals(100.0, MAX_EVENTS), 100.0, []
    ready = [(number, 0.0) for number in range(BUSY_DESCRIPTORS)]
    coming = sorted(100.0 + delay for delay in delays)
    for _ in range(turns):
        while coming and coming[0] <= now:
            ready.append((None, coming.pop(0)))
        events, ready = ready[:MAX_EVENTS], ready[MAX_EVENTS:]
        arrivals.record_poll(now, now, len(events), BUSY_DESCRIPTORS + len(delays))
        now += TURN_S
        reads += [(arrival, arrivals.earliest_arrival_at, now) for number, arrival in events if number is None]
        ready += [event for event in events if event[0] is not None]
        arrivals.mark_handled()
        assert all(arrival >= arrivals.handled_until for number, arrival in ready if number is None)
    return reads


@given(st.lists(st.floats(0.0, 2.0), min_size=1, max_size=20))
def test_arrival_bound_while_other_descriptors_are_always_ready_precedes_the_arrival_by_two_rounds_at_most(delays):
    """The bound stood still for as long as each poll was full, so that new requests were refused as too old."""
    round_s = (BUSY_DESCRIPTORS + len(delays)) / MAX_EVENTS * TURN_S
    reads = play_beside_busy_descriptors(delays, turns=900)
    assert len(reads) == len(delays)
    for arrival, bound, _ in reads:
        assert arrival - 3 * round_s - 2 * TURN_S <= bound <= arrival
