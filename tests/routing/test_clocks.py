"""Others' times of day against our steady clock, whatever our wall clock was at the start."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wickhinge.clocks import IMPROVED, RemoteClock, monotonic, steady_time

OFF = st.sampled_from([-3600.0, -3.0, 0.0, 3.0, 3600.0])
AGES = st.lists(st.tuples(st.booleans(), st.floats(0.0, 5000.0)), max_size=12)
NOW = 1_764_576_000.0  # by our clock
EXACT = pytest.approx


@given(off=OFF, ages=AGES, age=st.floats(0.0, 5000.0))
def test_nothing_is_taken_for_older_than_it_is_and_nothing_for_later_than_now(off, ages, age):
    """off: our clock less the true one. Each time that is named is as old as drawn, in steps of a second of ours."""
    others, now = RemoteClock(), NOW
    for by_service, old in ages:
        now += 1.0
        (others.observe_trusted if by_service else others.observe)(now - off - old, now)
    others.observe_trusted(now - off - age, now)
    instant = others.to_local_time(now - off - age, now)
    assert now - age - 1e-3 <= instant <= now
    assert others.earliest_local_time(now - off - age, now) <= instant


@given(off=OFF)
def test_a_fresh_time_of_the_service_makes_the_estimate_exact(off):
    others = RemoteClock()
    others.observe_trusted(NOW - off, NOW)
    assert others.to_local_time(NOW - off - 40.0, NOW + 1.0) == EXACT(NOW - 40.0)


def test_a_spoilt_time_in_an_answer_counts_up_to_our_clock_at_most():
    others = RemoteClock()
    others.observe(NOW * 1000, NOW)
    assert others.to_local_time(NOW - 40.0, NOW) == EXACT(NOW - 40.0)


@pytest.mark.parametrize("off", [0.0, 3.0, 3600.0])
def test_a_fresh_answer_corrects_a_clock_that_is_ahead_and_that_is_told_once(off):
    others, told = RemoteClock(), []
    others.on_improved = lambda: told.append(1)
    born = NOW - off - 60.0
    others.observe_trusted(born, NOW)
    assert others.to_local_time(born, NOW) == EXACT(NOW)
    others.observe(NOW - off, NOW)
    others.observe(NOW - off + 0.5 * IMPROVED, NOW + 0.5 * IMPROVED)
    assert others.to_local_time(born, NOW) == EXACT(NOW - 60.0) and len(told) == 1


def test_a_copy_is_not_taken_for_younger_where_our_clock_is_behind_once_the_service_names_a_time():
    others = RemoteClock()
    others.observe_trusted(NOW + 3600.0, NOW)
    assert others.earliest_local_time(NOW + 3500.0, NOW) == EXACT(NOW - 100.0)


def test_the_steady_clock_runs_with_the_monotonic_one():
    first = steady_time() - monotonic()
    assert steady_time() - monotonic() == EXACT(first, abs=1e-3)
