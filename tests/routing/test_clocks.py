"""Conversion of remote times to the steady clock, for any error of the wall clock at the start."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickhinge.clocks import MIN_REPORTED_IMPROVEMENT_S, RemoteClock, monotonic, steady_time

CLOCK_ERRORS_S = st.sampled_from([-3600.0, -3.0, 0.0, 3.0, 3600.0])
AGES = st.lists(st.tuples(st.booleans(), st.floats(0.0, 5000.0)), max_size=12)
NOW = 1_764_576_000.0
approximately = pytest.approx


@given(clock_error_s=CLOCK_ERRORS_S, ages=AGES, age=st.floats(0.0, 5000.0))
def test_local_time_is_never_before_the_true_time_and_never_after_now(clock_error_s, ages, age):
    """Convert a time of a given age after a sequence of received times.

    clock_error_s is the error of the local clock. Each received time has an age from the drawn list, and comes from the
    discovery service or from another server. The local clock advances by one second before each.
    """
    remote_clock, now = RemoteClock(), NOW
    for is_trusted, message_age in ages:
        now += 1.0
        (remote_clock.observe_trusted if is_trusted else remote_clock.observe)(now - clock_error_s - message_age, now)
    remote_clock.observe_trusted(now - clock_error_s - age, now)
    local_time = remote_clock.to_local_time(now - clock_error_s - age, now)
    assert now - age - 1e-3 <= local_time <= now
    assert remote_clock.earliest_local_time(now - clock_error_s - age, now) <= local_time


@given(clock_error_s=CLOCK_ERRORS_S)
def test_estimate_after_a_recent_time_from_the_discovery_service_is_exact(clock_error_s):
    remote_clock = RemoteClock()
    remote_clock.observe_trusted(NOW - clock_error_s, NOW)
    assert remote_clock.to_local_time(NOW - clock_error_s - 40.0, NOW + 1.0) == approximately(NOW - 40.0)


def test_estimate_after_a_corrupt_time_from_a_server_is_at_most_the_local_clock():
    remote_clock = RemoteClock()
    remote_clock.observe(NOW * 1000, NOW)
    assert remote_clock.to_local_time(NOW - 40.0, NOW) == approximately(NOW - 40.0)


@pytest.mark.parametrize("clock_error_s", [0.0, 3.0, 3600.0])
def test_estimate_when_the_local_clock_is_ahead_is_corrected_by_a_recent_answer_and_reported_once(clock_error_s):
    remote_clock, reports = RemoteClock(), []
    remote_clock.on_improved = lambda: reports.append(1)
    started = NOW - clock_error_s - 60.0
    remote_clock.observe_trusted(started, NOW)
    assert remote_clock.to_local_time(started, NOW) == approximately(NOW)
    remote_clock.observe(NOW - clock_error_s, NOW)
    remote_clock.observe(NOW - clock_error_s + 0.5 * MIN_REPORTED_IMPROVEMENT_S, NOW + 0.5 * MIN_REPORTED_IMPROVEMENT_S)
    assert remote_clock.to_local_time(started, NOW) == approximately(NOW - 60.0) and len(reports) == 1


def test_earliest_local_time_when_the_local_clock_is_behind_is_corrected_by_the_discovery_service():
    remote_clock = RemoteClock()
    remote_clock.observe_trusted(NOW + 3600.0, NOW)
    assert remote_clock.earliest_local_time(NOW + 3500.0, NOW) == approximately(NOW - 100.0)


def test_steady_time_keeps_its_offset_from_the_monotonic_clock():
    offset = steady_time() - monotonic()
    assert steady_time() - monotonic() == approximately(offset, abs=1e-3)
